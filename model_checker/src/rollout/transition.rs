//! The transitions of the rollout model.
//!
//! A step is the update or the rollback of one backend. Its deployer, who installs the build, reports the
//! result with the command `MarkDone`.
use hallrelay_disruption::HealthState;
use std::fmt::{Display, Formatter};

/// A transition of the rollout model. Backends are identified by their positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A deployer reports the result of the step at a backend.
    ReportStep {
        /// The backend.
        backend: usize,
        /// Whether the step succeeded.
        succeeded: bool,
    },
    /// The leader observes the health of a backend.
    Observe {
        /// The backend.
        backend: usize,
        /// Its health.
        health: HealthState,
    },
    /// The leader analyzes a wave.
    Analyze {
        /// Whether the wave passes.
        passed: bool,
    },
    /// An operator halts the rollout.
    Halt,
    /// An operator resumes the rollout.
    Resume,
    /// An operator rolls the rollout back.
    RollBack,
    /// An operator takes the unplanned backend out of service, the only one that is in no wave.
    TakeOut,
    /// The unplanned backend returns to service.
    Return,
    /// The leader changes.
    LeaderChange,
}

impl Display for Transition {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        write!(f, "{self:?}")
    }
}
