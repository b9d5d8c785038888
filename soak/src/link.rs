//! A fault proxy on the way from relays to one backend: delays, stalls, drops, resets, half lines, single bytes.
use crate::ledger::{At, Ledger};
use crate::{bound, locked};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the way does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    #[default]
    Sound,
    /// Each piece takes longer, both ways.
    Delays,
    /// Nothing goes on while it lasts; what waits goes on behind it.
    Stalls,
    /// What comes is lost, and the connection stays open.
    Drops,
    /// Connections are reset as bytes come.
    Resets,
    /// Of what comes from the backend a half goes on, then a reset.
    HalfLines,
    /// One byte at a time.
    SingleBytes,
}

const DELAY: Duration = Duration::from_millis(40);
const POLL: Duration = Duration::from_millis(10);
const BETWEEN_BYTES: Duration = Duration::from_micros(300);

#[derive(Default)]
struct State {
    way: Way,
    /// When the first byte came from a relay, by the proxy's own address towards the backend.
    begun: HashMap<SocketAddr, At>,
}

/// The proxy of one backend.
#[derive(Clone)]
pub struct Link {
    /// What the list tells relays.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Link {
    pub fn start(backend: SocketAddr, ledger: Ledger, link: Arc<Mutex<Option<Link>>>) -> Link {
        let listener = bound();
        let address = listener.local_addr().expect("a bound socket has an address");
        let state = Arc::<Mutex<State>>::default();
        let made = Link { address, state: state.clone() };
        *locked(&link) = Some(made.clone());
        thread::spawn(move || accept(&listener, backend, &state, &ledger));
        made
    }

    pub fn set(&self, way: Way) {
        locked(&self.state).way = way;
    }

    /// When a relay began what came to the backend from an address.
    pub fn begun(&self, from: SocketAddr) -> Option<At> {
        locked(&self.state).begun.get(&from).copied()
    }
}

fn accept(listener: &TcpListener, backend: SocketAddr, state: &Arc<Mutex<State>>, ledger: &Ledger) {
    for relay in listener.incoming().flatten() {
        let Ok(server) = TcpStream::connect(backend) else { continue };
        let Ok(own) = server.local_addr() else { continue };
        for (from, to, first) in [(&relay, &server, true), (&server, &relay, false)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
            let (state, ledger) = (state.clone(), ledger.clone());
            thread::spawn(move || carry(from, to, first.then_some(own), &state, &ledger));
        }
    }
}

fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}

/// Carries bytes one way till its side ends. `own`: the proxy's address towards the backend, on the way there.
fn carry(mut from: TcpStream, to: TcpStream, own: Option<SocketAddr>, state: &Mutex<State>, ledger: &Ledger) {
    _ = to.set_nodelay(true);
    let mut bytes = [0; 2048];
    loop {
        let count = match from.read(&mut bytes) {
            Ok(count @ 1..) => count,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Ok(_) => {
                _ = to.shutdown(Shutdown::Write);
                return;
            }
            Err(_) => return reset(&to),
        };
        let now = ledger.now();
        let way = {
            let mut state = locked(state);
            if let Some(own) = own {
                state.begun.entry(own).or_insert(now);
            }
            state.way
        };
        if !pass_on(&bytes[..count], &to, way, own.is_none(), state) {
            reset(&from);
            return reset(&to);
        }
    }
}

/// False where the connection is to be reset.
fn pass_on(bytes: &[u8], mut to: &TcpStream, way: Way, from_backend: bool, state: &Mutex<State>) -> bool {
    match way {
        Way::Sound => {}
        Way::Delays => thread::sleep(DELAY),
        Way::Stalls => {
            while locked(state).way == Way::Stalls {
                thread::sleep(POLL);
            }
        }
        Way::Drops => return true,
        Way::Resets => return false,
        Way::HalfLines if from_backend => {
            _ = to.write_all(&bytes[..bytes.len() / 2]);
            return false;
        }
        Way::HalfLines => {}
        Way::SingleBytes => {
            return bytes.iter().all(|byte| {
                thread::sleep(BETWEEN_BYTES);
                to.write_all(&[*byte]).is_ok()
            });
        }
    }
    to.write_all(bytes).is_ok()
}
