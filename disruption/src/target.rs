//! What a disruption is about: a relay or a backend, the failure domains it belongs to, and its health.
use serde::{Deserialize, Serialize};

/// What may be taken out of service, by its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// A relay, by its name in the fleet.
    Relay(String),
    /// A backend, by its id in discovery.
    Backend(String),
}

impl Target {
    /// The relay's name or the backend's id.
    pub fn name(&self) -> &str {
        let (Target::Relay(name) | Target::Backend(name)) = self;
        name
    }

    /// Whether it is a relay or a backend.
    pub fn kind(&self) -> TargetKind {
        match self {
            Target::Relay(_) => TargetKind::Relay,
            Target::Backend(_) => TargetKind::Backend,
        }
    }
}

/// As operators read it: `relay r1`, `backend b-1`.
impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} {}", self.kind().word(), self.name())
    }
}

/// Relays and backends are counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TargetKind {
    /// Relays of the fleet.
    Relay,
    /// Backends; `Server` in a plan's JSON.
    #[serde(rename = "Server")]
    Backend,
}

impl TargetKind {
    /// The word in answers to operators.
    pub fn word(self) -> &'static str {
        match self {
            TargetKind::Relay => "relay",
            TargetKind::Backend => "backend",
        }
    }
}

/// The failure domains that a target belongs to; an empty name is a domain like any other.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FailureDomain {
    /// Availability zone.
    pub zone: String,
    /// Kind of machine.
    pub kind: String,
    /// A group of relays, or a backend's cell.
    pub group: String,
}

/// The health of a target as the leader observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HealthState {
    /// Serving at full capacity.
    #[default]
    Up,
    /// Serving below full capacity after its start.
    WarmingUp,
    /// Dead, partitioned off, or leaving without a lease.
    Down,
    /// In no list any more: its lease is removed unless it holds a grant.
    Removed,
}

impl HealthState {
    /// The word in answers to operators.
    pub fn word(self) -> &'static str {
        match self {
            HealthState::Up => "up",
            HealthState::WarmingUp => "cold",
            HealthState::Down => "down",
            HealthState::Removed => "gone",
        }
    }
}
