//! Leases under disruption budgets: observations, requests, grants and returns.
use super::{BlockedBy, State};
use crate::budget::Budget;
use crate::command::Outcome;
use crate::error::CommandError;
use crate::lease::{Lease, LeaseEvent, LeaseRequest, LeaseState};
use crate::limits::{MAX_TARGETS, MAX_WAITING};
use crate::target::{FailureDomain, HealthState, Target};

/// Maximum number of unavailable targets in the response to a waiting request. The status lists all of them.
const MAX_NAMED_UNAVAILABLE: usize = 8;

impl State {
    /// Applies an event to a target's lease.
    pub(super) fn apply_to_lease(&mut self, target: &Target, event: LeaseEvent) -> Result<(), CommandError> {
        self.leases.get_mut(target).ok_or(CommandError::UnknownTarget)?.apply(event)
    }

    /// Applies an event to a target's lease if `lease_id` is that of its current grant. A late command for an
    /// earlier grant is stale, and so is lease id 0, which means no grant.
    pub(super) fn apply_to_grant(
        &mut self,
        target: &Target,
        lease_id: u64,
        event: LeaseEvent,
    ) -> Result<(), CommandError> {
        match self.leases.get_mut(target) {
            Some(lease) if lease.lease_id == lease_id && lease_id != 0 => lease.apply(event),
            Some(_) => Err(CommandError::Stale),
            None => Err(CommandError::UnknownTarget),
        }
    }

    /// The state of a target's lease. An unknown target counts as out of service.
    pub(super) fn lease_state(&self, target: &Target) -> LeaseState {
        self.leases.get(target).map_or(LeaseState::Out, |lease| lease.state)
    }

    pub(super) fn observe(
        &mut self,
        target: &Target,
        domain: &FailureDomain,
        health: HealthState,
    ) -> Result<(), CommandError> {
        if health == HealthState::Removed {
            self.remove(target);
            return Ok(());
        }
        if !self.leases.contains_key(target) && self.leases.len() >= MAX_TARGETS {
            return Err(CommandError::LimitExceeded);
        }
        let lease = self.leases.entry(target.clone()).or_default();
        lease.domain = domain.clone();
        lease.health = health;
        self.finish_return(target);
        Ok(())
    }

    /// Removes a target without a grant. A target with a grant is kept as down until its return is observed.
    fn remove(&mut self, target: &Target) {
        let Some(lease) = self.leases.get_mut(target) else { return };
        match lease.state {
            LeaseState::InService | LeaseState::Waiting => _ = self.leases.remove(target),
            LeaseState::Granted | LeaseState::Out | LeaseState::Returning => {
                lease.health = HealthState::Down;
            }
        }
    }

    /// Puts a returning target in service if it has been observed to be up.
    fn finish_return(&mut self, target: &Target) {
        let Some(lease) = self.leases.get_mut(target) else { return };
        if lease.state == LeaseState::Returning && lease.health == HealthState::Up {
            _ = lease.apply(LeaseEvent::WarmedUp);
        }
    }

    /// Ends a disruption. The target is in service immediately if it is up, otherwise after it has warmed up.
    pub(super) fn return_to_service(&mut self, target: &Target) -> Result<(), CommandError> {
        let result = self.apply_to_lease(target, LeaseEvent::Returned);
        self.finish_return(target);
        result
    }

    pub(super) fn withdraw(&mut self, target: &Target, request_id: u64) -> Result<(), CommandError> {
        match self.leases.get_mut(target) {
            Some(lease) if lease.request_id == request_id => lease.apply(LeaseEvent::Withdrawn),
            _ => Err(CommandError::Stale),
        }
    }

    /// Queues a request. A forced request is granted immediately and replaces a waiting request.
    pub(super) fn request(&mut self, target: &Target, request: &LeaseRequest) -> Result<(), CommandError> {
        let waiting = self.leases.values().filter(|lease| lease.state == LeaseState::Waiting).count();
        let lease = self.leases.get_mut(target).ok_or(CommandError::UnknownTarget)?;
        let before = lease.state;
        if before == LeaseState::InService && waiting >= MAX_WAITING && !request.force {
            return Err(CommandError::LimitExceeded);
        }
        // Numbers may be skipped: a request that is repeated or rejected below leaves its number unused.
        self.last_queue_number += 1;
        if before == LeaseState::Returning {
            // The target may be requested again once it is in service.
            return Err(CommandError::Stale);
        }
        if before == LeaseState::InService {
            lease.apply(LeaseEvent::Requested)?;
            request.write_to(lease);
            lease.queue_number = self.last_queue_number;
        }
        if request.force && lease.state == LeaseState::Waiting {
            request.write_to(lease);
            lease.forced = true;
            self.grant(target);
        }
        Ok(())
    }

    /// The response to the requester, once all consequences of the request are applied.
    pub(super) fn request_outcome(&self, target: &Target, request_id: u64) -> Outcome {
        let Some(lease) = self.leases.get(target) else {
            return Outcome::Rejected(CommandError::UnknownTarget);
        };
        if lease.request_id != request_id && lease.state != LeaseState::InService {
            return Outcome::RequestedByAnother {
                requested_by: lease.requested_by.clone(),
                reason: lease.reason.clone(),
            };
        }
        match lease.state {
            LeaseState::Granted => Outcome::Granted { lease_id: lease.lease_id },
            LeaseState::Out => Outcome::AlreadyOut { lease_id: lease.lease_id },
            LeaseState::Waiting => {
                let BlockedBy { limit, unavailable } = self.blocked_by(target, lease).unwrap_or_default();
                Outcome::Waiting { blocked_by: limit, unavailable }
            }
            LeaseState::InService | LeaseState::Returning => Outcome::Rejected(CommandError::Stale),
        }
    }

    /// The first budget without capacity for a target, if there is one. Budgets also apply to a target that
    /// is down, because it could come up while it is out of service.
    pub fn blocked_by(&self, target: &Target, lease: &Lease) -> Option<BlockedBy> {
        let mut budgets = self.budgets.iter().filter(|budget| budget.target_kind == target.kind());
        budgets.find_map(|budget| self.blocked_by_budget(budget, target, lease))
    }

    fn blocked_by_budget(&self, budget: &Budget, target: &Target, lease: &Lease) -> Option<BlockedBy> {
        let population = || {
            self.leases.iter().filter(|(other, other_lease)| {
                other.kind() == budget.target_kind
                    && budget.counts_together(&lease.domain, &other_lease.domain)
            })
        };
        let max_unavailable = budget.max_unavailable(population().count());
        let unavailable: Vec<_> = population()
            .filter(|(other, other_lease)| *other != target && other_lease.is_unavailable())
            .collect();
        if unavailable.len() < max_unavailable {
            return None;
        }
        let describe = |(other, other_lease): &(&Target, &Lease)| {
            let up = other_lease.health == HealthState::Up;
            let how = if up { other_lease.state.word() } else { "not up" };
            format!("{other} ({how})")
        };
        Some(BlockedBy {
            limit: format!("at most {}", budget.describe(&lease.domain, max_unavailable)),
            unavailable: unavailable.iter().take(MAX_NAMED_UNAVAILABLE).map(describe).collect(),
        })
    }

    fn grant(&mut self, target: &Target) {
        self.last_lease_id += 1;
        if let Some(lease) = self.leases.get_mut(target) {
            _ = lease.apply(LeaseEvent::Admitted);
            lease.lease_id = self.last_lease_id;
        }
    }

    /// Grants the requests that the budgets allow, the oldest first. A blocked request does not block the
    /// others. Returns whether a request was granted.
    pub(super) fn grant_waiting(&mut self) -> bool {
        let mut granted = false;
        for target in self.waiting_in_order() {
            let is_allowed =
                self.leases.get(&target).is_some_and(|lease| self.blocked_by(&target, lease).is_none());
            if is_allowed {
                self.grant(&target);
                granted = true;
            }
        }
        granted
    }

    fn waiting_in_order(&self) -> Vec<Target> {
        let waiting = self.leases.iter().filter(|(_, lease)| lease.state == LeaseState::Waiting);
        let mut queue: Vec<(u64, &Target)> =
            waiting.map(|(target, lease)| (lease.queue_number, target)).collect();
        queue.sort();
        queue.into_iter().map(|(_, target)| target.clone()).collect()
    }
}
