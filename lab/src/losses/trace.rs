//! One client's attempts at all relays, in the order in which it made them.
use super::attempt::{Attempt, End, Fate, Origin};
use super::logs::{Logs, Reader};
use hallrelay_balancer::types::DialEnd;
use serde::Serialize;
use std::path::Path;

/// One attempt, as it is printed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Traced {
    pub id: u64,
    /// The client's own mark, the same in all its attempts.
    pub key: u64,
    pub group: u64,
    pub relay: String,
    /// Seconds of the day.
    pub opened: f64,
    pub returned: bool,
    /// It came from another process of the relay, which had it open.
    pub taken_over: bool,
    pub dials: Vec<TracedDial>,
    /// Seconds of the day.
    pub placed: Option<f64>,
    /// Seconds of the day at which it was answered, or at which the session ended.
    pub over: f64,
    /// What became of it, in words.
    pub end: String,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TracedDial {
    /// Seconds of the day.
    pub at: f64,
    pub backend: String,
    /// How it ended; none where it came up, or was still out.
    pub end: Option<String>,
}

/// All attempts of the client that made the attempt of this id.
pub fn follow(folder: &Path, id: u64) -> Result<Vec<Traced>, String> {
    let logs = Logs::find(folder)?;
    let mut search = Search { id, key: None };
    let read = logs.read(&mut search)?;
    super::has_events(folder, &logs, &read)?;
    let Some(key) = search.key else {
        return Err(format!("{}: no relay logged an OPEN with the id {id}", folder.display()));
    };
    let mut collect = Collect { id, key, found: Vec::new() };
    logs.read(&mut collect)?;
    collect.found.sort_by(|a, b| a.opened.total_cmp(&b.opened));
    Ok(collect.found)
}

/// The first pass: the key of the client.
struct Search {
    id: u64,
    key: Option<u64>,
}

impl Reader for Search {
    fn attempt(&mut self, attempt: Attempt) {
        if attempt.opening.id == self.id && attempt.origin != Origin::Missing {
            self.key = Some(attempt.opening.key);
        }
    }
}

/// The second pass: all that bears this key. A key of 0 is none, and tells nothing of other attempts.
struct Collect {
    id: u64,
    key: u64,
    found: Vec<Traced>,
}

impl Reader for Collect {
    fn attempt(&mut self, attempt: Attempt) {
        let opening = &attempt.opening;
        let is_theirs = opening.id == self.id || (self.key != 0 && opening.key == self.key);
        if is_theirs && attempt.origin != Origin::Missing {
            self.found.push(traced(&attempt));
        }
    }
}

fn traced(attempt: &Attempt) -> Traced {
    let dials = attempt.dials.iter().map(|dial| TracedDial {
        at: dial.at.seconds(),
        backend: dial.backend.clone(),
        end: dial.end.map(|(_, end)| dial_end_word(end).to_string()),
    });
    Traced {
        id: attempt.opening.id,
        key: attempt.opening.key,
        group: attempt.opening.group,
        relay: attempt.relay.clone(),
        opened: attempt.opened.seconds(),
        returned: attempt.opening.returned,
        taken_over: matches!(attempt.origin, Origin::Process(_)),
        dials: dials.collect(),
        placed: attempt.placed.map(|placed| placed.seconds()),
        over: attempt.over.seconds(),
        end: words(attempt).to_string(),
    }
}

fn dial_end_word(end: DialEnd) -> &'static str {
    match end {
        DialEnd::Ok => "ok",
        DialEnd::Error => "error",
        DialEnd::Full => "full",
        DialEnd::Timeout => "timeout",
        DialEnd::Unconnected => "unconnected",
        DialEnd::Reset => "reset",
        DialEnd::Cancelled => "recalled",
        DialEnd::NotSent => "moot",
    }
}

fn words(attempt: &Attempt) -> &'static str {
    match (&attempt.fate, attempt.end) {
        (_, Some(end)) => end_words(end),
        (Fate::Placed, None) => "placed",
        (Fate::ServedAtOnce, _) => "served at once",
        (Fate::Refused(_), _) => "refused",
        (Fate::Failed(_), _) => "failed",
        (Fate::NotProtocol, _) => "not of the protocol",
        (Fate::ClientLeft, _) => "the client left before it was answered",
        (Fate::TooLate, _) => "closed without an answer",
        (Fate::RelayEnded, _) => "the relay's process ended first",
        (Fate::StillWaiting, _) => "still waiting as the day ends",
        (Fate::Unaccounted(gap), _) => gap.words(),
    }
}

fn end_words(end: End) -> &'static str {
    match end {
        End::Client => "ended by the client",
        End::Done => "done (BYE)",
        End::SentAway => "sent away by the backend (MOVE)",
        End::Reset => "reset by the backend",
        End::Otherwise => "ended otherwise",
        End::Moved => "moved by the relay",
        End::RelayStop => "moved as the relay stopped",
        End::PassedOn => "passed on to another process",
        End::RelayDied => "the relay's process died",
        End::StillOpen => "still open as the day ends",
        End::Unaccounted(gap) => gap.words(),
    }
}
