//! An explicit-state model checker for the replicated state. It explores all orders of events of small
//! models, breadth first, and executes the program's own `step` functions. A violation is reported with a
//! shortest counterexample. See `docs/checking.md`.
#![warn(missing_docs)]

pub mod cluster;
pub mod rollout;
pub mod scenarios;
pub mod search;
