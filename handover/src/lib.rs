//! A relay's place passes from a running process to a new one at the same address: what the two say to each
//! other, and the states in which either can be. Nothing here reads a socket, a clock or a file.
//!
//! The new process says hello and is offered the listening socket. It says when it is ready; then, in one
//! step, the old one stops taking connections and sends what it knows, and the new one begins. Until that
//! step the old one goes on as if there were no other; from then on it keeps what it has, to its end.
pub mod message;
pub mod place;

pub use message::{Message, Open, Server, State};
pub use place::{Act, Event, Place};
