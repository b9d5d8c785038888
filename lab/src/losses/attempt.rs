//! One attempt of a client to open a session, from the client's first line to the end of the session. An
//! attempt is opened by the first line, and placed when its session is established on a backend.
use super::parse::Opening;
use hallrelay_balancer::types::{DialEnd, Micros};
use serde::Serialize;

/// A moment of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Microseconds since the day began.
    pub day: Micros,
    /// The relay's own clock, in microseconds. Only differences within one log are meaningful.
    pub clock: Micros,
}

impl Moment {
    /// The second of the day that contains this moment.
    pub fn second(self) -> u32 {
        (self.day / 1_000_000) as u32
    }

    /// Seconds since the day began.
    pub fn seconds(self) -> f64 {
        self.day as f64 / 1e6
    }
}

/// The source of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The first line of a client.
    Client,
    /// The previous process of the relay, which had the session open at the backend of this name.
    Process(String),
    /// Unknown, because the start of the attempt is not in the log.
    Missing,
}

/// One dial of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Dial {
    pub at: Moment,
    /// Address of the backend.
    pub backend: String,
    /// How the dial ended; `None` if the session was established or the dial is in flight.
    pub end: Option<DialEnd>,
}

/// State of the last dial of an attempt when the attempt was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastDial {
    /// No dial was made.
    None,
    /// The last dial was in flight.
    InFlight,
    /// The last dial had ended.
    Ended(DialEnd),
}

/// How an attempt was answered, or why it was not answered.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// It was placed on a backend.
    Placed,
    /// Its backend answered `BYE` immediately.
    ServedAtOnce,
    /// The relay answered `BUSY`.
    Rejected(LastDial),
    /// The relay answered `FAIL`.
    Failed(LastDial),
    /// Its line violated the protocol, named an unknown listener, or repeated the id of an open session.
    NotProtocol,
    /// Its client disconnected before it was answered.
    ClientLeft,
    /// It was closed without an answer, long after its client's deadline.
    TooLate,
    /// The relay process ended before it was answered.
    RelayEnded,
    /// It had not been answered at the end of the day.
    StillWaiting,
    /// Unknown.
    Unaccounted(Gap),
}

/// How a placed session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The client ended it.
    Client,
    /// Its backend sent `BYE`: the session was complete.
    Complete,
    /// Its backend sent `MOVE`.
    MigratedByBackend,
    /// Its backend reset the connection.
    Reset,
    /// Another end: its backend became silent, or a line violated the protocol.
    Other,
    /// The relay migrated it.
    Migrated,
    /// The relay migrated or ended it because the relay itself drained, stopped or was replaced.
    RelayStop,
    /// Another process of the relay adopted it.
    HandedOver,
    /// The relay process ended without a request to stop.
    RelayDied,
    /// It was open at the end of the day.
    StillOpen,
    /// Unknown.
    Unaccounted(Gap),
}

/// The reason why the outcome of an attempt is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Gap {
    /// The log ends long before the end of the day.
    LogEnds,
    /// The number of the session was reused for another session before it ended.
    NumberReused,
    /// It ended as an open session, but is not logged as placed.
    NeverPlaced,
    /// It was dialled, placed or answered, but is not logged as opened.
    NeverOpened,
}

impl Gap {
    /// Text for the output.
    pub fn description(self) -> &'static str {
        match self {
            Gap::LogEnds => "the log ends before the day",
            Gap::NumberReused => "its number was used again",
            Gap::NeverPlaced => "it ended without being placed",
            Gap::NeverOpened => "its opening is not logged",
        }
    }
}

/// One attempt as recorded in the log of its relay.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub relay: String,
    pub opening: Opening,
    pub origin: Origin,
    pub opened: Moment,
    pub dials: Vec<Dial>,
    /// When it was placed.
    pub placed: Option<Moment>,
    /// When the session ended, or when the attempt was answered if it was not placed.
    pub ended_at: Moment,
    pub outcome: AttemptOutcome,
    /// How the session ended, if it was placed.
    pub end: Option<End>,
}

impl Attempt {
    pub fn new(relay: &str, opened: Moment, opening: Opening, origin: Origin) -> Attempt {
        Attempt {
            relay: relay.to_string(),
            opening,
            origin,
            opened,
            dials: Vec::new(),
            placed: None,
            ended_at: opened,
            outcome: AttemptOutcome::StillWaiting,
            end: None,
        }
    }

    /// Current state of the last dial of this attempt.
    pub fn last_dial(&self) -> LastDial {
        match self.dials.last() {
            None => LastDial::None,
            Some(Dial { end: Some(end), .. }) => LastDial::Ended(*end),
            Some(_) => LastDial::InFlight,
        }
    }

    /// The reason why the outcome of the attempt or of its session is unknown; `None` if it is known.
    pub fn gap(&self) -> Option<Gap> {
        match (&self.outcome, &self.end) {
            (AttemptOutcome::Unaccounted(gap), _) | (_, Some(End::Unaccounted(gap))) => Some(*gap),
            _ => None,
        }
    }

    /// The backend on which it was placed: the address, or the name if only that is known.
    pub fn backend(&self) -> &str {
        match (self.dials.last(), &self.origin) {
            (Some(dial), _) => &dial.backend,
            (None, Origin::Process(name)) => name,
            (None, _) => "",
        }
    }
}
