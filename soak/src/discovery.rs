//! A stand-in of the list service, after the protocol's page: one address for each relay, so that what was
//! told to which relay, and when, is known.
use crate::ledger::{Ledger, Told};
use crate::{bound, locked};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How it answers calls and watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Serves,
    /// Calls are reset, and open watches ended.
    Down,
    /// Calls are answered 503, and open watches stay.
    Turns,
    /// Open watches say nothing any more, for ever; new ones are served.
    Silences,
    /// Answers come a second late.
    Slow,
}

/// How often a watch looks for changes, and how often it says that it lives.
const LOOK: Duration = Duration::from_millis(5);
const EMPTY_LINE: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_secs(1);

/// A backend as it is listed.
#[derive(Clone, Debug)]
pub struct Listed {
    pub address: SocketAddr,
    pub draining: bool,
    /// Unix time in milliseconds; 0 is long ago.
    pub started_ms: i64,
    /// The version in which it changed last.
    generation: u64,
}

#[derive(Default)]
struct State {
    generation: u64,
    listed: Vec<Listed>,
    mode: Mode,
    /// Watches that were opened before this stay silent.
    silent_before: Option<Instant>,
}

/// The service, at an address for each relay.
#[derive(Clone)]
pub struct Discovery {
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    pub fn start(relays: usize, ledger: &Ledger) -> Discovery {
        let state = Arc::<Mutex<State>>::default();
        let addresses = (0..relays).map(|relay| {
            let listener = bound();
            let address = listener.local_addr().expect("a bound socket has an address");
            let (state, ledger) = (state.clone(), ledger.clone());
            thread::spawn(move || accept(&listener, relay, &state, &ledger));
            address
        });
        Discovery { addresses: addresses.collect(), state }
    }

    /// Adds a backend, or changes the one at this place of the list.
    pub fn list(&self, backend: usize, address: SocketAddr, draining: bool, started_ms: i64) {
        let mut state = locked(&self.state);
        state.generation += 1;
        let listed = Listed { address, draining, started_ms, generation: state.generation };
        match state.listed.get_mut(backend) {
            Some(place) => *place = listed,
            None => state.listed.push(listed),
        }
    }

    pub fn set_mode(&self, mode: Mode) {
        let mut state = locked(&self.state);
        state.mode = mode;
        if mode == Mode::Silences {
            state.silent_before = Some(Instant::now());
        }
    }

    /// The whole list as it is now, as a relay's `known`.
    pub fn whole(&self) -> Value {
        let state = locked(&self.state);
        value(&state, 0)
    }
}

fn value(state: &State, since: u64) -> Value {
    let changed = state.listed.iter().enumerate().filter(|(_, one)| one.generation > since);
    let entries: Vec<Value> = changed
        .map(|(number, one)| {
            json!({"instanceId": format!("s-{number}"), "hostPort": one.address.to_string(), "zone": "here",
                "machineType": "m", "cell": 0, "lifecycle": if one.draining { "draining" } else { "up" },
                "weight": 1.0, "startedAtMs": one.started_ms})
        })
        .collect();
    json!({"generation": state.generation, "reset": since == 0, "instances": entries})
}

fn accept(listener: &TcpListener, relay: usize, state: &Arc<Mutex<State>>, ledger: &Ledger) {
    for stream in listener.incoming().flatten() {
        let (state, ledger) = (state.clone(), ledger.clone());
        thread::spawn(move || serve(stream, relay, &state, &ledger));
    }
}

/// The path of a call; none where its head does not come whole.
fn path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut part = [0; 512];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut part) {
            Ok(count @ 1..) => head.extend_from_slice(&part[..count]),
            _ => return None,
        }
    }
    String::from_utf8_lossy(&head).split(' ').nth(1).map(str::to_string)
}

fn serve(mut stream: TcpStream, relay: usize, state: &Mutex<State>, ledger: &Ledger) {
    _ = stream.set_nodelay(true);
    let opened = Instant::now();
    let Some(path) = path(&mut stream) else { return };
    match locked(state).mode {
        Mode::Down => {
            _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        Mode::Turns => {
            _ = stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
            return;
        }
        Mode::Slow => thread::sleep(LATE),
        Mode::Serves | Mode::Silences => {}
    }
    if stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n").is_err() {
        return;
    }
    match path.split_once("since=").and_then(|(_, tail)| tail.parse().ok()) {
        None => _ = tell(&mut stream, relay, state, 0, ledger),
        Some(since) => watch(stream, relay, state, since, opened, ledger),
    }
}

/// Writes what changed since a version, and returns the version told; none where it can't be written.
fn tell(
    stream: &mut TcpStream,
    relay: usize,
    state: &Mutex<State>,
    since: u64,
    ledger: &Ledger,
) -> Option<u64> {
    let (text, generation, told) = {
        let state = locked(state);
        let changed = state.listed.iter().enumerate().filter(|(_, one)| one.generation > since);
        let told: Vec<(usize, bool)> = changed.map(|(number, one)| (number, one.draining)).collect();
        (value(&state, since).to_string() + "\n", state.generation, told)
    };
    stream.write_all(text.as_bytes()).ok()?;
    let at = ledger.now();
    let told = told.into_iter().map(|(backend, draining)| Told { relay, backend, draining, at });
    ledger.write(|book| book.told.extend(told));
    Some(generation)
}

fn watch(
    mut stream: TcpStream,
    relay: usize,
    state: &Mutex<State>,
    mut since: u64,
    opened: Instant,
    ledger: &Ledger,
) {
    let mut spoke = Instant::now();
    loop {
        let (generation, mode, silent) = {
            let state = locked(state);
            (state.generation, state.mode, state.silent_before.is_some_and(|before| opened < before))
        };
        if mode == Mode::Down {
            return;
        }
        if silent {
            // It stays open and says nothing, till its peer ends it.
            _ = stream.read(&mut [0; 16]);
            return;
        }
        if generation > since {
            let Some(told) = tell(&mut stream, relay, state, since, ledger) else { return };
            (since, spoke) = (told, Instant::now());
        }
        if spoke.elapsed() >= EMPTY_LINE {
            if stream.write_all(b"\n").is_err() {
                return;
            }
            spoke = Instant::now();
        }
        thread::sleep(LOOK);
    }
}
