//! Clients: each asks one relay for a session, keeps to the protocol or not, and writes down what it saw.
use crate::ledger::{Ending, Ledger, Session};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How a client leaves before it has its answer, if it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    Never,
    /// It closes both ways, or resets, so long after its line.
    Close(Duration),
    Reset(Duration),
}

/// One client's plan.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: u64,
    pub relay: usize,
    pub address: SocketAddr,
    pub listener: &'static str,
    pub wait: Duration,
    /// A client that came back after its session broke.
    pub returned: bool,
    /// Bytes in which its line goes out, with a pause behind each; none: whole.
    pub piece: Option<usize>,
    pub leave: Leave,
    /// How long its session lasts.
    pub life: Duration,
}

/// An answer may come so long after its time; then the client is sure that none comes.
pub const PATIENCE: Duration = Duration::from_millis(2_500);
const CONNECT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(10);
/// Between the lines of a session, and for a line's way back.
const BEAT: Duration = Duration::from_millis(300);
/// A relay that brings nothing back for so long has lost the session.
const SILENCE: Duration = Duration::from_secs(7);

/// What a client hears next.
enum Heard {
    Line(String),
    End(Ending),
    /// Nothing by then.
    Nothing,
}

struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Connection {
    fn hear(&mut self, by: Instant) -> Heard {
        loop {
            if let Some(end) = self.bytes.windows(2).position(|two| two == b"\r\n") {
                let line = self.bytes.drain(..end + 2).collect::<Vec<u8>>();
                return Heard::Line(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Heard::Nothing;
            }
            _ = self.stream.set_read_timeout(Some(left));
            let mut part = [0; 512];
            match self.stream.read(&mut part) {
                Ok(0) => return Heard::End(Ending::Closed),
                Ok(count) => self.bytes.extend_from_slice(&part[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Heard::End(Ending::Reset),
            }
        }
    }

    fn reset(&self) {
        _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Sends half a line, and waits for the end of the connection.
pub fn stop_half_way(relay: usize, address: SocketAddr, ledger: &Ledger) {
    /// Far beyond what it is owed.
    const AT_MOST: Duration = Duration::from_secs(5);
    let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT) else { return };
    let since = ledger.now();
    let mut connection = Connection { stream, bytes: Vec::new() };
    if connection.stream.write_all(b"OPEN 0123").is_err() {
        return;
    }
    let ended = match connection.hear(Instant::now() + AT_MOST) {
        // The error that it is owed, or the end.
        Heard::Line(_) | Heard::End(_) => Some(ledger.now()),
        Heard::Nothing => None,
    };
    ledger.write(|book| book.half_way.push((relay, since, ended)));
}

/// Plays one client to its end.
pub fn run(plan: &Plan, ledger: &Ledger) {
    let Ok(stream) = TcpStream::connect_timeout(&plan.address, CONNECT) else { return };
    _ = stream.set_nodelay(true);
    let mut connection = Connection { stream, bytes: Vec::new() };
    let again = if plan.returned { ",again=1" } else { "" };
    let wait = plan.wait.as_millis();
    let line = format!("OPEN {0:016x} {0:016x} c={1},d={wait}{again}\r\n", plan.id, plan.listener);
    let piece = plan.piece.unwrap_or(line.len());
    let pieces: Vec<&[u8]> = line.as_bytes().chunks(piece).collect();
    let (last, first) = pieces.split_last().expect("a line is not empty");
    for piece in first {
        if connection.stream.write_all(piece).is_err() {
            return;
        }
        std::thread::sleep(PAUSE);
    }
    // Before its last bytes, so that no backend hears of it first.
    let asked = ledger.now();
    let session = Session {
        relay: plan.relay,
        listener: plan.listener,
        asked,
        wait: plan.wait,
        answer: None,
        after_answer: 0,
        left: None,
        ended: None,
        moved: false,
        attempts: Vec::new(),
    };
    ledger.write(|book| _ = book.sessions.insert(plan.id, session));
    if connection.stream.write_all(last).is_err() {
        // It was not taken: nothing is owed.
        ledger.write(|book| _ = book.sessions.remove(&plan.id));
        return;
    }
    await_answer(&mut connection, plan, ledger);
}

fn await_answer(connection: &mut Connection, plan: &Plan, ledger: &Ledger) {
    let sent = Instant::now();
    let (after, by_reset) = match plan.leave {
        Leave::Never => (plan.wait + PATIENCE, None),
        Leave::Close(after) => (after, Some(false)),
        Leave::Reset(after) => (after, Some(true)),
    };
    let note = |change: &dyn Fn(&mut Session)| ledger.session(plan.id, change);
    match connection.hear(sent + after) {
        Heard::Line(line) => {
            let now = ledger.now();
            note(&|session| session.answer = Some((now, line.clone())));
            match line.starts_with("UP") {
                true => pass(connection, plan, ledger),
                false => finish(connection, plan, ledger),
            }
        }
        Heard::End(ending) => {
            let now = ledger.now();
            note(&|session| session.ended = Some((now, ending)));
        }
        Heard::Nothing => match by_reset {
            None => {
                let now = ledger.now();
                note(&|session| session.ended = Some((now, Ending::Silent)));
            }
            Some(by_reset) => {
                let now = ledger.now();
                note(&|session| session.left = Some(now));
                match by_reset {
                    true => connection.reset(),
                    false => _ = connection.stream.shutdown(Shutdown::Both),
                }
            }
        },
    }
}

/// After a final answer nothing may come but the end.
fn finish(connection: &mut Connection, plan: &Plan, ledger: &Ledger) {
    while let Heard::Line(_) = connection.hear(Instant::now() + PAUSE) {
        ledger.session(plan.id, |session| session.after_answer += 1);
    }
}

/// An open session: lines go out, and come back.
fn pass(connection: &mut Connection, plan: &Plan, ledger: &Ledger) {
    let over = Instant::now() + plan.life;
    let mut heard = Instant::now();
    while Instant::now() < over {
        if connection.stream.write_all(b"M 1\r\n").is_err() {
            // The end lies there to be read.
        }
        let beat = Instant::now() + BEAT;
        loop {
            match connection.hear(beat) {
                Heard::Line(line) if line == "MOVE" => {
                    ledger.session(plan.id, |session| session.moved = true)
                }
                Heard::Line(_) => heard = Instant::now(),
                Heard::End(ending) => {
                    let now = ledger.now();
                    return ledger.session(plan.id, |session| session.ended = Some((now, ending)));
                }
                Heard::Nothing => break,
            }
        }
        if heard.elapsed() > SILENCE {
            let now = ledger.now();
            return ledger.session(plan.id, |session| session.ended = Some((now, Ending::Silent)));
        }
    }
    let now = ledger.now();
    ledger.session(plan.id, |session| session.left = Some(now));
}
