//! Rule 1 (one final answer in time), and the part of rule 2 (no unsafe dial) that concerns rejections: a
//! client repeats a rejected request, so `BUSY` is allowed only if the repetition is safe.
use super::session::{Answer, Session, TraceEvent};
use super::{Audit, PendingAnswer};
use hallrelay_balancer::types::{Idempotency, KeyScope, Micros};

/// A client's complete first line, sent to a relay that accepted the connection.
pub struct RequestSent {
    /// Mark of the session.
    pub mark: u64,
    /// Relay that took the connection.
    pub relay: usize,
    /// Listener that the session is for.
    pub listener: usize,
    /// Time left until the dial timeout.
    pub wait: Micros,
    /// Whether the session was open at its backend before the relay started.
    pub is_pre_existing: bool,
}

impl Audit {
    /// A client has sent its request for a session.
    pub fn session_requested(&mut self, now: Micros, request: &RequestSent) {
        let RequestSent { mark, relay, listener, wait, is_pre_existing } = *request;
        self.sessions_seen += 1;
        let deadline = now + wait;
        self.sessions.insert(mark, Session::new(listener, relay, deadline, is_pre_existing));
        self.deadlines.insert(PendingAnswer { deadline: deadline + self.rules.slack, mark });
        self.trace(now, mark, TraceEvent::Requested { relay });
    }

    /// A client has received an answer, or its connection has ended.
    pub fn client_answered(&mut self, now: Micros, mark: u64, answer: &Answer) {
        let name = answer.as_str();
        self.trace(now, mark, TraceEvent::Answered(name));
        let slack = self.rules.slack;
        let Some(session) = self.sessions.get_mut(&mark) else { return };
        if session.answered_at.is_some() {
            let details = format!("{name} received after the final answer");
            return self.record_breach(1, now, mark, details);
        }
        if session.left_at.is_some() {
            // The answer was in flight when the client left.
            return;
        }
        let deadline = session.deadline;
        let is_excused = session.is_excused && *answer == Answer::Closed;
        session.answered_at = Some(now);
        self.deadlines.remove(&PendingAnswer { deadline: deadline + slack, mark });
        if now > deadline + slack && !is_excused {
            let late_ms = (now - deadline) as f64 / 1e3;
            let details = format!("{name} received {late_ms:.1} ms after the dial timeout");
            self.record_breach(1, now, mark, details);
        }
        self.check_answer(now, mark, answer);
    }

    fn check_answer(&mut self, now: Micros, mark: u64, answer: &Answer) {
        let Some(session) = self.sessions.get_mut(&mark) else { return };
        match *answer {
            Answer::Up(receipt) if session.receipt != Some(receipt) => {
                let details = "UP with a receipt that no server issued".to_string();
                self.record_breach(1, now, mark, details);
            }
            Answer::Up(_) => session.is_established = true,
            Answer::Busy => {
                let cannot_run = session.first_run.is_none() && session.dialling.is_none();
                let may_repeat = matches!(
                    self.rules.idempotency[session.listener],
                    Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. }
                );
                if !may_repeat && !cannot_run {
                    let details = "BUSY for a session that may have run".to_string();
                    self.record_breach(2, now, mark, details);
                }
            }
            Answer::Closed => {
                if self.relays[session.relay].is_up && !session.is_excused {
                    let details = "the connection ended without an answer".to_string();
                    self.record_breach(1, now, mark, details);
                }
            }
            Answer::Failed => {}
        }
    }

    /// A client has closed its connection.
    pub fn client_left(&mut self, now: Micros, mark: u64) {
        self.trace(now, mark, TraceEvent::ClientLeft);
        let Some(session) = self.sessions.get_mut(&mark) else { return };
        session.left_at = session.left_at.or(Some(now));
        let deadline = session.deadline + self.rules.slack;
        let is_answered = session.answered_at.is_some();
        let relay = session.relay;
        let was_pending = self.deadlines.remove(&PendingAnswer { deadline, mark });
        if was_pending && !is_answered && now > deadline && !self.relays[relay].is_stalled {
            self.record_breach(1, now, mark, "no answer within the dial timeout".to_string());
        }
    }

    /// The connection of a client with an open session ended without `MOVE`, though the backend still
    /// answers. This is no breach if the relay is down.
    pub fn connection_cut(&mut self, now: Micros, mark: u64) {
        let session = self.sessions.get(&mark);
        if session.is_some_and(|session| self.relays[session.relay].is_up) {
            let details = "connection ended without MOVE while the backend still answers".to_string();
            self.record_breach(1, now, mark, details);
        }
    }

    /// Whether a session's client has received `UP`.
    pub fn is_established(&self, mark: u64) -> bool {
        self.sessions.get(&mark).is_some_and(|session| session.is_established)
    }

    /// Records a breach for each session without a final answer at its deadline. A stalled relay is excused.
    pub fn check_deadlines(&mut self, now: Micros) {
        while let Some(&pending) = self.deadlines.first().filter(|pending| pending.deadline < now) {
            self.deadlines.remove(&pending);
            let PendingAnswer { mark, .. } = pending;
            let Some(session) = self.sessions.get_mut(&mark) else { continue };
            let relay = &self.relays[session.relay];
            if relay.is_stalled {
                session.is_excused = true;
                continue;
            }
            if session.answered_at.is_none() && session.left_at.is_none() && relay.is_up {
                session.answered_at = Some(now);
                self.record_breach(1, now, mark, "no answer within the dial timeout".to_string());
            }
        }
    }
}
