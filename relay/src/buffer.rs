//! One buffer a connection: nothing till bytes come, then small, grown as lines need it, compacted in place.
use crate::socket;
use socket2::SockRef;
use std::io::{self, Read};
use tokio::net::TcpStream;

pub struct Buffer {
    bytes: Vec<u8>,
    /// What is read and not yet taken, and how far of it was looked through for line ends.
    from: usize,
    till: usize,
    seen: usize,
    /// End of the last whole line, and where the lines begin that the last read made whole.
    whole: usize,
    fresh: usize,
    first: usize,
    most: usize,
}

impl Buffer {
    pub fn new(first: usize, most: usize) -> Buffer {
        Buffer { bytes: Vec::new(), from: 0, till: 0, seen: 0, whole: 0, fresh: 0, first, most }
    }

    /// One that goes on with what another process had read and not yet written.
    pub fn holding(bytes: &[u8], first: usize, most: usize) -> Buffer {
        let mut buffer = Buffer::new(first, most.max(bytes.len()));
        (buffer.bytes, buffer.till) = (bytes.to_vec(), bytes.len());
        buffer.look();
        buffer.fresh = buffer.whole;
        buffer
    }

    /// All that is not taken, whole lines or not.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.from..self.till]
    }

    pub fn has_room(&self) -> bool {
        self.till - self.from < self.most
    }

    /// Bytes that stand behind the last whole line.
    pub fn partial(&self) -> usize {
        self.till - self.whole
    }

    /// Whole lines that are not yet taken, with their ends.
    pub fn lines(&self) -> &[u8] {
        &self.bytes[self.from..self.whole]
    }

    pub fn take(&mut self, count: usize) {
        self.from += count;
        if self.from == self.till {
            (self.from, self.till, self.seen, self.whole, self.fresh) = (0, 0, 0, 0, 0);
        }
    }

    /// Takes the first whole line, without its end.
    pub fn take_line(&mut self) -> Option<Vec<u8>> {
        let at = self.lines().windows(2).position(|w| w == b"\r\n")?;
        let line = self.lines()[..at].to_vec();
        self.take(at + 2);
        Some(line)
    }

    fn make_room(&mut self) {
        if self.till < self.bytes.len() {
            return;
        }
        if self.from > 0 {
            self.bytes.copy_within(self.from..self.till, 0);
            for place in [&mut self.till, &mut self.seen, &mut self.whole] {
                *place -= self.from;
            }
            self.from = 0;
        } else {
            self.bytes.resize((self.bytes.len() * 2).max(self.first).min(self.most), 0);
        }
    }

    /// Reads once what is there, as far as the runtime knows of it.
    pub fn read(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.read_with(|bytes| socket::try_read(stream, bytes))
    }

    /// Reads once what lies there, also what the runtime has not been told of: it learns of bytes with its
    /// next look at all sockets.
    pub fn read_now(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.read_with(|bytes| socket::uninterrupted(|| (&*SockRef::from(stream)).read(bytes)))
    }

    fn read_with(&mut self, read: impl FnOnce(&mut [u8]) -> io::Result<usize>) -> io::Result<usize> {
        self.make_room();
        let count = read(&mut self.bytes[self.till..])?;
        self.till += count;
        self.fresh = self.whole.max(self.from);
        self.look();
        Ok(count)
    }

    /// Finds the end of the last whole line.
    fn look(&mut self) {
        let look = &self.bytes[self.seen..self.till];
        if let Some(at) = look.windows(2).rposition(|w| w == b"\r\n") {
            self.whole = self.seen + at + 2;
        }
        self.whole = self.whole.max(self.from);
        // A line's end may come in two parts.
        self.seen = self.whole.max(self.till.saturating_sub(1));
    }

    /// Whether bytes stand behind what was taken, or lie on the stream.
    pub fn holds_more(&mut self, stream: &TcpStream) -> bool {
        self.till > self.from || matches!(self.read(stream), Ok(1..))
    }

    /// Waits for something and reads it; 0 is the end. Given up while it waits, it has read nothing.
    pub async fn fill(&mut self, stream: &TcpStream) -> io::Result<usize> {
        loop {
            stream.readable().await?;
            match self.read(stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return read,
            }
        }
    }

    /// The lines that the last read made whole.
    pub fn fresh(&self) -> &[u8] {
        &self.bytes[self.fresh..self.whole]
    }

    /// Keeps those lines from being passed on.
    pub fn reject_fresh(&mut self) {
        self.whole = self.fresh;
    }

    /// Writes what it can of the whole lines.
    pub fn write(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let count = socket::try_write(stream, self.lines())?;
        self.take(count);
        Ok(count)
    }

    /// Gives back what a burst took.
    pub fn shrink(&mut self) {
        if self.from == self.till && self.bytes.len() > self.first {
            self.bytes = Vec::new();
        }
    }
}
