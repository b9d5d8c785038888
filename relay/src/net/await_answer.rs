//! A session whose client waits for its final answer: the task carries out dials until the reducer commands
//! a final answer, or a backend accepts the session.
//!
//! Whatever the order of events, it ends by a line that the reducer commanded or that a backend sent.
//! Commands that were meant for the connection before it was a session are skipped.
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
    /// The line without its end.
    pub line: Vec<u8>,
    /// Where in it the client's timeout stands, which each dial rewrites.
    pub timeout_range: Range<usize>,
}

/// What ends a dial's wait.
enum DialWait {
    Ended(DialOutcome),
    Client(ClientState),
    Command(Option<Command>),
}

/// The connection of a session that waits.
struct WaitingSession<'a> {
    connection_id: SessionId,
    client: TcpStream,
    buffer: Buffer,
    request: ClientRequest,
    commands: Receiver<Command>,
    hub: &'a Hub,
}

/// Serves a session from its request to its end.
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
                // A client that has left goes before a dial that was decided without knowing it.
                state = client_stops_waiting(&self.client, &mut self.buffer) => {
                    return self.client_gone(state).await;
                }
                command = next_command(&self.client, &mut self.commands, self.hub) => command,
            };
            let (dial, wait) = match command {
                Some(Command::Dial { dial, addr, timeout: wait, conditions: terms }) => {
                    let timeout_ms = wait / 1000;
                    let line =
                        lines::rewrite_timeout(&self.request.line, &self.request.timeout_range, timeout_ms);
                    let request = DialRequest { addr, line: &line, timeout: wait, conditions: terms };
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

    /// Waits for a dial. Returning drops it, which gives it up.
    async fn dial(&mut self, request: DialRequest<'_>) -> DialWait {
        tokio::select! {
            biased;
            // The client first, as above; then a command, which holds whatever the backend answers by now:
            // the reducer has ended the session.
            state = client_stops_waiting(&self.client, &mut self.buffer) => DialWait::Client(state),
            command = next_command(&self.client, &mut self.commands, self.hub) => DialWait::Command(command),
            outcome = dial::run(request, &self.client, self.hub) => DialWait::Ended(outcome),
        }
    }

    /// A backend accepted the session. It is proxied unless the reducer gave up on it as the answer was read:
    /// then a final answer is queued, and the backend's is not used.
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

    /// The client does not wait any more. A close alone does not show whether it has left or reads on: the
    /// final answer is written, and nothing is forwarded.
    async fn client_gone(mut self, state: ClientState) {
        if state == ClientState::SentMore {
            return reject_protocol_violation(self.connection_id, self.client, self.commands, self.hub).await;
        }
        self.hub.notify(Event::ClientHalfClosed { session_id: self.connection_id }).await;
        await_final_answer(self.client, &mut self.commands, self.hub).await;
    }
}

/// The next command for a waiting session. Commands for the connection before it was a session end nothing:
/// a `PONG` is written, the rest is skipped. While a dial is out, only an end can be commanded.
async fn next_command(client: &TcpStream, commands: &mut Receiver<Command>, hub: &Hub) -> Option<Command> {
    loop {
        match commands.recv().await {
            Some(Command::Pong(line)) => _ = close::write_all(client, line, hub.limits().close_timeout).await,
            Some(Command::Shed | Command::SetSuspect(_)) => {}
            command => return command,
        }
    }
}

/// Completes when the client closes or sends more, neither of which it may do before its answer.
async fn client_stops_waiting(client: &TcpStream, buffer: &mut Buffer) -> ClientState {
    match buffer.fill(client).await {
        Ok(1..) => ClientState::SentMore,
        _ => ClientState::Closed,
    }
}

/// Reports a connection that violates the protocol, and carries out its final answer.
pub async fn reject_protocol_violation(
    connection_id: SessionId,
    client: TcpStream,
    mut commands: Receiver<Command>,
    hub: &Hub,
) {
    hub.notify(Event::ProtocolViolation { connection_id }).await;
    await_final_answer(client, &mut commands, hub).await;
}

/// Sends the final answer that the reducer commands next; commands that were queued before it are skipped.
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
