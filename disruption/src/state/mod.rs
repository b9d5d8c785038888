//! The replicated state, and the effect of each command on it. The same commands lead to the same state at
//! each voter. This includes the texts in the state, such as the reason of a rollout: a build that words them
//! differently needs another [`VERSION`].
mod leases;
mod rollout;

use crate::budget::Budget;
use crate::command::{Command, Outcome, VERSION};
use crate::error::CommandError;
use crate::lease::{Lease, LeaseEvent, LeaseRequest};
use crate::rollout::{Rollout, RolloutEvent};
use crate::target::Target;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state that voters agree on: the budgets, all known targets with their leases, and the rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct State {
    budgets: Vec<Budget>,
    leases: BTreeMap<Target, Lease>,
    last_lease_id: u64,
    last_queue_number: u64,
    rollout: Option<Rollout>,
}

/// Why a request is waiting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockedBy {
    /// The budget without capacity, for operators, as in `at most 1 relay of zone east`.
    pub limit: String,
    /// The first targets that count against it, for operators, as in `relay r1 (out)`.
    pub unavailable: Vec<String>,
}

impl State {
    /// All known targets with their leases: relays, then backends, each in the order of their names.
    pub fn leases(&self) -> impl Iterator<Item = (&Target, &Lease)> {
        self.leases.iter()
    }

    /// The lease of a target; `None` if the target is unknown.
    pub fn lease(&self, target: &Target) -> Option<&Lease> {
        self.leases.get(target)
    }

    /// The budgets in force.
    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// The rollout in progress, or the last one.
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// Encodes the state for a snapshot: the version, then the state in postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Decodes the output of `encode`. Empty input is the empty state.
    pub fn decode(bytes: &[u8]) -> Result<State, CommandError> {
        match bytes.split_first() {
            None => Ok(State::default()),
            Some((&VERSION, rest)) => {
                postcard::from_bytes(rest).map_err(|_| CommandError::UnsupportedVersion)
            }
            Some(_) => Err(CommandError::UnsupportedVersion),
        }
    }

    /// Applies a command and its consequences: requests within the budgets are granted, and the rollout
    /// advances.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let result = self.execute(command);
        // A grant may let the rollout advance, which may request or release leases. Both run in each pass.
        while self.grant_waiting() | self.advance_rollout() {}
        match (command, result) {
            (Command::Request { target, request_id, .. }, Ok(())) => {
                self.request_outcome(target, *request_id)
            }
            (_, Ok(())) => Outcome::Done,
            (_, Err(error)) => Outcome::Rejected(error),
        }
    }

    fn execute(&mut self, command: &Command) -> Result<(), CommandError> {
        match command {
            Command::SetBudgets(budgets) => {
                self.budgets.clone_from(budgets);
                Ok(())
            }
            Command::Observe { target, domain, health } => self.observe(target, domain, *health),
            Command::Request { target, request_id, requested_by, reason, force } => {
                let request = LeaseRequest { id: *request_id, requested_by, reason, force: *force };
                self.request(target, &request)
            }
            Command::Withdraw { target, request_id } => self.withdraw(target, *request_id),
            Command::Begin { target, lease_id } => self.apply_to_grant(target, *lease_id, LeaseEvent::Began),
            Command::Expire { target, lease_id } => {
                self.apply_to_grant(target, *lease_id, LeaseEvent::Expired)
            }
            Command::Return { target } => self.return_to_service(target),
            Command::Reclaim { target, .. } => self.apply_to_lease(target, LeaseEvent::Reclaimed),
            Command::StartRollout { plan } => self.start_rollout(plan),
            Command::MarkDone { target, lease_id, succeeded, reason } => {
                self.mark_done(target, *lease_id, *succeeded, reason)
            }
            Command::RecordAnalysis { wave, passed, reason } => self.record_analysis(*wave, *passed, reason),
            Command::Halt { requested_by, reason } => {
                self.control_rollout(RolloutEvent::Halt, &format!("by {requested_by}: {reason}"))
            }
            Command::Resume { .. } => self.control_rollout(RolloutEvent::Resume, ""),
            Command::RollBack { requested_by } => {
                self.control_rollout(RolloutEvent::RollBack, &format!("by {requested_by}: all goes back"))
            }
        }
    }
}
