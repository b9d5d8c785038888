//! Who of the fleet may be out: relays and servers ask, and are granted it as far as budgets allow, in an
//! order that all voters agree on. Each voter applies the same commands to the same state, so nothing here
//! reads a clock, a chance or the order of a hash. Who is down, cut off or cold counts as out without asking.
//! `docs/release.md`.
pub mod budget;
pub mod command;
pub mod judge;
pub mod release;
pub mod state;

pub use budget::{Budget, Scope};
pub use command::{Command, Fault, Outcome};
pub use release::{Judge, Phase, Plan, Release, Step, Wave};
pub use state::{Condition, Place, Record, Stage, State};

use serde::{Deserialize, Serialize};

/// What may be out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Thing {
    Relay(String),
    Server(String),
}

impl Thing {
    pub fn name(&self) -> &str {
        let (Thing::Relay(name) | Thing::Server(name)) = self;
        name
    }

    pub fn kind(&self) -> Kind {
        match self {
            Thing::Relay(_) => Kind::Relay,
            Thing::Server(_) => Kind::Server,
        }
    }
}

impl std::fmt::Display for Thing {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} {}", self.kind().word(), self.name())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    Relay,
    Server,
}

impl Kind {
    pub fn word(self) -> &'static str {
        match self {
            Kind::Relay => "relay",
            Kind::Server => "backend",
        }
    }
}

/// Of each; a command for one more is answered as a fault. A thousand relays and as many servers.
pub const THINGS: usize = 2_048;
/// Who waits for a grant.
pub const QUEUE: usize = 64;
pub const BUDGETS: usize = 64;
/// Bytes of a name, and of a reason.
pub const NAME: usize = 64;
pub const WHY: usize = 200;
