//! The transitions of the model.
use hallrelay_disruption::HealthState;
use std::fmt::{Display, Formatter};

/// A transition of the model. Backends are given by their positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A deployer reports a step as done or failed.
    ReportStep {
        /// The backend.
        backend: usize,
        /// The step is done.
        succeeded: bool,
    },
    /// The leader observes the health of a backend.
    Observe {
        /// The backend.
        backend: usize,
        /// Its health.
        health: HealthState,
    },
    /// The leader has analyzed a wave.
    Analyze {
        /// The wave is as good as before.
        passed: bool,
    },
    /// An operator halts the rollout.
    Halt,
    /// An operator resumes the rollout.
    Resume,
    /// An operator rolls the rollout back.
    RollBack,
    /// An operator takes out the backend that is in no wave.
    TakeOut,
    /// The backend that is in no wave is back.
    Return,
    /// The leader changes.
    LeaderChange,
}

impl Display for Transition {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        write!(f, "{self:?}")
    }
}
