//! The laboratory: scenarios played on sockets with real relays, or in virtual time with their reducers.
pub mod cost;
pub mod error;
mod html;
pub mod keys;
pub mod losses;
pub mod members;
pub mod membership_report;
pub mod pairs;
pub mod relays;
pub mod report;
pub mod sockets;
pub mod virt;
