//! One attempt of a client to open a session, from its first line to its end.
use super::parse::Opening;
use hallrelay_balancer::types::{DialEnd, Micros};
use serde::Serialize;

/// A moment of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// Microseconds since the day began.
    pub day: Micros,
    /// The relay's own clock, in microseconds; only differences within one log count.
    pub clock: Micros,
}

impl Moment {
    /// The second of the day in which it lies.
    pub fn second(self) -> u32 {
        (self.day / 1_000_000) as u32
    }

    /// Seconds since the day began.
    pub fn seconds(self) -> f64 {
        self.day as f64 / 1e6
    }
}

/// Where an attempt comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A client's first line.
    Client,
    /// The process before this one, which had it open at the backend of this name.
    Process(String),
    /// Its opening is not in the log.
    Missing,
}

/// One dial to a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Dial {
    pub at: Moment,
    /// Address of the backend.
    pub backend: String,
    /// How it ended; none where the session was established, or the dial was in flight.
    pub end: Option<DialEnd>,
}

/// State of the last dial of an attempt as the attempt was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastDial {
    /// No dial was made.
    None,
    /// It was in flight.
    InFlight,
    /// It had ended.
    Ended(DialEnd),
}

/// What became of an attempt up to its answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// It was placed on a backend.
    Placed,
    /// Its backend answered `BYE` at once.
    ServedAtOnce,
    /// The relay answered `BUSY`.
    Rejected(LastDial),
    /// The relay answered `FAIL`.
    Failed(LastDial),
    /// Its line was not of the protocol, named an unknown listener, or repeated the id of an open session.
    NotProtocol,
    /// Its client left before it was answered.
    ClientLeft,
    /// It was closed without an answer, long after its client's time was up.
    TooLate,
    /// The relay's process ended first.
    RelayEnded,
    /// It was undecided as the day ended.
    StillWaiting,
    /// It is not known.
    Unaccounted(Gap),
}

/// How a session ended that had been placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The client ended it.
    Client,
    /// Its backend sent `BYE`: it was complete.
    Complete,
    /// Its backend sent `MOVE`.
    MigratedByBackend,
    /// Its backend reset the connection.
    Reset,
    /// Another end: its backend was silent, or a line was not of the protocol.
    Other,
    /// The relay migrated it.
    Migrated,
    /// The relay migrated or ended it, since the relay itself drained, stopped or was replaced.
    RelayStop,
    /// Another process of the relay adopted it.
    HandedOver,
    /// The relay's process ended without a request to stop.
    RelayDied,
    /// It was open as the day ended.
    StillOpen,
    /// It is not known.
    Unaccounted(Gap),
}

/// Why it is not known what became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Gap {
    /// The log ends long before the day does.
    LogEnds,
    /// The number of the session was given to another one.
    NumberReused,
    /// It ended as an open session, and is not logged as placed.
    NeverPlaced,
    /// It was dialled, placed or answered, and is not logged as opened.
    NeverOpened,
}

impl Gap {
    /// For users.
    pub fn description(self) -> &'static str {
        match self {
            Gap::LogEnds => "the log ends before the day",
            Gap::NumberReused => "its number was used again",
            Gap::NeverPlaced => "it ended without being placed",
            Gap::NeverOpened => "its opening is not logged",
        }
    }
}

/// One attempt as its relay's log has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub relay: String,
    pub opening: Opening,
    pub origin: Origin,
    pub opened: Moment,
    pub dials: Vec<Dial>,
    /// When it was placed.
    pub placed: Option<Moment>,
    /// When it was answered, where it was not placed; else when the session ended.
    pub ended_at: Moment,
    pub fate: Fate,
    /// How the session ended, where it was placed.
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
            fate: Fate::StillWaiting,
            end: None,
        }
    }

    /// State of the last dial.
    pub fn last_dial(&self) -> LastDial {
        match self.dials.last() {
            None => LastDial::None,
            Some(Dial { end: Some(end), .. }) => LastDial::Ended(*end),
            Some(_) => LastDial::InFlight,
        }
    }

    /// Why it is not known what became of it.
    pub fn gap(&self) -> Option<Gap> {
        match (&self.fate, &self.end) {
            (Fate::Unaccounted(gap), _) | (_, Some(End::Unaccounted(gap))) => Some(*gap),
            _ => None,
        }
    }

    /// The backend at which it was placed: its address, or its name where only that is known.
    pub fn backend(&self) -> &str {
        match (self.dials.last(), &self.origin) {
            (Some(dial), _) => &dial.backend,
            (None, Origin::Process(name)) => name,
            (None, _) => "",
        }
    }
}
