//! Reading a connection: its next line, what lies on it by now, and how long ago the system saw its last
//! bytes.
use super::end;
use crate::buffer::Buffer;
use crate::lines;
use crate::socket;
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use tokio::net::TcpStream;

/// Why there is no next line.
pub enum Unfit {
    Ended,
    Broke,
    Long,
}

/// What a client that waits for its answer does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Waits,
    /// It sends more.
    More,
    /// It has ended its sending, or broken.
    Ended,
}

/// What a client does that is to wait, as the system knows it by now. The runtime learns of an end with its
/// next look at all sockets, which may be after a dial that it was to prevent. A byte that came is lost:
/// whoever sends one is not served.
pub fn now(stream: &TcpStream) -> State {
    match socket::uninterrupted(|| (&*SockRef::from(stream)).read(&mut [0])) {
        Ok(1..) => State::More,
        Err(e) if e.kind() == ErrorKind::WouldBlock => State::Waits,
        Ok(0) | Err(_) => State::Ended,
    }
}

/// The next whole line, without its end.
pub async fn line(stream: &TcpStream, buffer: &mut Buffer, most: usize) -> Result<Vec<u8>, Unfit> {
    loop {
        if let Some(line) = more(stream, buffer, most).await? {
            return Ok(line);
        }
    }
}

/// The next whole line, or none where only a part of it has come by now.
pub async fn more(stream: &TcpStream, buffer: &mut Buffer, most: usize) -> Result<Option<Vec<u8>>, Unfit> {
    let ready = buffer.take_line();
    if ready.is_none() {
        match buffer.fill(stream).await {
            Ok(1..) => {}
            Ok(0) => return Err(Unfit::Ended),
            Err(_) => return Err(Unfit::Broke),
        }
    }
    match ready.or_else(|| buffer.take_line()) {
        Some(line) if line.len() > most => Err(Unfit::Long),
        None if buffer.partial() > most + lines::END.len() => Err(Unfit::Long),
        line => Ok(line),
    }
}

/// How long ago the last bytes came, as the system saw it: a busy relay reads late.
pub fn age_of_last(stream: &tokio::net::TcpStream) -> hallrelay_balancer::types::Micros {
    end::tcp_info(stream).map_or(0, |info| u64::from(info.tcpi_last_data_recv) * 1000)
}
