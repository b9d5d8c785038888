//! The messages between voters. Each RPC of Raft is split into one-way messages. Their encoding depends on
//! the order of fields and variants, which therefore must not change.
use crate::{Entry, Index, Snapshot, Term, Voter};
use serde::{Deserialize, Serialize};

/// A message from one voter to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Voter,
    /// The recipient.
    pub to: Voter,
    /// The sender's current term; for a pre-vote, the term that the sender would campaign in.
    pub term: Term,
    /// The request or response.
    pub body: MessageBody,
}

/// The request or response that a message carries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// The sender is running and, according to its own log, is not a voter.
    Announce {
        /// The sender has neither log nor snapshot.
        uninitialized: bool,
    },
    /// The first configuration of a new cluster, whose voters were all uninitialized.
    Bootstrap {
        /// The voters, including the sender.
        voters: Vec<Voter>,
    },
    /// Requests the recipient's pre-vote: whether it would vote for the sender (thesis, section 9.6).
    RequestPreVote {
        /// Index of the sender's last entry.
        last_log_index: Index,
        /// Term of the sender's last entry.
        last_log_term: Term,
    },
    /// The response to `RequestPreVote`.
    PreVoteResponse {
        /// The sender would vote for the recipient.
        granted: bool,
    },
    /// RequestVote of figure 2.
    RequestVote {
        /// Index of the candidate's last entry.
        last_log_index: Index,
        /// Term of the candidate's last entry.
        last_log_term: Term,
    },
    /// The response to `RequestVote`.
    VoteResponse {
        /// The sender has voted for the recipient in this term.
        granted: bool,
    },
    /// AppendEntries of figure 2. Without entries it is a heartbeat.
    AppendEntries(AppendEntries),
    /// The response to `AppendEntries` and `InstallSnapshot`.
    AppendResponse {
        /// The sender's log matches the leader's up to `index`.
        success: bool,
        /// Last matching index. After a failure it is the `prev_log_index` that the leader should try next.
        index: Index,
    },
    /// InstallSnapshot of figure 13, sent as a single chunk.
    InstallSnapshot {
        /// The leader's snapshot.
        snapshot: Snapshot,
    },
}

/// The arguments of AppendEntries (figure 2).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Index of the entry that precedes `entries`.
    pub prev_log_index: Index,
    /// Term of that entry.
    pub prev_log_term: Term,
    /// Consecutive entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub leader_commit: Index,
}

impl MessageBody {
    /// Returns whether the message carries the sender's current term. A pre-vote and its grant carry a term
    /// that no server has entered yet, and an announcement is not sent by a voter.
    pub(crate) fn is_of_current_term(&self) -> bool {
        !matches!(
            self,
            MessageBody::Announce { .. }
                | MessageBody::RequestPreVote { .. }
                | MessageBody::PreVoteResponse { granted: true }
        )
    }
}
