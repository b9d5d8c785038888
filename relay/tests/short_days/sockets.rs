//! What the system's own table tells of connections, to see what the program has not read yet, and which of
//! its connects are still out.
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// States of the table that matter here.
const SYN_SENT: u8 = 2;

pub struct Row {
    local: SocketAddr,
    remote: SocketAddr,
    state: u8,
    /// Bytes that the other side has not acknowledged.
    unacknowledged: u64,
    /// Bytes that this side has not read, or connections that it has not accepted.
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

/// Whether all that was sent to a listening program is read by it, and nobody waits to be accepted.
pub fn all_is_read_by(program: SocketAddr) -> bool {
    rows().iter().all(|row| {
        (row.remote != program || row.unacknowledged == 0) && (row.local != program || row.unread == 0)
    })
}

/// Whether somebody's connect to an address is out.
pub fn is_connecting_to(remote: SocketAddr) -> bool {
    rows().iter().any(|row| row.remote == remote && row.state == SYN_SENT)
}
