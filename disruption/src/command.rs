//! What is agreed on, as bytes, and what comes of it.
use crate::state::{Condition, Place};
use crate::{Budget, Plan, Thing, BUDGETS, NAME, WHY};
use serde::{Deserialize, Serialize};

/// Counted up with each change that an older voter would apply otherwise. A voter that meets a later one
/// stops applying and says so: a release brings all voters to a version before it is used.
pub const VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// The budgets from here on.
    Budgets(Vec<Budget>),
    /// What a leader sees of one: where it is and how it does. `Condition::Gone` forgets it.
    Seen {
        thing: Thing,
        place: Place,
        condition: Condition,
    },
    /// Wants to be out; the same `call` again is the same wish.
    Ask {
        thing: Thing,
        call: u64,
        by: String,
        why: String,
        force: bool,
    },
    /// Who asked waits no more.
    Drop {
        thing: Thing,
        call: u64,
    },
    /// The holder begins, once this is agreed and no sooner.
    Begin {
        thing: Thing,
        grant: u64,
    },
    /// A grant that nobody began.
    Lapse {
        thing: Thing,
        grant: u64,
    },
    /// It is to serve again, or serves.
    Back {
        thing: Thing,
    },
    /// A person, by name, vouches that it is not out any more.
    Free {
        thing: Thing,
        by: String,
    },
    /// A release begins, where none is under way.
    Start {
        plan: Plan,
    },
    /// What was out for a release was changed, or could not be.
    Did {
        thing: Thing,
        grant: u64,
        good: bool,
        why: String,
    },
    /// What the leader makes of a wave.
    Judged {
        wave: u64,
        good: bool,
        why: String,
    },
    Halt {
        by: String,
        why: String,
    },
    Resume {
        by: String,
    },
    /// All that was changed goes back, the latest first.
    WayBack {
        by: String,
    },
}

/// Why a command was not followed. It changes nothing then.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// Nobody has seen such a thing.
    Unknown,
    /// Too many things, wishes or budgets, or too long a name.
    Bound,
    /// The grant is not the one that is out, or nothing that fits its stage.
    Stale,
    /// Bytes that this voter does not read.
    Version,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Done,
    Granted {
        grant: u64,
    },
    /// It is out already, under this grant.
    Out {
        grant: u64,
    },
    /// Another wish for the same is there already; whose, and why.
    Taken {
        by: String,
        why: String,
    },
    /// It waits; for which budget, and who is out.
    Waits {
        why: String,
        out: Vec<String>,
    },
    Not(Fault),
}

impl Command {
    pub fn encode(&self) -> Vec<u8> {
        // Writing to memory can't go wrong for these types.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Result<Command, Fault> {
        let Some((&VERSION, rest)) = bytes.split_first() else { return Err(Fault::Version) };
        let command: Command = postcard::from_bytes(rest).map_err(|_| Fault::Version)?;
        if command.sound() {
            Ok(command)
        } else {
            Err(Fault::Bound)
        }
    }

    fn sound(&self) -> bool {
        let fits = |text: &str, most: usize| text.len() <= most;
        let named = |thing: &Thing| !thing.name().is_empty() && fits(thing.name(), NAME);
        match self {
            Command::Budgets(all) => all.len() <= BUDGETS,
            Command::Seen { thing, place, .. } => {
                named(thing) && [&place.zone, &place.kind, &place.group].iter().all(|text| fits(text, NAME))
            }
            Command::Ask { thing, by, why, .. } => named(thing) && fits(by, NAME) && fits(why, WHY),
            Command::Free { thing, by } => named(thing) && fits(by, NAME) && !by.is_empty(),
            Command::Drop { thing, .. }
            | Command::Begin { thing, .. }
            | Command::Lapse { thing, .. }
            | Command::Back { thing } => named(thing),
            Command::Start { plan } => plan.sound(),
            Command::Did { thing, why, .. } => named(thing) && fits(why, WHY),
            Command::Judged { why, .. } => fits(why, WHY),
            Command::Halt { by, why } => fits(by, NAME) && fits(why, WHY),
            Command::Resume { by } | Command::WayBack { by } => fits(by, NAME),
        }
    }
}
