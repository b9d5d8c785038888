//! Clients: each requests a session of one relay, keeps to the protocol or not, and records what it observes.
use crate::observations::{Answer, ConnectionEnd, PartialRequest, Recorder, Session, SessionEnd};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Whether and how a client cancels before it has its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// It waits for its answer.
    Never,
    /// It closes the connection so long after its request.
    Close(Duration),
    /// It resets the connection so long after its request.
    Reset(Duration),
}

/// What one client does.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// The session's id.
    pub id: u64,
    /// The relay.
    pub relay: usize,
    /// The relay's address.
    pub address: SocketAddr,
    /// The listener that it names.
    pub listener: &'static str,
    /// The time within which it wants an answer.
    pub timeout: Duration,
    /// It reconnects after a session that broke.
    pub reconnects: bool,
    /// The number of bytes in which its request is sent, with a pause after each; none for all at once.
    pub piece_bytes: Option<usize>,
    /// Whether it cancels.
    pub cancellation: Cancellation,
    /// The length of its session.
    pub session_length: Duration,
}

/// So long after its deadline a client is sure that no answer comes.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(2_500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Between the pieces of a request, and for what may follow a final answer.
const PAUSE: Duration = Duration::from_millis(10);
/// Between the lines of a session.
const LINE_INTERVAL: Duration = Duration::from_millis(300);
/// A relay that passes nothing on for so long has lost the session.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(7);
/// A client that stopped in the middle of its line waits so long, far beyond the relay's limit.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// What a client receives next.
enum Received {
    Line(String),
    End(ConnectionEnd),
    /// Nothing in time.
    Nothing,
}

struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    fn open(address: &SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(address, CONNECT_TIMEOUT).ok()?;
        Some(Connection { stream, buffer: Vec::new() })
    }

    fn receive(&mut self, deadline: Instant) -> Received {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Received::Line(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Received::Nothing;
            }
            _ = self.stream.set_read_timeout(Some(remaining));
            let mut chunk = [0; 512];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Received::End(ConnectionEnd::Closed),
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(e) if is_transient(e.kind()) => {}
                Err(_) => return Received::End(ConnectionEnd::Reset),
            }
        }
    }

    /// The connection is reset once it is dropped.
    fn reset_on_drop(&self) {
        _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

fn is_transient(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// Sends half a line, and waits for the end of the connection.
pub fn send_partial_request(relay: usize, address: SocketAddr, recorder: &Recorder) {
    let Some(mut connection) = Connection::open(&address) else { return };
    let since = recorder.now();
    if connection.stream.write_all(b"OPEN 0123").is_err() {
        return;
    }
    let ended_at = match connection.receive(Instant::now() + PARTIAL_REQUEST_TIMEOUT) {
        // An error line counts as the end.
        Received::Line(_) | Received::End(_) => Some(recorder.now()),
        Received::Nothing => None,
    };
    let request = PartialRequest { relay, since, ended_at };
    recorder.record(|observations| observations.partial_requests.push(request));
}

/// Runs one client to its end.
pub fn run(plan: &ClientPlan, recorder: &Recorder) {
    let Some(mut connection) = Connection::open(&plan.address) else { return };
    _ = connection.stream.set_nodelay(true);
    let line = request_line(plan);
    let pieces: Vec<&[u8]> = line.as_bytes().chunks(plan.piece_bytes.unwrap_or(line.len())).collect();
    let Some((last, first)) = pieces.split_last() else { return };
    for piece in first {
        if connection.stream.write_all(piece).is_err() {
            return;
        }
        std::thread::sleep(PAUSE);
    }
    // Recorded before the last bytes are sent, so that no backend observes the session first.
    record_request(plan, recorder);
    if connection.stream.write_all(last).is_err() {
        // The request was not accepted: no answer is owed.
        recorder.record(|observations| _ = observations.sessions.remove(&plan.id));
        return;
    }
    await_answer(&mut connection, plan, recorder);
}

fn request_line(plan: &ClientPlan) -> String {
    let reconnect = if plan.reconnects { ",again=1" } else { "" };
    let timeout = plan.timeout.as_millis();
    format!("OPEN {0:016x} {0:016x} c={1},d={timeout}{reconnect}\r\n", plan.id, plan.listener)
}

fn record_request(plan: &ClientPlan, recorder: &Recorder) {
    let session = Session {
        relay: plan.relay,
        listener: plan.listener,
        requested_at: recorder.now(),
        timeout: plan.timeout,
        answer: None,
        lines_after_answer: 0,
        left_at: None,
        ended: None,
        move_announced: false,
        attempts: Vec::new(),
    };
    recorder.record(|observations| _ = observations.sessions.insert(plan.id, session));
}

fn record_end(plan: &ClientPlan, recorder: &Recorder, how: ConnectionEnd) {
    let at = recorder.now();
    recorder.record_session(plan.id, |session| session.ended = Some(SessionEnd { at, how }));
}

fn record_departure(plan: &ClientPlan, recorder: &Recorder) {
    let now = recorder.now();
    recorder.record_session(plan.id, |session| session.left_at = Some(now));
}

fn await_answer(connection: &mut Connection, plan: &ClientPlan, recorder: &Recorder) {
    let wait = match plan.cancellation {
        Cancellation::Never => plan.timeout + ANSWER_MARGIN,
        Cancellation::Close(after) | Cancellation::Reset(after) => after,
    };
    match connection.receive(Instant::now() + wait) {
        Received::Line(line) => handle_answer(connection, plan, recorder, line),
        Received::End(how) => record_end(plan, recorder, how),
        Received::Nothing => cancel(connection, plan, recorder),
    }
}

fn handle_answer(connection: &mut Connection, plan: &ClientPlan, recorder: &Recorder, line: String) {
    let at = recorder.now();
    let is_open = line.starts_with("UP");
    recorder.record_session(plan.id, |session| session.answer = Some(Answer { at, line }));
    if is_open {
        exchange_lines(connection, plan, recorder);
    } else {
        count_further_lines(connection, plan, recorder);
    }
}

/// No answer was received in time.
fn cancel(connection: &mut Connection, plan: &ClientPlan, recorder: &Recorder) {
    match plan.cancellation {
        Cancellation::Never => record_end(plan, recorder, ConnectionEnd::Silent),
        Cancellation::Close(_) => {
            record_departure(plan, recorder);
            _ = connection.stream.shutdown(Shutdown::Both);
        }
        Cancellation::Reset(_) => {
            record_departure(plan, recorder);
            connection.reset_on_drop();
        }
    }
}

/// Only the end of the connection may follow a final answer.
fn count_further_lines(connection: &mut Connection, plan: &ClientPlan, recorder: &Recorder) {
    while let Received::Line(_) = connection.receive(Instant::now() + PAUSE) {
        recorder.record_session(plan.id, |session| session.lines_after_answer += 1);
    }
}

/// Sends lines of an open session, which are echoed, until its end.
fn exchange_lines(connection: &mut Connection, plan: &ClientPlan, recorder: &Recorder) {
    let session_end = Instant::now() + plan.session_length;
    let mut last_line_at = Instant::now();
    while Instant::now() < session_end {
        // Where it fails, the end of the connection can still be read.
        _ = connection.stream.write_all(b"M 1\r\n");
        let next_line_at = Instant::now() + LINE_INTERVAL;
        loop {
            match connection.receive(next_line_at) {
                Received::Line(line) if line == "MOVE" => {
                    recorder.record_session(plan.id, |session| session.move_announced = true);
                }
                Received::Line(_) => last_line_at = Instant::now(),
                Received::End(how) => return record_end(plan, recorder, how),
                Received::Nothing => break,
            }
        }
        if last_line_at.elapsed() > SILENCE_TIMEOUT {
            return record_end(plan, recorder, ConnectionEnd::Silent);
        }
    }
    record_departure(plan, recorder);
}
