//! The state machine of a session: its states, its events, and the transitions between the states.

use crate::balancer::{Balancer, SECOND};
use crate::retry::PossibleRun;
use crate::types::{AdmissionRequest, Effect, Listener, Micros, ServerId, SessionId};
use std::rc::Rc;

/// The states of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// Admission is being decided. No session is in this state after a call of `Balancer::step`.
    #[default]
    Evaluating,
    /// The session waits for load reports.
    AwaitingReports,
    Dialling,
    Established,
    /// The client was asked to reconnect.
    Migrating,
    Closed,
}

/// The events of a session. They come from inputs or result from an evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A server was selected for the session.
    Placed,
    /// The session waits for newer reports.
    ReportsAwaited,
    /// The session cannot be placed, and a retry by the client is harmless.
    Rejected,
    /// The session cannot be placed, and a retry by the client might run the request twice.
    Aborted,
    /// The session is new, or its awaited reports have arrived, or its report deadline has passed.
    EvaluationDue,
    Established,
    DialFailed,
    Ended,
    /// Rebalancing selected the session.
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

/// Returns the transition for an event in a state, or `None` if the event is ignored in that state.
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
    /// Whether a session in this state counts as a session of its server. A session that is being dialled
    /// counts too.
    fn occupies_server(self) -> bool {
        matches!(self, State::Dialling | State::Established | State::Migrating)
    }
}

/// The rules of a session: the settings of its listener at the time of its request. Later settings do not
/// apply to the session.
#[derive(Default)]
pub(crate) struct SessionPolicy {
    pub(crate) listener: Listener,
    pub(crate) max_dials: u32,
}

/// A session from its request to its end.
#[derive(Default)]
pub(crate) struct Session {
    pub(crate) request: AdmissionRequest,
    pub(crate) policy: Rc<SessionPolicy>,
    /// Whether the session returns in a reconnect storm and exceeds what the warming servers sustain
    /// (`is_in_reconnect_storm`). Such a session is not sent to a warming server.
    pub(crate) in_reconnect_storm: bool,
    /// The key of the rendezvous hashing that ranks servers for the session's pool: its group, or a random
    /// number if it has no group.
    pub(crate) hash_key: u64,
    /// When the client's timeout expires.
    pub(crate) deadline: Micros,
    pub(crate) state: State,
    /// The server on which the session is established or at which it was last dialled. 0 before the first
    /// dial.
    pub(crate) server: ServerId,
    pub(crate) dials: u32,
    /// When the last dial started.
    pub(crate) dialled_at: Micros,
    /// The servers at which the session was dialled, in order.
    pub(crate) dialled_servers: Vec<ServerId>,
    /// The first dial whose request a server may have run. `None` if there is no such dial.
    pub(crate) may_have_run: Option<PossibleRun>,
    /// The servers whose reports the session waits for.
    pub(crate) awaited_reports: Vec<ServerId>,
    /// The time until which the session may wait for reports.
    pub(crate) report_deadline: Micros,
    /// The load of the session divided by the mean load of this relay's sessions. It is 1.0 before the load
    /// is known, and 0 after a dial or session ended because of a server fault.
    pub(crate) weight: f64,
}

impl Balancer {
    /// Adds a session with the current rules of its listener, and counts its arrival. Its group becomes 0 (no
    /// group) if groups are disabled.
    pub(crate) fn register(&mut self, id: SessionId, mut session: Session) {
        let last_listener = self.policies.len() - 1;
        session.policy = self.policies[session.request.listener.min(last_listener)].clone();
        session.request.group *= u64::from(self.site.groups_enabled);
        let request = session.request;
        let handshake_target = session.policy.listener.handshake_target;
        session.deadline = self.now + request.time_remaining;
        // Waiting for reports for at most half of the handshake objective leaves time for the dial.
        session.report_deadline = self.now + handshake_target.min(request.time_remaining) / 2;
        session.weight = 1.0;
        session.hash_key = if request.group != 0 { request.group } else { self.random.next_u64() };
        let is_established = session.state == State::Established;
        self.reconnects.add(self.now, f64::from(request.returned && !is_established));
        session.in_reconnect_storm = request.returned && self.is_in_reconnect_storm();
        if !session.in_reconnect_storm && !is_established {
            self.slot_arrivals.add(self.now);
        }
        self.add_probe_credit(request.returned);
        self.sessions.insert(id, session);
    }

    /// Whether a dial is the most recent dial of a session. `dial` is its index, from 0.
    pub(crate) fn is_last_dial(&self, id: SessionId, dial: u32) -> bool {
        self.sessions.get(&id).is_some_and(|session| session.dials == dial + 1)
    }

    /// Applies an event to a session, and then the events that result from the actions of its transitions. An
    /// event that the session's state does not expect is ignored.
    pub(crate) fn advance(&mut self, id: SessionId, event: Event, effects: &mut Vec<Effect>) {
        let mut next_event = Some(event);
        while let Some(event) = next_event.take() {
            let Some(session) = self.sessions.get_mut(&id) else { return };
            let from = session.state;
            let Some(Transition { to, action }) = transition(from, event) else { return };
            session.state = to;
            if from.occupies_server() && !to.occupies_server() {
                self.count_session(id, -1);
            }
            next_event = self.perform(action, id, effects);
            if to == State::Closed {
                self.sessions.remove(&id);
            }
        }
    }

    /// Performs the action of a transition. Returns the next event if the action is an evaluation.
    fn perform(&mut self, action: Action, id: SessionId, effects: &mut Vec<Effect>) -> Option<Event> {
        match action {
            Action::Evaluate => return Some(self.evaluate(id)),
            Action::Dial => self.dial(id, effects),
            Action::AwaitReports => self.await_reports(id, effects),
            Action::Reject => {
                let retry_after = self.retry_after();
                effects.push(Effect::Reject { session: id, retry_after });
            }
            Action::TearDown => effects.push(Effect::TearDown { session: id }),
            Action::Migrate => effects.push(Effect::Migrate { session: id }),
            Action::None => {}
        }
        None
    }

    /// The Retry-After of a rejection, in microseconds. It is random between 0.5 s and 1.5 s: newer load
    /// reports arrive in that time, and clients do not all return at the same moment. It is at most
    /// `max_retry_after`, and 0 if Retry-After is not sent to clients.
    fn retry_after(&mut self) -> Micros {
        let retry_after = SECOND / 2 + self.random.below(SECOND);
        retry_after.min(self.site.max_retry_after.unwrap_or(0))
    }
}
