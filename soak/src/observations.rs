//! Observations from outside the relays: each session at its client and at the backends, each process of a
//! relay, and each change of the endpoint list. All times are from one monotonic clock.
use crate::locked;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time since the recorder was created.
pub type Timestamp = Duration;

/// How a client's connection ended, as the client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The relay closed it.
    Closed,
    /// The connection was reset.
    Reset,
    /// The client received nothing until its own timeout, which is far beyond the deadline of its request.
    Silent,
}

/// How a backend handled a complete first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend answered `UP`, so the request ran.
    Accepted,
    /// The backend answered `BUSY`, so the request did not run.
    Rejected,
    /// The request may have run: the backend sent an error, a reset, part of an answer, or nothing.
    Unknown,
}

/// One attempt of a session at a backend, as the backend observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The backend.
    pub backend: usize,
    /// When the first byte of the line was received, by the backend or by its link.
    pub started_at: Timestamp,
    /// When the line was received completely.
    pub received_at: Option<Timestamp>,
    /// How the backend handled the line.
    pub outcome: Option<AttemptOutcome>,
    /// When either side ended the connection.
    pub ended_at: Option<Timestamp>,
}

/// The first line that a client received from a relay.
#[derive(Clone, Debug)]
pub struct Answer {
    /// When it was received.
    pub at: Timestamp,
    /// The line without its line end.
    pub line: String,
}

/// The end of a client's connection when the relay ended it.
#[derive(Clone, Copy, Debug)]
pub struct SessionEnd {
    /// When the client observed it.
    pub at: Timestamp,
    /// How the connection ended.
    pub how: ConnectionEnd,
}

/// A client's request and its session, from the first line to the end of the connection.
#[derive(Clone, Debug)]
pub struct Session {
    /// The relay that the client connected to.
    pub relay: usize,
    /// The listener that the client named.
    pub listener: &'static str,
    /// When the client was about to write the last bytes of its line, which complete the request.
    pub requested_at: Timestamp,
    /// Time after `requested_at` within which the client must be answered.
    pub timeout: Duration,
    /// The first line received.
    pub answer: Option<Answer>,
    /// Number of lines received after a final answer other than `UP`.
    pub lines_after_answer: u32,
    /// When the client ended the session or cancelled its request by itself.
    pub left_at: Option<Timestamp>,
    /// The end of the connection, if the relay ended it.
    pub ended: Option<SessionEnd>,
    /// Whether the relay sent `MOVE`, which requests the client to reconnect, before the end.
    pub move_announced: bool,
    /// The attempts at backends, in the order in which they were observed.
    pub attempts: Vec<Attempt>,
}

/// Why a relay's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// The harness killed it without requesting it to stop first.
    Killed,
    /// It exited after it was requested to stop.
    Exited,
    /// The harness killed it because it had not exited within the time limit after the request to stop.
    KilledAtTimeLimit,
    /// It exited without a request to stop.
    Crashed,
}

/// The end of a relay's process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    /// When the harness observed the end.
    pub at: Timestamp,
    /// Why the process ended.
    pub reason: ExitReason,
}

/// One process of a relay.
#[derive(Clone, Debug)]
pub struct Process {
    /// The relay.
    pub relay: usize,
    /// When it was started.
    pub started_at: Timestamp,
    /// When it first answered `PING`; `None` if it has not.
    pub ready_at: Option<Timestamp>,
    /// When it was sent SIGTERM; `None` if it was not.
    pub stop_requested_at: Option<Timestamp>,
    /// Its end; `None` while it runs.
    pub ended: Option<ProcessEnd>,
}

/// An entry of the endpoint list (the state of one backend) that discovery has sent to a relay.
#[derive(Clone, Copy, Debug)]
pub struct ListDelivery {
    /// The relay.
    pub relay: usize,
    /// The backend.
    pub backend: usize,
    /// Whether the backend is listed as draining.
    pub draining: bool,
    /// When the state was written to the relay's connection.
    pub at: Timestamp,
}

/// A change of the endpoint list at discovery, independent of its delivery to relays.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The backend.
    pub backend: usize,
    /// Whether the backend is listed as draining after the change.
    pub draining: bool,
    /// Whether the backend started at that time.
    pub is_start: bool,
    /// When discovery was given the change.
    pub at: Timestamp,
}

/// Period in which a fault impaired a service.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Start of the period.
    pub from: Timestamp,
    /// End of the period.
    pub until: Timestamp,
}

/// Period in which a fault impaired one relay or backend.
#[derive(Clone, Copy, Debug)]
pub struct Impairment {
    /// The number of the relay or backend.
    pub subject: usize,
    /// Start of the period.
    pub from: Timestamp,
    /// End of the period.
    pub until: Timestamp,
}

/// A client that stops sending in the middle of its first line.
#[derive(Clone, Copy, Debug)]
pub struct PartialRequest {
    /// The relay.
    pub relay: usize,
    /// When the client connected, before it sent the part of its line.
    pub since: Timestamp,
    /// When the client received an error or the end of the connection.
    pub ended_at: Option<Timestamp>,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Sessions by their ids.
    pub sessions: BTreeMap<u64, Session>,
    /// All relay processes, in the order in which they started.
    pub processes: Vec<Process>,
    /// The entries of the endpoint list that discovery has sent to relays.
    pub list_deliveries: Vec<ListDelivery>,
    /// The changes of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// Periods in which discovery was unreachable or answered late.
    pub discovery_outages: Vec<Interval>,
    /// Periods in which a system call fault broke a relay's connections with clients.
    pub broken_client_connections: Vec<Impairment>,
    /// Clients that stopped sending in the middle of their first line.
    pub partial_requests: Vec<PartialRequest>,
    /// Periods in which the link to a backend held back all bytes.
    pub link_stalls: Vec<Impairment>,
    /// Periods in which a system call fault prevented a relay from accepting connections.
    pub accept_outages: Vec<Impairment>,
    /// Periods in which a relay's process was paused by SIGSTOP.
    pub pauses: Vec<Impairment>,
    /// Number of records that were made for the id of a session that no client had begun.
    pub unknown_sessions: u32,
}

/// Collects observations from all threads.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    observations: Arc<Mutex<Observations>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder { start: Instant::now(), observations: Arc::default() }
    }
}

impl Recorder {
    /// Returns the time since the recorder was created.
    pub fn now(&self) -> Timestamp {
        self.start.elapsed()
    }

    /// Changes the observations while holding their lock.
    pub fn record<T>(&self, change: impl FnOnce(&mut Observations) -> T) -> T {
        change(&mut locked(&self.observations))
    }

    /// Changes one session. If no client has begun it, the call counts as a record of an unknown session.
    pub fn record_session(&self, id: u64, change: impl FnOnce(&mut Session)) {
        self.record(|observations| match observations.sessions.get_mut(&id) {
            Some(session) => change(session),
            None => observations.unknown_sessions += 1,
        });
    }

    /// Adds an attempt to a session and returns its position in `Session::attempts`.
    pub fn add_attempt(&self, id: u64, attempt: Attempt) -> usize {
        let mut position = 0;
        self.record_session(id, |session| {
            position = session.attempts.len();
            session.attempts.push(attempt);
        });
        position
    }

    /// Changes one attempt of a session.
    pub fn record_attempt(&self, id: u64, position: usize, change: impl FnOnce(&mut Attempt)) {
        self.record_session(id, |session| {
            if let Some(attempt) = session.attempts.get_mut(position) {
                change(attempt);
            }
        });
    }

    /// Returns a copy of all observations so far.
    pub fn snapshot(&self) -> Observations {
        locked(&self.observations).clone()
    }
}
