//! What the auditor holds of one session, and what passed for it.
use hallrelay_balancer::types::Micros;

/// Entries that are recorded of a session's trace.
const MAX_TRACE: usize = 64;

/// What a client was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// `UP`, with the receipt that a backend gave.
    Up(u64),
    /// `BUSY`: a retry is harmless.
    Busy,
    /// An error.
    Failed,
    /// The end of the connection, without an answer.
    Closed,
}

impl Answer {
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Answer::Up(_) => "UP",
            Answer::Busy => "BUSY",
            Answer::Failed => "an error",
            Answer::Closed => "the end without an answer",
        }
    }
}

/// How a dial ended, as its backend saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialOutcome {
    /// Rejected: the session never ran.
    NeverRan,
    /// The session ran, or may have.
    MayHaveRun,
}

/// What passed for a session.
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

/// Where and when a session may have run first.
#[derive(Clone, Copy)]
pub(super) struct FirstRun {
    pub at: Micros,
    pub backend: usize,
}

pub(super) struct Session {
    pub listener: usize,
    pub relay: usize,
    pub deadline: Micros,
    pub answered_at: Option<Micros>,
    /// Its deadline came while its relay stalled: no answer is due any more, and there may be none.
    pub is_excused: bool,
    /// The client got `UP`.
    pub is_established: bool,
    pub left_at: Option<Micros>,
    pub dials: u32,
    /// The backend at which a dial is in flight.
    pub dialling: Option<usize>,
    pub first_run: Option<FirstRun>,
    /// The receipt that a backend gave.
    pub receipt: Option<u64>,
    /// It was open at its backend before the relay started.
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

    /// It may have run at a backend from now on.
    pub(super) fn may_have_run(&mut self, at: Micros, backend: usize) {
        self.first_run = self.first_run.or(Some(FirstRun { at, backend }));
    }

    /// The trace as text, with milliseconds since the day began.
    pub(super) fn trace_text<'a>(&self, begin: Micros, name: impl Fn(usize) -> &'a String) -> Vec<String> {
        let text = |entry: &TraceEntry| {
            let ms = (entry.at - begin.min(entry.at)) as f64 / 1e3;
            let event = match entry.event {
                TraceEvent::Requested { relay } => format!("client asks relay {relay}"),
                TraceEvent::DialReceived { backend } => format!("line comes to {}", name(backend)),
                TraceEvent::DialEnded { backend, outcome: DialOutcome::NeverRan } => {
                    format!("dial at {} is over: never ran", name(backend))
                }
                TraceEvent::DialEnded { backend, outcome: DialOutcome::MayHaveRun } => {
                    format!("dial at {} is over: ran or may have", name(backend))
                }
                TraceEvent::Established { backend } => format!("{} says UP", name(backend)),
                TraceEvent::Answered(answer) => format!("client hears {answer}"),
                TraceEvent::ClientLeft => "client leaves".to_string(),
            };
            format!("{ms:10.3} ms  {event}")
        };
        self.trace.iter().map(text).collect()
    }
}
