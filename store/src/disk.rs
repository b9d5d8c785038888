//! What the store needs of a disk ([`Disk`]), and its implementation over a directory of real files.
use rustix::fs::{flock, FlockOperation};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The file whose advisory lock keeps a second process out of a directory.
const LOCK_FILE: &str = "lock";

/// Files of one directory, by name.
///
/// A write is durable only after [`sync`](Disk::sync) of its file, and a new, renamed or removed name only
/// after [`sync_directory`](Disk::sync_directory). Errors are those of the system; what a failed write left
/// behind is unknown.
pub trait Disk {
    /// A file's bytes, the first `max_bytes` of them at most; `None` where there is no file of that name.
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>>;
    /// Writes bytes at an offset of a file, which is created where it is missing.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Sets the length of a file in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes all earlier writes to a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name, atomically; a file that had this name is gone.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; no error where there is none of that name.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes all earlier changes of names durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory of real files, locked by one process at a time.
pub struct Directory {
    path: PathBuf,
    /// Keeps the advisory lock as long as it lives; the system releases it where the process dies.
    _lock: File,
    /// The file that was written last, kept open.
    open_file: Option<OpenFile>,
}

struct OpenFile {
    name: String,
    file: File,
}

impl Directory {
    /// Creates the directory where it is missing, and takes its lock.
    ///
    /// # Errors
    /// `WouldBlock` where another process holds the lock; otherwise what the system reports.
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
