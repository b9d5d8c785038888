//! The oracle itself. Valid observations violate no rule. For each rule, the observations are changed so
//! that they break it, and the oracle must report a violation of this rule and of no other.
use hallrelay_soak::observations::{
    Answer, Attempt, AttemptOutcome, ConnectionEnd, ExitReason, ListChange, ListDelivery, Observations,
    PartialRequest, Process, ProcessEnd, Session, SessionEnd,
};
use hallrelay_soak::oracle::{check, Rule, Violation};
use hallrelay_soak::settings::SETTINGS;
use std::time::Duration;

/// Id of the session in `valid_observations`.
const ID: u64 = 7;
/// Line with which the emulated backends accept a session.
const OPENED: &str = "UP r1";

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

/// Returns observations of one relay and one session. The session is open from 1.01 s until its client
/// leaves at 3 s.
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
        answer: answer(1_010, OPENED),
        lines_after_answer: 0,
        left_at: Some(ms(3_000)),
        ended: None,
        move_announced: false,
        attempts: vec![attempt(0, 1_005, AttemptOutcome::Accepted, None)],
    };
    observations.sessions.insert(ID, session);
    observations
}

/// Returns the violations after a change to valid observations.
fn violations_after(
    listener: &'static str,
    change: impl FnOnce(&mut Observations, &mut Session),
) -> Vec<Violation> {
    let mut observations = valid_observations(listener);
    let mut session = observations.sessions.remove(&ID).expect("find the session of valid_observations");
    change(&mut observations, &mut session);
    observations.sessions.insert(ID, session);
    check(&observations, &SETTINGS)
}

/// Checks that exactly these rules are violated, in the order of the violations' times. A failure prints the
/// violations with their details.
#[track_caller]
fn assert_violated(violations: &[Violation], rules: &[Rule], case: &str) {
    let violated: Vec<Rule> = violations.iter().map(|violation| violation.rule).collect();
    assert_eq!(violated, rules, "{case}: {violations:#?}");
}

#[test]
fn valid_observations_violate_no_rule() {
    assert_violated(&violations_after("once", |_, _| {}), &[], "an open session");
    let rejected = violations_after("once", |_, session| {
        session.attempts = vec![attempt(0, 1_005, AttemptOutcome::Rejected, Some(1_006))];
        session.answer = answer(1_010, "BUSY");
        session.left_at = None;
    });
    assert_violated(&rejected, &[], "a session whose only attempt was rejected");
}

#[test]
fn late_missing_and_duplicate_answers_are_reported() {
    let late = violations_after("low", |_, session| session.answer = answer(3_500, "BUSY"));
    assert_violated(&late, &[Rule::Answered], "an answer 0.6 s after its deadline");
    let missing = violations_after("low", |_, session| {
        session.answer = None;
        session.left_at = None;
        session.ended = closed(1_500);
    });
    assert_violated(&missing, &[Rule::Answered], "a connection that ended without an answer");
    let killed = violations_after("low", |observations, session| {
        session.answer = None;
        session.left_at = None;
        observations.processes[0].ended = exited(1_500, ExitReason::Killed);
    });
    assert_violated(&killed, &[], "a killed relay does not have to answer");
    let two_lines = violations_after("low", |_, session| session.lines_after_answer = 1);
    assert_violated(&two_lines, &[Rule::OneAnswer], "a line after the final answer");
}

#[test]
fn interrupted_and_late_ended_sessions_are_reported() {
    let cut = violations_after("low", |_, session| {
        session.left_at = None;
        session.ended = closed(2_000);
    });
    assert_violated(&cut, &[Rule::NotCutOff], "a connection that ended without MOVE");
    let moved = violations_after("low", |_, session| {
        session.left_at = None;
        session.move_announced = true;
        session.ended = closed(2_000);
    });
    assert_violated(&moved, &[], "a connection that ended after MOVE");
    let late = violations_after("low", |_, session| {
        session.left_at = None;
        session.move_announced = true;
        session.ended = closed(3_500);
        session.attempts[0].ended_at = Some(ms(2_000));
    });
    assert_violated(&late, &[Rule::EndAnnounced], "an end 1.5 s after that at the backend");
}

#[test]
fn forbidden_repeated_attempts_are_reported() {
    let after_second_attempt = |listener, first: Attempt, second_at| {
        violations_after(listener, |_, session| {
            session.attempts = vec![first, attempt(1, second_at, AttemptOutcome::Accepted, None)]
        })
    };
    let unknown = attempt(0, 1_005, AttemptOutcome::Unknown, Some(1_006));
    let rejected = attempt(0, 1_005, AttemptOutcome::Rejected, Some(1_006));
    let still_open = attempt(0, 1_005, AttemptOutcome::Unknown, Some(2_000));
    let violations = after_second_attempt("once", unknown.clone(), 1_007);
    assert_violated(&violations, &[Rule::NoDuplicate], "a request that may not be repeated");
    let violations = after_second_attempt("once", rejected, 1_007);
    assert_violated(&violations, &[], "a repetition after a rejection");
    let violations = after_second_attempt("low", unknown.clone(), 1_007);
    assert_violated(&violations, &[], "a request that may be repeated");
    let violations = after_second_attempt("referenced", unknown.clone(), 1_900);
    assert_violated(&violations, &[], "a request with an idempotency key within its window of 1 s");
    let violations = after_second_attempt("referenced", unknown, 2_200);
    assert_violated(&violations, &[Rule::NoDuplicate], "a request with an idempotency key after its window");
    let violations = after_second_attempt("low", still_open, 1_007);
    assert_violated(&violations, &[Rule::OneAttempt], "two attempts at the same time");
    let busy = violations_after("once", |_, session| {
        session.attempts = vec![attempt(0, 1_005, AttemptOutcome::Unknown, Some(1_006))];
        session.answer = answer(1_010, "BUSY");
    });
    assert_violated(&busy, &[Rule::TrueRejection], "BUSY after an attempt that may have run");
}

#[test]
fn attempts_after_drain_or_client_departure_are_reported() {
    let after_drain = |delivered: Option<u64>, attempted: u64| {
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
        session.answer = answer(attempted + 5, OPENED);
        session.attempts[0].started_at = ms(attempted);
        check(&observations, &SETTINGS)
    };
    assert_violated(&after_drain(Some(600), 800), &[], "an attempt within the drain grace of 250 ms");
    assert_violated(
        &after_drain(Some(600), 1_000),
        &[Rule::NoneToDraining],
        "an attempt after the drain grace",
    );
    assert_violated(&after_drain(None, 6_700), &[], "the change counts as delivered after 6 s");
    assert_violated(
        &after_drain(None, 7_000),
        &[Rule::NoneToDraining],
        "6 s and the drain grace have passed",
    );
    let gone = violations_after("low", |_, session| {
        session.answer = None;
        session.left_at = Some(ms(1_002));
        session.attempts[0].started_at = ms(1_200);
    });
    assert_violated(&gone, &[Rule::NoneForGoneClient], "an attempt 198 ms after its client had left");
}

#[test]
fn exceeded_warm_up_budget_is_reported() {
    let after_attempts = |count: u64| {
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
        check(&observations, &SETTINGS)
    };
    assert_violated(&after_attempts(5), &[], "5 further attempts at a backend that has just started");
    assert_violated(&after_attempts(40), &[Rule::WarmUpBudget], "40 further attempts at such a backend");
}

#[test]
fn failed_starts_and_exits_are_reported() {
    let after_exit = |reason| {
        violations_after("low", |observations, _| observations.processes[0].ended = exited(20_000, reason))
    };
    let killed = after_exit(ExitReason::KilledAtTimeLimit);
    assert_violated(&killed, &[Rule::StopInTime], "a process that was killed at its time limit");
    assert_violated(&after_exit(ExitReason::Crashed), &[Rule::NoCrash], "a crashed process");
    assert_violated(&after_exit(ExitReason::Exited), &[], "a process that exited on request");
    let never_ready = violations_after("low", |observations, _| observations.processes[0].ready_at = None);
    assert_violated(&never_ready, &[Rule::Ready], "a process that was never ready");
    let late_end = PartialRequest { relay: 0, since: ms(1_000), ended_at: Some(ms(4_200)) };
    let after_partial_request =
        violations_after("low", |observations, _| observations.partial_requests.push(late_end));
    assert_violated(
        &after_partial_request,
        &[Rule::PartialRequestEnded],
        "a connection that ended after 3.2 s",
    );
}
