//! A session and its state machine: the states, the events, and the transitions between them.

use crate::relay::{Relay, SECOND};
use crate::retry::PossibleRun;
use crate::types::{AdmissionRequest, Effect, Listener, Micros, ServerId, SessId};
use std::rc::Rc;

/// Where a session stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// It is evaluated; lasts only within a step.
    #[default]
    Evaluating,
    /// It waits for load reports.
    AwaitingReports,
    Dialling,
    Established,
    /// Its client was told to come again.
    Migrating,
    Closed,
}

/// What happened to a session, as an input or as the result of its evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A server was chosen.
    Placed,
    /// Reports are worth a wait.
    ReportsAwaited,
    /// It is given up, and nothing ran that must not run twice.
    Rejected,
    /// It is given up after a dial that may have run.
    Aborted,
    /// It is new, or the reports are there or late.
    EvaluationDue,
    Established,
    DialFailed,
    Ended,
    /// Its server gives up sessions.
    MigrationDue,
}

#[derive(Clone, Copy)]
enum Action {
    Evaluate,
    Dial,
    AwaitReports,
    Reject,
    TearDown,
    Migrate,
    None,
}

struct Transition {
    to: State,
    action: Action,
}

/// What an event leads to in a state; none where it changes nothing.
fn transition(from: State, event: Event) -> Option<Transition> {
    let (to, action) = match (from, event) {
        (State::Evaluating, Event::EvaluationDue) => (State::Evaluating, Action::Evaluate),
        (State::Evaluating, Event::Placed) => (State::Dialling, Action::Dial),
        (State::Evaluating, Event::ReportsAwaited) => (State::AwaitingReports, Action::AwaitReports),
        (State::Evaluating, Event::Rejected) => (State::Closed, Action::Reject),
        (State::Evaluating, Event::Aborted) => (State::Closed, Action::TearDown),
        (State::AwaitingReports, Event::EvaluationDue) => (State::Evaluating, Action::Evaluate),
        (State::AwaitingReports, Event::Ended) => (State::Closed, Action::None),
        (State::Dialling, Event::Established) => (State::Established, Action::None),
        (State::Dialling, Event::DialFailed) => (State::Evaluating, Action::Evaluate),
        (State::Dialling, Event::Ended) => (State::Closed, Action::None),
        (State::Established, Event::Ended) => (State::Closed, Action::None),
        (State::Established, Event::MigrationDue) => (State::Migrating, Action::Migrate),
        (State::Migrating, Event::Ended) => (State::Closed, Action::None),
        _ => return None,
    };
    Some(Transition { to, action })
}

impl State {
    /// Whether the session counts on its server: from the dial on, so that what is in flight counts.
    fn is_booked(self) -> bool {
        matches!(self, State::Dialling | State::Established | State::Migrating)
    }
}

/// What a session may do, as its listener was when it came, whatever the settings are by now.
#[derive(Default)]
pub(crate) struct SessionPolicy {
    pub(crate) listener: Listener,
    pub(crate) max_dials: u32,
}

/// One session, from its request to its end.
#[derive(Default)]
pub(crate) struct Session {
    pub(crate) request: AdmissionRequest,
    pub(crate) policy: Rc<SessionPolicy>,
    /// Whether it is of a reconnect storm beyond what warming servers bear.
    pub(crate) in_reconnect_storm: bool,
    /// Ranks the servers for its pool: its group, or drawn.
    pub(crate) hash_key: u64,
    /// When its client's timeout ends.
    pub(crate) deadline: Micros,
    pub(crate) state: State,
    /// Where it is, or is dialled.
    pub(crate) server: ServerId,
    pub(crate) dials: u32,
    /// When the last dial began.
    pub(crate) dialled_at: Micros,
    /// Where it was dialled.
    pub(crate) tried: Vec<ServerId>,
    pub(crate) may_have_run: Option<PossibleRun>,
    /// Servers whose reports it waits for.
    pub(crate) awaited_probes: Vec<ServerId>,
    /// Until when it may wait for reports.
    pub(crate) probe_deadline: Micros,
    /// Its load over the mean of all sessions, as far as known.
    pub(crate) weight: f64,
}

impl Relay {
    /// Takes up a session, under its listener's rules as they are now.
    pub(crate) fn register(&mut self, id: SessId, mut session: Session) {
        let last_listener = self.policies.len() - 1;
        session.policy = self.policies[session.request.listener.min(last_listener)].clone();
        session.request.group *= u64::from(self.site.groups_enabled);
        let request = session.request;
        let handshake_target = session.policy.listener.handshake_target;
        session.deadline = self.now + request.time_remaining;
        // Half of the objective leaves time to dial.
        session.probe_deadline = self.now + handshake_target.min(request.time_remaining) / 2;
        session.weight = 1.0;
        session.hash_key = if request.group != 0 { request.group } else { self.random.draw() };
        let is_established = session.state == State::Established;
        self.reconnects.add(self.now, f64::from(request.returned && !is_established));
        session.in_reconnect_storm = request.returned && self.is_in_reconnect_storm();
        if !session.in_reconnect_storm && !is_established {
            self.slot_arrivals.add(self.now);
        }
        self.earn_probes(request.returned);
        self.sessions.insert(id, session);
    }

    /// Whether a dial is the last one of its session.
    pub(crate) fn is_last_dial(&self, id: SessId, dial: u32) -> bool {
        self.sessions.get(&id).is_some_and(|session| session.dials == dial + 1)
    }

    /// Takes a session through its transitions: each event leads to an action, which may bring the next
    /// event.
    pub(crate) fn advance(&mut self, id: SessId, event: Event, out: &mut Vec<Effect>) {
        let mut next_event = Some(event);
        while let Some(event) = next_event.take() {
            let Some(session) = self.sessions.get_mut(&id) else { return };
            let from = session.state;
            let Some(Transition { to, action }) = transition(from, event) else { return };
            session.state = to;
            if from.is_booked() && !to.is_booked() {
                self.book(id, -1);
            }
            next_event = self.carry_out(action, id, out);
            if to == State::Closed {
                self.sessions.remove(&id);
            }
        }
    }

    fn carry_out(&mut self, action: Action, id: SessId, out: &mut Vec<Effect>) -> Option<Event> {
        match action {
            Action::Evaluate => return Some(self.evaluate(id)),
            Action::Dial => self.dial(id, out),
            Action::AwaitReports => self.await_reports(id, out),
            Action::Reject => {
                let retry_after = self.retry_after();
                out.push(Effect::Reject { session: id, retry_after });
            }
            Action::TearDown => out.push(Effect::TearDown { session: id }),
            Action::Migrate => out.push(Effect::Migrate { session: id }),
            Action::None => {}
        }
        None
    }

    /// When a rejected client may come again. By then reports are newer; spread, so that clients do not come
    /// as one.
    fn retry_after(&mut self) -> Micros {
        let refreshed = SECOND / 2 + self.random.below(SECOND);
        refreshed.min(self.site.max_retry_after.unwrap_or(0))
    }
}
