//! Handover of open sessions from one process of the relay to the next.
use super::{Effect, Reducer, Session, SessionStage};
use hallrelay_balancer::types::{AdmissionRequest, Input, SessionId};
use hallrelay_hot_restart::SessionState;

impl Reducer {
    /// Hands an open session over to the process that owns the listening socket. During a drain the session
    /// is migrated to another relay instead.
    pub(super) fn hand_over_session(&mut self, session_id: SessionId, out: &mut Vec<Effect>) {
        let Some(successor) = self.ownership.successor().filter(|_| self.draining_since().is_none()) else {
            return;
        };
        let Some(session) =
            self.sessions.get_mut(&session_id).filter(|session| session.stage == SessionStage::Proxying)
        else {
            return;
        };
        let Some(backend) =
            session.server.and_then(|id| self.servers.get(&id)).map(|server| &server.instance)
        else {
            return;
        };
        let state = SessionState {
            id: session.client_session_id,
            listener: session.listener.to_string(),
            server: backend.id.clone(),
            key: session.request.key,
            group: session.request.group,
            returned: session.request.returned,
            ..SessionState::default()
        };
        session.stage = SessionStage::HandingOver;
        out.push(Effect::HandOverSession { session_id, peer: successor, state: Box::new(state) });
    }

    /// The other process could not take the session over: it stays in this process, and is migrated when this
    /// process drains.
    pub(super) fn session_handover_failed(&mut self, session_id: SessionId) {
        if let Some(session) =
            self.sessions.get_mut(&session_id).filter(|session| session.stage == SessionStage::HandingOver)
        {
            session.stage = SessionStage::Proxying;
        }
    }

    /// Takes over an open session of the predecessor, whose client has had its first answer.
    pub(super) fn adopt_session(
        &mut self,
        session_id: SessionId,
        state: SessionState,
        out: &mut Vec<Effect>,
    ) {
        let listeners = &self.node.site.listeners;
        // The configuration of this process may no longer have the session's listener, which an open session
        // does not need. The first listener then stands in for it.
        let known_listener = listeners.iter().position(|name| *name == state.listener);
        let is_listener_known = known_listener.is_some();
        let listener = known_listener.unwrap_or(0);
        let SessionState { key, group, returned, .. } = state;
        let request = AdmissionRequest { listener, key, group, returned, time_remaining: 0 };
        let server = self.ids.get(&state.server).copied();
        let adopted = Session {
            client_session_id: state.id,
            listener: state.listener.as_str().into(),
            request,
            stage: SessionStage::Proxying,
            server,
            dials: 1,
            deadline: self.now,
            last_load_at: None,
            must_not_repeat: !is_listener_known || self.must_not_repeat(listener),
            may_have_run: true,
            is_resuming: false,
        };
        self.predecessor_session_ids.remove(&state.id);
        self.client_session_ids.insert(state.id);
        self.sessions.insert(session_id, adopted);
        let remaining = &mut self.predecessor_remaining;
        remaining.connections = remaining.connections.saturating_sub(1);
        remaining.sessions = remaining.sessions.saturating_sub(1);
        out.push(Effect::StartProxying { session_id });
        // A session at a server that the list no longer names continues, and the balancer need not know of
        // it.
        if let Some(server) = server {
            self.step_balancer(Input::SessionAdopted { session: session_id, server, request }, out);
        }
        // This process may have a successor by now.
        self.hand_over_session(session_id, out);
    }
}
