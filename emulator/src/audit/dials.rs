//! Rules 1 (nothing after the final answer) and 2 (no unsafe dial) as observed at the backends: dials of
//! sessions that have ended, dials beyond the maximum, simultaneous dials and unsafe ones.
use super::session::{DialOutcome, FirstRun, Session, TraceEvent};
use super::Audit;
use hallrelay_balancer::types::{Idempotency, KeyScope, Micros};

/// A session's first line, received by a backend.
#[derive(Clone, Copy)]
pub struct DialReceived {
    /// Mark of the session.
    pub mark: u64,
    /// Relay that dialled.
    pub relay: usize,
    /// Backend that was dialled.
    pub backend: usize,
    /// When the first byte of the line was received. Later bytes may have been delayed on the way.
    pub first_byte_at: Micros,
}

impl Audit {
    /// A backend has received a session's first line.
    pub fn dial_received(&mut self, now: Micros, dial: &DialReceived) {
        let DialReceived { mark, backend, .. } = *dial;
        self.dials_seen += 1;
        self.trace(now, mark, TraceEvent::DialReceived { backend });
        let Some(session) = self.sessions.get_mut(&mark) else {
            let details = format!("{} received a line that no client sent", self.backends[backend].name);
            return self.record_breach(1, now, mark, details);
        };
        session.dials += 1;
        let other = session.dialling.replace(backend);
        let is_pre_existing = session.is_pre_existing;
        let details = self.dial_breaches(dial, other);
        for breach in details {
            self.record_breach(breach.rule, now, mark, breach.details);
        }
        self.check_drain(now, dial, is_pre_existing);
    }

    /// Breaches of rules 1 and 2 by a dial; `other` is the backend at which another dial was in flight.
    fn dial_breaches(&self, dial: &DialReceived, other: Option<usize>) -> Vec<DialBreach> {
        let mut breaches = Vec::new();
        let Some(session) = self.sessions.get(&dial.mark) else { return breaches };
        let name = &self.backends[dial.backend].name;
        if self.is_over(session, dial.first_byte_at) {
            let details = format!("dialled at {name} after the session had ended or was established");
            breaches.push(DialBreach { rule: 1, details });
        }
        if let Some(other) = other {
            let other = &self.backends[other].name;
            let details = format!("dialled at {name} while a dial at {other} is in flight");
            breaches.push(DialBreach { rule: 2, details });
        }
        let max_dials = self.rules.max_dials;
        if session.dials > max_dials && !session.is_pre_existing {
            let details = format!("dialled {} times; the maximum is {max_dials}", session.dials);
            breaches.push(DialBreach { rule: 2, details });
        }
        if session.first_run.is_some_and(|run| !self.may_dial_again(session, run, dial)) {
            let ran_at = session.first_run.map_or("", |run| &self.backends[run.backend].name);
            let details = format!("dialled at {name}, though the session may have run at {ran_at}");
            breaches.push(DialBreach { rule: 2, details });
        }
        breaches
    }

    /// Whether the session had ended or had been established before the dial was sent. A dial that may have
    /// been in flight at the end of the session is allowed.
    fn is_over(&self, session: &Session, first_byte_at: Micros) -> bool {
        if session.is_established && session.answered_at.is_some() {
            return true;
        }
        let ended_at = session.answered_at.filter(|_| !session.is_established).or(session.left_at);
        ended_at.is_some_and(|at| first_byte_at > at + self.rules.in_flight)
    }

    /// Whether a session that may have run may be dialled again.
    fn may_dial_again(&self, session: &Session, run: FirstRun, dial: &DialReceived) -> bool {
        match self.rules.idempotency[session.listener] {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let here = &self.backends[dial.backend];
                let there = &self.backends[run.backend];
                let is_in_scope = match scope {
                    KeyScope::All => true,
                    KeyScope::Zone => here.zone == there.zone,
                    KeyScope::Cell => here.cell == there.cell,
                };
                is_in_scope && dial.first_byte_at <= run.at + window + self.rules.slack
            }
        }
    }

    /// A backend has received a first line that no present client sent: the line was changed, or its client
    /// has left. This is no breach if the line may have been in flight when the session ended.
    pub fn unexpected_line(
        &mut self,
        now: Micros,
        first_byte_at: Micros,
        mark: u64,
        backend: usize,
        line: &str,
    ) {
        let session = self.sessions.get(&mark);
        let ended_at = session.and_then(|session| session.left_at.or(session.answered_at));
        if ended_at.is_some_and(|at| first_byte_at <= at + self.rules.in_flight) {
            return;
        }
        let name = &self.backends[backend].name;
        let details = match session {
            None => format!("{name} received a line that no client sent: {line:.80}"),
            Some(_) => format!("dialled at {name} after the session had ended, or with a changed line"),
        };
        self.record_breach(1, now, mark, details);
    }

    /// A backend has sent `UP` with a receipt.
    pub fn session_established(&mut self, now: Micros, mark: u64, backend: usize, receipt: u64) {
        self.trace(now, mark, TraceEvent::Established { backend });
        if let Some(session) = self.sessions.get_mut(&mark) {
            session.receipt = Some(receipt);
            session.may_have_run(now, backend);
        }
    }

    /// A dial has ended without a session, or the session that it established has ended.
    pub fn dial_ended(&mut self, now: Micros, mark: u64, backend: usize, outcome: DialOutcome) {
        self.trace(now, mark, TraceEvent::DialEnded { backend, outcome });
        let Some(session) = self.sessions.get_mut(&mark) else { return };
        if session.dialling == Some(backend) {
            session.dialling = None;
        }
        if outcome == DialOutcome::MayHaveRun {
            session.may_have_run(now, backend);
        }
    }
}

/// A rule that a dial broke.
struct DialBreach {
    rule: u8,
    details: String,
}
