//! The oracle itself: regular observations violate no rule, and each rule is found violated where its fault
//! is put in.
use hallrelay_soak::observations::{
    Answer, Attempt, AttemptOutcome, ConnectionEnd, ExitReason, ListChange, ListDelivery, Observations,
    PartialRequest, Process, ProcessEnd, Session, SessionEnd,
};
use hallrelay_soak::oracle::{check, Rule};
use hallrelay_soak::settings::SETTINGS;
use std::time::Duration;

const ID: u64 = 7;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn attempt(backend: usize, started: u64, outcome: AttemptOutcome, ended: Option<u64>) -> Attempt {
    Attempt {
        backend,
        started_at: ms(started),
        received_at: Some(ms(started + 1)),
        outcome: Some(outcome),
        ended_at: ended.map(ms),
    }
}

fn answer(at: u64, line: &str) -> Option<Answer> {
    Some(Answer { at: ms(at), line: line.to_string() })
}

fn closed(at: u64) -> Option<SessionEnd> {
    Some(SessionEnd { at: ms(at), how: ConnectionEnd::Closed })
}

fn exited(at: u64, reason: ExitReason) -> Option<ProcessEnd> {
    Some(ProcessEnd { at: ms(at), reason })
}

/// One relay, and one session that is open from 1.01 s until its client leaves at 3 s.
fn regular(listener: &'static str) -> Observations {
    let mut observations = Observations::default();
    observations.processes.push(Process {
        relay: 0,
        started_at: ms(0),
        ready_at: Some(ms(200)),
        stop_requested_at: None,
        ended: None,
    });
    let session = Session {
        relay: 0,
        listener,
        requested_at: ms(1_000),
        timeout: ms(1_900),
        answer: answer(1_010, "UP r1"),
        lines_after_answer: 0,
        left_at: Some(ms(3_000)),
        ended: None,
        move_announced: false,
        attempts: vec![attempt(0, 1_005, AttemptOutcome::Accepted, None)],
    };
    observations.sessions.insert(ID, session);
    observations
}

/// The rules that are violated once a fault is put into regular observations.
fn violated(listener: &'static str, change: impl FnOnce(&mut Observations, &mut Session)) -> Vec<Rule> {
    let mut observations = regular(listener);
    let mut session = observations.sessions.remove(&ID).expect("it is there");
    change(&mut observations, &mut session);
    observations.sessions.insert(ID, session);
    check(&observations, &SETTINGS).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn regular_observations_violate_nothing() {
    assert_eq!(violated("once", |_, _| {}), []);
    let refused_after_busy = violated("once", |_, session| {
        session.attempts = vec![attempt(0, 1_005, AttemptOutcome::Rejected, Some(1_006))];
        session.answer = answer(1_010, "BUSY");
        session.left_at = None;
    });
    assert_eq!(refused_after_busy, []);
}

#[test]
fn answers_that_are_late_missing_or_two_are_found() {
    let late = violated("low", |_, session| session.answer = answer(3_500, "BUSY"));
    assert_eq!(late, [Rule::Answered]);
    let missing = violated("low", |_, session| {
        session.answer = None;
        session.left_at = None;
        session.ended = closed(1_500);
    });
    assert_eq!(missing, [Rule::Answered]);
    let killed = violated("low", |observations, session| {
        session.answer = None;
        session.left_at = None;
        observations.processes[0].ended = exited(1_500, ExitReason::Killed);
    });
    assert_eq!(killed, [], "a relay that was killed owes nothing");
    let two = violated("low", |_, session| session.lines_after_answer = 1);
    assert_eq!(two, [Rule::OneAnswer]);
}

#[test]
fn sessions_that_are_cut_off_or_ended_late_are_found() {
    let cut = violated("low", |_, session| {
        session.left_at = None;
        session.ended = closed(2_000);
    });
    assert_eq!(cut, [Rule::NotCutOff]);
    let moved = violated("low", |_, session| {
        session.left_at = None;
        session.move_announced = true;
        session.ended = closed(2_000);
    });
    assert_eq!(moved, []);
    let late = violated("low", |_, session| {
        session.left_at = None;
        session.move_announced = true;
        session.ended = closed(3_500);
        session.attempts[0].ended_at = Some(ms(2_000));
    });
    assert_eq!(late, [Rule::EndAnnounced]);
}

#[test]
fn what_runs_twice_is_found() {
    let again = |listener, first: Attempt, begun| {
        violated(listener, |_, session| {
            session.attempts = vec![first, attempt(1, begun, AttemptOutcome::Accepted, None)]
        })
    };
    let unknown = attempt(0, 1_005, AttemptOutcome::Unknown, Some(1_006));
    assert_eq!(again("once", unknown.clone(), 1_007), [Rule::NoDuplicate]);
    assert_eq!(again("once", attempt(0, 1_005, AttemptOutcome::Rejected, Some(1_006)), 1_007), []);
    assert_eq!(again("low", unknown.clone(), 1_007), []);
    assert_eq!(again("referenced", unknown.clone(), 1_900), []);
    assert_eq!(again("referenced", unknown, 2_200), [Rule::NoDuplicate]);
    assert_eq!(
        again("low", attempt(0, 1_005, AttemptOutcome::Unknown, Some(2_000)), 1_007),
        [Rule::OneAttempt]
    );
    let refused = violated("once", |_, session| {
        session.attempts = vec![attempt(0, 1_005, AttemptOutcome::Unknown, Some(1_006))];
        session.answer = answer(1_010, "BUSY");
    });
    assert_eq!(refused, [Rule::TrueRejection]);
}

#[test]
fn what_goes_where_it_may_not_is_found() {
    let drains = |delivered: Option<u64>, begun: u64| {
        let mut observations = regular("low");
        observations.list_changes.push(ListChange {
            backend: 0,
            draining: true,
            is_start: false,
            at: ms(500),
        });
        let delivery = |at| ListDelivery { relay: 0, backend: 0, draining: true, at: ms(at) };
        observations.list_deliveries.extend(delivered.map(delivery));
        let session = observations.sessions.get_mut(&ID).expect("it is there");
        session.requested_at = ms(begun - 5);
        session.left_at = None;
        session.answer = answer(begun + 5, "UP r1");
        session.attempts[0].started_at = ms(begun);
        check(&observations, &SETTINGS).into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    assert_eq!(drains(Some(600), 800), []);
    assert_eq!(drains(Some(600), 1_000), [Rule::NoneToDraining]);
    assert_eq!(drains(None, 6_700), [], "it counts as delivered 6 s after the change");
    assert_eq!(drains(None, 7_000), [Rule::NoneToDraining]);
    let gone = violated("low", |_, session| {
        session.answer = None;
        session.left_at = Some(ms(1_002));
        session.attempts[0].started_at = ms(1_200);
    });
    assert_eq!(gone, [Rule::NoneForGoneClient]);
}

#[test]
fn a_cold_backend_that_gets_too_much_is_found() {
    let dials = |count: u64| {
        let mut observations = regular("low");
        observations.list_changes.push(ListChange {
            backend: 0,
            draining: false,
            is_start: true,
            at: ms(900),
        });
        let one = observations.sessions[&ID].clone();
        for number in 0..count {
            observations.sessions.insert(100 + number, one.clone());
        }
        check(&observations, &SETTINGS).into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    assert_eq!(dials(5), []);
    assert_eq!(dials(40), [Rule::WarmUpBudget]);
}

#[test]
fn processes_that_end_or_start_badly_are_found() {
    let ended =
        |end| violated("low", |observations, _| observations.processes[0].ended = exited(20_000, end));
    assert_eq!(ended(ExitReason::KilledAtTimeLimit), [Rule::StopInTime]);
    assert_eq!(ended(ExitReason::Crashed), [Rule::NoCrash]);
    assert_eq!(ended(ExitReason::Exited), []);
    assert_eq!(violated("low", |observations, _| observations.processes[0].ready_at = None), [Rule::Ready]);
    let late = PartialRequest { relay: 0, since: ms(1_000), ended_at: Some(ms(4_200)) };
    let half = violated("low", |observations, _| observations.partial_requests.push(late));
    assert_eq!(half, [Rule::PartialRequestEnded]);
}
