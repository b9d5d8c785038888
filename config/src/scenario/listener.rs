//! The tables `listener` of a scenario: the sessions of one listener, with load, objectives and idempotency.
use super::{Millis, NonNegative, Secs, Span};
use hallrelay_balancer::types::{Idempotency, KeyScope};
use serde::Deserialize;

/// One listener. A session of the usual load, 1.0, uses `1 / servers.per_core` of a core of speed 1.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Unique name, of ASCII letters, digits, `-` and `_`.
    pub name: String,
    /// Share of new sessions, relative to the shares of the other listeners. At least one share is over 0.
    pub share: NonNegative,
    /// Priority weight per second of a session.
    pub utility: NonNegative,
    /// Latency objective from the request to the established session.
    pub handshake_target_ms: Millis,
    /// Timeout that clients request: more than 0, and at least `handshake_target_ms`.
    pub dial_timeout_ms: Millis,
    /// Latency objective of a message.
    pub message_target_ms: Millis,
    /// Mean load of a session, in usual sessions, more than 0; 1 by default.
    #[serde(default = "usual_load")]
    pub load: NonNegative,
    /// Log-normal spread between sessions: standard deviation of the load's logarithm; 1 by default.
    #[serde(default = "usual_load")]
    pub load_sigma: NonNegative,
    /// Mean time between changes of a session's load; 10 s by default. 0 means no changes.
    #[serde(default = "default_change_interval")]
    pub change_s: Secs,
    /// Log-normal spread of those changes: standard deviation of the load's logarithm; 0.4 by default.
    #[serde(default = "default_change_sigma")]
    pub swing_sigma: NonNegative,
    /// Mean duration of a session, more than 0. Durations are exponentially distributed, but at least 0.2 s.
    pub life_s: Secs,
    /// Whether a session may be dialled again; repeatable by default.
    #[serde(default)]
    pub repeat: Repeatability,
    /// Servers that recognize an idempotency key, for `repeat = "referenced"`; all by default.
    #[serde(default)]
    pub within: IdempotencyScope,
    /// Time for which servers recognize an idempotency key, for `repeat = "referenced"`; 5 s by default.
    #[serde(default = "default_window")]
    pub window_ms: Millis,
}

fn usual_load() -> NonNegative {
    NonNegative(1.0)
}

fn default_change_interval() -> Secs {
    Span(10_000_000)
}

fn default_change_sigma() -> NonNegative {
    NonNegative(0.4)
}

fn default_window() -> Millis {
    Span(5_000_000)
}

/// Whether a session may be dialled again after a dial whose request a server may have executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatability {
    /// Idempotent: always.
    #[default]
    Repeatable,
    /// It has an idempotency key: within the scope and window of that key.
    Referenced,
    /// Not idempotent: never.
    OnceOnly,
}

/// Scope of an idempotency key: the servers that recognize it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyScope {
    /// All servers.
    #[default]
    All,
    /// The servers in the zone of the first dial.
    Zone,
    /// The servers in the cell of the first dial.
    Cell,
}

impl Listener {
    /// The listener's idempotency in the form of the balancer.
    pub fn idempotency(&self) -> Idempotency {
        let scope = match self.within {
            IdempotencyScope::All => KeyScope::All,
            IdempotencyScope::Zone => KeyScope::Zone,
            IdempotencyScope::Cell => KeyScope::Cell,
        };
        match self.repeat {
            Repeatability::Repeatable => Idempotency::Idempotent,
            Repeatability::Referenced => Idempotency::Keyed { scope, window: self.window_ms.us() },
            Repeatability::OnceOnly => Idempotency::NonIdempotent,
        }
    }
}
