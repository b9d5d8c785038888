//! Disruption budgets limit how many relays and backends may be unavailable at a time. Rollouts proceed in
//! waves under these budgets.
//!
//! The crate is a deterministic state machine over a replicated log. Each voter applies the same [`Command`]s
//! to the same [`State`], so no code here reads a clock, a random number or the order of a hash map. A target
//! that is down, partitioned or warming up counts as unavailable even without a lease. `docs/release.md`
//! describes settings and operation.
#![warn(missing_docs)]

pub mod analysis;
pub mod budget;
pub mod command;
pub mod error;
pub mod lease;
pub mod limits;
pub mod plan;
pub mod rollout;
pub mod state;
pub mod target;

pub use analysis::{analyze, AnalysisPolicy, SessionCounts, Verdict};
pub use budget::{Budget, Scope};
pub use command::{Command, Outcome};
pub use error::{CommandError, InvalidPlan};
pub use lease::{Lease, LeaseState};
pub use limits::{MAX_BUDGETS, MAX_NAME_BYTES, MAX_REASON_BYTES, MAX_TARGETS, MAX_WAITING};
pub use plan::{RolloutPlan, Wave};
pub use rollout::{ItemState, Rollout, RolloutItem, RolloutPhase};
pub use state::{BlockedBy, State};
pub use target::{FailureDomain, HealthState, Target, TargetKind};
