//! The commands of the replicated log, their encoding, and the outcome of applying one.
use crate::budget::Budget;
use crate::error::CommandError;
use crate::limits::{MAX_BUDGETS, MAX_NAME_BYTES, MAX_REASON_BYTES};
use crate::plan::RolloutPlan;
use crate::target::{FailureDomain, HealthState, Target};
use serde::{Deserialize, Serialize};

/// Version of the encodings of commands and states, and of what commands do. Raised with each change that an
/// older voter would apply differently: a voter that meets a later version stops applying, so all voters get
/// a new build before its new commands are used.
pub const VERSION: u8 = 1;

/// One command of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Replaces all budgets.
    SetBudgets(Vec<Budget>),
    /// What the leader observes of a target; `HealthState::Removed` removes it.
    Observe {
        /// Who was observed.
        target: Target,
        /// Where it is.
        domain: FailureDomain,
        /// How it does.
        health: HealthState,
    },
    /// Requests a lease. The request id is an idempotency key: a request repeated with it is the same
    /// request.
    Request {
        /// What is to go out of service.
        target: Target,
        /// The idempotency key; `u64::MAX` is the rollout's.
        request_id: u64,
        /// The person who requests it.
        requested_by: String,
        /// Why.
        reason: String,
        /// Whether the budgets are ignored.
        force: bool,
    },
    /// The requester waits no more.
    Withdraw {
        /// What was requested.
        target: Target,
        /// The request's id.
        request_id: u64,
    },
    /// The holder goes out of service; it does so once this is committed, and no sooner.
    Begin {
        /// The holder.
        target: Target,
        /// The grant.
        lease_id: u64,
    },
    /// A grant that was not begun in time ends.
    Expire {
        /// Its holder.
        target: Target,
        /// The grant.
        lease_id: u64,
    },
    /// Ends a disruption: the target returns to service, or has returned.
    Return {
        /// Who returns.
        target: Target,
    },
    /// A person vouches that the target is not out of service any more.
    Reclaim {
        /// The target.
        target: Target,
        /// The person, by name.
        requested_by: String,
    },
    /// Starts a rollout, where none is in progress.
    StartRollout {
        /// Its plan.
        plan: RolloutPlan,
    },
    /// A target that was out for the rollout was updated, or could not be.
    MarkDone {
        /// The target.
        target: Target,
        /// The grant under which it was out.
        lease_id: u64,
        /// Whether it was updated.
        succeeded: bool,
        /// Why not; empty where it was.
        reason: String,
    },
    /// The leader's analysis of a wave.
    RecordAnalysis {
        /// The wave, from 0.
        wave: u64,
        /// Whether the rollout may go on.
        passed: bool,
        /// The counts, for operators.
        reason: String,
    },
    /// Halts the rollout: nothing begins from here on.
    Halt {
        /// The person who halts it.
        requested_by: String,
        /// Why.
        reason: String,
    },
    /// Resumes a halted rollout in the direction it had.
    Resume {
        /// The person who resumes it.
        requested_by: String,
    },
    /// Rolls back all that was updated, the latest first.
    RollBack {
        /// The person who rolls it back.
        requested_by: String,
    },
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Applied.
    Done,
    /// The request is granted.
    Granted {
        /// The grant to begin.
        lease_id: u64,
    },
    /// The target is out of service already, for the same request.
    AlreadyOut {
        /// Its grant.
        lease_id: u64,
    },
    /// The target has another request.
    RequestedByAnother {
        /// Whose it is.
        requested_by: String,
        /// Why it was requested.
        reason: String,
    },
    /// The request waits for a budget.
    Waiting {
        /// The budget without capacity, for operators.
        blocked_by: String,
        /// Who counts against it, for operators.
        unavailable: Vec<String>,
    },
    /// Not applied.
    Rejected(CommandError),
}

impl Command {
    /// The version, then the command as postcard.
    pub fn encode(&self) -> Vec<u8> {
        // Writing to memory can't fail for these types.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Reads what `encode` writes. `UnsupportedVersion` for other bytes, `LimitExceeded` for a command that
    /// does not [`validate`](Command::validate).
    pub fn decode(bytes: &[u8]) -> Result<Command, CommandError> {
        let Some((&VERSION, rest)) = bytes.split_first() else {
            return Err(CommandError::UnsupportedVersion);
        };
        let command: Command = postcard::from_bytes(rest).map_err(|_| CommandError::UnsupportedVersion)?;
        command.validate()?;
        Ok(command)
    }

    /// Checks names, reasons and counts against the limits.
    pub fn validate(&self) -> Result<(), CommandError> {
        let name_fits = |text: &str| text.len() <= MAX_NAME_BYTES;
        let reason_fits = |text: &str| text.len() <= MAX_REASON_BYTES;
        let target_fits = |target: &Target| !target.name().is_empty() && name_fits(target.name());
        let valid = match self {
            Command::SetBudgets(budgets) => budgets.len() <= MAX_BUDGETS,
            Command::Observe { target, domain, .. } => {
                target_fits(target)
                    && name_fits(&domain.zone)
                    && name_fits(&domain.kind)
                    && name_fits(&domain.group)
            }
            Command::Request { target, requested_by, reason, .. } => {
                target_fits(target) && name_fits(requested_by) && reason_fits(reason)
            }
            Command::Reclaim { target, requested_by } => {
                target_fits(target) && name_fits(requested_by) && !requested_by.is_empty()
            }
            Command::Withdraw { target, .. }
            | Command::Begin { target, .. }
            | Command::Expire { target, .. }
            | Command::Return { target } => target_fits(target),
            Command::StartRollout { plan } => plan.validate().is_ok(),
            Command::MarkDone { target, reason, .. } => target_fits(target) && reason_fits(reason),
            Command::RecordAnalysis { reason, .. } => reason_fits(reason),
            Command::Halt { requested_by, reason } => name_fits(requested_by) && reason_fits(reason),
            Command::Resume { requested_by } | Command::RollBack { requested_by } => name_fits(requested_by),
        };
        valid.then_some(()).ok_or(CommandError::LimitExceeded)
    }
}
