//! Clients. Each requests a session at one relay, follows the protocol or simulates a faulty client, and
//! records its observations.
use crate::observations::{Answer, ConnectionEnd, PartialRequest, Recorder, Session, SessionEnd};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Whether and how a client cancels before it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// The client waits for its answer.
    Never,
    /// The client closes the connection this long after its request.
    Close(Duration),
    /// The client resets the connection this long after its request.
    Reset(Duration),
}

/// Parameters of one client.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// The session's id.
    pub id: u64,
    /// The number of the relay.
    pub relay: usize,
    /// The relay's address.
    pub address: SocketAddr,
    /// The listener that the client's first line names.
    pub listener: &'static str,
    /// Time from the request within which the client must be answered.
    pub timeout: Duration,
    /// Whether the client requests the session as a reconnect after a broken session.
    pub reconnects: bool,
    /// Size in bytes of the pieces in which the client sends its request, with a delay after each piece.
    /// `None` means that it sends the request in one write.
    pub piece_bytes: Option<usize>,
    /// Whether and how the client cancels.
    pub cancellation: Cancellation,
    /// Time after which the client leaves its open session.
    pub session_length: Duration,
}

/// Time after its deadline for which a client still waits for an answer, so that late answers are observed.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(2_500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between the pieces of a request.
const PIECE_DELAY: Duration = Duration::from_millis(10);
/// Time for which a client waits for each further line after a final answer.
const FURTHER_LINE_TIMEOUT: Duration = Duration::from_millis(10);
/// Interval between the lines that a client sends in a session.
const LINE_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a received line after which a client takes its session as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(7);
/// Time for which a client that stopped in the middle of its line waits for the end of the connection. The
/// relay must end it within 3 s.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of waiting for a line.
enum Received {
    Line(String),
    End(ConnectionEnd),
    /// Neither a line nor the end of the connection before the deadline.
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
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
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

    /// Makes the connection reset, rather than close, when it is dropped.
    fn reset_on_drop(&self) {
        _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

fn is_transient(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}

/// Sends part of a first line, waits for an error line or the end of the connection, and records it.
pub fn send_partial_request(relay: usize, address: SocketAddr, recorder: &Recorder) {
    let Some(mut connection) = Connection::open(&address) else { return };
    let since = recorder.now();
    if connection.stream.write_all(b"OPEN 0123").is_err() {
        return;
    }
    let ended_at = match connection.receive(Instant::now() + PARTIAL_REQUEST_TIMEOUT) {
        // An error line counts as the end of the connection.
        Received::Line(_) | Received::End(_) => Some(recorder.now()),
        Received::Nothing => None,
    };
    let request = PartialRequest { relay, since, ended_at };
    recorder.record(|observations| observations.partial_requests.push(request));
}

/// Runs one client until its connection ends.
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
        std::thread::sleep(PIECE_DELAY);
    }
    // Record the session before its last bytes are sent, so that no backend observes it earlier.
    record_request(plan, recorder);
    if connection.stream.write_all(last).is_err() {
        // The relay did not receive the complete request, so it does not have to answer.
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

/// Waits for the answer, or until the client cancels, and handles what happens first.
fn await_answer(connection: &mut Connection, plan: &ClientPlan, recorder: &Recorder) {
    let wait = match plan.cancellation {
        Cancellation::Never => plan.timeout + ANSWER_MARGIN,
        Cancellation::Close(after) | Cancellation::Reset(after) => after,
    };
    match connection.receive(Instant::now() + wait) {
        Received::Line(line) => handle_answer(connection, plan, recorder, line),
        Received::End(how) => record_end(plan, recorder, how),
        Received::Nothing => handle_no_answer(connection, plan, recorder),
    }
}

/// Records the answer, and what follows it.
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

/// Cancels after the planned delay, or records that no answer came in time.
fn handle_no_answer(connection: &mut Connection, plan: &ClientPlan, recorder: &Recorder) {
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

/// Counts lines after a final answer. Only the end of the connection may follow it.
fn count_further_lines(connection: &mut Connection, plan: &ClientPlan, recorder: &Recorder) {
    while let Received::Line(_) = connection.receive(Instant::now() + FURTHER_LINE_TIMEOUT) {
        recorder.record_session(plan.id, |session| session.lines_after_answer += 1);
    }
}

/// Sends lines in an open session, which the backend echoes, until the session ends.
fn exchange_lines(connection: &mut Connection, plan: &ClientPlan, recorder: &Recorder) {
    let session_end = Instant::now() + plan.session_length;
    let mut last_line_at = Instant::now();
    while Instant::now() < session_end {
        // If the write fails, the end of the connection can still be read below.
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
