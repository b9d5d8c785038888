//! Runs the models of the other modules (servers, discovery, clients and front) on sockets of 127.0.0.0/8, in
//! one process and one thread, so that real relays can connect to them. The models make all decisions. The
//! tasks here transfer bytes and call the models. `list` in names means the list service (discovery).
mod addresses;
pub mod client;
mod clock;
mod host;
pub mod lines;
pub mod links;
pub mod list;
pub mod malformed;
pub mod server;

pub use addresses::{endpoint_addresses, free_port, AddressError, PortRange};
pub use clock::Clock;
pub use host::{ConnectionCommand, Host, LeaveCommand, Shared};
