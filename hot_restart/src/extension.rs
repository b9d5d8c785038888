//! What one process sends the other about an endpoint list beyond the list itself. It is attached to the list
//! as one more key: earlier builds reject a message with an unknown key, but ignore unknown keys of a list.
use crate::message::{ExclusionList, Message};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// The key of the extension in the list.
const KEY: &str = "hotRestart";

/// A server that is no longer in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedServer {
    /// Name of the server in the list.
    pub name: String,
    /// Start time of the server, in microseconds of Unix time.
    pub started_at: u64,
}

/// What the new process has received, or has used, since it took over. The old process may have to serve
/// again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayUpdate {
    /// Backends that the replicated log excludes.
    Excluded(ExclusionList),
    /// Whether operators drain the relay.
    Draining(bool),
    /// Name of a server in slow start, at which the relay has just used a slot.
    SlotUsed(String),
    /// Id of a session that was dialled and must not run again.
    Dialled(u64),
}

/// Facts about an endpoint list that discovery's format has no place for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ListExtension {
    /// Address of the discovery service that gave the list. Versions of another one cannot be compared.
    pub source: Option<String>,
    /// Servers that were removed from the list, and must not return by the list of another relay.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<RemovedServer>,
    /// Ids of ended sessions that must not run again.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub dialled: Vec<u64>,
    /// Whether the sender, an old process, accepts [`Message::EndpointList`] from the new one. Earlier builds
    /// end the hot restart at such a message.
    pub accepts_updates: bool,
    /// An update of the relay. The list then has no entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub update: Option<RelayUpdate>,
}

impl ListExtension {
    /// Attaches the extension to an encoded list.
    pub fn attach(&self, list: &mut Value) {
        // Encoding cannot fail: the content consists of strings and numbers.
        if let (Some(list), Ok(extension)) = (list.as_object_mut(), serde_json::to_value(self)) {
            list.insert(KEY.to_string(), extension);
        }
    }

    /// A message with an update of the relay.
    pub fn message(update: RelayUpdate) -> Message {
        let mut list = json!({"generation": 0, "reset": false, "instances": []});
        ListExtension { update: Some(update), ..ListExtension::default() }.attach(&mut list);
        Message::EndpointList { list }
    }

    /// The extension of an encoded list. All its facts are absent if it has none, or an invalid one.
    pub fn of(list: &Value) -> ListExtension {
        list.get(KEY).and_then(|extension| serde_json::from_value(extension.clone()).ok()).unwrap_or_default()
    }
}
