//! Decisions of a balancer for long-lived connections: `logic` decides, `types` is its interface.
pub mod logic;
mod tools;
pub mod types;
