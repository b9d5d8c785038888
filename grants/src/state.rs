//! The state that commands are applied to, the same at each voter.
use crate::command::VERSION;
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
        self.grant_all();
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
        }
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

    /// The budget that has no room for one, if there is such. Who is down takes room like any other: it may be up
    /// again while it is out.
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
    fn grant_all(&mut self) {
        let waiting = self.things.iter().filter(|(_, r)| r.stage == Waiting);
        let mut turns: Vec<(u64, Thing)> = waiting.map(|(thing, r)| (r.turn, thing.clone())).collect();
        turns.sort();
        for (_, thing) in turns {
            if self.things.get(&thing).is_some_and(|r| self.held(&thing, r).is_none()) {
                self.grant(&thing);
            }
        }
    }
}
