//! The store: opening and recovery, committing batches, compaction.
use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{
    decode_log, encode_change, encode_header, encode_record, encoded_length, Change, Key, LogContents,
    LogSummary, RawRecord, Value, FRAME_BYTES, HEADER_BYTES, MAX_RECORD_BYTES,
};
use std::collections::BTreeMap;

/// The name of the log file.
pub const LOG_FILE: &str = "log";
/// The name of the file that a compaction writes and then renames to [`LOG_FILE`].
pub const NEXT_LOG_FILE: &str = "log.next";

/// The log is compacted once it is twice as long as what it holds and longer than this, in bytes.
const COMPACTION_MIN_BYTES: u64 = 64 << 10;
/// The least capacity of a store, in bytes.
const MIN_CAPACITY: u64 = 4 * COMPACTION_MIN_BYTES;
/// A compaction writes records and chunks of about this many bytes.
const COMPACTION_CHUNK_BYTES: usize = 64 << 10;

/// The sizes of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSize {
    /// Bytes of the log file.
    pub file_bytes: u64,
    /// Bytes that the held values would take, one record each.
    pub live_bytes: u64,
}

/// Values by key, held in memory and in a log file.
pub struct Store<D> {
    disk: D,
    index: BTreeMap<Key, Value>,
    generation: u64,
    /// The offset of the next record; all before it is complete.
    end: u64,
    live_bytes: u64,
    /// Bytes that the file may have.
    capacity: u64,
    /// A write failed, so it is unknown what stands behind `end`: it is cut off before the next write.
    tail_uncertain: bool,
    /// The file's name may not be durable yet: nothing is promised before the directory was synced.
    name_unsynced: bool,
    /// The last record of an earlier process, until it was written and synced once more.
    unsynced_record: Option<RawRecord>,
    summary: LogSummary,
}

impl<D: Disk> Store<D> {
    /// Opens a store, or creates an empty one. An incomplete record at the end of the file is cut off.
    ///
    /// `capacity` is the bytes that the file may have, 256 KiB at least.
    ///
    /// # Errors
    /// [`StoreError::NotAStore`] and [`StoreError::Format`], where the file is left as it is;
    /// [`StoreError::Disk`].
    pub fn open(mut disk: D, capacity: u64) -> Result<Store<D>, StoreError> {
        let capacity = capacity.max(MIN_CAPACITY);
        // Left by a compaction that was not finished; the log still holds everything.
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
                // The header is durable before anything is promised, as in a compaction.
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
        // What the earlier process wrote last, and the file's name, may be in the system's memory alone. A
        // sync that succeeds now does not prove otherwise: after one that failed the system counts its pages
        // as written. So both are written anew before anything is promised.
        self.tail_uncertain = torn_bytes > 0;
        self.unsynced_record = log.last_record;
        // Where this fails, the next commit does it.
        _ = self.repair();
    }

    /// What recovery found in the file.
    pub fn summary(&self) -> LogSummary {
        self.summary
    }

    /// The value of a key.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.index.get(key)
    }

    /// All values, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.index.iter()
    }

    /// The sizes of the store.
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

    /// Writes a batch as one record and returns once it is durable.
    ///
    /// # Errors
    /// After any error the store holds what it held before, and the next commit begins by cutting off what
    /// the failed one may have left in the file.
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
            // The batch is durable; a compaction that fails leaves the log as it is.
            _ = self.compact();
        }
        Ok(())
    }

    /// Makes sure that a record fits into the capacity, by a compaction where it must.
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

    /// Makes the file's name and its last record durable, and cuts off what a failed write may have left: a
    /// record that was never promised must not reappear behind the next one.
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

    /// Writes all held values to a new file and renames it over the log.
    ///
    /// # Errors
    /// [`StoreError::Disk`]; all values are still there.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        self.rewrite(self.generation + 1)
    }

    fn rewrite(&mut self, generation: u64) -> Result<(), StoreError> {
        self.disk.remove(NEXT_LOG_FILE)?;
        let file_bytes = self.write_next_log(generation)?;
        self.disk.sync(NEXT_LOG_FILE)?;
        self.disk.rename(NEXT_LOG_FILE, LOG_FILE)?;
        // Both files hold the same values, so either name after a power loss is right. Nothing is promised on
        // the new file before its name is durable.
        self.generation = generation;
        self.end = file_bytes;
        self.tail_uncertain = false;
        self.name_unsynced = true;
        self.unsynced_record = None;
        self.repair()
    }

    /// Writes all held values to [`NEXT_LOG_FILE`]; the bytes written.
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

    /// The disk, for tests that simulate a power loss.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// A batch as the body of a record.
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
