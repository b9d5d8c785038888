//! The tables `load`, `clients` and `bad` of a scenario: the rate at which clients arrive, and their
//! behaviour.
use super::{Fraction, Millis, NonNegative, Secs, Span};
use serde::Deserialize;

/// The rate at which clients request sessions.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// New clients per second, at all relays together.
    pub rate: NonNegative,
    /// Sessions that are already open at the beginning of the day; 0 by default.
    #[serde(default)]
    pub standing: usize,
    /// Amplitude of a sine wave of the rate, as a fraction of `rate`; 0 by default.
    #[serde(default)]
    pub wave: Fraction,
    /// Period of the sine wave; 10 s by default.
    #[serde(default = "default_wave_period")]
    pub wave_s: Secs,
    /// Changes of the rate, ordered by time; none by default.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
    /// Number of groups. Sessions of one group share work on a server, and are evenly distributed among the
    /// groups; 0, the default, means no groups.
    #[serde(default)]
    pub groups: u64,
}

/// A change of the rate of new clients.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time of the change, from the beginning of the day.
    pub at_s: Secs,
    /// The new rate, as a multiple of `Load::rate`.
    pub times: NonNegative,
}

fn default_wave_period() -> Secs {
    Span(10_000_000)
}

/// Behaviour of clients. Pairs of times are the bounds of a uniform distribution.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of retries of a client, after rejections and failed attempts, until a session is
    /// established; 2 by default.
    pub retries: u32,
    /// Delay before a retry, unless the Retry-After is longer; 22 to 180 ms by default. Two zeros mean that
    /// a client retries immediately.
    pub wait_ms: [Millis; 2],
    /// Delay before the reconnect of a session that broke or was migrated; 51 to 520 ms by default.
    pub rejoin_ms: [Millis; 2],
    /// Interval between messages of a session, more than 0; 2 s by default.
    pub message_s: Secs,
    /// Time for which the load balancer in front of the relays still sends connections to a dead relay; 1.9
    /// to 3.8 s by default.
    pub front_notice_s: [Secs; 2],
    /// Fraction of sessions that the server ends, with `BYE`; 0.3 by default.
    pub bye: Fraction,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: 2,
            wait_ms: [Span(22_000), Span(180_000)],
            rejoin_ms: [Span(51_000), Span(520_000)],
            message_s: Span(2_000_000),
            front_notice_s: [Span(1_900_000), Span(3_800_000)],
            bye: Fraction(0.3),
        }
    }
}

/// Clients that violate the protocol. They exist on sockets only.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bad {
    /// Violating clients per second, of all kinds together; 0 by default.
    pub rate: NonNegative,
    /// The kinds of violations; at least one if `rate` is over 0.
    pub sorts: Vec<BadSort>,
}

/// How a client violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadSort {
    /// Sends bytes that do not form a line.
    Noise,
    /// Sends 64 KiB without a line ending.
    Endless,
    /// Sends a first line in which one value is 4 MiB long.
    Huge,
    /// Requests a listener that does not exist.
    NoListener,
    /// Sends a timeout that is not a number, negative or huge.
    OddTime,
    /// Sends a first line without a session id.
    NoMark,
    /// Sends the id of another client's open session.
    OpenMark,
    /// Sends half a line and closes the connection.
    Half,
    /// Sends 300 first lines in one write, although a connection may have only one.
    Crowd,
    /// Repeats an invalid line as soon as it is answered.
    Again,
    /// Connects and sends nothing.
    Mute,
}
