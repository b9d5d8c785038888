//! The table `servers` of a scenario: the emulated backends, their capacity, warm-up, reports and drains.
use super::{Millis, Num, Part, Secs, Span};
use serde::Deserialize;

/// The backends, and what they have in common.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Servers {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Groups of equal machines.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Sessions of the usual load that fill one core of speed 1.
    pub per_core: Num,
    /// Work of a new connection, on a core of speed 1.
    pub setup_ms: Millis,
    /// Work of a probe, on a core of speed 1.
    pub probe_ms: Millis,
    /// New sessions that the shared session store takes in a second; 0 is no limit.
    pub store_per_s: Num,
    /// Connections that a core holds.
    pub cap_per_core: u32,
    /// What a group costs each server that holds any of it, in usual sessions.
    pub group_cost: Num,
    /// Interval at which a report is refreshed: a time between two.
    pub report_every_ms: [Millis; 2],
    /// How much later than it was taken a report can be read: a time between two.
    pub report_late_ms: [Millis; 2],
    /// How far reported figures are off, as a part of them.
    pub report_noise: Part,
    /// Part of its capacity that a server has when it starts.
    pub cold_from: Part,
    /// Warm-up time, after which a server has its whole capacity.
    pub cold_s: Secs,
    /// How capacity grows during warm-up.
    pub warms: Warms,
    /// How a draining server sends its clients away.
    pub drains: Drains,
    /// How long a server that drains takes to send its clients away.
    pub drain_s: Secs,
    pub tells_load: bool,
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
    /// All at once when the time is over.
    AtTheEnd,
}

/// How a draining server sends its clients away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Drains {
    /// Spread over the drain's time.
    BitByBit,
    /// All of them when it begins.
    AtOnce,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    pub count: usize,
    pub cores: u32,
    pub speed: Num,
    /// How far one machine's speed may be from another's, as a part of it.
    #[serde(default)]
    pub speed_off: Part,
}
