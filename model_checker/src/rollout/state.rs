//! The states of the model, and the transitions that are enabled in them.
use super::transition::Transition;
use super::UNPLANNED_BACKEND;
use hallrelay_disruption::{
    Command, HealthState, ItemState, LeaseState, Rollout, RolloutPhase, State as StateMachine, Target,
};

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutState {
    pub(super) state_machine: StateMachine,
    /// The state before the last halt, until the leader changes.
    pub(super) before_halt: Option<StateMachine>,
    /// The rollout is halted, and no operator has resumed it or rolled it back since.
    pub(super) is_halted: bool,
    /// Failures that may still occur.
    pub(super) failures: u8,
    /// Commands that operators may still give.
    pub(super) operator_commands: u8,
    /// The first invariant that a transition violated.
    pub(super) violated: Option<&'static str>,
}

/// The target of a backend in the state machine.
pub(super) fn backend_name(backend: usize) -> Target {
    Target::Backend(format!("s{backend}"))
}

/// Number of backends that hold a lease and count against the budget.
pub(super) fn backends_out(state_machine: &StateMachine) -> usize {
    let is_out = |state| matches!(state, LeaseState::Granted | LeaseState::Out | LeaseState::Returning);
    state_machine.leases().filter(|(_, lease)| is_out(lease.state)).count()
}

/// Backends whose disruption has begun.
fn disrupted_backends(state_machine: &StateMachine) -> Vec<Target> {
    let disrupted = state_machine.leases().filter(|(_, lease)| lease.state == LeaseState::Out);
    disrupted.map(|(target, _)| target.clone()).collect()
}

impl RolloutState {
    pub(super) fn rollout(&self) -> Option<&Rollout> {
        self.state_machine.rollout()
    }

    pub(super) fn is_over(&self) -> bool {
        self.rollout().is_some_and(|rollout| rollout.phase.is_over())
    }

    pub(super) fn lease_state(&self, backend: usize) -> Option<LeaseState> {
        self.state_machine.lease(&backend_name(backend)).map(|lease| lease.state)
    }

    /// The number of a backend's grant; 0 for none.
    pub(super) fn lease_id(&self, backend: usize) -> u64 {
        self.state_machine.lease(&backend_name(backend)).map_or(0, |lease| lease.lease_id)
    }

    pub(super) fn has_halted_phase(&self) -> bool {
        let phase = self.rollout().map(|rollout| rollout.phase);
        matches!(phase, Some(RolloutPhase::Halted | RolloutPhase::RollbackHalted))
    }

    pub(super) fn apply(&mut self, command: &Command) {
        let before = disrupted_backends(&self.state_machine);
        self.state_machine.apply(command);
        let begins = disrupted_backends(&self.state_machine).iter().any(|backend| !before.contains(backend));
        // A disruption that an operator requested may begin while the rollout is halted.
        let is_by_operator = matches!(command, Command::Begin { .. });
        if self.is_halted && begins && !is_by_operator {
            self.violated = Some("no disruption begins after a halt");
        }
    }

    /// Returns whether a deployer has to complete a step of the rollout at a backend.
    pub(super) fn has_pending_step(&self, backend: usize) -> bool {
        let Some(rollout) = self.rollout() else { return false };
        let item = rollout.items.iter().find(|item| item.target == backend_name(backend));
        let is_due =
            item.is_some_and(|item| matches!(item.state, ItemState::Updating | ItemState::RollingBack));
        is_due && self.lease_state(backend) == Some(LeaseState::Out)
    }

    pub(super) fn add_backend_transitions(&self, backend: usize, enabled: &mut Vec<Transition>) {
        let Some(lease) = self.state_machine.lease(&backend_name(backend)) else { return };
        if self.has_pending_step(backend) {
            enabled.push(Transition::ReportStep { backend, succeeded: true });
            if self.failures > 0 {
                enabled.push(Transition::ReportStep { backend, succeeded: false });
            }
        }
        match lease.health {
            HealthState::Up if self.failures > 0 => {
                enabled.push(Transition::Observe { backend, health: HealthState::Down });
            }
            HealthState::Up => {}
            _ => enabled.push(Transition::Observe { backend, health: HealthState::Up }),
        }
    }

    pub(super) fn add_operator_transitions(&self, enabled: &mut Vec<Transition>) {
        if self.operator_commands == 0 {
            return;
        }
        enabled.extend([Transition::Halt, Transition::Resume, Transition::RollBack]);
        if self.lease_state(UNPLANNED_BACKEND) == Some(LeaseState::InService) {
            enabled.push(Transition::TakeOut);
        }
        if self.before_halt.is_some() {
            enabled.push(Transition::LeaderChange);
        }
    }
}
