//! How connections end: a last line, then an end in the way the other side ended.
use super::{Command, Hub};
use crate::clock::span;
use crate::socket;
use hallrelay_balancer::types::Micros;
use socket2::SockRef;
use std::net::Shutdown;
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

/// Writes a final answer and ends.
pub async fn answer(client: TcpStream, line: &[u8], commands: &mut Receiver<Command>, hub: &Hub) {
    if write(&client, line, hub.limits().end).await {
        // Its place is wanted: the answer is out, and all that is lost is a polite end. Whatever else was on
        // its way ends nothing, or a session that was told to move as it ended would be cut off.
        let shed = async { while !matches!(commands.recv().await, Some(Command::Shed) | None) {} };
        tokio::select! {
            biased;
            () = orderly(client, hub) => {}
            () = shed => {}
        }
    }
}

/// Says a last line as far as it goes at once, and ends.
pub fn at_once(client: TcpStream, line: &[u8]) {
    _ = socket::try_write(&client, line);
}

/// Writes a line whole within a time; false where it could not.
pub async fn write(stream: &TcpStream, mut line: &[u8], within: Micros) -> bool {
    let all = async {
        while !line.is_empty() {
            stream.writable().await?;
            match socket::try_write(stream, line) {
                Ok(count) => line = &line[count..],
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    };
    matches!(timeout(span(within), all).await, Ok(Ok(())))
}

/// Ends the sending, and reads what still comes until the other side ends too: closing with bytes unread
/// would reset the connection, and the last line could be lost with it.
pub async fn orderly(stream: TcpStream, hub: &Hub) {
    if SockRef::from(&stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let drain = async {
        while stream.readable().await.is_ok() {
            match socket::try_read(&stream, &mut hub.discarded.borrow_mut()) {
                Ok(0) => return,
                Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    };
    _ = timeout(span(hub.limits().end), drain).await;
}

/// Ends a connection by a reset.
pub fn abrupt(stream: TcpStream) {
    _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// What the system knows of a connection.
pub fn tcp_info(stream: &TcpStream) -> Option<libc::tcp_info> {
    // SAFETY: the buffer is a plain struct of the size that is handed over, and outlives the call.
    unsafe {
        let mut info: libc::tcp_info = std::mem::zeroed();
        let mut size = size_of::<libc::tcp_info>() as libc::socklen_t;
        let place = (&raw mut info).cast();
        let fd = stream.as_raw_fd();
        let done = libc::getsockopt(fd, libc::IPPROTO_TCP, libc::TCP_INFO, place, &raw mut size);
        (done == 0).then_some(info)
    }
}
