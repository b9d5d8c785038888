//! A small write-ahead log for what a relay must remember across restarts.
//!
//! All values are held in memory, by key; each change is appended to one log file. A compaction writes the
//! values that are still held to a second file and renames that over the first.
//!
//! Each record of the log carries a checksum. Recovery reads from the front and stops at the first record
//! that is cut short or does not match its checksum. A batch of changes is one record, so it is applied
//! completely or not at all. What [`Store::commit`] has returned for survives a power loss; a batch that
//! failed may survive, completely. `docs/store.md` describes the bytes.
#![deny(missing_docs)]

pub mod disk;
pub mod error;
pub mod faulty_disk;
pub mod format;
pub mod log;
pub mod writer;

pub use disk::{Directory, Disk};
pub use error::StoreError;
pub use format::{Change, Key, LogSummary, Value};
pub use log::{Store, StoreSize};
