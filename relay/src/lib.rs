//! The relay on sockets: one reducer owns the state, tasks by stage carry out what it asks for.
pub mod buffer;
pub mod cli;
pub mod clock;
pub mod control_message;
pub mod drain_command;
pub mod fleet_table;
pub mod lines;
pub mod metrics;
pub mod net;
pub mod operator_client;
pub mod reducer;
pub mod release_command;
pub mod socket;
pub mod store_command;
pub mod values;
