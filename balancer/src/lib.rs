//! Load-balancing decisions of one relay for long-lived connections, without I/O (`docs/design.md`).
//!
//! The caller passes every input to [`Balancer::step`] in order of arrival, with the time of its arrival, and
//! executes the effects that the call appends, in order. The same inputs and the same seed produce the same
//! effects: the crate never reads a clock, and relays share no state.
//!
//! Four rules hold at all times. The comments of the modules refer to them by number:
//! 1. Each session gets exactly one final answer before its deadline, and no effect follows that answer.
//! 2. No session runs twice: of a session that may run only once, at most one dial runs on a server. Such a
//!    session is dialled again or rejected only if no earlier dial can have run.
//! 3. A server gets no new session once the drain grace has passed since this relay was notified that the
//!    server is draining or was removed.
//! 4. All relays together do not overload a server that warms up after its start (slow start).
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
