//! Sessions and connections that are none: from the first line to the end.
use super::{Effect, LatencyReport, Reducer, Session, SessionStage, Timer};
use crate::lines::SessionRequest;
use hallrelay_balancer::types::{AdmissionRequest, DialEnd, Input, LoadReport, Micros, SessId};
use std::rc::Rc;

/// Between two dials of a standing connection: often enough within the time that these have, seldom enough
/// for a full backend.
const STANDING_AGAIN: Micros = 200_000;

/// The program's own answer after so many dials: a refusal where nothing was sent, else a failure.
pub(super) fn final_answer(session_id: SessId, dials: u32) -> Effect {
    match dials {
        0 => Effect::Reject { session_id, retry_after: 0 },
        _ => Effect::TearDown { session_id },
    }
}

impl Reducer {
    pub(super) fn is_current_dial(&self, session_id: SessId, dial: u32) -> bool {
        self.sessions
            .get(&session_id)
            .is_some_and(|s| s.stage == SessionStage::Dialing && s.dials == dial + 1)
    }

    pub(super) fn is_proxying(&self, session_id: SessId) -> bool {
        self.sessions.get(&session_id).is_some_and(|s| s.stage == SessionStage::Proxying)
    }

    /// Guards clients against crowds that connect and say nothing, or stop half way: where there is no place
    /// left, the oldest connection that has said nothing gives up its own; then who has paused longest.
    pub(super) fn client_connected(&mut self, connection_id: SessId, out: &mut Vec<Effect>) {
        self.idle_connections.push_back((connection_id, false));
        if self.predecessor_remaining.connections as usize + self.sessions.len() + self.idle_connections.len()
            > self.node.limits.clients
        {
            let at =
                self.idle_connections.iter().position(|one| !one.1 && one.0 != connection_id).unwrap_or(0);
            out.extend(
                self.idle_connections
                    .remove(at)
                    .map(|(connection_id, _)| Effect::ShedConnection { connection_id }),
            );
        }
    }

    /// Who makes progress is kept before who does not.
    pub(super) fn first_line_started(&mut self, connection_id: SessId) {
        if let Some(at) = self.idle_connections.iter().position(|one| one.0 == connection_id) {
            self.idle_connections.remove(at);
            self.idle_connections.push_back((connection_id, true));
        }
    }

    /// What is not of the protocol is never served, also where a dial is out for it.
    pub(super) fn protocol_violation(&mut self, connection_id: SessId, out: &mut Vec<Effect>) {
        self.pending_pings.retain(|ping| *ping != connection_id);
        out.push(Effect::ReportProtocolError { connection_id });
        self.abandon_session(connection_id, out);
    }

    /// A session ends by its client's doing; the module knows it, unless it still waits to stand again.
    pub(super) fn abandon_session(&mut self, session_id: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.remove_session(session_id) else { return };
        self.metrics.of_listener(&s.listener).abandoned += u64::from(s.stage.awaits_answer());
        if !s.pre_existing {
            self.step_balancer(Input::SessionEnded { session: session_id }, out);
        }
    }

    /// Its client has ended its sending before it was answered. It may have left, so nothing is sent on for
    /// it; it may read on, so the answer that it is owed goes out: a refusal where nothing was sent, else a
    /// failure.
    pub(super) fn client_half_closed(&mut self, session_id: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get(&session_id) else { return };
        out.push(final_answer(session_id, s.dials));
        self.abandon_session(session_id, out);
    }

    /// A session is over; its connection goes on for as long as its last line takes.
    pub(super) fn remove_session(&mut self, session_id: SessId) -> Option<Session> {
        let s = self.sessions.remove(&session_id)?;
        self.session_ids.remove(&s.id);
        self.idle_connections.push_back((session_id, false));
        Some(s)
    }

    pub(super) fn session_requested(
        &mut self,
        session_id: SessId,
        open: SessionRequest,
        left: Micros,
        out: &mut Vec<Effect>,
    ) {
        let listener = self.node.site.listeners.iter().position(|name| *name == open.listener);
        // Guards the open session whose mark another client sends, and times that no client would wait.
        // (A connection that stood before may name a time of its own, which counts for nothing here.)
        let timely = open.at.is_some() || left <= self.node.limits.wait;
        let marked = self.session_ids.contains(&open.id) || self.predecessor_session_ids.contains(&open.id);
        let fit = timely && !marked;
        let Some(listener) = listener.filter(|_| fit) else {
            return self.protocol_violation(session_id, out);
        };
        self.idle_connections.retain(|one| one.0 != session_id);
        // Who asked before and goes on without an answer is a client now.
        self.pending_pings.retain(|ping| *ping != session_id);
        let most = self.node.site.dial_timeouts[listener];
        let asked = AdmissionRequest {
            listener,
            key: open.key,
            group: open.group,
            returned: open.returned,
            time_remaining: left.min(most),
        };
        let standing = open.at.is_some();
        let left = if standing { left.min(self.node.limits.standing) } else { asked.time_remaining };
        let due = self.now + left;
        let s = Session {
            id: open.id,
            listener: Rc::from(open.listener),
            request: asked,
            stage: SessionStage::AwaitingPlacement,
            server: None,
            dials: 0,
            deadline: due,
            last_load_at: None,
            pre_existing: standing,
        };
        self.metrics.of_listener(&s.listener).taken += 1;
        self.session_ids.insert(s.id);
        self.sessions.insert(session_id, s);
        // The limit is on both processes of the relay together.
        let remaining = self.predecessor_remaining.sessions;
        let full = remaining > 0 && self.sessions.len() as u32 + remaining > self.node.limits.sessions;
        if full || !self.accepts_sessions() || self.is_past_stop_deadline() {
            return self.send_final_answer(session_id, Effect::Reject { session_id, retry_after: 0 }, out);
        }
        out.push(Effect::StartTimer { after: left, alarm: Timer::AnswerDeadline(session_id) });
        match open.at {
            None => self.step_balancer(Input::SessionRequested { session: session_id, request: asked }, out),
            Some(name) => match self.ids.get(&name) {
                Some(&server) => {
                    self.sessions.entry(session_id).and_modify(|s| s.server = Some(server));
                    self.redial_pre_existing(session_id, out);
                }
                None => self.send_final_answer(session_id, Effect::TearDown { session_id }, out),
            },
        }
    }

    /// The final answer, or none where the client's time was up long ago: rule 1, for a relay that stood
    /// still.
    pub(super) fn send_final_answer(&mut self, session_id: SessId, answer: Effect, out: &mut Vec<Effect>) {
        let Some(s) = self.remove_session(session_id) else { return };
        let figures = self.metrics.of_listener(&s.listener);
        // Up to then a client takes an answer still, though it earns nothing; no answer would lose the
        // session.
        let late = self.now > s.deadline + self.node.limits.answer_late;
        match answer {
            Effect::Reject { .. } if !late => figures.dropped += 1,
            _ => figures.failed += 1,
        }
        out.push(if late { Effect::CloseClient { session_id } } else { answer });
    }

    /// Dials the backend of a standing connection.
    pub(super) fn redial_pre_existing(&mut self, session_id: SessId, out: &mut Vec<Effect>) {
        let Some(s) =
            self.sessions.get_mut(&session_id).filter(|s| s.stage == SessionStage::AwaitingPlacement)
        else {
            return;
        };
        let Some(addr) = s.server.and_then(|id| self.servers.get(&id)).map(|v| v.instance.addr) else {
            return self.send_final_answer(session_id, Effect::TearDown { session_id }, out);
        };
        (s.stage, s.dials) = (SessionStage::Dialing, s.dials + 1);
        let (dial, wait, begin) = (s.dials - 1, s.deadline - self.now, self.node.limits.connect);
        out.push(Effect::Dial { session_id, dial, server: None, addr, wait, begin });
    }

    /// The time of a session is up without an answer.
    pub(super) fn deadline_expired(&mut self, session_id: SessId, out: &mut Vec<Effect>) {
        self.answer_waiting_session(session_id, Effect::TearDown { session_id }, out);
    }

    /// The program's own answer to a session that waits; the module knows it, unless it is to stand again.
    pub(super) fn answer_waiting_session(
        &mut self,
        session_id: SessId,
        answer: Effect,
        out: &mut Vec<Effect>,
    ) {
        let theirs = self.sessions.get(&session_id).is_some_and(|s| !s.pre_existing);
        self.send_final_answer(session_id, answer, out);
        if theirs {
            self.step_balancer(Input::SessionEnded { session: session_id }, out);
        }
    }

    pub(super) fn session_established(&mut self, session_id: SessId, dial: u32, out: &mut Vec<Effect>) {
        let late = self.now.saturating_sub(self.node.limits.answer_margin);
        let Some(s) = self.sessions.get_mut(&session_id).filter(|s| s.deadline >= late) else {
            // The client's time is up: its backend's answer goes nowhere.
            return self.deadline_expired(session_id, out);
        };
        s.stage = SessionStage::Proxying;
        let server = s.server;
        self.observe_contact(server, DialEnd::Ok, out);
        self.count_outcome(server, DialEnd::Ok);
        let Some(s) = self.sessions.get_mut(&session_id) else { return };
        self.metrics.of_listener(&s.listener).passed += 1;
        out.push(Effect::StartProxying { session_id });
        match (std::mem::take(&mut s.pre_existing), s.server) {
            (true, Some(server)) => {
                s.dials = 1; // the module counts the dial that it never asked for as the first
                let asked = s.request;
                self.step_balancer(
                    Input::SessionAdopted { session: session_id, server, request: asked },
                    out,
                );
            }
            _ => self.step_balancer(Input::SessionEstablished { session: session_id, dial }, out),
        }
        self.hand_over_session(session_id, out);
    }

    pub(super) fn dial_ended(
        &mut self,
        session_id: SessId,
        dial: u32,
        end: DialEnd,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(s) = self.sessions.get_mut(&session_id) else { return };
        s.stage = SessionStage::AwaitingPlacement;
        if s.pre_existing {
            return out.push(Effect::StartTimer {
                after: STANDING_AGAIN,
                alarm: Timer::RedialPreExisting(session_id),
            });
        }
        let server = s.server;
        // Served to its end at once: its last line is its answer.
        let settled = end == DialEnd::Ok;
        if settled {
            self.metrics.of_listener(&s.listener).passed += 1;
            self.remove_session(session_id);
        }
        self.observe_contact(server, end, out);
        self.count_outcome(server, end);
        self.step_balancer(Input::DialEnded { session: session_id, dial, end, settled, report }, out);
    }

    /// A dial that this machine could not begin is none: it is decided anew, as long as the session waits.
    pub(super) fn dial_not_started(&mut self, session_id: SessId, dial: u32, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&session_id) else { return };
        s.stage = SessionStage::AwaitingPlacement;
        if s.pre_existing {
            return out.push(Effect::StartTimer {
                after: STANDING_AGAIN,
                alarm: Timer::RedialPreExisting(session_id),
            });
        }
        s.dials -= 1;
        self.step_balancer(Input::DialNotStarted { session: session_id, dial }, out);
    }

    /// A figure that a backend told. Backends that tell message delays use the same word for them, so a slow
    /// one would pass for one with light sessions. A delay, in milliseconds, comes each second on one
    /// connection, a load at odd times. Of 87 figures a second apart, to 10 ms, 84 were so to the
    /// millisecond, and they read as delays where reports had work piled up.
    pub(super) fn load_reported(&mut self, session_id: SessId, load: f64, out: &mut Vec<Effect>) {
        const BEAT: Micros = 1_000_000;
        // A busy relay reads a little late; wider, changes of load would come between.
        const OFF: Micros = 5_000;
        let Some(s) = self.sessions.get_mut(&session_id) else { return };
        let before = s.last_load_at.replace(self.now);
        let beat = before.is_some_and(|then| (self.now - then).abs_diff(BEAT) <= OFF);
        // A message that takes longer than the silence counts as lost, not as late.
        let delay = load / 1e3;
        let longest = self.node.limits.silence as f64 / 1e6;
        let input = if self.node.site.tells_delay && beat && delay <= longest {
            Input::MessageDelay { session: session_id, delay }
        } else {
            Input::SessionLoad { session: session_id, load }
        };
        self.step_balancer(input, out);
    }

    /// Tells the module as a server's messages grow slow, once a second, and once more when that is over.
    pub(super) fn latency_measured(&mut self, session_id: SessId, time: Micros, out: &mut Vec<Effect>) {
        const SECOND: Micros = 1_000_000;
        let Some(v) = self.sessions[&session_id].server.and_then(|id| self.servers.get_mut(&id)) else {
            return;
        };
        // Below a third of what the keenest listener wants nobody feels it.
        let targets = self.node.site.facts.listeners.iter().map(|l| l.message_target);
        let over = time > targets.min().unwrap_or(SECOND) / 3;
        let news = v.latency_report.reported_at.is_none_or(|then| self.now >= then + SECOND);
        if !news || (!over && !v.latency_report.above_threshold) {
            return;
        }
        v.latency_report = LatencyReport { reported_at: Some(self.now), above_threshold: over };
        self.step_balancer(Input::MessageDelay { session: session_id, delay: time as f64 / 1e6 }, out);
    }

    pub(super) fn migrate_session(&mut self, session_id: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&session_id).filter(|s| s.stage == SessionStage::Proxying) else {
            return;
        };
        s.stage = SessionStage::Migrating;
        out.push(Effect::Migrate { session_id });
    }
}
