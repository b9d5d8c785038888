//! The auditor's state of one session, and the session's trace.
use hallrelay_balancer::types::Micros;

/// Maximum number of entries recorded in a session's trace.
const MAX_TRACE: usize = 64;

/// Answer that a client received.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// `UP`, with the receipt issued by a backend.
    Up(u64),
    /// `BUSY`: the session never ran, so a retry is safe.
    Busy,
    /// An error.
    Failed,
    /// End of the connection without an answer.
    Closed,
}

impl Answer {
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Answer::Up(_) => "UP",
            Answer::Busy => "BUSY",
            Answer::Failed => "an error",
            Answer::Closed => "the end of the connection",
        }
    }
}

/// Outcome of a dial as observed by its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialOutcome {
    /// Rejected: the session never ran.
    NeverRan,
    /// The session ran, or may have run.
    MayHaveRun,
}

/// An event in a session's trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TraceEvent {
    Requested { relay: usize },
    DialReceived { backend: usize },
    DialEnded { backend: usize, outcome: DialOutcome },
    Established { backend: usize },
    Answered(&'static str),
    ClientLeft,
}

struct TraceEntry {
    at: Micros,
    event: TraceEvent,
}

/// First backend at which a session may have run, and the time since when this is possible.
#[derive(Clone, Copy)]
pub(super) struct FirstRun {
    pub at: Micros,
    pub backend: usize,
}

/// What the auditor knows of one session.
pub(super) struct Session {
    pub listener: usize,
    pub relay: usize,
    /// End of the dial timeout, by which the client must have its final answer.
    pub deadline: Micros,
    /// When the client received its final answer, or when the lack of one was recorded as a breach.
    pub answered_at: Option<Micros>,
    /// Whether no answer is required any more, because the relay was stalled at the deadline.
    pub is_excused: bool,
    /// The client has received `UP`.
    pub is_established: bool,
    /// When the client closed its connection.
    pub left_at: Option<Micros>,
    /// Number of dials that backends received.
    pub dials: u32,
    /// The backend at which a dial is in flight.
    pub dialling: Option<usize>,
    pub first_run: Option<FirstRun>,
    /// Receipt that the backend issued with `UP`; the client must receive the same one.
    pub receipt: Option<u64>,
    /// Whether the session was open at its backend before the relay started.
    pub is_pre_existing: bool,
    trace: Vec<TraceEntry>,
}

impl Session {
    pub(super) fn new(listener: usize, relay: usize, deadline: Micros, is_pre_existing: bool) -> Session {
        Session {
            listener,
            relay,
            deadline,
            answered_at: None,
            is_excused: false,
            is_established: false,
            left_at: None,
            dials: 0,
            dialling: None,
            first_run: None,
            receipt: None,
            is_pre_existing,
            trace: Vec::with_capacity(4),
        }
    }

    pub(super) fn trace(&mut self, at: Micros, event: TraceEvent) {
        if self.trace.len() < MAX_TRACE {
            self.trace.push(TraceEntry { at, event });
        }
    }

    /// Records that the session may have run at a backend since `at`; only the first such backend is kept.
    pub(super) fn may_have_run(&mut self, at: Micros, backend: usize) {
        self.first_run = self.first_run.or(Some(FirstRun { at, backend }));
    }

    /// The trace as text, with times in milliseconds since the start of the day.
    pub(super) fn trace_text<'a>(&self, begin: Micros, name: impl Fn(usize) -> &'a String) -> Vec<String> {
        let text = |entry: &TraceEntry| {
            let ms = (entry.at - begin.min(entry.at)) as f64 / 1e3;
            let event = match entry.event {
                TraceEvent::Requested { relay } => format!("client sends its request to relay {relay}"),
                TraceEvent::DialReceived { backend } => format!("{} receives the first line", name(backend)),
                TraceEvent::DialEnded { backend, outcome: DialOutcome::NeverRan } => {
                    format!("dial at {} ended: the session never ran", name(backend))
                }
                TraceEvent::DialEnded { backend, outcome: DialOutcome::MayHaveRun } => {
                    format!("dial at {} ended: the session ran or may have run", name(backend))
                }
                TraceEvent::Established { backend } => format!("{} sends UP", name(backend)),
                TraceEvent::Answered(answer) => format!("client receives {answer}"),
                TraceEvent::ClientLeft => "client leaves".to_string(),
            };
            format!("{ms:10.3} ms  {event}")
        };
        self.trace.iter().map(text).collect()
    }
}
