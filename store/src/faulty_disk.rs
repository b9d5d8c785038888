//! A simulated in-memory disk for tests. Its faults are random but repeatable for a seed: incomplete writes,
//! failed syncs, lack of space, and a power loss at any operation, which loses or tears any subset of the
//! sectors that were not synced.
use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;

/// Unit in which a power loss keeps, loses or tears written bytes.
const SECTOR_BYTES: usize = 512;

/// Frequency of each fault, per thousand operations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultRates {
    /// A write fails after storing a part of its bytes.
    pub short_write: u32,
    /// A write fails for lack of space after storing a part of its bytes.
    pub no_space: u32,
    /// A sync fails and discards the changes that it should have made durable.
    pub sync_failure: u32,
    /// Any operation fails without an effect.
    pub other: u32,
}

/// A change of a file's contents that is not durable yet.
enum UnsyncedChange {
    Write(UnsyncedWrite),
    Length(u64),
}

struct UnsyncedWrite {
    offset: u64,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct File {
    /// Contents that a power loss is certain to keep.
    durable: Vec<u8>,
    /// Contents that a read returns.
    current: Vec<u8>,
    unsynced: Vec<UnsyncedChange>,
}

/// A change of file names that is not durable yet. Files are identified by their index.
enum NameChange {
    Create { name: String, file: usize },
    Rename { from: String, to: String },
    Remove { name: String },
}

type Names = BTreeMap<String, usize>;

impl NameChange {
    fn apply(self, names: &mut Names) {
        match self {
            NameChange::Create { name, file } => _ = names.insert(name, file),
            NameChange::Remove { name } => _ = names.remove(&name),
            NameChange::Rename { from, to } => {
                if let Some(file) = names.remove(&from) {
                    names.insert(to, file);
                }
            }
        }
    }
}

/// The simulated disk.
pub struct FaultyDisk {
    files: Vec<File>,
    names: Names,
    durable_names: Names,
    unsynced_names: Vec<NameChange>,
    random: Random,
    /// Frequency of the faults; initially zero.
    pub rates: FaultRates,
    /// Number of operations until the power loss; `None` for no power loss.
    pub power_loss_after: Option<u64>,
    operations: u64,
}

/// Xorshift (Marsaglia 2003), which saves the package a dependency on a random number generator.
struct Random(u64);

impl Random {
    fn new(seed: u64) -> Random {
        // A state of 0 would yield only zeros.
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % end.max(1)
    }

    /// Returns true with a probability of `rate` per thousand.
    fn occurs(&mut self, rate: u32) -> bool {
        self.below(1000) < rate.into()
    }
}

fn write_at(bytes: &mut Vec<u8>, offset: u64, part: &[u8]) {
    let start = offset as usize;
    let end = start + part.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[start..end].copy_from_slice(part);
}

/// Writes each sector of a write completely, partially or not at all, at random.
fn write_some_sectors(bytes: &mut Vec<u8>, write: &UnsyncedWrite, random: &mut Random) {
    let mut written = 0;
    while written < write.bytes.len() {
        let offset = write.offset + written as u64;
        let rest_of_sector = SECTOR_BYTES - (offset as usize % SECTOR_BYTES);
        let end = (written + rest_of_sector).min(write.bytes.len());
        let sector = &write.bytes[written..end];
        match random.below(4) {
            0 => {}
            1 => {
                let torn = random.below(sector.len() as u64 + 1) as usize;
                write_at(bytes, offset, &sector[..torn]);
            }
            _ => write_at(bytes, offset, sector),
        }
        written = end;
    }
}

impl File {
    /// Applies a random subset of the unsynced changes in random order, since disks may write back in any
    /// order.
    fn lose_power(&mut self, random: &mut Random) {
        let mut bytes = std::mem::take(&mut self.durable);
        let mut changes = std::mem::take(&mut self.unsynced);
        for i in (1..changes.len()).rev() {
            changes.swap(i, random.below(i as u64 + 1) as usize);
        }
        for change in changes {
            match change {
                UnsyncedChange::Length(length) => {
                    if random.below(2) == 0 {
                        bytes.resize(length as usize, 0);
                    }
                }
                UnsyncedChange::Write(write) => write_some_sectors(&mut bytes, &write, random),
            }
        }
        self.durable.clone_from(&bytes);
        self.current = bytes;
    }
}

impl FaultyDisk {
    /// Creates an empty disk without faults.
    pub fn new(seed: u64) -> FaultyDisk {
        FaultyDisk {
            files: Vec::new(),
            names: Names::new(),
            durable_names: Names::new(),
            unsynced_names: Vec::new(),
            random: Random::new(seed),
            rates: FaultRates::default(),
            power_loss_after: None,
            operations: 0,
        }
    }

    /// The disk after a power loss, without further faults. It holds everything that was synced and a random
    /// part of the rest.
    pub fn after_power_loss(mut self) -> FaultyDisk {
        for file in &mut self.files {
            file.lose_power(&mut self.random);
        }
        let kept = self.random.below(self.unsynced_names.len() as u64 + 1) as usize;
        let mut names = self.durable_names;
        for change in self.unsynced_names.drain(..).take(kept) {
            change.apply(&mut names);
        }
        self.names = names.clone();
        self.durable_names = names;
        self.power_loss_after = None;
        self.rates = FaultRates::default();
        self
    }

    /// The durable contents of a file, for tests that damage them; `None` if the file does not exist. The
    /// unsynced changes of the file are discarded.
    pub fn bytes(&mut self, name: &str) -> Option<&mut Vec<u8>> {
        let file = self.names.get(name).and_then(|file| self.files.get_mut(*file))?;
        file.unsynced.clear();
        file.current.clone_from(&file.durable);
        Some(&mut file.current)
    }

    /// Number of operations so far, including failed ones.
    pub fn operations(&self) -> u64 {
        self.operations
    }

    /// Counts an operation and makes it fail if a fault occurs.
    fn begin_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match &mut self.power_loss_after {
            Some(0) => return Err(io::Error::other("simulated power loss")),
            Some(remaining) => *remaining -= 1,
            None => {}
        }
        if self.random.occurs(self.rates.other) {
            return Err(io::Error::other("simulated disk failure"));
        }
        Ok(())
    }

    fn file(&mut self, name: &str) -> &mut File {
        let file = match self.names.get(name) {
            Some(file) => *file,
            None => {
                let file = self.files.len();
                self.files.push(File::default());
                self.names.insert(name.to_string(), file);
                self.unsynced_names.push(NameChange::Create { name: name.to_string(), file });
                file
            }
        };
        &mut self.files[file]
    }
}

impl Disk for FaultyDisk {
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        self.begin_operation()?;
        let bytes = self.names.get(name).map(|file| &self.files[*file].current);
        Ok(bytes.map(|bytes| bytes[..bytes.len().min(max_bytes as usize)].to_vec()))
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.begin_operation()?;
        let is_short = self.random.occurs(self.rates.short_write);
        let is_full = self.random.occurs(self.rates.no_space);
        let written = match is_short || is_full {
            true => self.random.below(bytes.len() as u64 + 1) as usize,
            false => bytes.len(),
        };
        let part = &bytes[..written];
        let file = self.file(name);
        write_at(&mut file.current, offset, part);
        file.unsynced.push(UnsyncedChange::Write(UnsyncedWrite { offset, bytes: part.to_vec() }));
        if is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if is_short {
            return Err(io::ErrorKind::WriteZero.into());
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.begin_operation()?;
        let file = self.file(name);
        file.current.resize(length as usize, 0);
        file.unsynced.push(UnsyncedChange::Length(length));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        let fails = self.random.occurs(self.rates.sync_failure);
        let file = self.file(name);
        if fails {
            // Like an operating system, the disk discards the changes after the failed sync. Reads still
            // return them until the power loss, which removes them.
            file.unsynced.clear();
            return Err(io::Error::other("simulated failure of a file sync"));
        }
        for change in std::mem::take(&mut file.unsynced) {
            match change {
                UnsyncedChange::Write(write) => write_at(&mut file.durable, write.offset, &write.bytes),
                UnsyncedChange::Length(length) => file.durable.resize(length as usize, 0),
            }
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_operation()?;
        if !self.names.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let change = || NameChange::Rename { from: from.to_string(), to: to.to_string() };
        change().apply(&mut self.names);
        self.unsynced_names.push(change());
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        if self.names.remove(name).is_some() {
            self.unsynced_names.push(NameChange::Remove { name: name.to_string() });
        }
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.begin_operation()?;
        if self.random.occurs(self.rates.sync_failure) {
            return Err(io::Error::other("simulated failure of a directory sync"));
        }
        self.unsynced_names.clear();
        self.durable_names = self.names.clone();
        Ok(())
    }
}
