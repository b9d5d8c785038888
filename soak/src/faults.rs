//! The control file of the fault injection library (`shim/faults.rs`): which system calls of a relay process
//! fail. It can be changed while the process runs.
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The path of the library that relay processes load.
pub const LIBRARY: &str = env!("FAULTS_LIBRARY");

const SLOTS: u64 = 24;
const SLOT_BYTES: u64 = 8;

/// What can fail, by its slot in the control file. Values are probabilities in a thousand calls unless said
/// otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SystemFault {
    /// Reads and writes of sockets are interrupted.
    InterruptedIo = 0,
    /// Reads and writes of sockets transfer one byte.
    ShortIo = 1,
    /// `connect` fails.
    Connect = 2,
    /// `socket` fails.
    Socket = 3,
    /// `accept4` fails.
    Accept = 4,
    /// Reads find a connection to a backend broken.
    BrokenBackend = 5,
    /// Reads find a connection to a client broken.
    BrokenClient = 6,
    /// The wall clock is off by the value, in seconds.
    WallClock = 7,
    /// Syncs of files fail.
    Sync = 8,
    /// Writes of files fail.
    FileWrite = 9,
    /// Waits for events are interrupted.
    InterruptedWait = 10,
    /// The process stands still for 0.15 s before a write.
    StalledWrite = 11,
    /// Each sync takes the value, in milliseconds.
    SlowSync = 14,
    /// Writes to clients are reported as successful and lost. Never drawn: it proves that the oracle finds
    /// lost answers.
    LostWrite = 15,
    /// The value is a port that cannot be reached.
    Unreachable = 16,
}

/// The slot of the port at which the process listens for clients.
const CLIENT_PORT: u64 = 12;
/// The slot of the number of calls that failed.
const INJECTED: u64 = 13;

/// The control file of one process.
pub struct FaultControl {
    file: File,
    /// Its path.
    pub path: PathBuf,
}

impl FaultControl {
    /// Creates the file; nothing fails at first. The process listens for clients at `client_port`.
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

    /// Sets the value of a fault; 0 ends it.
    pub fn set(&self, fault: SystemFault, value: i64) {
        self.write(fault as u64, value).expect("the control file can be written");
    }

    /// How many calls have failed until now.
    pub fn injected(&self) -> i64 {
        let mut bytes = [0; SLOT_BYTES as usize];
        self.file.read_exact_at(&mut bytes, INJECTED * SLOT_BYTES).expect("the control file can be read");
        i64::from_le_bytes(bytes)
    }

    fn write(&self, slot: u64, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_le_bytes(), slot * SLOT_BYTES)
    }
}
