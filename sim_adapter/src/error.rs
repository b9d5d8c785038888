//! Errors in the simulator's frames and records.

use crate::frame::{EVENT, HEADER};
use crate::record::REPORT_VALUES;
use std::io;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading standard input failed.
    #[error("read standard input: {0}")]
    Input(#[source] io::Error),
    /// Writing to standard output failed.
    #[error("write standard output: {0}")]
    Output(#[source] io::Error),
    /// The input ended within the length field of a frame.
    #[error("input truncated: got {read} of 4 bytes of a frame's length")]
    TruncatedLength {
        /// Bytes read of the length field.
        read: usize,
    },
    /// The input ended within a frame.
    #[error("input truncated: got {read} of {length} bytes of a frame")]
    TruncatedFrame {
        /// Bytes read of the frame.
        read: usize,
        /// Length of the frame according to its length field, in bytes.
        length: usize,
    },
    /// A frame is shorter than its header.
    #[error("a frame of {length} bytes is shorter than its header of {HEADER} bytes")]
    ShortFrame {
        /// Length of the frame, in bytes.
        length: usize,
    },
    /// The header of a batch specifies more records than the frame can contain.
    #[error("batch {batch}: {count} records of {EVENT} bytes exceed the {length} bytes after the header")]
    TooManyRecords {
        /// Number of the batch.
        batch: u32,
        /// Number of records according to the header.
        count: usize,
        /// Number of bytes after the header.
        length: usize,
    },
    /// A record of a batch could not be decoded.
    #[error("batch {batch}, record {index}: {source}")]
    Record {
        /// Number of the batch.
        batch: u32,
        /// Index of the record in the batch, from 0.
        index: usize,
        /// Cause of the failure.
        source: RecordError,
    },
}

/// An error in a record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record refers to bytes beyond the end of the frame's tail.
    #[error("{count} items at offset {start} are outside a tail of {length} bytes")]
    OutsideTail {
        /// Number of items to which the record refers.
        count: usize,
        /// Offset of the first item in the tail, in bytes.
        start: usize,
        /// Length of the tail, in bytes.
        length: usize,
    },
    /// A load report has too many values.
    #[error("load report has {0} values, at most {REPORT_VALUES} are allowed")]
    LongReport(usize),
    /// The protocol does not define this outcome code.
    #[error("unknown outcome code {0}")]
    UnknownOutcome(u16),
    /// The protocol does not define this kind of endpoint list.
    #[error("unknown list kind {0}")]
    UnknownListKind(u8),
    /// The protocol does not define this state of a server.
    #[error("unknown phase {0}")]
    UnknownPhase(u8),
    /// The protocol does not define this event code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
}
