//! Checks a run by its observations alone: the rules that hold whatever fails.
//!
//! `sessions` has the rules of answers and open sessions, `attempts` those of what is sent to backends,
//! `processes` those of relay processes and of the load on a backend that warms up.
mod attempts;
mod processes;
mod sessions;

use crate::observations::{Observations, Session, Timestamp};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The relays' settings that the rules depend on.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// New sessions may go to a backend for so long after it was announced as draining.
    pub drain_grace: Duration,
    /// Requests with an idempotency key may be repeated for so long.
    pub idempotency_window: Duration,
    /// The length of a backend's slow start.
    pub warm_up: Duration,
    /// The part of its capacity that a backend starts with.
    pub initial_capacity: f64,
    /// The window over which new sessions are limited.
    pub overload_window: Duration,
    /// The multiple of the regular rate that is allowed within the window.
    pub overload_multiple: f64,
    /// Sessions that fill a backend.
    pub capacity: f64,
}

/// A rule that every run keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was accepted gets a final answer in time.
    Answered,
    /// An open session is not ended without `MOVE` while its backend serves it.
    NotCutOff,
    /// A client learns in time that its backend has ended the session.
    EndAnnounced,
    /// Nothing follows a final answer.
    OneAnswer,
    /// What may have run is not sent again, unless it is idempotent.
    NoDuplicate,
    /// A session has one attempt at a time.
    OneAttempt,
    /// `BUSY` is answered only where the request has not run.
    TrueRejection,
    /// No attempt goes to a draining backend after the grace.
    NoneToDraining,
    /// No attempt begins after its client has gone.
    NoneForGoneClient,
    /// A backend that warms up gets no more than its budget in a window.
    WarmUpBudget,
    /// A client that stopped in the middle of its line is ended in time.
    PartialRequestEnded,
    /// A process that was requested to stop exits in time.
    StopInTime,
    /// No process exits without a request.
    NoCrash,
    /// A started process is ready in time.
    Ready,
}

impl Rule {
    /// Whether it is judged by when something was observed, so that a late observer may see it violated
    /// where it is not.
    pub fn depends_on_time(self) -> bool {
        !matches!(self, Rule::NoDuplicate | Rule::TrueRejection | Rule::OneAnswer | Rule::NoCrash)
    }
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was violated.
    pub at: Timestamp,
    /// What was observed.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s {:?}: {}", self.at.as_secs_f64(), self.rule, self.details)
    }
}

/// An answer this much after its deadline still counts as given.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Timeouts of sockets are this much longer.
const SOCKET_MARGIN: Duration = Duration::from_millis(50);
/// The harness' own threads may be this late.
pub const HARNESS_MARGIN: Duration = Duration::from_millis(30);

/// All violations of a run, in the order of their times.
pub fn check(observations: &Observations, settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, session) in &observations.sessions {
        // A link that holds back a line lets a later one be observed first.
        let mut session = session.clone();
        session.attempts.sort_by_key(|attempt| attempt.started_at);
        let mut checked = CheckedSession { id: *id, session: &session, violations: &mut violations };
        sessions::check_answer(observations, &mut checked);
        attempts::check_repetition(observations, settings, &mut checked);
        attempts::check_timing(observations, settings, &mut checked);
    }
    processes::check_processes(observations, &mut violations);
    processes::check_partial_requests(observations, &mut violations);
    processes::check_warm_up_budget(observations, settings, &mut violations);
    violations.sort_by_key(|violation| violation.at);
    violations
}

/// The number of violations by rule.
pub fn count_by_rule(violations: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.rule).or_insert(0) += 1;
    }
    counts
}

/// A session that is checked, and where its violations go.
struct CheckedSession<'a> {
    id: u64,
    session: &'a Session,
    violations: &'a mut Vec<Violation>,
}

impl CheckedSession<'_> {
    fn violate(&mut self, rule: Rule, at: Timestamp, details: &str) {
        let Session { relay, listener, .. } = self.session;
        let details = format!("{:x} at relay {relay} ({listener}): {details}", self.id);
        self.violations.push(Violation { rule, at, details });
    }
}
