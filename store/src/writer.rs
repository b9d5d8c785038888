//! Writes on a thread of its own: who puts a value goes on at once. Of one key only the latest value waits; a
//! disk that fails is tried again, and what came meanwhile is written together.
use crate::disk::Disk;
use crate::log::{Fault, Key, Store, Value, NAME, VALUE};
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Keys that wait at most; one more is not taken.
const WAITING: usize = 65_536;
/// After a failure, and with each further one in a row twice as long, up to the most.
const AGAIN: Duration = Duration::from_millis(200);
const AGAIN_MOST: Duration = Duration::from_secs(5);

/// How the writing goes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// All that was put up to this number is durable.
    pub durable: u64,
    /// Why the last write failed; none where it did not.
    pub failing: Option<String>,
    /// Batches written, writes that failed, values that were not taken.
    pub batches: u64,
    pub failures: u64,
    pub refused: u64,
    /// Bytes of the file.
    pub bytes: u64,
}

#[derive(Default)]
struct Shared {
    waiting: BTreeMap<Key, Option<Value>>,
    /// Counted up with each value put.
    last: u64,
    stop: bool,
    health: Health,
}

pub struct Writer {
    shared: Arc<(Mutex<Shared>, Condvar)>,
    thread: Option<JoinHandle<()>>,
}

fn lock(of: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    // Nobody panics while holding it; if somebody did, what is in it is whole.
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Writer {
    /// `told` is called after each write, durable or failed, on the writer's thread.
    pub fn start<D, F>(store: Store<D>, told: F) -> std::io::Result<Writer>
    where
        D: Disk + Send + 'static,
        F: FnMut(&Health) + Send + 'static,
    {
        let shared = Arc::new((Mutex::new(Shared::default()), Condvar::new()));
        let own = shared.clone();
        let thread = std::thread::Builder::new().name("store".to_string());
        let thread = thread.spawn(move || write(store, &own, told))?;
        Ok(Writer { shared, thread: Some(thread) })
    }

    /// Puts a value, or takes it away; the number that `durable` reaches once it is written, or none where it
    /// is over its bound or too many keys wait.
    pub fn put(&self, key: Key, value: Option<Value>) -> Option<u64> {
        let (shared, wake) = &*self.shared;
        let mut s = lock(shared);
        // One that could never be written would keep all others waiting.
        let long = key.name.len() > NAME || value.as_ref().is_some_and(|v| v.bytes.len() > VALUE);
        if long || (s.waiting.len() >= WAITING && !s.waiting.contains_key(&key)) {
            s.health.refused += 1;
            return None;
        }
        s.waiting.insert(key, value);
        s.last += 1;
        wake.notify_one();
        Some(s.last)
    }

    pub fn health(&self) -> Health {
        lock(&self.shared.0).health.clone()
    }
}

impl Drop for Writer {
    /// What waits is tried once more.
    fn drop(&mut self) {
        lock(&self.shared.0).stop = true;
        self.shared.1.notify_one();
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

fn write<D: Disk>(mut store: Store<D>, shared: &(Mutex<Shared>, Condvar), mut told: impl FnMut(&Health)) {
    let (shared, wake) = shared;
    let mut pause = Duration::ZERO;
    loop {
        let (batch, upto, stop) = {
            let mut s = lock(shared);
            while s.waiting.is_empty() && !s.stop {
                s = wake.wait(s).unwrap_or_else(PoisonError::into_inner);
            }
            if pause > Duration::ZERO && !s.stop {
                s = wake.wait_timeout_while(s, pause, |s| !s.stop).unwrap_or_else(PoisonError::into_inner).0;
            }
            (std::mem::take(&mut s.waiting), s.last, s.stop)
        };
        if batch.is_empty() {
            return;
        }
        let result = parts(&mut store, &batch);
        let health = {
            let mut s = lock(shared);
            s.health.bytes = store.size().0;
            match &result {
                Ok(()) => {
                    s.health.batches += 1;
                    (s.health.durable, s.health.failing, pause) = (upto, None, Duration::ZERO);
                }
                Err(fault) => {
                    s.health.failures += 1;
                    s.health.failing = Some(fault.to_string());
                    pause = (pause * 2).clamp(AGAIN, AGAIN_MOST);
                    // What came meanwhile is newer.
                    for (key, value) in batch {
                        s.waiting.entry(key).or_insert(value);
                    }
                }
            }
            s.health.clone()
        };
        told(&health);
        if stop {
            return;
        }
    }
}

/// A batch in as many records as its size wants.
fn parts<D: Disk>(store: &mut Store<D>, batch: &BTreeMap<Key, Option<Value>>) -> Result<(), Fault> {
    // Well under what one record may be, with the largest value on top.
    const PART: usize = 1 << 20;
    let (mut part, mut size) = (Vec::new(), 0);
    for (key, value) in batch {
        size += key.name.len() + value.as_ref().map_or(0, |v| v.bytes.len());
        part.push((key.clone(), value.clone()));
        if size >= PART {
            store.commit(std::mem::take(&mut part))?;
            size = 0;
        }
    }
    store.commit(part)
}
