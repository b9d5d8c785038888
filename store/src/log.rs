//! The log: its bytes, how it is recovered, written, and made short again.
use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;

/// What a value is of, and its name among those: kinds are the user's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub kind: u8,
    pub name: Vec<u8>,
}

/// A value and the version of its form, which is the user's to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    pub version: u8,
    pub bytes: Vec<u8>,
}

/// The file that holds, and the one that is to take its place.
pub const LOG: &str = "log";
pub const NEXT: &str = "log.next";

/// What a file begins with: the format's name, its version, and a number that rises with each compaction.
const MAGIC: &[u8; 7] = b"hallrel";
const FORMAT: u8 = 1;
const HEAD: usize = 7 + 1 + 8 + 4;
/// Length and checksum before each record.
const FRAME: usize = 8;
/// Bytes of a key's name, of a value, and of a record (a batch) at most.
pub const NAME: usize = 256;
pub const VALUE: usize = 1 << 20;
const RECORD: usize = 4 << 20;
/// The log is compacted where it is twice as long as what it holds, and longer than this.
const COMPACT: u64 = 64 << 10;

#[derive(Debug)]
pub enum Fault {
    /// The disk says no.
    Disk(io::Error),
    /// It is no file of this store's, or of a later format: it is left as it is.
    Format(String),
    /// A key or value over its bound, or more than the store may hold in all.
    TooLarge(String),
}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Fault {
        Fault::Disk(e)
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Fault::Disk(e) => write!(f, "the disk: {e}"),
            Fault::Format(what) | Fault::TooLarge(what) => f.write_str(what),
        }
    }
}

/// What recovery found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub records: u64,
    /// Bytes behind the last whole record, which are gone.
    pub torn: u64,
    pub generation: u64,
}

pub struct Store<D> {
    disk: D,
    index: BTreeMap<Key, Value>,
    generation: u64,
    /// Where the next record goes; all before it is whole.
    end: u64,
    /// Bytes that the values held would take in a log of their own.
    live: u64,
    /// Bytes that the file may have.
    most: u64,
    /// The end of the file is unknown since a write failed: it is cut there before the next one.
    doubtful: bool,
    /// A switch's new name may not outlive a cut: nothing is promised on that file till it does.
    nameless: bool,
    /// The last record of a process before this one, and its place, till it is written anew.
    unsynced: Option<(u64, Vec<u8>)>,
    pub found: Found,
}

fn entry_len(key: &Key, value: Option<&Value>) -> u64 {
    (1 + 1 + 2 + key.name.len() + 4 + value.map_or(0, |v| v.bytes.len())) as u64
}

/// A key and its value, or that it has none any more.
fn write_entry(out: &mut Vec<u8>, key: &Key, value: Option<&Value>) {
    out.push(key.kind);
    out.push(value.map_or(0, |v| v.version));
    out.extend_from_slice(&(key.name.len() as u16).to_le_bytes());
    out.extend_from_slice(&key.name);
    // No value is as long as this.
    let len = value.map_or(u32::MAX, |v| v.bytes.len() as u32);
    out.extend_from_slice(&len.to_le_bytes());
    out.extend_from_slice(value.map_or(&[], |v| &v.bytes));
}

type Entry = (Key, Option<Value>);

/// One entry from the front of some bytes.
fn read_entry(bytes: &mut &[u8]) -> Option<Entry> {
    let mut take = |n: usize| -> Option<&[u8]> {
        let (front, rest) = bytes.split_at_checked(n)?;
        *bytes = rest;
        Some(front)
    };
    let head = take(4)?;
    let (kind, version, len) = (head[0], head[1], u16::from_le_bytes([head[2], head[3]]));
    let name = take(len.into())?.to_vec();
    let len = u32::from_le_bytes(take(4)?.try_into().ok()?);
    let value = match len {
        u32::MAX => None,
        len => Some(Value { version, bytes: take(len as usize)?.to_vec() }),
    };
    Some((Key { kind, name }, value))
}

/// All entries of a record, or none of them.
fn read_batch(mut bytes: &[u8]) -> Option<Vec<Entry>> {
    let mut entries = Vec::new();
    while !bytes.is_empty() {
        entries.push(read_entry(&mut bytes)?);
    }
    Some(entries)
}

/// The checksum covers the length, and the place of the record, so that a record of an earlier life of the
/// file is none here.
fn sum(generation: u64, at: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&generation.to_le_bytes());
    hasher.update(&at.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn write_record(out: &mut Vec<u8>, generation: u64, at: u64, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&sum(generation, at, body).to_le_bytes());
    out.extend_from_slice(body);
}

fn head(generation: u64) -> Vec<u8> {
    let mut head = MAGIC.to_vec();
    head.push(FORMAT);
    head.extend_from_slice(&generation.to_le_bytes());
    let sum = crc32fast::hash(&head);
    head.extend_from_slice(&sum.to_le_bytes());
    head
}

/// What a file holds: its generation, its records one after the other, and where the last whole one ends.
struct Read {
    generation: u64,
    entries: Vec<Entry>,
    records: u64,
    end: u64,
    /// The last record, and where it stands.
    last: Option<(u64, Vec<u8>)>,
}

/// None where the head is not whole: the file never held anything that was promised.
fn read(bytes: &[u8]) -> Result<Option<Read>, Fault> {
    let Some((front, _)) = bytes.split_at_checked(HEAD) else { return Ok(None) };
    let sum_of = |b: &[u8]| u32::from_le_bytes([b[0], b[1], b[2], b[3]]);
    if crc32fast::hash(&front[..HEAD - 4]) != sum_of(&front[HEAD - 4..]) {
        return Ok(None);
    }
    if &front[..7] != MAGIC {
        return Err(Fault::Format("this is no store of hallrelay's".to_string()));
    }
    if front[7] != FORMAT {
        return Err(Fault::Format(format!("the store's format is {}, wanted {FORMAT}", front[7])));
    }
    let generation = u64::from_le_bytes(front[8..16].try_into().unwrap_or_default());
    let mut all = Read { generation, entries: Vec::new(), records: 0, end: HEAD as u64, last: None };
    let mut at = HEAD;
    while let Some(frame) = bytes.get(at..at + FRAME) {
        let len = sum_of(&frame[..4]) as usize;
        let Some(body) = bytes.get(at + FRAME..at + FRAME + len).filter(|_| len <= RECORD) else { break };
        if sum(generation, at as u64, body) != sum_of(&frame[4..]) {
            break;
        }
        let Some(entries) = read_batch(body) else { break };
        all.entries.extend(entries);
        all.last = Some((at as u64, bytes[at..at + FRAME + len].to_vec()));
        at += FRAME + len;
        (all.records, all.end) = (all.records + 1, at as u64);
    }
    Ok(Some(all))
}

impl<D: Disk> Store<D> {
    /// Opens a store of `most` bytes, or makes an empty one. A file that is no store is refused and stays as
    /// it is; what is torn at the end of one is cut off.
    pub fn open(mut disk: D, most: u64) -> Result<Store<D>, Fault> {
        let most = most.max(4 * COMPACT);
        // What was to take the log's place and did not: the log holds all of it. It is in nobody's way.
        _ = disk.remove(NEXT);
        let bytes = disk.read(LOG, most.saturating_mul(2))?;
        let len = bytes.as_ref().map_or(0, |b| b.len() as u64);
        let read = match &bytes {
            Some(bytes) => read(bytes)?,
            None => None,
        };
        drop(bytes);
        let mut store = Store {
            disk,
            index: BTreeMap::new(),
            generation: 0,
            end: 0,
            live: 0,
            most,
            doubtful: false,
            nameless: true,
            unsynced: None,
            found: Found::default(),
        };
        let Some(read) = read else {
            // The head is written before anything is promised, and switched to as in a compaction.
            store.found.torn = len;
            store.switch(1)?;
            store.found.generation = 1;
            return Ok(store);
        };
        (store.generation, store.end) = (read.generation, read.end);
        store.found = Found { records: read.records, torn: len - read.end, generation: read.generation };
        read.entries.into_iter().for_each(|(key, value)| store.hold(key, value));
        // What a process before this one wrote last, and the name under which it did, may be in the system's
        // memory alone, also where a sync succeeds by now: after one that failed the system holds its pages for
        // written. So both are written anew before anything is promised.
        (store.doubtful, store.unsynced) = (len > read.end, read.last);
        // Where that fails now, it is done before the next commit.
        _ = store.settle();
        Ok(store)
    }

    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.index.get(key)
    }

    /// All that is held, in the order of keys.
    pub fn all(&self) -> impl Iterator<Item = (&Key, &Value)> {
        self.index.iter()
    }

    /// Bytes of the file, and those that its values would take in a log of their own.
    pub fn size(&self) -> (u64, u64) {
        (self.end, self.live)
    }

    fn hold(&mut self, key: Key, value: Option<Value>) {
        let len = |v: &Value| FRAME as u64 + entry_len(&key, Some(v));
        self.live += value.as_ref().map_or(0, len);
        self.live -= self.index.get(&key).map_or(0, len);
        match value {
            Some(value) => _ = self.index.insert(key, value),
            None => _ = self.index.remove(&key),
        }
    }

    /// Writes a batch, whole or not at all, and returns once it is durable. After a fault the store holds
    /// what it held, and the next commit begins by cutting off what the failed one may have left.
    pub fn commit(&mut self, batch: Vec<Entry>) -> Result<(), Fault> {
        if batch.is_empty() {
            return Ok(());
        }
        let mut body = Vec::new();
        for (key, value) in &batch {
            let long = key.name.len() > NAME || value.as_ref().is_some_and(|v| v.bytes.len() > VALUE);
            if long {
                return Err(Fault::TooLarge("a key or value is over its bound".to_string()));
            }
            write_entry(&mut body, key, value.as_ref());
        }
        if body.len() > RECORD {
            return Err(Fault::TooLarge(format!("a batch of {} bytes, {RECORD} at most", body.len())));
        }
        let more = (FRAME + body.len()) as u64;
        if self.end + more > self.most {
            self.compact()?;
            if self.end + more > self.most {
                return Err(Fault::TooLarge(format!("the store would be over its {} bytes", self.most)));
            }
        }
        self.settle()?;
        let mut record = Vec::with_capacity(FRAME + body.len());
        write_record(&mut record, self.generation, self.end, &body);
        // Until it is synced nobody knows what of it is there.
        self.doubtful = true;
        self.disk.write(LOG, self.end, &record)?;
        self.disk.sync(LOG)?;
        self.doubtful = false;
        self.end += more;
        batch.into_iter().for_each(|(key, value)| self.hold(key, value));
        if self.end > COMPACT && self.end > 2 * (self.live + HEAD as u64) {
            // What is promised is there; a compaction that fails leaves the log as it is.
            _ = self.compact();
        }
        Ok(())
    }

    /// Cuts off what a failed write may have left: a record that nobody was promised may not come back behind
    /// the next one.
    fn settle(&mut self) -> Result<(), Fault> {
        if self.nameless {
            self.disk.sync_names()?;
            self.nameless = false;
        }
        if self.doubtful || self.unsynced.is_some() {
            self.disk.truncate(LOG, self.end)?;
            if let Some((at, record)) = &self.unsynced {
                self.disk.write(LOG, *at, record)?;
            }
            self.disk.sync(LOG)?;
            (self.doubtful, self.unsynced) = (false, None);
        }
        Ok(())
    }

    /// Writes all that is held into a log of its own, and switches to it in one step.
    pub fn compact(&mut self) -> Result<(), Fault> {
        self.switch(self.generation + 1)
    }

    fn switch(&mut self, generation: u64) -> Result<(), Fault> {
        // As large as is read at once; a record for some thousand values, so that its frame costs nothing.
        const PART: usize = 64 << 10;
        let (mut bytes, mut at, mut body) = (head(generation), 0u64, Vec::new());
        self.disk.remove(NEXT)?;
        let mut values = self.index.iter().peekable();
        while let Some((key, value)) = values.next() {
            write_entry(&mut body, key, Some(value));
            if body.len() >= PART || values.peek().is_none() {
                let place = at + bytes.len() as u64;
                write_record(&mut bytes, generation, place, &body);
                body.clear();
            }
            if bytes.len() >= PART {
                self.disk.write(NEXT, at, &bytes)?;
                at += bytes.len() as u64;
                bytes.clear();
            }
        }
        self.disk.write(NEXT, at, &bytes)?;
        at += bytes.len() as u64;
        self.disk.sync(NEXT)?;
        self.disk.rename(NEXT, LOG)?;
        // From here on the new log is the one that is written to, whichever name a cut now leaves: both hold
        // the same. Nothing is promised on it before its name is durable.
        (self.generation, self.end, self.doubtful, self.nameless) = (generation, at, false, true);
        self.unsynced = None;
        self.settle()
    }

    /// The disk back, for tests that cut it.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// What a file's bytes hold, for tools: the generation, whole records, their entries, and where they end.
pub fn inspect(bytes: &[u8]) -> Result<(Found, Vec<Entry>), Fault> {
    let Some(read) = read(bytes)? else {
        return Ok((Found { torn: bytes.len() as u64, ..Found::default() }, Vec::new()));
    };
    let torn = bytes.len() as u64 - read.end;
    Ok((Found { records: read.records, torn, generation: read.generation }, read.entries))
}
