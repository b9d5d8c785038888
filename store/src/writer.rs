//! A thread that writes to a [`Store`], so that its callers never wait for the disk.
//!
//! Only the latest change of each key is queued. A failed write is retried after a backoff, together with the
//! changes queued in the meantime.
use crate::disk::Disk;
use crate::error::StoreError;
use crate::format::{Change, Key, Value};
use crate::log::Store;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Largest number of queued keys. Changes of further keys are rejected.
const MAX_QUEUED_KEYS: usize = 65_536;
/// Delay after a failed write. It doubles with each further failure in a row.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest delay after a failed write.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Approximate size of the batches in which a queue is written, well below the largest size of a record.
const BATCH_BYTES: usize = 1 << 20;

/// State and counters of the writer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriterHealth {
    /// All changes up to this ticket are durable.
    pub durable_ticket: u64,
    /// Error of the last write; `None` if it succeeded.
    pub last_error: Option<String>,
    /// Number of successfully written queues.
    pub batches: u64,
    /// Number of failed writes.
    pub failures: u64,
    /// Number of rejected changes.
    pub rejected: u64,
    /// Length of the log file, in bytes.
    pub file_bytes: u64,
}

type Queue = BTreeMap<Key, Option<Value>>;

#[derive(Default)]
struct Shared {
    queue: Queue,
    /// Ticket of the latest queued change.
    last_ticket: u64,
    stopping: bool,
    health: WriterHealth,
}

#[derive(Default)]
struct Channel {
    shared: Mutex<Shared>,
    /// Notified when a change is queued and when the writer must stop.
    wake: Condvar,
}

impl Channel {
    fn lock(&self) -> MutexGuard<'_, Shared> {
        // No code panics while it holds the lock, so the lock is not poisoned and the data is consistent.
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of the writer thread. Dropping it writes the queue with a single attempt and then ends the thread.
pub struct Writer {
    channel: Arc<Channel>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. The thread calls `on_write` after each write, whether it succeeded or failed.
    ///
    /// # Errors
    /// The system could not create the thread.
    pub fn start<D, F>(store: Store<D>, on_write: F) -> io::Result<Writer>
    where
        D: Disk + Send + 'static,
        F: FnMut(&WriterHealth) + Send + 'static,
    {
        let channel = Arc::new(Channel::default());
        let thread_channel = channel.clone();
        let thread = std::thread::Builder::new()
            .name("store".to_string())
            .spawn(move || run(store, &thread_channel, on_write))?;
        Ok(Writer { channel, thread: Some(thread) })
    }

    /// Queues a change and returns its ticket. The change is durable once [`WriterHealth::durable_ticket`]
    /// reaches the ticket. Returns `None` if the change is too large or too many keys are queued.
    pub fn submit(&self, change: Change) -> Option<u64> {
        let mut shared = self.channel.lock();
        let is_full = shared.queue.len() >= MAX_QUEUED_KEYS && !shared.queue.contains_key(&change.key);
        // A change that can never be written would block all others.
        if !change.is_within_bounds() || is_full {
            shared.health.rejected += 1;
            return None;
        }
        shared.queue.insert(change.key, change.value);
        shared.last_ticket += 1;
        self.channel.wake.notify_one();
        Some(shared.last_ticket)
    }

    /// Current state and counters of the writer.
    pub fn health(&self) -> WriterHealth {
        self.channel.lock().health.clone()
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.channel.lock().stopping = true;
        self.channel.wake.notify_one();
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

/// The next queue to write.
struct Work {
    queue: Queue,
    /// Ticket of the latest change in the queue.
    ticket: u64,
    /// Whether this is the last write before the thread ends.
    is_last: bool,
}

fn run<D: Disk>(mut store: Store<D>, channel: &Channel, mut on_write: impl FnMut(&WriterHealth)) {
    let mut backoff = Duration::ZERO;
    loop {
        let work = next_work(channel, backoff);
        if work.queue.is_empty() {
            return;
        }
        let is_last = work.is_last;
        let result = write_queue(&mut store, &work.queue);
        backoff = match &result {
            Ok(()) => Duration::ZERO,
            Err(_) => (backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF),
        };
        on_write(&record_result(channel, work, result, store.size().file_bytes));
        if is_last {
            return;
        }
    }
}

/// Waits until a change is queued or the writer must stop, and after a failure also for the backoff.
fn next_work(channel: &Channel, backoff: Duration) -> Work {
    let mut shared = channel.lock();
    while shared.queue.is_empty() && !shared.stopping {
        shared = channel.wake.wait(shared).unwrap_or_else(PoisonError::into_inner);
    }
    if backoff > Duration::ZERO && !shared.stopping {
        let waited = channel.wake.wait_timeout_while(shared, backoff, |shared| !shared.stopping);
        shared = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    Work { queue: std::mem::take(&mut shared.queue), ticket: shared.last_ticket, is_last: shared.stopping }
}

/// Records the result of a write. After a failure the changes are queued again.
fn record_result(
    channel: &Channel,
    work: Work,
    result: Result<(), StoreError>,
    file_bytes: u64,
) -> WriterHealth {
    let mut shared = channel.lock();
    shared.health.file_bytes = file_bytes;
    match result {
        Ok(()) => {
            shared.health.batches += 1;
            shared.health.durable_ticket = work.ticket;
            shared.health.last_error = None;
        }
        Err(error) => {
            shared.health.failures += 1;
            shared.health.last_error = Some(error.to_string());
            // A change of the same key that was queued in the meantime is newer and stays.
            for (key, value) in work.queue {
                shared.queue.entry(key).or_insert(value);
            }
        }
    }
    shared.health.clone()
}

/// Writes a queue in batches of about [`BATCH_BYTES`].
fn write_queue<D: Disk>(store: &mut Store<D>, queue: &Queue) -> Result<(), StoreError> {
    let mut batch = Vec::new();
    let mut batch_bytes = 0;
    for (key, value) in queue {
        batch_bytes += key.name.len() + value.as_ref().map_or(0, |value| value.bytes.len());
        batch.push(Change { key: key.clone(), value: value.clone() });
        if batch_bytes >= BATCH_BYTES {
            store.commit(std::mem::take(&mut batch))?;
            batch_bytes = 0;
        }
    }
    store.commit(batch)
}
