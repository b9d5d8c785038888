//! The list of backends in discovery's form, as it stands in the start-up text and in each line of a watch.
use crate::error::ConfigError;
use crate::json_node::JsonNode;
use hallrelay_balancer::types::{Micros, Phase};
use serde_json::{json, Value};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub cell: u16,
    pub phase: Phase,
    /// Unix time; 0 is long ago.
    pub came_up: Micros,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
    pub generation: u64,
    pub whole: bool,
    pub instances: Vec<Instance>,
    /// Entries that can't be read whole: by their ids, where these can. Nothing new goes to a server of which
    /// such a word was the last.
    pub odd: Vec<Option<String>>,
}

const PHASES: [(&str, Phase); 3] =
    [("up", Phase::Ready), ("draining", Phase::Draining), ("removed", Phase::Gone)];

/// How the list calls a phase.
pub fn word(phase: Phase) -> &'static str {
    PHASES.iter().find(|one| one.1 == phase).map_or("removed", |one| one.0)
}

/// One value of a watch, or the answer of a call. An entry that can't be read spoils no other.
pub fn parse(text: &[u8]) -> Result<List, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(ConfigError::ListNotJson)?;
    decode(&JsonNode::root(&value))
}

fn instance(at: &JsonNode) -> Result<Instance, ConfigError> {
    let (host_port, started) = (at.key("hostPort")?, at.option("startedAtMs"));
    Ok(Instance {
        id: at.key("instanceId")?.text()?.to_string(),
        addr: host_port.text()?.parse().or_else(|_| host_port.invalid("an address with a port"))?,
        zone: at.option("zone").map_or(Ok(""), |at| at.text())?.to_string(),
        cell: at.option("cell").map_or(Ok(0), |at| at.bounded_integer())?,
        phase: at.key("lifecycle")?.one_of(&PHASES)?,
        came_up: started.map_or(Ok(0), |at| at.micros())?,
    })
}

/// One that a person or a program wrote down for a start: all of it can be read, or it is refused by its key.
pub fn strict(at: &JsonNode) -> Result<List, ConfigError> {
    at.key("instances")?.list()?.iter().try_for_each(|at| instance(at).map(|_| ()))?;
    decode(at)
}

pub fn decode(at: &JsonNode) -> Result<List, ConfigError> {
    let mut list = List {
        generation: at.key("generation")?.integer()?,
        whole: at.option("reset").map_or(Ok(false), |at| at.boolean())?,
        ..List::default()
    };
    for at in at.key("instances")?.list()? {
        match instance(&at) {
            Ok(one) => list.instances.push(one),
            Err(_) => list.odd.push(at.option("instanceId").and_then(|id| Some(id.text().ok()?.to_string()))),
        }
    }
    Ok(list)
}

/// The list in the form in which it is read.
pub fn encode<'a>(generation: u64, whole: bool, instances: impl Iterator<Item = &'a Instance>) -> Value {
    let instance = |one: &Instance| {
        json!({"instanceId": one.id, "hostPort": one.addr.to_string(), "zone": one.zone, "cell": one.cell,
            "lifecycle": word(one.phase), "startedAtMs": one.came_up as f64 / 1e3})
    };
    let instances: Vec<Value> = instances.map(instance).collect();
    json!({"generation": generation, "reset": whole, "instances": instances})
}
