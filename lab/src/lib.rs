//! The laboratory: scenarios played on sockets with processes of relays, or in virtual time with their
//! reducers; reports and comparisons of such days; costs of a relay; accounts of its logs.
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
