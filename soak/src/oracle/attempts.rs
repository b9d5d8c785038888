//! Rules of attempts: what may have run is not repeated, one attempt at a time, none to a draining backend,
//! none for a client that has gone.
use super::{CheckedSession, Rule, Settings, HARNESS_MARGIN, SOCKET_MARGIN};
use crate::observations::{Answer, Attempt, AttemptOutcome, Interval, Observations, Session, Timestamp};
use std::time::Duration;

/// An attempt may begin so long after its client has gone.
const CLIENT_GONE_DELAY: Duration = Duration::from_millis(100);
/// A list change reaches a relay at the latest so long after discovery had it and could be reached.
const LIST_DELIVERY: Duration = Duration::from_secs(6);
/// A backend that writes byte by byte observes the end of a connection so late.
const END_OBSERVED: Duration = Duration::from_millis(160);
/// The listener whose requests must not run twice.
const NOT_REPEATABLE: &str = "once";
/// The listener whose requests have an idempotency key.
const IDEMPOTENT: &str = "referenced";

fn may_have_run(attempt: &Attempt) -> bool {
    attempt.received_at.is_some() && attempt.outcome != Some(AttemptOutcome::Rejected)
}

/// What may have run is repeated only where the listener allows it, and one attempt ends before the next.
pub(super) fn check_repetition(
    observations: &Observations,
    settings: &Settings,
    checked: &mut CheckedSession<'_>,
) {
    let session = checked.session;
    for (number, attempt) in session.attempts.iter().enumerate().skip(1) {
        let earlier = &session.attempts[..number];
        if is_forbidden_repetition(session.listener, earlier, attempt, settings) {
            let details = format!("attempt {number} after one that may have run");
            checked.violate(Rule::NoDuplicate, attempt.started_at, &details);
        }
        let previous = &earlier[number - 1];
        let still_open =
            previous.ended_at.is_none_or(|ended_at| ended_at > attempt.started_at + END_OBSERVED);
        if still_open && !was_held_back(observations, previous, attempt) {
            let details = format!("attempt {number} while the one before was open");
            checked.violate(Rule::OneAttempt, attempt.started_at, &details);
        }
    }
    if let Some(answer) = rejection(session) {
        if session.listener == NOT_REPEATABLE && session.attempts.iter().any(may_have_run) {
            checked.violate(Rule::TrueRejection, answer.at, "BUSY though it may have run");
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

/// Whether a link held back the end of an attempt as well as its line: the backend can't know when it was
/// given up.
fn was_held_back(observations: &Observations, previous: &Attempt, attempt: &Attempt) -> bool {
    observations.link_stalls.iter().any(|stall| {
        stall.subject == previous.backend
            && stall.from <= attempt.started_at
            && previous.started_at <= stall.until
    })
}

fn rejection(session: &Session) -> Option<&Answer> {
    session.answer.as_ref().filter(|answer| answer.line.starts_with("BUSY"))
}

/// No attempt goes to a backend that drains, or for a client that has gone.
pub(super) fn check_timing(
    observations: &Observations,
    settings: &Settings,
    checked: &mut CheckedSession<'_>,
) {
    let session = checked.session;
    for (number, attempt) in session.attempts.iter().enumerate() {
        let started_at = attempt.started_at;
        let informed = drain_known_at(observations, session.relay, attempt.backend, started_at);
        let grace = settings.drain_grace + SOCKET_MARGIN + HARNESS_MARGIN;
        if let Some(informed) = informed.filter(|informed| started_at > *informed + grace) {
            let late = started_at - informed;
            let details =
                format!("attempt {number} to backend {} {late:?} after its drain was known", attempt.backend);
            checked.violate(Rule::NoneToDraining, started_at, &details);
        }
        let limit = CLIENT_GONE_DELAY + HARNESS_MARGIN;
        if let Some(left_at) = session.left_at.filter(|left_at| started_at > *left_at + limit) {
            let late = started_at - left_at;
            let details = format!("attempt {number} {late:?} after its client had gone");
            checked.violate(Rule::NoneForGoneClient, started_at, &details);
        }
    }
}

/// Since when a relay is to know, at a time, that a backend drains; none where the backend does not drain
/// then.
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
        |outage: &&Interval| outage.from <= change.at + LIST_DELIVERY && outage.until > change.at;
    let outages = observations.discovery_outages.iter().filter(delays_delivery);
    let reachable = outages.map(|outage| outage.until).max().unwrap_or(change.at);
    let latest = reachable.max(change.at) + LIST_DELIVERY;
    Some(delivery.map_or(latest, |delivery| delivery.at.min(latest)))
}
