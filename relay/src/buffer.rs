//! The read buffer of a connection. It allocates nothing until bytes arrive, grows as lines need it, and is
//! compacted in place.
use crate::socket;
use socket2::SockRef;
use std::io::{self, Read};
use tokio::net::TcpStream;

/// Bytes that were read from one connection and not yet taken. Positions are indices into `bytes`.
pub struct Buffer {
    bytes: Vec<u8>,
    /// Start of the bytes that have not been taken yet.
    start: usize,
    /// End of the bytes that were read.
    end: usize,
    /// End of the bytes that were searched for line ends.
    searched: usize,
    /// End of the last complete line.
    complete: usize,
    /// Start of the lines that the last read completed.
    fresh: usize,
    /// Size of the first allocation, in bytes.
    initial_capacity: usize,
    /// Largest size, in bytes.
    max_capacity: usize,
}

impl Buffer {
    /// An empty buffer. It allocates `initial_capacity` bytes with the first read, and `max_capacity` at
    /// most.
    pub fn new(initial_capacity: usize, max_capacity: usize) -> Buffer {
        Buffer {
            bytes: Vec::new(),
            start: 0,
            end: 0,
            searched: 0,
            complete: 0,
            fresh: 0,
            initial_capacity,
            max_capacity,
        }
    }

    /// A buffer that continues with the bytes that another process had read and not yet written.
    pub fn holding(bytes: &[u8], initial_capacity: usize, max_capacity: usize) -> Buffer {
        let mut buffer = Buffer::new(initial_capacity, max_capacity.max(bytes.len()));
        (buffer.bytes, buffer.end) = (bytes.to_vec(), bytes.len());
        buffer.find_last_line_end();
        buffer.fresh = buffer.complete;
        buffer
    }

    /// All bytes that have not been taken, in complete lines or not.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Whether more bytes can be read before any are taken.
    pub fn has_capacity(&self) -> bool {
        self.end - self.start < self.max_capacity
    }

    /// Number of bytes after the last complete line.
    pub fn partial(&self) -> usize {
        self.end - self.complete
    }

    /// The complete lines that have not been taken yet, with their line ends.
    pub fn lines(&self) -> &[u8] {
        &self.bytes[self.start..self.complete]
    }

    /// Drops the first `count` bytes, since the caller has used them.
    pub fn take(&mut self, count: usize) {
        self.start += count;
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
            self.searched = 0;
            self.complete = 0;
            self.fresh = 0;
        }
    }

    /// Takes the first complete line and returns it without its line end.
    pub fn take_line(&mut self) -> Option<Vec<u8>> {
        let at = self.lines().windows(2).position(|w| w == b"\r\n")?;
        let line = self.lines()[..at].to_vec();
        self.take(at + 2);
        Some(line)
    }

    /// Extends the space after the last byte if none is left: by compaction if bytes at the start were taken,
    /// else by growth.
    fn reserve(&mut self) {
        if self.end < self.bytes.len() {
            return;
        }
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            for position in [&mut self.end, &mut self.searched, &mut self.complete] {
                *position -= self.start;
            }
            self.start = 0;
        } else {
            self.bytes.resize((self.bytes.len() * 2).max(self.initial_capacity).min(self.max_capacity), 0);
        }
    }

    /// Reads once, if the runtime knows that the stream is readable.
    pub fn read(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.read_with(|bytes| socket::try_read(stream, bytes))
    }

    /// Reads once, even if the runtime does not know yet that the stream is readable. The runtime learns that
    /// only when it next polls all sockets.
    pub fn read_now(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.read_with(|bytes| socket::uninterrupted(|| (&*SockRef::from(stream)).read(bytes)))
    }

    fn read_with(&mut self, read: impl FnOnce(&mut [u8]) -> io::Result<usize>) -> io::Result<usize> {
        self.reserve();
        let count = read(&mut self.bytes[self.end..])?;
        self.end += count;
        self.fresh = self.complete.max(self.start);
        self.find_last_line_end();
        Ok(count)
    }

    /// Finds the end of the last complete line.
    fn find_last_line_end(&mut self) {
        let unsearched = &self.bytes[self.searched..self.end];
        if let Some(at) = unsearched.windows(2).rposition(|w| w == b"\r\n") {
            self.complete = self.searched + at + 2;
        }
        self.complete = self.complete.max(self.start);
        // A line end may be split between two reads.
        self.searched = self.complete.max(self.end.saturating_sub(1));
    }

    /// Whether more bytes follow, in the buffer or on the stream. This may read from the stream.
    pub fn holds_more(&mut self, stream: &TcpStream) -> bool {
        self.end > self.start || matches!(self.read(stream), Ok(1..))
    }

    /// Waits for bytes, reads them and returns their number; 0 is the end of the stream. If the future is
    /// dropped while it waits, no byte has been read.
    pub async fn fill(&mut self, stream: &TcpStream) -> io::Result<usize> {
        loop {
            stream.readable().await?;
            match self.read(stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// The lines that the last read completed.
    pub fn fresh(&self) -> &[u8] {
        &self.bytes[self.fresh..self.complete]
    }

    /// Excludes the lines that the last read completed from forwarding.
    pub fn reject_fresh(&mut self) {
        self.complete = self.fresh;
    }

    /// Writes as much of the complete lines as the stream accepts, drops what was written, and returns the
    /// number of bytes.
    pub fn write(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let count = socket::try_write(stream, self.lines())?;
        self.take(count);
        Ok(count)
    }

    /// Frees the memory if the buffer is empty and has grown.
    pub fn shrink(&mut self) {
        if self.start == self.end && self.bytes.len() > self.initial_capacity {
            self.bytes = Vec::new();
        }
    }
}
