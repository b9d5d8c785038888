//! A disk that goes wrong, for tests: writes that are cut short, pages that were never synced and are lost in
//! any subset, torn sectors, no space, errors, and a cut of power at any step. In memory, by a seed.
use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;

/// What is lost or kept by itself; a cut may tear one.
const SECTOR: usize = 512;

enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Default)]
struct File {
    /// As a cut would leave it at the least, and as it reads now.
    durable: Vec<u8>,
    now: Vec<u8>,
    unsynced: Vec<Change>,
}

enum Naming {
    Make(String, usize),
    Rename(String, String),
    Remove(String),
}

/// How often what goes wrong, of a thousand steps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Odds {
    pub short_write: u32,
    pub no_space: u32,
    pub sync_fails: u32,
    pub other: u32,
}

pub struct Faulty {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    namings: Vec<Naming>,
    rng: chance::Rand,
    pub odds: Odds,
    /// Steps till the power is cut; none for never.
    pub cut_after: Option<u64>,
    /// Steps done so far.
    pub steps: u64,
}

/// Chance without a dependency of the package itself: xorshift (Marsaglia 2003) is enough to choose faults.
mod chance {
    pub struct Rand(u64);

    impl Rand {
        pub fn new(seed: u64) -> Rand {
            Rand(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
        }
        pub fn below(&mut self, end: u64) -> u64 {
            self.0 ^= self.0 << 13;
            self.0 ^= self.0 >> 7;
            self.0 ^= self.0 << 17;
            (self.0 >> 11) % end.max(1)
        }
    }
}

fn put(bytes: &mut Vec<u8>, at: u64, part: &[u8]) {
    let end = at as usize + part.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[at as usize..end].copy_from_slice(part);
}

fn error(what: &str) -> io::Error {
    io::Error::other(what.to_string())
}

impl Faulty {
    pub fn new(seed: u64) -> Faulty {
        Faulty {
            files: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            namings: Vec::new(),
            rng: chance::Rand::new(seed),
            odds: Odds::default(),
            cut_after: None,
            steps: 0,
        }
    }

    /// The disk as it is found after the power was cut: what was synced, and of the rest whatever chance
    /// left.
    pub fn cut(mut self) -> Faulty {
        let rng = &mut self.rng;
        for file in &mut self.files {
            let mut bytes = std::mem::take(&mut file.durable);
            let mut changes = std::mem::take(&mut file.unsynced);
            // In any order: a disk writes back as it likes.
            for i in (1..changes.len()).rev() {
                changes.swap(i, rng.below(i as u64 + 1) as usize);
            }
            for change in changes {
                match change {
                    Change::Length(len) if rng.below(2) == 0 => bytes.resize(len as usize, 0),
                    Change::Length(_) => {}
                    Change::Write(at, part) => {
                        let mut from = 0;
                        while from < part.len() {
                            let place = at + from as u64;
                            let room = SECTOR - (place as usize % SECTOR);
                            let sector = &part[from..(from + room).min(part.len())];
                            match rng.below(4) {
                                0 => {}
                                1 => {
                                    let torn = rng.below(sector.len() as u64 + 1) as usize;
                                    put(&mut bytes, place, &sector[..torn]);
                                }
                                _ => put(&mut bytes, place, sector),
                            }
                            from += sector.len();
                        }
                    }
                }
            }
            (file.durable, file.now) = (bytes.clone(), bytes);
        }
        let kept = rng.below(self.namings.len() as u64 + 1) as usize;
        let mut names = self.durable_names;
        self.namings.drain(..).take(kept).for_each(|naming| rename(&mut names, naming));
        (self.names, self.durable_names) = (names.clone(), names);
        (self.cut_after, self.odds) = (None, Odds::default());
        self
    }

    /// The bytes of a file, for tests that damage them.
    pub fn bytes(&mut self, name: &str) -> Option<&mut Vec<u8>> {
        let file = self.names.get(name).and_then(|id| self.files.get_mut(*id))?;
        file.unsynced.clear();
        file.now.clone_from(&file.durable);
        Some(&mut file.now)
    }

    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        match &mut self.cut_after {
            Some(0) => return Err(error("the power is cut")),
            Some(left) => *left -= 1,
            None => {}
        }
        if self.rng.below(1000) < self.odds.other.into() {
            return Err(error("the disk does not answer"));
        }
        Ok(())
    }

    fn file(&mut self, name: &str) -> &mut File {
        let id = match self.names.get(name) {
            Some(id) => *id,
            None => {
                let id = self.files.len();
                self.files.push(File::default());
                self.names.insert(name.to_string(), id);
                self.namings.push(Naming::Make(name.to_string(), id));
                id
            }
        };
        &mut self.files[id]
    }
}

fn rename(names: &mut BTreeMap<String, usize>, naming: Naming) {
    match naming {
        Naming::Make(name, id) => _ = names.insert(name, id),
        Naming::Remove(name) => _ = names.remove(&name),
        Naming::Rename(from, to) => {
            if let Some(id) = names.remove(&from) {
                names.insert(to, id);
            }
        }
    }
}

impl Disk for Faulty {
    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        self.step()?;
        let file = self.names.get(name).map(|id| &self.files[*id].now);
        Ok(file.map(|bytes| bytes[..bytes.len().min(most as usize)].to_vec()))
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let short = self.rng.below(1000) < self.odds.short_write.into();
        let full = self.rng.below(1000) < self.odds.no_space.into();
        let part = if short || full { self.rng.below(bytes.len() as u64 + 1) as usize } else { bytes.len() };
        let file = self.file(name);
        put(&mut file.now, at, &bytes[..part]);
        file.unsynced.push(Change::Write(at, bytes[..part].to_vec()));
        match (short, full) {
            (_, true) => Err(io::ErrorKind::StorageFull.into()),
            (true, _) => Err(io::ErrorKind::WriteZero.into()),
            _ => Ok(()),
        }
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.step()?;
        let file = self.file(name);
        file.now.resize(len as usize, 0);
        file.unsynced.push(Change::Length(len));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let fails = self.rng.below(1000) < self.odds.sync_fails.into();
        let file = self.file(name);
        if fails {
            // What was to be written back is forgotten: it reads as written till the cut, and is not there
            // then.
            file.unsynced.clear();
            return Err(error("a sync failed"));
        }
        for change in std::mem::take(&mut file.unsynced) {
            match change {
                Change::Write(at, part) => put(&mut file.durable, at, &part),
                Change::Length(len) => file.durable.resize(len as usize, 0),
            }
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        if !self.names.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let naming = || Naming::Rename(from.to_string(), to.to_string());
        rename(&mut self.names, naming());
        self.namings.push(naming());
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        if self.names.remove(name).is_some() {
            self.namings.push(Naming::Remove(name.to_string()));
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.step()?;
        if self.rng.below(1000) < self.odds.sync_fails.into() {
            return Err(error("a folder's sync failed"));
        }
        self.namings.clear();
        self.durable_names = self.names.clone();
        Ok(())
    }
}
