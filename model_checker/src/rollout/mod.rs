//! A model of a rollout over the replicated state machine. It explores all orders of the actions of
//! deployers, leaders and operators, with failures. A single state machine represents all voters, because
//! [`crate::cluster`] checks that their state machines are equal.
mod state;
mod transition;

pub use state::RolloutState;
pub use transition::Transition;

use crate::search::Model;
use hallrelay_disruption::{
    AnalysisPolicy, Budget, Command, FailureDomain, HealthState, ItemState, LeaseState, RolloutItem,
    RolloutPhase, RolloutPlan, Scope, State as StateMachine, TargetKind, Wave,
};
use state::{backend_name, backends_out};

/// Number of backends: one in the first wave, two in the second, and one that is in no wave.
const BACKENDS: usize = 4;
/// The position of the only backend that is in no wave.
const UNPLANNED_BACKEND: usize = 3;
/// Maximum number of backends that may be out of service at a time.
const BUDGET: usize = 2;
/// Maximum number of transitions until a rollback is finished once no fault occurs any more.
const MAX_RECOVERY_STEPS: usize = 64;

/// A deliberate defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// No defect.
    None,
    /// A new leader continues from the state before a halt.
    HaltForgotten,
    /// A rollback command resumes the rollout.
    RollbackResumes,
}

impl Mutation {
    /// All defects.
    pub const ALL: [Mutation; 2] = [Mutation::HaltForgotten, Mutation::RollbackResumes];

    /// The printed name.
    pub fn as_str(self) -> &'static str {
        match self {
            Mutation::None => "nothing",
            Mutation::HaltForgotten => "haltforgotten",
            Mutation::RollbackResumes => "waybackresumes",
        }
    }
}

/// The parameters of the model.
#[derive(Clone, Copy, Debug)]
pub struct RolloutModel {
    /// The deliberate defect that the search must find, or none.
    pub mutation: Mutation,
    /// Maximum number of failures on any path from the initial state.
    pub failures: u8,
    /// Maximum number of operators' commands on any path from the initial state.
    pub operator_commands: u8,
}

fn operator() -> String {
    "ann".to_string()
}

fn no_reason() -> String {
    String::new()
}

impl RolloutModel {
    fn initial_state_machine() -> StateMachine {
        let mut state_machine = StateMachine::default();
        state_machine.apply(&Command::SetBudgets(vec![Budget {
            target_kind: TargetKind::Backend,
            scope: Scope::Fleet,
            max_count: Some(BUDGET as u32),
            max_share_ppm: None,
        }]));
        for backend in 0..BACKENDS {
            state_machine.apply(&Command::Observe {
                target: backend_name(backend),
                domain: FailureDomain::default(),
                health: HealthState::Up,
            });
        }
        let wave = |backends: &[usize]| Wave {
            names: backends.iter().map(|backend| backend_name(*backend).name().to_string()).collect(),
            ..Wave::default()
        };
        let plan = RolloutPlan {
            build: "new".to_string(),
            target_kind: TargetKind::Backend,
            waves: vec![wave(&[0]), wave(&[1, 2])],
            analysis: AnalysisPolicy { min_sessions: 1, margin_ppm: 0, deadline_s: 1 },
            requested_by: operator(),
        };
        state_machine.apply(&Command::StartRollout { plan });
        state_machine
    }

    fn take(&self, state: &mut RolloutState, transition: &Transition) {
        match transition {
            Transition::ReportStep { backend, succeeded } => {
                state.failures -= u8::from(!succeeded);
                let (target, lease_id) = (backend_name(*backend), state.lease_id(*backend));
                state.apply(&Command::MarkDone {
                    target,
                    lease_id,
                    succeeded: *succeeded,
                    reason: no_reason(),
                });
            }
            Transition::Observe { backend, health } => {
                state.failures -= u8::from(*health == HealthState::Down);
                let (target, domain) = (backend_name(*backend), FailureDomain::default());
                state.apply(&Command::Observe { target, domain, health: *health });
            }
            Transition::Analyze { passed } => {
                let wave = state.rollout().map_or(0, |rollout| rollout.wave as u64);
                state.apply(&Command::RecordAnalysis { wave, passed: *passed, reason: no_reason() });
            }
            Transition::Return => {
                state.apply(&Command::Return { target: backend_name(UNPLANNED_BACKEND) });
            }
            _ => {
                state.operator_commands -= 1;
                self.take_operator_transition(state, transition);
            }
        }
        track_halt(state, transition);
    }

    fn take_operator_transition(&self, state: &mut RolloutState, transition: &Transition) {
        match transition {
            Transition::Halt => {
                state.before_halt = Some(state.state_machine.clone());
                state.apply(&Command::Halt { requested_by: operator(), reason: no_reason() });
            }
            Transition::Resume => {
                state.is_halted = false;
                state.apply(&Command::Resume { requested_by: operator() });
            }
            Transition::RollBack => {
                // The rollback permits the disruptions that begin with it.
                state.is_halted = false;
                let command = match self.mutation {
                    Mutation::RollbackResumes => Command::Resume { requested_by: operator() },
                    Mutation::None | Mutation::HaltForgotten => {
                        Command::RollBack { requested_by: operator() }
                    }
                };
                state.apply(&command);
            }
            Transition::TakeOut => {
                state.apply(&Command::Request {
                    target: backend_name(UNPLANNED_BACKEND),
                    request_id: 1,
                    requested_by: operator(),
                    reason: no_reason(),
                    force: false,
                });
                let lease_id = state.lease_id(UNPLANNED_BACKEND);
                state.apply(&Command::Begin { target: backend_name(UNPLANNED_BACKEND), lease_id });
            }
            Transition::LeaderChange => {
                let before_halt = state.before_halt.take();
                if self.mutation == Mutation::HaltForgotten {
                    state.state_machine = before_halt.unwrap_or_default();
                }
            }
            _ => {}
        }
    }
}

/// Updates whether the rollout is halted, by an operator or by a failure.
fn track_halt(state: &mut RolloutState, transition: &Transition) {
    state.is_halted = match transition {
        Transition::Halt => state.has_halted_phase(),
        Transition::Resume | Transition::RollBack => false,
        _ => state.is_halted || state.has_halted_phase(),
    };
}

impl Model for RolloutModel {
    type State = RolloutState;
    type Transition = Transition;

    fn initial_state(&self) -> RolloutState {
        RolloutState {
            state_machine: RolloutModel::initial_state_machine(),
            before_halt: None,
            is_halted: false,
            failures: self.failures,
            operator_commands: self.operator_commands,
            violated: None,
        }
    }

    fn transitions(&self, state: &RolloutState) -> Vec<Transition> {
        let mut enabled = Vec::new();
        let Some(rollout) = state.rollout() else { return enabled };
        for backend in 0..BACKENDS {
            state.add_backend_transitions(backend, &mut enabled);
        }
        if rollout.phase == RolloutPhase::Analyzing {
            enabled.push(Transition::Analyze { passed: true });
            enabled.push(Transition::Analyze { passed: false });
        }
        state.add_operator_transitions(&mut enabled);
        if state.lease_state(UNPLANNED_BACKEND) == Some(LeaseState::Out) {
            enabled.push(Transition::Return);
        }
        enabled
    }

    fn next_state(&self, state: &RolloutState, transition: &Transition) -> RolloutState {
        let mut next = state.clone();
        self.take(&mut next, transition);
        next
    }

    fn violated_invariant(&self, state: &RolloutState) -> Option<&'static str> {
        if state.violated.is_some() {
            return state.violated;
        }
        // A backend that is down is not counted, because the state machine did not grant it a lease.
        (backends_out(&state.state_machine) > BUDGET).then_some("disruptions within the budget")
    }

    /// Once no fault occurs any more and deployers complete their steps, the rollout can be halted and rolled
    /// back.
    fn can_recover(&self, state: &RolloutState) -> bool {
        if state.is_over() {
            return true;
        }
        let mut state = RolloutState { failures: 0, operator_commands: u8::MAX, ..state.clone() };
        for transition in [Transition::Halt, Transition::RollBack] {
            state = self.next_state(&state, &transition);
        }
        for _ in 0..MAX_RECOVERY_STEPS {
            if state.is_over() {
                let is_rolled_back =
                    |item: &RolloutItem| matches!(item.state, ItemState::Pending | ItemState::RolledBack);
                return state.rollout().is_some_and(|rollout| rollout.items.iter().all(is_rolled_back));
            }
            let due = self.transitions(&state).into_iter().find(is_recovery_step);
            let Some(transition) = due else { return false };
            state = self.next_state(&state, &transition);
        }
        false
    }
}

/// Returns whether a transition occurs without a fault or an operator's command.
fn is_recovery_step(transition: &Transition) -> bool {
    matches!(
        transition,
        Transition::ReportStep { succeeded: true, .. }
            | Transition::Observe { health: HealthState::Up, .. }
            | Transition::Return
    )
}
