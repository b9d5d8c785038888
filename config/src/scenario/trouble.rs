//! What goes wrong on a day: whom it meets, when, how much.
use super::{Millis, Num, Part, Secs};
use serde::Deserialize;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: TroubleKind,
    pub at_s: Secs,
    #[serde(default)]
    pub length_s: Secs,
    /// The part of the servers (of clients, of relays) that it meets; 0 is one of them.
    #[serde(default)]
    pub share: Part,
    /// How strong: times slower, times the rate, part that fails, times what is true, seconds late.
    #[serde(default)]
    pub strength: Num,
    /// The zone that is cut off.
    #[serde(default)]
    pub zone: Option<String>,
    /// The fault on the way.
    #[serde(default)]
    pub fault: Option<Fault>,
    /// The relays that it meets, by number, in place of a share of them.
    #[serde(default)]
    pub relays: Vec<usize>,
    /// The ways between relays that it meets: from any of these to any of those; all where both are left out.
    #[serde(default)]
    pub from: Vec<usize>,
    #[serde(default)]
    pub to: Vec<usize>,
    /// Only from `from` to `to`, and not back.
    #[serde(default)]
    pub one_way: bool,
    /// Relays that hear each other in a split; two halves where it is left out. Who is in none hears nobody.
    #[serde(default)]
    pub groups: Vec<Vec<usize>>,
    /// The relay that hears all groups, and is heard by them.
    #[serde(default)]
    pub bridge: Option<usize>,
    /// It comes and goes in this period, half of it each; of a relay in a loop, the time from start to start.
    #[serde(default)]
    pub every_s: Secs,
    /// How much later what goes a way comes: a time between two.
    #[serde(default)]
    pub delay_ms: [Millis; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    Crash,
    Vanish,
    Slow,
    Pauses,
    Failing,
    LateReports,
    ZoneCut,
    SharedSlow,
    Deploy,
    Drain,
    Burst,
    Reconnect,
    ListDown,
    ListLate,
    Lies,
    Wire,
    RelayKilled,
    RelayStopped,
    RelayReloaded,
    /// The process stands still (SIGSTOP), and goes on after a time.
    RelayStalled,
    /// It is killed and started again and again.
    RelayLooping,
    /// A new process takes the place of the running one.
    RelayReplaced,
    /// An operator wants each of them out, asks till it is let out, and brings it back after `strength`
    /// seconds.
    RelaysOut,
    /// Ways between relays, and those between some relays and the list service or some servers.
    LinkCut,
    LinkLoss,
    LinkDouble,
    LinkDelay,
    LinkReorder,
    LinkDamage,
    /// All that goes a way waits, and comes at once in the end.
    LinkHold,
    LinkSplit,
    ListCut,
    ServersCut,
    /// Sends a cold server more than it bears, past the relays: shows what falling over looks like.
    Overrun,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    Refused,
    NeverUp,
    ResetBefore,
    ResetAfter,
    Silence,
    HalfLine,
    SlowReader,
}

impl TroubleKind {
    /// Whether it is about ways between relays, and so wants relays that know each other.
    pub fn is_link(self) -> bool {
        use TroubleKind::{
            LinkCut, LinkDamage, LinkDelay, LinkDouble, LinkHold, LinkLoss, LinkReorder, LinkSplit,
        };
        matches!(
            self,
            LinkCut | LinkLoss | LinkDouble | LinkDelay | LinkReorder | LinkDamage | LinkHold | LinkSplit
        )
    }

    /// Whether it is about relays' processes.
    pub fn is_of_relays(self) -> bool {
        use TroubleKind::{
            ListCut, RelayKilled, RelayLooping, RelayReloaded, RelayReplaced, RelayStalled, RelayStopped,
            RelaysOut, ServersCut,
        };
        let processes = matches!(self, RelayKilled | RelayStopped | RelayReloaded | RelayStalled);
        processes || matches!(self, RelayLooping | RelayReplaced | RelaysOut | ListCut | ServersCut)
    }
}
