//! Raft consensus over a replicated log (Ongaro and Ousterhout 2014), with the pre-vote, the log compaction
//! and the single-server membership changes of Ongaro's thesis. "Figure 2" and section numbers in this crate
//! are those of the paper, "thesis" is "Consensus: Bridging Theory and Practice".
//!
//! The crate does no I/O and reads no clock: [`Node::step`] takes an [`Event`] and appends the [`Effect`]s
//! that the host carries out in order. The host chooses the random election timeouts.
//!
//! A voter is identified by the server's id and by the incarnation of the server's disk. A server that lost
//! its disk has another incarnation and is therefore a new voter. Its messages do not count until the other
//! voters have added it to the configuration, so it can neither vote twice in one term nor lose an entry that
//! it had acknowledged. See `docs/release.md`.
#![warn(missing_docs)]

pub mod log;
pub mod message;
pub mod node;
pub mod storage;

pub use log::{Configuration, Entry, Log, Payload, Snapshot};
pub use message::{AppendEntries, Message, MessageBody};
pub use node::{Effect, Event, Node, Role, Timer};
pub use storage::{PersistentState, Write};

use serde::{Deserialize, Serialize};

/// Identifies a server, regardless of its disk. The host derives the id from the server's name.
pub type Id = u32;
/// A term of Raft (section 5.1); 0 is before the first election.
pub type Term = u64;
/// The position of an entry in the log. The first entry has index 1; 0 is the position before it.
pub type Index = u64;

/// A server with a particular disk. A server that lost its disk is a different voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The server's id.
    pub id: Id,
    /// Identifies the server's disk. In the recipient of a message, [`ANY_DISK`] matches any incarnation.
    pub incarnation: u64,
}

/// The incarnation that addresses a server with any disk.
pub const ANY_DISK: u64 = 0;

/// Maximum length of a command, in bytes.
pub const MAX_COMMAND_BYTES: usize = 8 << 10;
/// Maximum number of entries in one AppendEntries message.
pub const MAX_BATCH_ENTRIES: usize = 64;
/// Maximum size of the entries in one AppendEntries message, in bytes.
pub const MAX_BATCH_BYTES: usize = 64 << 10;
/// Maximum number of voters of a cluster: a larger quorum is slower and hardly more available.
pub const MAX_VOTERS: usize = 7;
