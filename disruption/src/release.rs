//! A release: waves of relays or servers that are let out, changed by whoever deploys, and seen in again. It
//! goes on by commands alone, all of it inside the agreed state: no relay's death loses a step, and once a
//! halt is agreed nothing begins.
use crate::{Kind, Thing, NAME};
use serde::{Deserialize, Serialize};

/// Waves, and names in all of them, at most.
pub const WAVES: usize = 32;
pub const ITEMS: usize = 1_024;

/// One wave: these, then as many more as the count or the part says, by their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Wave {
    pub names: Vec<String>,
    pub count: u32,
    /// Of all that are known, in millionths, rounded up.
    pub part: u32,
}

/// When a wave is good: so many sessions of the new build with no more bad ones than the old build has
/// beside it, by a margin in millionths; and how long that may take, in seconds, by the leader's clock.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Judge {
    pub sessions: u32,
    pub worse: u32,
    pub within_s: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// What goes out, in the deployer's own words.
    pub build: String,
    pub of: Kind,
    pub waves: Vec<Wave>,
    pub judge: Judge,
    pub by: String,
}

impl Plan {
    pub fn sound(&self) -> bool {
        let names = self.waves.iter().flat_map(|wave| &wave.names);
        let fits = |text: &String| !text.is_empty() && text.len() <= NAME;
        let some = |wave: &Wave| !wave.names.is_empty() || wave.count > 0 || wave.part > 0;
        fits(&self.build)
            && fits(&self.by)
            && (1..=WAVES).contains(&self.waves.len())
            && self.waves.iter().all(some)
            && names.clone().count() <= ITEMS
            && names.clone().all(fits)
    }
}

/// How far one is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    #[default]
    Todo,
    /// It is asked for, and out once that is granted.
    Going,
    /// It has the new build, and is not seen in.
    Changed,
    Done,
    /// The same, back to the old build.
    Undoing,
    Unchanged,
    Undone,
}

impl Step {
    pub fn word(self) -> &'static str {
        match self {
            Step::Todo => "to do",
            Step::Going => "going",
            Step::Changed => "changed",
            Step::Done => "done",
            Step::Undoing => "going back",
            Step::Unchanged => "changed back",
            Step::Undone => "back",
        }
    }
}

/// How the whole of it stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    #[default]
    Running,
    /// The wave is out and in again; whether it is good is to be said.
    Judging,
    Halted,
    /// On the way back, the latest wave first.
    Returning,
    /// Halted on the way back.
    ReturnHalted,
    Finished,
    /// All of it is back.
    Back,
}

impl Phase {
    pub fn word(self) -> &'static str {
        match self {
            Phase::Running => "running",
            Phase::Judging => "judging",
            Phase::Halted => "halted",
            Phase::Returning => "returning",
            Phase::ReturnHalted => "halted on the way back",
            Phase::Finished => "finished",
            Phase::Back => "back",
        }
    }

    pub fn is_over(self) -> bool {
        matches!(self, Phase::Finished | Phase::Back)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// All of the wave are in again.
    WaveIn,
    Good,
    /// The last wave is.
    AllGood,
    Bad,
    Halt,
    Resume,
    WayBack,
    AllBack,
}

/// State, input, next state. What is not listed is not followed.
const TABLE: &[(Phase, Sign, Phase)] = &[
    (Phase::Running, Sign::WaveIn, Phase::Judging),
    (Phase::Running, Sign::Bad, Phase::Halted),
    (Phase::Running, Sign::Halt, Phase::Halted),
    (Phase::Running, Sign::WayBack, Phase::Returning),
    (Phase::Judging, Sign::Good, Phase::Running),
    (Phase::Judging, Sign::AllGood, Phase::Finished),
    (Phase::Judging, Sign::Bad, Phase::Halted),
    (Phase::Judging, Sign::Halt, Phase::Halted),
    (Phase::Judging, Sign::WayBack, Phase::Returning),
    (Phase::Halted, Sign::Halt, Phase::Halted),
    (Phase::Halted, Sign::Resume, Phase::Running),
    (Phase::Halted, Sign::WayBack, Phase::Returning),
    (Phase::Returning, Sign::Halt, Phase::ReturnHalted),
    (Phase::Returning, Sign::WayBack, Phase::Returning),
    (Phase::Returning, Sign::AllBack, Phase::Back),
    (Phase::ReturnHalted, Sign::Halt, Phase::ReturnHalted),
    (Phase::ReturnHalted, Sign::Resume, Phase::Returning),
    (Phase::ReturnHalted, Sign::WayBack, Phase::Returning),
];

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Item {
    pub thing: Thing,
    pub wave: usize,
    pub step: Step,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Release {
    pub plan: Plan,
    pub phase: Phase,
    /// The one that is out, or that goes back.
    pub wave: usize,
    /// Why it was halted last.
    pub why: String,
    /// In the order in which they go.
    pub items: Vec<Item>,
}

impl Release {
    /// The plan over those who are known, in the order of their names; who is named in no wave is left alone.
    pub fn new(plan: Plan, known: &[Thing]) -> Release {
        let mut items: Vec<Item> = Vec::new();
        for (wave, told) in plan.waves.iter().enumerate() {
            let more = told.count as usize + (known.len() * told.part as usize).div_ceil(1_000_000);
            let named = known.iter().filter(|thing| told.names.iter().any(|name| name == thing.name()));
            let mut taken: Vec<&Thing> = named.collect();
            taken.retain(|thing| items.iter().all(|item| item.thing != **thing));
            let free = known.iter().filter(|thing| {
                let elsewhere = plan.waves.iter().any(|w| w.names.iter().any(|name| name == thing.name()));
                !elsewhere && items.iter().all(|item| item.thing != **thing)
            });
            taken.extend(free.take(more));
            let item = |thing: &Thing| Item { thing: thing.clone(), wave, step: Step::Todo };
            let new: Vec<Item> = taken.into_iter().map(item).collect();
            items.extend(new);
        }
        Release { plan, phase: Phase::Running, wave: 0, why: String::new(), items }
    }

    /// Names in the plan that nobody knows.
    pub fn missing(&self) -> Vec<&str> {
        let named = self.plan.waves.iter().flat_map(|wave| &wave.names);
        let known = |name: &&String| self.items.iter().any(|item| item.thing.name() == *name);
        named.filter(|name| !known(name)).map(String::as_str).collect()
    }

    /// False where the sign means nothing in this phase.
    pub fn play(&mut self, sign: Sign) -> bool {
        let row = TABLE.iter().find(|row| (row.0, row.1) == (self.phase, sign));
        let Some(row) = row else { return false };
        self.phase = row.2;
        true
    }

    /// Those of the present wave.
    pub fn of_wave(&mut self) -> impl Iterator<Item = &mut Item> {
        let wave = self.wave;
        self.items.iter_mut().filter(move |item| item.wave == wave)
    }

    pub fn item(&mut self, thing: &Thing) -> Option<&mut Item> {
        self.items.iter_mut().find(|item| item.thing == *thing)
    }
}
