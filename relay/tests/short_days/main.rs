//! Races that are forced on a relay process with real connections: the test plays the clients, the backends
//! and the discovery service, and controls the order of events.
#[path = "../common/mod.rs"]
mod common;

mod answers;
mod backend;
mod killed;
mod pieces;
mod reload;
mod scripted_discovery;
mod silence;
mod sockets;
