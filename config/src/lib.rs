//! The one place where configuration is read, checked and given its defaults. Every complaint names its key.
pub mod coordination;
mod error;
pub mod facts;
pub mod fleet;
mod json_node;
pub mod limits;
pub mod list;
pub mod node;
pub mod plan;
pub mod scenario;

pub use error::ConfigError;

use serde_json::Value;

/// The settings alone, as the simulator's wire brings them.
pub fn settings(text: &[u8]) -> Result<facts::Site, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(ConfigError::SettingsNotJson)?;
    facts::decode(&json_node::JsonNode::root(&value)).map_err(|error| ConfigError::Settings(Box::new(error)))
}
