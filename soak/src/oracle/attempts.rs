//! Rules of attempts. A request that may have run is not repeated, a session has one attempt at a time, and
//! no attempt goes to a draining backend or is made for a client that has left.
use super::{CheckedSession, Rule, Settings, HARNESS_MARGIN, SOCKET_MARGIN};
use crate::observations::{Answer, Attempt, AttemptOutcome, Interval, Observations, Session, Timestamp};
use std::time::Duration;

/// Time after a client has left within which an attempt may still begin.
const CLIENT_GONE_DELAY: Duration = Duration::from_millis(100);
/// Maximum time until a list change reaches a relay, after discovery has the change and is reachable.
const MAX_LIST_DELIVERY_DELAY: Duration = Duration::from_secs(6);
/// Maximum delay with which a backend that writes byte by byte observes the end of a connection.
const MAX_END_DETECTION_DELAY: Duration = Duration::from_millis(160);
/// Listener whose requests must not run twice.
const NOT_REPEATABLE: &str = "once";
/// Listener whose requests have an idempotency key.
const IDEMPOTENT: &str = "referenced";

fn may_have_run(attempt: &Attempt) -> bool {
    attempt.received_at.is_some() && attempt.outcome != Some(AttemptOutcome::Rejected)
}

/// Checks that a request that may have run is repeated only if its listener allows it, and that each attempt
/// ends before the next begins.
pub(super) fn check_repetition(
    observations: &Observations,
    settings: &Settings,
    checked: &mut CheckedSession<'_>,
) {
    let session = checked.session;
    for (number, attempt) in session.attempts.iter().enumerate().skip(1) {
        let earlier = &session.attempts[..number];
        if is_forbidden_repetition(session.listener, earlier, attempt, settings) {
            let details = format!("attempt {number} began after an earlier attempt that may have run");
            checked.add_violation(Rule::NoDuplicate, attempt.started_at, &details);
        }
        let previous = &earlier[number - 1];
        let still_open =
            previous.ended_at.is_none_or(|ended_at| ended_at > attempt.started_at + MAX_END_DETECTION_DELAY);
        if still_open && !was_stalled(observations, previous, attempt) {
            let details = format!("attempt {number} began while the previous attempt was open");
            checked.add_violation(Rule::OneAttempt, attempt.started_at, &details);
        }
    }
    if let Some(answer) = rejection(session) {
        if session.listener == NOT_REPEATABLE && session.attempts.iter().any(may_have_run) {
            checked.add_violation(
                Rule::TrueRejection,
                answer.at,
                "answered BUSY, but the request may have run",
            );
        }
    }
}

fn is_forbidden_repetition(
    listener: &str,
    earlier: &[Attempt],
    attempt: &Attempt,
    settings: &Settings,
) -> bool {
    let Some(first_run) = earlier.iter().find(|earlier| may_have_run(earlier)) else { return false };
    match listener {
        NOT_REPEATABLE => true,
        IDEMPOTENT => {
            let window = settings.idempotency_window + SOCKET_MARGIN + HARNESS_MARGIN;
            attempt.started_at > first_run.started_at + window
        }
        _ => false,
    }
}

/// Whether a stalled link held back both the line and the end of the previous attempt. In this case the
/// backend cannot observe when the relay abandoned the attempt.
fn was_stalled(observations: &Observations, previous: &Attempt, attempt: &Attempt) -> bool {
    observations.link_stalls.iter().any(|stall| {
        stall.subject == previous.backend
            && stall.from <= attempt.started_at
            && previous.started_at <= stall.until
    })
}

fn rejection(session: &Session) -> Option<&Answer> {
    session.answer.as_ref().filter(|answer| answer.line.starts_with("BUSY"))
}

/// Checks that no attempt goes to a draining backend or is made for a client that has left.
pub(super) fn check_timing(
    observations: &Observations,
    settings: &Settings,
    checked: &mut CheckedSession<'_>,
) {
    let session = checked.session;
    for (number, attempt) in session.attempts.iter().enumerate() {
        let started_at = attempt.started_at;
        let known_at = drain_known_at(observations, session.relay, attempt.backend, started_at);
        let grace = settings.drain_grace + SOCKET_MARGIN + HARNESS_MARGIN;
        if let Some(known_at) = known_at.filter(|known_at| started_at > *known_at + grace) {
            let late = started_at - known_at;
            let details = format!(
                "attempt {number} began at backend {} {late:?} after its drain was known",
                attempt.backend
            );
            checked.add_violation(Rule::NoneToDraining, started_at, &details);
        }
        let limit = CLIENT_GONE_DELAY + HARNESS_MARGIN;
        if let Some(left_at) = session.left_at.filter(|left_at| started_at > *left_at + limit) {
            let late = started_at - left_at;
            let details = format!("attempt {number} began {late:?} after its client had left");
            checked.add_violation(Rule::NoneForGoneClient, started_at, &details);
        }
    }
}

/// Returns the time from which a relay must know that a backend is draining, or none if the backend is not
/// draining at time `now`.
fn drain_known_at(
    observations: &Observations,
    relay: usize,
    backend: usize,
    now: Timestamp,
) -> Option<Timestamp> {
    let mut changes = observations.list_changes.iter().rev();
    let change = changes.find(|change| change.backend == backend && change.at <= now)?;
    if !change.draining {
        return None;
    }
    let delivery = observations.list_deliveries.iter().find(|delivery| {
        delivery.relay == relay
            && delivery.backend == backend
            && delivery.draining
            && delivery.at >= change.at
    });
    let delays_delivery =
        |outage: &&Interval| outage.from <= change.at + MAX_LIST_DELIVERY_DELAY && outage.until > change.at;
    let outages = observations.discovery_outages.iter().filter(delays_delivery);
    let reachable = outages.map(|outage| outage.until).max().unwrap_or(change.at);
    let latest = reachable.max(change.at) + MAX_LIST_DELIVERY_DELAY;
    Some(delivery.map_or(latest, |delivery| delivery.at.min(latest)))
}
