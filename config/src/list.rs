//! The endpoint list in the JSON form of discovery, as configurations, answers and watch events contain it.
use crate::error::ConfigError;
use crate::json_node::JsonNode;
use hallrelay_balancer::types::{Micros, Phase};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// A backend in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The backend's name.
    pub id: String,
    /// Address at which the backend accepts sessions.
    pub addr: SocketAddr,
    /// Name of its zone; empty if the entry has none.
    pub zone: String,
    /// Number of its cell within the zone.
    pub cell: u16,
    /// Its lifecycle state.
    pub phase: Phase,
    /// Start time as Unix time in microseconds; 0 if unknown.
    pub started_at: Micros,
}

/// An endpoint list, or changes to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Version of the list.
    pub generation: u64,
    /// Whether the list has all backends; otherwise it has only those that changed.
    pub is_complete: bool,
    /// The entries that could be decoded.
    pub instances: Vec<Instance>,
    /// Ids of the entries that could not be decoded; `None` if the id could not be decoded either. A backend
    /// whose latest entry is one of these gets no new sessions.
    pub unreadable: Vec<Option<String>>,
}

/// Names of the phases in the list.
const PHASES: [(&str, Phase); 3] =
    [("up", Phase::Ready), ("draining", Phase::Draining), ("removed", Phase::Gone)];

/// The name of a phase in the list.
pub fn word(phase: Phase) -> &'static str {
    PHASES.iter().find(|(_, named)| *named == phase).map_or("removed", |(name, _)| name)
}

/// Parses a watch event or the answer to a call. Entries that can't be decoded are collected in `unreadable`.
///
/// # Errors
/// The text is not JSON or not an endpoint list.
pub fn parse(text: &[u8]) -> Result<List, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(ConfigError::ListNotJson)?;
    decode(&JsonNode::root(&value))
}

fn decode_instance(at: &JsonNode) -> Result<Instance, ConfigError> {
    let (host_port, started) = (at.key("hostPort")?, at.option("startedAtMs"));
    Ok(Instance {
        id: at.key("instanceId")?.text()?.to_string(),
        addr: host_port.text()?.parse().or_else(|_| host_port.invalid("an address with a port"))?,
        zone: at.option("zone").map_or(Ok(""), |at| at.text())?.to_string(),
        cell: at.option("cell").map_or(Ok(0), |at| at.bounded_integer())?,
        phase: at.key("lifecycle")?.one_of(&PHASES)?,
        started_at: started.map_or(Ok(0), |at| at.micros())?,
    })
}

/// Decodes the list of a configuration, in which every entry must be valid.
///
/// # Errors
/// A key is missing or invalid.
pub fn decode_strict(at: &JsonNode) -> Result<List, ConfigError> {
    at.key("instances")?.list()?.iter().try_for_each(|at| decode_instance(at).map(|_| ()))?;
    decode(at)
}

/// Decodes a list. Entries that can't be decoded are collected in `unreadable`.
///
/// # Errors
/// The value is not an endpoint list.
pub fn decode(at: &JsonNode) -> Result<List, ConfigError> {
    let mut list = List {
        generation: at.key("generation")?.integer()?,
        is_complete: at.option("reset").map_or(Ok(false), |at| at.boolean())?,
        ..List::default()
    };
    for at in at.key("instances")?.list()? {
        match decode_instance(&at) {
            Ok(instance) => list.instances.push(instance),
            Err(_) => list.unreadable.push(readable_id(&at)),
        }
    }
    Ok(list)
}

/// The id of an entry that can't be decoded; `None` if the id can't be decoded either.
fn readable_id(at: &JsonNode) -> Option<String> {
    Some(at.option("instanceId")?.text().ok()?.to_string())
}

/// Encodes a list in the form that `parse` reads. `is_complete` is true if `instances` are all backends.
pub fn encode<'a>(
    generation: u64,
    is_complete: bool,
    instances: impl Iterator<Item = &'a Instance>,
) -> Value {
    let instances: Vec<Value> = instances.map(encode_instance).collect();
    json!({"generation": generation, "reset": is_complete, "instances": instances})
}

fn encode_instance(instance: &Instance) -> Value {
    json!({
        "instanceId": instance.id,
        "hostPort": instance.addr.to_string(),
        "zone": instance.zone,
        "cell": instance.cell,
        "lifecycle": word(instance.phase),
        "startedAtMs": instance.started_at as f64 / 1e3,
    })
}
