//! Entries after a snapshot, and what stands in them.
use crate::{Index, Term, Voter, BATCH, BATCH_BYTES};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum What {
    /// A leader's first, which makes what came before it certain.
    Nothing,
    /// The users' own bytes.
    Command(Vec<u8>),
    /// The voters from here on, agreed or not.
    Voters(Vec<Voter>),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub index: Index,
    pub term: Term,
    pub what: What,
}

/// All that came of the log up to an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub voters: Vec<Voter>,
    pub state: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Log {
    pub snapshot: Snapshot,
    /// Those after it, without a gap.
    entries: Vec<Entry>,
}

impl Log {
    /// As a disk gave it back: what does not follow on the snapshot is left out.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let mut log = Log { snapshot, entries: Vec::new() };
        for entry in entries {
            if entry.index == log.last() + 1 {
                log.entries.push(entry);
            }
        }
        log
    }

    pub fn last(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    pub fn first(&self) -> Index {
        self.snapshot.index + 1
    }

    pub fn is_blank(&self) -> bool {
        self.last() == 0
    }

    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Of an entry; none where it is not here (any more).
    pub fn term(&self, index: Index) -> Option<Term> {
        match index {
            i if i == self.snapshot.index => Some(self.snapshot.term),
            i => self.get(i).map(|entry| entry.term),
        }
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        index.checked_sub(self.first()).and_then(|at| self.entries.get(at as usize))
    }

    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Drops an entry and all after it.
    pub fn cut(&mut self, from: Index) {
        self.entries.truncate(from.saturating_sub(self.first()) as usize);
    }

    /// From an entry on, as many as a message takes.
    pub fn batch(&self, from: Index) -> Vec<Entry> {
        let at = from.saturating_sub(self.first()) as usize;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += match &entry.what {
                What::Command(command) => command.len(),
                _ => 64,
            };
            bytes <= BATCH_BYTES
        };
        self.entries.iter().skip(at).take(BATCH).take_while(fits).cloned().collect()
    }

    /// The voters that the last word on them names, and where it stands.
    pub fn voters(&self) -> (Index, &[Voter]) {
        let named = self.entries.iter().rev().find_map(|entry| match &entry.what {
            What::Voters(voters) => Some((entry.index, voters.as_slice())),
            _ => None,
        });
        named.unwrap_or((self.snapshot.index, &self.snapshot.voters))
    }

    /// Those up to an entry.
    fn voters_at(&self, index: Index) -> Vec<Voter> {
        let upto = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let named = upto.into_iter().find_map(|entry| match &entry.what {
            What::Voters(voters) => Some(voters.clone()),
            _ => None,
        });
        named.unwrap_or_else(|| self.snapshot.voters.clone())
    }

    /// Puts what came of all up to an entry in its place; false where that is not here.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) -> bool {
        let Some(term) = self.term(index).filter(|_| index > self.snapshot.index) else { return false };
        let voters = self.voters_at(index);
        self.entries.drain(..(index - self.snapshot.index) as usize);
        self.snapshot = Snapshot { index, term, voters, state };
        true
    }

    /// Takes another's snapshot: what follows on it stays, where its entry is the same.
    pub fn restore(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    /// Whether another's last entry is at least as late as this log's.
    pub fn covered_by(&self, index: Index, term: Term) -> bool {
        (term, index) >= (self.last_term(), self.last())
    }
}
