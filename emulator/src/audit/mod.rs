//! Audits the four rules. The auditor sees both sides of each session and the endpoint list, and checks
//! whether the relays obey the rules. It shares only basic types with the balancer, and observes the relays
//! only by their traffic.
//!
//! A session is identified by its mark, the id in the client's first line (`OPEN`); a retry of the client has
//! a new mark. A dial is one attempt of a relay to open the session at a backend.
//!
//! Rule 1: a client gets one final answer in time, and nothing after it. Rule 2: a session is dialled again
//! only if that is safe. Rule 3: no session is sent to a backend that the relay was notified is draining.
//! Rule 4: no backend that is warming up is overloaded by relays that were notified of its start.
mod answers;
mod dials;
mod drains;
mod session;

pub use answers::RequestSent;
pub use dials::DialReceived;
pub use session::{Answer, DialOutcome};

use hallrelay_balancer::types::{Idempotency, Micros};
use hallrelay_config::scenario::Scenario;
use serde::{Deserialize, Serialize};
use session::{Session, TraceEvent};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of breaches recorded with their traces; further ones are only counted.
const MAX_BREACHES: usize = 50;
/// Retention of ended sessions. After this time no event of the session can still arrive.
const ENDED_SESSION_RETENTION: Micros = 60_000_000;

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Number of the rule that was broken, 1 to 4.
    pub rule: u8,
    /// Time of the breach, in microseconds since the start of the day.
    pub at: Micros,
    /// Description of the session, or `none`.
    pub session: String,
    /// Description of the breach.
    #[serde(rename = "what")]
    pub details: String,
    /// Timed trace of the session.
    #[serde(rename = "lines")]
    pub trace: Vec<String>,
}

/// Limits set by the scenario. Times are in microseconds.
struct Rules {
    /// Time by which a relay may exceed a limit, since the host that runs the emulation causes delays.
    slack: Micros,
    /// Time for which data that was in flight may still arrive after a relay or a client has ended a session.
    in_flight: Micros,
    /// Time allowed from the notification of a drain to the last dial.
    drain_grace: Micros,
    /// Interval within which a relay must poll the list service.
    poll_within: Micros,
    /// Maximum number of dials of one session.
    max_dials: u32,
    /// By listener: whether a session that may have run may be dialled again.
    idempotency: Vec<Idempotency>,
}

/// A backend and its location, which limits where a session with an idempotency key may be dialled again.
pub struct BackendPlace {
    /// Id of the backend in the endpoint list.
    pub name: String,
    /// Index of its zone in the scenario.
    pub zone: usize,
    /// Number of its cell. Like a zone, a cell can be the scope of idempotency keys.
    pub cell: u16,
}

/// State of a backend that the rules depend on.
struct Backend {
    name: String,
    zone: usize,
    cell: u16,
    /// Time since which the list service has listed the backend as draining or removed; none if it is ready.
    draining_since: Option<Micros>,
}

/// State of a relay's process, and the notifications that it received.
struct AuditedRelay {
    is_up: bool,
    started_at: Micros,
    ended_at: Micros,
    /// Whether the fault injector has stalled the process.
    is_stalled: bool,
    /// Number of `poll_within` intervals after which the relay is treated as notified of a drain.
    poll_allowance: Micros,
    /// By backend: when this process was notified that the backend drains.
    notified: Vec<Option<Micros>>,
    /// By backend: when an earlier process was notified that the backend drains; none if a later notification
    /// reported the backend as ready.
    notified_earlier: Vec<Option<Micros>>,
}

/// A pending final answer, ordered by its deadline.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingAnswer {
    deadline: Micros,
    mark: u64,
}

/// Auditor of one day.
pub struct Audit {
    /// Start of the day.
    begin: Micros,
    rules: Rules,
    /// Names of the listeners.
    listeners: Vec<String>,
    backends: Vec<Backend>,
    /// By session mark.
    sessions: BTreeMap<u64, Session>,
    /// Deadlines of pending final answers.
    deadlines: BTreeSet<PendingAnswer>,
    relays: Vec<AuditedRelay>,
    /// Whether relays persist notifications, so that these survive a restart of the process.
    relays_have_stores: bool,
    /// Number of dials to a draining backend after an earlier process of the relay was notified of the drain.
    pub stale_dials: u64,
    /// The first `MAX_BREACHES` breaches.
    pub breaches: Vec<Breach>,
    /// Number of breaches beyond the recorded ones.
    unrecorded_breaches: u64,
    /// Number of sessions requested.
    pub sessions_seen: u64,
    /// Number of dials received by backends.
    pub dials_seen: u64,
    /// Number of overloads of backends that were warming up, whether or not relays are blamed for them.
    pub overloads: u32,
}

impl Audit {
    /// Creates an auditor for a scenario's relays and these backends.
    pub fn new(scenario: &Scenario, backends: Vec<BackendPlace>, begin: Micros) -> Audit {
        let slack = scenario.rules.slack_ms.us();
        let backends = backends.into_iter().map(|place| Backend {
            name: place.name,
            zone: place.zone,
            cell: place.cell,
            draining_since: None,
        });
        let backends: Vec<Backend> = backends.collect();
        let relay = || AuditedRelay {
            is_up: true,
            started_at: begin,
            ended_at: begin,
            is_stalled: false,
            poll_allowance: 1,
            notified: vec![None; backends.len()],
            notified_earlier: vec![None; backends.len()],
        };
        Audit {
            begin,
            rules: Rules {
                slack,
                in_flight: slack + scenario.net.client_ms.us() + 3 * scenario.net.server_ms.us(),
                drain_grace: scenario.rules.drain_grace_ms.us(),
                poll_within: scenario.rules.ask_within_s.us(),
                max_dials: scenario.relays.most_dials,
                idempotency: scenario.listeners.iter().map(|listener| listener.idempotency()).collect(),
            },
            listeners: scenario.listeners.iter().map(|listener| listener.name.clone()).collect(),
            relays: (0..scenario.relays.count).map(|_| relay()).collect(),
            backends,
            sessions: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            relays_have_stores: scenario.relays.state,
            stale_dials: 0,
            breaches: Vec::new(),
            unrecorded_breaches: 0,
            sessions_seen: 0,
            dials_seen: 0,
            overloads: 0,
        }
    }

    /// Total number of breaches.
    pub fn breach_count(&self) -> u64 {
        self.breaches.len() as u64 + self.unrecorded_breaches
    }

    fn record_breach(&mut self, rule: u8, now: Micros, mark: u64, details: String) {
        if self.breaches.len() >= MAX_BREACHES {
            self.unrecorded_breaches += 1;
            return;
        }
        let mut session = "none".to_string();
        let mut trace = Vec::new();
        if let Some(found) = self.sessions.get(&mark) {
            session = format!("{mark:016x} ({}, relay {})", self.listeners[found.listener], found.relay);
            trace = found.trace_text(self.begin, |backend| &self.backends[backend].name);
        }
        let at = now - self.begin.min(now);
        self.breaches.push(Breach { rule, at, session, details, trace });
    }

    fn trace(&mut self, now: Micros, mark: u64, event: TraceEvent) {
        if let Some(session) = self.sessions.get_mut(&mark) {
            session.trace(now, event);
        }
    }

    /// A relay's process has ended. Its sessions are no longer audited, as clients must request new ones.
    pub fn relay_ended(&mut self, now: Micros, relay: usize) {
        self.relays[relay].is_up = false;
        self.relays[relay].ended_at = now;
        let sessions = &self.sessions;
        let is_other = |mark: u64| sessions.get(&mark).is_none_or(|session| session.relay != relay);
        self.deadlines.retain(|pending| is_other(pending.mark));
        self.sessions.retain(|_, session| session.relay != relay);
    }

    /// The fault injector has stalled a relay's process, which cannot answer until it resumes.
    pub fn relay_stalled(&mut self, relay: usize) {
        self.relays[relay].is_stalled = true;
    }

    /// Rule 4: a backend was overloaded while it warmed up. `blamed` is set if the overload was caused by
    /// relays that were notified of the backend's start, which should have sent it less.
    pub fn backend_overloaded(&mut self, now: Micros, backend: usize, blamed: bool) {
        self.overloads += 1;
        if blamed {
            let name = &self.backends[backend].name;
            let details = format!("{name} overloaded while warming up, by relays notified of its start");
            // No session has the mark 0: the breach concerns none in particular.
            self.record_breach(4, now, 0, details);
        }
    }

    /// Removes sessions that ended longer ago than the retention period.
    pub fn remove_ended(&mut self, now: Micros) {
        self.sessions.retain(|_, session| {
            let ended = session.left_at.or(session.answered_at.filter(|_| !session.is_established));
            session.dialling.is_some() || ended.is_none_or(|at| now < at + ENDED_SESSION_RETENTION)
        });
    }
}
