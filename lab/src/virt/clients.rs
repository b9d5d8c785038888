//! Connections between clients and relays: first lines, answers and disconnections.
use super::events::QueuedEvent;
use super::state::ClientSession;
use super::VirtualDay;
use hallrelay_balancer::types::{DialEnd, SessionId};
use hallrelay_emulator::audit::{Answer, RequestSent};
use hallrelay_emulator::clients::{ClientAction, ClientEvent, ClientRequest};
use hallrelay_relay::lines::SessionRequest;
use hallrelay_relay::reducer::Event;

impl VirtualDay<'_> {
    /// A client connects or disconnects.
    pub(super) fn client_action(&mut self, action: ClientAction) {
        match action {
            ClientAction::Open(request) => {
                self.requests.insert(request.mark, request.clone());
                self.schedule_after(self.client_latency(), QueuedEvent::FirstLine(Box::new(request)));
            }
            ClientAction::Leave { mark } => self.disconnect_client(mark),
        }
    }

    /// A client closes its connection. The relay notices this after the latency between them.
    fn disconnect_client(&mut self, mark: u64) {
        self.day.audit.client_left(self.now, mark);
        let Some(request) = self.requests.remove(&mark) else { return };
        let process = self.process_id(request.relay);
        if let Some(&session_id) = self.relays[request.relay].session_ids_by_mark.get(&mark) {
            let disconnected = QueuedEvent::ClientDisconnected { process, session_id };
            self.schedule_after(self.client_latency(), disconnected);
        }
    }

    /// A client's first line arrives at its relay.
    pub(super) fn receive_first_line(&mut self, request: ClientRequest) {
        let (relay, mark) = (request.relay, request.mark);
        if !self.requests.contains_key(&mark) {
            return; // The client has disconnected in the meantime.
        }
        if self.relays[relay].state_machine.is_none() {
            return self.receive_answer(mark, ClientEvent::Unreachable, 0);
        }
        let sent = RequestSent {
            mark,
            relay,
            listener: request.listener,
            wait: request.dial_timeout,
            is_pre_existing: request.pre_existing_at.is_some(),
        };
        self.day.audit.session_requested(self.now - self.client_latency(), &sent);
        let r = &mut self.relays[relay];
        r.last_session_id = r.last_session_id.wrapping_add(1);
        let session_id = r.last_session_id;
        r.session_ids_by_mark.insert(mark, session_id);
        r.sessions.insert(session_id, ClientSession::new(mark));
        let margin = r.limits.answer_margin;
        let time_remaining = request.dial_timeout.saturating_sub(margin + self.client_latency());
        let open = self.first_line(request);
        self.step(relay, Event::ClientConnected { connection_id: session_id });
        self.step(relay, Event::SessionRequested { session_id, open, time_remaining });
    }

    fn first_line(&self, request: ClientRequest) -> SessionRequest {
        let server_id = |server: usize| self.day.servers.endpoints.identities[server].id.clone();
        SessionRequest {
            id: request.mark,
            listener: self.day.scenario.listeners[request.listener].name.clone(),
            key: request.key,
            group: request.group,
            returned: request.returned,
            wait_ms: request.dial_timeout / 1000,
            at: request.pre_existing_at.map(server_id),
            ..SessionRequest::default()
        }
    }

    /// An answer, or the end of the client's connection, arrives at a client. All but `UP` end the session.
    pub(super) fn receive_answer(&mut self, mark: u64, received: ClientEvent, receipt: u64) {
        let answer = match received {
            ClientEvent::Established => Some(Answer::Up(receipt)),
            ClientEvent::Rejected(_) => Some(Answer::Busy),
            ClientEvent::Failed => Some(Answer::Failed),
            ClientEvent::Closed => Some(Answer::Closed),
            ClientEvent::Migrated | ClientEvent::Ended | ClientEvent::Unreachable => None,
        };
        let ends_open_session = received != ClientEvent::Established && self.day.audit.is_established(mark);
        if let Some(answer) = answer.filter(|_| !ends_open_session) {
            self.day.audit.client_answered(self.now, mark, &answer);
        }
        if !self.day.clients.is_present(mark) {
            return;
        }
        self.day.clients.handle(self.now, mark, received);
        if received != ClientEvent::Established {
            self.disconnect_client(mark);
        }
    }

    /// A client's disconnection arrives at its relay.
    pub(super) fn client_disconnected(&mut self, relay: usize, session_id: SessionId) {
        let r = &mut self.relays[relay];
        let Some(session) = r.sessions.remove(&session_id) else { return };
        r.session_ids_by_mark.remove(&session.mark);
        r.disconnected.insert(session_id, session.mark);
        if let Some(connection) = session.connection {
            self.schedule_after(self.server_latency(), QueuedEvent::ConnectionClosed { connection });
        }
        self.step(relay, Event::ClientDisconnected { session_id });
    }

    /// Sends a client its final answer. If a dial for its session is in flight, the relay abandons the dial.
    pub(super) fn send_final_answer(&mut self, relay: usize, session_id: SessionId, answer: ClientEvent) {
        let Some(session) = self.relays[relay].sessions.get_mut(&session_id) else { return };
        session.is_over = true;
        let (mark, connection) = (session.mark, session.connection.take());
        if let Some(connection) = connection {
            self.schedule_after(self.server_latency(), QueuedEvent::ConnectionClosed { connection });
        }
        self.schedule_after(self.client_latency(), QueuedEvent::Answer { mark, answer, receipt: 0 });
    }

    /// Answers a client that its session is established.
    pub(super) fn start_proxying(&mut self, relay: usize, session_id: SessionId) {
        let Some(session) = self.relays[relay].sessions.get_mut(&session_id) else { return };
        session.is_open = true;
        let (mark, receipt) = (session.mark, session.connection.unwrap_or(0));
        if let Some(connection) = session.connection {
            self.dials.entry(connection).and_modify(|dial| dial.is_established = true);
        }
        self.schedule_after(
            self.client_latency(),
            QueuedEvent::Answer { mark, answer: ClientEvent::Established, receipt },
        );
        self.schedule_silence_timeout(relay, session_id);
    }

    /// Answers a client `MOVE`: the relay ends the open session, and the client requests another one.
    pub(super) fn migrate(&mut self, relay: usize, session_id: SessionId) {
        let Some(session) = self.relays[relay].sessions.get_mut(&session_id) else { return };
        (session.is_open, session.is_over) = (false, true);
        let (mark, connection) = (session.mark, session.connection.take());
        if let Some(connection) = connection {
            self.schedule_after(self.server_latency(), QueuedEvent::ConnectionClosed { connection });
        }
        let ended = Event::SessionEnded { session_id, end: DialEnd::Cancelled, report: None };
        self.notify_after(0, relay, ended);
        let answer = ClientEvent::Migrated;
        self.schedule_after(self.client_latency(), QueuedEvent::Answer { mark, answer, receipt: 0 });
    }
}
