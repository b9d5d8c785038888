//! Control messages between relays: Raft messages, proposals and their results, status reports, and the
//! backends that the replicated log excludes. Membership carries them as opaque bytes.
use hallrelay_disruption::{FailureDomain, Outcome, SessionCounts, Target};
use hallrelay_raft::Message;
use serde::{Deserialize, Serialize};

/// The version of the encoding, incremented with each change that an older relay would misread. Messages of
/// another version are dropped.
const VERSION: u8 = 1;

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// A Raft message between voters.
    Raft(Message),
    /// A command for the log, from any relay to the leader.
    Propose {
        /// The proposer's id for the command, by which the result is matched.
        request_id: u64,
        /// The encoded command.
        command: Vec<u8>,
    },
    /// The result of a proposal.
    Proposed {
        /// The proposer's id for the command.
        request_id: u64,
        /// The result.
        result: ProposalResult,
    },
    /// A relay's report on itself to all voters, each second.
    Status(RelayStatus),
    /// The backends that the log excludes, from the leader to all relays, each second.
    Excluded {
        /// The index of the last log entry that was applied to this state.
        index: u64,
        /// Ids of the backends.
        backends: Vec<String>,
        /// Sessions that all relays together migrate off these backends per second.
        moves_per_s: u32,
    },
}

/// The result of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalResult {
    /// The command was committed and applied.
    Applied(Outcome),
    /// The relay that received the proposal is not the leader. Contains the leader's name, if it is known.
    NotLeader(Option<String>),
    /// It is unknown whether the command will be committed.
    Unknown,
}

/// A relay's report on itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// The relay's failure domain.
    pub domain: FailureDomain,
    /// Whether the relay accepts sessions.
    pub serving: bool,
    /// Its sessions at excluded backends.
    pub remaining_sessions: Vec<RemainingSessions>,
    /// Sessions that were answered since its last report, for the relay itself and by backend.
    pub session_counts: Vec<TargetCounts>,
}

/// Sessions of one relay that remain at one excluded backend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingSessions {
    /// The backend's id.
    pub backend: String,
    /// Number of sessions that remain.
    pub sessions: u32,
}

/// Sessions at one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCounts {
    /// The relay or backend.
    pub target: Target,
    /// Number of all sessions, and of failed ones.
    pub counts: SessionCounts,
}

impl ControlMessage {
    /// The encoded message: the version, then the message as postcard.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding these types to memory cannot fail.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Decodes the output of `encode`; `None` for other bytes.
    pub fn decode(bytes: &[u8]) -> Option<ControlMessage> {
        let (version, rest) = bytes.split_first()?;
        (*version == VERSION).then(|| postcard::from_bytes(rest).ok())?
    }
}
