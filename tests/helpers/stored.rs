//! The content of a store, as scripts give it.
use super::addr_of;
use crate::{option, parse_number, Fault};
use hallrelay_recovery::{Record, StoredState};
use serde_json::{json, Value};

/// The content of a store with an endpoint list, given as `store-reopened VERSION NAME[:LIFECYCLE] ..
/// [owner=RELAY]`.
pub fn stored_state(words: &[&str]) -> Result<StoredState, Fault> {
    let generation = parse_number(words.get(1).ok_or("store-reopened lacks a version")?)?;
    let instances: Vec<Value> = words[2..]
        .iter()
        .filter(|word| !word.contains('='))
        .map(|word| {
            let (id, lifecycle) = word.split_once(':').unwrap_or((word, "up"));
            json!({"instanceId": id, "hostPort": addr_of(id), "lifecycle": lifecycle, "startedAtMs": 0})
        })
        .collect();
    let list = json!({"generation": generation, "reset": true, "instances": instances});
    let list = hallrelay_config::list::parse(list.to_string().as_bytes()).map_err(|e| e.to_string())?;
    let mut records = vec![
        Record::relay_identity(option(words, "owner").unwrap_or("n1"), 1, 0),
        Record::list_version("127.0.0.1:2", generation),
    ];
    records.extend(list.instances.iter().map(|instance| Record::server(generation, 0, instance)));
    let mut stored = StoredState::default();
    for record in records {
        let bytes = record.bytes.unwrap_or_default();
        stored.add(record.kind.number(), hallrelay_recovery::record::VERSION, record.name.as_bytes(), &bytes);
    }
    Ok(stored)
}
