//! Membership of a fleet of relays: which relays exist, what each one reports about itself, and which have
//! failed.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", DSN 2002) with suspicion and incarnation numbers, plus the three parts of
//! Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", DSN-W 2018): timeouts that grow while the local relay itself is slow, a suspicion timeout that
//! shrinks with each independent confirmation, and messages to a suspect that carry the suspicion first.
//! `docs/fleet.md` describes the messages and the differences from the papers.
//!
//! The package does no I/O and reads no clock: [`Membership::step`] takes the time and an [`Event`] and
//! appends [`Effect`]s, and all randomness comes from [`LocalMember::random_seed`]. Times are in
//! microseconds.
//!
//! Invariant: no conclusion of this package raises a limit of a relay. Admission always uses the configured
//! number of relays, regardless of how many are reachable.
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

/// Microseconds of a clock that never goes back. A relay uses the Unix time at its start plus the monotonic
/// time since then.
pub type Micros = u64;

const MILLISECOND: Micros = 1_000;
