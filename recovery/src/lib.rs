//! What a relay that starts trusts of what it knew before: a row for each kind of fact, and the one place in
//! which a stored fact meets what the configuration tells. No file, no clock. `docs/recovery.md`.
pub mod fact;
pub mod returning;
pub mod trust;

pub use fact::{Fact, Kept, Stored};
pub use returning::{Returning, View};
pub use trust::{recover, Recovered, Turn};
