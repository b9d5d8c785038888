//! The commands of the replicated log, their encoding, and the outcome of applying them.
//!
//! A lease is the right of one target to be out of service. A request asks for the lease. A grant gives it
//! under a new number, the lease id, and makes the target its holder. A disruption is the time during which a
//! holder is out of service.
use crate::budget::Budget;
use crate::error::CommandError;
use crate::limits::{MAX_BUDGETS, MAX_NAME_BYTES, MAX_REASON_BYTES};
use crate::plan::RolloutPlan;
use crate::target::{FailureDomain, HealthState, Target};
use serde::{Deserialize, Serialize};

/// Version of the encoding of commands and states, and of the effect of commands. Raise it with each change
/// after which a voter of an older build would decode or apply a command differently. A voter that receives a
/// command of another version stops applying commands. All voters must therefore run the new build before
/// its new commands are used.
pub const VERSION: u8 = 1;

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Replaces all budgets.
    SetBudgets(Vec<Budget>),
    /// Records the failure domain and the health of a target as the leader observes them.
    /// `HealthState::Removed` removes the target.
    Observe {
        /// The observed target.
        target: Target,
        /// The zone, the kind of machine and the group of the target.
        domain: FailureDomain,
        /// The health of the target.
        health: HealthState,
    },
    /// Requests a lease. The request id is an idempotency key: a request repeated with the same id is the
    /// same request.
    Request {
        /// The target to take out of service.
        target: Target,
        /// The idempotency key; `u64::MAX` is reserved for the rollout.
        request_id: u64,
        /// The person who requests it.
        requested_by: String,
        /// The reason, for operators.
        reason: String,
        /// Whether the budgets are ignored.
        force: bool,
    },
    /// Withdraws a request.
    Withdraw {
        /// The requested target.
        target: Target,
        /// The id of the request.
        request_id: u64,
    },
    /// Begins a granted disruption. The holder goes out of service only once this command is committed.
    Begin {
        /// The holder of the lease.
        target: Target,
        /// The lease id of the grant.
        lease_id: u64,
    },
    /// Ends a grant whose disruption was not begun in time.
    Expire {
        /// The holder of the lease.
        target: Target,
        /// The lease id of the grant.
        lease_id: u64,
    },
    /// Ends a disruption: the target should be serving again. Its lease ends once it is observed to be up.
    Return {
        /// The returning target.
        target: Target,
    },
    /// Ends a lease because a person confirms that the target is no longer out of service.
    Reclaim {
        /// The target.
        target: Target,
        /// The name of that person.
        requested_by: String,
    },
    /// Starts a rollout if none is in progress.
    StartRollout {
        /// The plan of the rollout.
        plan: RolloutPlan,
    },
    /// Reports the result of the update, or of the rollback, of a target that is out for the rollout.
    MarkDone {
        /// The target.
        target: Target,
        /// The lease id of the grant under which the target went out of service.
        lease_id: u64,
        /// Whether the update or the rollback succeeded.
        succeeded: bool,
        /// Why it failed; empty if it succeeded.
        reason: String,
    },
    /// Records the verdict of the leader's analysis of a wave.
    RecordAnalysis {
        /// The wave, from 0.
        wave: u64,
        /// Whether the rollout may continue.
        passed: bool,
        /// The reason of the verdict, for operators: the numbers of all and of failed sessions.
        reason: String,
    },
    /// Halts the rollout. It begins no disruption after this command.
    Halt {
        /// The person who halts it.
        requested_by: String,
        /// The reason, for operators.
        reason: String,
    },
    /// Resumes a halted rollout: the update if that was halted, or the rollback.
    Resume {
        /// The person who resumes it.
        requested_by: String,
    },
    /// Rolls back all updated targets, the latest first.
    RollBack {
        /// The person who rolls it back.
        requested_by: String,
    },
}

/// The outcome of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied.
    Done,
    /// The request is granted.
    Granted {
        /// The lease id of the grant, with which the holder may begin its disruption.
        lease_id: u64,
    },
    /// The target is already out of service for the same request.
    AlreadyOut {
        /// The lease id of the grant under which the target went out of service.
        lease_id: u64,
    },
    /// The target has another request.
    RequestedByAnother {
        /// The person who made the other request.
        requested_by: String,
        /// The reason of the other request.
        reason: String,
    },
    /// The request waits for a budget.
    Waiting {
        /// The budget without capacity, for operators.
        blocked_by: String,
        /// The targets that count against it, for operators.
        unavailable: Vec<String>,
    },
    /// The command was not applied.
    Rejected(CommandError),
}

impl Command {
    /// Encodes the version, then the command in postcard.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding these types to memory cannot fail.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Decodes the output of `encode`. Fails with `UnsupportedVersion` for another version and for malformed
    /// bytes, and with `LimitExceeded` for a command that does not pass [`validate`](Command::validate).
    pub fn decode(bytes: &[u8]) -> Result<Command, CommandError> {
        let Some((&VERSION, rest)) = bytes.split_first() else {
            return Err(CommandError::UnsupportedVersion);
        };
        let command: Command = postcard::from_bytes(rest).map_err(|_| CommandError::UnsupportedVersion)?;
        command.validate()?;
        Ok(command)
    }

    /// Checks names, reasons and counts against the limits, and a plan with [`RolloutPlan::validate`]. The
    /// error does not tell which one is out of bounds; its text lists the limits.
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
