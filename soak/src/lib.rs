//! A randomized fault-injection soak: real relay processes on loopback, emulated backends, discovery and
//! clients, faults that overlap in time, and an oracle that knows of the relays only what was observed over
//! sockets.
#![warn(missing_docs)]

pub mod backend;
pub mod client;
pub mod discovery;
pub mod faults;
pub mod harness;
pub mod lateness;
pub mod link;
pub mod observations;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod report;
pub mod schedule;
pub mod settings;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A listening socket at a loopback address that no other test on this machine uses.
pub fn listen_on_loopback() -> TcpListener {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let [high, low] = number.to_be_bytes();
    let address = Ipv4Addr::new(127, 60 + (process % 160) as u8, high, low);
    TcpListener::bind((address, 0)).expect("a free port on loopback")
}

/// An address that nobody listens at.
pub fn unused_address() -> SocketAddr {
    listen_on_loopback().local_addr().expect("a bound socket has an address")
}

/// The value behind a lock, whether or not another thread panicked with it.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
