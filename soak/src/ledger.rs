//! What happened, as seen from outside the relays: each session by its id, at its client and at the backends,
//! and each relay's lives, with times by one monotonic clock.
use crate::locked;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time since the run began.
pub type At = Duration;

/// How a client's connection ended, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The relay ended it in order.
    Closed,
    Reset,
    /// Nothing came in a time far beyond the deadline.
    Silent,
}

/// What a backend did with a first line that came whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered `UP`: it ran.
    Up,
    /// Answered `BUSY`: it never ran.
    Busy,
    /// It may have run: an error, a reset, half an answer, or no answer at all.
    Unknown,
}

/// One dial of a session, as its backend saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub backend: usize,
    /// When the first byte came, and the last one of the line.
    pub begun: At,
    pub whole: Option<At>,
    pub outcome: Option<Outcome>,
    /// When the backend saw the end of the connection, or ended it itself.
    pub ended: Option<At>,
}

/// One client's request, from its line to its end.
#[derive(Clone, Debug)]
pub struct Session {
    pub relay: usize,
    pub listener: &'static str,
    /// When its line was written whole.
    pub asked: At,
    pub wait: Duration,
    /// The first line that came back.
    pub answer: Option<(At, String)>,
    /// Lines beyond the one final answer that is no `UP`.
    pub after_answer: u32,
    /// When the client closed or cancelled, by its own wish.
    pub left: Option<At>,
    /// When the relay ended the connection, how, and whether it said `MOVE` before.
    pub ended: Option<(At, Ending)>,
    pub moved: bool,
    pub attempts: Vec<Attempt>,
}

/// Why a relay's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Killed by the harness without a word before.
    Killed,
    /// Told to stop, and left by itself.
    Left,
    /// Told to stop, and killed as its time was up.
    TooLate,
    /// It ended unasked.
    Crashed,
}

/// One process of a relay.
#[derive(Clone, Debug)]
pub struct Life {
    pub relay: usize,
    pub started: At,
    pub ready: Option<At>,
    pub told_to_stop: Option<At>,
    pub ended: Option<(At, End)>,
}

/// A change of the list that was told to a relay.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub relay: usize,
    pub backend: usize,
    pub draining: bool,
    pub at: At,
}

/// A change of the list as discovery had it, whoever was told.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub backend: usize,
    pub draining: bool,
    /// The backend started at that moment.
    pub starts: bool,
    pub at: At,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Book {
    pub sessions: BTreeMap<u64, Session>,
    pub lives: Vec<Life>,
    pub told: Vec<Told>,
    pub changes: Vec<Change>,
    /// When discovery could not be reached, or answered late.
    pub dark: Vec<(At, At)>,
    /// When a relay's connections with clients broke by a fault of the machine.
    pub clients_broken: Vec<(usize, At, At)>,
    /// Clients that stopped half way, by relay: since when, and when their connection ended.
    pub half_way: Vec<(usize, At, Option<At>)>,
    /// When the way to a backend held back what came: by backend.
    pub stalled: Vec<(usize, At, At)>,
    /// When a relay could accept nothing at all, by a fault of the machine.
    pub unaccepting: Vec<(usize, At, At)>,
    /// When a relay was stopped by the system, and could do nothing.
    pub paused: Vec<(usize, At, At)>,
    /// First lines at backends whose session no client began.
    pub strangers: u32,
}

/// The shared ledger.
#[derive(Clone)]
pub struct Ledger {
    start: Instant,
    book: Arc<Mutex<Book>>,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger { start: Instant::now(), book: Arc::default() }
    }
}

impl Ledger {
    pub fn now(&self) -> At {
        self.start.elapsed()
    }

    /// Changes what is written, under its lock.
    pub fn write<T>(&self, change: impl FnOnce(&mut Book) -> T) -> T {
        change(&mut locked(&self.book))
    }

    /// Changes one session, if a client began it.
    pub fn session(&self, id: u64, change: impl FnOnce(&mut Session)) {
        self.write(|book| match book.sessions.get_mut(&id) {
            Some(session) => change(session),
            None => book.strangers += 1,
        });
    }

    /// Notes a dial of a session, and returns its number there.
    pub fn begin_attempt(&self, id: u64, attempt: Attempt) -> usize {
        let mut number = 0;
        self.session(id, |session| {
            number = session.attempts.len();
            session.attempts.push(attempt);
        });
        number
    }

    /// Changes one dial of a session.
    pub fn attempt(&self, id: u64, number: usize, change: impl FnOnce(&mut Attempt)) {
        self.session(id, |session| {
            if let Some(attempt) = session.attempts.get_mut(number) {
                change(attempt);
            }
        });
    }

    /// A copy of all that was seen so far.
    pub fn book(&self) -> Book {
        locked(&self.book).clone()
    }
}
