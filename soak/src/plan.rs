//! The plan of a run: its sizes, its load, and its schedule of faults.
use crate::schedule::{draw_schedule, ScheduleParameters, ScheduledFault, FAULTS_PER_EPISODE};
use std::path::PathBuf;
use std::time::Duration;

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the schedule and of the random choices of the clients.
    pub seed: u64,
    /// Length of the period in which clients connect.
    pub length: Duration,
    /// The number of relays.
    pub relays: usize,
    /// The number of backends at the start.
    pub backends: usize,
    /// New sessions per second, at all relays together.
    pub sessions_per_second: f64,
    /// The faults, sorted by their start times.
    pub faults: Vec<ScheduledFault>,
    /// The program that runs a relay when it is started as `PROGRAM relay serve --config FILE`.
    pub program: PathBuf,
    /// Directory of configurations and logs.
    pub folder: PathBuf,
    /// Whether relays have a state directory. By default those of odd seeds have one.
    pub keeps_state: bool,
}

impl Plan {
    /// A run with a schedule that is drawn from its seed.
    pub fn with_drawn_faults(seed: u64, length: Duration, program: PathBuf) -> Plan {
        let plan = Plan::without_faults(seed, length, program);
        let parameters = plan.schedule_parameters(FAULTS_PER_EPISODE);
        Plan { faults: draw_schedule(&parameters), ..plan }
    }

    /// A run without faults.
    pub fn without_faults(seed: u64, length: Duration, program: PathBuf) -> Plan {
        let folder = std::env::temp_dir().join(format!("hallrelay-soak-{}-{seed}", std::process::id()));
        Plan {
            seed,
            length,
            relays: 4,
            backends: 6,
            sessions_per_second: 40.0,
            faults: Vec::new(),
            program,
            folder,
            keeps_state: seed % 2 == 1,
        }
    }

    /// Parameters for drawing a schedule for this run.
    pub fn schedule_parameters(&self, faults_per_episode: u64) -> ScheduleParameters {
        ScheduleParameters {
            seed: self.seed,
            length: self.length,
            relays: self.relays,
            backends: self.backends,
            faults_per_episode,
        }
    }
}
