//! Decisions of a balancer for long-lived connections: `logic` decides, `types` is its interface.
pub mod logic;
pub mod types;
