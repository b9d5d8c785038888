//! A faulty link: a proxy between relays and one backend that delays, stalls, drops, resets, truncates or
//! splits what passes through it.
use crate::observations::{Recorder, Timestamp};
use crate::{listen_on_loopback, locked};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    #[default]
    /// Passes them on.
    Normal,
    /// Passes them on after a delay, in both directions.
    Delays,
    /// Holds them back until the mode changes.
    Stalls,
    /// Loses them; the connection stays open.
    Drops,
    /// Resets the connection.
    Resets,
    /// Passes on half of what a backend sends, then resets the connection.
    Truncates,
    /// Passes on single bytes.
    SingleBytes,
}

const DELAY: Duration = Duration::from_millis(40);
/// How often a stalled link looks whether it goes on.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const BYTE_INTERVAL: Duration = Duration::from_micros(300);

#[derive(Default)]
struct State {
    mode: LinkMode,
    /// When the first byte of a connection was received from a relay, by the proxy's own address towards the
    /// backend.
    first_bytes: HashMap<SocketAddr, Timestamp>,
}

/// The link to one backend.
#[derive(Clone)]
pub struct Link {
    /// The address at which relays connect.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Link {
    /// Starts the proxy of a backend's address, and makes it known in `link`.
    pub fn start(backend: SocketAddr, recorder: Recorder, link: Arc<Mutex<Option<Link>>>) -> Link {
        let listener = listen_on_loopback();
        let address = listener.local_addr().expect("a bound socket has an address");
        let state = Arc::<Mutex<State>>::default();
        let started = Link { address, state: state.clone() };
        *locked(&link) = Some(started.clone());
        thread::spawn(move || accept(&listener, backend, &state, &recorder));
        started
    }

    /// Changes what the link does.
    pub fn set_mode(&self, mode: LinkMode) {
        locked(&self.state).mode = mode;
    }

    /// When the first byte of a connection was received from a relay, by the address that the backend sees.
    pub fn first_byte_at(&self, from: SocketAddr) -> Option<Timestamp> {
        locked(&self.state).first_bytes.get(&from).copied()
    }
}

fn accept(listener: &TcpListener, backend: SocketAddr, state: &Arc<Mutex<State>>, recorder: &Recorder) {
    for relay in listener.incoming().flatten() {
        let Ok(server) = TcpStream::connect(backend) else { continue };
        let Ok(own) = server.local_addr() else { continue };
        for (from, to, first) in [(&relay, &server, true), (&server, &relay, false)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
            let (state, recorder) = (state.clone(), recorder.clone());
            thread::spawn(move || pass_all(from, to, first.then_some(own), &state, &recorder));
        }
    }
}

fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}

/// Passes on bytes in one direction until its side ends. `own` is the proxy's address towards the backend,
/// where the bytes go there.
fn pass_all(
    mut from: TcpStream,
    to: TcpStream,
    own: Option<SocketAddr>,
    state: &Mutex<State>,
    recorder: &Recorder,
) {
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
        let now = recorder.now();
        let mode = {
            let mut state = locked(state);
            if let Some(own) = own {
                state.first_bytes.entry(own).or_insert(now);
            }
            state.mode
        };
        if !pass_on(&bytes[..count], &to, mode, own.is_none(), state) {
            reset(&from);
            return reset(&to);
        }
    }
}

/// Passes on some bytes. Returns false where the connection is to be reset.
fn pass_on(
    bytes: &[u8],
    mut to: &TcpStream,
    mode: LinkMode,
    from_backend: bool,
    state: &Mutex<State>,
) -> bool {
    match mode {
        LinkMode::Normal => {}
        LinkMode::Delays => thread::sleep(DELAY),
        LinkMode::Stalls => {
            while locked(state).mode == LinkMode::Stalls {
                thread::sleep(POLL_INTERVAL);
            }
        }
        LinkMode::Drops => return true,
        LinkMode::Resets => return false,
        LinkMode::Truncates if from_backend => {
            _ = to.write_all(&bytes[..bytes.len() / 2]);
            return false;
        }
        LinkMode::Truncates => {}
        LinkMode::SingleBytes => {
            return bytes.iter().all(|byte| {
                thread::sleep(BYTE_INTERVAL);
                to.write_all(&[*byte]).is_ok()
            });
        }
    }
    to.write_all(bytes).is_ok()
}
