//! A model of a rollout over the replicated state machine: all orders of what deployers, leaders and
//! operators do, with failures. One state machine stands for all voters; that they have the same is checked
//! by [`crate::cluster`].
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

/// Backends: two waves of one and two, and one that is in no wave.
const BACKENDS: usize = 4;
/// The backend that is in no wave.
const UNPLANNED_BACKEND: usize = 3;
/// How many backends may be out at once.
const BUDGET: usize = 2;
/// Transitions within which a rollback must be finished once no fault occurs any more.
const MAX_RECOVERY_STEPS: usize = 64;

/// A deliberate defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// No defect.
    None,
    /// A new leader goes on with the state before a halt.
    HaltForgotten,
    /// A rollback resumes the rollout.
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
    /// The deliberate defect.
    pub mutation: Mutation,
    /// Failures between the initial state and any other.
    pub failures: u8,
    /// Commands of operators between the initial state and any other.
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
        note_halt(state, transition);
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
                // What begins with a rollback was allowed by it.
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

/// Keeps whether the last thing that was said or found is a halt.
fn note_halt(state: &mut RolloutState, transition: &Transition) {
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
        // A backend that is down is not counted: the state machine did not let it out.
        (backends_out(&state.state_machine) > BUDGET).then_some("never more out than the budget")
    }

    /// Once nothing fails any more and deployers do their steps, the rollout can be halted and rolled back.
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

/// Whether a transition is taken without any fault or operator.
fn is_recovery_step(transition: &Transition) -> bool {
    matches!(
        transition,
        Transition::ReportStep { succeeded: true, .. }
            | Transition::Observe { health: HealthState::Up, .. }
            | Transition::Return
    )
}
