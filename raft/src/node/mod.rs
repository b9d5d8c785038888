//! One voter: its state (figure 2), its events and effects, and the dispatch of messages.
//!
//! The submodules implement the rules: [`role`] the roles and their transitions, `election` the pre-vote and
//! the vote, `replication` the log and the commit index, `membership` the bootstrap and the changes of
//! voters, `snapshot` the log compaction, `durability` the messages that wait for writes.
mod durability;
mod election;
mod membership;
mod replication;
pub mod role;
mod snapshot;

pub use role::Role;

use crate::{
    Id, Index, Log, Message, MessageBody, PersistentState, Snapshot, Term, Voter, Write, ANY_DISK, MAX_VOTERS,
};
use durability::PendingWrites;
use membership::Announcement;
use replication::Progress;
use role::Trigger;
use std::collections::{BTreeMap, BTreeSet};

/// The timers of a voter. Setting a timer replaces the pending one of the same kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The host chooses it randomly between one and two times the minimum election timeout (section 5.2). A
    /// leader uses it to check that a quorum still responds (check quorum).
    ElectionTimeout,
    /// The leader's heartbeat interval. The minimum election timeout must span several intervals.
    HeartbeatTimeout,
}

/// The input of [`Node::step`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    /// A message was received.
    MessageReceived(Message),
    /// A timer expired.
    TimerExpired(Timer),
    /// All writes up to this number are durable.
    WritesDurable(u64),
    /// The host proposes a command for the log.
    Propose {
        /// Identifies the proposal in the effect that reports its outcome.
        proposal_id: u64,
        /// The encoded command, at most `MAX_COMMAND_BYTES`.
        command: Vec<u8>,
    },
    /// The host allows the log up to an applied entry to be replaced with a snapshot.
    Compact {
        /// Index of that entry.
        index: Index,
        /// The encoded state machine after that entry.
        state: Vec<u8>,
    },
}

/// An action that the host must carry out. Effects are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// Send a message. It may be lost, delayed or duplicated.
    Send(Message),
    /// Write to disk and report completion with `Event::WritesDurable`.
    Write {
        /// The number of the write. Writes are numbered consecutively from 1.
        number: u64,
        /// The change of the persistent state.
        write: Write,
    },
    /// Set a timer.
    SetTimer(Timer),
    /// Apply a committed command to the state machine. Indices increase from one effect to the next.
    Apply {
        /// Index of the command's entry.
        index: Index,
        /// The encoded command.
        command: Vec<u8>,
        /// The proposal, if the command was proposed at this voter.
        proposal_id: Option<u64>,
    },
    /// Replace the state machine with a snapshot.
    RestoreSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// A proposal was rejected because this voter is not the leader or the command is too long.
    ProposalRejected {
        /// The proposal.
        proposal_id: u64,
        /// The leader, if known.
        leader: Option<Id>,
    },
    /// A proposal may or may not be committed, because this voter lost leadership before it was decided.
    ProposalOutcomeUnknown {
        /// The proposal.
        proposal_id: u64,
    },
    /// This voter became leader or stepped down.
    LeadershipChanged {
        /// Whether it is the leader now.
        is_leader: bool,
        /// The current term.
        term: Term,
    },
}

/// A voter of a Raft cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node {
    own: Voter,
    /// Ids of all servers that should be voters, sorted.
    configured: Vec<Id>,
    role: Role,
    /// `currentTerm` of figure 2.
    term: Term,
    /// `votedFor` of figure 2.
    voted_for: Option<Voter>,
    log: Log,
    commit_index: Index,
    last_applied: Index,
    leader: Option<Id>,
    /// An election timeout has expired since the last message of a leader.
    leader_timed_out: bool,
    /// The voters that granted this candidate or pre-candidate their vote or pre-vote.
    votes_granted: BTreeSet<Voter>,
    /// The leader's knowledge of the logs of the other voters.
    progress: BTreeMap<Voter, Progress>,
    /// The last announcement of each server that announced that it is not a voter.
    announced: BTreeMap<Id, Announcement>,
    pending_writes: PendingWrites,
    /// Proposals that this leader appended to its log, by index.
    proposals: BTreeMap<Index, u64>,
}

impl Node {
    /// Starts a voter from its persistent state. `configured` has the ids of all servers that should be
    /// voters, including this one. Only the `MAX_VOTERS` smallest ids are used.
    pub fn new(
        own: Voter,
        mut configured: Vec<Id>,
        stored: PersistentState,
        effects: &mut Vec<Effect>,
    ) -> Node {
        configured.sort_unstable();
        configured.dedup();
        configured.truncate(MAX_VOTERS);
        let log = Log::new(stored.snapshot, stored.entries);
        let node = Node {
            own,
            configured,
            role: if log.is_empty() { Role::Uninitialized } else { Role::Follower },
            term: stored.term,
            voted_for: stored.voted_for,
            commit_index: log.snapshot().index,
            last_applied: log.snapshot().index,
            pending_writes: PendingWrites::all_durable(log.last_index()),
            log,
            // `leader_timed_out` is false: a leader may have been active just before the restart.
            ..Node::default()
        };
        if node.last_applied > 0 {
            effects.push(Effect::RestoreSnapshot { snapshot: node.log.snapshot().clone() });
        }
        effects.push(Effect::SetTimer(Timer::ElectionTimeout));
        node
    }

    /// Handles one event and appends the effects that the host must carry out, in order.
    pub fn step(&mut self, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::MessageReceived(message) => self.handle_message(message, effects),
            Event::TimerExpired(Timer::ElectionTimeout) => self.handle_election_timeout(effects),
            Event::TimerExpired(Timer::HeartbeatTimeout) => self.handle_heartbeat_timeout(effects),
            Event::WritesDurable(number) => self.handle_writes_durable(number, effects),
            Event::Propose { proposal_id, command } => self.propose(proposal_id, command, effects),
            Event::Compact { index, state } => self.compact(index, state, effects),
        }
    }

    /// The current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// The replicated log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The voters in force, sorted.
    pub fn voters(&self) -> &[Voter] {
        self.log.configuration().voters
    }

    /// Returns whether this server is one of the voters in force.
    pub fn is_voter(&self) -> bool {
        self.voters().contains(&self.own)
    }

    /// The voters in force except this one.
    fn other_voters(&self) -> Vec<Voter> {
        self.voters().iter().copied().filter(|voter| *voter != self.own).collect()
    }

    /// Returns whether a predicate holds for a majority of the voters in force.
    fn has_quorum(&self, predicate: impl Fn(&Voter) -> bool) -> bool {
        let voters = self.voters();
        voters.iter().filter(|voter| predicate(voter)).count() * 2 > voters.len()
    }

    fn message(&self, to: Voter, term: Term, body: MessageBody) -> Message {
        Message { from: self.own, to, term, body }
    }

    /// Sends a message in the current term without waiting for pending writes.
    fn send(&self, to: Voter, body: MessageBody, effects: &mut Vec<Effect>) {
        effects.push(Effect::Send(self.message(to, self.term, body)));
    }

    fn handle_message(&mut self, message: Message, effects: &mut Vec<Effect>) {
        if !self.is_recipient(&message) || self.is_disruptive(&message.body) {
            return;
        }
        let Message { from, to, term, body } = message;
        if term > self.term && body.is_of_current_term() {
            self.enter_term(term, effects);
        }
        match body {
            MessageBody::Announce { uninitialized } => {
                self.handle_announce(from, to, uninitialized, effects);
            }
            MessageBody::Bootstrap { voters } => self.handle_bootstrap(from, voters, effects),
            MessageBody::RequestPreVote { last_log_index, last_log_term } => {
                self.handle_request_pre_vote(from, term, last_log_index, last_log_term, effects);
            }
            MessageBody::PreVoteResponse { granted } => {
                self.handle_pre_vote_response(from, term, granted, effects);
            }
            MessageBody::RequestVote { last_log_index, last_log_term } => {
                self.handle_request_vote(from, term, last_log_index, last_log_term, effects);
            }
            MessageBody::VoteResponse { granted } => {
                self.handle_vote_response(from, term, granted, effects);
            }
            MessageBody::AppendEntries(request) => {
                self.handle_append_entries(from, term, request, effects);
            }
            MessageBody::AppendResponse { success, index } => {
                self.handle_append_response(from, term, success, index, effects);
            }
            MessageBody::InstallSnapshot { snapshot } => {
                self.handle_install_snapshot(from, term, snapshot, effects);
            }
        }
    }

    /// Returns whether a message is from another server and addressed to this one, with its current disk or
    /// with any disk.
    fn is_recipient(&self, message: &Message) -> bool {
        let to = message.to;
        let incarnation_matches = to.incarnation == ANY_DISK || to.incarnation == self.own.incarnation;
        to.id == self.own.id && incarnation_matches && message.from.id != self.own.id
    }

    /// Returns whether a vote request would depose a working leader, as a removed or partitioned server that
    /// campaigns in a later term would. A follower ignores vote requests while it receives messages from a
    /// leader (section 6, thesis 4.2.3). This check does not protect the leader itself: the followers' denied
    /// pre-votes do.
    fn is_disruptive(&self, body: &MessageBody) -> bool {
        let requests_vote = matches!(body, MessageBody::RequestVote { .. });
        requests_vote && !self.leader_timed_out && self.leader.is_some()
    }

    /// Figure 2, "all servers": on a message with a higher term, the server becomes a follower in that term.
    fn enter_term(&mut self, term: Term, effects: &mut Vec<Effect>) {
        self.term = term;
        self.voted_for = None;
        self.leader = None;
        self.persist_vote(effects);
        self.transition(Trigger::HigherTerm, effects);
    }
}
