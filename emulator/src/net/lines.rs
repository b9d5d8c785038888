//! The lines of the protocol as servers and clients have them. Parsed apart from the relay's own parsers, so
//! that a fault there is not repeated here.
use crate::clients::ClientRequest;
use std::io::ErrorKind;
use std::os::fd::RawFd;
use tokio::net::TcpStream;

/// Bytes that have come, cut into lines.
#[derive(Default)]
pub struct Lines {
    bytes: Vec<u8>,
    from: usize,
}

/// Why there is no line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    Ended,
    Reset,
    Long,
}

impl Lines {
    const MOST: usize = 4096;

    /// The next line without its end, once it is whole.
    pub fn take(&mut self) -> Option<String> {
        let at = self.bytes[self.from..].windows(2).position(|w| w == b"\r\n")?;
        let line = String::from_utf8_lossy(&self.bytes[self.from..self.from + at]).into_owned();
        self.from += at + 2;
        if self.from == self.bytes.len() {
            self.bytes.clear();
            self.from = 0;
        }
        Some(line)
    }

    /// Waits for the next line. Nothing is lost where this is dropped half-way.
    pub async fn next(&mut self, stream: &TcpStream) -> Result<String, Unread> {
        loop {
            if let Some(line) = self.take() {
                return Ok(line);
            }
            if self.bytes.len() - self.from > Lines::MOST + 2 {
                return Err(Unread::Long);
            }
            self.fill(stream).await?;
        }
    }

    /// Waits for more bytes.
    pub async fn fill(&mut self, stream: &TcpStream) -> Result<(), Unread> {
        self.bytes.drain(..std::mem::take(&mut self.from));
        loop {
            stream.readable().await.map_err(|_| Unread::Reset)?;
            let mut part = [0u8; 2048];
            match stream.try_read(&mut part) {
                Ok(0) => return Err(Unread::Ended),
                Ok(count) => {
                    self.bytes.extend_from_slice(&part[..count]);
                    return Ok(());
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return Err(Unread::Reset),
            }
        }
    }
}

/// Writes all of a text; false where the other side is gone.
pub async fn write(stream: &TcpStream, text: &[u8]) -> bool {
    let mut left = text;
    while !left.is_empty() {
        if stream.writable().await.is_err() {
            return false;
        }
        match stream.try_write(left) {
            Ok(count) => left = &left[count..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    true
}

/// Whether the other side has ended a connection, and nothing of it is left to read.
pub fn has_ended(fd: RawFd) -> bool {
    let mut byte = 0u8;
    // SAFETY: one byte is read into one byte; a closed descriptor only gives an error.
    let count = unsafe { libc::recv(fd, (&raw mut byte).cast(), 1, libc::MSG_PEEK | libc::MSG_DONTWAIT) };
    count == 0 || (count < 0 && std::io::Error::last_os_error().kind() != ErrorKind::WouldBlock)
}

/// A client's first line.
pub fn open(ask: &ClientRequest, listener: &str, at: Option<&str>) -> String {
    let mut line =
        format!("OPEN {:016x} {:016x} c={listener},d={}", ask.mark, ask.key, ask.dial_timeout / 1000);
    if ask.group != 0 {
        line += &format!(",g={:016x}", ask.group);
    }
    if ask.retry {
        line += ",r=1";
    }
    if ask.returned {
        line += ",again=1";
    }
    if let Some(at) = at {
        line += &format!(",at={at}");
    }
    line
}

/// What a server reads of it: the mark, and the line with what may differ blotted out.
pub fn opened(line: &str) -> Option<(u64, String)> {
    let mut words = line.split(' ');
    let (Some("OPEN"), Some(mark), Some(key), Some(pairs), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return None;
    };
    let whole = |text: &str| text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if !whole(mark) || !whole(key) {
        return None;
    }
    let mut kept = Vec::new();
    for pair in pairs.split(',') {
        let (name, value) = pair.split_once('=')?;
        // How long the relay waits is its own to say.
        if name == "d" {
            value.parse::<u64>().ok()?;
        } else {
            kept.push(pair);
        }
    }
    Some((u64::from_str_radix(mark, 16).ok()?, format!("{mark} {key} {}", kept.join(","))))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_the_clients_own_whatever_wait_it_names() {
        let ask = ClientRequest {
            mark: 0xab,
            relay: 0,
            listener: 0,
            key: 7,
            group: 9,
            returned: true,
            retry: false,
            dial_timeout: 1_800_000,
            pre_existing_at: None,
            ended_after: None,
        };
        let line = open(&ask, "low", None);
        assert_eq!(line, "OPEN 00000000000000ab 0000000000000007 c=low,d=1800,g=0000000000000009,again=1");
        let (mark, rest) = opened(&line).expect("it is well formed");
        assert_eq!(mark, 0xab);
        assert_eq!(opened(&line.replace("d=1800", "d=7")), Some((mark, rest.clone())));
        assert_ne!(opened(&line.replace("c=low", "c=high")), Some((mark, rest)));
        assert_eq!(opened("OPEN ab 07 c=low,d=1"), None);
        assert_eq!(opened("OPEN 00000000000000ab 0000000000000007 c=low,d=x"), None);
    }
}
