//! A small store for what a relay must remember across restarts: a log of records in one file, an index in
//! memory, a snapshot written beside it and switched to in one step.
//!
//! A record is whole or it is not there: recovery reads from the front and stops at the first record that is
//! cut short or does not match its checksum. A batch is one record, so it is whole or not there too. What
//! `commit` has returned for survives a cut; what it has not may survive, whole. `docs/store.md` has the
//! bytes.
pub mod disk;
pub mod faulty;
pub mod log;
pub mod writer;

pub use disk::{Disk, Folder};
pub use log::{Fault, Found, Key, Store, Value};
