//! Rules of a session: it is answered once and in time, and goes on until one side ends it.
use super::{CheckedSession, Rule, ANSWER_MARGIN, HARNESS_MARGIN};
use crate::observations::{
    ConnectionEnd, ExitReason, Impairment, Observations, Process, ProcessEnd, Session, SessionEnd, Timestamp,
};
use std::time::Duration;

/// A session that its backend has ended is ended or moved within this time.
const END_NOTICE: Duration = Duration::from_secs(1);
/// Clients connect for so long after a relay was requested to stop.
const FRONT_DELAY: Duration = Duration::from_millis(400);

/// The process of a relay that a session connected to.
fn process_of<'a>(observations: &'a Observations, session: &Session) -> Option<&'a Process> {
    let is_its_process =
        |process: &&Process| process.relay == session.relay && process.started_at <= session.requested_at;
    observations.processes.iter().rev().find(is_its_process)
}

/// Whether a relay owes a session nothing: its process was killed, was paused or could not accept until the
/// answer was late, or the machine broke the connection.
fn is_excused(observations: &Observations, session: &Session) -> bool {
    let late_from = session.requested_at + session.timeout + ANSWER_MARGIN;
    let process = process_of(observations, session);
    if process.is_none_or(|process| is_excused_by_exit(process, session, late_from)) {
        return true;
    }
    // From some time on nothing could be sent until the answer was late.
    let lasts_until_late = |impairment: &Impairment, by: Timestamp| {
        impairment.subject == session.relay
            && impairment.from <= by
            && late_from <= impairment.until + HARNESS_MARGIN
    };
    let was_paused = observations.pauses.iter().any(|pause| lasts_until_late(pause, late_from));
    // It was in the accept queue all the time.
    let accepted_by = session.requested_at + HARNESS_MARGIN;
    let was_queued = observations.accept_outages.iter().any(|outage| lasts_until_late(outage, accepted_by));
    let was_broken = observations.broken_client_connections.iter().any(|fault| breaks(fault, session));
    was_paused || was_queued || was_broken
}

fn is_excused_by_exit(process: &Process, session: &Session, late_from: Timestamp) -> bool {
    let Some(ProcessEnd { at, reason }) = process.ended else { return false };
    match reason {
        ExitReason::Killed | ExitReason::Crashed => at <= late_from,
        // A client that connects after the front has noticed the stop is not the relay's any more.
        ExitReason::Exited | ExitReason::KilledAtTimeLimit => {
            let requested = process.stop_requested_at;
            requested.is_some_and(|requested| session.requested_at > requested + FRONT_DELAY)
        }
    }
}

/// Whether a fault of a relay's connections with clients may have ended a session.
fn breaks(fault: &Impairment, session: &Session) -> bool {
    let ended_meanwhile =
        |ended: SessionEnd| fault.from <= ended.at && ended.at <= fault.until + ANSWER_MARGIN;
    fault.subject == session.relay && session.ended.is_some_and(ended_meanwhile)
}

/// A request that was accepted is answered once, in time.
pub(super) fn check_answer(observations: &Observations, checked: &mut CheckedSession<'_>) {
    let session = checked.session;
    let deadline = session.requested_at + session.timeout;
    let late_from = deadline + ANSWER_MARGIN + HARNESS_MARGIN;
    if session.lines_after_answer > 0 {
        let details = format!("{} lines after its answer", session.lines_after_answer);
        checked.violate(Rule::OneAnswer, session.requested_at, &details);
    }
    let Some(answer) = &session.answer else {
        return check_missing_answer(observations, late_from, checked);
    };
    if answer.at > late_from && !is_excused(observations, session) {
        let details = format!("'{}' {:?} after its deadline", answer.line, answer.at - deadline);
        checked.violate(Rule::Answered, answer.at, &details);
    } else if answer.line.starts_with("UP") {
        check_open_session(observations, checked);
    }
}

fn check_missing_answer(observations: &Observations, late_from: Timestamp, checked: &mut CheckedSession<'_>) {
    let session = checked.session;
    let left_in_time = session.left_at.is_some_and(|left_at| left_at <= late_from);
    if left_in_time || is_excused(observations, session) {
        return;
    }
    let end_after =
        |ended: SessionEnd| format!("{:?} after {:?}", ended.how, ended.at - session.requested_at);
    let ended = session.ended.map(end_after);
    let details = format!("no answer; {} attempts; {ended:?}", session.attempts.len());
    checked.violate(Rule::Answered, session.requested_at, &details);
}

/// An open session goes on until one side ends it.
fn check_open_session(observations: &Observations, checked: &mut CheckedSession<'_>) {
    let session = checked.session;
    let Some(ended) = session.ended else { return };
    let Some(last_attempt) = session.attempts.last() else { return };
    let is_expected = session.move_announced
        || process_ended_about(observations, session.relay, ended.at)
        || is_excused(observations, session);
    if is_expected {
        let limit = |backend_ended_at: Timestamp| backend_ended_at + END_NOTICE + HARNESS_MARGIN;
        let late_after = last_attempt.ended_at.filter(|ended_at| ended.at > limit(*ended_at));
        if let Some(ended_at) = late_after {
            let details = format!("{:?} after its backend ended it", ended.at - ended_at);
            checked.violate(Rule::EndAnnounced, ended.at, &details);
        }
    } else if ended.how == ConnectionEnd::Silent {
        checked.violate(Rule::EndAnnounced, ended.at, "nothing was received for 7 s");
    } else if last_attempt.ended_at.is_none_or(|ended_at| ended_at > ended.at) {
        // Where the backend ended it first, the end of the connection is announcement enough.
        let details = format!("{:?} without MOVE while its backend served it", ended.how);
        checked.violate(Rule::NotCutOff, ended.at, &details);
    }
}

/// Whether a process of a relay was killed or crashed about a time.
fn process_ended_about(observations: &Observations, relay: usize, at: Timestamp) -> bool {
    observations.processes.iter().any(|process| {
        let Some(ended) = process.ended.filter(|_| process.relay == relay) else { return false };
        let is_unrequested = matches!(ended.reason, ExitReason::Killed | ExitReason::Crashed);
        is_unrequested && ended.at <= at + HARNESS_MARGIN && ended.at + ANSWER_MARGIN >= at
    })
}
