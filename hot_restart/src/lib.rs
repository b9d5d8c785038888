//! A relay's place passes from a running process to a new one at the same address: what the two say to each
//! other, and the states in which either can be. Nothing here reads a socket, a clock or a file.
//!
//! The new process says hello and is offered the listening socket. It says when it is ready; then, in one
//! step, the old one stops taking connections and sends what it knows, and the new one begins. Until that
//! step the old one goes on as if there were no other. From then on open sessions pass one by one, each with
//! both its sockets; who still waits for an answer has it from the old one, and passes once it is up.
pub mod message;
pub mod place;

pub use message::{Message, Server, Session, State};
pub use place::{Act, Event, Place};
