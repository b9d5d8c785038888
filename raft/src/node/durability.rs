//! Writes that are not durable yet, and the messages that wait for them.
//!
//! Figure 2: a server updates its persistent state on stable storage before it responds to RPCs. A message
//! that depends on the persistent state is sent once all writes requested before it are durable.
use super::{Effect, Node, Role};
use crate::{Index, Message, MessageBody, Voter, Write};
use std::collections::VecDeque;

/// A message that is sent once a write and all earlier ones are durable.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct DelayedMessage {
    /// The number of the write.
    write: u64,
    message: Message,
}

/// The last index of the log as of a write, which becomes the durable index once the write is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LogEnd {
    write: u64,
    last_index: Index,
}

/// The writes of a voter, numbered from 1.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PendingWrites {
    /// The number of the last requested write.
    requested: u64,
    /// The number of the last durable write.
    durable: u64,
    /// In the order of their writes.
    delayed_messages: VecDeque<DelayedMessage>,
    /// The end of the log after each write that is not durable, in order.
    log_ends: VecDeque<LogEnd>,
    /// The last durable index of the log.
    durable_index: Index,
}

impl PendingWrites {
    /// No write is pending, and the log is durable up to an index.
    pub(super) fn all_durable(durable_index: Index) -> PendingWrites {
        PendingWrites { durable_index, ..PendingWrites::default() }
    }

    /// The last durable index of the log.
    pub(super) fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// Returns whether all requested writes are durable.
    pub(super) fn is_empty(&self) -> bool {
        self.durable == self.requested
    }

    /// Records that the log was truncated from an index on, so that removed entries no longer count as
    /// durable.
    pub(super) fn truncate_log(&mut self, from: Index) {
        let last_index = from - 1;
        self.durable_index = self.durable_index.min(last_index);
        for end in &mut self.log_ends {
            end.last_index = end.last_index.min(last_index);
        }
    }

    /// Assigns a number to a write after which the log ends at an index.
    fn request(&mut self, last_index: Index) -> u64 {
        self.requested += 1;
        self.log_ends.push_back(LogEnd { write: self.requested, last_index });
        self.requested
    }

    /// Records that all writes up to a number are durable.
    fn complete(&mut self, number: u64) {
        self.durable = self.durable.max(number);
        while let Some(end) = self.log_ends.pop_front_if(|end| end.write <= self.durable) {
            self.durable_index = end.last_index;
        }
    }

    /// Removes and returns the next message whose writes are durable.
    fn next_message(&mut self) -> Option<Message> {
        let delayed = self.delayed_messages.pop_front_if(|delayed| delayed.write <= self.durable)?;
        Some(delayed.message)
    }
}

impl Node {
    /// Requests a write to the persistent state.
    pub(super) fn persist(&mut self, write: Write, effects: &mut Vec<Effect>) {
        let number = self.pending_writes.request(self.log.last_index());
        effects.push(Effect::Write { number, write });
    }

    /// Requests a write of the current term and vote.
    pub(super) fn persist_vote(&mut self, effects: &mut Vec<Effect>) {
        self.persist(Write::Vote { term: self.term, voted_for: self.voted_for }, effects);
    }

    /// Sends a message in the current term once all writes requested so far are durable.
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
            // A message of an earlier term no longer affects its recipient.
            if message.term == self.term {
                effects.push(Effect::Send(message));
            }
        }
        self.count_own_vote(effects);
        if self.role == Role::Leader {
            self.advance_commit_index(effects);
        }
    }

    /// Returns whether the writes are numbered from the last durable one, see [`Node::renumber_writes`].
    pub fn has_renumbered_writes(&self) -> bool {
        self.pending_writes.durable == 0
    }

    /// Renumbers the writes from the last durable one, so that voters which differ only in these numbers
    /// become equal. The model checker needs this. Returns the amount subtracted from each number.
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
