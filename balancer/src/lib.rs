//! Load-balancing decisions of one relay for long-lived connections, without I/O (`docs/design.md`).
//!
//! Hand [`Relay::step`] every input in order of arrival, with the clock of its arrival, and carry out the
//! effects that it appends, in order. The same inputs with the same seed lead to the same effects: nothing
//! here reads a clock, and relays share nothing.
#![deny(missing_docs)]

mod admission;
mod dialing;
mod estimate;
mod interarrival;
mod outlier;
mod placement;
mod probes;
mod random;
mod rebalance;
mod relay;
mod retry;
mod rolling_sum;
mod server;
mod server_list;
mod session;
mod slow_start;
mod smallest;
mod snapshot;
mod throttle;
pub mod types;

pub use relay::Relay;
