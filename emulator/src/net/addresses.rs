//! Free addresses of 127.0.0.0/8.
use crate::clients::mix;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// First of the ports among which a free one is searched. The system assigns none of them to outgoing
/// connections, so that a server's port cannot be taken while the server is down.
const FIRST_PORT: u64 = 10_000;
/// Number of ports that are searched.
const PORT_COUNT: u64 = 20_000;

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

/// Finds a free port of an address.
///
/// # Errors
/// If the address cannot be bound, or none of its ports is free.
pub fn free_port(ip: Ipv4Addr) -> Result<SocketAddr, AddressError> {
    // The start of the search depends on the process id, so that programs that run at the same time search
    // different ports.
    let start = mix(u64::from(std::process::id()) << 32 | u64::from(u32::from(ip)));
    let mut last = None;
    for offset in 0..PORT_COUNT {
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        let addr = SocketAddr::from((ip, port as u16));
        match TcpListener::bind(addr) {
            Ok(_) => return Ok(addr),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => last = Some(error),
            Err(source) => return Err(AddressError::Bind { addr, source }),
        }
    }
    Err(AddressError::NoneFree { ip, last })
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
