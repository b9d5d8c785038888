//! Why a command or a plan is rejected. The texts are shown to operators.
use crate::command::VERSION;
use crate::limits::{
    MAX_BUDGETS, MAX_NAME_BYTES, MAX_PLAN_NAMES, MAX_REASON_BYTES, MAX_TARGETS, MAX_WAITING, MAX_WAVES,
};
use serde::{Deserialize, Serialize};

/// Why a command was rejected. A rejected command changes no budget, no lease and no rollout.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum CommandError {
    /// The target was never observed, or there is no rollout.
    #[error(
        "no such relay or backend is known to the leader or part of a rollout; check the name and the status"
    )]
    UnknownTarget,
    /// There are too many targets, requests or budgets, a name or reason is too long, a required name is
    /// empty, or a rollout plan is invalid.
    #[error(
        "limit exceeded; allowed are {MAX_TARGETS} targets, {MAX_WAITING} waiting requests, {MAX_BUDGETS} \
         budgets, names of 1 to {MAX_NAME_BYTES} bytes, reasons of at most {MAX_REASON_BYTES} bytes, and \
         plans with 1 to {MAX_WAVES} waves and at most {MAX_PLAN_NAMES} names"
    )]
    LimitExceeded,
    /// The lease id is not that of the current grant, or the command does not apply in the current state.
    #[error(
        "not possible in the current state of the lease or rollout, or for an old grant; check the status"
    )]
    Stale,
    /// The bytes are malformed, or of a version that this voter does not support.
    #[error(
        "the leader cannot decode the command: it is malformed, or the leader does not support this relay's \
         version {VERSION}; run the same build on all voters"
    )]
    UnsupportedVersion,
}

/// A rollout plan exceeds a limit, or a wave or a required text is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "invalid rollout plan: it must have 1 to {MAX_WAVES} waves, in each wave a name or a count or part \
     above 0, at most {MAX_PLAN_NAMES} names in all waves, and names, build and by of 1 to \
     {MAX_NAME_BYTES} bytes each"
)]
pub struct InvalidPlan;
