//! Limits of the replicated state. A command that would exceed a limit is rejected with
//! [`crate::CommandError::LimitExceeded`].

/// Maximum number of known targets, relays and backends together.
pub const MAX_TARGETS: usize = 2_048;
/// Maximum number of targets whose request waits for a budget.
pub const MAX_WAITING: usize = 64;
/// Maximum number of budgets in force.
pub const MAX_BUDGETS: usize = 64;
/// Maximum length in bytes of the name of a target, a zone, a build or a person.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a reason, in bytes.
pub const MAX_REASON_BYTES: usize = 200;
/// Maximum number of waves of a rollout.
pub const MAX_WAVES: usize = 32;
/// Maximum number of names in all waves of a plan together.
pub const MAX_PLAN_NAMES: usize = 1_024;
