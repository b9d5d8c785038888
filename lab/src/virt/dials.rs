//! Connections between relays and servers: dials, and what servers send on them.
use super::events::QueuedEvent;
use super::state::{server_at, BackendConnection};
use super::VirtualDay;
use hallrelay_balancer::types::{DialEnd, Micros, SessionId};
use hallrelay_config::scenario::ConnectionFault;
use hallrelay_emulator::audit::{DialOutcome, DialReceived};
use hallrelay_emulator::clients::ClientEvent;
use hallrelay_emulator::day::DriverActions;
use hallrelay_emulator::servers::{ConnectionId, DialRequest, Reachability, ServerEvent, ServerLine};
use hallrelay_relay::reducer::Event;
use std::net::SocketAddr;

impl VirtualDay<'_> {
    /// A relay dials a server for a session.
    pub(super) fn dial(
        &mut self,
        relay: usize,
        session_id: SessionId,
        dial: u32,
        addr: SocketAddr,
        timeout: Micros,
    ) {
        let server = server_at(addr);
        let reachability = self.day.servers.reachability(server, relay);
        let fault = match reachability {
            Reachability::Open => self.day.servers.draw_wire_fault(server),
            Reachability::Refused | Reachability::Unresponsive => None,
        };
        let r = &mut self.relays[relay];
        let connect_timeout = r.limits.connect_timeout;
        let session = r.sessions.get_mut(&session_id);
        if let Some(session) = session {
            session.dials = dial + 1;
        }
        let Some(mark) = r.mark_of(session_id) else { return };
        let latency = self.server_latency();
        let unconnected_after = match (reachability, fault) {
            (Reachability::Refused, _) | (_, Some(ConnectionFault::Refused)) => Some(2 * latency),
            (Reachability::Unresponsive, _) | (_, Some(ConnectionFault::NeverUp)) => {
                Some(timeout.min(connect_timeout))
            }
            (Reachability::Open, _) => None,
        };
        if let Some(after) = unconnected_after {
            let end = DialEnd::Unconnected;
            return self.notify_after(after, relay, Event::DialEnded { session_id, dial, end, report: None });
        }
        self.last_connection += 1;
        let connection = self.last_connection;
        if let Some(session) = self.relays[relay].sessions.get_mut(&session_id) {
            session.connection = Some(connection);
        }
        let process = self.process_id(relay);
        let in_flight = BackendConnection {
            process,
            session_id,
            dial,
            mark,
            server,
            request: self.dial_request(relay, server, mark),
            is_received: false,
            is_established: false,
            fault,
        };
        self.dials.insert(connection, in_flight);
        // A round trip to connect, and one way for the first line.
        self.schedule_after(3 * latency, QueuedEvent::DialReceived { connection });
        self.schedule_after(timeout, QueuedEvent::DialTimeout { process, session_id, dial });
    }

    fn dial_request(&self, relay: usize, server: usize, mark: u64) -> DialRequest {
        let mut dial_request = DialRequest { server, relay, ..DialRequest::default() };
        if let Some(request) = self.requests.get(&mark) {
            dial_request.listener = request.listener;
            dial_request.key = request.key;
            dial_request.group = request.group;
            dial_request.is_pre_existing = request.pre_existing_at.is_some();
            dial_request.lifetime = request.ended_after;
        }
        dial_request
    }

    /// The first line of a dial arrives at the server, unless a connection fault ends the dial.
    pub(super) fn dial_received(&mut self, connection: ConnectionId, todo: &mut DriverActions) {
        let Some(dial) = self.dials.get_mut(&connection) else { return };
        let (relay, server, mark) = (dial.process.relay, dial.server, dial.mark);
        let received = DialReceived { mark, relay, backend: server, first_byte_at: self.now };
        let is_reachable = self.day.servers.reachability(server, relay) == Reachability::Open;
        if !is_reachable
            || matches!(dial.fault, Some(ConnectionFault::ResetBefore | ConnectionFault::ResetAfter))
        {
            if is_reachable && dial.fault == Some(ConnectionFault::ResetAfter) {
                self.day.audit.dial_received(self.now, &received);
                self.day.audit.dial_ended(self.now, mark, server, DialOutcome::MayHaveRun);
            }
            return self.dial_failed(connection, DialEnd::Reset);
        }
        dial.is_received = true;
        let (request, fault) = (dial.request.clone(), dial.fault);
        self.day.audit.dial_received(self.now, &received);
        if !matches!(fault, Some(ConnectionFault::Silence | ConnectionFault::HalfLine)) {
            self.day.servers.dial_received(self.now, connection, &request, &mut todo.server_events);
        }
    }

    /// A dial times out: the relay closes its connection before it does anything else.
    pub(super) fn dial_timeout(
        &mut self,
        relay: usize,
        session_id: SessionId,
        dial: u32,
        todo: &mut DriverActions,
    ) {
        let Some(session) = self.relays[relay].sessions.get_mut(&session_id) else { return };
        if session.dials != dial + 1 || session.is_open {
            return;
        }
        let Some(connection) = session.connection.take() else { return };
        self.close_connection(connection, todo);
        self.step(relay, Event::DialEnded { session_id, dial, end: DialEnd::Timeout, report: None });
    }

    /// The end of a connection arrives at the server.
    pub(super) fn close_connection(&mut self, connection: ConnectionId, todo: &mut DriverActions) {
        let Some(dial) = self.dials.remove(&connection) else { return };
        if dial.is_received {
            self.day.servers.connection_closed(self.now, connection, &mut todo.server_events);
            self.day.audit.dial_ended(self.now, dial.mark, dial.server, DialOutcome::MayHaveRun);
        }
    }

    /// A dial ends before its session is established. The relay notices this after the latency.
    fn dial_failed(&mut self, connection: ConnectionId, end: DialEnd) {
        let Some(dial) = self.dials.remove(&connection) else { return };
        let is_current = self.is_current(dial.process);
        let relay = dial.process.relay;
        let Some(session) = self.relays[relay].sessions.get_mut(&dial.session_id) else { return };
        if is_current && session.connection == Some(connection) {
            session.connection = None;
            let (session_id, dial) = (dial.session_id, dial.dial);
            let ended = Event::DialEnded { session_id, dial, end, report: None };
            self.notify_after(self.server_latency(), relay, ended);
        }
    }

    /// A server ends an open session. The client receives `BYE` if the session was complete, otherwise
    /// `MOVE`.
    fn session_ended(&mut self, connection: ConnectionId, end: DialEnd) {
        let Some(dial) = self.dials.remove(&connection) else { return };
        let is_current = self.is_current(dial.process);
        let (relay, session_id) = (dial.process.relay, dial.session_id);
        let Some(session) = self.relays[relay].sessions.get_mut(&session_id) else { return };
        if !is_current || session.connection != Some(connection) {
            return;
        }
        session.is_over = true;
        let latency = self.server_latency();
        self.notify_after(latency, relay, Event::SessionEnded { session_id, end, report: None });
        let answer = if end == DialEnd::Ok { ClientEvent::Ended } else { ClientEvent::Migrated };
        let answer = QueuedEvent::Answer { mark: dial.mark, answer, receipt: 0 };
        self.schedule_after(latency + self.client_latency(), answer);
    }

    /// Handles lines and resets from the emulated servers, and changes of their reachability. The other
    /// outputs of the servers go back to the models.
    pub(super) fn server_output(&mut self, output: ServerEvent, todo: &mut DriverActions) {
        match output {
            ServerEvent::Line { connection, line } => self.server_line(connection, line),
            ServerEvent::Reset { connection } => self.connection_reset(connection),
            ServerEvent::ReachabilityChanged { server } => self.reachability_changed(server),
            other => todo.server_events.push(other),
        }
    }

    /// A server resets a connection.
    fn connection_reset(&mut self, connection: ConnectionId) {
        let Some(dial) = self.dials.get(&connection) else { return };
        self.day.audit.dial_ended(self.now, dial.mark, dial.server, DialOutcome::MayHaveRun);
        if dial.is_established {
            self.session_ended(connection, DialEnd::Reset);
        } else {
            self.dial_failed(connection, DialEnd::Reset);
        }
    }

    /// The reachability of a server has changed. Each relay to which it no longer responds will end its open
    /// sessions at this server after a timeout.
    fn reachability_changed(&mut self, server: usize) {
        for relay in 0..self.relays.len() {
            if self.day.servers.reachability(server, relay) != Reachability::Unresponsive {
                continue;
            }
            let is_at_server = |connection: Option<ConnectionId>| {
                let dial = connection.and_then(|connection| self.dials.get(&connection));
                dial.is_some_and(|dial| dial.server == server)
            };
            let sessions = self.relays[relay].sessions.iter();
            let open = sessions.filter(|(_, session)| session.is_open && is_at_server(session.connection));
            let open: Vec<SessionId> = open.map(|(session_id, _)| *session_id).collect();
            for session_id in open {
                self.schedule_silence_timeout(relay, session_id);
            }
        }
    }

    /// A server sends a line.
    fn server_line(&mut self, connection: ConnectionId, line: ServerLine) {
        let Some(dial) = self.dials.get(&connection) else { return };
        let (mark, server, is_established) = (dial.mark, dial.server, dial.is_established);
        let (process, session_id, number) = (dial.process, dial.session_id, dial.dial);
        let relay = process.relay;
        let can_send = self.day.servers.can_send(server, relay);
        let session = self.relays[relay].sessions.get(&session_id);
        let is_connected = session.is_some_and(|session| session.connection == Some(connection));
        match line {
            ServerLine::Busy => self.day.audit.dial_ended(self.now, mark, server, DialOutcome::NeverRan),
            ServerLine::Err | ServerLine::Bye | ServerLine::Move => {
                self.day.audit.dial_ended(self.now, mark, server, DialOutcome::MayHaveRun);
            }
            ServerLine::Up => self.day.audit.session_established(self.now, mark, server, connection),
            ServerLine::Load(_) => {}
        }
        if !self.is_current(process) || !is_connected || !can_send {
            return;
        }
        let latency = self.server_latency();
        match line {
            ServerLine::Up => {
                let established = Event::SessionEstablished { session_id, dial: number };
                self.notify_after(latency, relay, established);
            }
            // Nine out of ten lines are load reports on open sessions. They are delivered without latency:
            // this needs no queued event for each of them, which saves much of the running time.
            ServerLine::Load(load) if is_established => {
                self.step(relay, Event::LoadReported { session_id, load })
            }
            ServerLine::Load(load) => {
                self.notify_after(latency, relay, Event::LoadReported { session_id, load })
            }
            ServerLine::Busy => self.dial_failed(connection, DialEnd::Full),
            ServerLine::Err => self.dial_failed(connection, DialEnd::Error),
            ServerLine::Bye if is_established => self.session_ended(connection, DialEnd::Ok),
            ServerLine::Move if is_established => self.session_ended(connection, DialEnd::Cancelled),
            ServerLine::Move => self.dial_failed(connection, DialEnd::Cancelled),
            ServerLine::Bye => {
                self.dial_failed(connection, DialEnd::Ok);
                let answer = QueuedEvent::Answer { mark, answer: ClientEvent::Ended, receipt: 0 };
                self.schedule_after(latency + self.client_latency(), answer);
            }
        }
    }
}
