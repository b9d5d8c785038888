//! Free addresses of 127.0.0.0/8.
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// First of the ports among which a free one is searched. The system assigns none of them to outgoing
/// connections, so that a server's port cannot be taken while the server is down.
const FIRST_PORT: u16 = 10_000;
/// Number of port ranges. Each running program claims one.
const RANGE_COUNT: u16 = 64;
/// Number of ports in a range.
const PORTS_PER_RANGE: u16 = 312;
/// Address whose port `FIRST_PORT + n` is bound by the program that has claimed range `n`.
const CLAIM_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 15, 0, 1);

/// Why no address is available.
#[derive(Debug, thiserror::Error)]
pub enum AddressError {
    /// The system does not allow binding the address.
    #[error("cannot listen on {addr}: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// All ports of an address are in use.
    #[error("no free port on {ip}: {}", .last.as_ref().map(ToString::to_string).unwrap_or_default())]
    NoneFree {
        /// The address.
        ip: Ipv4Addr,
        /// The system's error for the last port.
        last: Option<io::Error>,
    },
    /// A relay's address on the emulated links cannot be bound.
    #[error("cannot bind {addr} for the emulated links between relays: {source}")]
    Link {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
}

impl From<AddressError> for String {
    fn from(error: AddressError) -> String {
        error.to_string()
    }
}

/// A range of ports that no other program searches. A free port is found by binding it once, and it is free
/// again until its server listens on it, or while that server is down. Two programs that run at the same time
/// must therefore not search the same ports.
pub struct PortRange {
    first: u16,
    /// Number of ports that were handed out.
    used: AtomicUsize,
    /// Claims the range. The system releases the claim when this process ends.
    _claim: TcpListener,
}

impl PortRange {
    /// Claims a range.
    ///
    /// # Errors
    /// If all ranges are claimed, or the address for claims cannot be bound.
    pub fn claim() -> Result<PortRange, AddressError> {
        let mut last = None;
        for number in 0..RANGE_COUNT {
            let addr = SocketAddr::from((CLAIM_ADDRESS, FIRST_PORT + number));
            match TcpListener::bind(addr) {
                Ok(claim) => {
                    let first = FIRST_PORT + number * PORTS_PER_RANGE;
                    return Ok(PortRange { first, used: AtomicUsize::new(0), _claim: claim });
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => last = Some(error),
                Err(source) => return Err(AddressError::Bind { addr, source }),
            }
        }
        Err(AddressError::NoneFree { ip: CLAIM_ADDRESS, last })
    }

    /// Finds a free port of an address in this range. The search starts behind the port found last, so that
    /// a port is not handed out again while others are left.
    ///
    /// # Errors
    /// If the address cannot be bound, or none of its ports in this range is free.
    pub fn free_port(&self, ip: Ipv4Addr) -> Result<SocketAddr, AddressError> {
        let mut last = None;
        for _ in 0..PORTS_PER_RANGE {
            let offset = self.used.fetch_add(1, Ordering::Relaxed) % usize::from(PORTS_PER_RANGE);
            let addr = SocketAddr::from((ip, self.first + offset as u16));
            match TcpListener::bind(addr) {
                Ok(_) => return Ok(addr),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => last = Some(error),
                Err(source) => return Err(AddressError::Bind { addr, source }),
            }
        }
        Err(AddressError::NoneFree { ip, last })
    }
}

/// The range of this process, claimed at its first use.
static PORT_RANGE: Mutex<Option<PortRange>> = Mutex::new(None);

/// Finds a free port of an address in the range of this process.
///
/// # Errors
/// If no range can be claimed, the address cannot be bound, or none of its ports is free.
pub fn free_port(ip: Ipv4Addr) -> Result<SocketAddr, AddressError> {
    let mut range = PORT_RANGE.lock().unwrap_or_else(PoisonError::into_inner);
    let range = match &mut *range {
        Some(claimed) => claimed,
        unclaimed => unclaimed.insert(PortRange::claim()?),
    };
    range.free_port(ip)
}

/// Addresses of the servers, by relay and server. Each pair has its own address: a server can identify a
/// relay by the address that the relay connects to. Each address is bound once to check that it is free.
/// Supports at most 64 relays.
///
/// # Errors
/// If an address is not available.
pub fn endpoint_addresses(relays: usize, servers: usize) -> Result<Vec<Vec<SocketAddr>>, AddressError> {
    // The second byte identifies the relay (127.16 to 127.79), the other two identify the server. Other
    // sockets listen on lower addresses, such as 127.0.0.1.
    let address = |relay: usize, server: usize| {
        let ip = Ipv4Addr::new(127, 16 + relay as u8, (server / 250) as u8, (server % 250 + 1) as u8);
        free_port(ip)
    };
    (0..relays).map(|relay| (0..servers).map(|server| address(relay, server)).collect()).collect()
}
