//! Deliberate defects, to see that the checker finds them (mutation testing). Each is applied around the
//! program's code and not in it.

/// A deliberate defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// No defect.
    None,
    /// A vote is reported as durable and is not written.
    VoteNotSynced,
    /// Entries are reported as durable and are not written.
    LogNotSynced,
    /// A server loses its disk and keeps its incarnation.
    DiskLossUnreported,
    /// A vote is granted whatever the candidate's log holds.
    LogNotCompared,
    /// A follower acknowledges one entry more than it has.
    AcknowledgesAhead,
    /// A restarted server applies the log to the state that it had before.
    AppliesTwice,
    /// A snapshot lacks the number of the last grant.
    GrantNumbersForgotten,
    /// A snapshot lacks the budgets too.
    BudgetsForgotten,
    /// A holder is disrupted as soon as it is granted the lease.
    BeginsUncommitted,
    /// The lease of a holder that is disrupted expires.
    ExpiresWhileOut,
    /// A holder that warms up counts as up.
    WarmingCountsAsUp,
    /// A leader grants from its own state, without the log.
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
