//! Open sessions at servers that no longer send anything. The relay detects such a silent server when a
//! message on the session is not answered in time. For a suspect server the time limit is `probe_timeout`,
//! otherwise `silence_timeout`.
use super::events::QueuedEvent;
use super::VirtualDay;
use hallrelay_balancer::types::{DialEnd, SessionId};
use hallrelay_emulator::clients::{mix, ClientEvent};
use hallrelay_emulator::servers::ConnectionId;
use hallrelay_relay::reducer::Event;

impl VirtualDay<'_> {
    /// The relay starts or stops suspecting the server of a session.
    pub(super) fn set_suspect(&mut self, relay: usize, session_id: SessionId, is_suspect: bool) {
        if let Some(session) = self.relays[relay].sessions.get_mut(&session_id) {
            session.is_suspect = is_suspect;
        }
        self.schedule_silence_timeout(relay, session_id);
    }

    /// Schedules the timeout of an open session if its server is silent now.
    pub(super) fn schedule_silence_timeout(&mut self, relay: usize, session_id: SessionId) {
        let r = &self.relays[relay];
        let Some(session) = r.sessions.get(&session_id).filter(|session| session.is_open) else { return };
        let Some(connection) = session.connection else { return };
        let Some(dial) = self.dials.get(&connection) else { return };
        if self.day.servers.can_send(dial.server, relay) {
            return;
        }
        let timeout = if session.is_suspect { r.limits.probe_timeout } else { r.limits.silence_timeout };
        let period = self.day.scenario.clients.message_s.us();
        // Each client sends a message every period, at its own offset.
        let offset = mix(session.mark) % period;
        let next_message = self.now + (offset + period - self.now % period) % period;
        // At a suspect server the client's previous message may be unanswered already, so its time counts,
        // but not earlier than now.
        let unanswered_since =
            if session.is_suspect { next_message.saturating_sub(period).max(self.now) } else { next_message };
        let process = self.process_id(relay);
        let event = QueuedEvent::SilenceTimeout { process, session_id, connection };
        self.queue.schedule(unanswered_since + timeout, event);
    }

    /// A message was not answered in time: the relay ends the session, unless the server can send again.
    pub(super) fn silence_timeout(&mut self, relay: usize, session_id: SessionId, connection: ConnectionId) {
        let Some(session) = self.relays[relay].sessions.get_mut(&session_id) else { return };
        let Some(server) = self.dials.get(&connection).map(|dial| dial.server) else { return };
        let is_still_open = session.is_open && session.connection == Some(connection);
        if !is_still_open || self.day.servers.can_send(server, relay) {
            return;
        }
        let mark = session.mark;
        (session.is_open, session.is_over, session.connection) = (false, true, None);
        self.schedule_after(self.server_latency(), QueuedEvent::ConnectionClosed { connection });
        self.step(relay, Event::SessionEnded { session_id, end: DialEnd::Reset, report: None });
        let answer = ClientEvent::Migrated;
        self.schedule_after(self.client_latency(), QueuedEvent::Answer { mark, answer, receipt: 0 });
    }
}
