//! A release over the agreed state, by every order of what deployers, leaders and people say, with failures
//! in between. One state stands for all voters: that they have the same is `voters.rs`'s matter.
use crate::search::Model;
use hallrelay_disruption::{
    Budget, Command, Condition, Judge, Kind, Phase, Place, Plan, Scope, Stage, State, Step as Of, Thing, Wave,
};
use std::fmt::{Display, Formatter};

/// What is done wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// A new leader has not heard of the halt: it goes on by the state before it.
    HaltForgotten,
    /// The way back goes on where it was halted.
    WayBackResumes,
}

impl Planted {
    pub const ALL: [Planted; 2] = [Planted::HaltForgotten, Planted::WayBackResumes];
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    agreed: State,
    /// Before the halt, for who forgets it.
    before: Option<State>,
    /// Halted by the last word of a person or of the leader.
    halted: bool,
    failures: u8,
    words: u8,
    wrong: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Did(usize, bool),
    Seen(usize, Condition),
    Judged(bool),
    Halt,
    Resume,
    WayBack,
    /// A person wants one that is in no wave.
    Ask,
    Back,
    /// The leader changes.
    Turns,
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        write!(f, "{self:?}")
    }
}

pub struct Releases {
    pub planted: Planted,
    /// Things that fail, and words of people, on one way.
    pub failures: u8,
    pub words: u8,
}

/// Two waves of one and two, and one that is left alone; two may be out.
const THINGS: usize = 4;
const BUDGET: usize = 2;

fn thing(i: usize) -> Thing {
    Thing::Server(format!("s{i}"))
}

fn out(state: &State) -> usize {
    let out = |stage: Stage| matches!(stage, Stage::Granted | Stage::Out | Stage::Returning);
    state.things().filter(|(_, r)| out(r.stage)).count()
}

impl Releases {
    fn apply(&self, w: &mut World, command: &Command) {
        let begun = |state: &State| -> Vec<Thing> {
            let out = state.things().filter(|(_, r)| r.stage == Stage::Out);
            out.map(|(thing, _)| thing.clone()).collect()
        };
        let before = begun(&w.agreed);
        let asks = matches!(command, Command::Begin { .. });
        w.agreed.apply(command);
        let new = begun(&w.agreed).into_iter().filter(|thing| !before.contains(thing)).count();
        if w.halted && new > 0 && !asks {
            w.wrong = Some("no step begins after a halt");
        }
    }
}

impl Model for Releases {
    type State = World;
    type Step = Step;

    fn first(&self) -> World {
        let mut agreed = State::default();
        let (of, scope, count) = (Kind::Server, Scope::Fleet, Some(BUDGET as u32));
        agreed.apply(&Command::Budgets(vec![Budget { of, scope, count, part: None }]));
        for i in 0..THINGS {
            let (place, condition) = (Place::default(), Condition::Up);
            agreed.apply(&Command::Seen { thing: thing(i), place, condition });
        }
        let wave = |names: &[usize]| Wave {
            names: names.iter().map(|i| thing(*i).name().to_string()).collect(),
            ..Wave::default()
        };
        let plan = Plan {
            build: "new".to_string(),
            of,
            waves: vec![wave(&[0]), wave(&[1, 2])],
            judge: Judge { sessions: 1, worse: 0, within_s: 1 },
            by: "ann".to_string(),
        };
        agreed.apply(&Command::Start { plan });
        let (failures, words) = (self.failures, self.words);
        World { agreed, before: None, halted: false, failures, words, wrong: None }
    }

    fn steps(&self, w: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        let Some(release) = w.agreed.release() else { return steps };
        for i in 0..THINGS {
            let Some(r) = w.agreed.get(&thing(i)) else { continue };
            let item = release.items.iter().find(|item| item.thing == thing(i));
            if r.stage == Stage::Out && item.is_some_and(|item| matches!(item.step, Of::Going | Of::Undoing))
            {
                steps.push(Step::Did(i, true));
                if w.failures > 0 {
                    steps.push(Step::Did(i, false));
                }
            }
            match r.condition {
                Condition::Up if w.failures > 0 => steps.push(Step::Seen(i, Condition::Down)),
                Condition::Up => {}
                _ => steps.push(Step::Seen(i, Condition::Up)),
            }
        }
        if release.phase == Phase::Judging {
            steps.extend([Step::Judged(true), Step::Judged(false)]);
        }
        if w.words > 0 {
            steps.extend([Step::Halt, Step::Resume, Step::WayBack]);
            if w.agreed.get(&thing(3)).is_some_and(|r| r.stage == Stage::In) {
                steps.push(Step::Ask);
            }
            if w.before.is_some() {
                steps.push(Step::Turns);
            }
        }
        if w.agreed.get(&thing(3)).is_some_and(|r| r.stage == Stage::Out) {
            steps.push(Step::Back);
        }
        steps
    }

    fn take(&self, w: &World, step: &Step) -> World {
        let mut w = w.clone();
        let text = String::new;
        let by = || "ann".to_string();
        let phase = |w: &World| w.agreed.release().map(|release| release.phase);
        match step {
            Step::Did(i, good) => {
                let grant = w.agreed.get(&thing(*i)).map_or(0, |r| r.grant);
                let command = Command::Did { thing: thing(*i), grant, good: *good, why: text() };
                w.failures -= u8::from(!good);
                self.apply(&mut w, &command);
            }
            Step::Seen(i, condition) => {
                w.failures -= u8::from(*condition == Condition::Down);
                let command =
                    Command::Seen { thing: thing(*i), place: Place::default(), condition: *condition };
                self.apply(&mut w, &command);
            }
            Step::Judged(good) => {
                let wave = w.agreed.release().map_or(0, |release| release.wave as u64);
                self.apply(&mut w, &Command::Judged { wave, good: *good, why: text() });
            }
            Step::Halt => {
                w.words -= 1;
                w.before = Some(w.agreed.clone());
                self.apply(&mut w, &Command::Halt { by: by(), why: text() });
            }
            Step::Resume => {
                w.words -= 1;
                w.halted = false;
                self.apply(&mut w, &Command::Resume { by: by() });
            }
            Step::WayBack => {
                w.words -= 1;
                // The way back is a word of its own: what begins with it was let go by it.
                w.halted = false;
                let command = match self.planted {
                    Planted::WayBackResumes => Command::Resume { by: by() },
                    _ => Command::WayBack { by: by() },
                };
                self.apply(&mut w, &command);
            }
            Step::Ask => {
                w.words -= 1;
                let ask = Command::Ask { thing: thing(3), call: 1, by: by(), why: text(), force: false };
                self.apply(&mut w, &ask);
                let grant = w.agreed.get(&thing(3)).map_or(0, |r| r.grant);
                self.apply(&mut w, &Command::Begin { thing: thing(3), grant });
            }
            Step::Back => self.apply(&mut w, &Command::Back { thing: thing(3) }),
            Step::Turns => {
                w.words -= 1;
                if self.planted == Planted::HaltForgotten {
                    w.agreed = w.before.clone().unwrap_or_default();
                }
                w.before = None;
            }
        }
        w.halted = match step {
            Step::Halt => matches!(phase(&w), Some(Phase::Halted | Phase::ReturnHalted)),
            Step::Resume | Step::WayBack => false,
            _ => w.halted || matches!(phase(&w), Some(Phase::Halted | Phase::ReturnHalted)),
        };
        w
    }

    fn broken(&self, w: &World) -> Option<&'static str> {
        if w.wrong.is_some() {
            return w.wrong;
        }
        // Who is down beside them was refused nothing, and is no fault of the grants'.
        (out(&w.agreed) > BUDGET).then_some("never more out than the budget")
    }

    /// Nothing fails any more, deployers do what is due: the release can be halted and brought back.
    fn goes_on(&self, w: &World) -> bool {
        let mut w = World { failures: 0, words: u8::MAX, ..w.clone() };
        let over = |w: &World| w.agreed.release().is_some_and(|release| release.phase.is_over());
        if over(&w) {
            return true;
        }
        for step in [Step::Halt, Step::WayBack] {
            w = self.take(&w, &step);
        }
        for _ in 0..64 {
            if over(&w) {
                let back =
                    |item: &hallrelay_disruption::release::Item| matches!(item.step, Of::Todo | Of::Undone);
                return w.agreed.release().is_some_and(|release| release.items.iter().all(back));
            }
            let due = self
                .steps(&w)
                .into_iter()
                .find(|step| matches!(step, Step::Did(_, true) | Step::Seen(_, Condition::Up) | Step::Back));
            let Some(step) = due else { return false };
            w = self.take(&w, &step);
        }
        false
    }
}
