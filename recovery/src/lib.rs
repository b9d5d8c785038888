//! What a starting relay takes over from before: the records of its state directory ([`record`], [`stored`]),
//! how far each kind of record is trusted against the configuration ([`recover`](mod@recover)), and how a
//! relay's recovery is reported ([`phase`]). No file, no clock; `docs/recovery.md`.
#![deny(missing_docs)]

pub mod phase;
pub mod record;
pub mod recover;
pub mod stored;

pub use phase::{PhaseInput, RecoveryPhase};
pub use record::{ListVersion, Record, RecordKind, RelayIdentity};
pub use recover::{recover, RecoverInput, Recovered, SlowStartSlot};
pub use stored::{Exclusions, StoredServer, StoredState};
