//! Models of the systems that a relay serves. Servers, discovery, clients, front and auditors do no I/O. They
//! are stepped in whole microseconds, draw random numbers from a seed, and are deterministic. `net` runs them
//! on sockets of 127.0.0.0/8.
#![warn(missing_docs)]

pub mod audit;
pub mod clients;
pub mod day;
pub mod event_queue;
pub mod links;
pub mod list;
pub mod membership_audit;
pub mod net;
pub mod node;
pub mod random;
pub mod script;
pub mod server;
pub mod servers;
pub mod service;
