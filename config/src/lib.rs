//! The one place where configuration is read, checked and given its defaults. Every complaint names its key.
mod at;
pub mod coordination;
pub mod facts;
pub mod fleet;
pub mod limits;
pub mod list;
pub mod node;
pub mod plan;
pub mod scenario;

use serde_json::Value;

/// The settings alone, as the simulator's wire brings them.
pub fn settings(text: &[u8]) -> Result<facts::Site, String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    facts::decode(&at::At::top(&value)).map_err(|what| format!("settings: {what}"))
}
