//! A backend's stand-in, after the protocol's page: takes sessions and echoes their lines, or behaves as a
//! trouble says.
use crate::ledger::{Attempt, Ledger, Outcome};
use crate::link::Link;
use crate::{bound, locked};
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
    Serves,
    /// Reads, and says nothing.
    Hangs,
    /// Resets as the line has come.
    Resets,
    /// Turns all away: nothing runs.
    Busy,
    /// Answers with an error: it may have run.
    Errs,
    /// Answers `UP` byte by byte.
    Trickles,
    /// Ends the connection in the middle of its answer.
    HalfAnswers,
    /// Takes the session, and resets it a moment later.
    DropsLater,
}

/// Between the bytes of an answer that comes bit by bit.
const TRICKLE: Duration = Duration::from_millis(20);
/// From `UP` to a drop.
const DROP_AFTER: Duration = Duration::from_millis(150);
/// Sessions that fill a backend, for the load that it reports.
const CAPACITY: f64 = 40.0;
const MOST_LINE: usize = 4_098;

struct Shared {
    number: usize,
    ledger: Ledger,
    behaviour: Mutex<Behaviour>,
    open: AtomicU32,
    /// The proxy before it.
    link: Arc<Mutex<Option<Link>>>,
    /// Connections with a session, to break them.
    streams: Mutex<Vec<(u64, TcpStream)>>,
}

/// A running backend.
#[derive(Clone)]
pub struct Backend {
    /// That of the proxy before it, which the list tells.
    pub address: SocketAddr,
    pub link: Link,
    shared: Arc<Shared>,
}

impl Backend {
    pub fn start(number: usize, ledger: Ledger) -> Backend {
        let listener = bound();
        let address = listener.local_addr().expect("a bound socket has an address");
        let shared = Arc::new(Shared {
            number,
            ledger,
            behaviour: Mutex::default(),
            open: AtomicU32::new(0),
            link: Arc::default(),
            streams: Mutex::default(),
        });
        let serving = shared.clone();
        thread::spawn(move || accept(&listener, &serving));
        let link = Link::start(address, shared.ledger.clone(), shared.link.clone());
        Backend { address: link.address, link, shared }
    }

    /// For sessions that come from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        *locked(&self.shared.behaviour) = behaviour;
    }

    /// Breaks the connections of all its sessions by resets.
    pub fn reset_all(&self) {
        for (_, stream) in locked(&self.shared.streams).drain(..) {
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

/// Lines of a connection, with the moment in which each began.
struct Lines<'a> {
    stream: &'a TcpStream,
    bytes: Vec<u8>,
}

impl Lines<'_> {
    /// The next line without its end; `begun` hears of its first byte. None at the end.
    fn next(&mut self, mut begun: impl FnMut(&[u8])) -> Option<String> {
        loop {
            if !self.bytes.is_empty() {
                begun(&self.bytes);
            }
            if let Some(end) = self.bytes.windows(2).position(|two| two == b"\r\n") {
                let line = self.bytes.drain(..end + 2).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let mut part = [0; 512];
            match self.stream.read(&mut part) {
                Ok(count @ 1..) if self.bytes.len() < MOST_LINE => {
                    self.bytes.extend_from_slice(&part[..count])
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
        let line = lines.next(|_| _ = first_byte.get_or_insert_with(|| shared.ledger.now()));
        let (Some(line), Some(begun)) = (line, first_byte) else { return };
        // On a way that delays, a relay began before.
        let link = locked(&shared.link).clone();
        let at_the_proxy = || link?.begun(stream.peer_addr().ok()?);
        let begun = at_the_proxy().map_or(begun, |earlier| earlier.min(begun));
        match line.split(' ').next() {
            Some("STATS") => {
                let open = f64::from(shared.open.load(Ordering::Relaxed));
                let report = format!("PONG inflight={open},x0={:.3},x1=0.0\r\n", open / CAPACITY);
                if stream.write_all(report.as_bytes()).is_err() {
                    return;
                }
            }
            Some("OPEN") => return open(stream, &mut lines, &line, begun, shared),
            _ => return,
        }
    }
}

fn open(mut stream: TcpStream, lines: &mut Lines<'_>, line: &str, begun: Duration, shared: &Shared) {
    let id = line.split(' ').nth(1).and_then(|word| u64::from_str_radix(word, 16).ok()).unwrap_or(0);
    let (ledger, whole) = (&shared.ledger, shared.ledger.now());
    let attempt = Attempt { backend: shared.number, begun, whole: Some(whole), outcome: None, ended: None };
    let number = ledger.begin_attempt(id, attempt);
    let behaviour = *locked(&shared.behaviour);
    let outcome = match behaviour {
        Behaviour::Serves | Behaviour::Trickles | Behaviour::DropsLater => Outcome::Up,
        Behaviour::Busy => Outcome::Busy,
        Behaviour::Hangs | Behaviour::Resets | Behaviour::Errs | Behaviour::HalfAnswers => Outcome::Unknown,
    };
    ledger.attempt(id, number, |attempt| attempt.outcome = Some(outcome));
    shared.open.fetch_add(1, Ordering::Relaxed);
    answer(&mut stream, lines, id, behaviour, shared);
    shared.open.fetch_sub(1, Ordering::Relaxed);
    locked(&shared.streams).retain(|kept| kept.0 != id);
    ledger.attempt(id, number, |attempt| attempt.ended = Some(ledger.now()));
}

/// Answers a session's line, and serves it to its end.
fn answer(stream: &mut TcpStream, lines: &mut Lines<'_>, id: u64, behaviour: Behaviour, shared: &Shared) {
    let said: &[u8] = match behaviour {
        Behaviour::Serves | Behaviour::DropsLater => b"UP r1\r\n",
        Behaviour::Trickles => {
            for byte in b"UP r1\r\n" {
                thread::sleep(TRICKLE);
                if stream.write_all(&[*byte]).is_err() {
                    return;
                }
            }
            b""
        }
        Behaviour::Hangs => b"",
        Behaviour::Resets => return reset(stream),
        Behaviour::Busy => b"BUSY\r\n",
        Behaviour::Errs => b"ERR\r\n",
        Behaviour::HalfAnswers => b"UP r",
    };
    let serves = matches!(behaviour, Behaviour::Serves | Behaviour::Trickles | Behaviour::DropsLater);
    if stream.write_all(said).is_err() || !serves && behaviour != Behaviour::Hangs {
        return;
    }
    if behaviour == Behaviour::DropsLater {
        thread::sleep(DROP_AFTER);
        return reset(stream);
    }
    if let Ok(kept) = stream.try_clone() {
        locked(&shared.streams).push((id, kept));
    }
    while let Some(line) = lines.next(|_| {}) {
        if behaviour != Behaviour::Hangs && stream.write_all(format!("{line}\r\n").as_bytes()).is_err() {
            return;
        }
    }
}
