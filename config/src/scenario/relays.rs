//! The table `relays` of a scenario: the relays, their limits and their state.
use super::{Millis, Span};
use serde::Deserialize;

/// The relays. Each is a separate process on sockets, or a separate reducer in virtual time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Relays {
    /// Number of relays, 1 to 300; 2 by default.
    pub count: usize,
    /// Number of file descriptors that each relay may use, at least 64; 1024 by default.
    pub sockets: usize,
    /// Port of the first relay on 127.0.0.1; each further relay uses the next port. With 0, the default,
    /// each relay uses a free port of a separate address.
    pub first_port: u16,
    /// Maximum number of dials of one session, at least 1; 5 by default.
    pub most_dials: u32,
    /// Whether relays may send probes, small requests for a load report; true by default.
    pub may_probe: bool,
    /// Connect timeout to a server, after which a connection counts as failed; 250 ms by default.
    pub connect_timeout_ms: Millis,
    /// Whether the relays are members of one fleet; false by default.
    pub fleet: bool,
    /// Number of relays, counted from the first, that are in every relay's list of peers; at least 1, 3 by
    /// default.
    pub seeds: usize,
    /// Longest Retry-After, the delay that relays may request of a rejected client before its retry. 0, the
    /// default, means that relays may not send one.
    pub retry_after_ms: Millis,
    /// Whether relays have a state store, which keeps what a relay must still know after a restart; false by
    /// default.
    pub state: bool,
    /// Number of relays, counted from the first, that vote on leases (permits to take a relay out of
    /// service); at most 7. 0, the default, disables leases. Voters require `fleet` and `state`.
    pub voters: usize,
    /// Relays that may be out of service at the same time under the fleet's disruption budget; 1 by default.
    pub out: u32,
    /// The endpoint list in the configuration of a starting relay; the newest by default.
    pub known: KnownList,
}

/// The endpoint list in the configuration of a starting relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KnownList {
    /// The list at the time of the start.
    #[default]
    Newest,
    /// The list at the beginning of the day.
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
