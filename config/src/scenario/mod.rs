//! A scenario, in TOML: one emulated day with its servers, relays, load, clients and faults. A server is an
//! emulated backend. A scenario is read and validated completely before anything starts. Every error names
//! the file, the line and the key.
mod check;
mod clients;
mod fault;
mod listener;
mod read;
mod relays;
mod rules;
mod servers;
mod units;

pub use clients::{Bad, BadSort, Clients, Load, Step};
pub use fault::{ConnectionFault, Fault, FaultKind};
pub use listener::{IdempotencyScope, Listener, Repeatability};
pub use read::{parse, ScenarioError};
pub use relays::{KnownList, Relays};
pub use rules::{Goal, ListService, Net, Rules};
pub use servers::{DrainPace, Kind, Servers, WarmUpCurve};
pub use units::{Fraction, Millis, NonNegative, Secs, Span};

use serde::Deserialize;

/// One day: what runs, what clients request, and which faults occur. All times are counted from the
/// beginning of the day.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, and of its fleet if it has one.
    pub name: String,
    /// Seed of all random numbers, unless the command line sets one; 1 by default.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Length of the day, at least 1 s.
    pub length_s: Secs,
    /// The relays.
    #[serde(default)]
    pub relays: Relays,
    /// The emulated backends.
    pub servers: Servers,
    /// The listeners, at least one.
    #[serde(rename = "listener")]
    pub listeners: Vec<Listener>,
    /// The rate of requested sessions.
    pub load: Load,
    /// Behaviour of clients.
    #[serde(default)]
    pub clients: Clients,
    /// Clients that violate the protocol.
    #[serde(default)]
    pub bad: Bad,
    /// The discovery service.
    #[serde(default)]
    pub list: ListService,
    /// The rules that the auditor, which observes the emulated day, checks.
    #[serde(default)]
    pub rules: Rules,
    /// Weights and costs of the service figure, which rates the day.
    #[serde(default)]
    pub goal: Goal,
    /// Latencies in virtual time.
    #[serde(default)]
    pub net: Net,
    /// The faults; none by default.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
}

fn default_seed() -> u64 {
    1
}

impl Scenario {
    /// Total number of servers of all kinds.
    pub fn server_count(&self) -> usize {
        self.servers.kinds.iter().map(|kind| kind.count).sum()
    }

    /// Expected number of concurrent sessions at the highest rate of the day, or the sessions that are open
    /// at its beginning, whichever is more. It counts no sessions as ended by faults.
    pub fn most_open(&self) -> f64 {
        let shares: f64 = self.listeners.iter().map(|listener| listener.share.0).sum();
        let weighted_life = |listener: &Listener| listener.share.0 * listener.life_s.us() as f64 / 1e6;
        let life: f64 = self.listeners.iter().map(weighted_life).sum::<f64>();
        let bursts = self.faults.iter().filter(|fault| fault.kind == FaultKind::Burst);
        let factors = bursts.map(|burst| burst.strength.0);
        let highest = self.load.steps.iter().map(|step| step.times.0).chain(factors).fold(1.0, f64::max);
        let length = self.length_s.us() as f64 / 1e6;
        let rate = self.load.rate.0 * highest * (1.0 + self.load.wave.0);
        (rate * (life / shares.max(1e-9)).min(length)).max(self.load.standing as f64)
    }
}
