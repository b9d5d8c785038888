//! Updates about one member, and which of two updates about the same member wins.
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;

/// SWIM's incarnation number, with the start of the process before it.
///
/// Invariant: only the member itself raises its incarnation, so whoever holds a higher one holds something
/// that the member said later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// When the process started, in microseconds of Unix time; one more than that of an earlier process at
    /// the same address where the clock has gone back since.
    pub start: u64,
    /// Raised to refute a suspicion, and with each change of what the member reports of itself.
    pub counter: u32,
}

/// What others hold a member to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers, or nobody has found that it does not.
    Alive,
    /// A probe of it failed; it may refute that until its suspicion timeout is over.
    Suspect,
    /// It did not refute the suspicion. Its process may still run, stalled or partitioned.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// All states, in the order of the protocol.
    pub const ALL: [MemberState; 4] =
        [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left];

    /// The word of status answers, metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "gone",
            MemberState::Left => "left",
        }
    }

    /// Whether the member may still run: it is probed, and updates are sent to it.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// The lifecycle state that a relay reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportedLifecycle {
    /// It does not place sessions yet.
    #[default]
    Starting,
    /// It takes sessions.
    Serving,
    /// It takes no new sessions.
    Draining,
    /// It ends.
    Stopping,
}

impl ReportedLifecycle {
    /// The word of status answers.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportedLifecycle::Starting => "starting",
            ReportedLifecycle::Serving => "serving",
            ReportedLifecycle::Draining => "draining",
            ReportedLifecycle::Stopping => "stopping",
        }
    }
}

/// What a relay reports of itself. The session counts ride on whatever it sends and are as old as that; a
/// change of the rest is disseminated as an update.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// Version of the program, at most [`MAX_NAME_BYTES`](crate::message::MAX_NAME_BYTES).
    pub version: Rc<str>,
    /// Checksum of the settings that all relays share.
    pub settings_digest: u32,
    /// Lifecycle state of the relay.
    pub lifecycle: ReportedLifecycle,
    /// Open sessions.
    pub sessions: u32,
    /// Open sessions by listener, in the order of the settings; at most
    /// [`MAX_LISTENERS`](crate::message::MAX_LISTENERS).
    pub listener_sessions: Vec<u32>,
}

impl MemberMetadata {
    /// Whether the other differs in nothing but session counts, which are not disseminated on their own.
    pub fn differs_only_in_counts(&self, other: &MemberMetadata) -> bool {
        self.version == other.version
            && self.settings_digest == other.settings_digest
            && self.lifecycle == other.lifecycle
    }
}

/// One statement about one member, as it is gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the member.
    pub name: Rc<str>,
    /// Address at which others reach the member.
    pub addr: SocketAddr,
    /// Incarnation that the statement is about.
    pub incarnation: Incarnation,
    /// State that the member is held to be in.
    pub state: MemberState,
    /// Who suspected the member or declared it dead first; none where the member speaks for itself.
    pub reporter: Option<Rc<str>>,
    /// What the member last reported of itself, as far as the sender knows.
    pub metadata: MemberMetadata,
}

/// How new an update is beside the one that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// Of an earlier incarnation.
    Older,
    /// Of the same incarnation.
    Same,
    /// Of a later incarnation.
    Newer,
}

impl Update {
    /// Compares incarnations. Of two processes with one name at two addresses the later start wins, the
    /// higher address between equals.
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

/// What an update changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The member is alive, by its own statement.
    MarkAlive,
    /// A suspicion starts; the member has time to refute it.
    StartSuspicion,
    /// Another member suspects it too: the suspicion timeout shrinks.
    ConfirmSuspicion,
    /// The member is declared dead.
    MarkDead,
    /// The member has left.
    MarkLeft,
    /// Nothing but session counts may be newer; nothing is disseminated.
    RefreshMetadata,
    /// The update is stale.
    Ignore,
}

/// SWIM's rule of precedence: a newer incarnation overrides whatever is held, and within one incarnation
/// `Alive < Suspect < Dead`. Invariant: within one incarnation a member never goes back towards alive; it has
/// to raise its incarnation. `Left` is the member's own last statement and overrides the others.
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
