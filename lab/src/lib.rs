//! The laboratory: plays scenarios on sockets with relay processes, or in virtual time with the relays'
//! reducers; reports and compares the results; measures the cost of a relay; evaluates its logs.
#![warn(missing_docs)]

pub mod comparison;
pub mod cost;
pub mod error;
pub mod losses;
pub mod members;
pub mod relay_process;
pub mod report;
pub mod scenario_keys;
pub mod sockets;
pub mod virt;
