//! Why the store could not be opened or written.
use std::io;

/// Why the store could not be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk reported an error; what a failed write left behind is unknown.
    #[error("the disk: {0}")]
    Disk(#[from] io::Error),
    /// The file is not a log of this store: it is left as it is.
    #[error("this is no store of hallrelay's")]
    NotAStore,
    /// The file is a log of another format, most likely a later one: it is left as it is.
    #[error("the store's format is {found}, wanted {wanted}")]
    Format {
        /// The format that the file names.
        found: u8,
        /// The only format that this program reads and writes.
        wanted: u8,
    },
    /// A key's name is over [`MAX_NAME_BYTES`](crate::format::MAX_NAME_BYTES) or a value over
    /// [`MAX_VALUE_BYTES`](crate::format::MAX_VALUE_BYTES).
    #[error("a key or value is over its bound")]
    EntryTooLarge,
    /// A batch is over [`MAX_RECORD_BYTES`](crate::format::MAX_RECORD_BYTES).
    #[error("a batch of {bytes} bytes, {max} at most")]
    BatchTooLarge {
        /// Bytes of the batch as a record.
        bytes: usize,
        /// Bytes that a record may have.
        max: usize,
    },
    /// The batch does not fit into the store's capacity, even after a compaction.
    #[error("the store would be over its {capacity} bytes")]
    Full {
        /// Bytes that the log file may have.
        capacity: u64,
    },
}
