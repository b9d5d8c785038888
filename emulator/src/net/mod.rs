//! The models on sockets of 127.0.0.0/8: servers, discovery, clients and front in one process and one
//! thread. The models make all decisions; the tasks here transfer bytes and call the models.
mod addresses;
pub mod client;
mod clock;
mod host;
pub mod lines;
pub mod links;
pub mod list;
pub mod malformed;
pub mod server;

pub use addresses::{endpoint_addresses, free_port, AddressError};
pub use clock::Clock;
pub use host::{ConnectionCommand, Host, LeaveCommand, Shared};
