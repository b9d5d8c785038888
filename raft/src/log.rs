//! The replicated log of one voter: a snapshot followed by entries without a gap.
use crate::{Index, Term, Voter, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES};
use serde::{Deserialize, Serialize};

/// Size in bytes at which `batch_from` counts an entry without a command.
const FIXED_ENTRY_BYTES: usize = 64;

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader in its term. Committing it also commits the entries of earlier terms
    /// (section 8).
    Noop,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The cluster's voters. They are in force once the entry is in the log, committed or not (section 6).
    Configuration(Vec<Voter>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its position in the log.
    pub index: Index,
    /// The term of the leader that created it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

/// The state machine after an entry. It replaces the log up to that entry (section 7).
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: Index,
    /// Term of the last entry included.
    pub term: Term,
    /// The configuration as of that entry.
    pub voters: Vec<Voter>,
    /// The encoded state machine.
    pub state: Vec<u8>,
}

/// The voters in force, and the index of the entry that holds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Configuration<'a> {
    /// Index of the configuration entry, or of the snapshot that holds the configuration.
    pub index: Index,
    /// The voters, sorted.
    pub voters: &'a [Voter],
}

/// A snapshot followed by entries without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates the log from what was read from disk. Skips an entry that leaves a gap after the previous one.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log { snapshot, entries: Vec::new() };
        for entry in entries {
            if entry.index == log.last_index() + 1 {
                log.entries.push(entry);
            }
        }
        log
    }

    /// The snapshot that replaces the log up to its index; empty if the log was never compacted.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry, or of the snapshot if no entry follows it.
    pub fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    /// Index of the first entry after the snapshot, whether or not that entry exists.
    pub fn first_index(&self) -> Index {
        self.snapshot.index + 1
    }

    /// Returns whether the log has neither a snapshot nor an entry.
    pub fn is_empty(&self) -> bool {
        self.last_index() == 0
    }

    /// Term of the last entry, or of the snapshot if no entry follows it.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at an index; `None` if the index is past the end or the entry was compacted.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at an index; `None` if the index is past the end or the entry was compacted.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(offset as usize)
    }

    /// All entries after the snapshot.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Appends an entry. Its index must be one past the last index.
    pub fn append(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Removes the entry at an index and all that follow it.
    pub fn truncate_from(&mut self, index: Index) {
        let kept = index.saturating_sub(self.first_index());
        self.entries.truncate(kept as usize);
    }

    /// The entries from an index on, as many as fit into one message.
    pub fn batch_from(&self, index: Index) -> Vec<Entry> {
        let skipped = index.saturating_sub(self.first_index()) as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += match &entry.payload {
                Payload::Command(command) => command.len(),
                Payload::Noop | Payload::Configuration(_) => FIXED_ENTRY_BYTES,
            };
            bytes <= MAX_BATCH_BYTES
        };
        self.entries.iter().skip(skipped).take(MAX_BATCH_ENTRIES).take_while(fits).cloned().collect()
    }

    /// The latest configuration in the log, committed or not.
    pub fn configuration(&self) -> Configuration<'_> {
        self.configuration_at(self.last_index())
    }

    /// The latest configuration up to an index.
    fn configuration_at(&self, index: Index) -> Configuration<'_> {
        let up_to_index = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let latest = up_to_index.into_iter().find_map(|entry| match &entry.payload {
            Payload::Configuration(voters) => Some(Configuration { index: entry.index, voters }),
            Payload::Noop | Payload::Command(_) => None,
        });
        latest.unwrap_or(Configuration { index: self.snapshot.index, voters: &self.snapshot.voters })
    }

    /// Replaces the log up to an index with the state of the state machine after that entry. Returns whether
    /// the log was compacted, which requires that it still holds the entry.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) -> bool {
        if index <= self.snapshot.index {
            return false;
        }
        let Some(term) = self.term(index) else { return false };
        let voters = self.configuration_at(index).voters.to_vec();
        self.entries.drain(..(index - self.snapshot.index) as usize);
        self.snapshot = Snapshot { index, term, voters, state };
        true
    }

    /// Replaces the log with a leader's snapshot. If the log holds the snapshot's last entry, the entries
    /// that follow it are kept (figure 13, step 6).
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// Returns whether a candidate's log is at least as up-to-date as this one (section 5.4.1).
    pub fn is_candidate_up_to_date(&self, last_log_index: Index, last_log_term: Term) -> bool {
        (last_log_term, last_log_index) >= (self.last_term(), self.last_index())
    }
}
