//! The control file of the fault injection library (`shim/faults.rs`): which system calls of one relay
//! process fail, changed while it runs.
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The library that relay processes load.
pub const LIBRARY: &str = env!("FAULTS_LIBRARY");

const SLOTS: u64 = 24;
const SLOT_BYTES: u64 = 8;

/// What can fail, in the order of the library's table. Chances are in a thousand calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    InterruptedIo = 0,
    ShortIo = 1,
    Connect = 2,
    Socket = 3,
    Accept = 4,
    BrokenBackend = 5,
    BrokenClient = 6,
    /// Seconds, not a chance.
    WallClock = 7,
    Sync = 8,
    FileWrite = 9,
    InterruptedWait = 10,
    Standstill = 11,
    /// Milliseconds that a sync takes, not a chance.
    SlowSync = 14,
    /// Planted, and never drawn: what is written to clients does not go out.
    Swallowed = 15,
    /// A port that can't be reached, not a chance.
    Unreachable = 16,
}

const CLIENT_PORT: u64 = 12;
const INJECTED: u64 = 13;

/// One process's faults.
pub struct Control {
    file: File,
    pub path: PathBuf,
}

impl Control {
    /// Nothing fails at first. `client_port`: where the process listens for clients.
    ///
    /// # Errors
    /// The file can't be made.
    pub fn new(path: &Path, client_port: u16) -> io::Result<Control> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(SLOTS * SLOT_BYTES)?;
        let control = Control { file, path: path.to_path_buf() };
        control.write(CLIENT_PORT, i64::from(client_port))?;
        Ok(control)
    }

    /// Sets how often a call fails, or by how much the clock is off.
    pub fn set(&self, fault: Fault, value: i64) {
        self.write(fault as u64, value).expect("the control file can be written");
    }

    /// How many calls failed so far.
    pub fn injected(&self) -> i64 {
        let mut bytes = [0; SLOT_BYTES as usize];
        self.file.read_exact_at(&mut bytes, INJECTED * SLOT_BYTES).expect("the control file can be read");
        i64::from_le_bytes(bytes)
    }

    fn write(&self, slot: u64, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_le_bytes(), slot * SLOT_BYTES)
    }
}
