//! A model of a rollout over the replicated state machine: all orders of what deployers, leaders and operators
//! do, with failures. One state machine stands for all voters; that they have the same is checked by
//! [`crate::cluster`].
use crate::search::Model;
use hallrelay_disruption::{
    AnalysisPolicy, Budget, Command, FailureDomain, HealthState, ItemState, LeaseState, Rollout, RolloutItem,
    RolloutPhase, RolloutPlan, Scope, State as StateMachine, Target, TargetKind, Wave,
};
use std::fmt::{Display, Formatter};

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

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RolloutState {
    state_machine: StateMachine,
    /// The state before the last halt, until the leader changes.
    before_halt: Option<StateMachine>,
    /// The rollout is halted, and nobody has resumed it or rolled it back since.
    is_halted: bool,
    /// Failures that may still occur.
    failures: u8,
    /// Commands that operators may still give.
    operator_commands: u8,
    /// An invariant that was violated by a transition.
    violated: Option<&'static str>,
}

/// A transition of the model. Backends are given by their positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A deployer reports a step as done or failed.
    ReportStep {
        /// The backend.
        backend: usize,
        /// The step is done.
        succeeded: bool,
    },
    /// The leader observes the health of a backend.
    Observe {
        /// The backend.
        backend: usize,
        /// Its health.
        health: HealthState,
    },
    /// The leader has analyzed a wave.
    Analyze {
        /// The wave is as good as before.
        passed: bool,
    },
    /// An operator halts the rollout.
    Halt,
    /// An operator resumes the rollout.
    Resume,
    /// An operator rolls the rollout back.
    RollBack,
    /// An operator takes out the backend that is in no wave.
    TakeOut,
    /// The backend that is in no wave is back.
    Return,
    /// The leader changes.
    LeaderChange,
}

impl Display for Transition {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        write!(f, "{self:?}")
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

fn backend_name(backend: usize) -> Target {
    Target::Backend(format!("s{backend}"))
}

fn operator() -> String {
    "ann".to_string()
}

fn no_reason() -> String {
    String::new()
}

fn backends_out(state_machine: &StateMachine) -> usize {
    let is_out = |state| matches!(state, LeaseState::Granted | LeaseState::Out | LeaseState::Returning);
    state_machine.leases().filter(|(_, lease)| is_out(lease.state)).count()
}

/// Backends whose disruption has begun.
fn disrupted_backends(state_machine: &StateMachine) -> Vec<Target> {
    let disrupted = state_machine.leases().filter(|(_, lease)| lease.state == LeaseState::Out);
    disrupted.map(|(target, _)| target.clone()).collect()
}

impl RolloutState {
    fn rollout(&self) -> Option<&Rollout> {
        self.state_machine.rollout()
    }

    fn is_over(&self) -> bool {
        self.rollout().is_some_and(|rollout| rollout.phase.is_over())
    }

    fn lease_state(&self, backend: usize) -> Option<LeaseState> {
        self.state_machine.lease(&backend_name(backend)).map(|lease| lease.state)
    }

    /// The number of a backend's grant; 0 for none.
    fn lease_id(&self, backend: usize) -> u64 {
        self.state_machine.lease(&backend_name(backend)).map_or(0, |lease| lease.lease_id)
    }

    fn has_halted_phase(&self) -> bool {
        let phase = self.rollout().map(|rollout| rollout.phase);
        matches!(phase, Some(RolloutPhase::Halted | RolloutPhase::RollbackHalted))
    }

    fn apply(&mut self, command: &Command) {
        let before = disrupted_backends(&self.state_machine);
        self.state_machine.apply(command);
        let begins = disrupted_backends(&self.state_machine).iter().any(|backend| !before.contains(backend));
        // What was requested by hand may begin while the rollout is halted.
        let is_requested = matches!(command, Command::Begin { .. });
        if self.is_halted && begins && !is_requested {
            self.violated = Some("no step begins after a halt");
        }
    }

    /// Whether a deployer has a step of the rollout to do on a backend.
    fn has_step_to_do(&self, backend: usize) -> bool {
        let Some(rollout) = self.rollout() else { return false };
        let item = rollout.items.iter().find(|item| item.target == backend_name(backend));
        let is_due =
            item.is_some_and(|item| matches!(item.state, ItemState::Updating | ItemState::RollingBack));
        is_due && self.lease_state(backend) == Some(LeaseState::Out)
    }

    fn add_backend_transitions(&self, backend: usize, enabled: &mut Vec<Transition>) {
        let Some(lease) = self.state_machine.lease(&backend_name(backend)) else { return };
        if self.has_step_to_do(backend) {
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

    fn add_operator_transitions(&self, enabled: &mut Vec<Transition>) {
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
