//! The tables `trouble` of a scenario: faults, with their targets, times and strengths.
use super::{Fraction, Millis, NonNegative, Secs};
use serde::Deserialize;

/// One fault. Keys that do not apply to its kind must be omitted.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, from the beginning of the day; before the end of the day.
    pub at_s: Secs,
    /// Duration of the fault; 0 by default. Most kinds require more than 0.
    #[serde(default)]
    pub length_s: Secs,
    /// Fraction of the servers, relays or open clients that are affected, selected at random. At least one
    /// server or relay is affected, so that 0, the default, selects one.
    #[serde(default)]
    pub share: Fraction,
    /// Strength of the fault, in the unit that is documented at its kind; 0 by default.
    #[serde(default)]
    pub strength: NonNegative,
    /// The zone that `zone-cut` disconnects from the relays and servers of other zones.
    #[serde(default)]
    pub zone: Option<String>,
    /// The connection fault of `wire`.
    #[serde(default)]
    pub fault: Option<ConnectionFault>,
    /// The affected relays, by number from 0, instead of a random `share`.
    #[serde(default)]
    pub relays: Vec<usize>,
    /// The relays at which affected links start; all relays if empty.
    #[serde(default)]
    pub from: Vec<usize>,
    /// The relays at which affected links end; all relays if empty.
    #[serde(default)]
    pub to: Vec<usize>,
    /// Whether only the direction from `from` to `to` is affected, not the opposite one; false by default.
    #[serde(default)]
    pub one_way: bool,
    /// The groups of `link-split`, within which relays reach each other; two halves if empty. A relay that
    /// is in no group is isolated.
    #[serde(default)]
    pub groups: Vec<Vec<usize>>,
    /// With `link-split`, a relay that reaches all groups and is reached by all of them.
    #[serde(default)]
    pub bridge: Option<usize>,
    /// Period of an intermittent link fault, which is active in the first half of each period; 0, the
    /// default, means that it is always active. With `relay-looping`, the time from a kill to the start of
    /// the relay, and from the start to the next kill. At least 0.1 s unless it is 0.
    #[serde(default)]
    pub every_s: Secs,
    /// Delay that `link-delay` and `link-reorder` add, random between two times.
    #[serde(default)]
    pub delay_ms: [Millis; 2],
}

/// The kinds of faults, with the units of `strength`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers crash, and restart at the end of the fault; with a length of 0 they stay down.
    Crash,
    /// Like `Crash`, but without closing connections: servers just stop answering.
    Vanish,
    /// Servers are slower by the factor `strength`, at least 1.
    Slow,
    /// Servers stall for the fraction `strength` of each period of 2 to 4 s.
    Pauses,
    /// Servers reject the fraction `strength` of dials, with `ERR`.
    Failing,
    /// Load reports of servers are older by `strength` seconds.
    LateReports,
    /// Relays do not reach servers of other zones if the relay or the server is in the zone `zone`.
    ZoneCut,
    /// All servers and their session store are slower by the factor `strength`, at least 1.
    SharedSlow,
    /// Servers drain and restart group by group, spread over the length of the fault. Each group is the
    /// fraction `strength` of the affected servers (0 means 0.2).
    Deploy,
    /// Servers drain and stop, and start again after the length of the fault, at least 1 s.
    Drain,
    /// The rate of new clients is multiplied by `strength`, at least 1.
    Burst,
    /// The fraction `share` of the open clients disconnects, and reconnects within `strength` seconds (0
    /// means 1).
    Reconnect,
    /// The discovery service does not answer.
    ListDown,
    /// Changes of the endpoint list are delayed by `strength` seconds.
    ListLate,
    /// Servers report their load multiplied by `strength`.
    Lies,
    /// The fraction `strength` of connections to servers (0 means all) is affected by `fault`.
    Wire,
    /// Relays are killed (SIGKILL), and start again at the end of the fault.
    RelayKilled,
    /// Relays are stopped (SIGTERM), and start again at the end of the fault.
    RelayStopped,
    /// Relays reload their configuration.
    RelayReloaded,
    /// Relays are suspended (SIGSTOP), and resume at the end of the fault.
    RelayStalled,
    /// Relays are repeatedly killed and started, at the interval `every_s`.
    RelayLooping,
    /// A new process takes over from the running one (hot restart).
    RelayReplaced,
    /// An operator requests a lease (a permit to take a relay out of service) for each relay until it is
    /// granted, and returns the relay to service after `strength` seconds (0 means 3).
    RelaysOut,
    /// Links between relays drop everything.
    LinkCut,
    /// Links drop the fraction `strength` of datagrams.
    LinkLoss,
    /// Links duplicate the fraction `strength` of datagrams.
    LinkDouble,
    /// Links delay everything by `delay_ms`.
    LinkDelay,
    /// Links delay the fraction `strength` of datagrams by `delay_ms`.
    LinkReorder,
    /// Links corrupt the fraction `strength` of datagrams.
    LinkDamage,
    /// Links hold everything back, and deliver it at the end of the fault.
    LinkHold,
    /// Links between groups of relays drop everything.
    LinkSplit,
    /// Relays do not reach the discovery service.
    ListCut,
    /// The relays of `relays`, or all, do not reach the fraction `share` of the servers.
    ServersCut,
    /// Servers get `strength` cores of additional work that bypasses the relays, which overloads servers
    /// that warm up.
    Overrun,
}

/// A fault of a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConnectionFault {
    /// The connection is refused, or reset immediately if only a fraction of connections is affected.
    Refused,
    /// The connection is never established, or never answered if only a fraction of connections is affected.
    NeverUp,
    /// The connection is reset before the first line is read.
    ResetBefore,
    /// The connection is reset after the first line is read.
    ResetAfter,
    /// The first line is not answered.
    Silence,
    /// The first line is answered with half a line on sockets, and not at all in virtual time.
    HalfLine,
    /// Each line of an open session is read 1 s late. This occurs on sockets only.
    SlowReader,
}

impl FaultKind {
    /// Whether the fault affects links between relays, and thus requires `relays.fleet`.
    pub fn is_link(self) -> bool {
        use FaultKind::{
            LinkCut, LinkDamage, LinkDelay, LinkDouble, LinkHold, LinkLoss, LinkReorder, LinkSplit,
        };
        matches!(
            self,
            LinkCut | LinkLoss | LinkDouble | LinkDelay | LinkReorder | LinkDamage | LinkHold | LinkSplit
        )
    }

    /// Whether `Fault::relays` may select the affected relays: faults of their processes or of their
    /// connections to servers and discovery.
    pub fn is_of_relays(self) -> bool {
        use FaultKind::{
            ListCut, RelayKilled, RelayLooping, RelayReloaded, RelayReplaced, RelayStalled, RelayStopped,
            RelaysOut, ServersCut,
        };
        let processes = matches!(self, RelayKilled | RelayStopped | RelayReloaded | RelayStalled);
        processes || matches!(self, RelayLooping | RelayReplaced | RelaysOut | ListCut | ServersCut)
    }
}
