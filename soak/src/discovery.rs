//! An emulated discovery service. It serves the endpoint list according to the protocol: as the answer to a
//! request, or by a watch, an answer that stays open and reports changes. It listens at a separate address
//! for each relay, so that it can record what it sent to which relay, and when.
use crate::observations::{ListDelivery, Recorder};
use crate::{listen_on_loopback, locked};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How the service answers requests and watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    #[default]
    /// The service serves the list.
    Serves,
    /// Requests are reset, and open watches are closed.
    Down,
    /// Requests are answered with status 503, and open watches stay open.
    Rejects,
    /// Open watches stop sending. New watches are served.
    Silent,
    /// Answers are delayed by `SLOW_DELAY`.
    Slow,
}

/// Interval at which a watch checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which an idle watch sends an empty line.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The delay of a slow answer.
const SLOW_DELAY: Duration = Duration::from_secs(1);

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedBackend {
    /// The address at which relays connect.
    pub address: SocketAddr,
    /// Whether the backend is draining.
    pub draining: bool,
    /// Start time of the backend in Unix milliseconds. 0 means that it started long ago.
    pub started_ms: i64,
    /// Generation (version) of the list in which the entry last changed.
    generation: u64,
}

#[derive(Default)]
struct State {
    generation: u64,
    backends: Vec<ListedBackend>,
    mode: DiscoveryMode,
    /// Watches that were opened before this time send nothing.
    silent_before: Option<Instant>,
}

/// The discovery service.
#[derive(Clone)]
pub struct Discovery {
    /// The service's address for each relay.
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl Discovery {
    /// Starts the service with an empty list.
    pub fn start(relays: usize, recorder: &Recorder) -> Discovery {
        let state = Arc::<Mutex<State>>::default();
        let addresses = (0..relays).map(|relay| {
            let listener = listen_on_loopback();
            let address = listener.local_addr().expect("read the address of a bound socket");
            let (state, recorder) = (state.clone(), recorder.clone());
            thread::spawn(move || accept(&listener, relay, &state, &recorder));
            address
        });
        Discovery { addresses: addresses.collect(), state }
    }

    /// Adds a backend, or replaces the entry of the backend with this number.
    pub fn list_backend(&self, backend: usize, address: SocketAddr, draining: bool, started_ms: i64) {
        let mut state = locked(&self.state);
        state.generation += 1;
        let listed = ListedBackend { address, draining, started_ms, generation: state.generation };
        match state.backends.get_mut(backend) {
            Some(backend) => *backend = listed,
            None => state.backends.push(listed),
        }
    }

    /// Changes how the service answers requests and watches.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        let mut state = locked(&self.state);
        state.mode = mode;
        if mode == DiscoveryMode::Silent {
            state.silent_before = Some(Instant::now());
        }
    }

    /// Returns the complete list, for the setting `known` of a relay.
    pub fn complete_list(&self) -> Value {
        let state = locked(&self.state);
        list_since(&state, 0)
    }
}

/// Returns the list of the entries that changed after a generation.
fn list_since(state: &State, since: u64) -> Value {
    let changed = state.backends.iter().enumerate().filter(|(_, one)| one.generation > since);
    let entries: Vec<Value> = changed
        .map(|(number, one)| {
            json!({"instanceId": format!("s-{number}"), "hostPort": one.address.to_string(), "zone": "here",
                "machineType": "m", "cell": 0, "lifecycle": if one.draining { "draining" } else { "up" },
                "weight": 1.0, "startedAtMs": one.started_ms})
        })
        .collect();
    json!({"generation": state.generation, "reset": since == 0, "instances": entries})
}

fn accept(listener: &TcpListener, relay: usize, state: &Arc<Mutex<State>>, recorder: &Recorder) {
    for stream in listener.incoming().flatten() {
        let (state, recorder) = (state.clone(), recorder.clone());
        thread::spawn(move || serve(stream, relay, &state, &recorder));
    }
}

/// Reads a request and returns its path, or none if its head is not received completely.
fn read_path(stream: &mut TcpStream) -> Option<String> {
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

/// Answers one request. A path with `since=` requests a watch, each other path the complete list.
fn serve(mut stream: TcpStream, relay: usize, state: &Mutex<State>, recorder: &Recorder) {
    _ = stream.set_nodelay(true);
    let opened = Instant::now();
    let Some(path) = read_path(&mut stream) else { return };
    match locked(state).mode {
        DiscoveryMode::Down => {
            _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        DiscoveryMode::Rejects => {
            _ = stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
            return;
        }
        DiscoveryMode::Slow => thread::sleep(SLOW_DELAY),
        DiscoveryMode::Serves | DiscoveryMode::Silent => {}
    }
    if stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n").is_err() {
        return;
    }
    match path.split_once("since=").and_then(|(_, tail)| tail.parse().ok()) {
        None => _ = send_changes(&mut stream, relay, state, 0, recorder),
        Some(since) => watch(stream, relay, state, since, opened, recorder),
    }
}

/// Sends the entries that changed after a generation. Returns the generation of the list that was sent, or
/// none if the write fails.
fn send_changes(
    stream: &mut TcpStream,
    relay: usize,
    state: &Mutex<State>,
    since: u64,
    recorder: &Recorder,
) -> Option<u64> {
    let (text, generation, changes) = {
        let state = locked(state);
        let changed = state.backends.iter().enumerate().filter(|(_, one)| one.generation > since);
        let changes: Vec<(usize, bool)> = changed.map(|(number, one)| (number, one.draining)).collect();
        (list_since(&state, since).to_string() + "\n", state.generation, changes)
    };
    stream.write_all(text.as_bytes()).ok()?;
    let at = recorder.now();
    let delivery = |(backend, draining)| ListDelivery { relay, backend, draining, at };
    let deliveries = changes.into_iter().map(delivery);
    recorder.record(|observations| observations.list_deliveries.extend(deliveries));
    Some(generation)
}

/// Sends the changes of the list after the generation `since`, until the relay or a fault closes the watch.
fn watch(
    mut stream: TcpStream,
    relay: usize,
    state: &Mutex<State>,
    mut since: u64,
    opened: Instant,
    recorder: &Recorder,
) {
    let mut last_sent_at = Instant::now();
    loop {
        let (generation, mode, silent) = {
            let state = locked(state);
            (state.generation, state.mode, state.silent_before.is_some_and(|before| opened < before))
        };
        if mode == DiscoveryMode::Down {
            return;
        }
        if silent {
            // Keeps the watch open without sending, until the relay closes it.
            _ = stream.read(&mut [0; 16]);
            return;
        }
        if generation > since {
            let Some(sent) = send_changes(&mut stream, relay, state, since, recorder) else { return };
            since = sent;
            last_sent_at = Instant::now();
        }
        if last_sent_at.elapsed() >= KEEPALIVE_INTERVAL {
            if stream.write_all(b"\n").is_err() {
                return;
            }
            last_sent_at = Instant::now();
        }
        thread::sleep(POLL_INTERVAL);
    }
}
