//! Proxies an open session: lines pass both ways unchanged, and the load and latency that they show are
//! reported to the reducer.
use super::dial::Backend;
use super::processes::{hand_over_session, SessionSockets};
use super::{close, Command, Hub};
use crate::buffer::Buffer;
use crate::lines::{self, BackendReply};
use crate::reducer::Event;
use hallrelay_balancer::types::{DialEnd, LoadReport, Micros, SessionId};
use hallrelay_hot_restart::{ProcessId, SessionState};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::time::sleep_until;

/// Extra time for an answer that may have arrived but is not read yet, in microseconds. Long enough to read
/// the answer; much shorter than the silence after which a message counts as lost.
const UNREAD_GRACE: Micros = 20_000;

/// How an open session ends for its task.
enum SessionEnd {
    ClientClosed,
    /// The client's connection failed, or the client violated the protocol.
    ClientBroken,
    /// The backend ended the session.
    Backend(BackendEnd),
    /// The reducer migrates the session.
    Migrated,
    /// The reducer hands the session over to another process.
    HandedOver(ProcessId, Box<SessionState>),
    /// The reducer closes the connection without an answer, or the channel of its commands has closed.
    Closed,
}

/// How a backend ended a session, and the load report that came with its last line.
#[derive(Clone, Copy)]
struct BackendEnd {
    end: DialEnd,
    report: Option<LoadReport>,
}

impl BackendEnd {
    /// The connection ended without a last line.
    const RESET: BackendEnd = BackendEnd { end: DialEnd::Reset, report: None };
}

/// A message that has waited too long for its answer.
#[derive(Clone, Copy)]
struct OverdueMessage {
    /// When the message was sent, in microseconds.
    sent_at: Micros,
    /// End of the extra time in which an unread answer is read, in microseconds.
    grace_ends: Micros,
}

/// Watches the lines of a session for latency, load and the backend's last line.
struct LineObserver<'a> {
    connection_id: SessionId,
    hub: &'a Hub,
    /// When the client sent its unanswered messages, oldest first.
    unanswered: VecDeque<Micros>,
    overdue: Option<OverdueMessage>,
    /// The time without an answer after which a message counts as lost, in microseconds.
    answer_timeout: Micros,
    /// The backend's last line, once it is read.
    backend_end: Option<BackendEnd>,
}

impl<'a> LineObserver<'a> {
    fn new(connection_id: SessionId, hub: &'a Hub) -> LineObserver<'a> {
        let answer_timeout = hub.limits().silence_timeout;
        let unanswered = VecDeque::new();
        LineObserver { connection_id, hub, unanswered, overdue: None, answer_timeout, backend_end: None }
    }

    /// Processes complete lines from the client. Returns false if one is too long.
    fn client_lines(&mut self, lines: &[u8]) -> bool {
        let now = self.hub.clock.now();
        let limits = self.hub.limits();
        lines::complete_lines(lines).all(|line| {
            if self.unanswered.len() < limits.max_timed_messages {
                self.unanswered.push_back(now);
            }
            line.len() <= limits.max_line_bytes
        })
    }

    /// Processes complete lines from the backend. Returns false if one is too long.
    async fn backend_lines(&mut self, lines: &[u8]) -> bool {
        let max_bytes = self.hub.limits().max_line_bytes;
        let report_order = self.hub.report_order();
        for line in lines::complete_lines(lines) {
            if line.len() > max_bytes {
                return false;
            }
            match lines::parse_backend_reply(line, report_order) {
                BackendReply::Load(load) => {
                    self.hub.notify(Event::LoadReported { session_id: self.connection_id, load }).await;
                }
                BackendReply::Bye(report) => {
                    self.backend_end = Some(BackendEnd { end: DialEnd::Ok, report });
                }
                BackendReply::Move => {
                    self.backend_end = Some(BackendEnd { end: DialEnd::Cancelled, report: None });
                }
                _ => self.answered().await,
            }
        }
        true
    }

    /// Processes the result of a read from the client. Returns how the session ends, if it ends.
    /// `max_partial` is the largest number of bytes that an incomplete line may have.
    fn client_read(
        &mut self,
        count: io::Result<usize>,
        from_client: &Buffer,
        max_partial: usize,
    ) -> Option<SessionEnd> {
        match count {
            Ok(0) => Some(SessionEnd::ClientClosed),
            Ok(_) if self.client_lines(from_client.fresh()) && from_client.partial() <= max_partial => None,
            // A line that is too long ends the session like a failed connection.
            _ => Some(SessionEnd::ClientBroken),
        }
    }

    /// Processes the result of a read from the backend, like `client_read`. If a line is too long, the
    /// session ends, and none of the lines that the read completed are forwarded.
    async fn backend_read(
        &mut self,
        count: io::Result<usize>,
        from_backend: &mut Buffer,
        max_partial: usize,
    ) -> Option<SessionEnd> {
        if matches!(count, Ok(0) | Err(_)) {
            return Some(self.backend_closed());
        }
        let valid = self.backend_lines(from_backend.fresh()).await;
        if valid && from_backend.partial() <= max_partial {
            return None;
        }
        from_backend.reject_fresh();
        Some(SessionEnd::Backend(BackendEnd::RESET))
    }

    /// Called when the deadline of a stalled client or of the backend's answer has passed. Returns how the
    /// session ends, if it ends.
    fn time_expired(&mut self, client_is_stalled: bool) -> Option<SessionEnd> {
        if client_is_stalled {
            return Some(SessionEnd::ClientBroken);
        }
        self.is_lost().then_some(SessionEnd::Backend(BackendEnd::RESET))
    }

    /// Takes a line of the backend as the answer to the oldest message.
    async fn answered(&mut self) {
        if let Some(sent_at) = self.unanswered.pop_front() {
            let time = self.hub.clock.now() - sent_at;
            self.hub.notify(Event::MessageLatency { session_id: self.connection_id, time }).await;
        }
    }

    /// Returns when the oldest message counts as lost.
    fn answer_deadline(&self) -> Option<Micros> {
        let sent_at = *self.unanswered.front()?;
        let overdue = self.overdue.filter(|overdue| overdue.sent_at == sent_at);
        Some(overdue.map_or(sent_at + self.answer_timeout, |overdue| overdue.grace_ends))
    }

    /// Returns whether the oldest message is lost. The first call for a message returns false and gives its
    /// answer `UNREAD_GRACE` more time, because the answer may have arrived while this process was not
    /// scheduled.
    fn is_lost(&mut self) -> bool {
        let Some(&sent_at) = self.unanswered.front() else { return false };
        let grace_ends = self.hub.clock.now() + UNREAD_GRACE;
        let previous = self.overdue.replace(OverdueMessage { sent_at, grace_ends });
        previous.is_some_and(|overdue| overdue.sent_at == sent_at)
    }

    /// Carries out a command. Returns how the session ends, if it ends.
    fn command(&mut self, command: Option<Command>) -> Option<SessionEnd> {
        match command {
            Some(Command::Migrate) => Some(SessionEnd::Migrated),
            Some(Command::HandOver(process, session)) => Some(SessionEnd::HandedOver(process, session)),
            Some(Command::SetSuspect(suspect)) => {
                let limits = self.hub.limits();
                // While the backend fails its health checks, a message gets only the time of a health check.
                self.answer_timeout = if suspect { limits.probe_timeout } else { limits.silence_timeout };
                None
            }
            // These were sent before the connection became a session.
            Some(Command::Pong(_) | Command::Shed) => None,
            _ => Some(SessionEnd::Closed),
        }
    }

    /// Returns how a session ends whose backend connection has closed: as the backend's last line says, or as
    /// a reset if there is none.
    fn backend_closed(&mut self) -> SessionEnd {
        SessionEnd::Backend(self.backend_end.take().unwrap_or(BackendEnd::RESET))
    }
}

/// Proxies a session that a backend has accepted, from the acceptance line to its end.
pub async fn run(
    connection_id: SessionId,
    client: TcpStream,
    from_client: Buffer,
    backend: Backend,
    commands: Receiver<Command>,
    hub: &Hub,
) {
    let Backend { stream: backend, buffer: from_backend, acceptance } = backend;
    let mut observer = LineObserver::new(connection_id, hub);
    if !close::write_all(&client, &acceptance, hub.limits().stalled_client_timeout).await {
        return close::reset(backend);
    }
    drop(acceptance);
    if !(observer.client_lines(from_client.lines()) && observer.backend_lines(from_backend.lines()).await) {
        return close::reset(backend);
    }
    OpenSession { client, from_client, backend, from_backend, observer }.run(commands).await;
}

/// Continues a session that another process handed over, once the reducer has adopted it.
pub async fn resume(
    connection_id: SessionId,
    session: Box<SessionState>,
    sockets: SessionSockets,
    mut commands: Receiver<Command>,
    hub: &Hub,
) {
    let SessionSockets { client, backend } = sockets;
    let limits = hub.limits();
    let from_client =
        Buffer::holding(&session.to_backend, limits.initial_buffer_bytes, limits.max_buffer_bytes);
    let from_backend =
        Buffer::holding(&session.to_client, limits.initial_buffer_bytes, limits.max_buffer_bytes);
    let mut observer = LineObserver::new(connection_id, hub);
    let now = hub.clock.now();
    observer.unanswered = session.unanswered_ages.iter().map(|age| now.saturating_sub(*age)).collect();
    hub.notify(Event::SessionAdopted { session_id: connection_id, state: session }).await;
    // No other command can precede it, because the session is new to the reducer.
    if let Some(Command::StartProxying) = commands.recv().await {
        OpenSession { client, from_client, backend, from_backend, observer }.run(commands).await;
    }
}

/// Both connections of an open session, and the bytes read from each that are not yet written to the other.
struct OpenSession<'a> {
    client: TcpStream,
    from_client: Buffer,
    backend: TcpStream,
    from_backend: Buffer,
    observer: LineObserver<'a>,
}

impl OpenSession<'_> {
    async fn run(mut self, mut commands: Receiver<Command>) {
        let connection_id = self.observer.connection_id;
        let hub = self.observer.hub;
        loop {
            match self.proxy(&mut commands).await {
                // A session whose last line was read is not handed over, as it ends immediately.
                SessionEnd::HandedOver(process, session) if self.observer.backend_end.is_none() => {
                    match self.hand_over(process, session).await {
                        Some(session) => self = session,
                        None => return,
                    }
                    hub.notify(Event::SessionHandoverFailed { session_id: connection_id }).await;
                }
                SessionEnd::HandedOver(..) => {
                    hub.notify(Event::SessionHandoverFailed { session_id: connection_id }).await
                }
                SessionEnd::ClientClosed => return self.client_closed().await,
                SessionEnd::ClientBroken => {
                    close::reset(self.backend);
                    // The client may still read, so the last line is sent if possible.
                    return send_last_line(self.client, &self.from_backend, lines::MOVE, &mut commands, hub)
                        .await;
                }
                SessionEnd::Closed => return,
                SessionEnd::Backend(BackendEnd { end, report }) => {
                    hub.notify(Event::SessionEnded { session_id: connection_id, end, report }).await;
                    // `MOVE` makes a client that got no last line connect again.
                    let last_line: &[u8] = if end == DialEnd::Reset { lines::MOVE } else { b"" };
                    drop(self.backend);
                    return send_last_line(self.client, &self.from_backend, last_line, &mut commands, hub)
                        .await;
                }
                SessionEnd::Migrated => {
                    drop(self.backend);
                    let end = DialEnd::Cancelled;
                    hub.notify(Event::SessionEnded { session_id: connection_id, end, report: None }).await;
                    return send_last_line(self.client, &self.from_backend, lines::MOVE, &mut commands, hub)
                        .await;
                }
            }
        }
    }

    /// Hands the session over to another process. Returns the session if it could not be sent, and `None` if
    /// it has ended for this process.
    async fn hand_over(self, process: ProcessId, session: Box<SessionState>) -> Option<Self> {
        let OpenSession { client, from_client, backend, from_backend, observer } = self;
        let hub = observer.hub;
        let now = hub.clock.now();
        let session = Box::new(SessionState {
            to_backend: from_client.rest().to_vec(),
            to_client: from_backend.rest().to_vec(),
            unanswered_ages: observer.unanswered.iter().map(|sent_at| now - sent_at).collect(),
            ..*session
        });
        match hand_over_session(process, session, SessionSockets { client, backend }, hub).await {
            Ok(()) => {
                hub.notify(Event::SessionHandedOver { session_id: observer.connection_id }).await;
                None
            }
            Err(Some(SessionSockets { client, backend })) => {
                Some(OpenSession { client, from_client, backend, from_backend, observer })
            }
            // The sockets are lost, so this process cannot continue the session.
            Err(None) => None,
        }
    }

    /// Handles a client that has closed: forwards the lines that it sent before, then closes the connection
    /// to the backend.
    async fn client_closed(self) {
        let hub = self.observer.hub;
        hub.notify(Event::ClientDisconnected { session_id: self.observer.connection_id }).await;
        if close::write_all(&self.backend, self.from_client.lines(), hub.limits().close_timeout).await {
            close::close_gracefully(self.backend, hub).await;
        }
    }

    /// Proxies lines until the session ends or is to be handed over.
    async fn proxy(&mut self, commands: &mut Receiver<Command>) -> SessionEnd {
        let OpenSession { client, from_client, backend, from_backend, observer } = self;
        let limits = observer.hub.limits();
        let clock = observer.hub.clock;
        let max_partial = limits.max_line_bytes + lines::END.len();
        // Since when the client has accepted none of the bytes that wait for it.
        let mut stalled_since: Option<Micros> = None;
        loop {
            let to_client = !from_backend.lines().is_empty();
            let to_backend = !from_client.lines().is_empty();
            stalled_since = if to_client { stalled_since.or(Some(clock.now())) } else { None };
            let stalled_until = stalled_since.map(|since| since + limits.stalled_client_timeout);
            // While the client is stalled, the backend's silence does not count against the backend.
            let wake = stalled_until.or(observer.answer_deadline());
            let wake_at = clock.at(wake.unwrap_or_default());
            tokio::select! {
                biased;
                // The order of the branches: commands come first, since they are rare and a busy session
                // would delay them. Reads follow, first from the backend, because they show its end; then
                // writes. Deadlines come last, so that lines that have arrived are processed before them.
                command = commands.recv() => {
                    if let Some(end) = observer.command(command) {
                        return end;
                    }
                }
                count = from_backend.fill(backend), if from_backend.has_capacity() => {
                    if let Some(end) = observer.backend_read(count, from_backend, max_partial).await {
                        return end;
                    }
                }
                count = from_client.fill(client), if from_client.has_capacity() => {
                    if let Some(end) = observer.client_read(count, from_client, max_partial) {
                        return end;
                    }
                }
                ready = backend.writable(), if to_backend => {
                    if ready.is_err() || write_some(from_client, backend).is_err() {
                        return observer.backend_closed();
                    }
                }
                ready = client.writable(), if to_client => {
                    match ready.and_then(|()| write_some(from_backend, client)) {
                        Ok(0) => {}
                        Ok(_) => stalled_since = None,
                        Err(_) => return SessionEnd::ClientBroken,
                    }
                }
                () = sleep_until(wake_at), if wake.is_some() => {
                    if let Some(end) = observer.time_expired(stalled_since.is_some()) {
                        return end;
                    }
                }
            }
        }
    }
}

/// Sends the complete lines that are still buffered, then a last line, and closes.
async fn send_last_line(
    client: TcpStream,
    from_backend: &Buffer,
    last: &[u8],
    commands: &mut Receiver<Command>,
    hub: &Hub,
) {
    let answer = [from_backend.lines(), last].concat();
    close::send_final_answer(client, &answer, commands, hub).await;
}

/// Writes as much of the complete lines as the socket accepts without waiting.
fn write_some(buffer: &mut Buffer, stream: &TcpStream) -> io::Result<usize> {
    match buffer.write(stream) {
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(0),
        written => {
            buffer.shrink();
            written
        }
    }
}
