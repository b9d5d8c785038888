//! Why a command or a plan is rejected. The texts are shown to operators.
use crate::limits::{MAX_NAME_BYTES, MAX_PLAN_NAMES, MAX_WAVES};
use serde::{Deserialize, Serialize};

/// Why a command was rejected; a rejected command changes nothing.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum CommandError {
    /// The target was never observed, or there is no rollout.
    #[error("nobody knows it")]
    UnknownTarget,
    /// Too many targets, requests or budgets, or too long a name.
    #[error("too many wait, or a name is too long")]
    LimitExceeded,
    /// The lease id is not the current one, or the command does not apply in the present state.
    #[error("that means nothing as it stands now")]
    Stale,
    /// Bytes that are malformed, or of a version that this voter does not read.
    #[error("the leader does not read this relay's version")]
    UnsupportedVersion,
}

/// A rollout plan that exceeds a limit or has an empty part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "1 to {MAX_WAVES} waves, {MAX_PLAN_NAMES} names, and names, build and by of 1 to {MAX_NAME_BYTES} bytes"
)]
pub struct InvalidPlan;
