//! The relay's state store: opened on a thread of its own, retried where that fails, and closed as another
//! process takes over. Nothing here makes the relay wait longer than its limits allow.
use hallrelay_recovery::record::VERSION;
use hallrelay_recovery::{Record, StoredState};
use hallrelay_store::writer::{Writer, WriterHealth};
use hallrelay_store::{Change, Directory, Key, Store, StoreError, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// The first pause after the store could not be opened: the process before this one releases its lock within
/// moments.
const MIN_OPEN_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause after the store could not be opened; the pause doubles up to it.
const MAX_OPEN_BACKOFF: Duration = Duration::from_secs(5);
/// Records that may wait for the store to be opened; a further one is dropped.
const MAX_EARLY_RECORDS: usize = 65_536;
/// How long the end of the process waits for the last write, which is longer than a slow sync takes.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(40);

/// Why the store could not be opened.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    #[error("{}: another process has it", .0.display())]
    Locked(PathBuf),
    #[error("{}: {source}", .path.display())]
    Directory { path: PathBuf, source: io::Error },
    #[error("{}: {source}", .path.display())]
    Store { path: PathBuf, source: StoreError },
    #[error(transparent)]
    Thread(#[from] io::Error),
}

/// The writer, or what it is to write once there is one.
enum WriterSlot {
    Opening(BTreeMap<Key, Option<Value>>),
    Open(Writer),
    Closed,
}

impl WriterSlot {
    fn close(&mut self) -> WriterSlot {
        std::mem::replace(self, WriterSlot::Closed)
    }
}

/// One opening of the store, shared with the thread that does it.
#[derive(Clone)]
struct Opening {
    slot: Arc<Mutex<WriterSlot>>,
    is_closed: Arc<AtomicBool>,
}

impl Opening {
    fn new() -> Opening {
        let slot = Arc::new(Mutex::new(WriterSlot::Opening(BTreeMap::new())));
        Opening { slot, is_closed: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, WriterSlot> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The store of a state directory. It may be opened and closed several times.
pub struct StateStore {
    path: PathBuf,
    /// Bytes that the log file may have.
    capacity: u64,
    current: Opening,
    health: watch::Sender<WriterHealth>,
}

/// The store of a directory and all that it holds.
fn open_store(path: &Path, capacity: u64) -> Result<(Store<Directory>, StoredState), OpenError> {
    let directory = Directory::open(path).map_err(|source| match source.kind() {
        io::ErrorKind::WouldBlock => OpenError::Locked(path.to_path_buf()),
        _ => OpenError::Directory { path: path.to_path_buf(), source },
    })?;
    let store = Store::open(directory, capacity)
        .map_err(|source| OpenError::Store { path: path.to_path_buf(), source })?;
    let mut stored = StoredState::default();
    for (key, value) in store.iter() {
        stored.add(key.kind, value.version, &key.name, &value.bytes);
    }
    Ok((store, stored))
}

impl StateStore {
    /// Of a directory and a capacity in bytes; not opened yet.
    pub fn new(path: &Path, capacity: u64) -> StateStore {
        let health = watch::channel(WriterHealth::default()).0;
        StateStore { path: path.to_path_buf(), capacity, current: Opening::new(), health }
    }

    /// Follows how the writing goes.
    pub fn watch_health(&self) -> watch::Receiver<WriterHealth> {
        self.health.subscribe()
    }

    /// Opens the store on a thread of its own, which retries until that succeeds or the store is closed. What
    /// the store held is sent once.
    pub fn open(&mut self) -> oneshot::Receiver<StoredState> {
        let (send_stored, stored) = oneshot::channel();
        self.current = Opening::new();
        let opening = self.current.clone();
        let health = self.health.clone();
        let path = self.path.clone();
        let capacity = self.capacity;
        let open = move || open_with_retries(&path, capacity, &opening, &health, send_stored);
        if let Err(e) = std::thread::Builder::new().name("store-open".to_string()).spawn(open) {
            self.health.send_modify(|health| health.last_error = Some(format!("no thread: {e}")));
        }
        stored
    }

    /// Closes the store, with what is queued written; does not wait for it.
    pub fn close(&mut self) {
        _ = self.begin_close();
    }

    /// Closes the store at the end of the process, and waits for the last write, but not for a disk that
    /// hangs.
    pub fn finish(&mut self) {
        _ = self.begin_close().recv_timeout(FINAL_WRITE_TIMEOUT);
    }

    /// Closes on a thread of its own, which sends on the receiver's channel as that is done.
    fn begin_close(&mut self) -> std::sync::mpsc::Receiver<()> {
        self.current.is_closed.store(true, Ordering::Relaxed);
        let writer = self.current.lock().close();
        let (send_done, done) = std::sync::mpsc::channel();
        let close = move || {
            drop(writer);
            _ = send_done.send(());
        };
        _ = std::thread::Builder::new().name("store-close".to_string()).spawn(close);
        done
    }

    /// Stores a record. Returns the ticket that `durable_ticket` reaches once it is durable; `None` where
    /// that is not to be waited for: the store is being opened, is closed, or rejected the record.
    pub fn persist(&self, record: Record) -> Option<u64> {
        let key = Key { kind: record.kind.number(), name: record.name.into_bytes() };
        let value = record.bytes.map(|bytes| Value { version: VERSION, bytes });
        match &mut *self.current.lock() {
            WriterSlot::Open(writer) => writer.submit(Change { key, value }),
            WriterSlot::Opening(early) => {
                if early.len() < MAX_EARLY_RECORDS || early.contains_key(&key) {
                    early.insert(key, value);
                }
                None
            }
            WriterSlot::Closed => None,
        }
    }

    /// All records up to this ticket are durable.
    pub fn durable_ticket(&self) -> u64 {
        self.health.borrow().durable_ticket
    }

    /// Whether nothing is to be waited for any more: the record of a ticket is durable, or the disk fails.
    pub fn is_settled(&self, ticket: u64) -> bool {
        let health = self.health.borrow();
        health.durable_ticket >= ticket || health.last_error.is_some()
    }
}

fn open_with_retries(
    path: &Path,
    capacity: u64,
    opening: &Opening,
    health: &watch::Sender<WriterHealth>,
    send_stored: oneshot::Sender<StoredState>,
) {
    let mut backoff = MIN_OPEN_BACKOFF;
    while !opening.is_closed.load(Ordering::Relaxed) {
        match start_writer(path, capacity, health) {
            Ok((writer, stored)) => {
                health.send_replace(writer.health());
                install_writer(writer, opening);
                _ = send_stored.send(stored);
                return;
            }
            Err(error) => health.send_modify(|health| {
                health.failures += 1;
                health.last_error = Some(error.to_string());
            }),
        }
        std::thread::sleep(backoff);
        backoff = (backoff * 2).min(MAX_OPEN_BACKOFF);
    }
}

fn start_writer(
    path: &Path,
    capacity: u64,
    health: &watch::Sender<WriterHealth>,
) -> Result<(Writer, StoredState), OpenError> {
    let (store, stored) = open_store(path, capacity)?;
    let health = health.clone();
    let writer = Writer::start(store, move |now| _ = health.send_replace(now.clone()))?;
    Ok((writer, stored))
}

/// Hands the writer what was to be written meanwhile, unless the store was closed.
fn install_writer(writer: Writer, opening: &Opening) {
    let mut slot = opening.lock();
    if let WriterSlot::Opening(early) = &mut *slot {
        for (key, value) in std::mem::take(early) {
            writer.submit(Change { key, value });
        }
        *slot = WriterSlot::Open(writer);
    }
}
