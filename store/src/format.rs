//! The format of a log file: a header followed by records, each of which contains a batch of changes. Numbers
//! are little-endian; `docs/store.md` describes the layout. This module does no I/O.
use crate::error::StoreError;

/// Identifies a value by its kind and its name among the values of that kind. The caller defines the kinds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Kind of the value.
    pub kind: u8,
    /// Name of the value, at most [`MAX_NAME_BYTES`] long.
    pub name: Vec<u8>,
}

/// A value and the version of its encoding. The caller defines the encoding and its versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version of the encoding.
    pub version: u8,
    /// The encoded value, at most [`MAX_VALUE_BYTES`] long.
    pub bytes: Vec<u8>,
}

/// A new value of a key, or the removal of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The affected key.
    pub key: Key,
    /// The new value; `None` removes the key.
    pub value: Option<Value>,
}

impl Change {
    /// Sets the value of a key.
    pub fn set(key: Key, value: Value) -> Change {
        Change { key, value: Some(value) }
    }

    /// Removes a key.
    pub fn remove(key: Key) -> Change {
        Change { key, value: None }
    }

    /// Whether name and value are at most [`MAX_NAME_BYTES`] and [`MAX_VALUE_BYTES`] long.
    pub fn is_within_bounds(&self) -> bool {
        let value_bytes = self.value.as_ref().map_or(0, |value| value.bytes.len());
        self.key.name.len() <= MAX_NAME_BYTES && value_bytes <= MAX_VALUE_BYTES
    }
}

/// Summary of a log file, as found by recovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSummary {
    /// Number of complete records.
    pub records: u64,
    /// Number of bytes after the last complete record, which recovery cuts off.
    pub torn_bytes: u64,
    /// Number of the file: 1 for the first one, incremented by each compaction.
    pub generation: u64,
}

/// Longest name of a key, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Longest body of a record, which contains one batch, in bytes.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

const MAGIC: &[u8; 7] = b"hallrel";
const FORMAT: u8 = 1;
/// Length of the header: magic, format (u8), generation (u64), and the CRC-32 of these.
pub(crate) const HEADER_BYTES: usize = 7 + 1 + 8 + 4;
/// Length of the frame before each record's body: the body's length (u32) and the CRC-32.
pub(crate) const FRAME_BYTES: usize = 8;
/// Marks a removal in place of the value's length; no value is this long.
const REMOVED: u32 = u32::MAX;

/// The bytes of a record including its frame, and their offset in the file.
pub(crate) struct RawRecord {
    pub offset: u64,
    pub bytes: Vec<u8>,
}

/// The complete records of a log file.
pub(crate) struct LogContents {
    pub generation: u64,
    /// The changes of all records in the order of writing.
    pub changes: Vec<Change>,
    pub records: u64,
    /// Offset of the end of the last complete record.
    pub end: u64,
    pub last_record: Option<RawRecord>,
}

/// Length of a change that sets a value, in bytes.
pub(crate) fn encoded_length(key: &Key, value: &Value) -> u64 {
    (1 + 1 + 2 + key.name.len() + 4 + value.bytes.len()) as u64
}

/// Appends a change to the body of a record.
pub(crate) fn encode_change(out: &mut Vec<u8>, key: &Key, value: Option<&Value>) {
    out.push(key.kind);
    out.push(value.map_or(0, |value| value.version));
    out.extend_from_slice(&(key.name.len() as u16).to_le_bytes());
    out.extend_from_slice(&key.name);
    let length = value.map_or(REMOVED, |value| value.bytes.len() as u32);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(value.map_or(&[], |value| &value.bytes));
}

/// Decodes and removes the change at the front of `bytes`.
fn decode_change(bytes: &mut &[u8]) -> Option<Change> {
    let mut take = |count: usize| -> Option<&[u8]> {
        let (front, rest) = bytes.split_at_checked(count)?;
        *bytes = rest;
        Some(front)
    };
    let prefix = take(4)?;
    let kind = prefix[0];
    let version = prefix[1];
    let name_length = u16::from_le_bytes([prefix[2], prefix[3]]);
    let name = take(name_length.into())?.to_vec();
    let value = match u32::from_le_bytes(take(4)?.try_into().ok()?) {
        REMOVED => None,
        length => Some(Value { version, bytes: take(length as usize)?.to_vec() }),
    };
    Some(Change { key: Key { kind, name }, value })
}

/// Decodes the changes of a record's body; `None` if any of them is malformed.
fn decode_batch(mut bytes: &[u8]) -> Option<Vec<Change>> {
    let mut changes = Vec::new();
    while !bytes.is_empty() {
        changes.push(decode_change(&mut bytes)?);
    }
    Some(changes)
}

/// The checksum of a record. Besides the body it covers the body's length, the generation of the file and the
/// offset of the record, so that the remains of an earlier file are never read as a record of this one.
fn record_checksum(generation: u64, offset: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Appends a record that will be written at `offset` of the file.
pub(crate) fn encode_record(out: &mut Vec<u8>, generation: u64, offset: u64, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&record_checksum(generation, offset, body).to_le_bytes());
    out.extend_from_slice(body);
}

/// Encodes the header of a file.
pub(crate) fn encode_header(generation: u64) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.push(FORMAT);
    header.extend_from_slice(&generation.to_le_bytes());
    let checksum = crc32fast::hash(&header);
    header.extend_from_slice(&checksum.to_le_bytes());
    header
}

/// The little-endian number in the first four bytes.
fn u32_at_front(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// The generation in a header; `None` if the header is incomplete. A file whose header is incomplete never
/// held anything that was promised as durable.
fn decode_header(bytes: &[u8]) -> Result<Option<u64>, StoreError> {
    let Some((header, _)) = bytes.split_at_checked(HEADER_BYTES) else { return Ok(None) };
    let (covered, checksum) = header.split_at(HEADER_BYTES - 4);
    if crc32fast::hash(covered) != u32_at_front(checksum) {
        return Ok(None);
    }
    if &covered[..7] != MAGIC {
        return Err(StoreError::NotAStore);
    }
    if covered[7] != FORMAT {
        return Err(StoreError::Format { found: covered[7], wanted: FORMAT });
    }
    Ok(Some(u64::from_le_bytes(covered[8..16].try_into().unwrap_or_default())))
}

/// Decodes the records of a file up to the first incomplete or damaged one; `None` if the header is
/// incomplete.
///
/// # Errors
/// [`StoreError::NotAStore`] and [`StoreError::Format`].
pub(crate) fn decode_log(bytes: &[u8]) -> Result<Option<LogContents>, StoreError> {
    let Some(generation) = decode_header(bytes)? else { return Ok(None) };
    let mut log = LogContents {
        generation,
        changes: Vec::new(),
        records: 0,
        end: HEADER_BYTES as u64,
        last_record: None,
    };
    let mut offset = HEADER_BYTES;
    while let Some(frame) = bytes.get(offset..offset + FRAME_BYTES) {
        let length = u32_at_front(frame) as usize;
        if length > MAX_RECORD_BYTES {
            break;
        }
        let body_offset = offset + FRAME_BYTES;
        let Some(body) = bytes.get(body_offset..body_offset + length) else { break };
        if record_checksum(generation, offset as u64, body) != u32_at_front(&frame[4..]) {
            break;
        }
        let Some(changes) = decode_batch(body) else { break };
        let end = body_offset + length;
        log.changes.extend(changes);
        log.last_record = Some(RawRecord { offset: offset as u64, bytes: bytes[offset..end].to_vec() });
        log.records += 1;
        log.end = end as u64;
        offset = end;
    }
    Ok(Some(log))
}

/// Contents of a log file for diagnostic tools.
pub struct Inspection {
    /// Summary that recovery would give.
    pub summary: LogSummary,
    /// The changes of all complete records in the order of writing.
    pub changes: Vec<Change>,
}

/// Decodes the bytes of a log file without changing the file.
///
/// # Errors
/// [`StoreError::NotAStore`] and [`StoreError::Format`].
pub fn inspect(bytes: &[u8]) -> Result<Inspection, StoreError> {
    let file_bytes = bytes.len() as u64;
    let Some(log) = decode_log(bytes)? else {
        let summary = LogSummary { torn_bytes: file_bytes, ..LogSummary::default() };
        return Ok(Inspection { summary, changes: Vec::new() });
    };
    let summary =
        LogSummary { records: log.records, torn_bytes: file_bytes - log.end, generation: log.generation };
    Ok(Inspection { summary, changes: log.changes })
}
