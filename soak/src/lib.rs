//! A randomized fault soak: real relay processes on loopback, stand-ins of backends, discovery and clients,
//! troubles that overlap in time, and an oracle that knows nothing of the relays but what came over sockets.
pub mod backend;
pub mod client;
pub mod discovery;
pub mod faults;
pub mod ledger;
pub mod link;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod run;
pub mod trouble;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A bound socket at a loopback address that no other test of this machine takes meanwhile.
pub fn bound() -> TcpListener {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let [high, low] = number.to_be_bytes();
    let address = Ipv4Addr::new(127, 60 + (process % 160) as u8, high, low);
    TcpListener::bind((address, 0)).expect("a free port on loopback")
}

/// An address that nobody listens at.
pub fn free() -> SocketAddr {
    bound().local_addr().expect("a bound socket has an address")
}

/// The value behind a lock, whether or not another thread panicked with it.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
