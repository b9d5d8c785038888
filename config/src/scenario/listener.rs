//! The tables `listener` of a scenario: the sessions of one listener, their load, objectives and idempotency.
use super::{Millis, Num, Secs, Span};
use hallrelay_balancer::types::{Idempotency, KeyScope};
use serde::Deserialize;

/// One listener. A session of the usual load, 1.0, fills `1 / servers.per_core` of a core of speed 1.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Its name: ASCII letters, digits, `-` and `_`; unique.
    pub name: String,
    /// Its part of all new sessions, relative to the shares of the other listeners; one of them is over 0.
    pub share: Num,
    /// Its priority weight, by second of a session.
    pub utility: Num,
    /// Latency objective from the request to the established session.
    pub handshake_target_ms: Millis,
    /// Timeout that clients state: more than 0, no shorter than the handshake objective.
    pub dial_timeout_ms: Millis,
    /// Latency objective of a message.
    pub message_target_ms: Millis,
    /// Mean load of a session, in usual sessions, more than 0; 1 by default.
    #[serde(default = "usual")]
    pub load: Num,
    /// Log-normal spread between sessions: the standard deviation of the load's logarithm; 1 by default.
    #[serde(default = "usual")]
    pub load_sigma: Num,
    /// Mean time between two changes of a session's load; 10 s by default, 0 is no changes.
    #[serde(default = "drift")]
    pub change_s: Secs,
    /// Log-normal spread of those changes: the standard deviation of the load's logarithm; 0.4 by default.
    #[serde(default = "swing")]
    pub swing_sigma: Num,
    /// Mean length of a session, exponentially distributed, 0.2 s at least; more than 0.
    pub life_s: Secs,
    /// Whether a session may be dialled again; repeatable by default.
    #[serde(default)]
    pub repeat: Sort,
    /// Where servers know an idempotency key, for `repeat = "referenced"`; everywhere by default.
    #[serde(default)]
    pub within: Ring,
    /// How long servers know an idempotency key, for `repeat = "referenced"`; 5 s by default.
    #[serde(default = "window")]
    pub window_ms: Millis,
}

fn usual() -> Num {
    Num(1.0)
}

pub(super) fn drift() -> Secs {
    Span(10_000_000)
}

fn swing() -> Num {
    Num(0.4)
}

fn window() -> Millis {
    Span(5_000_000)
}

/// Whether a session may be dialled again after a dial that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sort {
    /// Idempotent: always.
    #[default]
    Repeatable,
    /// With an idempotency key: within its scope and window.
    Referenced,
    /// Not idempotent: never.
    OnceOnly,
}

/// The servers that know an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ring {
    /// All servers.
    #[default]
    All,
    /// Those of the zone of the first dial.
    Zone,
    /// Those of the cell of the first dial.
    Cell,
}

impl Listener {
    /// The rule of its retries, as the balancer has it.
    pub fn repeats(&self) -> Idempotency {
        let scope = match self.within {
            Ring::All => KeyScope::All,
            Ring::Zone => KeyScope::Zone,
            Ring::Cell => KeyScope::Cell,
        };
        match self.repeat {
            Sort::Repeatable => Idempotency::Idempotent,
            Sort::Referenced => Idempotency::Keyed { scope, window: self.window_ms.us() },
            Sort::OnceOnly => Idempotency::NonIdempotent,
        }
    }
}
