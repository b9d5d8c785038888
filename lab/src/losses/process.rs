//! Follows the sessions in the log of one relay, through all processes of that relay. An attempt is placed
//! when its session is established on a backend; from then on it is an open session until its end.
use super::attempt::{Attempt, AttemptOutcome, Dial, End, Gap, LastDial, Moment, Origin};
use super::parse::{Entry, Opening};
use hallrelay_balancer::types::{DialEnd, Micros, SessionId};
use std::collections::{BTreeMap, HashSet};

/// Relays log a timer or a health check every second or two. If the last line of a log is older than this at
/// the end of the day, the log is incomplete and the outcome of pending attempts is unknown.
const MAX_SILENCE: Micros = 5_000_000;

/// The sessions of one relay.
pub struct RelayLog {
    name: String,
    /// Pending attempts and open sessions.
    active: BTreeMap<SessionId, Attempt>,
    /// Sessions that have ended while their clients are still connected. Further log entries of them are
    /// ignored.
    closing: HashSet<SessionId>,
    /// Whether the relay migrates its open sessions because it drains, stops or is replaced.
    migrates_sessions: bool,
    /// Highest connection number of this process. Each process numbers its connections in ascending order, so
    /// a new connection without a higher number belongs to the next process.
    newest_connection_id: SessionId,
    /// When the last entry was logged.
    last: Moment,
    /// Number of processes found in the log.
    pub processes: u64,
    /// Whether an entry of the current process was found; the process is counted at its first entry.
    running: bool,
    /// Attempts whose end is known and that were not returned by `take_done` yet.
    done: Vec<Attempt>,
}

impl RelayLog {
    /// A relay whose log has not been read yet.
    pub fn new(name: &str) -> RelayLog {
        RelayLog {
            name: name.to_string(),
            active: BTreeMap::new(),
            closing: HashSet::new(),
            migrates_sessions: false,
            newest_connection_id: 0,
            last: Moment::default(),
            done: Vec::new(),
            processes: 0,
            running: false,
        }
    }

    /// A process starts. Pending attempts and open sessions of its predecessor ended with the predecessor.
    pub fn process_started(&mut self) {
        self.process_ended();
        self.closing.clear();
        (self.migrates_sessions, self.newest_connection_id) = (false, 0);
    }

    /// Handles the next entry of the log.
    pub fn entry(&mut self, at: Moment, entry: &Entry) {
        if let Entry::Serving = entry {
            self.process_started();
        }
        let newest = self.newest_connection_id;
        if matches!(entry, Entry::ClientConnected { connection_id } if *connection_id <= newest) {
            self.process_started();
        }
        if !matches!(entry, Entry::Other | Entry::Dropped(_)) && !self.running {
            self.running = true;
            self.processes += 1;
        }
        self.last = at;
        match entry {
            Entry::ClientConnected { connection_id } => self.newest_connection_id = *connection_id,
            Entry::SessionRequested { session_id, opening } => {
                self.begin(at, *session_id, opening, Origin::Client)
            }
            Entry::SessionAdopted { session_id, opening, backend } => {
                self.begin(at, *session_id, opening, Origin::Process(backend.clone()));
            }
            Entry::Dial { session_id, addr } => self.dialled(at, *session_id, addr.to_string()),
            Entry::DialEnded { session_id, dial, end } => self.dial_ended(at, *session_id, *dial, *end),
            Entry::StartProxying { session_id } => self.placed(at, *session_id),
            Entry::SessionEnded { session_id, end } => self.backend_ended(at, *session_id, *end),
            Entry::ClientHalfClosed { session_id } | Entry::ClientDisconnected { session_id } => {
                self.client_ended(at, *session_id)
            }
            Entry::SessionHandedOver { session_id } => {
                self.end(at, *session_id, AttemptOutcome::ClientLeft, End::HandedOver)
            }
            Entry::Reject { session_id } => self.answered(at, *session_id, AttemptOutcome::Rejected),
            Entry::TearDown { session_id } => self.answered(at, *session_id, AttemptOutcome::Failed),
            Entry::ReportProtocolError { session_id } => self.protocol_violated(at, *session_id),
            Entry::CloseClient { session_id } => {
                self.end(at, *session_id, AttemptOutcome::TooLate, End::Other)
            }
            Entry::Migrate { session_id } => self.migrated(at, *session_id),
            Entry::Lifecycle { migrates_sessions } => self.migrates_sessions = *migrates_sessions,
            Entry::Exit => self.exits(),
            _ => {}
        }
        if let Entry::ClientDisconnected { session_id } = entry {
            self.closing.remove(session_id);
        }
    }

    /// Handles the end of the log; `day_end` is the latest moment in any log.
    pub fn finish(&mut self, day_end: Micros) {
        let is_complete = self.last.day + MAX_SILENCE >= day_end;
        let (outcome, end) = match is_complete {
            true => (AttemptOutcome::StillWaiting, End::StillOpen),
            false => (AttemptOutcome::Unaccounted(Gap::LogEnds), End::Unaccounted(Gap::LogEnds)),
        };
        self.end_all(&outcome, end);
    }

    /// Returns and removes the attempts whose end is known.
    pub fn take_done(&mut self) -> impl Iterator<Item = Attempt> + '_ {
        self.done.drain(..)
    }

    fn begin(&mut self, at: Moment, session_id: SessionId, opening: &Opening, origin: Origin) {
        if let Some(before) = self.active.remove(&session_id) {
            let gap = Gap::NumberReused;
            self.finish_attempt(before, at, &AttemptOutcome::Unaccounted(gap), End::Unaccounted(gap));
        }
        self.closing.remove(&session_id);
        self.active.insert(session_id, Attempt::new(&self.name, at, opening.clone(), origin));
    }

    fn dialled(&mut self, at: Moment, session_id: SessionId, backend: String) {
        self.require_opening(at, session_id);
        if let Some(attempt) = self.active.get_mut(&session_id) {
            attempt.dials.push(Dial { at, backend, end: None });
        }
    }

    fn dial_ended(&mut self, at: Moment, session_id: SessionId, number: u32, end: DialEnd) {
        let Some(attempt) = self.active.get_mut(&session_id).filter(|attempt| attempt.placed.is_none())
        else {
            return;
        };
        // Ignores the end of an earlier dial than the last one.
        if attempt.dials.len() != number as usize + 1 {
            return;
        }
        if let Some(dial) = attempt.dials.last_mut() {
            dial.end = Some(end);
        }
        if end == DialEnd::Ok && !attempt.opening.pre_existing {
            self.end(at, session_id, AttemptOutcome::ServedAtOnce, End::Other);
        }
    }

    fn placed(&mut self, at: Moment, session_id: SessionId) {
        self.require_opening(at, session_id);
        if let Some(attempt) = self.active.get_mut(&session_id) {
            attempt.placed.get_or_insert(at);
        }
    }

    fn backend_ended(&mut self, at: Moment, session_id: SessionId, end: DialEnd) {
        let end = match end {
            DialEnd::Ok => End::Complete,
            DialEnd::Cancelled => End::MigratedByBackend,
            DialEnd::Reset => End::Reset,
            _ => End::Other,
        };
        self.end(at, session_id, AttemptOutcome::Unaccounted(Gap::NeverPlaced), end);
    }

    fn client_ended(&mut self, at: Moment, session_id: SessionId) {
        self.end(at, session_id, AttemptOutcome::ClientLeft, End::Client);
    }

    fn protocol_violated(&mut self, at: Moment, session_id: SessionId) {
        // Connections that never became a session get this answer too.
        self.end(at, session_id, AttemptOutcome::NotProtocol, End::Other);
    }

    fn migrated(&mut self, at: Moment, session_id: SessionId) {
        let end = if self.migrates_sessions { End::RelayStop } else { End::Migrated };
        self.end(at, session_id, AttemptOutcome::Unaccounted(Gap::NeverPlaced), end);
    }

    /// The relay sent a final answer of its own. The outcome also depends on the last dial before it.
    fn answered(&mut self, at: Moment, session_id: SessionId, outcome: fn(LastDial) -> AttemptOutcome) {
        self.require_opening(at, session_id);
        let Some(attempt) = self.active.get(&session_id) else { return };
        let outcome = outcome(attempt.last_dial());
        self.end(at, session_id, outcome, End::Other);
    }

    fn exits(&mut self) {
        self.process_ended();
        self.closing.clear();
    }

    /// The process ended, and with it all pending attempts and open sessions.
    fn process_ended(&mut self) {
        let end = if self.migrates_sessions { End::RelayStop } else { End::RelayDied };
        self.end_all(&AttemptOutcome::RelayEnded, end);
        self.running = false;
    }

    fn end_all(&mut self, outcome: &AttemptOutcome, end: End) {
        let at = self.last;
        for (_, attempt) in std::mem::take(&mut self.active) {
            self.finish_attempt(attempt, at, outcome, end);
        }
    }

    /// If this is the first entry of an attempt, its opening is not in the log: counts it as unaccounted for.
    fn require_opening(&mut self, at: Moment, session_id: SessionId) {
        if self.active.contains_key(&session_id) || !self.closing.insert(session_id) {
            return;
        }
        let opening = Opening { id: 0, key: 0, group: 0, returned: false, pre_existing: false };
        let attempt = Attempt::new(&self.name, at, opening, Origin::Missing);
        let gap = Gap::NeverOpened;
        self.finish_attempt(attempt, at, &AttemptOutcome::Unaccounted(gap), End::Unaccounted(gap));
    }

    /// Ends the attempt: with `end` if it was placed, otherwise with `outcome`.
    fn end(&mut self, at: Moment, session_id: SessionId, outcome: AttemptOutcome, end: End) {
        let Some(attempt) = self.active.remove(&session_id) else { return };
        self.closing.insert(session_id);
        self.finish_attempt(attempt, at, &outcome, end);
    }

    fn finish_attempt(&mut self, mut attempt: Attempt, at: Moment, outcome: &AttemptOutcome, end: End) {
        attempt.ended_at = at;
        (attempt.outcome, attempt.end) = match attempt.placed {
            Some(_) => (AttemptOutcome::Placed, Some(end)),
            None => (outcome.clone(), None),
        };
        self.done.push(attempt);
    }
}
