//! Reading a client's or backend's connection: its next line, and what the system holds unread right now.
use super::close;
use crate::buffer::Buffer;
use crate::lines;
use crate::socket;
use hallrelay_balancer::types::Micros;
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use tokio::net::TcpStream;

/// Why there is no next line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The other side has ended its sending before a line was complete.
    Closed,
    /// The connection failed.
    Broken,
    /// The line is longer than the limit.
    TooLong,
}

/// What a client does that waits for its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// It is connected and silent, as the protocol wants it.
    Waiting,
    /// It has sent more before it was answered.
    SentMore,
    /// It has ended its sending, or its connection failed.
    Closed,
}

/// What the system knows of a waiting client at this moment.
///
/// The runtime learns of a closed connection only when it polls all sockets next, which may be after the dial
/// that the close has to prevent. A byte that is read here is lost: a client that sends early is not served.
pub fn client_state(stream: &TcpStream) -> ClientState {
    match socket::uninterrupted(|| (&*SockRef::from(stream)).read(&mut [0])) {
        Ok(1..) => ClientState::SentMore,
        Err(e) if e.kind() == ErrorKind::WouldBlock => ClientState::Waiting,
        Ok(0) | Err(_) => ClientState::Closed,
    }
}

/// Waits for the next complete line and returns it without its end.
///
/// # Errors
/// `TooLong` for a line of more than `max_bytes`; the others as the connection ends.
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

/// Reads once where no line is buffered; returns the next line, or `None` where only a part of it has come.
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

/// Time since the system received the last bytes, in microseconds: a busy relay reads late.
pub fn age_of_last_bytes(stream: &TcpStream) -> Micros {
    close::tcp_info(stream).map_or(0, |info| u64::from(info.tcpi_last_data_recv) * 1000)
}
