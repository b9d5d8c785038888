//! Judges a run by its ledger alone: the rules that hold whatever goes wrong.
use crate::ledger::{At, Attempt, Book, End, Ending, Life, Outcome, Session};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// What the settings promise, as far as the rules need it.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub drain_grace: Duration,
    pub window: Duration,
    pub cold: Duration,
    pub cold_from: f64,
    pub fall: Duration,
    pub fall_multiple: f64,
    /// Sessions that fill a backend.
    pub capacity: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was taken has no final answer in its time.
    Lost,
    /// An open session was cut off without `MOVE` while its backend still served it.
    Cut,
    /// Its backend ended it, and its client heard that too late.
    ToldLate,
    /// Something came after the final answer.
    AfterAnswer,
    /// Something that may have run was sent once more where it must not.
    Duplicate,
    /// Two dials of one session were out at once.
    TwoDials,
    /// Refused with a promise of no effect, though it may have run.
    FalseRefusal,
    /// Sent to a backend that drains, after the grace.
    Drain,
    /// Begun after its client had gone.
    ClientGone,
    /// More than a cold backend is allowed in one window.
    ColdBudget,
    /// A client that stopped half way was not ended in time.
    HalfWay,
    /// Told to stop, and still there as it is killed.
    SlowStop,
    Crash,
    NotReady,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub at: At,
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s {:?}: {}", self.at.as_secs_f64(), self.rule, self.what)
    }
}

/// Beyond its time an answer is late for half a second, and lost after that.
const LATE: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has gone.
const GONE: Duration = Duration::from_millis(100);
/// A session whose backend ended it is ended or moved within this.
const TELL: Duration = Duration::from_secs(1);
/// Time limits are this much longer on sockets.
const SOCKETS: Duration = Duration::from_millis(50);
/// A change is told at the latest so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// New connections come for so long after a relay was told to stop.
const FRONT: Duration = Duration::from_millis(400);
/// What this harness' own threads may be late.
const SLACK: Duration = Duration::from_millis(30);
/// A backend sees the end of a connection so late where it writes bit by bit.
const SEEN: Duration = Duration::from_millis(160);
/// Readiness of a started process.
const READY: Duration = Duration::from_secs(10);

/// All violations of a run.
pub fn judge(book: &Book, terms: &Terms) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, session) in &book.sessions {
        // A way that holds back a line lets a later one be heard of first.
        let mut session = session.clone();
        session.attempts.sort_by_key(|attempt| attempt.begun);
        let session = &session;
        let mut blame = |rule, at, what: String| {
            found.push(Violation {
                rule,
                at,
                what: format!("{id:x} at relay {} ({}): {what}", session.relay, session.listener),
            });
        };
        answered(book, session, &mut blame);
        ran_once(book, session, terms, &mut blame);
        sent_rightly(book, session, terms, &mut blame);
    }
    lives(book, &mut found);
    half_way(book, &mut found);
    cold_budget(book, terms, &mut found);
    found.sort_by_key(|violation| violation.at);
    found
}

/// Violations by rule.
pub fn counts(found: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    found.iter().for_each(|violation| *counts.entry(violation.rule).or_insert(0) += 1);
    counts
}

type Blame<'a> = dyn FnMut(Rule, At, String) + 'a;

/// The life of a relay's process in which a session came.
fn life_of<'a>(book: &'a Book, session: &Session) -> Option<&'a Life> {
    book.lives.iter().rev().find(|life| life.relay == session.relay && life.started <= session.asked)
}

/// Whether a relay that ended, or stood still by the system's doing till its time was up, or a machine that
/// broke the connection, frees it of its answer.
fn excused(book: &Book, session: &Session) -> bool {
    let until = session.asked + session.wait + LATE;
    let killed = life_of(book, session).is_none_or(|life| match life.ended {
        Some((at, End::Killed | End::Crashed)) => at <= until,
        // Who came after the front had stopped is no client of it any more.
        Some((_, End::Left | End::TooLate)) => {
            life.told_to_stop.is_some_and(|told| session.asked > told + FRONT)
        }
        None => false,
    });
    let broken = |window: &(usize, At, At)| {
        window.0 == session.relay
            && session.ended.is_some_and(|ended| window.1 <= ended.0 && ended.0 <= window.2 + LATE)
    };
    // Nothing could be said from some moment on till it was lost whatever comes.
    let held_till_lost = |window: &(usize, At, At), by: At| {
        window.0 == session.relay && window.1 <= by && until <= window.2 + SLACK
    };
    let paused = book.paused.iter().any(|window| held_till_lost(window, until));
    // It lay in the accept queue all the time.
    let queued = book.unaccepting.iter().any(|window| held_till_lost(window, session.asked + SLACK));
    killed || paused || queued || book.clients_broken.iter().any(broken)
}

fn answered(book: &Book, session: &Session, blame: &mut Blame<'_>) {
    let due = session.asked + session.wait + LATE + SLACK;
    if session.after_answer > 0 {
        blame(Rule::AfterAnswer, session.asked, format!("{} lines after its answer", session.after_answer));
    }
    match &session.answer {
        Some((at, line)) if *at > due && !excused(book, session) => {
            blame(
                Rule::Lost,
                *at,
                format!("'{line}' {:?} after its time", *at - session.asked - session.wait),
            );
        }
        Some((_, line)) if line.starts_with("UP") => passed(book, session, blame),
        Some(_) => {}
        None if session.left.is_some_and(|left| left <= due) || excused(book, session) => {}
        None => {
            let ended = session.ended.map(|(at, how)| format!("{how:?} after {:?}", at - session.asked));
            blame(
                Rule::Lost,
                session.asked,
                format!("no answer; {} dials; {ended:?}", session.attempts.len()),
            );
        }
    }
}

/// An open session goes on till one side ends it.
fn passed(book: &Book, session: &Session, blame: &mut Blame<'_>) {
    let killed = |at: At| {
        book.lives.iter().any(|life| {
            let ended = matches!(life.ended, Some((end, End::Killed | End::Crashed)) if end <= at + SLACK && end + LATE >= at);
            life.relay == session.relay && ended
        })
    };
    let Some(backend_ended) = session.attempts.last().map(|attempt| attempt.ended) else { return };
    match session.ended {
        Some((at, how)) if !session.moved && !killed(at) && !excused(book, session) => {
            // Where its backend ended it first, the end alone says so.
            if how == Ending::Silent {
                blame(Rule::ToldLate, at, "nothing came back for 7 s".to_string());
            } else if backend_ended.is_none_or(|ended| ended > at) {
                blame(Rule::Cut, at, format!("{how:?} without MOVE while its backend served it"));
            }
        }
        Some((at, _)) => {
            if let Some(ended) = backend_ended.filter(|ended| at > *ended + TELL + SLACK) {
                blame(Rule::ToldLate, at, format!("{:?} after its backend ended it", at - ended));
            }
        }
        None => {}
    }
}

/// Whether an attempt may have run.
fn may_have_run(attempt: &Attempt) -> bool {
    attempt.whole.is_some() && attempt.outcome != Some(Outcome::Busy)
}

fn ran_once(book: &Book, session: &Session, terms: &Terms, blame: &mut Blame<'_>) {
    for (number, attempt) in session.attempts.iter().enumerate().skip(1) {
        let before = &session.attempts[..number];
        let first_run = before.iter().find(|earlier| may_have_run(earlier));
        let again = match (session.listener, first_run) {
            ("once", Some(_)) => true,
            ("referenced", Some(first)) => attempt.begun > first.begun + terms.window + SOCKETS + SLACK,
            _ => false,
        };
        if again {
            blame(Rule::Duplicate, attempt.begun, format!("dial {number} after one that may have run"));
        }
        let previous = &before[number - 1];
        // A way that held back the line holds back its end as well: the backend can't tell when it was given up.
        let held_back = book
            .stalled
            .iter()
            .any(|way| way.0 == previous.backend && way.1 <= attempt.begun && previous.begun <= way.2);
        if !held_back && previous.ended.is_none_or(|ended| ended > attempt.begun + SEEN) {
            blame(Rule::TwoDials, attempt.begun, format!("dial {number} while the one before was out"));
        }
    }
    let refused = session.answer.as_ref().filter(|(_, line)| line.starts_with("BUSY"));
    if let Some((at, _)) =
        refused.filter(|_| session.listener == "once" && session.attempts.iter().any(may_have_run))
    {
        blame(Rule::FalseRefusal, *at, "BUSY though it may have run".to_string());
    }
}

/// When a relay counts as told that a backend drains, at a moment; none where it does not drain by then.
fn told_to_leave(book: &Book, relay: usize, backend: usize, now: At) -> Option<At> {
    let change = book.changes.iter().rev().find(|change| change.backend == backend && change.at <= now)?;
    if !change.draining {
        return None;
    }
    let heard = book
        .told
        .iter()
        .find(|told| told.relay == relay && told.backend == backend && told.draining && told.at >= change.at);
    let dark = book.dark.iter().filter(|dark| dark.0 <= change.at + TOLD && dark.1 > change.at);
    let reachable = dark.map(|dark| dark.1).max().unwrap_or(change.at);
    let latest = reachable.max(change.at) + TOLD;
    Some(heard.map_or(latest, |told| told.at.min(latest)))
}

fn sent_rightly(book: &Book, session: &Session, terms: &Terms, blame: &mut Blame<'_>) {
    for (number, attempt) in session.attempts.iter().enumerate() {
        if let Some(told) = told_to_leave(book, session.relay, attempt.backend, attempt.begun) {
            if attempt.begun > told + terms.drain_grace + SOCKETS + SLACK {
                let late = attempt.begun - told;
                blame(
                    Rule::Drain,
                    attempt.begun,
                    format!("dial {number} to backend {} {late:?} after it was told", attempt.backend),
                );
            }
        }
        if let Some(left) = session.left.filter(|left| attempt.begun > *left + GONE + SLACK) {
            let late = attempt.begun - left;
            blame(
                Rule::ClientGone,
                attempt.begun,
                format!("dial {number} {late:?} after its client had gone"),
            );
        }
    }
}

fn lives(book: &Book, found: &mut Vec<Violation>) {
    for life in &book.lives {
        let mut blame = |rule, at, what: &str| {
            found.push(Violation { rule, at, what: format!("relay {}: {what}", life.relay) });
        };
        match life.ended {
            Some((at, End::TooLate)) => blame(Rule::SlowStop, at, "still there as its time was up"),
            Some((at, End::Crashed)) => blame(Rule::Crash, at, "it ended unasked"),
            _ => {}
        }
        let over = life.ended.is_some_and(|(at, _)| at < life.started + READY);
        if life.ready.is_none_or(|at| at > life.started + READY) && !over {
            blame(Rule::NotReady, life.started, "not ready within 10 s");
        }
    }
}

/// Clients that stop in the middle of their line get their error, or the end, within 3 s.
fn half_way(book: &Book, found: &mut Vec<Violation>) {
    const OWED: Duration = Duration::from_secs(3);
    for &(relay, since, ended) in &book.half_way {
        let till = since + OWED + SLACK;
        let paused = book.paused.iter().any(|pause| pause.0 == relay && pause.1 <= till && pause.2 >= since);
        if !paused && ended.is_none_or(|at| at > till) {
            let what = format!("relay {relay}: half a line, and no end; {ended:?}");
            found.push(Violation { rule: Rule::HalfWay, at: since, what });
        }
    }
}

/// What a cold backend takes in a window of the settings' length, by the operators' bound.
fn cold_budget(book: &Book, terms: &Terms, found: &mut Vec<Violation>) {
    for change in book.changes.iter().filter(|change| change.starts) {
        let warm = change.at + terms.cold;
        let attempts = book.sessions.values().flat_map(|session| &session.attempts);
        let there = attempts.filter(|attempt| attempt.backend == change.backend);
        let mut begun: Vec<At> =
            there.map(|attempt| attempt.begun).filter(|at| *at >= change.at && *at < warm).collect();
        begun.sort();
        let over = begun.iter().enumerate().find_map(|(last, &at)| {
            let age = (at - change.at).as_secs_f64() / terms.cold.as_secs_f64();
            let warmth = terms.cold_from + (1.0 - terms.cold_from) * age;
            let rate = terms.fall_multiple * warmth * terms.capacity / terms.cold.as_secs_f64();
            let budget = rate * terms.fall.as_secs_f64();
            let bound = if budget < 30.0 {
                budget + 3.0 * budget.sqrt() + 3.0
            } else {
                budget + 2.0 * budget.sqrt() + 2.0
            };
            let came = begun[..=last].iter().filter(|then| **then + terms.fall > at).count();
            (came as f64 > bound).then_some((at, came, bound))
        });
        if let Some((at, came, bound)) = over {
            let what =
                format!("{came} dials at cold backend {} where {bound:.1} are allowed", change.backend);
            found.push(Violation { rule: Rule::ColdBudget, at, what });
        }
    }
}
