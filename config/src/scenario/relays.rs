//! The table `relays` of a scenario: the relays, their limits and their state.
use super::{Millis, Span};
use serde::Deserialize;

/// The relays: each a process of its own on sockets, or a reducer of its own in virtual time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Relays {
    /// Number of relays, 1 to 300; 2 by default.
    pub count: usize,
    /// File descriptors that each relay is configured with, 64 at least; 1024 by default.
    pub sockets: usize,
    /// Port of the first relay on 127.0.0.1, each further one at the next port; with 0, the default, each
    /// relay has a free port of an address of its own.
    pub first_port: u16,
    /// Most dials of one session, 1 at least; 5 by default.
    pub most_dials: u32,
    /// Whether relays may probe servers for load reports; true by default.
    pub may_probe: bool,
    /// Connect timeout to a server; 250 ms by default.
    pub connect_timeout_ms: Millis,
    /// Whether the relays are members of one fleet; false by default.
    pub fleet: bool,
    /// Relays whose addresses are in every relay's list of peers, from the first on, 1 at least; 3 by
    /// default.
    pub seeds: usize,
    /// Longest Retry-After of a rejection; 0, the default, where none is conveyed.
    pub retry_after_ms: Millis,
    /// Whether relays have a state store, which outlives their processes; false by default.
    pub state: bool,
    /// Relays that vote on leases, from the first on: 7 at most. 0, the default, is no coordination; voters
    /// need `fleet` and `state`.
    pub voters: usize,
    /// Relays that may be out at once by the disruption budget of the fleet; 1 by default.
    pub out: u32,
    /// The endpoint list in the configuration of a relay that starts; the newest by default.
    pub known: KnownList,
}

/// Which endpoint list the configuration of a starting relay has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KnownList {
    /// The list as of the start.
    #[default]
    Newest,
    /// The list of the day's beginning.
    First,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays {
            count: 2,
            sockets: 1024,
            first_port: 0,
            most_dials: 5,
            may_probe: true,
            connect_timeout_ms: Span(250_000),
            fleet: false,
            seeds: 3,
            retry_after_ms: Span(0),
            state: false,
            voters: 0,
            out: 1,
            known: KnownList::Newest,
        }
    }
}
