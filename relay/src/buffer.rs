//! The read buffer of a connection: empty until bytes come, grown as lines need it, compacted in place.
use crate::socket;
use socket2::SockRef;
use std::io::{self, Read};
use tokio::net::TcpStream;

/// Bytes that were read from one connection and not yet taken.
pub struct Buffer {
    bytes: Vec<u8>,
    /// Where the bytes begin that are not taken yet.
    start: usize,
    /// Where they end.
    end: usize,
    /// How far they were searched for line ends.
    searched: usize,
    /// The end of the last complete line.
    complete: usize,
    /// Where the lines begin that the last read completed.
    fresh: usize,
    /// Bytes that are allocated first.
    initial_capacity: usize,
    /// Bytes that may be held.
    max_capacity: usize,
}

impl Buffer {
    /// An empty buffer. It takes `initial_capacity` bytes with the first read, and at most `max_capacity`.
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

    /// A buffer that goes on with what another process had read and not yet written.
    pub fn holding(bytes: &[u8], initial_capacity: usize, max_capacity: usize) -> Buffer {
        let mut buffer = Buffer::new(initial_capacity, max_capacity.max(bytes.len()));
        (buffer.bytes, buffer.end) = (bytes.to_vec(), bytes.len());
        buffer.find_last_line_end();
        buffer.fresh = buffer.complete;
        buffer
    }

    /// All that is not taken, complete lines or not.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Whether it takes more bytes before some are taken.
    pub fn has_capacity(&self) -> bool {
        self.end - self.start < self.max_capacity
    }

    /// How many bytes there are behind the last complete line.
    pub fn partial(&self) -> usize {
        self.end - self.complete
    }

    /// Complete lines that are not yet taken, with their ends.
    pub fn lines(&self) -> &[u8] {
        &self.bytes[self.start..self.complete]
    }

    /// Drops the first `count` bytes, which were used.
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

    /// Takes the first complete line; it is returned without its end.
    pub fn take_line(&mut self) -> Option<Vec<u8>> {
        let at = self.lines().windows(2).position(|w| w == b"\r\n")?;
        let line = self.lines()[..at].to_vec();
        self.take(at + 2);
        Some(line)
    }

    /// Makes place behind the last byte: by compaction, else by growth.
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

    /// Reads once what is there, as far as the runtime knows of it.
    pub fn read(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.read_with(|bytes| socket::try_read(stream, bytes))
    }

    /// Reads once what is there, also what the runtime does not know of yet: it learns of bytes as it next
    /// polls all sockets.
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
        // A line's end may come in two parts.
        self.searched = self.complete.max(self.end.saturating_sub(1));
    }

    /// Whether bytes follow what was taken, here or on the stream. It may read from the stream.
    pub fn holds_more(&mut self, stream: &TcpStream) -> bool {
        self.end > self.start || matches!(self.read(stream), Ok(1..))
    }

    /// Waits for bytes and reads them; 0 is the stream's end. Cancelled while it waits, it has read nothing.
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

    /// Takes the lines that the last read completed out of what is forwarded.
    pub fn reject_fresh(&mut self) {
        self.complete = self.fresh;
    }

    /// Writes what it can of the complete lines and takes it; the count of bytes.
    pub fn write(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let count = socket::try_write(stream, self.lines())?;
        self.take(count);
        Ok(count)
    }

    /// Frees the memory of an empty buffer that has grown.
    pub fn shrink(&mut self) {
        if self.start == self.end && self.bytes.len() > self.initial_capacity {
            self.bytes = Vec::new();
        }
    }
}
