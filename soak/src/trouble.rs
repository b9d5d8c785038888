//! Troubles: what goes wrong, where, from when till when. A timeline of them is drawn from a seed and printed,
//! so that a run can be played again.
use crate::backend::Behaviour;
use crate::discovery::Mode;
use crate::faults::Fault;
use crate::link::Way;
use oorandom::Rand64;
use std::fmt;
use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// System calls of one relay fail, so many in a thousand.
    Calls {
        relay: usize,
        fault: Fault,
        value: i64,
    },
    /// A relay is told to stop, and starts again when the trouble is over.
    Stop {
        relay: usize,
    },
    /// The same, while clients go on coming to it.
    StopUnderClients {
        relay: usize,
    },
    Kill {
        relay: usize,
    },
    /// It stands still for so long, again and again.
    Pause {
        relay: usize,
        each: Duration,
    },
    /// It is told to read its configuration anew, each 0.3 s.
    Reload {
        relay: usize,
    },
    /// The same, and to stop right behind it.
    StopBehindReload {
        relay: usize,
    },
    /// Another process takes the place of the running one.
    Replace {
        relay: usize,
    },
    Backend {
        backend: usize,
        behaviour: Behaviour,
    },
    /// What the way to a backend does with bytes.
    Link {
        backend: usize,
        way: Way,
    },
    /// No relay finds a way to a backend.
    NoWay {
        backend: usize,
    },
    /// All connections of a backend's sessions are reset at once.
    ResetAll {
        backend: usize,
    },
    /// A backend drains, and is up again when the trouble is over.
    Drain {
        backend: usize,
    },
    /// A backend has just started, cold.
    Join,
    Discovery {
        mode: Mode,
    },
    /// A half of the clients leave before they are answered.
    ClientsLeave,
    /// Clients that stop in the middle of their first line, and stay.
    ClientsStopHalfWay,
    /// First lines come in pieces.
    ClientsWriteSlowly,
    /// Clients that come back, many at once.
    Storm,
}

/// One trouble of a timeline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
    pub kind: Kind,
    pub from: Duration,
    pub till: Duration,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:6.2} to {:6.2} s: {:?}", self.from.as_secs_f64(), self.till.as_secs_f64(), self.kind)
    }
}

/// The word of a trouble's kind, for the table of what met what.
pub fn word(kind: &Kind) -> String {
    match kind {
        Kind::Calls { fault, .. } => format!("{fault:?}"),
        Kind::Backend { behaviour, .. } => format!("Backend{behaviour:?}"),
        Kind::Discovery { mode } => format!("Discovery{mode:?}"),
        Kind::Link { way, .. } => format!("Link{way:?}"),
        other => {
            let text = format!("{other:?}");
            text.split([' ', '{']).next().unwrap_or_default().to_string()
        }
    }
}

/// Between the beginnings of two episodes.
const EPISODE: Duration = Duration::from_secs(6);
const FIRST: Duration = Duration::from_secs(2);
/// How many troubles overlap in one episode, where nothing else is asked for.
pub const TOGETHER: u64 = 3;
/// Troubles of one episode begin within this time, and last so long.
const SPREAD_MS: u64 = 1_200;
const LENGTH_MS: (u64, u64) = (600, 2_600);

/// Draws a timeline: episodes of so many troubles that overlap, with quiet between them.
pub fn draw(seed: u64, length: Duration, relays: usize, backends: usize, together: u64) -> Vec<Trouble> {
    let mut chance = Rand64::new(u128::from(seed) * 7_919 + 1);
    let mut timeline = Vec::new();
    let mut episode = FIRST;
    while episode + Duration::from_millis(SPREAD_MS + LENGTH_MS.1) < length {
        for _ in 0..together {
            let from = episode + Duration::from_millis(chance.rand_range(0..SPREAD_MS));
            let till = from + Duration::from_millis(chance.rand_range(LENGTH_MS.0..LENGTH_MS.1));
            timeline.push(Trouble { kind: one(&mut chance, relays, backends), from, till });
        }
        episode += EPISODE;
    }
    timeline.sort_by_key(|trouble| trouble.from);
    timeline
}

fn one(chance: &mut Rand64, relays: usize, backends: usize) -> Kind {
    let relay = chance.rand_range(0..relays as u64) as usize;
    let backend = chance.rand_range(0..backends as u64) as usize;
    let calls = |fault, value| Kind::Calls { relay, fault, value };
    let behave = |behaviour| Kind::Backend { backend, behaviour };
    let kinds = [
        calls(Fault::InterruptedIo, 30),
        calls(Fault::ShortIo, 400),
        calls(Fault::Connect, 1_000),
        calls(Fault::Socket, 1_000),
        calls(Fault::Connect, 200),
        calls(Fault::Accept, 1_000),
        calls(Fault::Accept, 100),
        calls(Fault::BrokenBackend, 10),
        calls(Fault::BrokenClient, 10),
        calls(Fault::WallClock, 3_600),
        calls(Fault::WallClock, -3_600),
        calls(Fault::InterruptedWait, 30),
        calls(Fault::Standstill, 30),
        calls(Fault::Sync, 1_000),
        calls(Fault::SlowSync, 5_000),
        calls(Fault::FileWrite, 1_000),
        Kind::Stop { relay },
        Kind::StopUnderClients { relay },
        Kind::Kill { relay },
        Kind::Pause { relay, each: Duration::from_millis(150) },
        Kind::Pause { relay, each: Duration::from_millis(3_000) },
        Kind::Reload { relay },
        Kind::StopBehindReload { relay },
        Kind::Replace { relay },
        Kind::Replace { relay },
        Kind::ClientsStopHalfWay,
        behave(Behaviour::Hangs),
        behave(Behaviour::Resets),
        behave(Behaviour::Busy),
        behave(Behaviour::Errs),
        behave(Behaviour::Trickles),
        behave(Behaviour::HalfAnswers),
        behave(Behaviour::DropsLater),
        Kind::ResetAll { backend },
        Kind::NoWay { backend },
        Kind::Link { backend, way: Way::Delays },
        Kind::Link { backend, way: Way::Stalls },
        Kind::Link { backend, way: Way::Drops },
        Kind::Link { backend, way: Way::Resets },
        Kind::Link { backend, way: Way::HalfLines },
        Kind::Link { backend, way: Way::SingleBytes },
        Kind::Drain { backend },
        Kind::Drain { backend },
        Kind::Join,
        Kind::Discovery { mode: Mode::Down },
        Kind::Discovery { mode: Mode::Turns },
        Kind::Discovery { mode: Mode::Silences },
        Kind::Discovery { mode: Mode::Slow },
        Kind::ClientsLeave,
        Kind::ClientsWriteSlowly,
        Kind::Storm,
    ];
    kinds[chance.rand_range(0..kinds.len() as u64) as usize]
}
