//! A scenario's tables `listener`: the sessions of one listener, their load, targets and idempotency.
use super::{Millis, Num, Secs, Span};
use hallrelay_balancer::types::{Idempotency, KeyScope};
use serde::Deserialize;

/// Sessions of one listener, and what they are to the relay.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    pub name: String,
    pub share: Num,
    /// Of a second.
    pub utility: Num,
    pub handshake_target_ms: Millis,
    pub dial_timeout_ms: Millis,
    pub message_target_ms: Millis,
    /// The mean of a session's load, in usual sessions, and how far sessions differ (of its logarithm).
    #[serde(default = "usual")]
    pub load: Num,
    #[serde(default = "usual")]
    pub load_sigma: Num,
    /// How often a session's load changes, in the mean, and by how much (of its logarithm).
    #[serde(default = "drift")]
    pub change_s: Secs,
    #[serde(default = "swing")]
    pub swing_sigma: Num,
    pub life_s: Secs,
    #[serde(default)]
    pub repeat: Sort,
    #[serde(default)]
    pub within: Ring,
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

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sort {
    #[default]
    Repeatable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ring {
    #[default]
    All,
    Zone,
    Cell,
}

impl Listener {
    pub fn repeats(&self) -> Idempotency {
        let scope = [KeyScope::All, KeyScope::Zone, KeyScope::Cell][self.within as usize];
        match self.repeat {
            Sort::Repeatable => Idempotency::Idempotent,
            Sort::Referenced => Idempotency::Keyed { scope, window: self.window_ms.us() },
            Sort::OnceOnly => Idempotency::NonIdempotent,
        }
    }
}
