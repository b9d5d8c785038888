//! The table `servers` of a scenario: the emulated backends, with capacity, warm-up, load reports and
//! drains.
use super::{Fraction, Millis, NonNegative, Secs, Span};
use serde::Deserialize;

/// The backends, and the properties that they have in common.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Servers {
    /// Names of the zones, 1 to 200, to which servers are assigned in turn; one zone, `here`, by default.
    pub zones: Vec<String>,
    /// The kinds of servers, at least one, with 1 to 4096 servers in total.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Number of usual sessions (sessions of the load 1.0) that together use one core of speed 1, more than
    /// 0; 16 by default.
    pub per_core: NonNegative,
    /// CPU time of a new session on a core of speed 1; 1.5 ms by default.
    pub setup_ms: Millis,
    /// CPU time of a probe on a core of speed 1; 0.7 ms by default.
    pub probe_ms: Millis,
    /// New sessions that the shared session store accepts per second; 0, the default, means no limit.
    pub store_per_s: NonNegative,
    /// Maximum number of connections per core, at least 1; 40 by default.
    pub cap_per_core: u32,
    /// Load that a group of sessions adds to each server with at least one of its sessions, in usual
    /// sessions; 0.5 by default.
    pub group_cost: NonNegative,
    /// Time from one update of a server's load report to the next, random between two times, more than 0;
    /// 0.3 to 1.5 s by default.
    pub report_every_ms: [Millis; 2],
    /// Age of the load reports that a server sends, random between two times; 90 to 490 ms by default.
    pub report_late_ms: [Millis; 2],
    /// Standard deviation of reported values, as a fraction of the value; 0.05 by default.
    pub report_noise: Fraction,
    /// Fraction of its capacity with which a server starts, more than 0; 0.2 by default.
    pub cold_from: Fraction,
    /// Warm-up time, after which a server has its full capacity; 15 s by default.
    pub cold_s: Secs,
    /// Growth of capacity during warm-up; evenly by default.
    pub warms: WarmUpCurve,
    /// How a draining server spreads the end of its sessions; bit by bit by default.
    pub drains: DrainPace,
    /// Time over which a draining server ends its sessions bit by bit; 3 s by default.
    pub drain_s: Secs,
    /// Whether servers report the load of each session to its relay; true by default.
    pub tells_load: bool,
    /// Whether servers report the latency of late messages, once per second on one session of each relay;
    /// true by default.
    pub tells_delay: bool,
}

impl Default for Servers {
    fn default() -> Servers {
        Servers {
            zones: vec!["here".to_string()],
            kinds: vec![],
            per_core: NonNegative(16.0),
            setup_ms: Span(1_500),
            probe_ms: Span(700),
            store_per_s: NonNegative(0.0),
            cap_per_core: 40,
            group_cost: NonNegative(0.5),
            report_every_ms: [Span(300_000), Span(1_500_000)],
            report_late_ms: [Span(90_000), Span(490_000)],
            report_noise: Fraction(0.05),
            cold_from: Fraction(0.2),
            cold_s: Span(15_000_000),
            warms: WarmUpCurve::Evenly,
            drains: DrainPace::BitByBit,
            drain_s: Span(3_000_000),
            tells_load: true,
            tells_delay: true,
        }
    }
}

/// Growth of a server's capacity during warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WarmUpCurve {
    /// In proportion to time.
    Evenly,
    /// In one step at the end of the warm-up.
    AtTheEnd,
}

/// How a draining server spreads the end of its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainPace {
    /// Evenly over `Servers::drain_s`.
    BitByBit,
    /// All at the start of the drain.
    AtOnce,
}

/// Servers of one kind.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name of the kind.
    pub name: String,
    /// Number of servers of this kind.
    pub count: usize,
    /// Cores of each server, at least 1.
    pub cores: u32,
    /// Speed of a core, more than 0; 1 is the usual speed.
    pub speed: NonNegative,
    /// Largest deviation of a server's speed, as a fraction of `speed`; 0 by default.
    #[serde(default)]
    pub speed_off: Fraction,
}
