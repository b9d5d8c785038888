//! Writes that are not durable yet, and the messages that wait for them.
//!
//! Figure 2: a server updates its persistent state on stable storage before it responds to RPCs. A message
//! that states what this server has stored goes out once all writes requested before it are durable.
use super::{Effect, Node, Role};
use crate::{Index, Message, MessageBody, Voter, Write};
use std::collections::VecDeque;

/// A message that waits for a write.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct DelayedMessage {
    write: u64,
    message: Message,
}

/// The end of the log once a write is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LogEnd {
    write: u64,
    last_index: Index,
}

/// The writes of a voter, numbered from 1.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PendingWrites {
    /// The last write requested.
    requested: u64,
    /// The last write that is durable.
    durable: u64,
    /// In the order of their writes.
    delayed_messages: VecDeque<DelayedMessage>,
    /// For each write that is not durable, in order.
    log_ends: VecDeque<LogEnd>,
    /// The last index of the log that is durable.
    durable_index: Index,
}

impl PendingWrites {
    /// Nothing is pending, and the log is durable up to an index.
    pub(super) fn all_durable(durable_index: Index) -> PendingWrites {
        PendingWrites { durable_index, ..PendingWrites::default() }
    }

    /// The last index of the log that is durable.
    pub(super) fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// Whether every write requested is durable.
    pub(super) fn is_empty(&self) -> bool {
        self.durable == self.requested
    }

    /// The log was truncated from an index on: what is durable of the removed entries counts no more.
    pub(super) fn truncate_log(&mut self, from: Index) {
        let last_index = from - 1;
        self.durable_index = self.durable_index.min(last_index);
        for end in &mut self.log_ends {
            end.last_index = end.last_index.min(last_index);
        }
    }

    /// Numbers a write, after which the log ends at an index.
    fn request(&mut self, last_index: Index) -> u64 {
        self.requested += 1;
        self.log_ends.push_back(LogEnd { write: self.requested, last_index });
        self.requested
    }

    /// All writes up to a number are durable.
    fn complete(&mut self, number: u64) {
        self.durable = self.durable.max(number);
        while let Some(end) = self.log_ends.pop_front_if(|end| end.write <= self.durable) {
            self.durable_index = end.last_index;
        }
    }

    /// The next message whose writes are durable.
    fn next_message(&mut self) -> Option<Message> {
        let delayed = self.delayed_messages.pop_front_if(|delayed| delayed.write <= self.durable)?;
        Some(delayed.message)
    }
}

impl Node {
    /// Requests a write.
    pub(super) fn persist(&mut self, write: Write, effects: &mut Vec<Effect>) {
        let number = self.pending_writes.request(self.log.last_index());
        effects.push(Effect::Write { number, write });
    }

    /// Requests a write of the current term and vote.
    pub(super) fn persist_vote(&mut self, effects: &mut Vec<Effect>) {
        self.persist(Write::Vote { term: self.term, voted_for: self.voted_for }, effects);
    }

    /// Sends a message in the current term once all writes requested until now are durable.
    pub(super) fn send_when_durable(&mut self, to: Voter, body: MessageBody, effects: &mut Vec<Effect>) {
        if self.pending_writes.is_empty() {
            return self.send(to, body, effects);
        }
        let write = self.pending_writes.requested;
        let message = self.message(to, self.term, body);
        self.pending_writes.delayed_messages.push_back(DelayedMessage { write, message });
    }

    pub(super) fn handle_writes_durable(&mut self, number: u64, effects: &mut Vec<Effect>) {
        self.pending_writes.complete(number);
        while let Some(message) = self.pending_writes.next_message() {
            // A message of an earlier term has no effect on its recipient.
            if message.term == self.term {
                effects.push(Effect::Send(message));
            }
        }
        self.count_own_vote(effects);
        if self.role == Role::Leader {
            self.advance_commit_index(effects);
        }
    }

    /// Whether the writes are numbered from the last durable one, as [`Node::renumber_writes`] leaves them.
    pub fn has_renumbered_writes(&self) -> bool {
        self.pending_writes.durable == 0
    }

    /// Numbers the writes from the last durable one. Voters that differ in nothing but the numbers are equal
    /// after it, which a model checker wants. Returns what was subtracted from each number.
    pub fn renumber_writes(&mut self) -> u64 {
        let writes = &mut self.pending_writes;
        let base = std::mem::take(&mut writes.durable);
        writes.requested -= base;
        for delayed in &mut writes.delayed_messages {
            delayed.write -= base;
        }
        for end in &mut writes.log_ends {
            end.write -= base;
        }
        base
    }
}
