//! Audits the four rules: it sees both sides of each session and the endpoint list, and proves or disproves
//! that relays obey the rules. It shares nothing with relays and balancer, and knows them only by what
//! passes.
//!
//! Rule 1: a client gets one final answer in time, and nothing after it. Rule 2: a session is dialled again
//! only where that is safe. Rule 3: no session goes to a backend that the relay was notified is draining.
//! Rule 4: no backend that warms up is overloaded by relays that know it.
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

/// Breaches that are recorded with their traces; further ones are counted.
const MAX_BREACHES: usize = 50;
/// A session is forgotten so long after it has ended: nothing can come for it any more.
const FORGET_AFTER: Micros = 60_000_000;

/// A rule that was broken once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Number of the rule, 1 to 4.
    pub rule: u8,
    /// Microseconds since the day began.
    pub at: Micros,
    /// The session, or `none`.
    pub session: String,
    /// What was seen.
    #[serde(rename = "what")]
    pub details: String,
    /// What passed for the session, with times.
    #[serde(rename = "lines")]
    pub trace: Vec<String>,
}

/// What the scenario allows. Times in microseconds.
struct Rules {
    /// Allowance for what the host itself delays.
    slack: Micros,
    /// What was in flight as a relay or a client ended a session may arrive for this long.
    in_flight: Micros,
    /// From being notified of a drain to the last dial.
    drain_grace: Micros,
    /// Interval in which a relay has to poll the list service.
    poll_within: Micros,
    max_dials: u32,
    /// By listener.
    idempotency: Vec<Idempotency>,
}

/// A backend, and where it is.
pub struct BackendPlace {
    /// Its id in the endpoint list.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u16,
}

/// A backend as the rules see it.
struct Backend {
    name: String,
    zone: usize,
    cell: u16,
    /// Since when the list service has it draining or removed.
    draining_since: Option<Micros>,
}

/// A relay's process and what it was notified of.
struct AuditedRelay {
    is_up: bool,
    started_at: Micros,
    ended_at: Micros,
    /// Stalled by the fault injector.
    is_stalled: bool,
    /// How many times `poll_within` it has until it counts as notified.
    poll_allowance: Micros,
    /// By backend: since when this process has been notified that it drains.
    notified: Vec<Option<Micros>>,
    /// By backend: since when an earlier process had been notified, where nothing else was notified since.
    notified_earlier: Vec<Option<Micros>>,
}

/// A final answer that is pending, ordered by its deadline.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingAnswer {
    deadline: Micros,
    mark: u64,
}

/// The auditor of one day.
pub struct Audit {
    begin: Micros,
    rules: Rules,
    listeners: Vec<String>,
    backends: Vec<Backend>,
    /// By mark.
    sessions: BTreeMap<u64, Session>,
    /// Deadlines of final answers that are pending.
    deadlines: BTreeSet<PendingAnswer>,
    relays: Vec<AuditedRelay>,
    /// Whether relays store what they must know, so that a notification outlives the process.
    relays_have_stores: bool,
    /// Dials to a backend whose drain the relay was notified of, by this process or an earlier one.
    pub stale_dials: u64,
    /// The first breaches.
    pub breaches: Vec<Breach>,
    /// Breaches beyond those that are recorded.
    unrecorded_breaches: u64,
    /// Sessions requested.
    pub sessions_seen: u64,
    /// Dials received by backends.
    pub dials_seen: u64,
    /// Overloads of backends that were warming up, whoever caused them.
    pub overloads: u32,
}

impl Audit {
    /// An auditor for a scenario's relays and for these backends.
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

    /// Number of all breaches.
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

    /// A relay's process has ended: clients must request its sessions again.
    pub fn relay_ended(&mut self, now: Micros, relay: usize) {
        self.relays[relay].is_up = false;
        self.relays[relay].ended_at = now;
        let sessions = &self.sessions;
        let is_other = |mark: u64| sessions.get(&mark).is_none_or(|session| session.relay != relay);
        self.deadlines.retain(|pending| is_other(pending.mark));
        self.sessions.retain(|_, session| session.relay != relay);
    }

    /// A relay's process stalls, by the fault injector: it can answer nobody meanwhile.
    pub fn relay_stalled(&mut self, relay: usize) {
        self.relays[relay].is_stalled = true;
    }

    /// Rule 4: a backend that was warming up was overloaded; `blamed` where relays caused it that knew it.
    pub fn backend_overloaded(&mut self, now: Micros, backend: usize, blamed: bool) {
        self.overloads += 1;
        if blamed {
            let name = &self.backends[backend].name;
            let details = format!("{name} fell over by what relays sent that knew it was cold");
            self.record_breach(4, now, 0, details);
        }
    }

    /// Forgets sessions that ended long ago.
    pub fn forget_ended(&mut self, now: Micros) {
        self.sessions.retain(|_, session| {
            let ended = session.left_at.or(session.answered_at.filter(|_| !session.is_established));
            session.dialling.is_some() || ended.is_none_or(|at| now < at + FORGET_AFTER)
        });
    }
}
