//! Checks a run by its observations alone, against rules that must hold during any fault.
//!
//! `sessions` has the rules of answers and open sessions, `attempts` the rules of attempts at backends, and
//! `processes` the rules of relay processes, partial requests, and the load on a backend that warms up.
mod attempts;
mod processes;
mod sessions;

use crate::observations::{Observations, Session, Timestamp};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The settings of the relays on which the rules depend.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time after a backend was announced as draining for which new sessions may still go to it.
    pub drain_grace: Duration,
    /// Time for which requests with an idempotency key may be repeated.
    pub idempotency_window: Duration,
    /// The length of a backend's slow start.
    pub warm_up: Duration,
    /// The fraction of its capacity with which a backend starts.
    pub initial_capacity: f64,
    /// The window in which the number of new sessions is limited.
    pub overload_window: Duration,
    /// The allowed multiple of the regular rate of new sessions within the window.
    pub overload_multiple: f64,
    /// Number of sessions that use a backend's full capacity.
    pub capacity: f64,
}

/// A rule that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was accepted gets a final answer in time.
    Answered,
    /// An open session is not ended without `MOVE` while its backend serves it.
    NotCutOff,
    /// A client learns in time that its backend has ended the session.
    EndAnnounced,
    /// No line follows a final answer.
    OneAnswer,
    /// A request that may have run is not sent again, unless its listener allows a repetition.
    NoDuplicate,
    /// A session has one attempt at a time.
    OneAttempt,
    /// A relay answers `BUSY` only if the request has not run.
    TrueRejection,
    /// No attempt goes to a draining backend after the grace period.
    NoneToDraining,
    /// No attempt begins after its client has left.
    NoneForGoneClient,
    /// A backend that warms up gets at most its budget of attempts in a window.
    WarmUpBudget,
    /// A client that stopped in the middle of its line gets an error or the end of the connection in time.
    PartialRequestEnded,
    /// A process that was requested to stop exits in time.
    StopInTime,
    /// No process exits without a request.
    NoCrash,
    /// A started process is ready in time.
    Ready,
}

impl Rule {
    /// Whether the rule depends on observed times, so that a delayed observer may report a violation that did
    /// not happen.
    pub fn depends_on_time(self) -> bool {
        !matches!(self, Rule::NoDuplicate | Rule::TrueRejection | Rule::OneAnswer | Rule::NoCrash)
    }
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When the rule was violated.
    pub at: Timestamp,
    /// The observation that violates the rule.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s {:?}: {}", self.at.as_secs_f64(), self.rule, self.details)
    }
}

/// Time after its deadline within which an answer still counts as in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Additional time by which socket timeouts may be exceeded.
const SOCKET_MARGIN: Duration = Duration::from_millis(50);
/// Scheduling delay of the harness' own threads that the rules allow for.
pub const HARNESS_MARGIN: Duration = Duration::from_millis(30);

/// Returns all violations of a run, sorted by their times.
pub fn check(observations: &Observations, settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, session) in &observations.sessions {
        // If a link holds back a line, a later line may be observed first.
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

/// Returns the number of violations of each rule.
pub fn count_by_rule(violations: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.rule).or_insert(0) += 1;
    }
    counts
}

/// A session being checked, and the list to which its violations are added.
struct CheckedSession<'a> {
    id: u64,
    session: &'a Session,
    violations: &'a mut Vec<Violation>,
}

impl CheckedSession<'_> {
    fn add_violation(&mut self, rule: Rule, at: Timestamp, details: &str) {
        let Session { relay, listener, .. } = self.session;
        let details = format!("{:x} at relay {relay} ({listener}): {details}", self.id);
        self.violations.push(Violation { rule, at, details });
    }
}
