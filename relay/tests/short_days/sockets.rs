//! Reads the kernel's table of TCP sockets (`/proc/net/tcp`), which shows whether a relay has read all bytes
//! sent to it and which of its connects are pending.
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// State of a pending connect in the table.
const SYN_SENT: u8 = 2;

/// One socket of the table.
pub struct Row {
    local: SocketAddr,
    remote: SocketAddr,
    state: u8,
    /// Number of bytes sent that the peer has not acknowledged.
    unacknowledged: u64,
    /// Number of bytes received but not read; for a listening socket, number of connections
    /// not yet accepted.
    unread: u64,
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_le_bytes());
    Some(SocketAddrV4::new(ip, u16::from_str_radix(port, 16).ok()?).into())
}

fn parse_row(line: &str) -> Option<Row> {
    // Skip the row number.
    let mut words = line.split_whitespace().skip(1);
    let (local, remote) = (parse_address(words.next()?)?, parse_address(words.next()?)?);
    let state = u8::from_str_radix(words.next()?, 16).ok()?;
    let (unacknowledged, unread) = words.next()?.split_once(':')?;
    let count = |text| u64::from_str_radix(text, 16).ok();
    Some(Row { local, remote, state, unacknowledged: count(unacknowledged)?, unread: count(unread)? })
}

fn read_rows() -> Vec<Row> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp");
    table.lines().skip(1).filter_map(parse_row).collect()
}

/// Returns whether the process that listens at this address has accepted all its connections and read all
/// bytes sent on them.
pub fn all_bytes_read_by(listen_address: SocketAddr) -> bool {
    read_rows().iter().all(|row| {
        (row.remote != listen_address || row.unacknowledged == 0)
            && (row.local != listen_address || row.unread == 0)
    })
}

/// Returns whether a connect to this address is pending on this machine.
pub fn has_pending_connect_to(remote: SocketAddr) -> bool {
    read_rows().iter().any(|row| row.remote == remote && row.state == SYN_SENT)
}
