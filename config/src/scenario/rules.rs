//! The tables `list`, `rules`, `goal` and `net` of a scenario: the discovery service, the rules that the
//! auditor checks, the service figure, and network latencies. The auditor observes the emulated day from
//! outside the relays.
use super::{Fraction, Millis, NonNegative, Secs, Span};
use serde::Deserialize;

/// The discovery service, which serves the endpoint list: the list of all servers. Pairs of times are the
/// bounds of a uniform distribution.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListService {
    /// Delay from the end of a server, or from the start of its drain, to the change of its entry in the
    /// list; 1.4 to 4.5 s by default.
    pub notice_s: [Secs; 2],
    /// Delay from the loss of a server to the change of its entry in the list, if the server did not close
    /// its connections; 6.8 to 14 s by default.
    pub silent_notice_s: [Secs; 2],
    /// Delay from the start of a server to its entry in the list; 0.39 to 1.9 s by default.
    pub add_s: [Secs; 2],
    /// Whether relays must request the endpoint list by a watch; otherwise it is pushed to them. True by
    /// default.
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
    /// Time for which a relay that was notified of a server's drain may still send it new sessions; 250 ms
    /// by default.
    pub drain_grace_ms: Millis,
    /// Load at which a server that warms up is overloaded, as a multiple of its current capacity; 3 by
    /// default.
    pub fall_multiple: NonNegative,
    /// Time for which a server that warms up sustains an overload before it fails; 2 s by default.
    pub fall_s: Secs,
    /// Longest time that may pass between two requests of a relay for the endpoint list; 10 s by default.
    pub ask_within_s: Secs,
    /// Allowance for latency that the auditor adds to each time limit of a rule; 50 ms by default.
    pub slack_ms: Millis,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace_ms: Span(250_000),
            fall_multiple: NonNegative(3.0),
            fall_s: Span(2_000_000),
            ask_within_s: Span(10_000_000),
            slack_ms: Span(50_000),
        }
    }
}

/// Weights of the service figure, and costs that are subtracted from it. Service is the fraction of the
/// requested session time that was served within its objectives, weighted by priority.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Goal {
    /// Weight of the service over the complete day; 0.35 by default.
    pub whole: Fraction,
    /// Weight of the service of the worst ten seconds; 0.45 by default.
    pub worst_window: Fraction,
    /// Weight of the service of the worst listener; 0.2 by default.
    pub worst_listener: Fraction,
    /// Cost of migrations, multiplied by their number per first attempt; 0.021 by default.
    pub price_move: Fraction,
    /// Cost of probes, multiplied by their number per first attempt; 0.002 by default.
    pub price_probe: Fraction,
    /// Cost of dials, multiplied by their number per first attempt; 0 by default.
    pub price_handshake: Fraction,
    /// Cost of wasted work of servers, multiplied by its fraction of all their work; 0.065 by default.
    pub price_waste: Fraction,
}

impl Default for Goal {
    fn default() -> Goal {
        Goal {
            whole: Fraction(0.35),
            worst_window: Fraction(0.45),
            worst_listener: Fraction(0.2),
            price_move: Fraction(0.021),
            price_probe: Fraction(0.002),
            price_handshake: Fraction(0.0),
            price_waste: Fraction(0.065),
        }
    }
}

/// Latencies in virtual time. On sockets the real latencies apply.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Latency between a client and a relay, in each direction; 0.05 ms by default.
    pub client_ms: Millis,
    /// Latency between a relay and a server or another relay, in each direction; 0.05 ms by default.
    pub server_ms: Millis,
}

impl Default for Net {
    fn default() -> Net {
        Net { client_ms: Span(50), server_ms: Span(50) }
    }
}
