//! The kernel's table of TCP sockets (`/proc/net/tcp`): whether a relay has read all that was sent to it, and
//! which of its connects are still pending.
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// The state of a pending connect in the table.
const SYN_SENT: u8 = 2;

/// One socket of the table.
pub struct Row {
    local: SocketAddr,
    remote: SocketAddr,
    state: u8,
    /// Bytes sent that the peer has not acknowledged.
    unacknowledged: u64,
    /// Bytes received but not read; of a listening socket, connections not yet accepted.
    unread: u64,
}

fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_le_bytes());
    Some(SocketAddrV4::new(ip, u16::from_str_radix(port, 16).ok()?).into())
}

fn row(line: &str) -> Option<Row> {
    let mut words = line.split_whitespace().skip(1);
    let (local, remote) = (address(words.next()?)?, address(words.next()?)?);
    let state = u8::from_str_radix(words.next()?, 16).ok()?;
    let (unacknowledged, unread) = words.next()?.split_once(':')?;
    let count = |text| u64::from_str_radix(text, 16).ok();
    Some(Row { local, remote, state, unacknowledged: count(unacknowledged)?, unread: count(unread)? })
}

fn rows() -> Vec<Row> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    table.lines().skip(1).filter_map(row).collect()
}

/// Whether a listening process has read all bytes that were sent to it and accepted all connections.
pub fn all_bytes_read_by(program: SocketAddr) -> bool {
    rows().iter().all(|row| {
        (row.remote != program || row.unacknowledged == 0) && (row.local != program || row.unread == 0)
    })
}

/// Whether a connect to this address is pending on this machine.
pub fn has_pending_connect_to(remote: SocketAddr) -> bool {
    rows().iter().any(|row| row.remote == remote && row.state == SYN_SENT)
}
