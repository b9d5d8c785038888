//! What relays say to each other about what is agreed, in the words that membership carries for them.
use hallrelay_disruption::{Outcome, Thing};
use hallrelay_raft::Message;
use serde::{Deserialize, Serialize};

/// Counted up with each change that an older relay would misread; others are dropped.
const VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Talk {
    /// From voter to voter.
    Post(Message),
    /// A command for the log, of whoever may give one; the same `call` again is the same.
    Ask {
        call: u64,
        command: Vec<u8>,
    },
    Answer {
        call: u64,
        told: Told,
    },
    /// What a relay says of itself, to all voters, each second: whether it serves, the sessions left at
    /// servers that are out, and those that came to an answer since, by relay and server, with the bad ones
    /// among them.
    Serving {
        zone: String,
        kind: String,
        group: String,
        serving: bool,
        left: Vec<(String, u32)>,
        tallies: Vec<(Thing, u64, u64)>,
    },
    /// Servers that are out by the log up to an entry, and how many sessions a second the fleet moves off
    /// them: the leader's, to all, each second.
    Shut {
        index: u64,
        servers: Vec<String>,
        moves: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Told {
    Outcome(Outcome),
    /// Another leads, or nobody is known to.
    Elsewhere(Option<String>),
    /// It may come to be agreed or not.
    Unknown,
}

impl Talk {
    pub fn encode(&self) -> Vec<u8> {
        // Writing to memory can't go wrong for these types.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<Talk> {
        let (version, rest) = bytes.split_first()?;
        (*version == VERSION).then(|| postcard::from_bytes(rest).ok())?
    }
}
