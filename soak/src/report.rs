//! The report of a run: its observations and the rules that were violated.
use crate::observations::{Observations, Session, SessionEnd, Timestamp};
use crate::oracle::{Violation, HARNESS_MARGIN};
use crate::schedule::ScheduledFault;
use std::collections::BTreeMap;
use std::time::Duration;

/// The outcome of a run.
pub struct Report {
    /// The observations of clients, backends, discovery and the harness.
    pub observations: Observations,
    /// The violations, sorted by their times since the start of the run.
    pub violations: Vec<Violation>,
    /// Number of system calls that failed by injection, in all relay processes.
    pub injected_failures: i64,
    /// The longest scheduling delay of the harness' own threads.
    pub longest_lateness: Duration,
}

/// A kind of fault, and a kind of event of a session or process that happened during the fault.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FaultEvent {
    /// The name of the fault's kind.
    pub fault: String,
    /// The name of the event.
    pub event: &'static str,
}

/// An event of a session or process.
struct NamedEvent {
    name: &'static str,
    at: Timestamp,
}

impl Report {
    /// Whether the scheduling delays of the harness stayed within the margin of the oracle, so that the
    /// recorded times are reliable.
    pub fn has_reliable_times(&self) -> bool {
        self.longest_lateness <= HARNESS_MARGIN
    }

    /// Returns the number of sessions for each first word of an answer, with `none` for sessions without
    /// one.
    pub fn answers(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for session in self.observations.sessions.values() {
            let answer = session.answer.as_ref();
            let word = answer.and_then(|answer| answer.line.split(' ').next()).unwrap_or("none");
            *counts.entry(word.to_string()).or_insert(0) += 1;
        }
        counts
    }

    /// Returns how often each kind of event happened during each kind of fault.
    pub fn coverage(&self, faults: &[ScheduledFault]) -> BTreeMap<FaultEvent, usize> {
        let events = self.events();
        let mut counts = BTreeMap::new();
        for fault in faults {
            for event in events.iter().filter(|event| event.at >= fault.from && event.at <= fault.until) {
                let key = FaultEvent { fault: fault.kind.name(), event: event.name };
                *counts.entry(key).or_insert(0) += 1;
            }
        }
        counts
    }

    fn events(&self) -> Vec<NamedEvent> {
        let mut events = Vec::new();
        for session in self.observations.sessions.values() {
            add_session_events(session, &mut events);
        }
        for delivery in &self.observations.list_deliveries {
            events.push(NamedEvent { name: "list change", at: delivery.at });
        }
        for process in &self.observations.processes {
            events.push(NamedEvent { name: "start", at: process.started_at });
            let stop = process.stop_requested_at.map(|at| NamedEvent { name: "stop", at });
            events.extend(stop);
        }
        events
    }
}

fn add_session_events(session: &Session, events: &mut Vec<NamedEvent>) {
    events.push(NamedEvent { name: "request", at: session.requested_at });
    for (number, attempt) in session.attempts.iter().enumerate() {
        let name = if number == 0 { "dial" } else { "repeat" };
        events.push(NamedEvent { name, at: attempt.started_at });
    }
    if let Some(answer) = &session.answer {
        let name = if answer.line.starts_with("UP") { "up" } else { "refusal or failure" };
        events.push(NamedEvent { name, at: answer.at });
    }
    if let Some(SessionEnd { at, .. }) = session.ended {
        let name = if session.move_announced { "move" } else { "end" };
        events.push(NamedEvent { name, at });
    }
    events.extend(session.left_at.map(|at| NamedEvent { name: "client leaves", at }));
}
