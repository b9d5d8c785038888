//! Hot restart: a new process of a relay takes over the listening socket and the open sessions of the running
//! one. This package has the messages that the two exchange over a Unix socket ([`message`]) and the state
//! machine that either runs ([`ownership`]). It reads no socket, clock or file.
//!
//! The new process connects, says hello, and is offered the listening socket. Once it is ready, and in one
//! step, the old process stops accepting connections and sends its state, and the new one takes over. Until
//! that step the old process goes on as if there were no other. Afterwards open sessions are handed over one
//! by one, each with its client's and its backend's socket. A session that still waits for its answer gets it
//! from the old process, and is handed over once it is established.
#![deny(missing_docs)]

pub mod codec;
pub mod message;
pub mod ownership;

pub use codec::{decode, encode, MessageError};
pub use message::{ExclusionList, LoadReport, Message, RelayState, ServerState, SessionState, SlowStartSlot};
pub use ownership::{OwnershipAction, OwnershipEvent, ProcessId, SocketOwnership};
