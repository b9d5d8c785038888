//! Explicit-state breadth-first search of a model, level by level on all cores.
//!
//! The successors of a level are merged in a fixed order. Therefore each search of a model visits the same
//! states and reports the same counts, and a counterexample is a shortest one.
use std::collections::{HashMap, HashSet};
use std::fmt::Display;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The name of the property that [`Model::can_recover`] checks.
const RECOVERY: &str = "recovery once no fault occurs";
/// Number of states whose successors are merged at once. This bounds the memory for successors that several
/// threads find, because duplicates are dropped after each batch.
const BATCH_STATES: usize = 1 << 13;
/// Number of states that a thread expands per task.
const TASK_STATES: usize = 256;

/// A transition system with invariants.
pub trait Model: Sync {
    /// A state in canonical form: equivalent states are equal.
    type State: Clone + Hash + Send + Sync;
    /// A transition from one state to another.
    type Transition: Clone + Send + Sync + Display;

    /// The initial state of the search.
    fn initial_state(&self) -> Self::State;

    /// All transitions that are enabled in a state, in a deterministic order.
    fn transitions(&self, state: &Self::State) -> Vec<Self::Transition>;

    /// The state after a transition.
    fn next_state(&self, state: &Self::State, transition: &Self::Transition) -> Self::State;

    /// The name of an invariant that a state violates, if any.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;

    /// Liveness: returns whether the system makes progress from a state once no fault occurs any more. The
    /// search checks a sample of the states.
    fn can_recover(&self, state: &Self::State) -> bool;
}

/// The limits of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of distinct states, checked after each batch.
    pub max_states: usize,
    /// Maximum number of transitions from the initial state.
    pub max_depth: usize,
    /// One of this many states is checked with [`Model::can_recover`]; 0 disables the check.
    pub recovery_sampling: u64,
}

/// A shortest sequence of transitions to a state that violates a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The name of the property.
    pub property: &'static str,
    /// The text of each transition, starting at the initial state.
    pub trace: Vec<String>,
}

/// The outcome of a search.
#[derive(Clone, Debug, Default)]
pub struct SearchReport {
    /// Distinct states visited.
    pub states: usize,
    /// Transitions taken between these states.
    pub transitions: usize,
    /// The greatest distance of a visited state from the initial state.
    pub depth: usize,
    /// States that were checked for recovery.
    pub recovery_checks: usize,
    /// Whether all reachable states were visited.
    pub exhaustive: bool,
    /// The first violation found.
    pub counterexample: Option<Counterexample>,
}

/// Identifies a state by two 64-bit hashes. The probability of a collision among a million states is 1e-26.
type Fingerprint = u128;

fn fingerprint<T: Hash>(state: &T) -> Fingerprint {
    let hash_with = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        state.hash(&mut hasher);
        hasher.finish()
    };
    u128::from(hash_with(1)) << 64 | u128::from(hash_with(2))
}

/// The first transition that reached a state.
#[derive(Clone, Copy)]
struct Edge {
    parent: Fingerprint,
    /// The position of the transition among those of the parent.
    transition: u32,
}

/// All visited states, with the first edge to each.
type Visited = HashMap<Fingerprint, Edge>;

struct FingerprintedState<S> {
    fingerprint: Fingerprint,
    state: S,
}

struct Successor<S> {
    state: FingerprintedState<S>,
    edge: Edge,
    violated: Option<&'static str>,
}

struct Violation {
    property: &'static str,
    state: Fingerprint,
}

/// The successors of a sequence of states, in order.
struct Expansion<S> {
    successors: Vec<Successor<S>>,
    transitions: usize,
    recovery_checks: usize,
    /// The first state that cannot recover.
    stuck: Option<Fingerprint>,
}

impl<S> Expansion<S> {
    fn new() -> Expansion<S> {
        Expansion { successors: Vec::new(), transitions: 0, recovery_checks: 0, stuck: None }
    }

    fn extend(&mut self, other: Expansion<S>) {
        self.successors.extend(other.successors);
        self.transitions += other.transitions;
        self.recovery_checks += other.recovery_checks;
        self.stuck = self.stuck.or(other.stuck);
    }
}

/// The states that were first found at one depth, and the first violation of an invariant among them.
struct Level<S> {
    states: Vec<FingerprintedState<S>>,
    violation: Option<Violation>,
}

/// Visits the states of a model breadth first until a property is violated or a bound is reached.
pub fn search<M: Model>(model: &M, bounds: &Bounds) -> SearchReport {
    let state = model.initial_state();
    let root = fingerprint(&state);
    let root_edge = Edge { parent: root, transition: 0 };
    let search = Search {
        model,
        bounds,
        root,
        visited: HashMap::from([(root, root_edge)]),
        report: SearchReport { states: 1, ..SearchReport::default() },
    };
    search.run(vec![FingerprintedState { fingerprint: root, state }])
}

struct Search<'a, M: Model> {
    model: &'a M,
    bounds: &'a Bounds,
    root: Fingerprint,
    visited: Visited,
    report: SearchReport,
}

impl<M: Model> Search<'_, M> {
    fn run(mut self, mut level: Vec<FingerprintedState<M::State>>) -> SearchReport {
        while !level.is_empty() {
            if self.report.states >= self.bounds.max_states || self.report.depth >= self.bounds.max_depth {
                return self.report;
            }
            let next = match self.next_level(&level) {
                Ok(next) => next,
                Err(violation) => return self.report_violation(&violation),
            };
            level = next.states;
            self.report.depth += usize::from(!level.is_empty());
            if let Some(violation) = next.violation {
                return self.report_violation(&violation);
            }
        }
        self.report.exhaustive = true;
        self.report
    }

    /// Visits the successors of a level that were not visited before. A state of the level that cannot
    /// recover ends the search immediately. A new state that violates an invariant ends it after the level.
    fn next_level(&mut self, level: &[FingerprintedState<M::State>]) -> Result<Level<M::State>, Violation> {
        let mut next = Level { states: Vec::new(), violation: None };
        for batch in level.chunks(BATCH_STATES) {
            // The level that reaches this bound stays incomplete; `run` then returns.
            if self.report.states >= self.bounds.max_states {
                break;
            }
            let expansion = expand(self.model, batch, &self.visited, self.bounds);
            self.report.transitions += expansion.transitions;
            self.report.recovery_checks += expansion.recovery_checks;
            if let Some(state) = expansion.stuck {
                return Err(Violation { property: RECOVERY, state });
            }
            for successor in expansion.successors {
                self.visit(successor, &mut next);
            }
        }
        Ok(next)
    }

    fn visit(&mut self, successor: Successor<M::State>, next: &mut Level<M::State>) {
        let fingerprint = successor.state.fingerprint;
        if self.visited.contains_key(&fingerprint) {
            return;
        }
        self.visited.insert(fingerprint, successor.edge);
        self.report.states += 1;
        if next.violation.is_none() {
            next.violation = successor.violated.map(|property| Violation { property, state: fingerprint });
        }
        next.states.push(successor.state);
    }

    fn report_violation(mut self, violation: &Violation) -> SearchReport {
        let trace = self.trace(violation.state);
        self.report.counterexample = Some(Counterexample { property: violation.property, trace });
        self.report
    }

    /// The text of the transitions that lead from the initial state to a visited state.
    fn trace(&self, target: Fingerprint) -> Vec<String> {
        let mut positions = Vec::new();
        let mut current = target;
        while current != self.root {
            let Some(edge) = self.visited.get(&current) else { break };
            positions.push(edge.transition);
            current = edge.parent;
        }
        let mut state = self.model.initial_state();
        let mut trace = Vec::new();
        for position in positions.into_iter().rev() {
            let enabled = self.model.transitions(&state);
            let Some(transition) = enabled.get(position as usize) else { break };
            trace.push(transition.to_string());
            state = self.model.next_state(&state, transition);
        }
        trace
    }
}

/// Expands states on all cores. The successors are in the order of the states.
fn expand<M: Model>(
    model: &M,
    states: &[FingerprintedState<M::State>],
    visited: &Visited,
    bounds: &Bounds,
) -> Expansion<M::State> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let next_task = AtomicUsize::new(0);
    let finished = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let task = next_task.fetch_add(1, Ordering::Relaxed);
                let Some(states) = states.chunks(TASK_STATES).nth(task) else { return };
                let expansion = expand_task(model, states, visited, bounds);
                if let Ok(mut finished) = finished.lock() {
                    finished.push((task, expansion));
                }
            });
        }
    });
    let mut finished = finished.into_inner().unwrap_or_default();
    finished.sort_by_key(|(task, _)| *task);
    let mut all = Expansion::new();
    for (_, expansion) in finished {
        all.extend(expansion);
    }
    all
}

fn expand_task<M: Model>(
    model: &M,
    states: &[FingerprintedState<M::State>],
    visited: &Visited,
    bounds: &Bounds,
) -> Expansion<M::State> {
    let mut expansion = Expansion::new();
    let mut found_in_task = HashSet::new();
    for FingerprintedState { fingerprint: parent, state } in states {
        if is_sampled(*parent, bounds) {
            expansion.recovery_checks += 1;
            if expansion.stuck.is_none() && !model.can_recover(state) {
                expansion.stuck = Some(*parent);
            }
        }
        for (position, transition) in model.transitions(state).into_iter().enumerate() {
            expansion.transitions += 1;
            let state = model.next_state(state, &transition);
            let fingerprint = fingerprint(&state);
            if visited.contains_key(&fingerprint) || !found_in_task.insert(fingerprint) {
                continue;
            }
            let violated = model.violated_invariant(&state);
            let edge = Edge { parent: *parent, transition: position as u32 };
            let state = FingerprintedState { fingerprint, state };
            expansion.successors.push(Successor { state, edge, violated });
        }
    }
    expansion
}

fn is_sampled(fingerprint: Fingerprint, bounds: &Bounds) -> bool {
    bounds.recovery_sampling > 0 && (fingerprint as u64).is_multiple_of(bounds.recovery_sampling)
}
