//! A log that a few named voters agree on: Raft (Ongaro and Ousterhout 2014, with the thesis's pre-vote,
//! snapshots and changes of one voter at a time). No file, socket, clock or chance: the host draws the times.
//!
//! Each voter goes by its name and by the birth of its disk. One that lost its disk is another voter: what it
//! says counts for nothing till the others have let it in anew, so it can't vote twice in a term or forget
//! what it had written. `docs/release.md`.
pub mod log;
pub mod node;

pub use log::{Entry, Log, Snapshot, What};
pub use node::{Alarm, Effect, Event, Node, Role, Stored, Write};

use serde::{Deserialize, Serialize};

/// A voter's name, in a number.
pub type Id = u32;
pub type Term = u64;
pub type Index = u64;

/// A voter, by its name and its disk; a birth of 0 is whichever it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    pub id: Id,
    pub birth: u64,
}

/// Bytes of a command at most; entries of a message, and bytes of their commands.
pub const COMMAND: usize = 8 << 10;
pub const BATCH: usize = 64;
pub const BATCH_BYTES: usize = 64 << 10;
/// Voters at most: more would be slower and no more certain.
pub const VOTERS: usize = 7;

/// What one voter says to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Post {
    pub from: Voter,
    pub to: Voter,
    /// The sender's; of a pre-vote the one that it would stand in.
    pub term: Term,
    pub say: Say,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Say {
    /// The sender is no voter as far as it knows; without a log it is `blank`.
    Here {
        blank: bool,
    },
    /// The first voters, all blank till now.
    Found {
        voters: Vec<Voter>,
    },
    /// Would a vote be given? The sender's last entry.
    PreVote {
        index: Index,
        term: Term,
    },
    PreVoted {
        yes: bool,
    },
    Vote {
        index: Index,
        term: Term,
    },
    Voted {
        yes: bool,
    },
    /// What comes after an entry, and how far all is agreed.
    Append {
        index: Index,
        term: Term,
        entries: Vec<Entry>,
        commit: Index,
    },
    /// All up to the index is as the leader's, or, where not, what is worth trying before it.
    Appended {
        ok: bool,
        index: Index,
    },
    Snapshot {
        snapshot: Snapshot,
    },
}
