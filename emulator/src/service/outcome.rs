//! The outcome of a run. Result files have some fields under older names.
use crate::audit::Breach;
use crate::membership_audit::MembershipOutcome;
use serde::{Deserialize, Serialize};

/// The state of the day at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Seconds since the day began.
    pub at: f64,
    /// Clients that await an answer.
    #[serde(rename = "asking")]
    pub requesting: u32,
    /// Clients with an open session.
    pub open: u32,
    /// Clients that will send their next request later.
    #[serde(rename = "away")]
    pub waiting: u32,
    /// Clients that are to be served.
    pub wanted: u32,
    /// Utility well served since the last sample, as a fraction of what was requested.
    pub service: f64,
    /// By listener: attempts rejected since the day began.
    #[serde(rename = "refused")]
    pub rejected: Vec<u64>,
    /// Attempts that failed, were closed or got no answer since the day began.
    pub failed: u64,
    /// Sessions that migrated since the day began.
    pub moves: u64,
    /// Sessions that broke since the day began.
    pub breaks: u64,
    /// By server: demand over capacity.
    pub loads: Vec<f32>,
}

/// Counts of one listener over the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListenerFigures {
    /// Name of the listener.
    pub name: String,
    /// Session time well served, as a fraction of what was requested.
    pub service: f64,
    /// Clients that arrived.
    #[serde(rename = "first_tries")]
    pub first_attempts: u64,
    /// First lines sent.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Sessions established.
    #[serde(rename = "up")]
    pub established: u64,
    /// Attempts that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Attempts that got an error.
    pub failed: u64,
    /// Attempts whose connection ended without an answer.
    pub closed: u64,
    /// Attempts that did not connect.
    #[serde(rename = "unreached")]
    pub unreachable: u64,
    /// Attempts that got no answer in time.
    pub unanswered: u64,
    /// Clients that have given up.
    pub given_up: u64,
    /// Sessions established within the handshake target.
    #[serde(rename = "in_target")]
    pub within_target: u64,
    /// Milliseconds from the first line to `UP`: median, p99, p99.9, maximum.
    pub wait_ms: [f64; 4],
}

/// A line of the day's log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Seconds since the day began.
    pub at: f64,
    /// The line.
    pub text: String,
}

/// The time of one fault, in seconds since the day began.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BandFigures {
    /// Kind in lower case, words apart.
    pub kind: String,
    /// Its beginning.
    pub from: f64,
    /// Its end.
    pub to: f64,
}

/// All that a run leaves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the scenario.
    pub name: String,
    /// Seed of the run.
    pub seed: u64,
    /// `sockets` or `virtual`.
    #[serde(rename = "way")]
    pub mode: String,
    /// Seconds that the day lasted.
    pub length_s: f64,
    /// Why it ended before its time, if it did.
    pub partial: Option<String>,
    /// The service figure: its parts as the scenario's goal weights them, less prices.
    pub figure: f64,
    /// Utility well served over the day, as a fraction of what was requested.
    pub whole: f64,
    /// The same for the worst ten seconds.
    pub worst_window: f64,
    /// The same for the worst listener.
    pub worst_listener: f64,
    /// Prices of migrations, health checks, dials and wasted work.
    pub prices: f64,
    /// By listener.
    pub listeners: Vec<ListenerFigures>,
    /// Sessions that migrated.
    pub moves: u64,
    /// Sessions that broke.
    pub breaks: u64,
    /// First lines that servers received.
    pub dials: u64,
    /// Health checks that servers answered.
    pub probes: u64,
    /// Work of set-ups without a session, as a fraction of all work.
    pub wasted: f64,
    /// The most sessions open at once.
    #[serde(rename = "most_open")]
    pub max_open: u32,
    /// Servers overloaded while they warmed up.
    #[serde(rename = "cold_falls")]
    pub overloads: u32,
    /// The first breaches of the rules.
    pub breaches: Vec<Breach>,
    /// Number of all breaches.
    #[serde(rename = "breaches_in_all")]
    pub breach_count: u64,
    /// Sessions that the auditor saw.
    pub sessions_seen: u64,
    /// Times of the scenario's faults.
    #[serde(rename = "troubles")]
    pub faults: Vec<BandFigures>,
    /// The day's log.
    pub log: Vec<Mark>,
    /// Samples at even intervals.
    pub samples: Vec<Sample>,
    /// Names of the servers.
    pub servers: Vec<String>,
    /// By relay; in virtual time only its starts.
    pub relays: Vec<RelayFigures>,
    /// The most milliseconds that the emulation ran behind the clock; 0 in virtual time.
    #[serde(rename = "late_ms")]
    pub max_delay_ms: f64,
    /// Clients that speak no protocol.
    #[serde(rename = "bad_clients")]
    pub malformed_clients: BadFigures,
    /// Dials to a server whose drain the relay was notified of, by this process or an earlier one.
    #[serde(default, skip_serializing_if = "is_none")]
    pub stale_dials: u64,
    /// What the membership audit found, where the relays know each other.
    #[serde(default, rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipOutcome>,
    /// Leases of relays, where the scenario requests any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outs: Option<LeaseFigures>,
}

fn is_none(count: &u64) -> bool {
    *count == 0
}

/// Leases that an operator requested for relays, and what was counted from outside.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseFigures {
    /// Relays that a lease was requested for.
    #[serde(rename = "wanted")]
    pub requested: usize,
    /// Leases granted.
    #[serde(rename = "let_out")]
    pub granted: usize,
    /// Answers that a lease is not granted yet.
    #[serde(rename = "held")]
    pub deferred: u64,
    /// The most relays draining at once.
    #[serde(rename = "most_draining")]
    pub max_draining: usize,
    /// The most relays draining, dead or stalled at once.
    #[serde(rename = "most_away")]
    pub max_unavailable: usize,
    /// Leases granted while more relays drained than the budget allows.
    pub over: u64,
    /// Seconds from the first request until the last relay was back; 0 where not all were.
    #[serde(rename = "took_s")]
    pub duration_s: f64,
}

/// What the system counted of a relay's processes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayFigures {
    /// CPU seconds of all its processes.
    pub cpu_s: f64,
    /// The most resident memory, in MiB.
    pub resident_mb: f64,
    /// The most descriptors that were open at once.
    pub descriptors: u64,
    /// Processes started.
    pub starts: u32,
    /// A process ended by itself, though nobody had requested it.
    pub crashed: bool,
}

/// Clients that speak no protocol: how many got their error or end in time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BadFigures {
    /// Clients that connected.
    #[serde(rename = "came")]
    pub connected: u64,
    /// Those that got an error or an end in time.
    pub answered: u64,
    /// Those that did not.
    #[serde(rename = "left_waiting")]
    pub unanswered: u64,
}
