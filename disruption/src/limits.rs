//! Bounds on what the replicated state may hold. A command that would exceed one is rejected with
//! [`crate::CommandError::LimitExceeded`].

/// Targets that are known at a time, relays and backends together.
pub const MAX_TARGETS: usize = 2_048;
/// Targets whose request waits for a budget.
pub const MAX_WAITING: usize = 64;
/// Budgets in force at a time.
pub const MAX_BUDGETS: usize = 64;
/// Bytes of a name: of a target, a zone, a build or a person.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a reason.
pub const MAX_REASON_BYTES: usize = 200;
/// Waves of a rollout.
pub const MAX_WAVES: usize = 32;
/// Names in all waves of a plan together.
pub const MAX_PLAN_NAMES: usize = 1_024;
