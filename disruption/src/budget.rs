//! How many may be out at a time.
use crate::{Kind, Place};
use serde::{Deserialize, Serialize};

/// Among whom a budget counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    Fleet,
    /// Each zone, kind of machine, or group, by itself.
    Zone,
    Kind,
    Group,
}

/// At most `count`, and at most a part of those who are known, in millionths; what is left out bounds
/// nothing. The part is rounded down, so that a small fleet keeps all it has.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Budget {
    pub of: Kind,
    pub scope: Scope,
    pub count: Option<u32>,
    pub part: Option<u32>,
}

impl Budget {
    /// The most that may be out of so many.
    pub fn allows(&self, of: usize) -> usize {
        let part = self.part.map(|part| (of as u64 * u64::from(part) / 1_000_000) as usize);
        let count = self.count.map(|count| count as usize);
        part.unwrap_or(usize::MAX).min(count.unwrap_or(usize::MAX))
    }

    /// Whether one at `there` counts among those of `here`.
    pub fn joins(&self, here: &Place, there: &Place) -> bool {
        match self.scope {
            Scope::Fleet => true,
            Scope::Zone => here.zone == there.zone,
            Scope::Kind => here.kind == there.kind,
            Scope::Group => here.group == there.group,
        }
    }

    /// For people: `1 relay of zone east`.
    pub fn words(&self, place: &Place, allows: usize) -> String {
        let of = self.of.word();
        match self.scope {
            Scope::Fleet => format!("{allows} {of} of the fleet"),
            Scope::Zone => format!("{allows} {of} of zone {}", place.zone),
            Scope::Kind => format!("{allows} {of} of kind {}", place.kind),
            Scope::Group => format!("{allows} {of} of group {}", place.group),
        }
    }
}
