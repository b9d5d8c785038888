//! What a run consists of: sizes, load, and its timeline of troubles.
use crate::trouble::{self, Trouble};
use std::path::PathBuf;
use std::time::Duration;

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub length: Duration,
    pub relays: usize,
    pub backends: usize,
    /// Sessions a second that come to all relays together.
    pub per_second: f64,
    pub troubles: Vec<Trouble>,
    /// The program that runs relays, as `PROGRAM relay serve --config FILE`.
    pub program: PathBuf,
    /// Where configurations and logs go; it stays if something is found.
    pub folder: PathBuf,
    /// Whether relays keep a store, and whether it may be asked for from outside.
    pub keeps_state: bool,
}

impl Plan {
    /// A run with a timeline drawn from its seed.
    pub fn drawn(seed: u64, length: Duration, program: PathBuf) -> Plan {
        let plan = Plan::quiet(seed, length, program);
        Plan { troubles: trouble::draw(seed, length, plan.relays, plan.backends, trouble::TOGETHER), ..plan }
    }

    /// The same without any trouble.
    pub fn quiet(seed: u64, length: Duration, program: PathBuf) -> Plan {
        let folder = std::env::temp_dir().join(format!("hallrelay-soak-{}-{seed}", std::process::id()));
        Plan {
            seed,
            length,
            relays: 4,
            backends: 6,
            per_second: 40.0,
            troubles: Vec::new(),
            program,
            folder,
            keeps_state: seed % 2 == 1,
        }
    }
}
