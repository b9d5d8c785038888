//! An emulated backend. It accepts sessions according to the protocol and echoes their lines, or simulates a
//! faulty backend. Relays reach it through a link (`link`), which can simulate faults of the network.
use crate::link::Link;
use crate::observations::{Attempt, AttemptOutcome, Recorder, Timestamp};
use crate::{listen_on_loopback, locked};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a backend treats new sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    #[default]
    /// Accepts the session.
    Serves,
    /// Reads lines but sends no answer.
    Hangs,
    /// Resets the connection when the first line has been received.
    Resets,
    /// Rejects the session with `BUSY`. The request does not run.
    Rejects,
    /// Answers with `ERR`. The request may have run.
    Fails,
    /// Answers `UP` byte by byte.
    Trickles,
    /// Closes the connection in the middle of its answer.
    TruncatesAnswer,
    /// Accepts the session, and resets the connection after `RESET_DELAY`.
    ResetsLater,
}

/// Delay before each byte of an answer that is written byte by byte.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);
/// Delay from `UP` to the reset.
const RESET_DELAY: Duration = Duration::from_millis(150);
/// Number of sessions that use a backend's full capacity. The reported load is relative to it.
const CAPACITY: f64 = 40.0;
/// Maximum length of a line in bytes, including its line end.
const MAX_LINE_BYTES: usize = 4_098;

struct Shared {
    number: usize,
    recorder: Recorder,
    behaviour: Mutex<Behaviour>,
    open_sessions: AtomicU32,
    /// The link between relays and this backend; `None` until the link has been started.
    link: Arc<Mutex<Option<Link>>>,
    /// Connections of open sessions, which `reset_sessions` resets, with the ids of the sessions.
    connections: Mutex<Vec<(u64, TcpStream)>>,
}

/// A running backend.
#[derive(Clone)]
pub struct Backend {
    /// The address of the backend's link, which the endpoint list contains.
    pub address: SocketAddr,
    /// The link between relays and this backend.
    pub link: Link,
    shared: Arc<Shared>,
}

impl Backend {
    /// Starts a backend and its link.
    pub fn start(number: usize, recorder: Recorder) -> Backend {
        let listener = listen_on_loopback();
        let address = listener.local_addr().expect("read the address of a bound socket");
        let shared = Arc::new(Shared {
            number,
            recorder,
            behaviour: Mutex::default(),
            open_sessions: AtomicU32::new(0),
            link: Arc::default(),
            connections: Mutex::default(),
        });
        let serving = shared.clone();
        thread::spawn(move || accept(&listener, &serving));
        let link = Link::start(address, shared.recorder.clone(), shared.link.clone());
        Backend { address: link.address, link, shared }
    }

    /// Changes how the backend treats new sessions.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *locked(&self.shared.behaviour) = behaviour;
    }

    /// Resets the connections of all open sessions.
    pub fn reset_sessions(&self) {
        for (_, stream) in locked(&self.shared.connections).drain(..) {
            reset(&stream);
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming().flatten() {
        let shared = shared.clone();
        thread::spawn(move || serve(stream, &shared));
    }
}

/// Resets a connection: with a linger time of 0, closing it sends RST.
fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}

/// Reads the lines of a connection.
struct Lines<'a> {
    stream: &'a TcpStream,
    bytes: Vec<u8>,
}

impl Lines<'_> {
    /// Returns the next line without its line end, or none at the end of the connection or if the line is
    /// too long. Calls `on_bytes` with the bytes of the line so far when the first have arrived, and after
    /// each further read.
    fn next(&mut self, mut on_bytes: impl FnMut(&[u8])) -> Option<String> {
        loop {
            if !self.bytes.is_empty() {
                on_bytes(&self.bytes);
            }
            if let Some(end) = self.bytes.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.bytes.drain(..end + 2).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let mut chunk = [0; 512];
            match self.stream.read(&mut chunk) {
                Ok(count @ 1..) if self.bytes.len() < MAX_LINE_BYTES => {
                    self.bytes.extend_from_slice(&chunk[..count])
                }
                _ => return None,
            }
        }
    }
}

/// Answers the probes (`STATS`) of a connection, or serves its session (`OPEN`).
fn serve(mut stream: TcpStream, shared: &Shared) {
    _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut lines = Lines { stream: &reading, bytes: Vec::new() };
    loop {
        let mut first_byte = None;
        let line = lines.next(|_| _ = first_byte.get_or_insert_with(|| shared.recorder.now()));
        let (Some(line), Some(started_at)) = (line, first_byte) else { return };
        // If the link received the first byte earlier, the attempt started then.
        let link = locked(&shared.link).clone();
        let at_link = || link?.first_byte_at(stream.peer_addr().ok()?);
        let started_at = at_link().map_or(started_at, |earlier| earlier.min(started_at));
        match line.split(' ').next() {
            Some("STATS") => {
                let open = f64::from(shared.open_sessions.load(Ordering::Relaxed));
                let report = format!("PONG inflight={open},x0={:.3},x1=0.0\r\n", open / CAPACITY);
                if stream.write_all(report.as_bytes()).is_err() {
                    return;
                }
            }
            Some("OPEN") => return open_session(stream, &mut lines, &line, started_at, shared),
            _ => return,
        }
    }
}

/// Handles a session from its first line to the end of its connection.
fn open_session(
    mut stream: TcpStream,
    lines: &mut Lines<'_>,
    line: &str,
    started_at: Timestamp,
    shared: &Shared,
) {
    let id = line.split(' ').nth(1).and_then(|word| u64::from_str_radix(word, 16).ok()).unwrap_or(0);
    let recorder = &shared.recorder;
    let attempt = Attempt {
        backend: shared.number,
        started_at,
        received_at: Some(recorder.now()),
        outcome: None,
        ended_at: None,
    };
    let number = recorder.add_attempt(id, attempt);
    let behaviour = *locked(&shared.behaviour);
    let outcome = match behaviour {
        Behaviour::Serves | Behaviour::Trickles | Behaviour::ResetsLater => AttemptOutcome::Accepted,
        Behaviour::Rejects => AttemptOutcome::Rejected,
        Behaviour::Hangs | Behaviour::Resets | Behaviour::Fails | Behaviour::TruncatesAnswer => {
            AttemptOutcome::Unknown
        }
    };
    recorder.record_attempt(id, number, |attempt| attempt.outcome = Some(outcome));
    shared.open_sessions.fetch_add(1, Ordering::Relaxed);
    answer(&mut stream, lines, id, behaviour, shared);
    shared.open_sessions.fetch_sub(1, Ordering::Relaxed);
    locked(&shared.connections).retain(|(session, _)| *session != id);
    recorder.record_attempt(id, number, |attempt| attempt.ended_at = Some(recorder.now()));
}

/// Answers a session's first line, and echoes further lines until the connection ends.
fn answer(stream: &mut TcpStream, lines: &mut Lines<'_>, id: u64, behaviour: Behaviour, shared: &Shared) {
    let answer: &[u8] = match behaviour {
        Behaviour::Serves | Behaviour::ResetsLater => b"UP r1\r\n",
        Behaviour::Trickles => {
            for byte in b"UP r1\r\n" {
                thread::sleep(TRICKLE_INTERVAL);
                if stream.write_all(&[*byte]).is_err() {
                    return;
                }
            }
            b""
        }
        Behaviour::Hangs => b"",
        Behaviour::Resets => return reset(stream),
        Behaviour::Rejects => b"BUSY\r\n",
        Behaviour::Fails => b"ERR\r\n",
        Behaviour::TruncatesAnswer => b"UP r",
    };
    let serves = matches!(behaviour, Behaviour::Serves | Behaviour::Trickles | Behaviour::ResetsLater);
    if stream.write_all(answer).is_err() || !serves && behaviour != Behaviour::Hangs {
        return;
    }
    if behaviour == Behaviour::ResetsLater {
        thread::sleep(RESET_DELAY);
        return reset(stream);
    }
    if let Ok(connection) = stream.try_clone() {
        locked(&shared.connections).push((id, connection));
    }
    while let Some(line) = lines.next(|_| {}) {
        if behaviour != Behaviour::Hangs && stream.write_all(format!("{line}\r\n").as_bytes()).is_err() {
            return;
        }
    }
}
