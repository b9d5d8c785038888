//! The control file of the fault injection library (`shim/faults.rs`). The file selects the system calls of
//! a relay process that fail, and can be changed while the process runs. It is an array of 64-bit integers,
//! whose elements are called slots.
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The path of the library that relay processes load.
pub const LIBRARY: &str = env!("FAULTS_LIBRARY");

/// Number of slots in the file. It must be that of `shim/faults.rs`, as must the numbers of the slots.
const SLOTS: u64 = 24;
const SLOT_BYTES: u64 = 8;

/// System call faults by their slots in the control file. Values are failures per thousand calls unless the
/// variant documents another unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SystemFault {
    /// Reads and writes of sockets are interrupted (EINTR).
    InterruptedIo = 0,
    /// Reads and writes of sockets transfer only one byte.
    ShortIo = 1,
    /// `connect` fails.
    Connect = 2,
    /// `socket` fails.
    Socket = 3,
    /// `accept4` fails.
    Accept = 4,
    /// Reads from a backend report a broken connection.
    BrokenBackend = 5,
    /// Reads from a client report a broken connection.
    BrokenClient = 6,
    /// The wall clock is shifted by the value, in seconds.
    WallClock = 7,
    /// Syncs of files fail.
    Sync = 8,
    /// Writes of files fail.
    FileWrite = 9,
    /// Waits for events are interrupted.
    InterruptedWait = 10,
    /// The calling thread sleeps for 0.15 s before a write.
    StalledWrite = 11,
    /// Each sync is delayed by the value, in milliseconds.
    SlowSync = 14,
    /// Writes to clients report success, but their bytes are lost. Schedules never draw this fault; a test
    /// uses it to prove that the oracle detects lost answers.
    LostWrite = 15,
    /// The value is a port that `connect` cannot reach.
    Unreachable = 16,
}

/// Slot that holds the port at which the process listens for clients.
const CLIENT_PORT: u64 = 12;
/// Slot in which the library counts the calls that failed by injection.
const INJECTED: u64 = 13;

/// The control file of one process.
pub struct FaultControl {
    file: File,
    /// The path of the file.
    pub path: PathBuf,
}

impl FaultControl {
    /// Creates the file with all faults off, for a process that listens for clients at `client_port`.
    ///
    /// # Errors
    /// The file cannot be created or written.
    pub fn new(path: &Path, client_port: u16) -> io::Result<FaultControl> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(SLOTS * SLOT_BYTES)?;
        let control = FaultControl { file, path: path.to_path_buf() };
        control.write(CLIENT_PORT, i64::from(client_port))?;
        Ok(control)
    }

    /// Sets the value of a fault. 0 ends the fault.
    pub fn set(&self, fault: SystemFault, value: i64) {
        self.write(fault as u64, value).expect("write the fault control file");
    }

    /// Returns the number of calls that have failed by injection.
    pub fn injected(&self) -> i64 {
        let mut bytes = [0; SLOT_BYTES as usize];
        self.file.read_exact_at(&mut bytes, INJECTED * SLOT_BYTES).expect("read the fault control file");
        i64::from_le_bytes(bytes)
    }

    fn write(&self, slot: u64, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_le_bytes(), slot * SLOT_BYTES)
    }
}
