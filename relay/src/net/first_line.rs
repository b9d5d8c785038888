//! Reads a connection's first line within a bounded time. A protocol violation is answered with an error and
//! ends only that connection.
use super::await_answer::{self, ClientRequest};
use super::read::{self, ReadError};
use super::{close, Command, Hub};
use crate::buffer::Buffer;
use crate::clock::span;
use crate::lines::{self, FirstLine, SessionRequest};
use crate::reducer::Event;
use hallrelay_balancer::types::SessionId;
use hallrelay_config::limits::Limits;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::time::{sleep_until, Instant};

/// The next input of a connection that waits for its first line.
enum Input {
    Line(Vec<u8>),
    /// Some bytes of a line.
    Part,
    /// The client closed its sending side before a line was complete.
    Closed,
    Broken,
    /// The line is too long, or was not complete by the deadline.
    Invalid,
    Command(Option<Command>),
}

/// How the task handles an input.
enum Step {
    Continue,
    Parse(Vec<u8>),
    /// Closes the connection without sending anything.
    Close,
    /// Closes the connection after a rejection, of which only what the socket accepts immediately is sent.
    Reject,
    ReportViolation,
}

/// A connection that waits for its first line.
struct NewConnection<'a> {
    connection_id: SessionId,
    client: TcpStream,
    buffer: Buffer,
    hub: &'a Hub,
    limits: Rc<Limits>,
    connected_at: Instant,
    /// The first line must be complete by this time.
    deadline: Instant,
    /// Number of `PING`s that are not answered yet. Their answers pass through this task's bounded command
    /// queue, which must have space for the final answer. Reading stops while the answers could fill half of
    /// the queue. Otherwise a client that pings without end could fill the queue, and the final answer would
    /// be lost.
    pending_pongs: usize,
}

/// Serves a new connection to its end.
pub async fn run(connection_id: SessionId, client: TcpStream, commands: Receiver<Command>, hub: &Hub) {
    let limits = hub.limits();
    // A single deadline covers everything before the session. With a timeout per read, a client that sends a
    // few bytes now and then would stay connected forever.
    let connected_at = Instant::now();
    let deadline = connected_at + span(limits.first_line_timeout);
    let buffer = Buffer::new(limits.initial_buffer_bytes, limits.max_buffer_bytes);
    hub.notify(Event::ClientConnected { connection_id }).await;
    let pending_pongs = 0;
    NewConnection { connection_id, client, buffer, hub, limits, connected_at, deadline, pending_pongs }
        .run(commands)
        .await;
}

impl NewConnection<'_> {
    async fn run(mut self, mut commands: Receiver<Command>) {
        loop {
            let input = self.next_input(&mut commands).await;
            let line = match self.handle(input).await {
                Step::Continue => continue,
                Step::Parse(line) => line,
                Step::Close => return,
                // Nothing was forwarded, so the client may retry.
                Step::Reject => return close::send_without_waiting(self.client, &lines::busy(0)),
                Step::ReportViolation => return self.report_violation(commands).await,
            };
            match lines::parse_first_line(&line) {
                // Sending more data before the answer violates the protocol.
                Some(FirstLine::Open(request)) if !self.buffer.holds_more(&self.client) => {
                    return self.open_session(line, request, commands).await;
                }
                // The deadline also ends a client that pings without end.
                Some(FirstLine::Ping) if Instant::now() < self.deadline => {
                    self.pending_pongs += 1;
                    self.hub.notify(Event::Ping { connection_id: self.connection_id }).await;
                }
                _ => {
                    let bytes = line.len();
                    let id = self.connection_id;
                    slog::debug!(
                        self.hub.log, "first line invalid, late, or followed by more data";
                        "connection" => id, "bytes" => bytes
                    );
                    return self.report_violation(commands).await;
                }
            }
        }
    }

    async fn next_input(&mut self, commands: &mut Receiver<Command>) -> Input {
        let may_read = self.pending_pongs < self.limits.max_queued_commands / 2;
        let max_line_bytes = self.limits.max_line_bytes;
        tokio::select! {
            biased;
            // A line that has arrived comes before a command to shed the connection and before the deadline:
            // the process may not have been scheduled when the line arrived.
            read = read::read_some(&self.client, &mut self.buffer, max_line_bytes), if may_read => {
                match read {
                    Ok(Some(line)) => Input::Line(line),
                    Ok(None) => Input::Part,
                    Err(ReadError::Closed) => Input::Closed,
                    Err(ReadError::Broken) => Input::Broken,
                    Err(ReadError::TooLong) => Input::Invalid,
                }
            }
            command = commands.recv() => Input::Command(command),
            () = sleep_until(self.deadline) => Input::Invalid,
        }
    }

    async fn handle(&mut self, input: Input) -> Step {
        match input {
            Input::Line(line) => Step::Parse(line),
            Input::Part => {
                self.extend_deadline();
                self.hub.notify(Event::FirstLineStarted { connection_id: self.connection_id }).await;
                Step::Continue
            }
            Input::Closed => Step::Close,
            Input::Broken => Step::Reject,
            Input::Invalid => Step::ReportViolation,
            Input::Command(Some(Command::Shed)) => {
                // A complete line may still be unread, and may take more than one read. If there is one, it
                // is parsed, and becomes a session if it is valid.
                while matches!(self.buffer.read_now(&self.client), Ok(1..)) {}
                self.buffer.take_line().map_or(Step::Reject, Step::Parse)
            }
            Input::Command(Some(Command::Pong(line))) => {
                self.pending_pongs = self.pending_pongs.saturating_sub(1);
                let written = close::write_all(&self.client, line, self.limits.close_timeout).await;
                if written {
                    Step::Continue
                } else {
                    Step::Close
                }
            }
            // `SetSuspect` is meant only for open sessions. The remaining commands answer events that this
            // task has not reported, so the connection is closed.
            Input::Command(Some(Command::SetSuspect(_))) => Step::Continue,
            Input::Command(_) => Step::Close,
        }
    }

    /// Extends the deadline to `first_line_pause_timeout` from now, since a part of the line has arrived, but
    /// to at most `max_first_line_timeout` from the connect.
    fn extend_deadline(&mut self) {
        let pause_ends = Instant::now() + span(self.limits.first_line_pause_timeout);
        let latest = self.connected_at + span(self.limits.max_first_line_timeout);
        self.deadline = self.deadline.max(pause_ends.min(latest));
    }

    async fn open_session(self, line: Vec<u8>, open: SessionRequest, commands: Receiver<Command>) {
        let wait = open.wait_ms.saturating_mul(1000);
        let age = read::age_of_last_bytes(&self.client).min(wait);
        let time_remaining = wait.saturating_sub(age + self.limits.answer_margin);
        let timeout_range = open.wait_at.clone();
        self.hub
            .notify(Event::SessionRequested { session_id: self.connection_id, open, time_remaining })
            .await;
        let request = ClientRequest { line, timeout_range };
        await_answer::run(self.connection_id, self.client, self.buffer, request, commands, self.hub).await;
    }

    async fn report_violation(self, commands: Receiver<Command>) {
        await_answer::reject_protocol_violation(self.connection_id, self.client, commands, self.hub).await;
    }
}
