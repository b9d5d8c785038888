//! The relay: one reducer owns all state, and tasks carry out its effects on sockets.
#![warn(missing_docs)]

pub mod buffer;
pub mod cli;
mod clock;
pub mod control_message;
mod drain_command;
pub mod fleet_table;
pub mod lines;
pub mod metrics;
pub mod net;
pub mod operator_client;
pub mod reducer;
mod release_command;
mod socket;
mod store_command;
mod values;
