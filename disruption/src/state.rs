//! The state that commands are applied to, the same at each voter.
use crate::command::VERSION;
use crate::release::{Item, Phase, Plan, Release, Sign as Over, Step};
use crate::{Budget, Command, Fault, Outcome, Thing, QUEUE, THINGS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use Sign::{Asked, Begun, Dropped, Freed, Lapsed, Room, Served, Warm};
use Stage::{Granted, In, Out, Returning, Waiting};

/// How far one is on its way out and back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    #[default]
    In,
    Waiting,
    /// It may begin, and has not.
    Granted,
    Out,
    /// It is to serve again, and is not seen to do so whole yet.
    Returning,
}

impl Stage {
    pub fn word(self) -> &'static str {
        match self {
            In => "in",
            Waiting => "asked",
            Granted => "granted",
            Out => "out",
            Returning => "returning",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    Asked,
    Dropped,
    /// The budgets have room for it.
    Room,
    Begun,
    Lapsed,
    Served,
    Warm,
    Freed,
}

/// State, input, next state. What is not listed is not followed.
const TABLE: &[(Stage, Sign, Stage)] = &[
    (In, Asked, Waiting),
    (In, Served, In),
    (In, Freed, In),
    (Waiting, Dropped, In),
    (Waiting, Room, Granted),
    (Waiting, Freed, In),
    (Granted, Begun, Out),
    (Granted, Lapsed, In),
    (Granted, Dropped, In),
    (Granted, Served, In),
    (Granted, Freed, In),
    (Out, Begun, Out),
    (Out, Served, Returning),
    (Out, Freed, In),
    (Returning, Served, Returning),
    (Returning, Warm, In),
    (Returning, Freed, In),
];

/// How one does, as the leader sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Condition {
    #[default]
    Up,
    /// It serves, less than it will.
    Cold,
    /// Dead, cut off, or leaving on its own.
    Down,
    /// It is in no list any more.
    Gone,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    pub zone: String,
    pub kind: String,
    pub group: String,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Record {
    pub place: Place,
    pub condition: Condition,
    pub stage: Stage,
    /// Of the present stage; 0 where there is none.
    pub grant: u64,
    pub call: u64,
    pub by: String,
    pub why: String,
    pub forced: bool,
    /// Whose wish is older; 0 where none is.
    pub turn: u64,
}

impl Record {
    /// Whether it counts as out: because it may be, or because it does not serve whole.
    pub fn counts(&self) -> bool {
        matches!(self.stage, Granted | Out | Returning) || self.condition != Condition::Up
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct State {
    budgets: Vec<Budget>,
    things: BTreeMap<Thing, Record>,
    /// The last grant's number: they only rise.
    last: u64,
    turns: u64,
    release: Option<Release>,
}

/// The answer to a wish that waits: which budget holds it, and who is out of it.
type Held = (String, Vec<String>);

impl State {
    pub fn things(&self) -> impl Iterator<Item = (&Thing, &Record)> {
        self.things.iter()
    }

    pub fn get(&self, thing: &Thing) -> Option<&Record> {
        self.things.get(thing)
    }

    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// The one that is under way, or was last.
    pub fn release(&self) -> Option<&Release> {
        self.release.as_ref()
    }

    /// The whole of it, for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Result<State, Fault> {
        match bytes.split_first() {
            None => Ok(State::default()),
            Some((&VERSION, rest)) => postcard::from_bytes(rest).map_err(|_| Fault::Version),
            Some(_) => Err(Fault::Version),
        }
    }

    /// Applies one command, and grants what there is room for after it.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let outcome = self.follow(command);
        // What is granted may begin, what is in may end a wave, and the next wave asks.
        while self.grant_all() | self.advance() {}
        match (command, outcome) {
            (Command::Ask { thing, call, .. }, Outcome::Done) => self.asked(thing, *call),
            (_, outcome) => outcome,
        }
    }

    fn follow(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Budgets(budgets) => {
                self.budgets.clone_from(budgets);
                Outcome::Done
            }
            Command::Seen { thing, place, condition } => self.seen(thing, place, *condition),
            Command::Ask { thing, call, by, why, force } => self.ask(thing, *call, by, why, *force),
            Command::Drop { thing, call } => match self.things.get(thing) {
                Some(r) if r.call == *call => self.play(thing, Dropped),
                _ => Outcome::Not(Fault::Stale),
            },
            Command::Begin { thing, grant } => self.with_grant(thing, *grant, Begun),
            Command::Lapse { thing, grant } => self.with_grant(thing, *grant, Lapsed),
            Command::Back { thing } => {
                let outcome = self.play(thing, Served);
                self.warm(thing);
                outcome
            }
            Command::Free { thing, .. } => self.play(thing, Freed),
            Command::Start { plan } => self.begin_release(plan),
            Command::Did { thing, grant, good, why } => self.did(thing, *grant, *good, why),
            Command::Judged { wave, good, why } => self.judged(*wave, *good, why),
            Command::Halt { by, why } => self.sign(Over::Halt, &format!("by {by}: {why}")),
            Command::Resume { .. } => self.sign(Over::Resume, ""),
            Command::WayBack { by } => self.sign(Over::WayBack, &format!("by {by}: all goes back")),
        }
    }

    fn begin_release(&mut self, plan: &Plan) -> Outcome {
        if self.release.as_ref().is_some_and(|release| !release.phase.is_over()) {
            return Outcome::Not(Fault::Stale);
        }
        let known: Vec<Thing> = self.things.keys().filter(|thing| thing.kind() == plan.of).cloned().collect();
        let release = Release::new(plan.clone(), &known);
        if release.items.is_empty() || !release.missing().is_empty() {
            return Outcome::Not(Fault::Unknown);
        }
        self.release = Some(release);
        Outcome::Done
    }

    /// A person's word, or what follows from it: nothing that has not begun begins after a halt.
    fn sign(&mut self, sign: Over, why: &str) -> Outcome {
        let Some(release) = &mut self.release else { return Outcome::Not(Fault::Unknown) };
        if !release.play(sign) {
            return Outcome::Not(Fault::Stale);
        }
        if sign != Over::Resume {
            release.why = why.to_string();
        }
        let stops = matches!(sign, Over::Halt | Over::Bad | Over::WayBack);
        let unbegun = |r: Option<&Record>| r.is_none_or(|r| matches!(r.stage, In | Waiting | Granted));
        let mut dropped = Vec::new();
        for item in release.items.iter_mut().filter(|_| stops) {
            if unbegun(self.things.get(&item.thing)) {
                match item.step {
                    Step::Going => item.step = Step::Todo,
                    Step::Undoing => item.step = Step::Done,
                    _ => continue,
                }
                dropped.push(item.thing.clone());
            }
        }
        if sign == Over::WayBack {
            // Out for the new build, it may have it already: whoever deploys sees to it that it has the old.
            let begun = release.items.iter_mut().filter(|item| item.step == Step::Going);
            begun.for_each(|item| item.step = Step::Undoing);
        }
        dropped.iter().for_each(|thing| _ = self.play(thing, Dropped));
        Outcome::Done
    }

    fn did(&mut self, thing: &Thing, grant: u64, good: bool, why: &str) -> Outcome {
        let out = self.things.get(thing).is_some_and(|r| r.stage == Out && r.grant == grant);
        let Some(item) = self.release.as_mut().and_then(|release| release.item(thing)) else {
            return Outcome::Not(Fault::Unknown);
        };
        let next = match item.step {
            Step::Going => Step::Changed,
            Step::Undoing => Step::Unchanged,
            _ => return Outcome::Not(Fault::Stale),
        };
        if !out {
            return Outcome::Not(Fault::Stale);
        }
        if !good {
            return self.sign(Over::Bad, &format!("{thing} could not be changed: {why}"));
        }
        item.step = next;
        self.play(thing, Served);
        self.warm(thing);
        Outcome::Done
    }

    fn judged(&mut self, wave: u64, good: bool, why: &str) -> Outcome {
        let Some(release) = &mut self.release else { return Outcome::Not(Fault::Unknown) };
        if release.wave as u64 != wave {
            return Outcome::Not(Fault::Stale);
        }
        let last = release.wave + 1 >= release.plan.waves.len();
        let sign = match (good, last) {
            (true, true) => Over::AllGood,
            (true, false) => Over::Good,
            (false, _) => return self.sign(Over::Bad, why),
        };
        if !release.play(sign) {
            return Outcome::Not(Fault::Stale);
        }
        release.wave += usize::from(!last);
        Outcome::Done
    }

    /// What a release does by itself after a command; whether anything came of it.
    fn advance(&mut self) -> bool {
        let Some(mut release) = self.release.take() else { return false };
        let moves = match release.phase {
            Phase::Running | Phase::Halted | Phase::Judging => self.forward(&mut release),
            Phase::Returning | Phase::ReturnHalted => self.backward(&mut release),
            Phase::Finished | Phase::Back => false,
        };
        self.release = Some(release);
        moves
    }

    fn stage(&self, thing: &Thing) -> Stage {
        self.things.get(thing).map_or(Out, |r| r.stage)
    }

    /// It asks for one, in its own name.
    fn ask_for(&mut self, thing: &Thing, why: &str, by: &str) -> bool {
        const RELEASE: u64 = u64::MAX; // no call of a relay's is as late
        self.ask(thing, RELEASE, by, why, false) == Outcome::Done && self.stage(thing) != In
    }

    /// What is granted begins, what is in is done; while it runs the wave's others ask.
    fn forward(&mut self, release: &mut Release) -> bool {
        let (runs, mut moves) = (release.phase == Phase::Running, false);
        let (by, why) = (release.plan.by.clone(), format!("release of {}", release.plan.build));
        for item in release.of_wave() {
            let next = match (item.step, self.stage(&item.thing)) {
                (Step::Todo, In) if runs && self.ask_for(&item.thing, &why, &by) => Step::Going,
                (Step::Going, Granted) if runs => {
                    self.play(&item.thing, Begun);
                    moves = true;
                    continue;
                }
                // Freed by a person, or lapsed: it asks once more.
                (Step::Going, In) => Step::Todo,
                (Step::Changed, In) => Step::Done,
                _ => continue,
            };
            (item.step, moves) = (next, true);
        }
        if runs && release.of_wave().all(|item| item.step == Step::Done) {
            moves |= release.play(Over::WaveIn);
        }
        moves
    }

    /// The same on the way back: the latest wave that has any left, its last first.
    fn backward(&mut self, release: &mut Release) -> bool {
        let (runs, mut moves) = (release.phase == Phase::Returning, false);
        let (by, why) = (release.plan.by.clone(), format!("way back from {}", release.plan.build));
        let left = |item: &Item| !matches!(item.step, Step::Todo | Step::Undone);
        if let Some(last) = release.items.iter().filter(|item| left(item)).map(|item| item.wave).max() {
            release.wave = last;
        }
        let wave = release.wave;
        for item in release.items.iter_mut().rev().filter(|item| item.wave == wave) {
            let next = match (item.step, self.stage(&item.thing)) {
                (Step::Done, In) if runs && self.ask_for(&item.thing, &why, &by) => Step::Undoing,
                (Step::Undoing, Granted) if runs => {
                    self.play(&item.thing, Begun);
                    moves = true;
                    continue;
                }
                (Step::Undoing, In) | (Step::Changed, In) => Step::Done,
                (Step::Unchanged, In) => Step::Undone,
                _ => continue,
            };
            (item.step, moves) = (next, true);
        }
        if runs && !release.items.iter().any(left) {
            moves |= release.play(Over::AllBack);
        }
        moves
    }

    /// One row of the table.
    fn play(&mut self, thing: &Thing, sign: Sign) -> Outcome {
        let Some(r) = self.things.get_mut(thing) else { return Outcome::Not(Fault::Unknown) };
        let Some(row) = TABLE.iter().find(|row| (row.0, row.1) == (r.stage, sign)) else {
            return Outcome::Not(Fault::Stale);
        };
        r.stage = row.2;
        if r.stage == In {
            (r.grant, r.call, r.turn, r.forced) = (0, 0, 0, false);
            (r.by, r.why) = Default::default();
        }
        Outcome::Done
    }

    fn with_grant(&mut self, thing: &Thing, grant: u64, sign: Sign) -> Outcome {
        match self.things.get(thing) {
            Some(r) if r.grant == grant && grant != 0 => self.play(thing, sign),
            Some(_) => Outcome::Not(Fault::Stale),
            None => Outcome::Not(Fault::Unknown),
        }
    }

    /// Who returns is in once it is seen to serve whole.
    fn warm(&mut self, thing: &Thing) {
        if self.things.get(thing).is_some_and(|r| r.stage == Returning && r.condition == Condition::Up) {
            self.play(thing, Warm);
        }
    }

    fn seen(&mut self, thing: &Thing, place: &Place, condition: Condition) -> Outcome {
        if condition == Condition::Gone {
            // Who is out is not forgotten: nobody has seen it in.
            let free = self.things.get(thing).is_some_and(|r| matches!(r.stage, In | Waiting));
            if free {
                self.things.remove(thing);
            } else if let Some(r) = self.things.get_mut(thing) {
                r.condition = Condition::Down;
            }
            return Outcome::Done;
        }
        if !self.things.contains_key(thing) && self.things.len() >= THINGS {
            return Outcome::Not(Fault::Bound);
        }
        let r = self.things.entry(thing.clone()).or_default();
        (r.place, r.condition) = (place.clone(), condition);
        self.warm(thing);
        Outcome::Done
    }

    fn ask(&mut self, thing: &Thing, call: u64, by: &str, why: &str, force: bool) -> Outcome {
        let waiting = self.things.values().filter(|r| r.stage == Waiting).count();
        let Some(r) = self.things.get(thing) else { return Outcome::Not(Fault::Unknown) };
        if r.stage == In && waiting >= QUEUE && !force {
            return Outcome::Not(Fault::Bound);
        }
        self.turns += 1;
        let (turn, stage) = (self.turns, r.stage);
        if stage == In {
            self.play(thing, Asked);
        } else if stage == Returning {
            // It is on its way back: who wants it out again asks once it is in.
            return Outcome::Not(Fault::Stale);
        }
        let Some(r) = self.things.get_mut(thing) else { return Outcome::Not(Fault::Unknown) };
        if stage == In {
            (r.call, r.by, r.why, r.turn) = (call, by.to_string(), why.to_string(), turn);
        }
        // Who forces it has a wish of its own; the one that waits is done with.
        if force && r.stage == Waiting {
            (r.call, r.by, r.why) = (call, by.to_string(), why.to_string());
            r.forced = true;
            self.grant(thing);
        }
        Outcome::Done
    }

    /// What one who asked is told.
    fn asked(&self, thing: &Thing, call: u64) -> Outcome {
        let Some(r) = self.things.get(thing) else { return Outcome::Not(Fault::Unknown) };
        if r.call != call && r.stage != In {
            return Outcome::Taken { by: r.by.clone(), why: r.why.clone() };
        }
        match r.stage {
            Granted => Outcome::Granted { grant: r.grant },
            Out => Outcome::Out { grant: r.grant },
            Waiting => {
                let (why, out) = self.held(thing, r).unwrap_or_default();
                Outcome::Waits { why, out }
            }
            In | Returning => Outcome::Not(Fault::Stale),
        }
    }

    /// The budget that has no room for one, if there is such. Who is down takes room like any other: it may
    /// be up again while it is out.
    pub fn held(&self, thing: &Thing, r: &Record) -> Option<Held> {
        for budget in self.budgets.iter().filter(|budget| budget.of == thing.kind()) {
            let joins = |(other, at): &(&Thing, &Record)| {
                other.kind() == budget.of && budget.joins(&r.place, &at.place)
            };
            let among = || self.things.iter().filter(joins);
            let allows = budget.allows(among().count());
            let out: Vec<_> = among().filter(|(other, at)| *other != thing && at.counts()).collect();
            if out.len() + 1 > allows {
                // Enough to see who it is; the status names all.
                const NAMED: usize = 8;
                let named = out.iter().take(NAMED).map(|(other, at)| {
                    let how = if at.condition == Condition::Up { at.stage.word() } else { "not up" };
                    format!("{other} ({how})")
                });
                return Some((format!("at most {}", budget.words(&r.place, allows)), named.collect()));
            }
        }
        None
    }

    fn grant(&mut self, thing: &Thing) {
        self.play(thing, Room);
        self.last += 1;
        if let Some(r) = self.things.get_mut(thing) {
            r.grant = self.last;
        }
    }

    /// The oldest wishes first; one that has no room does not hold up those that have.
    fn grant_all(&mut self) -> bool {
        let mut granted = false;
        let waiting = self.things.iter().filter(|(_, r)| r.stage == Waiting);
        let mut turns: Vec<(u64, Thing)> = waiting.map(|(thing, r)| (r.turn, thing.clone())).collect();
        turns.sort();
        for (_, thing) in turns {
            if self.things.get(&thing).is_some_and(|r| self.held(&thing, r).is_none()) {
                self.grant(&thing);
                granted = true;
            }
        }
        granted
    }
}
