//! Disruption budgets: how many targets of a scope may be unavailable at a time.
use crate::target::{FailureDomain, TargetKind};
use serde::{Deserialize, Serialize};

const PPM: u64 = 1_000_000;

/// The population of targets that a budget covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// All targets of the budget's kind.
    Fleet,
    /// The targets of each zone separately.
    Zone,
    /// The targets of each kind of machine separately.
    Kind,
    /// The targets of each group separately.
    Group,
}

impl Scope {
    /// The name of the scope in responses to operators.
    pub fn word(self) -> &'static str {
        match self {
            Scope::Fleet => "fleet",
            Scope::Zone => "zone",
            Scope::Kind => "kind",
            Scope::Group => "group",
        }
    }
}

/// A bound on unavailable targets. If both a count and a share are set, the lower one applies; if neither is
/// set, there is no bound.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Budget {
    /// The kind of targets that it counts.
    pub target_kind: TargetKind,
    /// The population over which targets are counted.
    pub scope: Scope,
    /// Maximum number of unavailable targets.
    pub max_count: Option<u32>,
    /// Maximum share of unavailable targets among the known targets of the scope, in millionths. The number
    /// is rounded down: with 5% of ten targets, no target may go out of service.
    pub max_share_ppm: Option<u32>,
}

impl Budget {
    /// How many targets of a population of this size may be unavailable; `usize::MAX` if there is no bound.
    pub fn max_unavailable(&self, population: usize) -> usize {
        let share = |ppm: u32| (population as u64 * u64::from(ppm) / PPM) as usize;
        let by_share = self.max_share_ppm.map_or(usize::MAX, share);
        let by_count = self.max_count.map_or(usize::MAX, |count| count as usize);
        by_share.min(by_count)
    }

    /// Returns whether targets in these two failure domains count against the same bound.
    pub fn counts_together(&self, one: &FailureDomain, other: &FailureDomain) -> bool {
        match self.scope {
            Scope::Fleet => true,
            Scope::Zone => one.zone == other.zone,
            Scope::Kind => one.kind == other.kind,
            Scope::Group => one.group == other.group,
        }
    }

    /// Describes the bound in a failure domain to operators, as in `1 relay of zone east`.
    pub fn describe(&self, domain: &FailureDomain, max_unavailable: usize) -> String {
        let kind = self.target_kind.word();
        match self.scope {
            Scope::Fleet => format!("{max_unavailable} {kind} of the fleet"),
            Scope::Zone => format!("{max_unavailable} {kind} of zone {}", domain.zone),
            Scope::Kind => format!("{max_unavailable} {kind} of kind {}", domain.kind),
            Scope::Group => format!("{max_unavailable} {kind} of group {}", domain.group),
        }
    }
}
