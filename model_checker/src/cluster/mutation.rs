//! Deliberate defects that the checker must find (mutation testing). Each is applied around the program's
//! code, not in it.

/// A deliberate defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// No defect.
    None,
    /// A vote is reported as durable but not written.
    VoteNotSynced,
    /// Entries are reported as durable but not written.
    LogNotSynced,
    /// A server loses its disk but keeps its incarnation.
    DiskLossUnreported,
    /// A vote is granted without comparing the candidate's log.
    LogNotCompared,
    /// A follower acknowledges one entry more than it has.
    AcknowledgesAhead,
    /// A restarted server applies the log to the state that it had before the restart.
    AppliesTwice,
    /// A snapshot lacks the number of the last grant.
    GrantNumbersForgotten,
    /// A snapshot lacks the number of the last grant and the budgets.
    BudgetsForgotten,
    /// A holder is disrupted immediately after the grant, before the begin command is committed.
    BeginsUncommitted,
    /// The lease of a disrupted holder expires.
    ExpiresWhileOut,
    /// A holder that warms up counts as up.
    WarmingCountsAsUp,
    /// A leader grants a lease from its own state before the request is committed.
    GrantsWithoutLog,
}

impl Mutation {
    /// All defects.
    pub const ALL: [Mutation; 12] = [
        Mutation::VoteNotSynced,
        Mutation::LogNotSynced,
        Mutation::DiskLossUnreported,
        Mutation::LogNotCompared,
        Mutation::AcknowledgesAhead,
        Mutation::AppliesTwice,
        Mutation::GrantNumbersForgotten,
        Mutation::BudgetsForgotten,
        Mutation::BeginsUncommitted,
        Mutation::ExpiresWhileOut,
        Mutation::WarmingCountsAsUp,
        Mutation::GrantsWithoutLog,
    ];

    /// The printed name.
    pub fn as_str(self) -> &'static str {
        match self {
            Mutation::None => "nothing planted",
            Mutation::VoteNotSynced => "vote-not-synced",
            Mutation::LogNotSynced => "log-not-synced",
            Mutation::DiskLossUnreported => "disk-lost-unsaid",
            Mutation::LogNotCompared => "log-not-compared",
            Mutation::AcknowledgesAhead => "answers-ahead",
            Mutation::AppliesTwice => "applied-twice",
            Mutation::GrantNumbersForgotten => "numbers-forgotten",
            Mutation::BudgetsForgotten => "budgets-forgotten",
            Mutation::BeginsUncommitted => "begins-unagreed",
            Mutation::ExpiresWhileOut => "lapses-while-out",
            Mutation::WarmingCountsAsUp => "cold-counts-in",
            Mutation::GrantsWithoutLog => "leader-remembers",
        }
    }
}
