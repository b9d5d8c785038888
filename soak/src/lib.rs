//! Randomized fault-injection soak test. It runs real relay processes on loopback with emulated backends,
//! discovery and clients, injects faults that overlap in time, and checks the run with an oracle that uses
//! only what was observed over sockets and of the processes' exits.
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

/// Opens a listening socket at a loopback address that no other test on this machine uses.
pub fn listen_on_loopback() -> TcpListener {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let [high, low] = number.to_be_bytes();
    let address = Ipv4Addr::new(127, 60 + (process % 160) as u8, high, low);
    TcpListener::bind((address, 0)).expect("bind a free port on loopback")
}

/// Returns a loopback address without a listening socket.
pub fn unused_address() -> SocketAddr {
    listen_on_loopback().local_addr().expect("read the address of a bound socket")
}

/// Locks a mutex, also if another thread has panicked while holding it.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
