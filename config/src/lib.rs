//! Reads and validates configuration, and applies defaults. Every error names the key at fault.
#![warn(missing_docs)]

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

/// Decodes the settings without the rest of a configuration, as the simulator sends them.
///
/// # Errors
/// The text is not JSON, or a key is missing or invalid.
pub fn settings(text: &[u8]) -> Result<facts::Site, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(ConfigError::SettingsNotJson)?;
    facts::decode(&json_node::JsonNode::root(&value)).map_err(|error| ConfigError::Settings(Box::new(error)))
}
