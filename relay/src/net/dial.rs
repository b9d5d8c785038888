//! One dial, that is, one attempt to open a session at a backend: connects, sends the client's first line,
//! and waits for the backend's first answer. Dropping the future cancels the dial.
use super::dial_permit::{self, Denied, DialConditions, DialPermit};
use super::read::{self, ClientState};
use super::{close, Hub};
use crate::buffer::Buffer;
use crate::clock::span;
use crate::lines::{self, BackendReply};
use crate::reducer::Event;
use crate::socket::ConnectError;
use hallrelay_balancer::types::{DialEnd, LoadReport, Micros};
use hallrelay_config::limits::Limits;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// A backend that has accepted a session.
pub struct Backend {
    /// The connection to it.
    pub stream: TcpStream,
    /// Bytes that were read after the answer.
    pub buffer: Buffer,
    /// The line with which it accepted the session, with its line ending; it is forwarded to the client.
    pub acceptance: Vec<u8>,
}

/// The parameters of a dial.
pub struct DialRequest<'a> {
    /// The backend's address.
    pub addr: SocketAddr,
    /// The first line as it is forwarded, with its line ending.
    pub line: &'a [u8],
    /// Timeout of the complete dial, in microseconds.
    pub timeout: Micros,
    /// The conditions that are checked before the connect and again before the first byte is written.
    pub conditions: DialConditions,
}

/// How a dial ended.
pub enum DialOutcome {
    /// The backend accepted the session.
    Accepted(Backend),
    /// The backend served the complete session and answered with this line. `report` is the load report in
    /// the line, if it has one.
    Completed { line: Vec<u8>, report: Option<LoadReport> },
    /// The dial failed in this way. The load report is that of the backend's answer, if it has one.
    Failed(DialEnd, Option<LoadReport>),
    /// The first line was not sent, without a fault of the backend: this machine could not connect, or the
    /// backend drains.
    NotStarted,
    /// The first line was not sent, since the client no longer waits.
    ClientGone(ClientState),
}

impl From<Denied> for DialOutcome {
    fn from(reason: Denied) -> DialOutcome {
        match reason {
            Denied::Client(state) => DialOutcome::ClientGone(state),
            Denied::Late => DialOutcome::Failed(DialEnd::NotSent, None),
            Denied::Draining => DialOutcome::NotStarted,
        }
    }
}

/// Runs one dial to its outcome. The backend may have run the request only if the last byte of the line was
/// written.
pub async fn run(request: DialRequest<'_>, client: &TcpStream, hub: &Hub) -> DialOutcome {
    let limits = hub.limits();
    let deadline = Instant::now() + span(request.timeout);
    let stream = match send_first_line(&request, deadline, client, hub).await {
        Ok(stream) => stream,
        Err(outcome) => return outcome,
    };
    hub.notify(Event::FirstLineForwarded).await;
    receive_answer(stream, deadline, &limits, hub).await
}

/// Connects and writes the first line. Returns the dial's outcome if either fails.
async fn send_first_line(
    request: &DialRequest<'_>,
    deadline: Instant,
    client: &TcpStream,
    hub: &Hub,
) -> Result<TcpStream, DialOutcome> {
    let conditions = request.conditions;
    dial_permit::check(conditions, client, hub)?;
    let connect_by = deadline.min(hub.clock.at(conditions.start_by));
    let stream = match hub.connect(request.addr, connect_by).await {
        Ok(stream) => stream,
        Err(ConnectError::Local(error)) => {
            let addr = request.addr;
            slog::warn!(hub.log, "dial to {} not started: cannot connect", addr; "error" => %error);
            return Err(DialOutcome::NotStarted);
        }
        Err(ConnectError::Remote(_) | ConnectError::TimedOut) => {
            return Err(DialOutcome::Failed(DialEnd::Unconnected, None));
        }
    };
    let permit = dial_permit::check(conditions, client, hub)?;
    if !write_permitted(&stream, request, permit).await {
        return Err(DialOutcome::Failed(DialEnd::Unconnected, None));
    }
    Ok(stream)
}

/// Writes a first line. The permit, which is consumed, proves that the conditions were checked just before.
async fn write_permitted(stream: &TcpStream, request: &DialRequest<'_>, _permit: DialPermit) -> bool {
    close::write_all(stream, request.line, request.timeout).await
}

async fn receive_answer(stream: TcpStream, deadline: Instant, limits: &Limits, hub: &Hub) -> DialOutcome {
    let mut buffer = Buffer::new(limits.initial_buffer_bytes, limits.max_buffer_bytes);
    let answer = read::read_line(&stream, &mut buffer, limits.max_line_bytes);
    let Ok(answer) = timeout_at(deadline, answer).await else {
        return DialOutcome::Failed(DialEnd::Timeout, None);
    };
    let Ok(mut line) = answer else { return DialOutcome::Failed(DialEnd::Reset, None) };
    match lines::parse_backend_reply(&line, hub.report_order()) {
        BackendReply::Up => {
            line.extend_from_slice(lines::END);
            DialOutcome::Accepted(Backend { stream, buffer, acceptance: line })
        }
        BackendReply::Bye(report) => {
            line.extend_from_slice(lines::END);
            DialOutcome::Completed { line, report }
        }
        BackendReply::Move => DialOutcome::Failed(DialEnd::Cancelled, None),
        BackendReply::Busy(report) => DialOutcome::Failed(DialEnd::Full, report),
        BackendReply::Error(report) => DialOutcome::Failed(DialEnd::Error, report),
        // The protocol allows no other first answer: the request may have run.
        _ => DialOutcome::Failed(DialEnd::Error, None),
    }
}
