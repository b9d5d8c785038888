//! Binds the listening sockets of this process, for clients, operators and other relays.
use crate::socket;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Binds an address and listens. Retries for 5 s while this machine lacks file descriptors, buffers or
/// memory.
///
/// # Errors
/// The error of the call that failed, with the address.
pub async fn bind(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let with_addr = |e: io::Error| io::Error::new(e.kind(), format!("listen on {addr}: {e}"));
    socket::retry_while_out_of_resources(|| async { bind_now(addr, backlog) }).await.map_err(with_addr)
}

fn bind_now(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

/// Converts a listening socket that the predecessor handed over.
///
/// # Errors
/// The error of the call that failed.
pub fn from_std(listening_socket: std::net::TcpListener) -> io::Result<TcpListener> {
    listening_socket.set_nonblocking(true)?;
    TcpListener::from_std(listening_socket)
}
