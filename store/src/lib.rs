//! A small write-ahead log for the state that a relay must keep across restarts.
//!
//! All values are held in memory by key, and each change is appended to one log file. A compaction writes the
//! current values to a second file and renames it to the log file.
//!
//! Each record of the log has a checksum. Recovery reads from the start of the file and stops at the first
//! record that is truncated or does not match its checksum. A batch of changes is one record, so that it is
//! applied completely or not at all. A batch survives a power loss once [`Store::commit`] has returned
//! successfully. A batch whose commit failed may survive too, but only completely. `docs/store.md` describes
//! the format.
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
