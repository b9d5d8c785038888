//! Sends final answers and closes connections. To close gracefully, an answer is written completely, then
//! only this side's sending direction is shut down, so that the other side can still read the answer.
use super::{Command, Hub};
use crate::clock::span;
use crate::socket;
use hallrelay_balancer::types::Micros;
use socket2::SockRef;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::time::timeout;

/// Writes a final answer and closes gracefully, or immediately when the reducer sheds the connection.
pub async fn send_final_answer(
    client: TcpStream,
    answer: &[u8],
    commands: &mut Receiver<Command>,
    hub: &Hub,
) {
    if !write_all(&client, answer, hub.limits().close_timeout).await {
        return;
    }
    // The answer is written, so a command to shed the connection skips only the graceful close. Other
    // commands that are still queued are ignored: to close at such a command would cut off the last line of a
    // session that ended while it was about to migrate.
    let shed = async { while !matches!(commands.recv().await, Some(Command::Shed) | None) {} };
    tokio::select! {
        biased;
        () = close_gracefully(client, hub) => {}
        () = shed => {}
    }
}

/// Writes as much of an answer as the socket accepts without waiting, and closes.
pub fn send_without_waiting(client: TcpStream, answer: &[u8]) {
    _ = socket::try_write(&client, answer);
}

/// Writes all bytes within the given time in microseconds. Returns false on failure or timeout.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8], within: Micros) -> bool {
    let write = async {
        while !bytes.is_empty() {
            stream.writable().await?;
            match socket::try_write(stream, bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    };
    matches!(timeout(span(within), write).await, Ok(Ok(())))
}

/// Shuts down the sending side and discards received bytes until the other side closes too. Closing with
/// unread bytes would reset the connection, and the answer could be lost.
pub async fn close_gracefully(stream: TcpStream, hub: &Hub) {
    if SockRef::from(&stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let drain = async {
        while stream.readable().await.is_ok() {
            match socket::try_read(&stream, &mut hub.discarded.borrow_mut()) {
                Ok(0) => return,
                Err(e) if e.kind() != ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    };
    _ = timeout(span(hub.limits().close_timeout), drain).await;
}

/// Closes a connection with a reset: a linger time of 0 makes the system drop unsent bytes.
pub fn reset(stream: TcpStream) {
    _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Returns the kernel's `TCP_INFO` of a connection.
pub fn tcp_info(stream: &TcpStream) -> Option<libc::tcp_info> {
    // SAFETY: the buffer is a plain struct of the size passed to the call, and outlives the call.
    unsafe {
        let mut info: libc::tcp_info = std::mem::zeroed();
        let mut size = size_of::<libc::tcp_info>() as libc::socklen_t;
        let buffer = (&raw mut info).cast();
        let fd = stream.as_raw_fd();
        let result = libc::getsockopt(fd, libc::IPPROTO_TCP, libc::TCP_INFO, buffer, &raw mut size);
        (result == 0).then_some(info)
    }
}
