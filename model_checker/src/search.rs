//! Breadth-first search, level by level on all cores: the same states and the same counts every time.
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

pub trait Model: Sync {
    type State: Clone + Hash + Send + Sync;
    type Step: Clone + Send + Sync + std::fmt::Display;
    fn first(&self) -> Self::State;
    /// All that may happen next, always in the same order.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;
    /// The state after it, in the form that equal states share.
    fn take(&self, state: &Self::State, step: &Self::Step) -> Self::State;
    /// The name of a property that does not hold.
    fn broken(&self, state: &Self::State) -> Option<&'static str>;
    /// Whether all goes on from here once nothing fails any more; looked at for a part of the states.
    fn goes_on(&self, state: &Self::State) -> bool;
}

/// Where a search ends.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub states: usize,
    pub depth: usize,
    /// One state in so many is looked at for a way on; 0 is none.
    pub way_on: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Found {
    /// Different states, steps between them, and the longest shortest way to one.
    pub states: usize,
    pub steps: usize,
    pub depth: usize,
    pub looked: usize,
    /// All states within the model's own bounds were seen.
    pub whole: bool,
    /// The property that is broken, and the shortest way there.
    pub broken: Option<(&'static str, Vec<String>)>,
}

type Print = u128;

/// 128 bits of two hashes with different beginnings: a chance of one in 10^26 that two of a million meet.
fn print<T: Hash>(of: &T) -> Print {
    let half = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        of.hash(&mut hasher);
        hasher.finish()
    };
    u128::from(half(1)) << 64 | u128::from(half(2))
}

/// The state before, and which of its steps led on.
type Parents = HashMap<Print, (Print, u32)>;

struct Next<S> {
    print: Print,
    parent: Print,
    step: u32,
    state: S,
    broken: Option<&'static str>,
}

pub fn search<M: Model>(model: &M, bounds: &Bounds) -> Found {
    let first = model.first();
    let root = print(&first);
    let mut parents: Parents = HashMap::from([(root, (root, 0))]);
    let mut level = vec![(root, first)];
    let mut found = Found { states: 1, ..Found::default() };
    while !level.is_empty() {
        if found.states >= bounds.states || found.depth >= bounds.depth {
            return found;
        }
        let mut broken: Option<(&'static str, Print)> = None;
        let mut deeper = Vec::new();
        // Put together in parts, so that what many lead to is not held as often.
        const PARTS: usize = 1 << 13;
        for part in level.chunks(PARTS) {
            if found.states >= bounds.states {
                break;
            }
            let (next, steps, looked, stuck) = expand(model, part, &parents, bounds);
            (found.steps, found.looked) = (found.steps + steps, found.looked + looked);
            if let Some(print) = stuck {
                found.broken = Some(("a way on once links heal", way(model, &parents, root, print)));
                return found;
            }
            for one in next {
                if parents.contains_key(&one.print) {
                    continue;
                }
                parents.insert(one.print, (one.parent, one.step));
                found.states += 1;
                broken = broken.or(one.broken.map(|what| (what, one.print)));
                deeper.push((one.print, one.state));
            }
        }
        level = deeper;
        found.depth += usize::from(!level.is_empty());
        if let Some((what, print)) = broken {
            found.broken = Some((what, way(model, &parents, root, print)));
            return found;
        }
    }
    found.whole = true;
    found
}

/// All that follows on a level, in its order.
fn expand<M: Model>(
    model: &M,
    level: &[(Print, M::State)],
    parents: &Parents,
    bounds: &Bounds,
) -> (Vec<Next<M::State>>, usize, usize, Option<Print>) {
    const PART: usize = 256;
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let at = AtomicUsize::new(0);
    let parts = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let part = at.fetch_add(1, Ordering::Relaxed);
                let Some(states) = level.chunks(PART).nth(part) else { return };
                let mut seen = HashSet::new();
                let (mut next, mut steps, mut looked, mut stuck) = (Vec::new(), 0, 0, None);
                for (parent, state) in states {
                    if bounds.way_on > 0 && (*parent as u64).is_multiple_of(bounds.way_on) {
                        looked += 1;
                        if stuck.is_none() && !model.goes_on(state) {
                            stuck = Some(*parent);
                        }
                    }
                    for (i, step) in model.steps(state).into_iter().enumerate() {
                        steps += 1;
                        let state = model.take(state, &step);
                        let print = print(&state);
                        if !parents.contains_key(&print) && seen.insert(print) {
                            let broken = model.broken(&state);
                            next.push(Next { print, parent: *parent, step: i as u32, state, broken });
                        }
                    }
                }
                if let Ok(mut parts) = parts.lock() {
                    parts.push((part, next, steps, looked, stuck));
                }
            });
        }
    });
    let mut parts = parts.into_inner().unwrap_or_default();
    parts.sort_by_key(|part| part.0);
    let (mut next, mut steps, mut looked, mut stuck) = (Vec::new(), 0, 0, None);
    for (_, part, s, l, first) in parts {
        next.extend(part);
        (steps, looked, stuck) = (steps + s, looked + l, stuck.or(first));
    }
    (next, steps, looked, stuck)
}

/// The steps that lead to a state, told.
fn way<M: Model>(model: &M, parents: &Parents, root: Print, mut print: Print) -> Vec<String> {
    let mut steps = Vec::new();
    while print != root {
        let Some(&(parent, step)) = parents.get(&print) else { break };
        steps.push(step);
        print = parent;
    }
    let mut state = model.first();
    let mut told = Vec::new();
    for step in steps.into_iter().rev() {
        let Some(one) = model.steps(&state).into_iter().nth(step as usize) else { break };
        told.push(one.to_string());
        state = model.take(&state, &one);
    }
    told
}
