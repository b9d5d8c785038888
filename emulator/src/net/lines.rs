//! Protocol lines as used by servers and clients. They are parsed independently of the relay's parsers, so
//! that a bug in those is not repeated here.
use crate::clients::ClientRequest;
use std::io::ErrorKind;
use std::os::fd::RawFd;
use tokio::net::TcpStream;

/// Maximum number of bytes per read.
const READ_BYTES: usize = 2048;

/// Splits received bytes into lines.
#[derive(Default)]
pub struct Lines {
    bytes: Vec<u8>,
    /// Offset of the next line.
    start: usize,
}

/// Why no line was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The other side has closed its sending direction.
    Ended,
    /// The connection was reset, or failed in another way.
    Reset,
    /// The line exceeds the maximum length.
    TooLong,
}

impl Lines {
    const MAX_LINE_BYTES: usize = 4096;

    /// The next line without its terminator; none until it has been received completely.
    pub fn take(&mut self) -> Option<String> {
        let rest = &self.bytes[self.start..];
        let length = rest.windows(2).position(|pair| pair == b"\r\n")?;
        let line = String::from_utf8_lossy(&rest[..length]).into_owned();
        self.start += length + 2;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
        }
        Some(line)
    }

    /// Waits for the next line. Cancel-safe: no input is lost if the future is dropped.
    ///
    /// # Errors
    /// If the connection ends, or the line is longer than 4096 bytes.
    pub async fn next(&mut self, stream: &TcpStream) -> Result<String, ReadError> {
        loop {
            if let Some(line) = self.take() {
                return Ok(line);
            }
            if self.bytes.len() - self.start > Lines::MAX_LINE_BYTES + 2 {
                return Err(ReadError::TooLong);
            }
            self.fill(stream).await?;
        }
    }

    /// Waits for more input.
    ///
    /// # Errors
    /// If the connection ends.
    pub async fn fill(&mut self, stream: &TcpStream) -> Result<(), ReadError> {
        self.bytes.drain(..std::mem::take(&mut self.start));
        loop {
            stream.readable().await.map_err(|_| ReadError::Reset)?;
            let mut buffer = [0u8; READ_BYTES];
            match stream.try_read(&mut buffer) {
                Ok(0) => return Err(ReadError::Ended),
                Ok(count) => {
                    self.bytes.extend_from_slice(&buffer[..count]);
                    return Ok(());
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return Err(ReadError::Reset),
            }
        }
    }
}

/// Writes all bytes. Returns false if the connection has ended.
pub async fn write(stream: &TcpStream, bytes: &[u8]) -> bool {
    let mut rest = bytes;
    while !rest.is_empty() {
        if stream.writable().await.is_err() {
            return false;
        }
        match stream.try_write(rest) {
            Ok(count) => rest = &rest[count..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    true
}

/// Whether the other side has ended a connection and no unread input is left.
pub fn has_ended(descriptor: RawFd) -> bool {
    let mut byte = 0u8;
    // SAFETY: at most one byte is read into a buffer of one byte; a closed descriptor only causes an error.
    let count =
        unsafe { libc::recv(descriptor, (&raw mut byte).cast(), 1, libc::MSG_PEEK | libc::MSG_DONTWAIT) };
    count == 0 || (count < 0 && std::io::Error::last_os_error().kind() != ErrorKind::WouldBlock)
}

/// Formats a client's first line, without its terminator.
pub fn first_line(request: &ClientRequest, listener: &str, pre_existing_at: Option<&str>) -> String {
    let ClientRequest { mark, key, dial_timeout, .. } = *request;
    let mut line = format!("OPEN {mark:016x} {key:016x} c={listener},d={}", dial_timeout / 1000);
    if request.group != 0 {
        line += &format!(",g={:016x}", request.group);
    }
    if request.retry {
        line += ",r=1";
    }
    if request.returned {
        line += ",again=1";
    }
    if let Some(server) = pre_existing_at {
        line += &format!(",at={server}");
    }
    line
}

/// A first line as parsed by a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstLine {
    /// Mark of the connection.
    pub mark: u64,
    /// The line without the remaining time, which a relay may change.
    pub unchanged: String,
}

/// Parses a first line; none if it is malformed.
pub fn parse_first_line(line: &str) -> Option<FirstLine> {
    let mut words = line.split(' ');
    let (Some("OPEN"), Some(mark), Some(key), Some(pairs), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return None;
    };
    let is_number = |text: &str| text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_number(mark) || !is_number(key) {
        return None;
    }
    let mut unchanged = Vec::new();
    for pair in pairs.split(',') {
        let (name, value) = pair.split_once('=')?;
        if name == "d" {
            value.parse::<u64>().ok()?;
        } else {
            unchanged.push(pair);
        }
    }
    let unchanged = format!("{mark} {key} {}", unchanged.join(","));
    Some(FirstLine { mark: u64::from_str_radix(mark, 16).ok()?, unchanged })
}
