//! The oracle: checks a run against rules that must hold during any fault. It uses only the observations,
//! which are made outside the relays.
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
    /// Time for which a relay that was notified of a backend's drain may still send it new sessions.
    pub drain_grace: Duration,
    /// Time within which a request with an idempotency key may be repeated, from its first attempt that may
    /// have run.
    pub idempotency_window: Duration,
    /// Length of a backend's slow start, in which it warms up.
    pub warm_up: Duration,
    /// Fraction of its capacity that a backend has at the beginning of its slow start.
    pub initial_capacity: f64,
    /// Length of the window in which a backend that warms up may get a limited number of new sessions.
    pub overload_window: Duration,
    /// Multiple of the regular rate of new sessions that such a backend may get within the window. At the
    /// regular rate, new sessions fill the backend's current capacity in the time `warm_up`.
    pub overload_multiple: f64,
    /// Number of sessions that use a backend's full capacity.
    pub capacity: f64,
}

/// A rule that every run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A complete request is answered in time.
    Answered,
    /// The relay does not end an open session without `MOVE` while its backend serves it.
    NotCutOff,
    /// A client learns in time that its backend has ended the session.
    EndAnnounced,
    /// No line follows a final answer, which is each answer except `UP`.
    OneAnswer,
    /// A request that may have run is not sent again, unless its listener allows a repetition.
    NoDuplicate,
    /// A session has one attempt at a time.
    OneAttempt,
    /// A relay answers `BUSY` (a rejection) only if the request has not run.
    TrueRejection,
    /// No attempt goes to a draining backend after the grace period.
    NoneToDraining,
    /// No attempt begins after its client has left.
    NoneForGoneClient,
    /// A backend that warms up gets at most its budget of attempts in `Settings::overload_window`.
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
    /// Whether the rule depends on observed times, so that a delayed observer may report a violation that
    /// did not happen.
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
    /// Describes the observation that violates the rule.
    pub details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s {:?}: {}", self.at.as_secs_f64(), self.rule, self.details)
    }
}

/// Time after its deadline within which an answer of a relay still counts as in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Time by which relays on sockets may exceed the time limits of the settings.
const SOCKET_MARGIN: Duration = Duration::from_millis(50);
/// Scheduling delay of the harness' own threads, by which observed times may be wrong, that the rules allow
/// for.
pub const HARNESS_MARGIN: Duration = Duration::from_millis(30);

/// Returns all violations of a run, sorted by their times.
pub fn check(observations: &Observations, settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, session) in &observations.sessions {
        // If a link holds back the line of an attempt, that of a later attempt may be observed first.
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
