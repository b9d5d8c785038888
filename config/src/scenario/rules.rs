//! The tables `list`, `rules`, `goal` and `net` of a scenario: the discovery service, the audited rules, the
//! service figure, and latencies.
use super::{Millis, Num, Part, Secs, Span};
use serde::Deserialize;

/// The discovery service. A pair of times bounds an evenly distributed one.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListService {
    /// From a server's end or the start of its drain to its entry in the list; 1.4 to 4.5 s by default.
    pub notice_s: [Secs; 2],
    /// The same of a server that vanished without closing its connections; 6.8 to 14 s by default.
    pub silent_notice_s: [Secs; 2],
    /// From a server's start to its entry in the list; 0.39 to 1.9 s by default.
    pub add_s: [Secs; 2],
    /// Whether relays must watch the list, as by default; otherwise it is pushed to them.
    pub watched: bool,
}

impl Default for ListService {
    fn default() -> ListService {
        ListService {
            notice_s: [Span(1_400_000), Span(4_500_000)],
            silent_notice_s: [Span(6_800_000), Span(14_000_000)],
            add_s: [Span(390_000), Span(1_900_000)],
            watched: true,
        }
    }
}

/// The site's rules that the auditor checks.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after a relay was notified of a drain it may still send new sessions; 250 ms by default.
    pub drain_grace_ms: Millis,
    /// How many times a full server's sessions a warming server sustains within its warm-up; 3 by default.
    pub fall_multiple: Num,
    /// How long a warming server sustains more than that before it fails; 2 s by default.
    pub fall_s: Secs,
    /// The longest time between two polls of the endpoint list; 10 s by default.
    pub ask_within_s: Secs,
    /// What the auditor adds to each time of a rule, for latency; 50 ms by default.
    pub slack_ms: Millis,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace_ms: Span(250_000),
            fall_multiple: Num(3.0),
            fall_s: Span(2_000_000),
            ask_within_s: Span(10_000_000),
            slack_ms: Span(50_000),
        }
    }
}

/// The weights of the service figure, and the costs that are subtracted from it.
///
/// Service is the fraction of requested session time that was served well, weighted by priority.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Goal {
    /// Weight of the service of the whole day; 0.35 by default.
    pub whole: Part,
    /// Weight of the service of the worst ten seconds; 0.45 by default.
    pub worst_window: Part,
    /// Weight of the service of the worst listener; 0.2 by default.
    pub worst_listener: Part,
    /// Cost of a migration for each first attempt; 0.021 by default.
    pub price_move: Part,
    /// Cost of a probe for each first attempt; 0.002 by default.
    pub price_probe: Part,
    /// Cost of a dial for each first attempt; 0 by default.
    pub price_handshake: Part,
    /// Cost of the servers' wasted work, as a fraction of all their work; 0.065 by default.
    pub price_waste: Part,
}

impl Default for Goal {
    fn default() -> Goal {
        Goal {
            whole: Part(0.35),
            worst_window: Part(0.45),
            worst_listener: Part(0.2),
            price_move: Part(0.021),
            price_probe: Part(0.002),
            price_handshake: Part(0.0),
            price_waste: Part(0.065),
        }
    }
}

/// Latencies in virtual time; sockets have their own.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// From a client to a relay, in each direction; 0.05 ms by default.
    pub client_ms: Millis,
    /// From a relay to a server or another relay, in each direction; 0.05 ms by default.
    pub server_ms: Millis,
}

impl Default for Net {
    fn default() -> Net {
        Net { client_ms: Span(50), server_ms: Span(50) }
    }
}
