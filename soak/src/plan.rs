//! What a run consists of: sizes, load, and its schedule of faults.
use crate::schedule::{draw_schedule, ScheduleParameters, ScheduledFault, FAULTS_PER_EPISODE};
use std::path::PathBuf;
use std::time::Duration;

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Determines what clients do.
    pub seed: u64,
    /// How long clients connect.
    pub length: Duration,
    /// The number of relays.
    pub relays: usize,
    /// The number of backends at the beginning.
    pub backends: usize,
    /// Sessions a second at all relays together.
    pub sessions_per_second: f64,
    /// The faults, sorted by their beginnings.
    pub faults: Vec<ScheduledFault>,
    /// The program that runs relays, as `PROGRAM relay serve --config FILE`.
    pub program: PathBuf,
    /// Where configurations and logs are written.
    pub folder: PathBuf,
    /// Whether relays have a store.
    pub keeps_state: bool,
}

impl Plan {
    /// A run with a schedule drawn from its seed.
    pub fn drawn(seed: u64, length: Duration, program: PathBuf) -> Plan {
        let plan = Plan::quiet(seed, length, program);
        let parameters = plan.schedule_parameters(FAULTS_PER_EPISODE);
        Plan { faults: draw_schedule(&parameters), ..plan }
    }

    /// A run without faults.
    pub fn quiet(seed: u64, length: Duration, program: PathBuf) -> Plan {
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
    /// What a schedule for this run is drawn from.
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
