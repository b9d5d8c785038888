//! The Raft voter that a relay hosts: its node, its election and heartbeat timers, the proposals that wait
//! for a commit, and which log entries are on disk. Times in microseconds.
use hallrelay_balancer::types::Micros;
use hallrelay_raft::{Effect, Event, Id, Index, Node, PersistentState, Role, Timer, Voter, Write};
use hallrelay_recovery::Record;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Shortest election timeout; each one is chosen at random up to twice this. It spans four heartbeats, and is
/// longer than a process stalls on a busy machine.
const ELECTION_TIMEOUT: Micros = 1_000_000;
const HEARTBEAT_INTERVAL: Micros = 250_000;
/// Number of log entries above which the log is compacted into a snapshot.
const MAX_LOG_ENTRIES: usize = 256;
/// Largest number of proposals that wait for their commit.
const MAX_PROPOSALS: usize = 256;

/// The relay that waits for the result of a proposal.
pub(super) struct Proposer {
    pub relay: Rc<str>,
    /// The proposer's own id for the proposal.
    pub request_id: u64,
}

/// A timer to be set. Timers of earlier rounds are ignored.
pub(super) struct TimerRound {
    pub after: Micros,
    pub round: u32,
}

/// Indices of the log entries on disk; empty if `last` is below `first`.
struct LogRange {
    first: Index,
    last: Index,
}

pub(super) struct RaftVoter {
    /// `None` while this process does not vote: it is not a voter by configuration, or does not know its
    /// earlier votes, or was stopped.
    node: Option<Node>,
    /// Counts the node's starts in this process. Writes of earlier starts are ignored.
    starts: u32,
    /// The incarnation stored on this relay's disk.
    disk_incarnation: u64,
    persisted: LogRange,
    timer_rounds: [u32; 2],
    rng: oorandom::Rand64,
    proposals: BTreeMap<u64, Proposer>,
    last_proposal_id: u64,
}

impl RaftVoter {
    pub fn new(seed: u64, now: Micros) -> RaftVoter {
        RaftVoter {
            node: None,
            starts: 0,
            disk_incarnation: 0,
            persisted: LogRange { first: 1, last: 0 },
            timer_rounds: [0; 2],
            rng: oorandom::Rand64::new(u128::from(seed) << 64 | u128::from(now) << 1 | 1),
            proposals: BTreeMap::new(),
            last_proposal_id: 0,
        }
    }

    pub fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    pub fn is_running(&self) -> bool {
        self.node.is_some()
    }

    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.role() == Role::Leader)
    }

    pub fn starts(&self) -> u32 {
        self.starts
    }

    /// Whether the log is long enough to be compacted.
    pub fn has_long_log(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.log().entries().len() > MAX_LOG_ENTRIES)
    }

    /// Starts the node with the state on disk, and returns its first effects.
    pub fn start(&mut self, voter: Voter, voters: Vec<Id>, stored: PersistentState) -> Vec<Effect> {
        self.starts += 1;
        self.disk_incarnation = voter.incarnation;
        let first = stored.snapshot.index + 1;
        let last = first + stored.entries.len() as Index - 1;
        self.persisted = LogRange { first, last };
        let mut effects = Vec::new();
        self.node = Some(Node::new(voter, voters, stored, &mut effects));
        effects
    }

    /// Stops the node, since another process owns the disk, or this build can't read the log.
    pub fn stop(&mut self) {
        self.node = None;
        self.proposals.clear();
    }

    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(node) = &mut self.node {
            node.step(event, &mut effects);
        }
        effects
    }

    pub fn set_timer(&mut self, timer: Timer) -> TimerRound {
        let after = match timer {
            Timer::ElectionTimeout => ELECTION_TIMEOUT + self.rng.rand_range(0..ELECTION_TIMEOUT),
            Timer::HeartbeatTimeout => HEARTBEAT_INTERVAL,
        };
        let round = &mut self.timer_rounds[timer as usize];
        *round += 1;
        TimerRound { after, round: *round }
    }

    pub fn is_current_timer(&self, timer: Timer, round: u32) -> bool {
        self.timer_rounds[timer as usize] == round
    }

    /// Whether another proposal may be added.
    pub fn accepts_proposals(&self) -> bool {
        self.node.is_some() && self.proposals.len() < MAX_PROPOSALS
    }

    /// Adds a proposal and returns its id.
    pub fn add_proposal(&mut self, proposer: Proposer) -> u64 {
        self.last_proposal_id += 1;
        self.proposals.insert(self.last_proposal_id, proposer);
        self.last_proposal_id
    }

    /// Removes a proposal that is being answered and returns its proposer.
    pub fn take_proposal(&mut self, id: u64) -> Option<Proposer> {
        self.proposals.remove(&id)
    }

    /// Converts a write of the node to records for the store. Entries that the log no longer has are deleted.
    pub fn records(&mut self, write: Write) -> Vec<Record> {
        let LogRange { first, last } = self.persisted;
        match write {
            Write::Vote { term, voted_for } => vec![Record::vote(self.disk_incarnation, term, voted_for)],
            Write::Log { from, entries } => {
                let end = from + entries.len() as Index - 1;
                self.persisted = LogRange { first: first.min(from), last: end };
                let truncated = (end + 1..=last).map(Record::log_entry_removed);
                entries.iter().map(Record::log_entry).chain(truncated).collect()
            }
            Write::Snapshot { snapshot, entries } => {
                let end = snapshot.index + entries.len() as Index;
                self.persisted = LogRange { first: snapshot.index + 1, last: end };
                let remains = |index: &Index| entries.iter().any(|entry| entry.index == *index);
                let compacted = (first..=last).filter(|index| !remains(index)).map(Record::log_entry_removed);
                std::iter::once(Record::snapshot(&snapshot)).chain(compacted).collect()
            }
        }
    }
}
