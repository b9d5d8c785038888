//! The lease of one target: the right to be out of service, from the request until the return. A granted
//! lease makes the target its holder.
use crate::error::CommandError;
use crate::target::{FailureDomain, HealthState};
use serde::{Deserialize, Serialize};
use LeaseEvent::{Admitted, Began, Expired, Reclaimed, Requested, Returned, WarmedUp, Withdrawn};
use LeaseState::{Granted, InService, Out, Returning, Waiting};

/// The stage of a target on its way out of service and back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseState {
    /// There is no lease; the target should be serving.
    #[default]
    InService,
    /// The lease is requested, but a budget has no capacity for it.
    Waiting,
    /// The holder may go out of service, but its disruption has not begun.
    Granted,
    /// The holder is out of service.
    Out,
    /// The holder should be serving again, but has not been observed to be up yet.
    Returning,
}

impl LeaseState {
    /// The name of the state in responses to operators.
    pub fn word(self) -> &'static str {
        match self {
            InService => "in",
            Waiting => "asked",
            Granted => "granted",
            Out => "out",
            Returning => "returning",
        }
    }
}

/// An event that changes a lease's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseEvent {
    Requested,
    Withdrawn,
    /// All budgets have capacity for the request, or it is forced.
    Admitted,
    Began,
    /// The grant was not begun in time.
    Expired,
    /// The target should be serving again.
    Returned,
    /// The returning target was observed to be up.
    WarmedUp,
    /// A person confirms that the target is not out of service.
    Reclaimed,
}

/// Rows of state, event and next state. An event that is not listed for a state is rejected.
const TRANSITIONS: &[(LeaseState, LeaseEvent, LeaseState)] = &[
    (InService, Requested, Waiting),
    (InService, Returned, InService),
    (InService, Reclaimed, InService),
    (Waiting, Withdrawn, InService),
    (Waiting, Admitted, Granted),
    (Waiting, Reclaimed, InService),
    (Granted, Began, Out),
    (Granted, Expired, InService),
    (Granted, Withdrawn, InService),
    (Granted, Returned, InService),
    (Granted, Reclaimed, InService),
    (Out, Began, Out),
    (Out, Returned, Returning),
    (Out, Reclaimed, InService),
    (Returning, Returned, Returning),
    (Returning, WarmedUp, InService),
    (Returning, Reclaimed, InService),
];

/// A request for a lease, made by an operator or the rollout.
pub(crate) struct LeaseRequest<'a> {
    pub id: u64,
    pub requested_by: &'a str,
    pub reason: &'a str,
    pub force: bool,
}

impl LeaseRequest<'_> {
    /// Writes the request into a lease.
    pub fn write_to(&self, lease: &mut Lease) {
        lease.request_id = self.id;
        lease.requested_by = self.requested_by.to_string();
        lease.reason = self.reason.to_string();
    }
}

/// The health of a target, and its lease if it has one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The failure domains of the target as last observed.
    pub domain: FailureDomain,
    /// The health of the target as last observed.
    pub health: HealthState,
    /// The stage on the way out of service and back.
    pub state: LeaseState,
    /// Lease id: the number of the grant, a monotonically increasing fencing token; 0 without a grant.
    pub lease_id: u64,
    /// Number of the request, its idempotency key; 0 without a request.
    pub request_id: u64,
    /// The person who requested the lease.
    pub requested_by: String,
    /// Why the lease was requested.
    pub reason: String,
    /// The lease was granted regardless of the budgets.
    pub forced: bool,
    /// Position in the queue; a lower number is an older request. 0 without a request.
    pub queue_number: u64,
}

impl Lease {
    /// Returns whether the target counts against budgets because it may be out of service or is not up.
    pub fn is_unavailable(&self) -> bool {
        matches!(self.state, Granted | Out | Returning) || self.health != HealthState::Up
    }

    /// Moves to the next state. Fails with `Stale` if the event does not apply in the current state.
    pub(crate) fn apply(&mut self, event: LeaseEvent) -> Result<(), CommandError> {
        let applies = |row: &&(LeaseState, LeaseEvent, LeaseState)| (row.0, row.1) == (self.state, event);
        let &(_, _, next) = TRANSITIONS.iter().find(applies).ok_or(CommandError::Stale)?;
        self.state = next;
        if next == InService {
            self.clear_request();
        }
        Ok(())
    }

    fn clear_request(&mut self) {
        self.lease_id = 0;
        self.request_id = 0;
        self.requested_by.clear();
        self.reason.clear();
        self.forced = false;
        self.queue_number = 0;
    }
}
