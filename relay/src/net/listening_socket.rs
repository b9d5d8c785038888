//! Binds the listening sockets of this process: for clients, operators and other relays.
use crate::socket;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Binds an address; waits while this machine is short of descriptors or memory.
///
/// # Errors
/// That of the call which failed, with the address.
pub async fn bind(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let with_addr = |e: io::Error| io::Error::new(e.kind(), format!("{addr}: {e}"));
    socket::retry_without_resources(|| async { bind_now(addr, backlog) }).await.map_err(with_addr)
}

fn bind_now(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

/// A listening socket that the process before this one handed over.
///
/// # Errors
/// That of the call which failed.
pub fn from_std(listening_socket: std::net::TcpListener) -> io::Result<TcpListener> {
    listening_socket.set_nonblocking(true)?;
    TcpListener::from_std(listening_socket)
}
