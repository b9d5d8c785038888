//! The messages between voters: the RPCs of Raft as one-way messages. Their encoding goes by the order of
//! fields and variants.
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
    /// What is requested or answered.
    pub body: MessageBody,
}

/// What a message requests or answers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// The sender is running and is not a voter as far as it knows.
    Announce {
        /// The sender has neither log nor snapshot.
        uninitialized: bool,
    },
    /// The first configuration of a new cluster, whose voters were all uninitialized.
    Bootstrap {
        /// The voters, the sender among them.
        voters: Vec<Voter>,
    },
    /// Whether the recipient would vote for the sender (thesis, section 9.6).
    RequestPreVote {
        /// Index of the sender's last entry.
        last_log_index: Index,
        /// Term of the sender's last entry.
        last_log_term: Term,
    },
    /// The answer to `RequestPreVote`.
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
    /// The answer to `RequestVote`.
    VoteResponse {
        /// The sender has voted for the recipient in this term.
        granted: bool,
    },
    /// AppendEntries of figure 2; without entries it is a heartbeat.
    AppendEntries(AppendEntries),
    /// The answer to `AppendEntries` and `InstallSnapshot`.
    AppendResponse {
        /// The sender's log matches the leader's up to `index`.
        success: bool,
        /// Last matching index; after a failure a hint, the `prev_log_index` that the leader should try next.
        index: Index,
    },
    /// InstallSnapshot of figure 13, in one piece.
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
    /// Whether the message's term is one that the sender is in. A pre-vote and its grant name a term that
    /// nobody has entered yet, and an announcement comes from no voter.
    pub(crate) fn is_of_current_term(&self) -> bool {
        !matches!(
            self,
            MessageBody::Announce { .. }
                | MessageBody::RequestPreVote { .. }
                | MessageBody::PreVoteResponse { granted: true }
        )
    }
}
