//! An explicit-state model checker for the replicated state: it visits all orders of events of small models,
//! breadth first, with the program's own `step` functions. A violation is reported with a shortest
//! counterexample. `docs/checking.md`.
#![warn(missing_docs)]

pub mod cluster;
pub mod rollout;
pub mod scenarios;
pub mod search;
