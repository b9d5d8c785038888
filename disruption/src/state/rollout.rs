//! The rollout as part of the state. It requests leases under its own request id, and advances as they are
//! granted and as targets return.
use super::State;
use crate::error::CommandError;
use crate::lease::{Lease, LeaseEvent, LeaseRequest, LeaseState};
use crate::plan::RolloutPlan;
use crate::rollout::{ItemState, Rollout, RolloutEvent, RolloutItem, RolloutPhase};
use crate::target::Target;

/// The request id of the rollout. Relays use lower ids.
const ROLLOUT_REQUEST_ID: u64 = u64::MAX;

impl State {
    /// Starts a rollout. Fails with `Stale` while another rollout is in progress, and with `UnknownTarget` if
    /// the plan selects no target or names an unknown one.
    pub(super) fn start_rollout(&mut self, plan: &RolloutPlan) -> Result<(), CommandError> {
        if self.rollout.as_ref().is_some_and(|rollout| !rollout.phase.is_over()) {
            return Err(CommandError::Stale);
        }
        let of_kind = self.leases.keys().filter(|target| target.kind() == plan.target_kind);
        let known: Vec<Target> = of_kind.cloned().collect();
        let rollout = Rollout::new(plan.clone(), &known);
        if rollout.items.is_empty() || !rollout.unknown_names().is_empty() {
            return Err(CommandError::UnknownTarget);
        }
        self.rollout = Some(rollout);
        Ok(())
    }

    /// Halts, resumes or rolls back the rollout. After a halt is committed, no further disruption begins.
    pub(super) fn control_rollout(&mut self, event: RolloutEvent, reason: &str) -> Result<(), CommandError> {
        let rollout = self.rollout.as_mut().ok_or(CommandError::UnknownTarget)?;
        rollout.apply(event)?;
        if event != RolloutEvent::Resume {
            rollout.reason = reason.to_string();
            self.withdraw_requests();
        }
        if event == RolloutEvent::RollBack {
            self.roll_back_updating();
        }
        Ok(())
    }

    /// Withdraws the rollout's requests for targets that are not out of service yet.
    fn withdraw_requests(&mut self) {
        let Some(rollout) = &mut self.rollout else { return };
        for item in &mut rollout.items {
            let before = match item.state {
                ItemState::Updating => ItemState::Pending,
                ItemState::RollingBack => ItemState::Complete,
                _ => continue,
            };
            let lease = self.leases.get_mut(&item.target);
            if !lease.as_ref().is_none_or(|lease| has_not_begun(lease)) {
                continue;
            }
            item.state = before;
            if let Some(lease) = lease {
                _ = lease.apply(LeaseEvent::Withdrawn);
            }
        }
    }

    /// Rolls back the targets that are out for their update. They may already have the new build; the
    /// deployer must install the old one.
    fn roll_back_updating(&mut self) {
        let Some(rollout) = &mut self.rollout else { return };
        for item in rollout.items.iter_mut().filter(|item| item.state == ItemState::Updating) {
            item.state = ItemState::RollingBack;
        }
    }

    /// Records the result of the update or rollback of a target that is out for the rollout. A failure halts
    /// the rollout.
    pub(super) fn mark_done(
        &mut self,
        target: &Target,
        lease_id: u64,
        succeeded: bool,
        reason: &str,
    ) -> Result<(), CommandError> {
        let lease = self.leases.get(target);
        let is_out = lease.is_some_and(|lease| lease.state == LeaseState::Out && lease.lease_id == lease_id);
        let item = self.rollout.as_mut().and_then(|rollout| rollout.item_mut(target));
        let item = item.ok_or(CommandError::UnknownTarget)?;
        let next = match item.state {
            ItemState::Updating => ItemState::Updated,
            ItemState::RollingBack => ItemState::Reverted,
            _ => return Err(CommandError::Stale),
        };
        if !is_out {
            return Err(CommandError::Stale);
        }
        if !succeeded {
            let reason = format!("{target} could not be changed: {reason}");
            return self.control_rollout(RolloutEvent::Failed, &reason);
        }
        item.state = next;
        // The target is out of service, so this cannot be rejected.
        self.return_to_service(target)
    }

    /// Records the verdict of an analysis. Fails with `Stale` unless it is for the current wave.
    pub(super) fn record_analysis(
        &mut self,
        wave: u64,
        passed: bool,
        reason: &str,
    ) -> Result<(), CommandError> {
        let rollout = self.rollout.as_mut().ok_or(CommandError::UnknownTarget)?;
        if rollout.wave as u64 != wave {
            return Err(CommandError::Stale);
        }
        if !passed {
            return self.control_rollout(RolloutEvent::Failed, reason);
        }
        if rollout.wave + 1 >= rollout.plan.waves.len() {
            return rollout.apply(RolloutEvent::LastWavePassed);
        }
        rollout.apply(RolloutEvent::WavePassed)?;
        rollout.wave += 1;
        Ok(())
    }

    /// Advances the rollout as far as possible after a command. Returns whether anything changed.
    pub(super) fn advance_rollout(&mut self) -> bool {
        let Some(mut rollout) = self.rollout.take() else { return false };
        let changed = match rollout.phase {
            RolloutPhase::Running | RolloutPhase::Halted | RolloutPhase::Analyzing => {
                self.advance_update(&mut rollout)
            }
            RolloutPhase::RollingBack | RolloutPhase::RollbackHalted => self.advance_rollback(&mut rollout),
            RolloutPhase::Finished | RolloutPhase::RolledBack => false,
        };
        self.rollout = Some(rollout);
        changed
    }

    /// Advances the current wave. Begins no disruption unless the rollout is running.
    fn advance_update(&mut self, rollout: &mut Rollout) -> bool {
        let running = rollout.phase == RolloutPhase::Running;
        let requested_by = rollout.plan.requested_by.clone();
        let reason = format!("release of {}", rollout.plan.build);
        let request = rollout_request(&requested_by, &reason);
        let mut changed = false;
        for item in rollout.current_wave_mut() {
            changed |= self.advance_item_update(item, running, &request);
        }
        if running && rollout.current_wave_mut().all(|item| item.state == ItemState::Complete) {
            changed |= rollout.apply(RolloutEvent::WaveUpdated).is_ok();
        }
        changed
    }

    fn advance_item_update(&mut self, item: &mut RolloutItem, running: bool, request: &LeaseRequest) -> bool {
        match (item.state, self.lease_state(&item.target)) {
            (ItemState::Pending, LeaseState::InService) if running => {
                if !self.request_for_rollout(&item.target, request) {
                    return false;
                }
                item.state = ItemState::Updating;
            }
            (ItemState::Updating, LeaseState::Granted) if running => {
                _ = self.apply_to_lease(&item.target, LeaseEvent::Began);
            }
            // The lease was reclaimed by a person or expired, so it is requested again.
            (ItemState::Updating, LeaseState::InService) => item.state = ItemState::Pending,
            (ItemState::Updated, LeaseState::InService) => item.state = ItemState::Complete,
            _ => return false,
        }
        true
    }

    /// Advances the rollback of the latest wave with targets to roll back, its last target first.
    fn advance_rollback(&mut self, rollout: &mut Rollout) -> bool {
        let running = rollout.phase == RolloutPhase::RollingBack;
        let requested_by = rollout.plan.requested_by.clone();
        let reason = format!("way back from {}", rollout.plan.build);
        let request = rollout_request(&requested_by, &reason);
        let to_roll_back =
            |item: &&RolloutItem| !matches!(item.state, ItemState::Pending | ItemState::RolledBack);
        if let Some(wave) = rollout.items.iter().filter(to_roll_back).map(|item| item.wave).max() {
            rollout.wave = wave;
        }
        let mut changed = false;
        for item in rollout.current_wave_mut().rev() {
            changed |= self.advance_item_rollback(item, running, &request);
        }
        if running && !rollout.items.iter().any(|item| to_roll_back(&item)) {
            changed |= rollout.apply(RolloutEvent::AllReverted).is_ok();
        }
        changed
    }

    fn advance_item_rollback(
        &mut self,
        item: &mut RolloutItem,
        running: bool,
        request: &LeaseRequest,
    ) -> bool {
        match (item.state, self.lease_state(&item.target)) {
            (ItemState::Complete, LeaseState::InService) if running => {
                if !self.request_for_rollout(&item.target, request) {
                    return false;
                }
                item.state = ItemState::RollingBack;
            }
            (ItemState::RollingBack, LeaseState::Granted) if running => {
                _ = self.apply_to_lease(&item.target, LeaseEvent::Began);
            }
            (ItemState::RollingBack | ItemState::Updated, LeaseState::InService) => {
                item.state = ItemState::Complete;
            }
            (ItemState::Reverted, LeaseState::InService) => item.state = ItemState::RolledBack,
            _ => return false,
        }
        true
    }

    /// Requests a lease. Returns whether the target has a request now, the rollout's or an earlier one.
    fn request_for_rollout(&mut self, target: &Target, request: &LeaseRequest) -> bool {
        self.request(target, request).is_ok() && self.lease_state(target) != LeaseState::InService
    }
}

fn rollout_request<'a>(requested_by: &'a str, reason: &'a str) -> LeaseRequest<'a> {
    LeaseRequest { id: ROLLOUT_REQUEST_ID, requested_by, reason, force: false }
}

fn has_not_begun(lease: &Lease) -> bool {
    matches!(lease.state, LeaseState::InService | LeaseState::Waiting | LeaseState::Granted)
}
