//! A session whose client waits for its final answer. The task dials backends as the reducer commands, until
//! the reducer commands a final answer or a backend accepts the session.
//!
//! In every order of events the wait ends with a line that the reducer commanded or that a backend sent.
//! Commands that were sent before the connection became a session do not end the wait.
use super::dial::{self, DialOutcome, DialRequest};
use super::read::ClientState;
use super::{close, proxy, Command, Hub};
use crate::buffer::Buffer;
use crate::lines;
use crate::reducer::Event;
use hallrelay_balancer::types::{DialEnd, SessionId};
use std::ops::Range;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;

/// The client's first line, held until a backend has answered it.
pub struct ClientRequest {
    /// The line without its line ending.
    pub line: Vec<u8>,
    /// Position of the client's timeout in the line; each dial rewrites it.
    pub timeout_range: Range<usize>,
}

/// The event that ended the wait for a dial.
enum DialWait {
    Ended(DialOutcome),
    Client(ClientState),
    Command(Option<Command>),
}

/// The connection of a session that waits for its final answer.
struct WaitingSession<'a> {
    connection_id: SessionId,
    client: TcpStream,
    buffer: Buffer,
    request: ClientRequest,
    commands: Receiver<Command>,
    hub: &'a Hub,
}

/// Serves a session from its first line to its end.
pub async fn run(
    connection_id: SessionId,
    client: TcpStream,
    buffer: Buffer,
    request: ClientRequest,
    commands: Receiver<Command>,
    hub: &Hub,
) {
    WaitingSession { connection_id, client, buffer, request, commands, hub }.run().await;
}

impl WaitingSession<'_> {
    async fn run(mut self) {
        loop {
            let command = tokio::select! {
                biased;
                // The client's state is checked first: a dial may have been decided before the client left.
                state = client_stops_waiting(&self.client, &mut self.buffer) => {
                    return self.client_gone(state).await;
                }
                command = next_command(&self.client, &mut self.commands, self.hub) => command,
            };
            let (dial, wait) = match command {
                Some(Command::Dial { dial, addr, timeout, conditions }) => {
                    let timeout_ms = timeout / 1000;
                    let line =
                        lines::rewrite_timeout(&self.request.line, &self.request.timeout_range, timeout_ms);
                    let request = DialRequest { addr, line: &line, timeout, conditions };
                    (dial, self.dial(request).await)
                }
                Some(Command::FinalAnswer(line)) => return self.answer(&line).await,
                _ => return,
            };
            match wait {
                DialWait::Ended(DialOutcome::NotStarted) => {
                    self.hub.notify(Event::DialNotStarted { session_id: self.connection_id, dial }).await;
                }
                DialWait::Ended(DialOutcome::Failed(end, report)) => {
                    self.hub
                        .notify(Event::DialEnded { session_id: self.connection_id, dial, end, report })
                        .await;
                }
                DialWait::Ended(DialOutcome::Accepted(backend)) => return self.accepted(dial, backend).await,
                DialWait::Ended(DialOutcome::Completed { line, report }) => {
                    let end = DialEnd::Ok;
                    self.hub
                        .notify(Event::DialEnded { session_id: self.connection_id, dial, end, report })
                        .await;
                    return self.answer(&line).await;
                }
                DialWait::Ended(DialOutcome::ClientGone(state)) | DialWait::Client(state) => {
                    return self.client_gone(state).await;
                }
                DialWait::Command(Some(Command::FinalAnswer(line))) => return self.answer(&line).await,
                DialWait::Command(_) => return,
            }
        }
    }

    /// Waits for a dial. A return for any other reason drops the dial, which cancels it.
    async fn dial(&mut self, request: DialRequest<'_>) -> DialWait {
        tokio::select! {
            biased;
            // The client is checked first, as in `run`, and then commands. During a dial a command means that
            // the reducer has ended the session, so it holds even if the backend's answer has arrived.
            state = client_stops_waiting(&self.client, &mut self.buffer) => DialWait::Client(state),
            command = next_command(&self.client, &mut self.commands, self.hub) => DialWait::Command(command),
            outcome = dial::run(request, &self.client, self.hub) => DialWait::Ended(outcome),
        }
    }

    /// Handles a session that a backend accepted. The session is proxied unless the reducer has meanwhile
    /// ended it: then a final answer is already queued, and the backend's answer is discarded.
    async fn accepted(mut self, dial: u32, backend: dial::Backend) {
        self.hub.notify(Event::SessionEstablished { session_id: self.connection_id, dial }).await;
        match next_command(&self.client, &mut self.commands, self.hub).await {
            Some(Command::StartProxying) => {
                proxy::run(self.connection_id, self.client, self.buffer, backend, self.commands, self.hub)
                    .await;
            }
            Some(Command::FinalAnswer(line)) => {
                drop(backend);
                self.answer(&line).await;
            }
            _ => {}
        }
    }

    async fn answer(mut self, line: &[u8]) {
        close::send_final_answer(self.client, line, &mut self.commands, self.hub).await;
    }

    /// The client closed its sending side or sent more data. After a close the client may have left or may
    /// still read, so the final answer is written, but nothing is forwarded.
    async fn client_gone(mut self, state: ClientState) {
        if state == ClientState::SentMore {
            return reject_protocol_violation(self.connection_id, self.client, self.commands, self.hub).await;
        }
        self.hub.notify(Event::ClientHalfClosed { session_id: self.connection_id }).await;
        await_final_answer(self.client, &mut self.commands, self.hub).await;
    }
}

/// Returns the next command for a waiting session. Commands that were sent before the connection became a
/// session do not end the wait: the answer to a `PING` is written, the others are skipped. During a dial, the
/// reducer commands only the end of the session.
async fn next_command(client: &TcpStream, commands: &mut Receiver<Command>, hub: &Hub) -> Option<Command> {
    loop {
        match commands.recv().await {
            Some(Command::Pong(line)) => _ = close::write_all(client, line, hub.limits().close_timeout).await,
            Some(Command::Shed | Command::SetSuspect(_)) => {}
            command => return command,
        }
    }
}

/// Completes when the client closes or sends more data, neither of which is allowed before its answer.
async fn client_stops_waiting(client: &TcpStream, buffer: &mut Buffer) -> ClientState {
    match buffer.fill(client).await {
        Ok(1..) => ClientState::SentMore,
        _ => ClientState::Closed,
    }
}

/// Reports a connection that violates the protocol, and sends the final answer that the reducer commands.
pub async fn reject_protocol_violation(
    connection_id: SessionId,
    client: TcpStream,
    mut commands: Receiver<Command>,
    hub: &Hub,
) {
    hub.notify(Event::ProtocolViolation { connection_id }).await;
    await_final_answer(client, &mut commands, hub).await;
}

/// Waits for the reducer's final answer and sends it. Commands that were queued before it are skipped.
async fn await_final_answer(client: TcpStream, commands: &mut Receiver<Command>, hub: &Hub) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::FinalAnswer(line) => {
                return close::send_final_answer(client, &line, commands, hub).await
            }
            Command::Dial { .. }
            | Command::Pong(_)
            | Command::Shed
            | Command::SetSuspect(_)
            | Command::StartProxying => {}
            Command::Migrate | Command::HandOver(..) | Command::Close => return,
        }
    }
}
