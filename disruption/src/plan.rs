//! The plan of a rollout as submitted by operators. Its JSON keys are those of `POST /v1/release/start`.
use crate::analysis::AnalysisPolicy;
use crate::error::InvalidPlan;
use crate::limits::{MAX_NAME_BYTES, MAX_PLAN_NAMES, MAX_WAVES};
use crate::target::TargetKind;
use serde::{Deserialize, Serialize};

/// One wave of a rollout: the targets in `names`, and `count` plus `share_ppm` other targets. The others are
/// taken in the order of their names from the targets that no wave names and no earlier wave selected.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Wave {
    /// Names of targets that belong to this wave.
    pub names: Vec<String>,
    /// Number of targets to select in addition to `names`.
    pub count: u32,
    /// Number of targets to select in addition to `names` and `count`: a share of all known targets of the
    /// plan's kind, in millionths, rounded up.
    #[serde(rename = "part")]
    pub share_ppm: u32,
}

/// A rollout of one build to the relays or backends that its waves select.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// The name of the new build, chosen by the operator.
    pub build: String,
    /// The kind of targets to update.
    #[serde(rename = "of")]
    pub target_kind: TargetKind,
    /// The waves, in order.
    pub waves: Vec<Wave>,
    /// The conditions under which a wave passes.
    #[serde(rename = "judge")]
    pub analysis: AnalysisPolicy,
    /// The person who submits the plan.
    #[serde(rename = "by")]
    pub requested_by: String,
}

impl RolloutPlan {
    /// Checks the plan against the limits. Each wave must name a target or have a count or share above 0.
    /// The text of [`InvalidPlan`] lists all conditions, not the one that is not met.
    pub fn validate(&self) -> Result<(), InvalidPlan> {
        let fits = |text: &String| !text.is_empty() && text.len() <= MAX_NAME_BYTES;
        let selects = |wave: &Wave| !wave.names.is_empty() || wave.count > 0 || wave.share_ppm > 0;
        let names = self.waves.iter().flat_map(|wave| &wave.names);
        let valid = fits(&self.build)
            && fits(&self.requested_by)
            && (1..=MAX_WAVES).contains(&self.waves.len())
            && self.waves.iter().all(selects)
            && names.clone().count() <= MAX_PLAN_NAMES
            && names.clone().all(fits);
        valid.then_some(()).ok_or(InvalidPlan)
    }

    /// Returns whether any wave names this target.
    pub(crate) fn is_named(&self, name: &str) -> bool {
        self.waves.iter().any(|wave| wave.names.iter().any(|named| named == name))
    }
}
