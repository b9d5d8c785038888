//! The relay's state store. The store is opened on a separate thread, which retries after a failure, and
//! closed when another process takes over. The relay never waits for the store longer than the limits allow.
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

/// Delay after the first failure to open the store. Short, since the predecessor releases its lock soon after
/// the handover.
const MIN_OPEN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay after a failure to open the store; the delay doubles up to this value.
const MAX_OPEN_BACKOFF: Duration = Duration::from_secs(5);
/// Largest number of records that wait until the store is open. Further records are dropped.
const MAX_EARLY_RECORDS: usize = 65_536;
/// How long a process that ends waits for the last write. Longer than a slow sync of the disk takes.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(40);

/// Why the store could not be opened.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    #[error("open state directory {}: another process holds its lock", .0.display())]
    Locked(PathBuf),
    #[error("open state directory {}: {source}", .path.display())]
    Directory { path: PathBuf, source: io::Error },
    #[error("read the store in {}: {source}", .path.display())]
    Store { path: PathBuf, source: StoreError },
    #[error("start the thread that writes the store: {0}")]
    Thread(#[from] io::Error),
}

/// The writer, or the records that it will write once the store is open.
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

/// One opening of the store, shared with the thread that opens it.
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
    /// Largest size of the log file, in bytes.
    capacity: u64,
    current: Opening,
    health: watch::Sender<WriterHealth>,
}

/// Opens the store of a directory and reads its complete content.
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
    /// Creates a closed store for a directory, with a capacity in bytes.
    pub fn new(path: &Path, capacity: u64) -> StateStore {
        let health = watch::channel(WriterHealth::default()).0;
        StateStore { path: path.to_path_buf(), capacity, current: Opening::new(), health }
    }

    /// Returns a channel that follows the health of the writer.
    pub fn watch_health(&self) -> watch::Receiver<WriterHealth> {
        self.health.subscribe()
    }

    /// Opens the store on a separate thread, which retries until the store is open or is closed again. The
    /// returned channel gets the content of the store once.
    pub fn open(&mut self) -> oneshot::Receiver<StoredState> {
        let (send_stored, stored) = oneshot::channel();
        self.current = Opening::new();
        let opening = self.current.clone();
        let health = self.health.clone();
        let path = self.path.clone();
        let capacity = self.capacity;
        let open = move || open_with_retries(&path, capacity, &opening, &health, send_stored);
        if let Err(e) = std::thread::Builder::new().name("store-open".to_string()).spawn(open) {
            self.health.send_modify(|health| {
                health.last_error = Some(format!("start the thread that opens the store: {e}"))
            });
        }
        stored
    }

    /// Closes the store. The queued records are written first, but this call does not wait for that.
    pub fn close(&mut self) {
        _ = self.begin_close();
    }

    /// Closes the store at the end of the process. Waits for the last write, but not for a disk that does not
    /// respond.
    pub fn finish(&mut self) {
        _ = self.begin_close().recv_timeout(FINAL_WRITE_TIMEOUT);
    }

    /// Closes the store on a separate thread. The returned receiver gets a message when the store is closed.
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

    /// Stores a record. Returns the ticket that `durable_ticket` reaches once the record is durable. Returns
    /// `None` if there is nothing to wait for: the store is being opened, is closed, or rejected the record.
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

    /// Returns the ticket up to which all records are durable. Tickets number the records in the order in
    /// which they were passed to the writer.
    pub fn durable_ticket(&self) -> u64 {
        self.health.borrow().durable_ticket
    }

    /// Returns whether waiting for a ticket is over: its record is durable, or the store reports an error.
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

/// Passes the records that waited for the store to its writer, unless the store was closed meanwhile.
fn install_writer(writer: Writer, opening: &Opening) {
    let mut slot = opening.lock();
    if let WriterSlot::Opening(early) = &mut *slot {
        for (key, value) in std::mem::take(early) {
            writer.submit(Change { key, value });
        }
        *slot = WriterSlot::Open(writer);
    }
}
