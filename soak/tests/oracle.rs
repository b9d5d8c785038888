//! The oracle itself. Valid observations violate no rule, and for each rule an invalid change to them is
//! reported as a violation.
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

/// Observations of one relay and one session, which is open from 1.01 s until its client leaves at 3 s.
fn valid_observations(listener: &'static str) -> Observations {
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

/// Returns the rules that are violated after a change to valid observations.
fn violated_rules(listener: &'static str, change: impl FnOnce(&mut Observations, &mut Session)) -> Vec<Rule> {
    let mut observations = valid_observations(listener);
    let mut session = observations.sessions.remove(&ID).expect("find the session of valid_observations");
    change(&mut observations, &mut session);
    observations.sessions.insert(ID, session);
    check(&observations, &SETTINGS).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn valid_observations_violate_no_rule() {
    assert_eq!(violated_rules("once", |_, _| {}), []);
    let refused_after_busy = violated_rules("once", |_, session| {
        session.attempts = vec![attempt(0, 1_005, AttemptOutcome::Rejected, Some(1_006))];
        session.answer = answer(1_010, "BUSY");
        session.left_at = None;
    });
    assert_eq!(refused_after_busy, []);
}

#[test]
fn late_missing_and_duplicate_answers_are_reported() {
    let late = violated_rules("low", |_, session| session.answer = answer(3_500, "BUSY"));
    assert_eq!(late, [Rule::Answered]);
    let missing = violated_rules("low", |_, session| {
        session.answer = None;
        session.left_at = None;
        session.ended = closed(1_500);
    });
    assert_eq!(missing, [Rule::Answered]);
    let killed = violated_rules("low", |observations, session| {
        session.answer = None;
        session.left_at = None;
        observations.processes[0].ended = exited(1_500, ExitReason::Killed);
    });
    assert_eq!(killed, [], "a killed relay does not have to answer");
    let two = violated_rules("low", |_, session| session.lines_after_answer = 1);
    assert_eq!(two, [Rule::OneAnswer]);
}

#[test]
fn interrupted_and_late_ended_sessions_are_reported() {
    let cut = violated_rules("low", |_, session| {
        session.left_at = None;
        session.ended = closed(2_000);
    });
    assert_eq!(cut, [Rule::NotCutOff]);
    let moved = violated_rules("low", |_, session| {
        session.left_at = None;
        session.move_announced = true;
        session.ended = closed(2_000);
    });
    assert_eq!(moved, []);
    let late = violated_rules("low", |_, session| {
        session.left_at = None;
        session.move_announced = true;
        session.ended = closed(3_500);
        session.attempts[0].ended_at = Some(ms(2_000));
    });
    assert_eq!(late, [Rule::EndAnnounced]);
}

#[test]
fn forbidden_repeated_attempts_are_reported() {
    let rules_of_second_attempt = |listener, first: Attempt, second_at| {
        violated_rules(listener, |_, session| {
            session.attempts = vec![first, attempt(1, second_at, AttemptOutcome::Accepted, None)]
        })
    };
    let unknown = attempt(0, 1_005, AttemptOutcome::Unknown, Some(1_006));
    assert_eq!(rules_of_second_attempt("once", unknown.clone(), 1_007), [Rule::NoDuplicate]);
    assert_eq!(
        rules_of_second_attempt("once", attempt(0, 1_005, AttemptOutcome::Rejected, Some(1_006)), 1_007),
        []
    );
    assert_eq!(rules_of_second_attempt("low", unknown.clone(), 1_007), []);
    assert_eq!(rules_of_second_attempt("referenced", unknown.clone(), 1_900), []);
    assert_eq!(rules_of_second_attempt("referenced", unknown, 2_200), [Rule::NoDuplicate]);
    assert_eq!(
        rules_of_second_attempt("low", attempt(0, 1_005, AttemptOutcome::Unknown, Some(2_000)), 1_007),
        [Rule::OneAttempt]
    );
    let refused = violated_rules("once", |_, session| {
        session.attempts = vec![attempt(0, 1_005, AttemptOutcome::Unknown, Some(1_006))];
        session.answer = answer(1_010, "BUSY");
    });
    assert_eq!(refused, [Rule::TrueRejection]);
}

#[test]
fn attempts_after_drain_or_client_departure_are_reported() {
    let rules_of_drain = |delivered: Option<u64>, attempted: u64| {
        let mut observations = valid_observations("low");
        observations.list_changes.push(ListChange {
            backend: 0,
            draining: true,
            is_start: false,
            at: ms(500),
        });
        let delivery = |at| ListDelivery { relay: 0, backend: 0, draining: true, at: ms(at) };
        observations.list_deliveries.extend(delivered.map(delivery));
        let session = observations.sessions.get_mut(&ID).expect("find the session of valid_observations");
        session.requested_at = ms(attempted - 5);
        session.left_at = None;
        session.answer = answer(attempted + 5, "UP r1");
        session.attempts[0].started_at = ms(attempted);
        check(&observations, &SETTINGS).into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    assert_eq!(rules_of_drain(Some(600), 800), []);
    assert_eq!(rules_of_drain(Some(600), 1_000), [Rule::NoneToDraining]);
    assert_eq!(rules_of_drain(None, 6_700), [], "the change counts as delivered after 6 s");
    assert_eq!(rules_of_drain(None, 7_000), [Rule::NoneToDraining]);
    let gone = violated_rules("low", |_, session| {
        session.answer = None;
        session.left_at = Some(ms(1_002));
        session.attempts[0].started_at = ms(1_200);
    });
    assert_eq!(gone, [Rule::NoneForGoneClient]);
}

#[test]
fn exceeded_warm_up_budget_is_reported() {
    let rules_of_attempts = |count: u64| {
        let mut observations = valid_observations("low");
        observations.list_changes.push(ListChange {
            backend: 0,
            draining: false,
            is_start: true,
            at: ms(900),
        });
        let session = observations.sessions[&ID].clone();
        for number in 0..count {
            observations.sessions.insert(100 + number, session.clone());
        }
        check(&observations, &SETTINGS).into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    assert_eq!(rules_of_attempts(5), []);
    assert_eq!(rules_of_attempts(40), [Rule::WarmUpBudget]);
}

#[test]
fn failed_starts_and_exits_are_reported() {
    let rules_of_exit = |reason| {
        violated_rules("low", |observations, _| observations.processes[0].ended = exited(20_000, reason))
    };
    assert_eq!(rules_of_exit(ExitReason::KilledAtTimeLimit), [Rule::StopInTime]);
    assert_eq!(rules_of_exit(ExitReason::Crashed), [Rule::NoCrash]);
    assert_eq!(rules_of_exit(ExitReason::Exited), []);
    assert_eq!(
        violated_rules("low", |observations, _| observations.processes[0].ready_at = None),
        [Rule::Ready]
    );
    let late_end = PartialRequest { relay: 0, since: ms(1_000), ended_at: Some(ms(4_200)) };
    let rules_of_partial_request =
        violated_rules("low", |observations, _| observations.partial_requests.push(late_end));
    assert_eq!(rules_of_partial_request, [Rule::PartialRequestEnded]);
}
