//! The persistent state of a voter, and the writes that change it.
use crate::{Entry, Index, Snapshot, Term, Voter};

/// A change of the persistent state. Writes are carried out in the order in which they are requested; a later
/// one replaces what it covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Write {
    /// The current term and the vote given in it.
    Vote {
        /// The current term.
        term: Term,
        /// The candidate that received the vote in this term.
        voted_for: Option<Voter>,
    },
    /// Replaces all entries from an index on.
    Log {
        /// Index of the first entry to be replaced.
        from: Index,
        /// The new entries from that index on.
        entries: Vec<Entry>,
    },
    /// Replaces the snapshot and all entries.
    Snapshot {
        /// The new snapshot.
        snapshot: Snapshot,
        /// All entries that follow it.
        entries: Vec<Entry>,
    },
}

/// The persistent state of figure 2 and the snapshot, as read from disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistentState {
    /// The latest term that the server has seen.
    pub term: Term,
    /// The candidate that received the vote in this term.
    pub voted_for: Option<Voter>,
    /// The latest snapshot; empty if there is none.
    pub snapshot: Snapshot,
    /// The entries that follow the snapshot.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Carries out a write.
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Vote { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Write::Log { from, entries } => {
                self.entries.retain(|entry| entry.index < from);
                self.entries.extend(entries);
            }
            Write::Snapshot { snapshot, entries } => {
                self.snapshot = snapshot;
                self.entries = entries;
            }
        }
    }
}
