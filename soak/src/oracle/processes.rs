//! Rules of relay processes, partial requests, and backends that warm up.
use super::{Rule, Settings, Violation, HARNESS_MARGIN};
use crate::observations::{ExitReason, ListChange, Observations, Process, Timestamp};
use std::time::Duration;

/// Time from its start within which a process must answer `PING`.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a client that stopped in the middle of its line must get an error or the end of the
/// connection.
const PARTIAL_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Budget, in attempts per window, from which the smaller of the two margins in `attempts_allowed` applies.
const LARGE_BUDGET: f64 = 30.0;

/// Checks that processes are ready in time, exit in time, and do not crash.
pub(super) fn check_processes(observations: &Observations, violations: &mut Vec<Violation>) {
    for process in &observations.processes {
        let mut violate = |rule, at, details: &str| {
            let details = format!("relay {}: {details}", process.relay);
            violations.push(Violation { rule, at, details });
        };
        if let Some(ended) = process.ended {
            match ended.reason {
                ExitReason::KilledAtTimeLimit => {
                    let requested_at = process.stop_requested_at.unwrap_or(ended.at);
                    let details = format!(
                        "killed {:?} after the request to stop, because it had not exited in time",
                        ended.at.saturating_sub(requested_at)
                    );
                    violate(Rule::StopInTime, ended.at, &details);
                }
                ExitReason::Crashed => {
                    let details = format!(
                        "exited {:?} after its start, without a request to stop",
                        ended.at.saturating_sub(process.started_at)
                    );
                    violate(Rule::NoCrash, ended.at, &details);
                }
                // `Killed` processes were killed by a fault of the schedule, unlike `KilledAtTimeLimit`.
                ExitReason::Killed | ExitReason::Exited => {}
            }
        }
        if is_late(process) {
            let ready = process.ready_at.map_or("never ready".to_string(), |ready_at| {
                format!("ready {:?} after its start", ready_at.saturating_sub(process.started_at))
            });
            let details = format!("{ready}; allowed are {READY_TIMEOUT:?}");
            violate(Rule::Ready, process.started_at, &details);
        }
    }
}

/// Whether a process was not ready in time, although it ran until then.
fn is_late(process: &Process) -> bool {
    let limit = process.started_at + READY_TIMEOUT;
    let ended_before = process.ended.is_some_and(|ended| ended.at < limit);
    process.ready_at.is_none_or(|ready_at| ready_at > limit) && !ended_before
}

/// Checks that a client that stops in the middle of its line gets an error or the end of the connection in
/// time, unless its relay was paused meanwhile.
pub(super) fn check_partial_requests(observations: &Observations, violations: &mut Vec<Violation>) {
    for request in &observations.partial_requests {
        let limit = request.since + PARTIAL_REQUEST_TIMEOUT + HARNESS_MARGIN;
        let was_paused = observations.pauses.iter().any(|pause| {
            pause.subject == request.relay && pause.from <= limit && pause.until >= request.since
        });
        if !was_paused && request.ended_at.is_none_or(|ended_at| ended_at > limit) {
            let end = request.ended_at.map_or("its connection did not end".to_string(), |ended_at| {
                format!("its connection ended after {:?}", ended_at - request.since)
            });
            let details = format!(
                "relay {}: a client that stopped in the middle of its line got no error or end of its \
                 connection within {PARTIAL_REQUEST_TIMEOUT:?}; {end}",
                request.relay
            );
            violations.push(Violation { rule: Rule::PartialRequestEnded, at: request.since, details });
        }
    }
}

/// Checks that each backend that warms up gets at most its budget of attempts in each window of
/// `Settings::overload_window`, with a margin for chance. Only the first excess of each backend is reported.
pub(super) fn check_warm_up_budget(
    observations: &Observations,
    settings: &Settings,
    violations: &mut Vec<Violation>,
) {
    for start in observations.list_changes.iter().filter(|change| change.is_start) {
        let attempts = attempts_while_warming_up(observations, settings, start);
        let mut excesses = attempts.iter().enumerate().filter_map(|(last, &at)| {
            let is_in_window = |started_at: &&Timestamp| **started_at + settings.overload_window > at;
            let count = attempts[..=last].iter().filter(is_in_window).count();
            let bound = attempts_allowed(settings, at - start.at);
            (count as f64 > bound).then_some(Excess { at, count, bound })
        });
        if let Some(Excess { at, count, bound }) = excesses.next() {
            let details = format!(
                "{count} attempts within {:?} at backend {}, which is warming up; allowed are {bound:.1}",
                settings.overload_window, start.backend
            );
            violations.push(Violation { rule: Rule::WarmUpBudget, at, details });
        }
    }
}

/// A window with more attempts than allowed.
struct Excess {
    /// The last attempt and end of the window.
    at: Timestamp,
    /// Number of attempts within the window.
    count: usize,
    /// Number of attempts that are allowed.
    bound: f64,
}

/// Returns the sorted times of all attempts at a backend during its slow start.
fn attempts_while_warming_up(
    observations: &Observations,
    settings: &Settings,
    start: &ListChange,
) -> Vec<Timestamp> {
    let warm_at = start.at + settings.warm_up;
    let all = observations.sessions.values().flat_map(|session| &session.attempts);
    let at_backend = all.filter(|attempt| attempt.backend == start.backend);
    let times = at_backend.map(|attempt| attempt.started_at);
    let mut while_warming_up: Vec<Timestamp> = times.filter(|at| *at >= start.at && *at < warm_at).collect();
    while_warming_up.sort();
    while_warming_up
}

/// Returns the number of attempts that a backend may get in a window that ends at the given age of the
/// backend: its budget plus a margin for chance. The margin is 2 or 3 standard deviations of a random count
/// (the square root of its mean), plus 2 or 3 attempts.
fn attempts_allowed(settings: &Settings, age: Duration) -> f64 {
    let warm_up = settings.warm_up.as_secs_f64();
    let progress = age.as_secs_f64() / warm_up;
    let fraction = settings.initial_capacity + (1.0 - settings.initial_capacity) * progress;
    let rate = settings.overload_multiple * fraction * settings.capacity / warm_up;
    let budget = rate * settings.overload_window.as_secs_f64();
    if budget < LARGE_BUDGET {
        budget + 3.0 * budget.sqrt() + 3.0
    } else {
        budget + 2.0 * budget.sqrt() + 2.0
    }
}
