//! The tables `listener` of a scenario. Each describes one listener, a class of sessions, with the load, the
//! objectives and the idempotency of its sessions.
use super::{Millis, NonNegative, Secs, Span};
use hallrelay_balancer::types::{Idempotency, KeyScope};
use serde::Deserialize;

/// One listener. Loads are multiples of the usual session, which has the load 1.0. `servers.per_core` usual
/// sessions together use one core of speed 1.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Unique name, of ASCII letters, digits, `-` and `_`.
    pub name: String,
    /// Share of new sessions, relative to the shares of the other listeners. At least one share is over 0.
    pub share: NonNegative,
    /// Priority weight of each second of a session.
    pub utility: NonNegative,
    /// Latency objective for the time from a client's request to its established session.
    pub handshake_target_ms: Millis,
    /// Timeout that clients request: more than 0, and at least `handshake_target_ms`.
    pub dial_timeout_ms: Millis,
    /// Latency objective of a message.
    pub message_target_ms: Millis,
    /// Mean load of the sessions, more than 0; 1 by default. `load_sigma` and `swing_sigma` vary it.
    #[serde(default = "default_load")]
    pub load: NonNegative,
    /// Variation between sessions. Each client multiplies `load` by a log-normal factor of mean 1; this is
    /// the standard deviation of the factor's logarithm; 1 by default.
    #[serde(default = "default_load_sigma")]
    pub load_sigma: NonNegative,
    /// Mean time between changes of the load of one session; 10 s by default. 0 means no changes.
    #[serde(default = "default_change_interval")]
    pub change_s: Secs,
    /// Variation within a session. Each change multiplies the session's own mean load by a log-normal
    /// factor of mean 1; this is the standard deviation of the factor's logarithm; 0.4 by default.
    #[serde(default = "default_change_sigma")]
    pub swing_sigma: NonNegative,
    /// Mean duration of a session, more than 0. Durations are exponentially distributed, but at least 0.2 s.
    pub life_s: Secs,
    /// Whether a session may be dialled again; repeatable by default.
    #[serde(default)]
    pub repeat: Repeatability,
    /// Servers that recognize the idempotency key of a repeated request; all by default. It applies only
    /// with `repeat = "referenced"`.
    #[serde(default)]
    pub within: IdempotencyScope,
    /// Time for which servers recognize the idempotency key of a request; 5 s by default. It applies only
    /// with `repeat = "referenced"`.
    #[serde(default = "default_window")]
    pub window_ms: Millis,
}

fn default_load() -> NonNegative {
    NonNegative(1.0)
}

fn default_load_sigma() -> NonNegative {
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
    /// Requests are idempotent: always.
    #[default]
    Repeatable,
    /// Requests refer to an idempotency key: yes, at servers of its scope (`within`) and until its window
    /// (`window_ms`) ends.
    Referenced,
    /// Requests are not idempotent: never.
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
