//! The server side of relays: dials, and what servers send on their connections.
use super::events::QueuedEvent;
use super::state::{server_at, BackendConnection};
use super::VirtualDay;
use hallrelay_balancer::types::{DialEnd, Micros, SessId};
use hallrelay_config::scenario::Fault;
use hallrelay_emulator::audit::{DialOutcome, DialReceived};
use hallrelay_emulator::clients::Heard;
use hallrelay_emulator::day::Todo;
use hallrelay_emulator::servers::{ConnNo, Dialled, Reach, Told, Word};
use hallrelay_relay::reducer::Event;
use std::net::SocketAddr;

impl VirtualDay<'_> {
    /// A relay dials a server for a session.
    pub(super) fn dial(
        &mut self,
        relay: usize,
        session_id: SessId,
        dial: u32,
        addr: SocketAddr,
        timeout: Micros,
    ) {
        let server = server_at(addr);
        let reach = self.day.servers.reach(server, relay);
        let fault = if reach == Reach::Open { self.day.servers.fault(server) } else { None };
        let r = &mut self.relays[relay];
        let connect_timeout = r.limits.connect;
        let session = r.sessions.get_mut(&session_id);
        if let Some(session) = session {
            session.dials = dial + 1;
        }
        let Some(mark) = r.mark_of(session_id) else { return };
        let latency = self.server_latency();
        let unconnected_after = match (reach, fault) {
            (Reach::Refused, _) | (_, Some(Fault::Refused)) => Some(2 * latency),
            (Reach::NeverUp, _) | (_, Some(Fault::NeverUp)) => Some(timeout.min(connect_timeout)),
            (Reach::Open, _) => None,
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
        // A round trip to connect, and the first line.
        self.schedule_after(3 * latency, QueuedEvent::DialReceived { connection });
        self.schedule_after(timeout, QueuedEvent::DialTimeout { process, session_id, dial });
    }

    fn dial_request(&self, relay: usize, server: usize, mark: u64) -> Dialled {
        let mut dialled = Dialled { server, relay, ..Dialled::default() };
        if let Some(request) = self.requests.get(&mark) {
            dialled.listener = request.listener;
            dialled.key = request.key;
            dialled.group = request.group;
            dialled.standing = request.at.is_some();
            dialled.life = request.bye;
        }
        dialled
    }

    /// A dial's first line arrives at its server, unless a fault of the wire ends it.
    pub(super) fn dial_received(&mut self, connection: ConnNo, todo: &mut Todo) {
        let Some(dial) = self.dials.get_mut(&connection) else { return };
        let (relay, server, mark) = (dial.process.relay, dial.server, dial.mark);
        let received = DialReceived { mark, relay, backend: server, first_byte_at: self.now };
        let is_reachable = self.day.servers.reach(server, relay) == Reach::Open;
        if !is_reachable || matches!(dial.fault, Some(Fault::ResetBefore | Fault::ResetAfter)) {
            if is_reachable && dial.fault == Some(Fault::ResetAfter) {
                self.day.audit.dial_received(self.now, &received);
                self.day.audit.dial_ended(self.now, mark, server, DialOutcome::MayHaveRan);
            }
            return self.dial_failed(connection, DialEnd::Reset);
        }
        dial.is_received = true;
        let (request, fault) = (dial.request.clone(), dial.fault);
        self.day.audit.dial_received(self.now, &received);
        if !matches!(fault, Some(Fault::Silence | Fault::HalfLine)) {
            self.day.servers.dialled(self.now, connection, &request, &mut todo.told);
        }
    }

    /// The time of a dial is over: the relay closes it before it does anything else.
    pub(super) fn dial_timeout(&mut self, relay: usize, session_id: SessId, dial: u32, todo: &mut Todo) {
        let Some(session) = self.relays[relay].sessions.get_mut(&session_id) else { return };
        if session.dials != dial + 1 || session.is_open {
            return;
        }
        let Some(connection) = session.connection.take() else { return };
        self.close_connection(connection, todo);
        self.step(relay, Event::DialEnded { session_id, dial, end: DialEnd::Timeout, report: None });
    }

    /// A connection's end arrives at its server.
    pub(super) fn close_connection(&mut self, connection: ConnNo, todo: &mut Todo) {
        let Some(dial) = self.dials.remove(&connection) else { return };
        if dial.is_received {
            self.day.servers.closed(self.now, connection, &mut todo.told);
            self.day.audit.dial_ended(self.now, dial.mark, dial.server, DialOutcome::MayHaveRan);
        }
    }

    /// A dial ends before its session is established; its relay sees that later.
    fn dial_failed(&mut self, connection: ConnNo, end: DialEnd) {
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

    /// A server ends an open session; its client gets to know why.
    fn session_ended(&mut self, connection: ConnNo, end: DialEnd) {
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
        let answer = if end == DialEnd::Ok { Heard::Bye } else { Heard::Moved };
        let answer = QueuedEvent::Answer { mark: dial.mark, answer, receipt: 0 };
        self.schedule_after(latency + self.client_latency(), answer);
    }

    /// What the emulated servers send on connections, and changes of their reachability; what else they put
    /// out goes back to the models.
    pub(super) fn server_output(&mut self, output: Told, todo: &mut Todo) {
        match output {
            Told::Word { conn, word } => self.server_line(conn, word),
            Told::Reset { conn } => self.connection_reset(conn),
            Told::Reach { server } => self.reachability_changed(server),
            other => todo.told.push(other),
        }
    }

    /// A server resets a connection.
    fn connection_reset(&mut self, connection: ConnNo) {
        let Some(dial) = self.dials.get(&connection) else { return };
        self.day.audit.dial_ended(self.now, dial.mark, dial.server, DialOutcome::MayHaveRan);
        if dial.is_established {
            self.session_ended(connection, DialEnd::Reset);
        } else {
            self.dial_failed(connection, DialEnd::Reset);
        }
    }

    /// Relays that a server no longer answers will end their open sessions there.
    fn reachability_changed(&mut self, server: usize) {
        for relay in 0..self.relays.len() {
            if self.day.servers.reach(server, relay) != Reach::NeverUp {
                continue;
            }
            let is_there = |connection: Option<ConnNo>| {
                let dial = connection.and_then(|connection| self.dials.get(&connection));
                dial.is_some_and(|dial| dial.server == server)
            };
            let sessions = self.relays[relay].sessions.iter();
            let open = sessions.filter(|(_, session)| session.is_open && is_there(session.connection));
            let open: Vec<SessId> = open.map(|(session_id, _)| *session_id).collect();
            for session_id in open {
                self.schedule_silence_timeout(relay, session_id);
            }
        }
    }

    /// A server sends a line.
    fn server_line(&mut self, connection: ConnNo, line: Word) {
        let Some(dial) = self.dials.get(&connection) else { return };
        let (mark, server, is_established) = (dial.mark, dial.server, dial.is_established);
        let (process, session_id, number) = (dial.process, dial.session_id, dial.dial);
        let relay = process.relay;
        let is_heard = self.day.servers.speaks(server, relay);
        let session = self.relays[relay].sessions.get(&session_id);
        let is_there = session.is_some_and(|session| session.connection == Some(connection));
        match line {
            Word::Busy => self.day.audit.dial_ended(self.now, mark, server, DialOutcome::NeverRan),
            Word::Err | Word::Bye | Word::Move => {
                self.day.audit.dial_ended(self.now, mark, server, DialOutcome::MayHaveRan);
            }
            Word::Up => self.day.audit.session_established(self.now, mark, server, connection),
            Word::Load(_) => {}
        }
        if !self.is_current(process) || !is_there || !is_heard {
            return;
        }
        let latency = self.server_latency();
        match line {
            Word::Up => {
                let established = Event::SessionEstablished { session_id, dial: number };
                self.notify_after(latency, relay, established);
            }
            // Nine of ten lines: without latency, since an event less in the queue saves much of the time.
            Word::Load(load) if is_established => self.step(relay, Event::LoadReported { session_id, load }),
            Word::Load(load) => self.notify_after(latency, relay, Event::LoadReported { session_id, load }),
            Word::Busy => self.dial_failed(connection, DialEnd::Full),
            Word::Err => self.dial_failed(connection, DialEnd::Error),
            Word::Bye if is_established => self.session_ended(connection, DialEnd::Ok),
            Word::Move if is_established => self.session_ended(connection, DialEnd::Recalled),
            Word::Move => self.dial_failed(connection, DialEnd::Recalled),
            Word::Bye => {
                self.dial_failed(connection, DialEnd::Ok);
                let answer = QueuedEvent::Answer { mark, answer: Heard::Bye, receipt: 0 };
                self.schedule_after(latency + self.client_latency(), answer);
            }
        }
    }
}
