//! The store's thread: opened beside the start, tried again where it fails, closed as another process takes
//! the place. Nothing here ever makes the relay wait longer than the limits say.
use hallrelay_recovery::fact::VERSION;
use hallrelay_recovery::{Kept, Stored};
use hallrelay_store::writer::{Health, Writer};
use hallrelay_store::{Folder, Key, Store, Value};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// The process before this one lets go of the lock within moments; a disk that fails is not asked often.
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_secs(5);

/// Facts that wait for the store to be opened at most; further new ones are not taken.
const EARLY: usize = 65_536;

/// The writer, or what is to be written once there is one.
enum Place {
    Opening(BTreeMap<Key, Option<Value>>),
    Open(Writer),
    Closed,
}

impl Place {
    fn close(&mut self) -> Place {
        std::mem::replace(self, Place::Closed)
    }
}

type Slot = Arc<Mutex<Place>>;

fn opening() -> Slot {
    Arc::new(Mutex::new(Place::Opening(BTreeMap::new())))
}

pub struct Keeper {
    path: PathBuf,
    most: u64,
    slot: Slot,
    closed: Arc<AtomicBool>,
    health: watch::Sender<Health>,
}

fn lock(slot: &Slot) -> MutexGuard<'_, Place> {
    slot.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A store of a folder, and what it holds.
fn open(path: &Path, most: u64) -> Result<(Store<Folder>, Stored), String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let folder = Folder::open(path).map_err(|e| match e.kind() {
        std::io::ErrorKind::WouldBlock => told(&"another process has it"),
        _ => told(&e),
    })?;
    let store = Store::open(folder, most).map_err(|e| told(&e))?;
    let mut stored = Stored::default();
    for (key, value) in store.all() {
        stored.take(key.kind, value.version, &key.name, &value.bytes);
    }
    Ok((store, stored))
}

impl Keeper {
    pub fn new(path: &Path, most: u64) -> Keeper {
        let (slot, closed) = (opening(), Arc::default());
        let health = watch::channel(Health::default()).0;
        Keeper { path: path.to_path_buf(), most, slot, closed, health }
    }

    pub fn watch(&self) -> watch::Receiver<Health> {
        self.health.subscribe()
    }

    /// Opens the store on a thread of its own; what it held comes once, if it is opened at all.
    pub fn open(&mut self) -> oneshot::Receiver<Stored> {
        let (tell, held) = oneshot::channel();
        self.closed = Arc::default();
        self.slot = opening();
        let (slot, closed, health) = (self.slot.clone(), self.closed.clone(), self.health.clone());
        let (path, most) = (self.path.clone(), self.most);
        let opens = move || {
            let mut pause = AGAIN;
            while !closed.load(Ordering::Relaxed) {
                let told = health.clone();
                let started = open(&path, most).and_then(|(store, stored)| {
                    let writer = Writer::start(store, move |now| _ = told.send_replace(now.clone()));
                    writer.map(|writer| (writer, stored)).map_err(|e| e.to_string())
                });
                match started {
                    Ok((writer, stored)) => {
                        health.send_replace(writer.health());
                        let mut slot = lock(&slot);
                        if let Place::Opening(early) = &mut *slot {
                            for (key, value) in std::mem::take(early) {
                                writer.put(key, value);
                            }
                            *slot = Place::Open(writer);
                        }
                        _ = tell.send(stored);
                        return;
                    }
                    Err(why) => {
                        health.send_modify(|now| {
                            now.failures += 1;
                            now.failing = Some(why);
                        });
                    }
                }
                std::thread::sleep(pause);
                pause = (pause * 2).min(AGAIN_MOST);
            }
        };
        if let Err(e) = std::thread::Builder::new().name("store-open".to_string()).spawn(opens) {
            self.health.send_modify(|now| now.failing = Some(format!("no thread: {e}")));
        }
        held
    }

    /// Lets go of the store, with what waits written; not waited for.
    pub fn close(&mut self) {
        _ = self.begin_close();
    }

    /// Writes at the end of the process, and waits for it no longer than a slow sync takes: a disk that
    /// stands still holds up no stop.
    pub fn finish(&mut self) {
        const WRITTEN: Duration = Duration::from_millis(40);
        _ = self.begin_close().recv_timeout(WRITTEN);
    }

    /// Closes on a thread of its own; the receiver hears as that is done.
    fn begin_close(&mut self) -> std::sync::mpsc::Receiver<()> {
        self.closed.store(true, Ordering::Relaxed);
        let writer = lock(&self.slot).close();
        let (tell, done) = std::sync::mpsc::channel();
        let closes = move || {
            drop(writer);
            _ = tell.send(());
        };
        _ = std::thread::Builder::new().name("store-close".to_string()).spawn(closes);
        done
    }

    /// Puts a fact; the number that `durable` reaches as it is written. None where that is not to be
    /// waited for: the store is being opened, or is another process's.
    pub fn put(&self, kept: Kept) -> Option<u64> {
        let key = Key { kind: kept.fact as u8, name: kept.name.into_bytes() };
        let value = kept.bytes.map(|bytes| Value { version: VERSION, bytes });
        match &mut *lock(&self.slot) {
            Place::Open(writer) => writer.put(key, value),
            Place::Opening(early) => {
                if early.len() < EARLY || early.contains_key(&key) {
                    early.insert(key, value);
                }
                None
            }
            Place::Closed => None,
        }
    }

    /// All that was put up to this number is written.
    pub fn durable(&self) -> u64 {
        self.health.borrow().durable
    }

    /// Whether what has a number is written, or can't be: a disk that fails is not waited for.
    pub fn settled(&self, ticket: u64) -> bool {
        let health = self.health.borrow();
        health.durable >= ticket || health.failing.is_some()
    }
}
