//! What can be wrong with the simulator's frames.

use std::io;

/// Why the adapter ends.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Standard input can't be read.
    #[error("input: {0}")]
    Input(#[source] io::Error),
    /// Standard output can't be written.
    #[error("output: {0}")]
    Output(#[source] io::Error),
    /// The input ends within the length of a frame.
    #[error("input ends {read} bytes into a frame's length")]
    TruncatedLength {
        /// Bytes of it that came.
        read: usize,
    },
    /// The input ends within a frame.
    #[error("input ends {read} bytes into a frame of {length}")]
    TruncatedFrame {
        /// Bytes of it that came.
        read: usize,
        /// Its length, as announced.
        length: usize,
    },
    /// A frame has no room for a header.
    #[error("a frame of {length} bytes is shorter than its header")]
    ShortFrame {
        /// Its length.
        length: usize,
    },
    /// A batch announces more records than its frame holds.
    #[error("batch {batch}: {count} records do not fit in {length} bytes")]
    TooManyRecords {
        /// The batch's number.
        batch: u32,
        /// Records announced.
        count: usize,
        /// Bytes behind the header.
        length: usize,
    },
    /// A record of a batch can't be decoded.
    #[error("batch {batch}, record {index}: {source}")]
    Record {
        /// The batch's number.
        batch: u32,
        /// The record's place in it, from 0.
        index: usize,
        /// What is wrong with it.
        source: RecordError,
    },
}

/// What can be wrong with a record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It refers to bytes that the frame does not have.
    #[error("{count} items at {start} lie outside a tail of {length} bytes")]
    OutsideTail {
        /// Items that it refers to.
        count: usize,
        /// The first one's offset in the tail.
        start: usize,
        /// The tail's length.
        length: usize,
    },
    /// A load report announces too many values.
    #[error("load report of {0} values, at most 4")]
    LongReport(usize),
    /// An outcome that the wire does not have.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// A kind of list that the wire does not have.
    #[error("unknown list kind {0}")]
    UnknownListKind(u8),
    /// A state of a server that the wire does not have.
    #[error("unknown phase {0}")]
    UnknownPhase(u8),
    /// An event that the wire does not have.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
}
