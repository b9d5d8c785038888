//! Free addresses of 127.0.0.0/8.
use crate::clients::mix;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Ports that are searched for a free one. The system gives none of them to outgoing connections, so none is
/// taken while its server is down.
const FIRST_PORT: u64 = 10_000;
/// Number of those ports.
const PORT_COUNT: u64 = 20_000;

/// Why an address cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum AddressError {
    /// The system does not let the address be bound.
    #[error("{addr} cannot be listened on: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// All ports of an address are in use.
    #[error("no port of {ip} is free: {}", .last.as_ref().map(ToString::to_string).unwrap_or_default())]
    NoneFree {
        /// The address.
        ip: Ipv4Addr,
        /// The system's error for the last port.
        last: Option<io::Error>,
    },
    /// A relay's address on the emulated links cannot be bound.
    #[error("the ways between relays: {addr}: {source}")]
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

/// A free port of an address.
///
/// # Errors
/// Where the address cannot be bound, or none of its ports is free.
pub fn free_port(ip: Ipv4Addr) -> Result<SocketAddr, AddressError> {
    // Programs that run beside each other start their search at different ports.
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

/// Where servers listen, by relay and server: one address for each pair, so that each side knows the other
/// by it. All are bound once, to see that they are free. Up to 64 relays.
///
/// # Errors
/// Where an address cannot be had.
pub fn endpoint_addresses(relays: usize, servers: usize) -> Result<Vec<Vec<SocketAddr>>, AddressError> {
    // 127.16 to 127.79 are the relays' sides, apart from 127.0.0.1 where others listen.
    let address = |relay: usize, server: usize| {
        let ip = Ipv4Addr::new(127, 16 + relay as u8, (server / 250) as u8, (server % 250 + 1) as u8);
        free_port(ip)
    };
    (0..relays).map(|relay| (0..servers).map(|server| address(relay, server)).collect()).collect()
}
