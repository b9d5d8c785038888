//! Control messages between relays: Raft, proposals and their results, status reports, and backends excluded
//! by the log. Membership carries them as opaque bytes.
use hallrelay_disruption::{FailureDomain, Outcome, SessionCounts, Target};
use hallrelay_raft::Message;
use serde::{Deserialize, Serialize};

/// Raised with each change that an older relay would misread; messages of another version are dropped.
const VERSION: u8 = 1;

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// From voter to voter.
    Raft(Message),
    /// A command for the log, from any relay to the leader.
    Propose {
        /// The proposer's number for it, by which the answer is matched.
        request_id: u64,
        /// The encoded command.
        command: Vec<u8>,
    },
    /// The answer to a proposal.
    Proposed {
        /// The proposer's number for it.
        request_id: u64,
        /// What came of it.
        result: ProposalResult,
    },
    /// What a relay reports of itself to all voters, each second.
    Status(RelayStatus),
    /// The backends excluded by the log, from the leader to all relays, each second.
    Excluded {
        /// The log's index of which this is the state.
        index: u64,
        /// Ids of the backends.
        backends: Vec<String>,
        /// Sessions that the whole fleet migrates off them in a second.
        moves_per_s: u32,
    },
}

/// What came of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalResult {
    /// The command was committed and applied.
    Applied(Outcome),
    /// The asked relay does not lead; the leader's name where it is known.
    NotLeader(Option<String>),
    /// The command may or may not be committed later.
    Unknown,
}

/// A relay's report of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// Where the relay is.
    pub domain: FailureDomain,
    /// Whether it takes sessions.
    pub serving: bool,
    /// Its sessions at excluded backends.
    pub remaining_sessions: Vec<RemainingSessions>,
    /// Sessions that came to an answer since its last report, by relay and backend.
    pub session_counts: Vec<TargetCounts>,
}

/// Sessions of one relay that are left at one excluded backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingSessions {
    /// The backend's id.
    pub backend: String,
    /// How many are left.
    pub sessions: u32,
}

/// Sessions at one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// The relay or backend.
    pub target: Target,
    /// Its sessions, and the failed ones.
    pub counts: SessionCounts,
}

impl ControlMessage {
    /// The version, then the message as postcard.
    pub fn encode(&self) -> Vec<u8> {
        // Writing to memory can't fail for these types.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Reads what `encode` writes; none for other bytes.
    pub fn decode(bytes: &[u8]) -> Option<ControlMessage> {
        let (version, rest) = bytes.split_first()?;
        (*version == VERSION).then(|| postcard::from_bytes(rest).ok())?
    }
}
