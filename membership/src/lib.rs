//! What the relays of one fleet know of each other. No socket, no clock, no file: `step(now, event)` appends
//! effects, and chance comes from a seed.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", DSN 2002) with suspicion and incarnations, and Lifeguard's rule that who was
//! itself late doubts itself first (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection", DSN-W 2018). `docs/fleet.md` tells the ways weighed, message by message.
//!
//! Nothing that is concluded here widens what a relay may do: the module's number of relays stays the
//! configured one, whoever is heard or not.
pub mod beats;
pub mod member;
pub mod membership;
pub mod message;
pub mod status;

pub use member::{About, Claim, Duty, Rank, State};
pub use membership::{Effect, Event, Membership, Own};
pub use message::Packet;

/// Whole microseconds of a clock that only advances.
pub type Micros = u64;
