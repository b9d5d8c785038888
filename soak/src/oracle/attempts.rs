//! Rules of attempts. An attempt is one connection of a relay to a backend, with the request of a session. A
//! request that may have run is not repeated, a session has one attempt at a time, and no attempt goes to a
//! draining backend or is made for a client that has left.
use super::{CheckedSession, Rule, Settings, HARNESS_MARGIN, SOCKET_MARGIN};
use crate::observations::{Answer, Attempt, AttemptOutcome, Interval, Observations, Session, Timestamp};
use std::time::Duration;

/// Time from a client's departure within which the relay may still begin an attempt for it.
const CLIENT_GONE_DELAY: Duration = Duration::from_millis(100);
/// Time after which a relay must know a change of the endpoint list, counted from the time at which
/// discovery has the change and is reachable.
const MAX_LIST_DELIVERY_DELAY: Duration = Duration::from_secs(6);
/// Maximum delay from the end of a connection until its backend records the end. A backend that writes its
/// answer byte by byte (`UP r1` and line end: 7 bytes at intervals of 20 ms) does not read meanwhile.
const MAX_END_DETECTION_DELAY: Duration = Duration::from_millis(160);
/// The listener in `settings::LISTENERS` whose requests must not run twice.
const NOT_REPEATABLE: &str = "once";
/// The listener in `settings::LISTENERS` whose requests have an idempotency key, and may be repeated within
/// `Settings::idempotency_window`.
const KEYED: &str = "referenced";

/// Whether the backend received the complete request and did not reject it.
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
        if let Some(first_run) = forbidden_repetition(session.listener, earlier, attempt, settings) {
            let details = format!(
                "attempt {} began at backend {} {:?} after the start of an attempt at backend {} that may \
                 have run",
                number + 1,
                attempt.backend,
                attempt.started_at - first_run.started_at,
                first_run.backend
            );
            checked.add_violation(Rule::NoDuplicate, attempt.started_at, &details);
        }
        let previous = &earlier[number - 1];
        let still_open =
            previous.ended_at.is_none_or(|ended_at| ended_at > attempt.started_at + MAX_END_DETECTION_DELAY);
        if still_open && !was_stalled(observations, previous, attempt) {
            let end = previous.ended_at.map_or("did not end".to_string(), |ended_at| {
                format!("ended {:?} later", ended_at.saturating_sub(attempt.started_at))
            });
            let details = format!(
                "attempt {} began at backend {}, but the previous attempt at backend {} {end}; allowed are \
                 {MAX_END_DETECTION_DELAY:?}",
                number + 1,
                attempt.backend,
                previous.backend
            );
            checked.add_violation(Rule::OneAttempt, attempt.started_at, &details);
        }
    }
    if let Some(answer) = rejection(session) {
        let possible_run = session.attempts.iter().find(|attempt| may_have_run(attempt));
        if let Some(attempt) = possible_run.filter(|_| session.listener == NOT_REPEATABLE) {
            let details =
                format!("answered BUSY, but the request may have run at backend {}", attempt.backend);
            checked.add_violation(Rule::TrueRejection, answer.at, &details);
        }
    }
}

/// Returns the first earlier attempt that may have run, if the listener forbids a repetition after it.
fn forbidden_repetition<'a>(
    listener: &str,
    earlier: &'a [Attempt],
    attempt: &Attempt,
    settings: &Settings,
) -> Option<&'a Attempt> {
    let first_run = earlier.iter().find(|earlier| may_have_run(earlier))?;
    let is_forbidden = match listener {
        NOT_REPEATABLE => true,
        KEYED => {
            let window = settings.idempotency_window + SOCKET_MARGIN + HARNESS_MARGIN;
            attempt.started_at > first_run.started_at + window
        }
        _ => false,
    };
    is_forbidden.then_some(first_run)
}

/// Whether the link to the backend of the previous attempt stalled at some time from the start of that
/// attempt to the start of `attempt`. The link then held back the end of the previous attempt, so the
/// backend cannot observe when the relay abandoned it.
fn was_stalled(observations: &Observations, previous: &Attempt, attempt: &Attempt) -> bool {
    observations.link_stalls.iter().any(|stall| {
        stall.subject == previous.backend
            && stall.from <= attempt.started_at
            && previous.started_at <= stall.until
    })
}

/// Returns the session's answer if it is a rejection.
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
                "attempt {} began at backend {} {late:?} after its drain was known; allowed are {grace:?}",
                number + 1,
                attempt.backend
            );
            checked.add_violation(Rule::NoneToDraining, started_at, &details);
        }
        let limit = CLIENT_GONE_DELAY + HARNESS_MARGIN;
        if let Some(left_at) = session.left_at.filter(|left_at| started_at > *left_at + limit) {
            let late = started_at - left_at;
            let details = format!(
                "attempt {} began at backend {} {late:?} after its client had left; allowed are {limit:?}",
                number + 1,
                attempt.backend
            );
            checked.add_violation(Rule::NoneForGoneClient, started_at, &details);
        }
    }
}

/// Returns the time from which a relay must know that a backend is draining, or none if the latest change
/// of the endpoint list before `now` does not list the backend as draining. The relay must know it when
/// discovery has sent it the change, but at the latest `MAX_LIST_DELIVERY_DELAY` after it could request the
/// change.
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
