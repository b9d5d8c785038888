//! All attempts of one client at all relays, in chronological order.
use super::attempt::{Attempt, AttemptOutcome, End, Origin};
use super::error::LogsError;
use super::logs::{Logs, Reader};
use super::rows::dial_end_name;
use serde::Serialize;
use std::path::Path;

/// One attempt in the output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Traced {
    /// The id in the `OPEN` line of this attempt.
    pub id: u64,
    /// The client's idempotency key, which is the same in all its attempts.
    pub key: u64,
    /// Group of the session, 0 if it has none. Sessions of one group share work on a backend.
    pub group: u64,
    /// Name of the relay, taken from the file name of its log.
    pub relay: String,
    /// Time of the opening, in seconds of the day.
    pub opened: f64,
    /// Whether the client returned after an interruption or a migration.
    pub returned: bool,
    /// Whether the session was adopted from another process of the relay, which had it open.
    #[serde(rename = "taken_over")]
    pub adopted: bool,
    /// Its dials in chronological order.
    pub dials: Vec<TracedDial>,
    /// Time of the placement, in seconds of the day.
    pub placed: Option<f64>,
    /// Time of the final answer or of the end of the session, in seconds of the day.
    #[serde(rename = "over")]
    pub ended_at: f64,
    /// Description of its outcome.
    pub end: String,
}

/// One dial in the output.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TracedDial {
    /// Time of the dial, in seconds of the day.
    pub at: f64,
    /// Address of the backend.
    pub backend: String,
    /// How the dial ended; `None` if the session was established or the dial was in flight.
    pub end: Option<String>,
}

/// Finds all attempts of the client that made the attempt with this id.
pub fn follow(folder: &Path, id: u64) -> Result<Vec<Traced>, LogsError> {
    let logs = Logs::find(folder)?;
    let mut find_key = FindKey { id, key: None };
    let read = logs.read(&mut find_key)?;
    super::check_has_events(folder, &logs, &read)?;
    let Some(key) = find_key.key else {
        return Err(LogsError::UnknownSession { folder: folder.to_path_buf(), id });
    };
    let mut collect = CollectAttempts { id, key, found: Vec::new() };
    logs.read(&mut collect)?;
    collect.found.sort_by(|a, b| a.opened.total_cmp(&b.opened));
    Ok(collect.found)
}

/// First pass: finds the key of the client.
struct FindKey {
    id: u64,
    key: Option<u64>,
}

impl Reader for FindKey {
    fn attempt(&mut self, attempt: Attempt) {
        if attempt.opening.id == self.id && attempt.origin != Origin::Missing {
            self.key = Some(attempt.opening.key);
        }
    }
}

/// Second pass: collects all attempts with this key, or only the one with this id if the key is 0 (none).
struct CollectAttempts {
    id: u64,
    key: u64,
    found: Vec<Traced>,
}

impl Reader for CollectAttempts {
    fn attempt(&mut self, attempt: Attempt) {
        let opening = &attempt.opening;
        let is_same_client = opening.id == self.id || (self.key != 0 && opening.key == self.key);
        if is_same_client && attempt.origin != Origin::Missing {
            self.found.push(traced(&attempt));
        }
    }
}

fn traced(attempt: &Attempt) -> Traced {
    let dials = attempt.dials.iter().map(|dial| TracedDial {
        at: dial.at.seconds(),
        backend: dial.backend.clone(),
        end: dial.end.map(|end| dial_end_name(end).to_string()),
    });
    Traced {
        id: attempt.opening.id,
        key: attempt.opening.key,
        group: attempt.opening.group,
        relay: attempt.relay.clone(),
        opened: attempt.opened.seconds(),
        returned: attempt.opening.returned,
        adopted: matches!(attempt.origin, Origin::Process(_)),
        dials: dials.collect(),
        placed: attempt.placed.map(|placed| placed.seconds()),
        ended_at: attempt.ended_at.seconds(),
        end: description(attempt).to_string(),
    }
}

fn description(attempt: &Attempt) -> &'static str {
    match (&attempt.outcome, attempt.end) {
        (_, Some(end)) => end_description(end),
        (AttemptOutcome::Placed, None) => "placed",
        (AttemptOutcome::ServedAtOnce, _) => "served at once",
        (AttemptOutcome::Rejected(_), _) => "refused",
        (AttemptOutcome::Failed(_), _) => "failed",
        (AttemptOutcome::NotProtocol, _) => "not of the protocol",
        (AttemptOutcome::ClientLeft, _) => "the client left before it was answered",
        (AttemptOutcome::TooLate, _) => "closed without an answer",
        (AttemptOutcome::RelayEnded, _) => "the relay's process ended first",
        (AttemptOutcome::StillWaiting, _) => "still waiting as the day ends",
        (AttemptOutcome::Unaccounted(gap), _) => gap.description(),
    }
}

fn end_description(end: End) -> &'static str {
    match end {
        End::Client => "ended by the client",
        End::Complete => "done (BYE)",
        End::MigratedByBackend => "sent away by the backend (MOVE)",
        End::Reset => "reset by the backend",
        End::Other => "ended otherwise",
        End::Migrated => "moved by the relay",
        End::RelayStop => "moved as the relay stopped",
        End::HandedOver => "passed on to another process",
        End::RelayDied => "the relay's process died",
        End::StillOpen => "still open as the day ends",
        End::Unaccounted(gap) => gap.description(),
    }
}
