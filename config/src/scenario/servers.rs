//! The table `servers` of a scenario: the emulated backends, their capacity, warm-up, reports and drains.
use super::{Millis, Num, Part, Secs, Span};
use serde::Deserialize;

/// The backends, and what they have in common.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Servers {
    /// Names of the zones, 1 to 200, which servers are in by turns; one zone, `here`, by default.
    pub zones: Vec<String>,
    /// The kinds of servers, one at least; 1 to 4096 servers in all.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Sessions of the usual load that fill one core of speed 1, more than 0; 16 by default.
    pub per_core: Num,
    /// Work of a new session, as time of a core of speed 1; 1.5 ms by default.
    pub setup_ms: Millis,
    /// Work of a probe, as time of a core of speed 1; 0.7 ms by default.
    pub probe_ms: Millis,
    /// New sessions that the shared session store accepts in a second; 0, the default, is no limit.
    pub store_per_s: Num,
    /// Most connections by core, 1 at least; 40 by default.
    pub cap_per_core: u32,
    /// Load of a group on each server that has any session of it, in usual sessions; 0.5 by default.
    pub group_cost: Num,
    /// Interval at which a server measures its report, random between two times, more than 0; 0.3 to 1.5 s by
    /// default.
    pub report_every_ms: [Millis; 2],
    /// Age of the reports that a server answers with, random between two times; 90 to 490 ms by default.
    pub report_late_ms: [Millis; 2],
    /// Relative standard deviation of reported values; 0.05 by default.
    pub report_noise: Part,
    /// Fraction of its capacity that a server has when it starts, more than 0; 0.2 by default.
    pub cold_from: Part,
    /// Warm-up time, after which a server has its whole capacity; 15 s by default.
    pub cold_s: Secs,
    /// How capacity grows during warm-up; evenly by default.
    pub warms: Warms,
    /// How a draining server ends its sessions; bit by bit by default.
    pub drains: Drains,
    /// How long a draining server takes for that, where it ends them bit by bit; 3 s by default.
    pub drain_s: Secs,
    /// Whether servers report the load of each session to its relay; true by default.
    pub tells_load: bool,
    /// Whether servers report late messages, once a second on one session of each relay; true by default.
    pub tells_delay: bool,
}

impl Default for Servers {
    fn default() -> Servers {
        Servers {
            zones: vec!["here".to_string()],
            kinds: vec![],
            per_core: Num(16.0),
            setup_ms: Span(1_500),
            probe_ms: Span(700),
            store_per_s: Num(0.0),
            cap_per_core: 40,
            group_cost: Num(0.5),
            report_every_ms: [Span(300_000), Span(1_500_000)],
            report_late_ms: [Span(90_000), Span(490_000)],
            report_noise: Part(0.05),
            cold_from: Part(0.2),
            cold_s: Span(15_000_000),
            warms: Warms::Evenly,
            drains: Drains::BitByBit,
            drain_s: Span(3_000_000),
            tells_load: true,
            tells_delay: true,
        }
    }
}

/// How a server's capacity grows during warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Warms {
    /// In proportion to the time.
    Evenly,
    /// In one step at the end of the warm-up.
    AtTheEnd,
}

/// How a draining server ends its sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Drains {
    /// Spread over `Servers::drain_s`.
    BitByBit,
    /// All of them at once.
    AtOnce,
}

/// Servers of one kind.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The kind's name.
    pub name: String,
    /// Number of servers of this kind.
    pub count: usize,
    /// Cores of each, 1 at least.
    pub cores: u32,
    /// Speed of a core, more than 0; 1 is the usual one.
    pub speed: Num,
    /// Largest deviation of one server's speed, as a fraction of the speed; 0 by default.
    #[serde(default)]
    pub speed_off: Part,
}
