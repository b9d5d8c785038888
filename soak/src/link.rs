//! A network link that may be faulty: a proxy between relays and one backend. It forwards data unchanged, or
//! delays, stalls, drops, truncates or splits the data, or resets the connections.
use crate::observations::{Recorder, Timestamp};
use crate::{listen_on_loopback, locked};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a link forwards bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    #[default]
    /// Forwards them unchanged.
    Normal,
    /// Forwards them after a delay, in both directions.
    Delays,
    /// Holds them back until the mode changes, then forwards them.
    Stalls,
    /// Discards them. The connection stays open.
    Drops,
    /// Resets the connection.
    Resets,
    /// Forwards the first half of a block from the backend, then resets the connection.
    Truncates,
    /// Forwards single bytes with a delay before each.
    SingleBytes,
}

/// Delay of each block of bytes with `LinkMode::Delays`.
const DELAY: Duration = Duration::from_millis(40);
/// Interval at which a stalled link checks whether its mode has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay before each byte with `LinkMode::SingleBytes`.
const BYTE_INTERVAL: Duration = Duration::from_micros(300);

#[derive(Default)]
struct State {
    mode: LinkMode,
    /// For each connection, the time at which the proxy received the first byte from the relay. The key is
    /// the address from which the proxy connected to the backend, which the backend knows too.
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
    /// Starts the proxy for a backend's address, and stores it in `link` before it accepts connections.
    pub fn start(backend: SocketAddr, recorder: Recorder, link: Arc<Mutex<Option<Link>>>) -> Link {
        let listener = listen_on_loopback();
        let address = listener.local_addr().expect("read the address of a bound socket");
        let state = Arc::<Mutex<State>>::default();
        let started = Link { address, state: state.clone() };
        *locked(&link) = Some(started.clone());
        thread::spawn(move || accept(&listener, backend, &state, &recorder));
        started
    }

    /// Changes how the link forwards bytes.
    pub fn set_mode(&self, mode: LinkMode) {
        locked(&self.state).mode = mode;
    }

    /// Returns when the first byte from a relay was received for the connection that the backend accepted
    /// from address `from`.
    pub fn first_byte_at(&self, from: SocketAddr) -> Option<Timestamp> {
        locked(&self.state).first_bytes.get(&from).copied()
    }
}

fn accept(listener: &TcpListener, backend: SocketAddr, state: &Arc<Mutex<State>>, recorder: &Recorder) {
    for relay_stream in listener.incoming().flatten() {
        let Ok(backend_stream) = TcpStream::connect(backend) else { continue };
        let Ok(local_address) = backend_stream.local_addr() else { continue };
        for (from, to, is_to_backend) in
            [(&relay_stream, &backend_stream, true), (&backend_stream, &relay_stream, false)]
        {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
            let (state, recorder) = (state.clone(), recorder.clone());
            thread::spawn(move || {
                forward_direction(from, to, is_to_backend.then_some(local_address), &state, &recorder)
            });
        }
    }
}

/// Resets a connection: with a linger time of 0, closing it sends RST.
fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}

/// Forwards bytes in one direction until the sender ends the connection. `local_address` is the address
/// from which the proxy connected to the backend. It is set only for the direction to the backend.
fn forward_direction(
    mut from: TcpStream,
    to: TcpStream,
    local_address: Option<SocketAddr>,
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
            if let Some(local_address) = local_address {
                state.first_bytes.entry(local_address).or_insert(now);
            }
            state.mode
        };
        if !forward_block(&bytes[..count], &to, mode, local_address.is_none(), state) {
            reset(&from);
            return reset(&to);
        }
    }
}

/// Forwards one block of bytes. Returns false if the caller must reset the connection.
fn forward_block(
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
