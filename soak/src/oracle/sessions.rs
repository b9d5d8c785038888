//! Rules of sessions: each is answered once and in time, and stays open until one side ends it.
use super::{CheckedSession, Rule, ANSWER_MARGIN, HARNESS_MARGIN};
use crate::observations::{
    ConnectionEnd, ExitReason, Impairment, Observations, Process, ProcessEnd, Session, SessionEnd, Timestamp,
};
use std::time::Duration;

/// Time from the end of a session at its backend within which the relay must end or move the session.
const END_NOTICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from SIGTERM to a relay for which the front, the load balancer before the relays, may still send
/// clients to the relay.
const FRONT_DELAY: Duration = Duration::from_millis(400);

/// Returns the relay process to which a session's client connected.
fn process_of<'a>(observations: &'a Observations, session: &Session) -> Option<&'a Process> {
    let is_its_process =
        |process: &&Process| process.relay == session.relay && process.started_at <= session.requested_at;
    observations.processes.iter().rev().find(is_its_process)
}

/// Whether the relay does not have to serve a session. This is so if the relay's process was killed or was
/// stopping, if it was paused or could not accept connections until the answer was late, or if a fault
/// broke the client's connection.
fn is_exempt(observations: &Observations, session: &Session) -> bool {
    let late_from = session.requested_at + session.timeout + ANSWER_MARGIN;
    let process = process_of(observations, session);
    if process.is_none_or(|process| is_exempt_by_exit(process, session, late_from)) {
        return true;
    }
    // Whether an impairment of the relay began at the time `by` or earlier, and lasted until the answer was
    // late.
    let lasts_until_late = |impairment: &Impairment, by: Timestamp| {
        impairment.subject == session.relay
            && impairment.from <= by
            && late_from <= impairment.until + HARNESS_MARGIN
    };
    let was_paused = observations.pauses.iter().any(|pause| lasts_until_late(pause, late_from));
    // The client connected while the relay could not accept, so its connection stayed in the accept queue.
    let accepted_by = session.requested_at + HARNESS_MARGIN;
    let was_queued = observations.accept_outages.iter().any(|outage| lasts_until_late(outage, accepted_by));
    let was_broken =
        observations.broken_client_connections.iter().any(|fault| may_have_ended(fault, session));
    was_paused || was_queued || was_broken
}

/// Whether the end of its process exempts the relay from serving a session.
fn is_exempt_by_exit(process: &Process, session: &Session, late_from: Timestamp) -> bool {
    let Some(ProcessEnd { at, reason }) = process.ended else { return false };
    match reason {
        ExitReason::Killed | ExitReason::Crashed => at <= late_from,
        // After the front has noticed the stop, the relay does not have to serve new clients.
        ExitReason::Exited | ExitReason::KilledAtTimeLimit => {
            let requested = process.stop_requested_at;
            requested.is_some_and(|requested| session.requested_at > requested + FRONT_DELAY)
        }
    }
}

/// Whether a fault that broke a relay's connections with clients may have ended a session.
fn may_have_ended(fault: &Impairment, session: &Session) -> bool {
    let ended_meanwhile =
        |ended: SessionEnd| fault.from <= ended.at && ended.at <= fault.until + ANSWER_MARGIN;
    fault.subject == session.relay && session.ended.is_some_and(ended_meanwhile)
}

/// Checks that a request that was accepted is answered once and in time.
pub(super) fn check_answer(observations: &Observations, checked: &mut CheckedSession<'_>) {
    let session = checked.session;
    let deadline = session.requested_at + session.timeout;
    let late_from = deadline + ANSWER_MARGIN + HARNESS_MARGIN;
    if session.lines_after_answer > 0 {
        let details = format!("received {} lines after its final answer", session.lines_after_answer);
        checked.add_violation(Rule::OneAnswer, session.requested_at, &details);
    }
    let Some(answer) = &session.answer else {
        return check_missing_answer(observations, late_from, checked);
    };
    if answer.at > late_from && !is_exempt(observations, session) {
        let details = format!(
            "answered '{}' {:?} after its deadline; allowed are {:?}",
            answer.line,
            answer.at - deadline,
            late_from - deadline
        );
        checked.add_violation(Rule::Answered, answer.at, &details);
    } else if answer.line.starts_with("UP") {
        check_open_session(observations, checked);
    }
}

fn check_missing_answer(observations: &Observations, late_from: Timestamp, checked: &mut CheckedSession<'_>) {
    let session = checked.session;
    let left_in_time = session.left_at.is_some_and(|left_at| left_at <= late_from);
    if left_in_time || is_exempt(observations, session) {
        return;
    }
    let end = session.ended.map_or("its connection did not end".to_string(), |ended| {
        format!(
            "its connection ended ({:?}) {:?} after the request",
            ended.how,
            ended.at - session.requested_at
        )
    });
    let details = format!("no answer after {} attempts; {end}", session.attempts.len());
    checked.add_violation(Rule::Answered, session.requested_at, &details);
}

/// Checks that an open session stays open until its client or its backend ends it, or `MOVE` announces the
/// end.
fn check_open_session(observations: &Observations, checked: &mut CheckedSession<'_>) {
    let session = checked.session;
    let Some(ended) = session.ended else { return };
    let Some(last_attempt) = session.attempts.last() else { return };
    let is_expected = session.move_announced
        || process_ended_near(observations, session.relay, ended.at)
        || is_exempt(observations, session);
    if is_expected {
        let limit = |backend_ended_at: Timestamp| backend_ended_at + END_NOTICE_TIMEOUT + HARNESS_MARGIN;
        let late_after = last_attempt.ended_at.filter(|ended_at| ended.at > limit(*ended_at));
        if let Some(ended_at) = late_after {
            let details = format!(
                "ended {:?} after its backend {} had ended it; allowed are {:?}",
                ended.at - ended_at,
                last_attempt.backend,
                END_NOTICE_TIMEOUT + HARNESS_MARGIN
            );
            checked.add_violation(Rule::EndAnnounced, ended.at, &details);
        }
    } else if ended.how == ConnectionEnd::Silent {
        checked.add_violation(Rule::EndAnnounced, ended.at, "the client received no line for 7 s");
    } else if last_attempt.ended_at.is_none_or(|ended_at| ended_at > ended.at) {
        // If the backend ended the session first, the end of the connection is a sufficient announcement.
        let details = format!(
            "connection ended ({:?}) without MOVE while its backend {} served it",
            ended.how, last_attempt.backend
        );
        checked.add_violation(Rule::NotCutOff, ended.at, &details);
    }
}

/// Whether a process of a relay was killed or crashed close to the given time. The client may observe the
/// end of its connection `HARNESS_MARGIN` before the harness observes that of the process, or
/// `ANSWER_MARGIN` after it.
fn process_ended_near(observations: &Observations, relay: usize, at: Timestamp) -> bool {
    observations.processes.iter().any(|process| {
        let Some(ended) = process.ended.filter(|_| process.relay == relay) else { return false };
        let is_unexpected = matches!(ended.reason, ExitReason::Killed | ExitReason::Crashed);
        is_unexpected && ended.at <= at + HARNESS_MARGIN && ended.at + ANSWER_MARGIN >= at
    })
}
