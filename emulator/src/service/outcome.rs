//! What a run leaves, as result files have it: fields keep the files' names.
use crate::audit::Breach;
use crate::membership_audit::MembershipOutcome;
use serde::{Deserialize, Serialize};

/// The state of the day at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Seconds since the day began.
    pub at: f64,
    /// Clients that await an answer.
    pub asking: u32,
    /// Clients with an open session.
    pub open: u32,
    /// Clients that will send their next request later.
    pub away: u32,
    /// Clients that are to be served.
    pub wanted: u32,
    /// Utility well served since the last sample, as a fraction of what was requested.
    pub service: f64,
    /// By listener: attempts rejected since the day began.
    pub refused: Vec<u64>,
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
    pub first_tries: u64,
    /// First lines sent.
    pub tries: u64,
    /// Sessions established.
    pub up: u64,
    /// Attempts that were rejected.
    pub refused: u64,
    /// Attempts that got an error.
    pub failed: u64,
    /// Attempts whose connection ended without an answer.
    pub closed: u64,
    /// Attempts that did not connect.
    pub unreached: u64,
    /// Attempts that got no answer in time.
    pub unanswered: u64,
    /// Clients that have given up.
    pub given_up: u64,
    /// Sessions established within the handshake target.
    pub in_target: u64,
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
    pub way: String,
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
    pub most_open: u32,
    /// Servers overloaded while they warmed up.
    pub cold_falls: u32,
    /// The first breaches of the rules.
    pub breaches: Vec<Breach>,
    /// Number of all breaches.
    pub breaches_in_all: u64,
    /// Sessions that the auditor saw.
    pub sessions_seen: u64,
    /// Times of the scenario's faults.
    pub troubles: Vec<BandFigures>,
    /// The day's log.
    pub log: Vec<Mark>,
    /// Samples at even intervals.
    pub samples: Vec<Sample>,
    /// Names of the servers.
    pub servers: Vec<String>,
    /// By relay; in virtual time only its starts.
    pub relays: Vec<RelayFigures>,
    /// The most milliseconds that the emulation ran behind the clock; 0 in virtual time.
    pub late_ms: f64,
    /// Clients that speak no protocol.
    pub bad_clients: BadFigures,
    /// Dials to a server whose drain the relay was notified of, by this process or an earlier one.
    #[serde(default, skip_serializing_if = "is_none")]
    pub stale_dials: u64,
    /// What the membership audit found, where the relays know each other.
    #[serde(default, rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipOutcome>,
    /// Leases of relays, where the scenario requests any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outs: Option<Outs>,
}

fn is_none(count: &u64) -> bool {
    *count == 0
}

/// Leases that an operator requested for relays, and what was counted from outside.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outs {
    /// Relays that a lease was requested for.
    pub wanted: usize,
    /// Leases granted.
    pub let_out: usize,
    /// Answers that a lease is not granted yet.
    pub held: u64,
    /// The most relays draining at once.
    pub most_draining: usize,
    /// The most relays draining, dead or stalled at once.
    pub most_away: usize,
    /// Leases granted while more relays drained than the budget allows.
    pub over: u64,
    /// Seconds from the first request until the last relay was back; 0 where not all were.
    pub took_s: f64,
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
    pub came: u64,
    /// Those that got an error or an end in time.
    pub answered: u64,
    /// Those that did not.
    pub left_waiting: u64,
}
