//! What the decision module is told, what it may do, and the facts of its site.
//! Times are whole microseconds on the host's clock; ids are the host's own.

pub type Micros = u64;
pub type SessId = u32;
pub type ServerId = u32;

/// What running a session's dial twice would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    #[default]
    Repeatable,
    /// Repeats are dropped inside the group, for `window` after the first dial that may have run.
    Referenced {
        within: Within,
        window: Micros,
    },
    OnceOnly,
}

/// The backends among which a referenced session's repeat is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Within {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listener {
    pub utility: f64,
    pub repeat: Repeat,
    pub handshake_target: Micros,
    pub message_target: Micros,
}

/// What the site tells an instance at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteFacts {
    pub listeners: Vec<Listener>,
    pub relays: u32,
    pub slot: u32,
    pub zone: u8,
    pub must_watch: bool,
    pub may_probe: bool,
    pub groups: bool,
    pub most_dials: u32,
    pub max_open: u32,
    /// Longest retry-after that a client heeds; none where it is not conveyed.
    pub retry_after: Option<Micros>,
    pub cold: Micros,
    pub cold_from: f64,
    pub fall_multiple: f64,
    /// How long a cold server bears more than its multiple before it falls over.
    pub fall: Micros,
    /// Prices, as parts of the whole result: a session across zones, a move and a probe for each session.
    pub price_crossing: f64,
    pub price_move: f64,
    pub price_probe: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Load asked over what the server can do.
    pub load: Option<f64>,
    /// Work piled up, in seconds.
    pub piled: Option<f64>,
    /// Sessions that the server holds, of all relays.
    pub held: Option<f64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    pub server: ServerId,
    pub phase: Phase,
    /// Clock time of the last start; 0 is long ago.
    pub came_up: Micros,
    pub zone: u8,
    pub cell: u16,
}

impl Entry {
    pub fn ready(&self) -> bool {
        self.phase == Phase::Ready
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Full,
    Changes,
    /// The call got no answer, or the watch broke.
    Broken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialEnd {
    Ok,
    /// Answered with an error: it may have run.
    Error,
    /// Turned away unseen: it never ran.
    Full,
    Timeout,
    /// No connection came about: it never ran.
    Unconnected,
    Reset,
    Recalled,
    /// Not sent at all.
    Moot,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Asked {
    pub listener: usize,
    /// The client's own mark: a session that comes again carries the same; 0 is none.
    pub key: u64,
    /// Sessions of one group share work on a server; 0 is none.
    pub group: u64,
    /// The client is back after an interruption or a move.
    pub returned: bool,
    /// What is left of its dial timeout.
    pub left: Micros,
}

/// What a relay knows of a server, for the process that goes on in its place. Times are ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Memory {
    pub server: ServerId,
    pub report: Option<(Micros, Report)>,
    pub misses: u32,
    /// Sessions placed there of late, less those that left.
    pub placed: f64,
    /// Its last turn at the cold server, and what part of a pause the next one takes.
    pub turn: (Micros, f64),
}

#[derive(Clone, Debug)]
pub enum Input {
    /// The site's facts have changed; sessions keep the rules that they came under.
    Facts(Box<SiteFacts>),
    /// What another process knew, whose place this relay takes; `step`, one session's part of a server.
    Remember {
        step: f64,
        servers: Vec<Memory>,
    },
    List {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    Asked {
        sess: SessId,
        asked: Asked,
    },
    AlreadyOpen {
        sess: SessId,
        server: ServerId,
        asked: Asked,
    },
    Stands {
        sess: SessId,
        dial: u32,
    },
    /// The session's load now.
    Load {
        sess: SessId,
        load: f64,
    },
    /// Seconds that a message takes at the session's server now.
    Delay {
        sess: SessId,
        delay: f64,
    },
    DialEnded {
        sess: SessId,
        dial: u32,
        end: DialEnd,
        settled: bool,
        report: Option<Report>,
    },
    /// Its last dial could not be begun by this machine: it takes no part of the session's dials.
    NotBegun {
        sess: SessId,
        dial: u32,
    },
    Left {
        sess: SessId,
    },
    Probed {
        server: ServerId,
        end: DialEnd,
        report: Option<Report>,
    },
    Alarm {
        label: u32,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// `window`: what is left for the line to go out where rule 2 bounds that.
    Dial {
        sess: SessId,
        server: ServerId,
        wait: Micros,
        window: Option<Micros>,
    },
    Refuse {
        sess: SessId,
        retry_after: Micros,
    },
    TearDown {
        sess: SessId,
    },
    Move {
        sess: SessId,
    },
    Probe {
        server: ServerId,
    },
    Alarm {
        after: Micros,
        label: u32,
    },
    Watch,
}
