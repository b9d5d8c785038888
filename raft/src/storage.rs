//! What a voter keeps on its disk, and the writes that change it.
use crate::{Entry, Index, Snapshot, Term, Voter};

/// A change of the persistent state, to be written in the order given. A later write replaces what it covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Write {
    /// The current term and the vote given in it.
    Vote {
        /// The current term.
        term: Term,
        /// Who got the vote in this term.
        voted_for: Option<Voter>,
    },
    /// All entries from an index on are replaced.
    Log {
        /// Index of the first entry replaced.
        from: Index,
        /// The entries that follow from there on.
        entries: Vec<Entry>,
    },
    /// The snapshot and all entries are replaced.
    Snapshot {
        /// The new snapshot.
        snapshot: Snapshot,
        /// All entries that follow it.
        entries: Vec<Entry>,
    },
}

/// The persistent state of figure 2 with the snapshot, as read from a disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistentState {
    /// The latest term that the server has seen.
    pub term: Term,
    /// Who got the vote in this term.
    pub voted_for: Option<Voter>,
    /// The last snapshot; empty where there is none.
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
