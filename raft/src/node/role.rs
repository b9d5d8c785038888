//! The roles of a voter and the transitions between them (figure 4, with the pre-vote).
use super::{Effect, Node, Timer};

/// What a voter is in its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// It has no log yet and belongs to no cluster.
    #[default]
    Uninitialized,
    /// It follows a leader or waits for one.
    Follower,
    /// It asks whether it would be voted for (thesis, section 9.6).
    PreCandidate,
    /// It has requested votes in its term.
    Candidate,
    /// It was elected in its term.
    Leader,
}

impl Role {
    /// The word for the role in operators' answers.
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

/// What may change the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trigger {
    /// No leader was heard for an election timeout.
    ElectionTimeout,
    /// A quorum granted the pre-vote or the vote.
    VotesGranted,
    /// A message had a higher term.
    HigherTerm,
    /// The leader of the current term was heard.
    LeaderContact,
    /// The leader did not hear a quorum for an election timeout, or is no voter any more.
    QuorumLost,
    /// The log has its first entries or a snapshot.
    Bootstrapped,
}

/// What is done on entering a role.
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

/// The transition of a role by a trigger; none where the trigger changes nothing.
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
    /// Takes the transition of the current role by a trigger, where there is one.
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
