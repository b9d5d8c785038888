//! The oracle itself: a sound ledger breaks no rule, and each rule is found broken where its fault is planted.
use hallrelay_soak::ledger::{Attempt, Book, Change, End, Ending, Life, Outcome, Session, Told};
use hallrelay_soak::oracle::{judge, Rule};
use hallrelay_soak::run::TERMS;
use std::time::Duration;

const ID: u64 = 7;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn attempt(backend: usize, begun: u64, outcome: Outcome, ended: Option<u64>) -> Attempt {
    let whole = Some(ms(begun + 1));
    Attempt { backend, begun: ms(begun), whole, outcome: Some(outcome), ended: ended.map(ms) }
}

/// One relay, and one session that is up from 1.01 s till its client leaves at 3 s.
fn sound(listener: &'static str) -> Book {
    let mut book = Book::default();
    book.lives.push(Life { relay: 0, started: ms(0), ready: Some(ms(200)), told_to_stop: None, ended: None });
    let session = Session {
        relay: 0,
        listener,
        asked: ms(1_000),
        wait: ms(1_900),
        answer: Some((ms(1_010), "UP r1".to_string())),
        after_answer: 0,
        left: Some(ms(3_000)),
        ended: None,
        moved: false,
        attempts: vec![attempt(0, 1_005, Outcome::Up, None)],
    };
    book.sessions.insert(ID, session);
    book
}

/// The rules that are found broken once a fault is planted in a sound ledger.
fn planted(listener: &'static str, plant: impl FnOnce(&mut Book, &mut Session)) -> Vec<Rule> {
    let mut book = sound(listener);
    let mut session = book.sessions.remove(&ID).expect("it is there");
    plant(&mut book, &mut session);
    book.sessions.insert(ID, session);
    judge(&book, &TERMS).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_sound_ledger_breaks_nothing() {
    assert_eq!(planted("once", |_, _| {}), []);
    let refused_after_busy = planted("once", |_, session| {
        session.attempts = vec![attempt(0, 1_005, Outcome::Busy, Some(1_006))];
        session.answer = Some((ms(1_010), "BUSY".to_string()));
        session.left = None;
    });
    assert_eq!(refused_after_busy, []);
}

#[test]
fn answers_that_are_late_missing_or_two_are_found() {
    let late = planted("low", |_, session| session.answer = Some((ms(3_500), "BUSY".to_string())));
    assert_eq!(late, [Rule::Lost]);
    let missing = planted("low", |_, session| {
        (session.answer, session.left) = (None, None);
        session.ended = Some((ms(1_500), Ending::Closed));
    });
    assert_eq!(missing, [Rule::Lost]);
    let killed = planted("low", |book, session| {
        (session.answer, session.left) = (None, None);
        book.lives[0].ended = Some((ms(1_500), End::Killed));
    });
    assert_eq!(killed, [], "a relay that was killed owes nothing");
    let two = planted("low", |_, session| session.after_answer = 1);
    assert_eq!(two, [Rule::AfterAnswer]);
}

#[test]
fn sessions_that_are_cut_off_or_told_late_are_found() {
    let cut = planted("low", |_, session| {
        session.left = None;
        session.ended = Some((ms(2_000), Ending::Closed));
    });
    assert_eq!(cut, [Rule::Cut]);
    let moved = planted("low", |_, session| {
        (session.left, session.moved) = (None, true);
        session.ended = Some((ms(2_000), Ending::Closed));
    });
    assert_eq!(moved, []);
    let late = planted("low", |_, session| {
        (session.left, session.moved) = (None, true);
        session.ended = Some((ms(3_500), Ending::Closed));
        session.attempts[0].ended = Some(ms(2_000));
    });
    assert_eq!(late, [Rule::ToldLate]);
}

#[test]
fn what_runs_twice_is_found() {
    let again = |listener, first: Attempt, begun| {
        planted(listener, |_, session| session.attempts = vec![first, attempt(1, begun, Outcome::Up, None)])
    };
    let unknown = attempt(0, 1_005, Outcome::Unknown, Some(1_006));
    assert_eq!(again("once", unknown.clone(), 1_007), [Rule::Duplicate]);
    assert_eq!(again("once", attempt(0, 1_005, Outcome::Busy, Some(1_006)), 1_007), []);
    assert_eq!(again("low", unknown.clone(), 1_007), []);
    assert_eq!(again("referenced", unknown.clone(), 1_900), []);
    assert_eq!(again("referenced", unknown, 2_200), [Rule::Duplicate]);
    assert_eq!(again("low", attempt(0, 1_005, Outcome::Unknown, Some(2_000)), 1_007), [Rule::TwoDials]);
    let refused = planted("once", |_, session| {
        session.attempts = vec![attempt(0, 1_005, Outcome::Unknown, Some(1_006))];
        session.answer = Some((ms(1_010), "BUSY".to_string()));
    });
    assert_eq!(refused, [Rule::FalseRefusal]);
}

#[test]
fn what_goes_where_it_may_not_is_found() {
    let drains = |told: Option<u64>, begun: u64| {
        let mut book = sound("low");
        book.changes.push(Change { backend: 0, draining: true, starts: false, at: ms(500) });
        book.told.extend(told.map(|at| Told { relay: 0, backend: 0, draining: true, at: ms(at) }));
        let session = book.sessions.get_mut(&ID).expect("it is there");
        (session.asked, session.left) = (ms(begun - 5), None);
        session.answer = Some((ms(begun + 5), "UP r1".to_string()));
        session.attempts[0].begun = ms(begun);
        judge(&book, &TERMS).into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    assert_eq!(drains(Some(600), 800), []);
    assert_eq!(drains(Some(600), 1_000), [Rule::Drain]);
    assert_eq!(drains(None, 6_700), [], "it counts as told 6 s after the change");
    assert_eq!(drains(None, 7_000), [Rule::Drain]);
    let gone = planted("low", |_, session| {
        (session.answer, session.left) = (None, Some(ms(1_002)));
        session.attempts[0].begun = ms(1_200);
    });
    assert_eq!(gone, [Rule::ClientGone]);
}

#[test]
fn a_cold_backend_that_gets_too_much_is_found() {
    let dials = |count: u64| {
        let mut book = sound("low");
        book.changes.push(Change { backend: 0, draining: false, starts: true, at: ms(900) });
        let one = book.sessions[&ID].clone();
        for number in 0..count {
            book.sessions.insert(100 + number, one.clone());
        }
        judge(&book, &TERMS).into_iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    assert_eq!(dials(5), []);
    assert_eq!(dials(40), [Rule::ColdBudget]);
}

#[test]
fn processes_that_end_or_start_badly_are_found() {
    let ended = |end| planted("low", |book, _| book.lives[0].ended = Some((ms(20_000), end)));
    assert_eq!(ended(End::TooLate), [Rule::SlowStop]);
    assert_eq!(ended(End::Crashed), [Rule::Crash]);
    assert_eq!(ended(End::Left), []);
    assert_eq!(planted("low", |book, _| book.lives[0].ready = None), [Rule::NotReady]);
    let half = planted("low", |book, _| book.half_way.push((0, ms(1_000), Some(ms(4_200)))));
    assert_eq!(half, [Rule::HalfWay]);
}
