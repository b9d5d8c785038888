//! The roles of a voter and the transitions between them (figure 4, with the pre-vote).
use super::{Effect, Node, Timer};

/// The role of a voter in its current term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// It has no log yet and does not belong to a cluster.
    #[default]
    Uninitialized,
    /// It follows a leader, or waits for an election.
    Follower,
    /// It has requested pre-votes (thesis, section 9.6).
    PreCandidate,
    /// It has requested votes in its term.
    Candidate,
    /// It was elected in its term.
    Leader,
}

impl Role {
    /// The name of the role in responses to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Uninitialized => "blank",
            Role::Follower => "following",
            Role::PreCandidate => "asking",
            Role::Candidate => "standing",
            Role::Leader => "leading",
        }
    }
}

/// An occurrence that may change the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trigger {
    /// No message of a leader arrived within an election timeout.
    ElectionTimeout,
    /// A quorum granted the pre-vote or the vote.
    VotesGranted,
    /// A message with a higher term arrived.
    HigherTerm,
    /// A message of the current term's leader arrived.
    LeaderContact,
    /// No quorum responded to the leader within an election timeout, or the leader is no longer a voter.
    QuorumLost,
    /// The log received its first entries or a snapshot.
    Bootstrapped,
}

/// The action on entering a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Announce,
    StartPreVote,
    StartElection,
    BecomeLeader,
    BecomeFollower,
}

struct Transition {
    to: Role,
    action: Action,
}

/// The transition from a role on a trigger; `None` if the trigger does not apply to the role.
fn transition(from: Role, trigger: Trigger) -> Option<Transition> {
    use Role::{Candidate, Follower, Leader, PreCandidate, Uninitialized};
    use Trigger::{Bootstrapped, ElectionTimeout, HigherTerm, LeaderContact, QuorumLost, VotesGranted};

    let (to, action) = match (from, trigger) {
        (Uninitialized, ElectionTimeout) => (Uninitialized, Action::Announce),
        (Uninitialized, Bootstrapped) => (Follower, Action::BecomeFollower),
        (Follower | PreCandidate | Candidate, ElectionTimeout) => (PreCandidate, Action::StartPreVote),
        (Follower | PreCandidate | Candidate, LeaderContact) => (Follower, Action::BecomeFollower),
        (PreCandidate, VotesGranted) => (Candidate, Action::StartElection),
        (Candidate, VotesGranted) => (Leader, Action::BecomeLeader),
        (Leader, QuorumLost) => (Follower, Action::BecomeFollower),
        (Follower | PreCandidate | Candidate | Leader, HigherTerm) => (Follower, Action::BecomeFollower),
        _ => return None,
    };
    Some(Transition { to, action })
}

impl Node {
    /// Takes the transition from the current role on a trigger, if there is one.
    pub(super) fn transition(&mut self, trigger: Trigger, effects: &mut Vec<Effect>) {
        let Some(Transition { to, action }) = transition(self.role, trigger) else { return };
        let was_leader = self.role == Role::Leader;
        self.role = to;
        if was_leader && to != Role::Leader {
            self.abandon_leadership(effects);
        }
        match action {
            Action::Announce => self.announce(effects),
            Action::StartPreVote => self.start_pre_vote(effects),
            Action::StartElection => self.start_election(effects),
            Action::BecomeLeader => self.become_leader(effects),
            Action::BecomeFollower => effects.push(Effect::SetTimer(Timer::ElectionTimeout)),
        }
    }
}
