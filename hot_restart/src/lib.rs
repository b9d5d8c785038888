//! Hot restart: a new process of a relay takes over the listening socket and the open sessions of the running
//! process. This package contains the messages that the two processes exchange over a Unix socket
//! ([`message`]) and the state machine that each of them runs ([`ownership`]). It accesses no socket, clock
//! or file.
//!
//! The new process connects and sends a hello, and the old process offers its listening socket. When the new
//! process is ready, the old one stops accepting connections and sends its state in a single step, and the
//! new one takes over. Until that step the old process works as if it were the only one. Afterwards the open
//! sessions are handed over one by one, each with the sockets of its client and its backend. The old process
//! keeps a session that is not established yet until it has answered that session, and then hands it over.
#![deny(missing_docs)]

pub mod codec;
pub mod extension;
pub mod message;
pub mod ownership;

pub use codec::{decode, encode, MessageError};
pub use extension::{ListExtension, RelayUpdate, RemovedServer};
pub use message::{ExclusionList, LoadReport, Message, RelayState, ServerState, SessionState, SlowStartSlot};
pub use ownership::{OwnershipAction, OwnershipEvent, ProcessId, SocketOwnership};
