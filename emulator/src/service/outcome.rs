//! The outcome of a run. In the result files some fields have older names, which tools of operators read. The
//! terms (well served, utility) are explained in `service`.
use crate::audit::Breach;
use crate::membership_audit::MembershipOutcome;
use serde::{Deserialize, Serialize};

/// State of the day at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Seconds since the start of the day.
    pub at: f64,
    /// Clients that await an answer.
    #[serde(rename = "asking")]
    pub requesting: u32,
    /// Clients with an open session.
    pub open: u32,
    /// Clients that wait before their next request.
    #[serde(rename = "away")]
    pub waiting: u32,
    /// Clients whose lifetime has not ended: each wants a session.
    pub wanted: u32,
    /// Utility well served since the previous sample, as a fraction of the utility requested.
    pub service: f64,
    /// By listener: attempts rejected since the start of the day.
    #[serde(rename = "refused")]
    pub rejected: Vec<u64>,
    /// Attempts that failed, were closed or got no answer since the start of the day.
    pub failed: u64,
    /// Sessions that migrated since the start of the day.
    pub moves: u64,
    /// Sessions that broke since the start of the day.
    pub breaks: u64,
    /// By server: demand divided by capacity.
    pub loads: Vec<f32>,
}

/// Totals of one listener over the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListenerFigures {
    /// Name of the listener.
    pub name: String,
    /// Session time well served, as a fraction of the session time requested.
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
    /// Clients that gave up.
    pub given_up: u64,
    /// Sessions established within the handshake target.
    #[serde(rename = "in_target")]
    pub within_target: u64,
    /// Milliseconds from the first line to `UP`: median, p99, p99.9, maximum.
    pub wait_ms: [f64; 4],
}

/// A line of the day's log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Seconds since the start of the day.
    pub at: f64,
    /// The line.
    pub text: String,
}

/// Period of one fault, in seconds since the start of the day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultFigures {
    /// Kind in lower case, with spaces between words.
    pub kind: String,
    /// Start of the fault.
    pub from: f64,
    /// End of the fault.
    pub to: f64,
}

/// The complete result of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the scenario.
    pub name: String,
    /// Seed of the run.
    pub seed: u64,
    /// `sockets` or `virtual`.
    #[serde(rename = "way")]
    pub mode: String,
    /// Length of the day in seconds.
    pub length_s: f64,
    /// Why the run ended early, if it did.
    pub partial: Option<String>,
    /// The service figure: its parts as weighted by the scenario's goal, minus prices.
    pub figure: f64,
    /// Utility well served over the day, as a fraction of the utility requested.
    pub whole: f64,
    /// Utility well served in the worst 10 s, as a fraction of the utility requested in them.
    pub worst_window: f64,
    /// Session time well served for the worst listener, as a fraction of its session time requested.
    pub worst_listener: f64,
    /// Prices of migrations, probes, dials and wasted work.
    pub prices: f64,
    /// Totals by listener.
    pub listeners: Vec<ListenerFigures>,
    /// Sessions that migrated.
    pub moves: u64,
    /// Sessions that broke.
    pub breaks: u64,
    /// First lines that servers received.
    pub dials: u64,
    /// Probes that servers answered.
    pub probes: u64,
    /// Work of set-ups whose sessions never opened, as a fraction of all work.
    pub wasted: f64,
    /// Maximum number of sessions open at the same time.
    #[serde(rename = "most_open")]
    pub max_open: u32,
    /// Number of overloads of servers that were warming up.
    #[serde(rename = "cold_falls")]
    pub overloads: u32,
    /// The first breaches of the rules, with their traces; `breach_count` counts all.
    pub breaches: Vec<Breach>,
    /// Total number of breaches.
    #[serde(rename = "breaches_in_all")]
    pub breach_count: u64,
    /// Sessions that the auditor saw.
    pub sessions_seen: u64,
    /// Periods of the scenario's faults.
    #[serde(rename = "troubles")]
    pub faults: Vec<FaultFigures>,
    /// The day's log.
    pub log: Vec<LogLine>,
    /// Samples at equal intervals.
    pub samples: Vec<Sample>,
    /// Names of the servers.
    pub servers: Vec<String>,
    /// Resource usage by relay. In virtual time only the number of starts is set.
    pub relays: Vec<RelayFigures>,
    /// Maximum delay of a step of the emulation after its due time, in milliseconds; 0 in virtual time.
    #[serde(rename = "late_ms")]
    pub max_delay_ms: f64,
    /// Counts of clients that send malformed input.
    #[serde(rename = "bad_clients")]
    pub malformed_clients: MalformedClientFigures,
    /// Number of dials to a draining server after an earlier process of the relay was notified of the drain.
    #[serde(default, skip_serializing_if = "is_none")]
    pub stale_dials: u64,
    /// Result of the membership audit, if the relays form a cluster.
    #[serde(default, rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipOutcome>,
    /// Leases of relays, if the scenario requests any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outs: Option<LeaseFigures>,
}

fn is_none(count: &u64) -> bool {
    *count == 0
}

/// Leases that an operator requested for relays, and the availability of the relays as the emulation counts
/// it. A lease permits the operator to take one relay out of service for a limited time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseFigures {
    /// Relays for which a lease was requested.
    #[serde(rename = "wanted")]
    pub requested: usize,
    /// Leases granted.
    #[serde(rename = "let_out")]
    pub granted: usize,
    /// Number of answers that deferred a lease, so that the operator repeated the request.
    #[serde(rename = "held")]
    pub deferred: u64,
    /// Maximum number of relays that drained at the same time.
    #[serde(rename = "most_draining")]
    pub max_draining: usize,
    /// Maximum number of relays that were draining, dead or stalled at the same time.
    #[serde(rename = "most_away")]
    pub max_unavailable: usize,
    /// Number of leases granted while more relays were draining than the budget allows.
    pub over: u64,
    /// Seconds from the first request until the last relay was back; 0 if not all came back.
    #[serde(rename = "took_s")]
    pub duration_s: f64,
}

/// Resource usage of a relay's processes, as reported by the operating system.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayFigures {
    /// CPU time in seconds of all its processes.
    pub cpu_s: f64,
    /// Maximum resident memory, in MiB.
    pub resident_mb: f64,
    /// Maximum number of open file descriptors.
    pub descriptors: u64,
    /// Number of processes started.
    pub starts: u32,
    /// Whether a process ended without a request to stop.
    pub crashed: bool,
}

/// Clients that send malformed input, by whether they got an error or the end of the connection in time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MalformedClientFigures {
    /// Clients that connected.
    #[serde(rename = "came")]
    pub connected: u64,
    /// Clients that got an error or the end of the connection in time.
    pub answered: u64,
    /// Clients that got neither in time.
    #[serde(rename = "left_waiting")]
    pub unanswered: u64,
}
