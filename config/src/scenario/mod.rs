//! A day for the emulator, as TOML: servers, relays, load, clients, troubles. Read whole and checked before
//! anything starts; every complaint names file, line and key.
mod check;
mod listener;
mod read;
mod servers;
mod trouble;
mod units;

pub use listener::{Listener, Ring, Sort};
pub use read::{parse, ScenarioError};
pub use servers::{Drains, Kind, Servers, Warms};
pub use trouble::{Fault, Trouble, TroubleKind};
pub use units::{Millis, Num, Part, Secs, Span};

use listener::drift;
use serde::Deserialize;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default = "one")]
    pub seed: u64,
    pub length_s: Secs,
    #[serde(default)]
    pub relays: Relays,
    pub servers: Servers,
    #[serde(rename = "listener")]
    pub listeners: Vec<Listener>,
    pub load: Load,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub bad: Bad,
    #[serde(default)]
    pub list: ListService,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub goal: Goal,
    #[serde(default)]
    pub net: Net,
    #[serde(default, rename = "trouble")]
    pub troubles: Vec<Trouble>,
}

fn one() -> u64 {
    1
}

/// Real relays, each a process of its own (or a reducer of its own in virtual time).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Relays {
    pub count: usize,
    /// Descriptors that each is told it may hold.
    pub sockets: usize,
    /// Where the first one listens; 0 takes free ports. Each further one takes the next port.
    pub first_port: u16,
    /// Of the dials of a session.
    pub most_dials: u32,
    pub may_probe: bool,
    /// A connection to a server that is not up by then counts as not made.
    pub connect_timeout_ms: Millis,
    /// Whether they know each other, and how many of them are in everybody's list to begin with.
    pub fleet: bool,
    pub seeds: usize,
    /// The longest time after which a refused client may be told to come again; 0 where relays may tell none.
    pub retry_after_ms: Millis,
    /// Whether they keep what they must know across restarts.
    pub state: bool,
    /// How many of them agree on who may be out, the first ones; 0 is none. They keep what they must know.
    pub voters: usize,
    /// How many may be out at a time, by what is agreed.
    pub out: u32,
    /// Which list stands in the configuration of one that starts: the newest, or that of the day's beginning.
    pub known: KnownList,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum KnownList {
    #[default]
    Newest,
    First,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays {
            count: 2,
            sockets: 1024,
            first_port: 0,
            most_dials: 5,
            may_probe: true,
            connect_timeout_ms: Span(250_000),
            fleet: false,
            seeds: 3,
            retry_after_ms: Span(0),
            state: false,
            voters: 0,
            out: 1,
            known: KnownList::Newest,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// New clients in a second, all relays together.
    pub rate: Num,
    /// Sessions that stand before the day begins.
    #[serde(default)]
    pub standing: usize,
    /// A wave: so large a part up and down, over such a period.
    #[serde(default)]
    pub wave: Part,
    #[serde(default = "drift")]
    pub wave_s: Secs,
    /// From then on the rate is so many times the first one.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
    /// Groups that the sessions belong to; 0 is none.
    #[serde(default)]
    pub groups: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at_s: Secs,
    pub times: Num,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Times that a client asks again after it was turned away or got no answer.
    pub retries: u32,
    /// How long it waits before that; both 0 is at once.
    pub wait_ms: [Millis; 2],
    /// When it comes again after a break or a move.
    pub rejoin_ms: [Millis; 2],
    pub message_s: Secs,
    /// How long the front goes on dealing connections to a relay that has died.
    pub front_notice_s: [Secs; 2],
    /// The part of sessions that the server ends, with `BYE`.
    pub bye: Part,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: 2,
            wait_ms: [Span(22_000), Span(180_000)],
            rejoin_ms: [Span(51_000), Span(520_000)],
            message_s: Span(2_000_000),
            front_notice_s: [Span(1_900_000), Span(3_800_000)],
            bye: Part(0.3),
        }
    }
}

/// Clients that speak no protocol, so many a second of each sort that is named.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bad {
    pub rate: Num,
    pub sorts: Vec<BadSort>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadSort {
    /// Bytes that are no line.
    Noise,
    /// A line without end.
    Endless,
    /// A value of megabytes.
    Huge,
    /// A listener that does not exist.
    NoListener,
    /// A dial timeout that is no number, negative or huge.
    OddTime,
    /// No mark.
    NoMark,
    /// The mark of another client's open session.
    OpenMark,
    /// Half a line and a close.
    Half,
    /// Hundreds of lines at once.
    Crowd,
    /// The same line again as soon as it is turned away.
    Again,
    /// A connection that says nothing.
    Mute,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListService {
    /// When the list tells of a server that ends or drains, one that vanished, and one that is back.
    pub notice_s: [Secs; 2],
    pub silent_notice_s: [Secs; 2],
    pub add_s: [Secs; 2],
    /// Whether relays have to watch; else they are told unasked.
    pub watched: bool,
}

impl Default for ListService {
    fn default() -> ListService {
        ListService {
            notice_s: [Span(1_400_000), Span(4_500_000)],
            silent_notice_s: [Span(6_800_000), Span(14_000_000)],
            add_s: [Span(390_000), Span(1_900_000)],
            watched: true,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub drain_grace_ms: Millis,
    pub fall_multiple: Num,
    pub fall_s: Secs,
    pub ask_within_s: Secs,
    /// What the auditor adds to each time of a rule, for the way there.
    pub slack_ms: Millis,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace_ms: Span(250_000),
            fall_multiple: Num(3.0),
            fall_s: Span(2_000_000),
            ask_within_s: Span(10_000_000),
            slack_ms: Span(50_000),
        }
    }
}

/// What the service figure is made of, and its prices, as parts of the whole.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Goal {
    pub whole: Part,
    pub worst_window: Part,
    pub worst_listener: Part,
    pub price_move: Part,
    pub price_probe: Part,
    pub price_handshake: Part,
    pub price_waste: Part,
}

impl Default for Goal {
    fn default() -> Goal {
        Goal {
            whole: Part(0.35),
            worst_window: Part(0.45),
            worst_listener: Part(0.2),
            price_move: Part(0.021),
            price_probe: Part(0.002),
            price_handshake: Part(0.0),
            price_waste: Part(0.065),
        }
    }
}

/// Times on the way, in virtual time; sockets have their own.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    pub client_ms: Millis,
    pub server_ms: Millis,
}

impl Default for Net {
    fn default() -> Net {
        Net { client_ms: Span(50), server_ms: Span(50) }
    }
}

impl Scenario {
    pub fn server_count(&self) -> usize {
        self.servers.kinds.iter().map(|kind| kind.count).sum()
    }

    /// Sessions that are open at once when nothing goes wrong and the rate is at its highest.
    pub fn most_open(&self) -> f64 {
        let shares: f64 = self.listeners.iter().map(|l| l.share.0).sum();
        let life: f64 = self.listeners.iter().map(|l| l.share.0 * l.life_s.us() as f64 / 1e6).sum::<f64>();
        let bursts = self.troubles.iter().filter(|t| t.kind == TroubleKind::Burst).map(|t| t.strength.0);
        let times = self.load.steps.iter().map(|s| s.times.0).chain(bursts).fold(1.0, f64::max);
        let length = self.length_s.us() as f64 / 1e6;
        let rate = self.load.rate.0 * times * (1.0 + self.load.wave.0);
        (rate * (life / shares.max(1e-9)).min(length)).max(self.load.standing as f64)
    }
}
