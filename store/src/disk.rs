//! The interface of a disk that the store uses ([`Disk`]), and its implementation with files of a directory.
use rustix::fs::{flock, FlockOperation};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The file whose advisory lock prevents a second process from using the directory.
const LOCK_FILE: &str = "lock";

/// The files of one directory, identified by their names.
///
/// A write is durable only after [`sync`](Disk::sync) of its file, and a created, renamed or removed name
/// only after [`sync_directory`](Disk::sync_directory). Errors are those of the system. The contents of a
/// file after a failed write are unknown.
pub trait Disk {
    /// Reads at most the first `max_bytes` bytes of a file; `None` if the file does not exist.
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>>;
    /// Writes bytes at an offset of a file. Creates the file if it does not exist.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Sets the length of a file in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes all earlier writes to a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file atomically, replacing any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. Succeeds if the file does not exist.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes all earlier changes of file names durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory of real files that only one process at a time can open.
pub struct Directory {
    path: PathBuf,
    /// Holds the advisory lock until it is dropped; the system releases the lock if the process dies.
    _lock: File,
    /// The file that was written last, kept open for the next write.
    open_file: Option<OpenFile>,
}

struct OpenFile {
    name: String,
    file: File,
}

impl Directory {
    /// Creates the directory if it does not exist, and locks it.
    ///
    /// # Errors
    /// `WouldBlock` if another process holds the lock; otherwise the error of the system.
    pub fn open(path: &Path) -> io::Result<Directory> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Directory { path: path.to_path_buf(), _lock: lock, open_file: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open_file.as_ref().is_none_or(|open| open.name != name) {
            let mut options = OpenOptions::new();
            let file =
                options.create(true).truncate(false).read(true).write(true).open(self.path.join(name))?;
            self.open_file = Some(OpenFile { name: name.to_string(), file });
        }
        match &mut self.open_file {
            Some(open) => Ok(&mut open.file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Disk for Directory {
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path.join(name)) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let mut bytes = Vec::with_capacity(file.metadata()?.len().min(max_bytes) as usize);
        file.take(max_bytes).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        match std::fs::remove_file(self.path.join(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
