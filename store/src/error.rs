//! Errors of opening and writing the store.
use crate::format::{MAX_NAME_BYTES, MAX_VALUE_BYTES};
use std::io;

/// Why the store could not be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk reported an error. The contents of a file after a failed write are unknown.
    #[error("disk error: {0}")]
    Disk(#[from] io::Error),
    /// The header of the log file is intact but does not have the magic bytes of a store. The file is left
    /// unchanged.
    #[error("the log file is not that of a hallrelay store")]
    NotAStore,
    /// The log file has another format, most likely a later one. It is left unchanged.
    #[error("the store's format is {found}, wanted {wanted}")]
    Format {
        /// The format named by the file.
        found: u8,
        /// The only format that this version reads and writes.
        wanted: u8,
    },
    /// A key's name is longer than [`MAX_NAME_BYTES`](crate::format::MAX_NAME_BYTES) or a value longer than
    /// [`MAX_VALUE_BYTES`](crate::format::MAX_VALUE_BYTES).
    #[error("the name of a key is over {MAX_NAME_BYTES} bytes or a value over {MAX_VALUE_BYTES} bytes")]
    EntryTooLarge,
    /// A batch is larger than [`MAX_RECORD_BYTES`](crate::format::MAX_RECORD_BYTES).
    #[error("a batch has {bytes} bytes, at most {max} are allowed")]
    BatchTooLarge {
        /// Size of the batch as the body of a record, in bytes.
        bytes: usize,
        /// Largest size of a record's body, in bytes.
        max: usize,
    },
    /// The batch does not fit into the store's capacity, even after a compaction.
    #[error("the batch does not fit into the store's capacity of {capacity} bytes")]
    Full {
        /// Largest size of the log file, in bytes.
        capacity: u64,
    },
}
