//! Narrow moments of the operators' short days, forced on the program with real connections: the test plays
//! clients, backends and the list service, and says in which order things happen.
#[path = "../common/mod.rs"]
mod common;

mod answers;
mod backend;
mod killed;
mod list_service;
mod pieces;
mod reload;
mod silence;
mod sockets;
