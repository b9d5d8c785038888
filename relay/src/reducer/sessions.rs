//! Sessions, from a client's request to its final answer or the end of the open session.
use super::{Effect, Reducer, Session, SessionStage, Timer};
use crate::lines::SessionRequest;
use hallrelay_balancer::types::{AdmissionRequest, DialEnd, Input, LoadReport, Micros, SessionId};
use std::rc::Rc;

/// Delay between dials of a session that is to be resumed. Short enough for several dials before its
/// deadline, long enough not to flood a full backend.
const RESUME_RETRY_INTERVAL: Micros = 200_000;

/// The relay's own final answer to a session: a rejection if no dial was made, since nothing was forwarded
/// then, else a failure.
pub(super) fn final_answer(session_id: SessionId, dials: u32) -> Effect {
    match dials {
        0 => Effect::Reject { session_id, retry_after: 0 },
        _ => Effect::TearDown { session_id },
    }
}

impl Reducer {
    /// Whether this dial of the session, numbered from 0, is in progress. Events of earlier dials are
    /// ignored.
    fn is_current_dial(&self, session_id: SessionId, dial: u32) -> bool {
        let is_current =
            |session: &Session| session.stage == SessionStage::Dialing && session.dials == dial + 1;
        self.sessions.get(&session_id).is_some_and(is_current)
    }

    pub(super) fn is_proxying(&self, session_id: SessionId) -> bool {
        self.sessions.get(&session_id).is_some_and(|session| session.stage == SessionStage::Proxying)
    }

    /// Handles a protocol violation. Such a connection is never served, even if a dial is in progress for it.
    pub(super) fn protocol_violation(&mut self, connection_id: SessionId, out: &mut Vec<Effect>) {
        self.pending_pings.retain(|ping| *ping != connection_id);
        out.push(Effect::ReportProtocolError { connection_id });
        self.abandon_session(connection_id, out);
    }

    /// Removes a session without an answer, since its client left or violated the protocol, or another
    /// process took the session over. The balancer is notified, unless the session still waits to be resumed:
    /// the balancer does not know such a session.
    pub(super) fn abandon_session(&mut self, session_id: SessionId, out: &mut Vec<Effect>) {
        let Some(session) = self.remove_session(session_id) else { return };
        self.metrics.of_listener(&session.listener).abandoned += u64::from(session.stage.awaits_answer());
        if !session.is_resuming {
            self.step_balancer(Input::SessionEnded { session: session_id }, out);
        }
    }

    /// Handles the end of a client's connection, whether or not it was a session.
    pub(super) fn client_disconnected(&mut self, session_id: SessionId, out: &mut Vec<Effect>) {
        self.abandon_session(session_id, out);
        self.remove_idle_connection(session_id);
        self.pending_pings.retain(|connection_id| *connection_id != session_id);
    }

    /// Handles a client that closed its sending side before it was answered. The client may have left, so
    /// nothing is forwarded; or it may still read, so its final answer is sent.
    pub(super) fn client_half_closed(&mut self, session_id: SessionId, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get(&session_id) else { return };
        out.push(final_answer(session_id, session.dials));
        self.abandon_session(session_id, out);
    }

    /// Removes a session. Its connection counts as idle until the final answer is sent.
    pub(super) fn remove_session(&mut self, session_id: SessionId) -> Option<Session> {
        let session = self.sessions.remove(&session_id)?;
        self.client_session_ids.remove(&session.client_session_id);
        self.record_finished(&session);
        self.add_idle_connection(session_id);
        Some(session)
    }

    /// Handles a client's first line. `time_remaining` is the rest of the client's timeout.
    pub(super) fn session_requested(
        &mut self,
        session_id: SessionId,
        open: SessionRequest,
        time_remaining: Micros,
        out: &mut Vec<Effect>,
    ) {
        self.log_evicted_ids(out);
        let Some(listener) = self.valid_listener(&open, time_remaining) else {
            return self.protocol_violation(session_id, out);
        };
        self.remove_idle_connection(session_id);
        // A client that sent `PING` before may request a session without waiting for the answer.
        self.pending_pings.retain(|ping| *ping != session_id);
        let request = AdmissionRequest {
            listener,
            key: open.key,
            group: open.group,
            returned: open.returned,
            time_remaining: time_remaining.min(self.node.site.dial_timeouts[listener]),
        };
        let is_resuming = open.at.is_some();
        let timeout = match is_resuming {
            true => time_remaining.min(self.node.limits.resumed_session_timeout),
            false => request.time_remaining,
        };
        let session = Session {
            client_session_id: open.id,
            listener: Rc::from(open.listener),
            request,
            stage: SessionStage::AwaitingPlacement,
            server: None,
            dials: 0,
            deadline: self.now + timeout,
            last_load_at: None,
            must_not_repeat: self.must_not_repeat(listener),
            may_have_run: false,
            is_resuming,
        };
        self.metrics.of_listener(&session.listener).requested += 1;
        self.client_session_ids.insert(session.client_session_id);
        self.sessions.insert(session_id, session);
        if self.is_full() || !self.accepts_sessions() || self.is_past_stop_deadline() {
            return self.send_final_answer(session_id, Effect::Reject { session_id, retry_after: 0 }, out);
        }
        out.push(Effect::StartTimer { after: timeout, timer: Timer::AnswerDeadline(session_id) });
        match open.at {
            // The session waits for discovery's first answer.
            None if self.awaits_first_list => {}
            None => self.step_balancer(Input::SessionRequested { session: session_id, request }, out),
            Some(backend) => self.resume_session(session_id, &backend, out),
        }
    }

    /// The listener of a request. `None` if the request violates the protocol: it names an unknown listener,
    /// the id of another session or of one that must not run again, or a timeout over the limit. Of a resumed
    /// session, whose id may have run, only the listener and other sessions' ids are checked.
    fn valid_listener(&self, open: &SessionRequest, time_remaining: Micros) -> Option<usize> {
        let is_in_use =
            self.client_session_ids.contains(&open.id) || self.predecessor_session_ids.contains(&open.id);
        let is_acceptable =
            time_remaining <= self.node.limits.max_client_timeout && !self.finished_ids.contains(open.id);
        if is_in_use || (open.at.is_none() && !is_acceptable) {
            return None;
        }
        self.node.site.listeners.iter().position(|name| *name == open.listener)
    }

    /// Whether the sessions of this process and its predecessor together exceed the limit; false if the
    /// predecessor has none.
    fn is_full(&self) -> bool {
        let remaining = self.predecessor_remaining.sessions;
        remaining > 0 && self.sessions.len() as u32 + remaining > self.node.limits.max_sessions
    }

    /// Resumes a session at the backend at which it was open before this process started.
    fn resume_session(&mut self, session_id: SessionId, backend: &str, out: &mut Vec<Effect>) {
        let Some(&server) = self.ids.get(backend) else {
            return self.send_final_answer(session_id, Effect::TearDown { session_id }, out);
        };
        self.sessions.entry(session_id).and_modify(|session| session.server = Some(server));
        self.dial_resuming_session(session_id, out);
    }

    /// Removes a session, counts its outcome and sends its final answer. `client_half_closed` is the only
    /// other place that sends one; it counts the session as abandoned.
    ///
    /// The check for late answers guards rule 1 if this process was not scheduled for long: a client accepts
    /// an answer up to half a second after its deadline, so a late one is still sent until then, since
    /// without any answer the session would count as lost. After that the connection is closed without an
    /// answer.
    pub(super) fn send_final_answer(&mut self, session_id: SessionId, answer: Effect, out: &mut Vec<Effect>) {
        let Some(session) = self.remove_session(session_id) else { return };
        let outcomes = self.metrics.of_listener(&session.listener);
        let is_too_late = self.now > session.deadline + self.node.limits.late_answer_timeout;
        match answer {
            Effect::Reject { .. } if !is_too_late => outcomes.rejected += 1,
            _ => outcomes.failed += 1,
        }
        out.push(if is_too_late { Effect::CloseClient { session_id } } else { answer });
    }

    /// Dials the backend of a session that is to be resumed, unless a dial is in progress.
    pub(super) fn dial_resuming_session(&mut self, session_id: SessionId, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        if session.stage != SessionStage::AwaitingPlacement {
            return;
        }
        let Some(addr) =
            session.server.and_then(|id| self.servers.get(&id)).map(|server| server.instance.addr)
        else {
            return self.send_final_answer(session_id, Effect::TearDown { session_id }, out);
        };
        let dial = session.dials;
        session.stage = SessionStage::Dialing;
        session.dials += 1;
        let timeout = session.deadline - self.now;
        let start_within = self.node.limits.connect_timeout;
        out.push(Effect::Dial { session_id, dial, server: None, addr, timeout, start_within });
    }

    /// Handles a deadline that passed without a final answer.
    pub(super) fn deadline_expired(&mut self, session_id: SessionId, out: &mut Vec<Effect>) {
        let dials = self.sessions.get(&session_id).map_or(0, |session| session.dials);
        self.answer_waiting_session(session_id, final_answer(session_id, dials), out);
    }

    /// Sends a waiting session the relay's own final answer. The balancer is notified, unless the session
    /// still waits to be resumed.
    pub(super) fn answer_waiting_session(
        &mut self,
        session_id: SessionId,
        answer: Effect,
        out: &mut Vec<Effect>,
    ) {
        let is_known_to_balancer = self.sessions.get(&session_id).is_some_and(|session| !session.is_resuming);
        self.send_final_answer(session_id, answer, out);
        if is_known_to_balancer {
            self.step_balancer(Input::SessionEnded { session: session_id }, out);
        }
    }

    /// Handles a backend's acceptance of a session.
    pub(super) fn session_established(&mut self, session_id: SessionId, dial: u32, out: &mut Vec<Effect>) {
        if !self.is_current_dial(session_id, dial) {
            return;
        }
        // The deadline is `answer_margin` before the client's own, or earlier, so an answer that is late by
        // at most that margin is still used.
        let earliest_deadline = self.now.saturating_sub(self.node.limits.answer_margin);
        let Some(session) =
            self.sessions.get_mut(&session_id).filter(|session| session.deadline >= earliest_deadline)
        else {
            // The client's deadline has passed, so the backend's answer is not used.
            return self.deadline_expired(session_id, out);
        };
        session.stage = SessionStage::Proxying;
        let server = session.server;
        self.observe_contact(server, DialEnd::Ok, out);
        self.count_outcome(server, DialEnd::Ok);
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        self.metrics.of_listener(&session.listener).established += 1;
        out.push(Effect::StartProxying { session_id });
        let was_resuming = std::mem::take(&mut session.is_resuming);
        match session.server {
            Some(server) if was_resuming => {
                // The balancer did not request this dial, and counts it as the first one.
                session.dials = 1;
                let request = session.request;
                self.step_balancer(Input::SessionAdopted { session: session_id, server, request }, out);
            }
            _ => self.step_balancer(Input::SessionEstablished { session: session_id, dial }, out),
        }
        self.hand_over_session(session_id, out);
    }

    /// Handles the end of a dial that did not lead to an open session.
    pub(super) fn dial_ended(
        &mut self,
        session_id: SessionId,
        dial: u32,
        end: DialEnd,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_current_dial(session_id, dial) || self.retries_resuming(session_id, out) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        session.may_have_run |= end.may_have_run();
        let server = session.server;
        // `Ok`: the backend served the session to its end immediately, and its last line is the final answer.
        let settled = end == DialEnd::Ok;
        if settled {
            self.metrics.of_listener(&session.listener).established += 1;
            self.remove_session(session_id);
        }
        self.observe_contact(server, end, out);
        self.count_outcome(server, end);
        self.step_balancer(Input::DialEnded { session: session_id, dial, end, settled, report }, out);
    }

    /// Handles a dial that was not started. The dial is not counted, and the balancer decides again while the
    /// session waits.
    pub(super) fn dial_not_started(&mut self, session_id: SessionId, dial: u32, out: &mut Vec<Effect>) {
        if !self.is_current_dial(session_id, dial) || self.retries_resuming(session_id, out) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        session.dials -= 1;
        self.step_balancer(Input::DialNotStarted { session: session_id, dial }, out);
    }

    /// Marks a session as waiting, since its dial has ended. Returns whether the session is to be resumed:
    /// then its backend is dialled again after a delay, and the balancer is not notified.
    fn retries_resuming(&mut self, session_id: SessionId, out: &mut Vec<Effect>) -> bool {
        let Some(session) = self.sessions.get_mut(&session_id) else { return false };
        session.stage = SessionStage::AwaitingPlacement;
        if session.is_resuming {
            let timer = Timer::DialResumingSession(session_id);
            out.push(Effect::StartTimer { after: RESUME_RETRY_INTERVAL, timer });
        }
        session.is_resuming
    }

    /// Handles an open session that its backend ended.
    pub(super) fn session_ended(
        &mut self,
        session_id: SessionId,
        end: DialEnd,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(session) = self.remove_session(session_id) else { return };
        let dial = session.dials.saturating_sub(1);
        if end == DialEnd::Reset {
            self.count_outcome(session.server, end);
        }
        self.step_balancer(Input::DialEnded { session: session_id, dial, end, settled: true, report }, out);
    }

    /// Sends `MOVE` to the client of an open session, so that it reconnects and is placed elsewhere.
    pub(super) fn migrate_session(&mut self, session_id: SessionId, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        if session.stage == SessionStage::Proxying {
            session.stage = SessionStage::Migrating;
            out.push(Effect::Migrate { session_id });
        }
    }
}
