//! Reads the next line of a client's or backend's connection, and checks for unread input without waiting.
use super::close;
use crate::buffer::Buffer;
use crate::lines;
use crate::socket;
use hallrelay_balancer::types::Micros;
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use tokio::net::TcpStream;

/// Why the next line could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The other side closed its sending side before a line was complete.
    Closed,
    /// The connection failed.
    Broken,
    /// The line is longer than the limit.
    TooLong,
}

/// The state of a client that is to wait for its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// The client is connected and silent, as the protocol requires.
    Waiting,
    /// The client has sent more data before its answer.
    SentMore,
    /// The client has closed its sending side, or its connection failed.
    Closed,
}

/// Returns the state of a waiting client by reading its socket directly.
///
/// The runtime notices a closed connection only when it next polls all sockets, which may be after the dial
/// that must not be made. A byte that is read here is discarded: a client that sends data before its answer
/// is not served, so no later code needs the byte.
pub fn client_state(stream: &TcpStream) -> ClientState {
    match socket::uninterrupted(|| (&*SockRef::from(stream)).read(&mut [0])) {
        Ok(1..) => ClientState::SentMore,
        Err(e) if e.kind() == ErrorKind::WouldBlock => ClientState::Waiting,
        Ok(0) | Err(_) => ClientState::Closed,
    }
}

/// Waits for the next complete line and returns it without its line ending.
///
/// # Errors
/// `TooLong` if the line has more than `max_bytes`, `Closed` or `Broken` if the connection ends before it.
pub async fn read_line(
    stream: &TcpStream,
    buffer: &mut Buffer,
    max_bytes: usize,
) -> Result<Vec<u8>, ReadError> {
    loop {
        if let Some(line) = read_some(stream, buffer, max_bytes).await? {
            return Ok(line);
        }
    }
}

/// Reads once if no line is buffered. Returns the next line, or `None` if it is still incomplete.
///
/// # Errors
/// As `read_line`.
pub async fn read_some(
    stream: &TcpStream,
    buffer: &mut Buffer,
    max_bytes: usize,
) -> Result<Option<Vec<u8>>, ReadError> {
    let buffered = buffer.take_line();
    if buffered.is_none() {
        match buffer.fill(stream).await {
            Ok(1..) => {}
            Ok(0) => return Err(ReadError::Closed),
            Err(_) => return Err(ReadError::Broken),
        }
    }
    match buffered.or_else(|| buffer.take_line()) {
        Some(line) if line.len() > max_bytes => Err(ReadError::TooLong),
        None if buffer.partial() > max_bytes + lines::END.len() => Err(ReadError::TooLong),
        line => Ok(line),
    }
}

/// Returns the time since the system received the last bytes, in microseconds. A busy relay may have read
/// them only much later. 0 if the system does not report the time.
pub fn age_of_last_bytes(stream: &TcpStream) -> Micros {
    close::tcp_info(stream).map_or(0, |info| u64::from(info.tcpi_last_data_recv) * 1000)
}
