//! Updates about one member, and the precedence between two updates about the same member.
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;

/// SWIM's incarnation number, preceded by the start time of the process.
///
/// Invariant: only the member itself raises its incarnation. An update with a higher incarnation is therefore
/// based on a later statement of the member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Start of the process, in microseconds of Unix time. If the clock has gone back since an earlier
    /// process at the same address started, it is one more than the start of that process.
    pub start: u64,
    /// Raised to refute a suspicion, and whenever more than the session counts of the member's own report
    /// changes.
    pub counter: u32,
}

/// State of a member as seen by the other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers, or no failed probe of it has been reported.
    Alive,
    /// A probe of the member failed; the member can refute that until the suspicion timeout expires.
    Suspect,
    /// The member did not refute the suspicion. Its process may still run, stalled or partitioned.
    Dead,
    /// The member announced that it leaves the fleet.
    Left,
}

impl MemberState {
    /// All states, in the order of their encoding.
    pub const ALL: [MemberState; 4] =
        [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];

    /// The word for this state in status responses, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "gone",
            MemberState::Left => "left",
        }
    }

    /// Whether the member may still run. Live members are probed and receive updates.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// The lifecycle state that a relay reports for itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedLifecycle {
    /// The relay does not place sessions yet.
    #[default]
    Starting,
    /// The relay accepts sessions.
    Serving,
    /// The relay accepts no new sessions.
    Draining,
    /// The relay shuts down.
    Stopping,
}

impl ReportedLifecycle {
    /// The word for this state in status responses.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportedLifecycle::Starting => "starting",
            ReportedLifecycle::Serving => "serving",
            ReportedLifecycle::Draining => "draining",
            ReportedLifecycle::Stopping => "stopping",
        }
    }
}

/// What a relay reports about itself. The session counts are part of every packet of the relay and as old as
/// that packet; a change of any other field is disseminated as an update.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Version of the program, at most [`MAX_NAME_BYTES`](crate::message::MAX_NAME_BYTES) long.
    pub version: Rc<str>,
    /// Checksum of the settings that must be the same on all relays.
    pub settings_digest: u32,
    /// Lifecycle state of the relay.
    pub lifecycle: ReportedLifecycle,
    /// Number of open sessions.
    pub sessions: u32,
    /// Number of open sessions per listener, in the order of the settings, for at most
    /// [`MAX_LISTENERS`](crate::message::MAX_LISTENERS) listeners.
    pub listener_sessions: Vec<u32>,
}

impl MemberMetadata {
    /// Whether `other` differs at most in the session counts, which are not disseminated on their own.
    pub fn differs_only_in_counts(&self, other: &MemberMetadata) -> bool {
        self.version == other.version
            && self.settings_digest == other.settings_digest
            && self.lifecycle == other.lifecycle
    }
}

/// A statement about one member, as disseminated by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the member.
    pub name: Rc<str>,
    /// Address at which other members reach the member.
    pub addr: SocketAddr,
    /// Incarnation to which the statement applies.
    pub incarnation: Incarnation,
    /// State of the member according to the statement.
    pub state: MemberState,
    /// The member that first suspected this one or declared it dead; `None` for a member's own statement.
    pub reporter: Option<Rc<str>>,
    /// The member's latest report about itself that the sender knows.
    pub metadata: MemberMetadata,
}

/// Age of an update compared with the stored one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// The update is of an earlier incarnation.
    Older,
    /// The update is of the same incarnation.
    Same,
    /// The update is of a later incarnation.
    Newer,
}

impl Update {
    /// Compares incarnations. If two processes use one name at two addresses, the later start takes
    /// precedence, and with equal starts the higher address.
    pub fn precedence_over(&self, held: &Update) -> Precedence {
        let order = if self.addr == held.addr {
            self.incarnation.cmp(&held.incarnation)
        } else {
            (self.incarnation.start, self.addr).cmp(&(held.incarnation.start, held.addr))
        };
        match order {
            Ordering::Less => Precedence::Older,
            Ordering::Equal => Precedence::Same,
            Ordering::Greater => Precedence::Newer,
        }
    }
}

/// Effect of an update on the stored state of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The member is alive, by its own statement.
    MarkAlive,
    /// A suspicion starts, which the member has time to refute.
    StartSuspicion,
    /// Another member confirms the suspicion, which shortens the suspicion timeout.
    ConfirmSuspicion,
    /// The member is declared dead.
    MarkDead,
    /// The member has left.
    MarkLeft,
    /// At most the session counts are newer; nothing is disseminated.
    RefreshMetadata,
    /// The update is outdated.
    Ignore,
}

/// SWIM's rule of precedence: a newer incarnation overrides every older one, and within one incarnation
/// `Alive < Suspect < Dead`. Invariant: within one incarnation a member never returns towards alive; it must
/// raise its incarnation. `Left` is the member's own last statement and overrides the other states.
pub(crate) fn merge(held: MemberState, received: MemberState, precedence: Precedence) -> MergeOutcome {
    use MemberState::{Alive, Dead, Left, Suspect};
    match (precedence, held, received) {
        (Precedence::Older, _, _) => MergeOutcome::Ignore,
        (Precedence::Newer, _, Alive) => MergeOutcome::MarkAlive,
        (Precedence::Newer, _, Suspect) => MergeOutcome::StartSuspicion,
        (Precedence::Newer, _, Dead) => MergeOutcome::MarkDead,
        (Precedence::Newer, _, Left) => MergeOutcome::MarkLeft,
        (Precedence::Same, Alive, Alive) => MergeOutcome::RefreshMetadata,
        (Precedence::Same, Alive, Suspect) => MergeOutcome::StartSuspicion,
        (Precedence::Same, Suspect, Suspect) => MergeOutcome::ConfirmSuspicion,
        (Precedence::Same, Alive | Suspect, Dead) => MergeOutcome::MarkDead,
        (Precedence::Same, Alive | Suspect | Dead, Left) => MergeOutcome::MarkLeft,
        (Precedence::Same, Dead, Dead) | (Precedence::Same, Left, Left) => MergeOutcome::RefreshMetadata,
        (Precedence::Same, Suspect | Dead | Left, Alive) => MergeOutcome::Ignore,
        (Precedence::Same, Dead | Left, Suspect) => MergeOutcome::Ignore,
        (Precedence::Same, Left, Dead) => MergeOutcome::Ignore,
    }
}
