//! The store: opening and recovery, committing batches, and compaction.
use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{
    decode_log, encode_change, encode_header, encode_record, encoded_length, Change, Key, LogContents,
    LogSummary, RawRecord, Value, FRAME_BYTES, HEADER_BYTES, MAX_RECORD_BYTES,
};
use std::collections::BTreeMap;

/// Name of the log file.
pub const LOG_FILE: &str = "log";
/// Name of the file that a compaction writes before renaming it to [`LOG_FILE`].
pub const NEXT_LOG_FILE: &str = "log.next";

/// The log is compacted when it is longer than this and more than twice as long as its current values.
const COMPACTION_MIN_BYTES: u64 = 64 << 10;
/// Smallest capacity of a store, in bytes.
const MIN_CAPACITY: u64 = 4 * COMPACTION_MIN_BYTES;
/// Least size of the records and writes of a compaction, in bytes, except for the last ones. A record of this
/// size holds about a thousand values, so that the cost of its frame is negligible.
const COMPACTION_CHUNK_BYTES: usize = 64 << 10;

/// Sizes of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSize {
    /// Length of the log file, in bytes.
    pub file_bytes: u64,
    /// Length in bytes that the current values would have if each had its own record.
    pub live_bytes: u64,
}

/// Values by key, held in memory and in a log file.
pub struct Store<D> {
    disk: D,
    index: BTreeMap<Key, Value>,
    generation: u64,
    /// Offset of the next record. All records before it are complete.
    end: u64,
    live_bytes: u64,
    /// Largest length of the log file, in bytes.
    capacity: u64,
    /// Whether the contents after `end` are unknown, because a write failed or recovery found an incomplete
    /// record. The file is then cut at `end` before the next write.
    tail_uncertain: bool,
    /// Whether the file's name may not be durable yet. No commit succeeds before the directory is synced.
    name_unsynced: bool,
    /// The last record of an earlier process, until it has been written and synced again.
    unsynced_record: Option<RawRecord>,
    summary: LogSummary,
}

impl<D: Disk> Store<D> {
    /// Opens a store or creates an empty one. An incomplete record at the end of the file is cut off.
    ///
    /// `capacity` is the largest length of the log file in bytes; it is raised to 256 KiB if it is smaller.
    ///
    /// # Errors
    /// [`StoreError::NotAStore`] and [`StoreError::Format`], which leave the file unchanged;
    /// [`StoreError::Disk`].
    pub fn open(mut disk: D, capacity: u64) -> Result<Store<D>, StoreError> {
        let capacity = capacity.max(MIN_CAPACITY);
        // An unfinished compaction may have left this file. The log still holds all values.
        _ = disk.remove(NEXT_LOG_FILE);
        let bytes = disk.read(LOG_FILE, capacity.saturating_mul(2))?;
        let file_bytes = bytes.as_ref().map_or(0, |bytes| bytes.len() as u64);
        let log = match &bytes {
            Some(bytes) => decode_log(bytes)?,
            None => None,
        };
        drop(bytes);
        let mut store = Store::empty(disk, capacity);
        match log {
            Some(log) => store.recover(log, file_bytes),
            None => {
                // As in a compaction, the header must be durable before any commit succeeds.
                store.summary.torn_bytes = file_bytes;
                store.rewrite(1)?;
                store.summary.generation = 1;
            }
        }
        Ok(store)
    }

    fn empty(disk: D, capacity: u64) -> Store<D> {
        Store {
            disk,
            index: BTreeMap::new(),
            generation: 0,
            end: 0,
            live_bytes: 0,
            capacity,
            tail_uncertain: false,
            name_unsynced: true,
            unsynced_record: None,
            summary: LogSummary::default(),
        }
    }

    fn recover(&mut self, log: LogContents, file_bytes: u64) {
        let torn_bytes = file_bytes - log.end;
        self.summary = LogSummary { records: log.records, torn_bytes, generation: log.generation };
        self.generation = log.generation;
        self.end = log.end;
        log.changes.into_iter().for_each(|change| self.apply(change));
        // The last record of an earlier process and the file's name may exist only in the system's memory. A
        // successful sync would not prove that they are durable, because after a failed sync the system
        // considers its pages written. Both are therefore written again before any commit succeeds.
        self.tail_uncertain = torn_bytes > 0;
        self.unsynced_record = log.last_record;
        // If this fails, the next commit repeats it.
        _ = self.repair();
    }

    /// Summary of the log file as found by recovery.
    pub fn summary(&self) -> LogSummary {
        self.summary
    }

    /// The value of a key.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.index.get(key)
    }

    /// All values in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.index.iter()
    }

    /// Current sizes of the store.
    pub fn size(&self) -> StoreSize {
        StoreSize { file_bytes: self.end, live_bytes: self.live_bytes }
    }

    /// Applies a change to the values in memory.
    fn apply(&mut self, change: Change) {
        let Change { key, value } = change;
        let record_bytes = |value: &Value| FRAME_BYTES as u64 + encoded_length(&key, value);
        self.live_bytes += value.as_ref().map_or(0, record_bytes);
        self.live_bytes -= self.index.get(&key).map_or(0, record_bytes);
        match value {
            Some(value) => _ = self.index.insert(key, value),
            None => _ = self.index.remove(&key),
        }
    }

    /// Writes a batch as one record. The batch is durable when this returns successfully.
    ///
    /// # Errors
    /// After any error the store holds the same values as before. The next commit first cuts off what the
    /// failed one may have left in the file.
    pub fn commit(&mut self, batch: Vec<Change>) -> Result<(), StoreError> {
        if batch.is_empty() {
            return Ok(());
        }
        let body = encode_batch(&batch)?;
        let record_bytes = (FRAME_BYTES + body.len()) as u64;
        self.reserve(record_bytes)?;
        self.repair()?;
        let mut record = Vec::with_capacity(FRAME_BYTES + body.len());
        encode_record(&mut record, self.generation, self.end, &body);
        self.tail_uncertain = true;
        self.disk.write(LOG_FILE, self.end, &record)?;
        self.disk.sync(LOG_FILE)?;
        self.tail_uncertain = false;
        self.end += record_bytes;
        batch.into_iter().for_each(|change| self.apply(change));
        if self.end > COMPACTION_MIN_BYTES && self.end > 2 * (self.live_bytes + HEADER_BYTES as u64) {
            // The batch is durable. A failed compaction leaves the log unchanged.
            _ = self.compact();
        }
        Ok(())
    }

    /// Makes sure that a record fits into the capacity, with a compaction if necessary.
    fn reserve(&mut self, record_bytes: u64) -> Result<(), StoreError> {
        if self.end + record_bytes <= self.capacity {
            return Ok(());
        }
        self.compact()?;
        if self.end + record_bytes > self.capacity {
            return Err(StoreError::Full { capacity: self.capacity });
        }
        Ok(())
    }

    /// Makes the file's name and its last record durable, and cuts off the bytes that a failed write may have
    /// left. Otherwise a record whose commit failed could reappear after the next record.
    fn repair(&mut self) -> Result<(), StoreError> {
        if self.name_unsynced {
            self.disk.sync_directory()?;
            self.name_unsynced = false;
        }
        if self.tail_uncertain || self.unsynced_record.is_some() {
            self.disk.truncate(LOG_FILE, self.end)?;
            if let Some(record) = &self.unsynced_record {
                self.disk.write(LOG_FILE, record.offset, &record.bytes)?;
            }
            self.disk.sync(LOG_FILE)?;
            self.tail_uncertain = false;
            self.unsynced_record = None;
        }
        Ok(())
    }

    /// Writes all current values to a new file and renames it to the log file.
    ///
    /// # Errors
    /// [`StoreError::Disk`]; the store keeps all values.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        self.rewrite(self.generation + 1)
    }

    fn rewrite(&mut self, generation: u64) -> Result<(), StoreError> {
        self.disk.remove(NEXT_LOG_FILE)?;
        let file_bytes = self.write_next_log(generation)?;
        self.disk.sync(NEXT_LOG_FILE)?;
        self.disk.rename(NEXT_LOG_FILE, LOG_FILE)?;
        // Both files hold the same values, so after a power loss either of them may be the log file. No
        // commit to the new file succeeds before its new name is durable.
        self.generation = generation;
        self.end = file_bytes;
        self.tail_uncertain = false;
        self.name_unsynced = true;
        self.unsynced_record = None;
        self.repair()
    }

    /// Writes all current values to [`NEXT_LOG_FILE`] and returns the length of the file.
    fn write_next_log(&mut self, generation: u64) -> Result<u64, StoreError> {
        let mut chunk = encode_header(generation);
        let mut chunk_offset = 0u64;
        let mut body = Vec::new();
        let mut values = self.index.iter().peekable();
        while let Some((key, value)) = values.next() {
            encode_change(&mut body, key, Some(value));
            if body.len() >= COMPACTION_CHUNK_BYTES || values.peek().is_none() {
                let offset = chunk_offset + chunk.len() as u64;
                encode_record(&mut chunk, generation, offset, &body);
                body.clear();
            }
            if chunk.len() >= COMPACTION_CHUNK_BYTES {
                self.disk.write(NEXT_LOG_FILE, chunk_offset, &chunk)?;
                chunk_offset += chunk.len() as u64;
                chunk.clear();
            }
        }
        self.disk.write(NEXT_LOG_FILE, chunk_offset, &chunk)?;
        Ok(chunk_offset + chunk.len() as u64)
    }

    /// Returns the disk, for tests that simulate a power loss.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Encodes a batch as the body of a record.
fn encode_batch(batch: &[Change]) -> Result<Vec<u8>, StoreError> {
    let mut body = Vec::new();
    for change in batch {
        if !change.is_within_bounds() {
            return Err(StoreError::EntryTooLarge);
        }
        encode_change(&mut body, &change.key, change.value.as_ref());
    }
    if body.len() > MAX_RECORD_BYTES {
        return Err(StoreError::BatchTooLarge { bytes: body.len(), max: MAX_RECORD_BYTES });
    }
    Ok(body)
}
