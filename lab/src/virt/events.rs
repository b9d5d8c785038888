//! The events in the queue of a virtual day, and their handling when they are due.
use super::membership::Transmission;
use super::state::ProcessId;
use super::VirtualDay;
use hallrelay_balancer::types::{Micros, ServerId, SessionId};
use hallrelay_emulator::clients::{ClientEvent, ClientRequest};
use hallrelay_emulator::day::DriverActions;
use hallrelay_emulator::servers::ConnectionId;
use hallrelay_relay::reducer::{Event, Timer};

/// An event that is due at a later moment.
pub(super) enum QueuedEvent {
    /// An event for a relay's reducer. It is boxed because every queue entry would otherwise be as large as
    /// the largest variant.
    Relay {
        process: ProcessId,
        event: Box<Event>,
    },
    Timer {
        process: ProcessId,
        timer: Timer,
    },
    /// A client's first line arrives at its relay. It is boxed for the same reason as the event of `Relay`.
    FirstLine(Box<ClientRequest>),
    ClientDisconnected {
        process: ProcessId,
        session_id: SessionId,
    },
    /// A relay's answer, or the end of the client's connection, arrives at a client. `receipt` is set only
    /// with `UP`, otherwise 0.
    Answer {
        mark: u64,
        answer: ClientEvent,
        receipt: u64,
    },
    /// The first line of a dial arrives at the server.
    DialReceived {
        connection: ConnectionId,
    },
    DialTimeout {
        process: ProcessId,
        session_id: SessionId,
        dial: u32,
    },
    /// The end of a connection arrives at the server.
    ConnectionClosed {
        connection: ConnectionId,
    },
    /// A health check arrives at a server.
    HealthCheck {
        process: ProcessId,
        server: ServerId,
        index: usize,
        sent_at: Micros,
    },
    /// The discovery service writes to a watch.
    WatchEvent {
        process: ProcessId,
        watch: u32,
    },
    /// A datagram or a stream's frame arrives from another relay.
    Transmission {
        from: usize,
        to: usize,
        transmission: Transmission,
    },
    /// All relays are polled for their views of the membership.
    PollViews,
    /// An operator retries the request for a drain.
    RequestDrain {
        relay: usize,
        duration: Micros,
    },
    /// An operator ends a relay's drain.
    Activate {
        relay: usize,
    },
    /// The server has not answered a client's message in time.
    SilenceTimeout {
        process: ProcessId,
        session_id: SessionId,
        connection: ConnectionId,
    },
}

impl QueuedEvent {
    /// The process for which the event was scheduled. After the end of this process, the event is ignored.
    fn process(&self) -> Option<ProcessId> {
        match self {
            Self::Relay { process, .. }
            | Self::Timer { process, .. }
            | Self::ClientDisconnected { process, .. }
            | Self::DialTimeout { process, .. }
            | Self::HealthCheck { process, .. }
            | Self::WatchEvent { process, .. }
            | Self::SilenceTimeout { process, .. } => Some(*process),
            Self::FirstLine(_)
            | Self::Answer { .. }
            | Self::DialReceived { .. }
            | Self::ConnectionClosed { .. }
            | Self::Transmission { .. }
            | Self::PollViews
            | Self::RequestDrain { .. }
            | Self::Activate { .. } => None,
        }
    }

    /// The relay whose process must be running to handle the event; `None` if no process is needed.
    fn receiver(&self) -> Option<usize> {
        match self {
            Self::FirstLine(request) => Some(request.relay),
            Self::Transmission { to, .. } => Some(*to),
            // The server and the discovery service handle these, even if the process is stalled.
            Self::HealthCheck { .. } | Self::WatchEvent { .. } => None,
            other => other.process().map(|process| process.relay),
        }
    }
}

impl VirtualDay<'_> {
    /// Handles a due event. An event for a stalled process is kept until the process resumes.
    pub(super) fn handle(&mut self, event: QueuedEvent, todo: &mut DriverActions) {
        if let Some(waiting) = event.receiver().and_then(|relay| self.relays[relay].stalled.as_mut()) {
            return waiting.push(event);
        }
        if event.process().is_some_and(|process| !self.is_current(process)) {
            return;
        }
        match event {
            QueuedEvent::Relay { process, event } => self.relay_event(process.relay, *event),
            QueuedEvent::Timer { process, timer } => self.step(process.relay, Event::Timer(timer)),
            QueuedEvent::FirstLine(request) => self.receive_first_line(*request),
            QueuedEvent::ClientDisconnected { process, session_id } => {
                self.client_disconnected(process.relay, session_id);
            }
            QueuedEvent::Answer { mark, answer, receipt } => self.receive_answer(mark, answer, receipt),
            QueuedEvent::DialReceived { connection } => self.dial_received(connection, todo),
            QueuedEvent::DialTimeout { process, session_id, dial } => {
                self.dial_timeout(process.relay, session_id, dial, todo);
            }
            QueuedEvent::ConnectionClosed { connection } => self.close_connection(connection, todo),
            QueuedEvent::HealthCheck { process, server, index, sent_at } => {
                self.check_health(process.relay, server, index, sent_at, todo);
            }
            QueuedEvent::WatchEvent { process, watch } => self.send_watch_event(process.relay, watch, todo),
            QueuedEvent::SilenceTimeout { process, session_id, connection } => {
                self.silence_timeout(process.relay, session_id, connection);
            }
            QueuedEvent::Transmission { from, to, transmission } => {
                self.receive_transmission(from, to, transmission);
            }
            QueuedEvent::PollViews => self.poll_views(),
            QueuedEvent::RequestDrain { relay, duration } => self.request_drain(relay, duration),
            QueuedEvent::Activate { relay } => self.activate(relay),
        }
    }

    fn relay_event(&mut self, relay: usize, event: Event) {
        // When the relay learns that an open session has ended, the session's connection has ended as well.
        if let Event::SessionEnded { session_id, .. } = &event {
            if let Some(session) = self.relays[relay].sessions.get_mut(session_id) {
                (session.is_open, session.connection) = (false, None);
            }
        }
        self.step(relay, event);
    }
}
