//! The tables `trouble` of a scenario: faults, what they affect, when, and how strongly.
use super::{Millis, Num, Part, Secs};
use serde::Deserialize;

/// One fault. A key that its kind does not have must be left out.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// When it starts, from the day's beginning; before the day's end.
    pub at_s: Secs,
    /// How long it lasts; 0 by default, which most kinds do not allow.
    #[serde(default)]
    pub length_s: Secs,
    /// Fraction of the servers, relays or open clients that it affects, drawn at random; one server or relay
    /// at least, so that 0, the default, is one of them.
    #[serde(default)]
    pub share: Part,
    /// How strong it is, in the unit that its kind names; 0 by default.
    #[serde(default)]
    pub strength: Num,
    /// The zone of `zone-cut`, which is cut off from the relays.
    #[serde(default)]
    pub zone: Option<String>,
    /// The fault of `wire`.
    #[serde(default)]
    pub fault: Option<ConnectionFault>,
    /// The relays that it affects, by number from 0, in place of a share of them.
    #[serde(default)]
    pub relays: Vec<usize>,
    /// The relays at whose end the affected links start; any where it is left out.
    #[serde(default)]
    pub from: Vec<usize>,
    /// The relays at whose end the affected links end; any where it is left out.
    #[serde(default)]
    pub to: Vec<usize>,
    /// Whether only the links from `from` to `to` are affected, and not those back; false by default.
    #[serde(default)]
    pub one_way: bool,
    /// The groups of `link-split`, within which relays reach each other; two halves where it is left out. A
    /// relay in no group reaches none.
    #[serde(default)]
    pub groups: Vec<Vec<usize>>,
    /// The relay of `link-split` that reaches all groups and is reached by them.
    #[serde(default)]
    pub bridge: Option<usize>,
    /// Period of a link fault that is intermittent: it holds for the first half of each; 0, the default, is
    /// all the time. Of `relay-looping` the time from a kill to the start, and from that to the next kill.
    /// 0.1 s at least.
    #[serde(default)]
    pub every_s: Secs,
    /// Delay of `link-delay` and `link-reorder`, random between two times.
    #[serde(default)]
    pub delay_ms: [Millis; 2],
}

/// The kinds of faults, with the unit of their `strength`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers end, and start anew at the fault's end; with a length of 0 they stay down.
    Crash,
    /// The same without closing their connections: they answer nothing.
    Vanish,
    /// Servers are slower by the factor `strength`, 1 or more.
    Slow,
    /// Servers stall for the fraction `strength` of each period of 2 to 4 s.
    Pauses,
    /// Servers fail the fraction `strength` of dials, with `ERR`.
    Failing,
    /// Servers' load reports are `strength` seconds older.
    LateReports,
    /// The servers of a zone are not reached.
    ZoneCut,
    /// All servers and their session store are slower by the factor `strength`, 1 or more.
    SharedSlow,
    /// Servers drain and restart, in groups that are the fraction `strength` of them (0 is 0.2), spread over
    /// the fault's length.
    Deploy,
    /// Servers drain, end, and start anew after the fault's length, 1 s at least.
    Drain,
    /// The rate of new clients is multiplied by `strength`, 1 or more.
    Burst,
    /// The fraction `share` of the open clients disconnects, and reconnects within `strength` seconds (0 is
    /// 1).
    Reconnect,
    /// The discovery service does not answer.
    ListDown,
    /// The endpoint list's changes are `strength` seconds later.
    ListLate,
    /// Servers report their load multiplied by `strength`.
    Lies,
    /// The fraction `strength` of connections to servers (0 is all) meets the `fault`.
    Wire,
    /// Relays are killed (SIGKILL), and start at the fault's end.
    RelayKilled,
    /// Relays are stopped (SIGTERM), and start at the fault's end.
    RelayStopped,
    /// Relays reload their configuration.
    RelayReloaded,
    /// Relays stall (SIGSTOP), and continue at the fault's end.
    RelayStalled,
    /// Relays are killed and started again and again, by `every_s`.
    RelayLooping,
    /// A new process takes over from the running one (hot restart).
    RelayReplaced,
    /// An operator requests a lease for each relay, repeats that until it is granted, and returns the relay
    /// after `strength` seconds (0 is 3).
    RelaysOut,
    /// Links between relays lose everything.
    LinkCut,
    /// Links lose the fraction `strength` of datagrams.
    LinkLoss,
    /// Links duplicate the fraction `strength` of datagrams.
    LinkDouble,
    /// Links delay everything by `delay_ms`.
    LinkDelay,
    /// Links delay the fraction `strength` of datagrams by `delay_ms`.
    LinkReorder,
    /// Links corrupt the fraction `strength` of datagrams.
    LinkDamage,
    /// Links hold everything back, and deliver it at the fault's end.
    LinkHold,
    /// Links between groups of relays lose everything.
    LinkSplit,
    /// Relays do not reach the discovery service.
    ListCut,
    /// The relays named, or all, do not reach a share of the servers.
    ServersCut,
    /// Servers get `strength` cores of work past the relays: overloads those that warm up.
    Overrun,
}

/// What a connection to a server meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConnectionFault {
    /// It is refused, or reset at once where only a fraction meets the fault.
    Refused,
    /// It is never established, or never answered where only a fraction meets the fault.
    NeverUp,
    /// It is reset before the first line is read.
    ResetBefore,
    /// It is reset after the first line is read.
    ResetAfter,
    /// The first line is not answered.
    Silence,
    /// The first line is answered with half a line; with nothing in virtual time.
    HalfLine,
    /// On an open session each line is read a second late; on sockets only.
    SlowReader,
}

impl FaultKind {
    /// Whether it is about links between relays, and so needs `relays.fleet`.
    pub fn is_link(self) -> bool {
        use FaultKind::{
            LinkCut, LinkDamage, LinkDelay, LinkDouble, LinkHold, LinkLoss, LinkReorder, LinkSplit,
        };
        matches!(
            self,
            LinkCut | LinkLoss | LinkDouble | LinkDelay | LinkReorder | LinkDamage | LinkHold | LinkSplit
        )
    }

    /// Whether it affects relays that can be named: their processes, and what they reach.
    pub fn is_of_relays(self) -> bool {
        use FaultKind::{
            ListCut, RelayKilled, RelayLooping, RelayReloaded, RelayReplaced, RelayStalled, RelayStopped,
            RelaysOut, ServersCut,
        };
        let processes = matches!(self, RelayKilled | RelayStopped | RelayReloaded | RelayStalled);
        processes || matches!(self, RelayLooping | RelayReplaced | RelaysOut | ListCut | ServersCut)
    }
}
