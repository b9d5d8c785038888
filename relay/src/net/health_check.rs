//! Health checks of one backend, one at a time. A check requests a load report. The settings and the balancer
//! call a health check a probe.
use super::{close, read, Hub};
use crate::buffer::Buffer;
use crate::clock::span;
use crate::lines::{self, BackendReply};
use crate::reducer::Event;
use crate::socket::{self, ConnectError};
use hallrelay_balancer::types::{DialEnd, LoadReport, ServerId};
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::time::{timeout, Instant};

/// A connection for health checks, and the bytes read from it.
struct Connection {
    addr: SocketAddr,
    stream: TcpStream,
    buffer: Buffer,
}

/// Why a check failed.
struct CheckFailure {
    end: DialEnd,
    /// The load report in the backend's answer that it is full or has an error.
    report: Option<LoadReport>,
}

impl From<DialEnd> for CheckFailure {
    fn from(end: DialEnd) -> CheckFailure {
        CheckFailure { end, report: None }
    }
}

/// Runs the requested checks until the channel of requests closes. If `keep_connection` is true, the
/// connection of a successful check stays open for the next one, for at most `probe_idle_timeout`.
pub async fn run(server: ServerId, keep_connection: bool, mut requests: Receiver<SocketAddr>, hub: Hub) {
    let mut idle: Option<Connection> = None;
    loop {
        let request = if idle.is_some() {
            match timeout(span(hub.limits().probe_idle_timeout), requests.recv()).await {
                Ok(request) => request,
                Err(_) => {
                    idle = None;
                    continue;
                }
            }
        } else {
            requests.recv().await
        };
        let Some(addr) = request else { return };
        let usable = idle.take().filter(|connection| connection.addr == addr && is_idle(&connection.stream));
        let (end, report) = match timeout(span(hub.limits().probe_timeout), check(addr, usable, &hub)).await {
            Ok(Ok((report, connection))) => {
                idle = Some(connection).filter(|_| keep_connection);
                (DialEnd::Ok, report)
            }
            Ok(Err(failure)) => (failure.end, failure.report),
            Err(_) => (DialEnd::Timeout, None),
        };
        hub.notify(Event::HealthCheckEnded { server, end, report }).await;
    }
}

/// Runs one check, on the idle connection if there is one.
///
/// A backend may close an idle connection or lose its state. A reset of that connection, or silence for half
/// of `probe_timeout`, is therefore no failure: the check is repeated on a new connection in the time that
/// remains.
async fn check(
    addr: SocketAddr,
    idle: Option<Connection>,
    hub: &Hub,
) -> Result<(Option<LoadReport>, Connection), CheckFailure> {
    let limits = hub.limits();
    if let Some(mut connection) = idle {
        match timeout(span(limits.probe_timeout / 2), request_report(&mut connection, hub)).await {
            Err(_) | Ok(Err(CheckFailure { end: DialEnd::Reset, .. })) => {}
            Ok(result) => return result.map(|report| (report, connection)),
        }
    }
    let stream = connect(addr, hub).await?;
    let buffer = Buffer::new(limits.initial_buffer_bytes, limits.max_buffer_bytes);
    let mut connection = Connection { addr, stream, buffer };
    let report = request_report(&mut connection, hub).await?;
    Ok((report, connection))
}

/// Returns whether the connection of an earlier check is still open and has no unread bytes.
fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    matches!(socket::try_read(stream, &mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

async fn connect(addr: SocketAddr, hub: &Hub) -> Result<TcpStream, CheckFailure> {
    let deadline = Instant::now() + span(hub.limits().connect_timeout);
    hub.connect(addr, deadline).await.map_err(|error| match error {
        // A failure of this machine is no evidence against the backend.
        ConnectError::Local(_) => DialEnd::NotSent.into(),
        ConnectError::Remote(_) | ConnectError::TimedOut => DialEnd::Unconnected.into(),
    })
}

/// Requests a load report. Returns `None` if the backend is healthy and reports no load.
async fn request_report(connection: &mut Connection, hub: &Hub) -> Result<Option<LoadReport>, CheckFailure> {
    let limits = hub.limits();
    let Connection { stream, buffer, .. } = connection;
    if !close::write_all(stream, lines::STATS, limits.probe_timeout).await {
        return Err(DialEnd::Reset.into());
    }
    let reply = read::read_line(stream, buffer, limits.max_line_bytes).await.map_err(|_| DialEnd::Reset)?;
    match lines::parse_backend_reply(&reply, hub.report_order()) {
        BackendReply::Pong(report) => Ok(report),
        BackendReply::Busy(report) => Err(CheckFailure { end: DialEnd::Full, report }),
        BackendReply::Error(report) => Err(CheckFailure { end: DialEnd::Error, report }),
        _ => Err(DialEnd::Error.into()),
    }
}
