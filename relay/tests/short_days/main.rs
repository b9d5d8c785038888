//! Race conditions that are forced in a relay process with real connections: the tests act as the clients,
//! the backends and the discovery service, and control the order of events. A short day is a critical
//! situation that lasts a few seconds; `tests/short_days` simulates others in virtual time.
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
