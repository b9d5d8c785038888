//! The lease of one target: the right to be out of service, from the request to the return.
use crate::error::CommandError;
use crate::target::{FailureDomain, HealthState};
use serde::{Deserialize, Serialize};
use LeaseEvent::{Admitted, Began, Expired, Reclaimed, Requested, Returned, WarmedUp, Withdrawn};
use LeaseState::{Granted, InService, Out, Returning, Waiting};

/// How far a target is on its path out of service and back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseState {
    /// No lease: the target is to serve.
    #[default]
    InService,
    /// Requested; some budget has no capacity yet.
    Waiting,
    /// It may go out of service, and has not begun to.
    Granted,
    /// Out of service.
    Out,
    /// It is to serve again, and was not yet observed to be up.
    Returning,
}

impl LeaseState {
    /// The word in answers to operators.
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

/// What changes a lease's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseEvent {
    Requested,
    Withdrawn,
    /// All budgets have capacity for it, or it is forced.
    Admitted,
    Began,
    /// Granted, and not begun in time.
    Expired,
    /// The target is to serve again.
    Returned,
    /// The target was observed to be up.
    WarmedUp,
    /// A person vouches that the target is not out.
    Reclaimed,
}

/// State, event, next state. An event that is not listed for a state is rejected.
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

/// A request for a lease, from an operator or the rollout.
pub(crate) struct LeaseRequest<'a> {
    pub id: u64,
    pub requested_by: &'a str,
    pub reason: &'a str,
    pub force: bool,
}

impl LeaseRequest<'_> {
    /// Enters the request in a lease.
    pub fn write_to(&self, lease: &mut Lease) {
        lease.request_id = self.id;
        lease.requested_by = self.requested_by.to_string();
        lease.reason = self.reason.to_string();
    }
}

/// A target with its health, and its lease where it has one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Where the target was last observed.
    pub domain: FailureDomain,
    /// Its health as last observed.
    pub health: HealthState,
    /// How far it is on its path out of service and back.
    pub state: LeaseState,
    /// Number of the grant, a fencing token that only rises; 0 before a grant.
    pub lease_id: u64,
    /// Number of the request, its idempotency key; 0 in service.
    pub request_id: u64,
    /// The person who requested it.
    pub requested_by: String,
    /// Why it was requested.
    pub reason: String,
    /// Granted past the budgets.
    pub forced: bool,
    /// Position in the queue: lower numbers are older requests; 0 in service.
    pub queue_number: u64,
}

impl Lease {
    /// Whether the target counts against budgets: it may be out of service, or is not up.
    pub fn is_unavailable(&self) -> bool {
        matches!(self.state, Granted | Out | Returning) || self.health != HealthState::Up
    }

    /// Moves to the next state. `Stale` where the event does not apply in this state.
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
