//! Membership of the relays of one fleet: which relays there are, what each reports of itself, which have
//! failed.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", DSN 2002) with suspicion and incarnations, and the three parts of Lifeguard
//! (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN-W
//! 2018): timeouts that grow with a relay's own lateness, a suspicion timeout that shrinks with each
//! independent confirmation, and a suspect that is told first that it is suspected. `docs/fleet.md` has
//! the messages and the differences.
//!
//! The package does no I/O and reads no clock: [`Membership::step`] takes the time and an [`Event`] and
//! appends [`Effect`]s, and all randomness comes from [`LocalMember::random_seed`]. Times are in
//! microseconds.
//!
//! Invariant: nothing concluded here widens what a relay may do. The number of relays that admission reckons
//! with stays the configured one, however many are reachable.
#![warn(missing_docs)]

mod apply;
mod events;
mod gossip;
mod join;
mod local_health;
mod members;
mod membership;
pub mod message;
mod name_conflict;
pub mod peer_heartbeats;
mod probe;
mod push_pull;
mod receive;
pub mod status;
mod suspicion;
mod update;

pub use events::{Counters, Effect, Event, LocalMember};
pub use members::{Member, MAX_MEMBERS};
pub use membership::Membership;
pub use message::Packet;
pub use name_conflict::NameConflict;
pub use probe::PROBE_PERIOD;
pub use update::{Incarnation, MemberMetadata, MemberState, Precedence, ReportedLifecycle, Update};

/// Microseconds of a clock that never goes back: in a relay, Unix time as of its start plus monotonic time
/// since.
pub type Micros = u64;

const MILLISECOND: Micros = 1_000;
