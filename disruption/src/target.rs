//! The target of a disruption, which is a relay or a backend, with its failure domains and its health.
use serde::{Deserialize, Serialize};

/// A relay or backend that may be taken out of service.
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

    /// The kind of target.
    pub fn kind(&self) -> TargetKind {
        match self {
            Target::Relay(_) => TargetKind::Relay,
            Target::Backend(_) => TargetKind::Backend,
        }
    }
}

/// Formats the target for operators, as in `relay r1` or `backend b-1`.
impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} {}", self.kind().word(), self.name())
    }
}

/// The kind of a target. Budgets count relays and backends separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TargetKind {
    /// Relays of the fleet.
    Relay,
    /// Backends; `Server` in a plan's JSON.
    #[serde(rename = "Server")]
    Backend,
}

impl TargetKind {
    /// The name of the kind in responses to operators.
    pub fn word(self) -> &'static str {
        match self {
            TargetKind::Relay => "relay",
            TargetKind::Backend => "backend",
        }
    }
}

/// The failure domains that a target belongs to: one zone, one kind of machine and one group, by name.
/// Targets with the same name of a zone, kind or group share that domain, also if the name is empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FailureDomain {
    /// The availability zone.
    pub zone: String,
    /// The kind of machine. It is not the [`TargetKind`].
    pub kind: String,
    /// The group of a relay, or the cell of a backend.
    pub group: String,
}

/// The health of a target as the leader observes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HealthState {
    /// The target serves at full capacity.
    #[default]
    Up,
    /// The target serves below full capacity after its start.
    WarmingUp,
    /// The target is dead, partitioned, or leaving without a lease.
    Down,
    /// The target is no longer listed. Its lease is removed unless it holds a grant.
    Removed,
}

impl HealthState {
    /// The name of the health state in responses to operators.
    pub fn word(self) -> &'static str {
        match self {
            HealthState::Up => "up",
            HealthState::WarmingUp => "cold",
            HealthState::Down => "down",
            HealthState::Removed => "gone",
        }
    }
}
