//! Open sessions that pass from one process of the relay to the next.
use super::{Effect, Reducer, Session, SessionStage};
use hallrelay_balancer::types::{AdmissionRequest, Input, SessId};
use hallrelay_hot_restart::SessionState;

impl Reducer {
    /// Hands an open session over to the process that owns the listener. In a drain it is moved to another
    /// relay instead.
    pub(super) fn hand_over_session(&mut self, session_id: SessId, out: &mut Vec<Effect>) {
        let Some(peer) = self.ownership.successor().filter(|_| self.draining_since().is_none()) else {
            return;
        };
        let Some(s) = self.sessions.get_mut(&session_id).filter(|s| s.stage == SessionStage::Proxying) else {
            return;
        };
        let Some(backend) = s.server.and_then(|id| self.servers.get(&id)).map(|v| &v.instance) else {
            return;
        };
        let session = SessionState {
            id: s.id,
            listener: s.listener.to_string(),
            server: backend.id.clone(),
            key: s.request.key,
            group: s.request.group,
            returned: s.request.returned,
            ..SessionState::default()
        };
        s.stage = SessionStage::HandingOver;
        out.push(Effect::HandOverSession { session_id, peer, state: Box::new(session) });
    }

    /// The other process could not take it: it stays here, and moves as this process drains.
    pub(super) fn session_handover_failed(&mut self, session_id: SessId) {
        if let Some(s) = self.sessions.get_mut(&session_id).filter(|s| s.stage == SessionStage::HandingOver) {
            s.stage = SessionStage::Proxying;
        }
    }

    /// An open session of the predecessor, after its first answer.
    pub(super) fn adopt_session(&mut self, session_id: SessId, session: SessionState, out: &mut Vec<Effect>) {
        let listeners = &self.node.site.listeners;
        // This process' configuration may no longer have its listener; an open session needs none.
        let listener = listeners.iter().position(|name| *name == session.listener).unwrap_or(0);
        let SessionState { key, group, returned, .. } = session;
        let request = AdmissionRequest { listener, key, group, returned, time_remaining: 0 };
        let server = self.ids.get(&session.server).copied();
        let adopted = Session {
            id: session.id,
            listener: session.listener.as_str().into(),
            request,
            stage: SessionStage::Proxying,
            server,
            dials: 1,
            deadline: self.now,
            last_load_at: None,
            is_resuming: false,
        };
        self.predecessor_session_ids.remove(&session.id);
        self.session_ids.insert(session.id);
        self.sessions.insert(session_id, adopted);
        let remaining = &mut self.predecessor_remaining;
        remaining.connections = remaining.connections.saturating_sub(1);
        remaining.sessions = remaining.sessions.saturating_sub(1);
        out.push(Effect::StartProxying { session_id });
        // At a server that the list no longer names the session goes on, and the balancer need not know.
        if let Some(server) = server {
            self.step_balancer(Input::SessionAdopted { session: session_id, server, request }, out);
        }
        // This process may have a successor by now.
        self.hand_over_session(session_id, out);
    }
}
