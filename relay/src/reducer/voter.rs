//! The Raft voter that a relay hosts: its node, its election and heartbeat timers, the proposals that wait
//! for a commit, and what of the log is on the disk. Times in microseconds.
use hallrelay_balancer::types::Micros;
use hallrelay_raft::{Effect, Event, Id, Index, Node, PersistentState, Role, Timer, Voter, Write};
use hallrelay_recovery::Record;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Election timeout at least, and at random up to twice that: four heartbeats, and longer than a process
/// stalls on a busy machine.
const ELECTION_TIMEOUT: Micros = 1_000_000;
const HEARTBEAT_INTERVAL: Micros = 250_000;
/// Log entries from which the log is compacted into a snapshot.
const MAX_LOG_ENTRIES: usize = 256;
/// Proposals that wait for their commit.
const MAX_PROPOSALS: usize = 256;

/// Who waits for a proposal.
pub(super) struct Proposer {
    pub relay: Rc<str>,
    /// The proposer's own number for it.
    pub request_id: u64,
}

/// A timer to be set. A timer of an earlier round is void.
pub(super) struct TimerRound {
    pub after: Micros,
    pub round: u32,
}

/// Indices of the log's entries on the disk; empty where `last` is below `first`.
struct LogRange {
    first: Index,
    last: Index,
}

pub(super) struct RaftVoter {
    /// None while this process is no voter: by the configuration, or as it does not know what it voted.
    node: Option<Node>,
    /// Counts the node's starts in this process: a write for an earlier one counts for nothing.
    starts: u32,
    /// Of this relay's disk.
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

    /// Whether the log is to be compacted.
    pub fn has_long_log(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.log().entries().len() > MAX_LOG_ENTRIES)
    }

    /// Starts the node with what its disk holds.
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

    /// Another process has the disk, or this build can't read the log: this one votes no more.
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
    pub fn takes_proposals(&self) -> bool {
        self.node.is_some() && self.proposals.len() < MAX_PROPOSALS
    }

    /// Adds a proposal; its id.
    pub fn add_proposal(&mut self, proposer: Proposer) -> u64 {
        self.last_proposal_id += 1;
        self.proposals.insert(self.last_proposal_id, proposer);
        self.last_proposal_id
    }

    /// The proposer of a proposal that is answered now.
    pub fn take_proposal(&mut self, id: u64) -> Option<Proposer> {
        self.proposals.remove(&id)
    }

    /// A write of the node as records for the store. Entries that the log no longer has are deleted.
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
