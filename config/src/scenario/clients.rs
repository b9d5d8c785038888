//! The tables `load`, `clients` and `bad` of a scenario: how many clients connect, and how they behave.
use super::listener::drift;
use super::{Millis, Num, Part, Secs, Span};
use serde::Deserialize;

/// How many sessions clients request.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// New clients in a second, at all relays together.
    pub rate: Num,
    /// Sessions that are open before the day begins; 0 by default.
    #[serde(default)]
    pub standing: usize,
    /// Amplitude of a sine wave of the rate, as a fraction of the rate; 0 by default.
    #[serde(default)]
    pub wave: Part,
    /// Period of that wave; 10 s by default.
    #[serde(default = "drift")]
    pub wave_s: Secs,
    /// Changes of the rate, in the order of their times; none by default.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
    /// Groups that sessions belong to, evenly distributed; 0, the default, is no groups.
    #[serde(default)]
    pub groups: u64,
}

/// A change of the rate of new clients.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// From when on it holds, from the day's beginning.
    pub at_s: Secs,
    /// The rate from then on, as a multiple of `Load::rate`.
    pub times: Num,
}

/// How clients behave. A pair of times bounds an evenly distributed one.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Retries of a client after rejections and failed attempts, until a session is established; 2 by
    /// default.
    pub retries: u32,
    /// Wait before a retry, or the Retry-After where that is longer; 22 to 180 ms by default.
    pub wait_ms: [Millis; 2],
    /// Wait before a reconnect after a session broke or was migrated; 51 to 520 ms by default.
    pub rejoin_ms: [Millis; 2],
    /// Interval of the messages of a session, more than 0; 2 s by default.
    pub message_s: Secs,
    /// How long the load balancer in front sends connections to a relay that has died; 1.9 to 3.8 s by
    /// default.
    pub front_notice_s: [Secs; 2],
    /// Fraction of sessions that their server ends, with `BYE`; 0.3 by default.
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

/// Clients that violate the protocol; on sockets only.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bad {
    /// Such clients in a second; 0 by default.
    pub rate: Num,
    /// Their kinds, one at least where there is a rate.
    pub sorts: Vec<BadSort>,
}

/// How a client violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BadSort {
    /// Sends bytes that are no line.
    Noise,
    /// Sends 64 KiB without the end of a line.
    Endless,
    /// Sends a line with a value of 4 MiB.
    Huge,
    /// Names a listener that does not exist.
    NoListener,
    /// States a timeout that is no number, negative or huge.
    OddTime,
    /// Sends a first line without a session id.
    NoMark,
    /// Sends the id of another client's open session.
    OpenMark,
    /// Sends half a line and closes.
    Half,
    /// Sends 300 first lines at once.
    Crowd,
    /// Repeats its invalid line as soon as it is answered.
    Again,
    /// Connects and sends nothing.
    Mute,
}
