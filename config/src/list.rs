//! The endpoint list, which names the backends, in the JSON form of the discovery service. A configuration
//! contains it under `known`; discovery sends it as the answer to a call and as the events of a watch, a
//! call that stays open and reports changes.
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
    /// Name of the backend's zone; empty if the entry has none.
    pub zone: String,
    /// Number of the backend's cell within its zone; 0 if the entry has none.
    pub cell: u16,
    /// Lifecycle state of the backend.
    pub phase: Phase,
    /// Start of the backend as Unix time in microseconds; 0 if unknown.
    pub started_at: Micros,
}

/// An endpoint list, or changes to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    /// Version of the list, which discovery increases with each change.
    pub generation: u64,
    /// Whether the list has all backends; otherwise it has only those that changed.
    pub is_complete: bool,
    /// The entries that could be decoded.
    pub instances: Vec<Instance>,
    /// Ids of the entries that could not be decoded, with `None` for each entry whose id could not be
    /// decoded either. A backend gets no new sessions if its latest entry is one of these.
    pub unreadable: Vec<Option<String>>,
}

/// Names of the phases in the list.
const PHASES: [(&str, Phase); 3] =
    [("up", Phase::Ready), ("draining", Phase::Draining), ("removed", Phase::Gone)];

/// Returns the name of a phase in the list.
pub fn word(phase: Phase) -> &'static str {
    PHASES.iter().find(|(_, named)| *named == phase).map_or("removed", |(name, _)| name)
}

/// Parses a watch event or the answer to a call. Entries that can't be decoded are added to
/// `List::unreadable`.
///
/// # Errors
/// The text is not JSON or not an endpoint list.
pub fn parse(text: &[u8]) -> Result<List, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(ConfigError::ListNotJson)?;
    decode(&JsonNode::root(&value))
}

fn decode_instance(node: &JsonNode) -> Result<Instance, ConfigError> {
    let (host_port, started) = (node.key("hostPort")?, node.option("startedAtMs"));
    Ok(Instance {
        id: node.key("instanceId")?.text()?.to_string(),
        addr: host_port.text()?.parse().or_else(|_| host_port.invalid("an address with a port"))?,
        zone: node.option("zone").map_or(Ok(""), |node| node.text())?.to_string(),
        cell: node.option("cell").map_or(Ok(0), |node| node.bounded_integer())?,
        phase: node.key("lifecycle")?.one_of(&PHASES)?,
        started_at: started.map_or(Ok(0), |node| node.micros())?,
    })
}

/// Decodes the list of a configuration, in which every entry must be valid.
///
/// # Errors
/// A key is missing or invalid.
pub fn decode_strict(node: &JsonNode) -> Result<List, ConfigError> {
    node.key("instances")?.list()?.iter().try_for_each(|node| decode_instance(node).map(|_| ()))?;
    decode(node)
}

/// Decodes a list. Entries that can't be decoded are added to `List::unreadable`.
///
/// # Errors
/// The value is not an endpoint list.
pub fn decode(node: &JsonNode) -> Result<List, ConfigError> {
    let mut list = List {
        generation: node.key("generation")?.integer()?,
        is_complete: node.option("reset").map_or(Ok(false), |node| node.boolean())?,
        ..List::default()
    };
    for node in node.key("instances")?.list()? {
        match decode_instance(&node) {
            Ok(instance) => list.instances.push(instance),
            Err(_) => list.unreadable.push(readable_id(&node)),
        }
    }
    Ok(list)
}

/// Returns the id of an entry that can't be decoded, or `None` if the id can't be decoded either.
fn readable_id(node: &JsonNode) -> Option<String> {
    Some(node.option("instanceId")?.text().ok()?.to_string())
}

/// Encodes a list in the form that `parse` reads. `is_complete` means that `instances` has all backends.
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
