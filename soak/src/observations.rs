//! What was observed from outside the relays: each session at its client and at the backends, each process
//! of a relay, each change of the endpoint list. All times are of one monotonic clock.
use crate::locked;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time since the recorder was made.
pub type Timestamp = Duration;

/// How a client's connection ended, as the client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The relay closed it.
    Closed,
    /// It was reset.
    Reset,
    /// Nothing was received for a time far beyond the deadline.
    Silent,
}

/// What a backend did with a complete first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered `UP`: it ran.
    Accepted,
    /// Answered `BUSY`: it did not run.
    Rejected,
    /// It may have run: an error, a reset, half an answer, or no answer.
    Unknown,
}

/// One attempt of a session, as its backend observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The backend.
    pub backend: usize,
    /// The first byte of the line was received, by the backend or the link before it.
    pub started_at: Timestamp,
    /// The line was received completely.
    pub received_at: Option<Timestamp>,
    /// What the backend did.
    pub outcome: Option<AttemptOutcome>,
    /// The connection ended, by either side.
    pub ended_at: Option<Timestamp>,
}

/// The first line that a client received.
#[derive(Clone, Debug)]
pub struct Answer {
    /// When it was received.
    pub at: Timestamp,
    /// The line without its end.
    pub line: String,
}

/// The end of a client's connection by the relay.
#[derive(Clone, Copy, Debug)]
pub struct SessionEnd {
    /// When the client observed it.
    pub at: Timestamp,
    /// How the connection ended.
    pub how: ConnectionEnd,
}

/// One client's request, from its first line to its end.
#[derive(Clone, Debug)]
pub struct Session {
    /// The relay that the client connected to.
    pub relay: usize,
    /// The listener that the client named.
    pub listener: &'static str,
    /// The last bytes of its line were about to be written.
    pub requested_at: Timestamp,
    /// The time within which it wants an answer.
    pub timeout: Duration,
    /// The first line received.
    pub answer: Option<Answer>,
    /// Lines after a final answer other than `UP`.
    pub lines_after_answer: u32,
    /// The client closed or cancelled of its own accord.
    pub left_at: Option<Timestamp>,
    /// The relay ended the connection.
    pub ended: Option<SessionEnd>,
    /// The relay sent `MOVE` before the end.
    pub move_announced: bool,
    /// The attempts at backends, in the order in which they were observed.
    pub attempts: Vec<Attempt>,
}

/// Why a relay's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// Killed by the harness without a request to stop.
    Killed,
    /// It was requested to stop and exited.
    Exited,
    /// It was requested to stop and killed at its time limit.
    KilledAtTimeLimit,
    /// It exited without a request.
    Crashed,
}

/// The end of a relay's process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    /// When the harness observed it.
    pub at: Timestamp,
    /// Why it ended.
    pub reason: ExitReason,
}

/// One process of a relay.
#[derive(Clone, Debug)]
pub struct Process {
    /// The relay.
    pub relay: usize,
    /// It was started.
    pub started_at: Timestamp,
    /// It answered a ping.
    pub ready_at: Option<Timestamp>,
    /// It was sent SIGTERM.
    pub stop_requested_at: Option<Timestamp>,
    /// Its end; none while it runs.
    pub ended: Option<ProcessEnd>,
}

/// A state of a backend that discovery has sent to a relay.
#[derive(Clone, Copy, Debug)]
pub struct ListDelivery {
    /// The relay.
    pub relay: usize,
    /// The backend.
    pub backend: usize,
    /// The backend is listed as draining.
    pub draining: bool,
    /// When it was written to the relay's connection.
    pub at: Timestamp,
}

/// A change of the endpoint list, whichever relays have received it.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The backend.
    pub backend: usize,
    /// The backend is listed as draining from then on.
    pub draining: bool,
    /// The backend started at that time.
    pub is_start: bool,
    /// When discovery had it.
    pub at: Timestamp,
}

/// A time in which something was impaired by a fault.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Its beginning.
    pub from: Timestamp,
    /// Its end.
    pub until: Timestamp,
}

/// A time in which one relay or backend was impaired by a fault.
#[derive(Clone, Copy, Debug)]
pub struct Impairment {
    /// The number of the relay or backend.
    pub subject: usize,
    /// Its beginning.
    pub from: Timestamp,
    /// Its end.
    pub until: Timestamp,
}

/// A client that stopped in the middle of its first line.
#[derive(Clone, Copy, Debug)]
pub struct PartialRequest {
    /// The relay.
    pub relay: usize,
    /// The client had connected.
    pub since: Timestamp,
    /// The client received an error or the end of the connection.
    pub ended_at: Option<Timestamp>,
}

/// Everything that was observed in a run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Sessions by their ids.
    pub sessions: BTreeMap<u64, Session>,
    /// All processes of relays, in the order of their starts.
    pub processes: Vec<Process>,
    /// What discovery has sent to relays.
    pub list_deliveries: Vec<ListDelivery>,
    /// The changes of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// Discovery could not be reached or answered late.
    pub discovery_outages: Vec<Interval>,
    /// A relay's connections with clients broke by a fault of the machine.
    pub broken_client_connections: Vec<Impairment>,
    /// Clients that stopped in the middle of their first line.
    pub partial_requests: Vec<PartialRequest>,
    /// The link to a backend held back all bytes.
    pub link_stalls: Vec<Impairment>,
    /// A relay could accept no connection by a fault of the machine.
    pub accept_outages: Vec<Impairment>,
    /// A relay's process was stopped by SIGSTOP.
    pub pauses: Vec<Impairment>,
    /// First lines at backends whose session no client had begun.
    pub unknown_sessions: u32,
}

/// Collects the observations of all threads.
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
    /// The time since the recorder was made.
    pub fn now(&self) -> Timestamp {
        self.start.elapsed()
    }

    /// Changes the observations under their lock.
    pub fn record<T>(&self, change: impl FnOnce(&mut Observations) -> T) -> T {
        change(&mut locked(&self.observations))
    }

    /// Changes one session; counts it as unknown where no client has begun it.
    pub fn record_session(&self, id: u64, change: impl FnOnce(&mut Session)) {
        self.record(|observations| match observations.sessions.get_mut(&id) {
            Some(session) => change(session),
            None => observations.unknown_sessions += 1,
        });
    }

    /// Adds an attempt to a session and returns its position there.
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

    /// A copy of everything observed so far.
    pub fn snapshot(&self) -> Observations {
        locked(&self.observations).clone()
    }
}
