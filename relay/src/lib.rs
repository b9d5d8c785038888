//! The relay on sockets: one reducer owns the state, tasks by stage carry out what it asks for.
pub mod buffer;
pub mod cli;
pub mod clock;
pub mod control_message;
pub mod drain;
pub mod figures;
pub mod lines;
pub mod net;
pub mod reducer;
pub mod release;
pub mod shelf;
pub mod socket;
pub mod status;
pub mod values;
