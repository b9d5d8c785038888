//! The bytes of a log file: a header, then records, each of which holds a batch of changes. Numbers are
//! little-endian; `docs/store.md` has the layout. No I/O.
use crate::error::StoreError;

/// Identifies a value: its kind, whose meaning is the user's, and its name among those of that kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The kind of the value.
    pub kind: u8,
    /// The name, [`MAX_NAME_BYTES`] at most.
    pub name: Vec<u8>,
}

/// A value, and the version of its encoding, whose meaning is the user's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The version of the encoding.
    pub version: u8,
    /// The encoded value, [`MAX_VALUE_BYTES`] at most.
    pub bytes: Vec<u8>,
}

/// A key's new value, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What is changed.
    pub key: Key,
    /// The new value; `None` removes the key.
    pub value: Option<Value>,
}

impl Change {
    /// Sets a key's value.
    pub fn set(key: Key, value: Value) -> Change {
        Change { key, value: Some(value) }
    }

    /// Removes a key.
    pub fn remove(key: Key) -> Change {
        Change { key, value: None }
    }

    /// Whether key and value are within [`MAX_NAME_BYTES`] and [`MAX_VALUE_BYTES`].
    pub fn is_within_bounds(&self) -> bool {
        let value_bytes = self.value.as_ref().map_or(0, |value| value.bytes.len());
        self.key.name.len() <= MAX_NAME_BYTES && value_bytes <= MAX_VALUE_BYTES
    }
}

/// What a log file holds, as recovery found it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSummary {
    /// Complete records.
    pub records: u64,
    /// Bytes after the last complete record, which recovery cuts off.
    pub torn_bytes: u64,
    /// Counted up with each compaction; the first file has 1.
    pub generation: u64,
}

/// Bytes that a key's name may have.
pub const MAX_NAME_BYTES: usize = 256;
/// Bytes that a value may have.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Bytes that a record's body, which is a batch, may have.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

const MAGIC: &[u8; 7] = b"hallrel";
const FORMAT: u8 = 1;
/// Magic, format (u8), generation (u64), CRC-32 of these.
pub(crate) const HEADER_BYTES: usize = 7 + 1 + 8 + 4;
/// Length (u32) and CRC-32 in front of each record's body.
pub(crate) const FRAME_BYTES: usize = 8;
/// Stands for a removal where the length of the value is expected; no value is as long.
const REMOVED: u32 = u32::MAX;

/// A record as it stands in the file, with its frame.
pub(crate) struct RawRecord {
    pub offset: u64,
    pub bytes: Vec<u8>,
}

/// The complete records of a file.
pub(crate) struct LogContents {
    pub generation: u64,
    /// The changes of all records, in the order of writing.
    pub changes: Vec<Change>,
    pub records: u64,
    /// Where the last complete record ends.
    pub end: u64,
    pub last_record: Option<RawRecord>,
}

/// Bytes that a key with a value takes in a batch.
pub(crate) fn encoded_length(key: &Key, value: &Value) -> u64 {
    (1 + 1 + 2 + key.name.len() + 4 + value.bytes.len()) as u64
}

/// Appends one change to a record's body.
pub(crate) fn encode_change(out: &mut Vec<u8>, key: &Key, value: Option<&Value>) {
    out.push(key.kind);
    out.push(value.map_or(0, |value| value.version));
    out.extend_from_slice(&(key.name.len() as u16).to_le_bytes());
    out.extend_from_slice(&key.name);
    let length = value.map_or(REMOVED, |value| value.bytes.len() as u32);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(value.map_or(&[], |value| &value.bytes));
}

/// Takes one change from the front of `bytes`.
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

/// All changes of a record's body; `None` where any of them is malformed.
fn decode_batch(mut bytes: &[u8]) -> Option<Vec<Change>> {
    let mut changes = Vec::new();
    while !bytes.is_empty() {
        changes.push(decode_change(&mut bytes)?);
    }
    Some(changes)
}

/// The checksum of a record. It covers generation and offset, so that the remains of an earlier file in the
/// same blocks are never taken for a record of this one.
fn record_checksum(generation: u64, offset: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Appends a record that is to stand at `offset` of the file.
pub(crate) fn encode_record(out: &mut Vec<u8>, generation: u64, offset: u64, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&record_checksum(generation, offset, body).to_le_bytes());
    out.extend_from_slice(body);
}

/// The header of a file.
pub(crate) fn encode_header(generation: u64) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.push(FORMAT);
    header.extend_from_slice(&generation.to_le_bytes());
    let checksum = crc32fast::hash(&header);
    header.extend_from_slice(&checksum.to_le_bytes());
    header
}

/// The first four bytes as a number.
fn u32_at_front(bytes: &[u8]) -> u32 {
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// The generation in a header; `None` where the header is incomplete, so that nothing durable ever followed
/// it.
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

/// The complete records of a file's bytes, up to the first one that is not; `None` where the header is
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

/// The contents of a log file, for tools.
pub struct Inspection {
    /// What recovery would find.
    pub summary: LogSummary,
    /// The changes of all complete records, in the order of writing.
    pub changes: Vec<Change>,
}

/// Reads a log file's bytes without changing anything.
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
