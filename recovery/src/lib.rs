//! Recovery of a relay's state at its start: the records of its state directory ([`record`], [`stored`]), how
//! they are weighed against the configuration ([`recover`](mod@recover)), and how the progress of a recovery
//! is reported ([`phase`]). The package accesses no file and no clock; see `docs/recovery.md`.
#![deny(missing_docs)]

pub mod phase;
pub mod record;
pub mod recover;
pub mod stored;

pub use phase::{PhaseInput, RecoveryPhase};
pub use record::{ListVersion, Record, RecordKind, RelayIdentity};
pub use recover::{recover, RecoverInput, Recovered, SlowStartSlot};
pub use stored::{Exclusions, StoredServer, StoredState};
