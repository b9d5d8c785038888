//! Load-balancing decisions of one relay for long-lived connections, without I/O (`docs/design.md`).
//!
//! Hand [`Balancer::step`] every input in order of arrival, with the clock of its arrival, and carry out the
//! effects that it appends, in order. The same inputs with the same seed lead to the same effects: nothing
//! here reads a clock, and relays share nothing.
//!
//! Four rules hold at all times, by these numbers in the modules: 1. Each session gets exactly one final
//! answer in its time, and nothing after it. 2. No session runs twice: one that may run only once is retried
//! or rejected only where no earlier dial can have run. 3. Nothing new goes to a server later than the drain
//! grace after this relay was notified that it drains or was removed. 4. All relays together do not overload
//! a server in slow start.
#![deny(missing_docs)]

mod admission;
mod balancer;
mod dialing;
mod estimate;
mod interarrival;
mod outlier;
mod placement;
mod probes;
mod random;
mod rebalance;
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

pub use balancer::Balancer;
