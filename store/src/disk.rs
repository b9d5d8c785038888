//! All that the store asks of a disk, and real files that do it.
use rustix::fs::{flock, FlockOperation};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Files of one folder, by name. A write is durable only after a `sync` of its file, and a new name only
/// after a `sync_names`. Errors are those of the system; what a failed write left behind is unknown.
pub trait Disk {
    /// A file's bytes, `most` of them at most; none where there is no file of that name.
    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>>;
    /// Puts bytes at a place of a file, which is made where there is none.
    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()>;
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// One name in place of another, in one step.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A folder of real files, held by one process at a time.
pub struct Folder {
    path: PathBuf,
    /// Held as long as this lives; the system lets go of it where the process dies.
    _lock: File,
    open: Option<(String, File)>,
}

impl Folder {
    /// Makes the folder where it is missing, and takes its lock; an error of kind `WouldBlock` where another
    /// process holds it.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join("lock"))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Folder { path: path.to_path_buf(), _lock: lock, open: None })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|open| open.0 != name) {
            let mut options = OpenOptions::new();
            let file =
                options.create(true).truncate(false).read(true).write(true).open(self.path.join(name))?;
            self.open = Some((name.to_string(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path.join(name)) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let mut bytes = Vec::with_capacity(file.metadata()?.len().min(most) as usize);
        file.take(most).read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(at))?;
        file.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.file(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        match std::fs::remove_file(self.path.join(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
