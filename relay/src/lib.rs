//! The relay on sockets: one reducer owns the state, tasks by stage carry out what it asks for.
pub mod buffer;
pub mod cli;
pub mod clock;
pub mod drain;
pub mod figures;
pub mod lines;
pub mod net;
pub mod reducer;
pub mod release;
pub mod socket;
pub mod status;
pub mod store_command;
pub mod talk;
pub mod values;
