//! An emulated backend: it accepts sessions as the protocol says and echoes their lines, or misbehaves.
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

/// What a backend does with new sessions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    #[default]
    /// Accepts them.
    Serves,
    /// Reads, and answers nothing.
    Hangs,
    /// Resets the connection once the line is received.
    Resets,
    /// Rejects them: nothing runs.
    Rejects,
    /// Answers with an error: they may have run.
    Fails,
    /// Answers `UP` byte by byte.
    Trickles,
    /// Ends the connection in the middle of its answer.
    TruncatesAnswer,
    /// Accepts the session, and resets it a moment later.
    ResetsLater,
}

/// Between the bytes of an answer that is written byte by byte.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);
/// From `UP` to a later reset.
const RESET_DELAY: Duration = Duration::from_millis(150);
/// Sessions that fill a backend, for the load that it reports.
const CAPACITY: f64 = 40.0;
/// The longest line, in bytes with its end.
const MAX_LINE_BYTES: usize = 4_098;

struct Shared {
    number: usize,
    recorder: Recorder,
    behaviour: Mutex<Behaviour>,
    open_sessions: AtomicU32,
    /// The link before it, once it is started.
    link: Arc<Mutex<Option<Link>>>,
    /// Connections of open sessions by the sessions' ids, to break them.
    connections: Mutex<Vec<(u64, TcpStream)>>,
}

/// A running backend.
#[derive(Clone)]
pub struct Backend {
    /// The address of the link before it, which is listed.
    pub address: SocketAddr,
    /// The link before it.
    pub link: Link,
    shared: Arc<Shared>,
}

impl Backend {
    /// Starts a backend with its link.
    pub fn start(number: usize, recorder: Recorder) -> Backend {
        let listener = listen_on_loopback();
        let address = listener.local_addr().expect("a bound socket has an address");
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

    /// Changes what it does with sessions from now on.
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
    /// The next line without its end; none at the end of the connection. Calls `on_bytes` once the first
    /// bytes of the line are there, and again with more.
    fn next(&mut self, mut on_bytes: impl FnMut(&[u8])) -> Option<String> {
        loop {
            if !self.bytes.is_empty() {
                on_bytes(&self.bytes);
            }
            if let Some(end) = self.bytes.windows(2).position(|two| two == b"\r\n") {
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

fn serve(mut stream: TcpStream, shared: &Shared) {
    _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut lines = Lines { stream: &reading, bytes: Vec::new() };
    loop {
        let mut first_byte = None;
        let line = lines.next(|_| _ = first_byte.get_or_insert_with(|| shared.recorder.now()));
        let (Some(line), Some(started_at)) = (line, first_byte) else { return };
        // The link may have received the first byte earlier.
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

/// Handles a session from its first line to its end.
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

/// Answers a session's first line, and echoes its lines until its end.
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
