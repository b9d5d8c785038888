//! What is said of a member, and which of two things said of it holds.
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;

/// How new what is said of a member is. Only the member itself raises its rank: the start at each start of
/// its process, the incarnation with each word of its own that has to override what others say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// Rises with each start: microseconds of Unix time as it began, or one more than what was heard of an
    /// earlier process at the same address, if that is later.
    pub start: u64,
    pub incarnation: u32,
}

/// What others hold of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Alive,
    /// Somebody heard no answer; it has some time to refute that.
    Suspect,
    /// It did not refute it.
    Gone,
    /// It said itself that it leaves.
    Left,
}

impl State {
    pub const ALL: [State; 4] = [State::Alive, State::Suspect, State::Gone, State::Left];

    pub fn word(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Gone => "gone",
            State::Left => "left",
        }
    }

    /// Whether it may still be there: it is probed and told news.
    pub fn is_there(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

/// What a relay does just now, as it says itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Duty {
    #[default]
    Starting,
    Serving,
    Draining,
    Stopping,
}

impl Duty {
    pub fn word(self) -> &'static str {
        match self {
            Duty::Starting => "starting",
            Duty::Serving => "serving",
            Duty::Draining => "draining",
            Duty::Stopping => "stopping",
        }
    }
}

/// What a relay says of itself. `sessions` and `load` go with whatever it sends and are as old as that; the
/// rest is news to all when it changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    pub version: Rc<str>,
    /// Of its settings: equal where these are.
    pub digest: u32,
    pub duty: Duty,
    pub sessions: u32,
    /// Open sessions by listener, in the order of its settings.
    pub load: Vec<u32>,
}

impl About {
    /// Whether the other is no news beside this one.
    pub fn same_but_figures(&self, other: &About) -> bool {
        (&self.version, self.digest, self.duty) == (&other.version, other.digest, other.duty)
    }
}

/// One thing said of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub name: Rc<str>,
    pub addr: SocketAddr,
    pub rank: Rank,
    pub state: State,
    /// Who says it first, where it is an accusation.
    pub by: Option<Rc<str>>,
    pub about: About,
}

/// What a claim is, beside what is held already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Older,
    Same,
    Newer,
}

impl Claim {
    /// Two processes of one name at two addresses: the later start holds, the higher address between equals.
    pub fn order(&self, rank: Rank, addr: SocketAddr) -> Order {
        let by = if self.addr == addr {
            self.rank.cmp(&rank)
        } else {
            (self.rank.start, self.addr).cmp(&(rank.start, addr))
        };
        match by {
            Ordering::Less => Order::Older,
            Ordering::Equal => Order::Same,
            Ordering::Greater => Order::Newer,
        }
    }
}

/// What comes of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// It lives, of its own word.
    Welcome,
    /// It has time to refute.
    Accuse,
    /// One more that heard no answer: the time shrinks.
    Confirm,
    Bury,
    Part,
    /// As it is held already: figures are taken, no news.
    Keep,
    /// Who says so is behind.
    Ignore,
}

use Order::{Newer, Older, Same};
use State::{Alive, Gone, Left, Suspect};

/// Held state, heard state, order of the heard rank, what comes of it; the heard state is the next one where
/// it is not kept or ignored. What is not listed is ignored.
const TABLE: &[(&[State], State, &[Order], Act)] = &[
    (&[Alive, Suspect, Gone, Left], Alive, &[Newer], Act::Welcome),
    (&[Alive, Suspect, Gone, Left], Suspect, &[Newer], Act::Accuse),
    (&[Alive, Suspect, Gone, Left], Gone, &[Newer], Act::Bury),
    (&[Alive, Suspect, Gone, Left], Left, &[Newer], Act::Part),
    (&[Alive], Alive, &[Same], Act::Keep),
    (&[Alive], Suspect, &[Same], Act::Accuse),
    (&[Alive, Suspect], Gone, &[Same], Act::Bury),
    (&[Alive, Suspect, Gone], Left, &[Same], Act::Part),
    (&[Suspect], Suspect, &[Same], Act::Confirm),
    (&[Gone], Gone, &[Same], Act::Keep),
    (&[Left], Left, &[Same], Act::Keep),
    (&[Alive, Suspect, Gone, Left], Alive, &[Older], Act::Ignore),
];

/// What comes of hearing a state of some order where one is held.
pub fn weigh(held: State, heard: State, order: Order) -> Act {
    let row = TABLE.iter().find(|r| r.0.contains(&held) && r.1 == heard && r.2.contains(&order));
    row.map_or(Act::Ignore, |r| r.3)
}
