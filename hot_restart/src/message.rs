//! The messages of a hot restart. Each is a line of JSON, whose keys are older than the names here.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The version of the messages. It is counted up with each change that the other side would misread; both
/// sides must have the same.
pub const VERSION: u32 = 2;

/// What one process says to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// From the new process: it asks for the listening socket of a relay.
    Hello {
        /// [`VERSION`] of the sender.
        version: u32,
        /// The relay's name, which must be the receiver's.
        name: String,
        /// The address of the listening socket, which must be the receiver's.
        listen: String,
    },
    /// The old process offers its listening socket, which is passed along with this message.
    Offer {
        /// [`VERSION`] of the sender.
        version: u32,
    },
    /// The request is rejected, or an offer withdrawn.
    #[serde(rename = "no")]
    Rejected {
        /// The reason, for the other process' log.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The new process is ready to take over.
    Ready {},
    /// From now on the new process owns the listening socket; what the old one knew.
    #[serde(rename = "yours")]
    TakeOver(Box<RelayState>),
    /// An open session is handed over; its client's and its backend's socket are passed along.
    Session(Box<SessionState>),
    /// What is left at the old process.
    #[serde(rename = "holds")]
    Remaining {
        /// Connections of clients, those with a session included.
        connections: u32,
        /// Sessions.
        sessions: u32,
    },
    /// What the old process heard from discovery after it handed over.
    #[serde(rename = "listed")]
    EndpointList {
        /// The list, in discovery's form.
        list: Value,
    },
}

/// What the old process knew, for the new one to go on with. Times are ages in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayState {
    /// The endpoint list as heard last, in discovery's form; `None` where none was heard.
    #[serde(rename = "list")]
    pub endpoint_list: Option<Value>,
    /// What is known of each server.
    pub servers: Vec<ServerState>,
    /// One session's estimated part of a server's capacity.
    #[serde(rename = "step")]
    pub session_load: f64,
    /// How long ago the drain that is in force began; `None` where there is none.
    #[serde(rename = "draining")]
    pub draining_age: Option<u64>,
    /// The ids of the sessions that are still at the old process.
    #[serde(rename = "open")]
    pub session_ids: Vec<u64>,
    /// Connections of clients at the old process, those with a session included.
    pub connections: u32,
    /// The membership table, encoded as a message between relays; `None` without membership.
    #[serde(default, rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub membership: Option<Vec<u8>>,
    /// Backends excluded by the replicated log; `None` where nothing is replicated.
    #[serde(default, rename = "shut", skip_serializing_if = "Option::is_none")]
    pub exclusions: Option<ExclusionList>,
}

/// Backends that the replicated log excludes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Vec<String>)", into = "(u64, Vec<String>)")]
pub struct ExclusionList {
    /// The index of the last log entry that was applied.
    pub log_index: u64,
    /// The backends' names in the endpoint list.
    pub backends: Vec<String>,
}

impl From<(u64, Vec<String>)> for ExclusionList {
    fn from((log_index, backends): (u64, Vec<String>)) -> ExclusionList {
        ExclusionList { log_index, backends }
    }
}

impl From<ExclusionList> for (u64, Vec<String>) {
    fn from(list: ExclusionList) -> (u64, Vec<String>) {
        (list.log_index, list.backends)
    }
}

/// An open session: what the new process needs to go on between two bytes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionState {
    /// The session's id, chosen by its client.
    #[serde(rename = "mark")]
    pub id: u64,
    /// The name of its listener.
    pub listener: String,
    /// The name of its server in the endpoint list.
    pub server: String,
    /// The client's key, the same in all its attempts; 0 is none.
    pub key: u64,
    /// The session's group; 0 is none.
    pub group: u64,
    /// Whether the client came back after an interruption or a move.
    pub returned: bool,
    /// Bytes read from the client and not yet written to the backend.
    #[serde(rename = "up")]
    pub to_backend: Vec<u8>,
    /// Bytes read from the backend and not yet written to the client.
    #[serde(rename = "down")]
    pub to_client: Vec<u8>,
    /// The ages in microseconds of the client's messages that were not answered, the oldest first.
    #[serde(rename = "unanswered")]
    pub unanswered_ages: Vec<u64>,
}

/// What is known of one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerState {
    /// Its name in the endpoint list.
    pub name: String,
    /// Its last load report.
    pub report: Option<LoadReport>,
    /// Health checks and dials in a row without an answer.
    #[serde(rename = "misses")]
    pub consecutive_failures: u32,
    /// Sessions placed there recently, less those that left since; may be negative.
    #[serde(rename = "placed")]
    pub recently_placed: f64,
    /// The slot that this relay used last at the server, where that is in slow start.
    #[serde(rename = "turn")]
    pub slow_start_slot: SlowStartSlot,
}

/// A server's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, f64, f64, f64)", into = "(u64, f64, f64, f64)")]
pub struct LoadReport {
    /// Its age in microseconds.
    pub age: u64,
    /// The part of the server's capacity in use.
    pub load: f64,
    /// How long queue_delay work waits, in seconds.
    pub queue_delay: f64,
    /// Sessions at the server.
    pub sessions: f64,
}

impl From<(u64, f64, f64, f64)> for LoadReport {
    fn from((age, load, queue_delay, sessions): (u64, f64, f64, f64)) -> LoadReport {
        LoadReport { age, load, queue_delay, sessions }
    }
}

impl From<LoadReport> for (u64, f64, f64, f64) {
    fn from(report: LoadReport) -> (u64, f64, f64, f64) {
        (report.age, report.load, report.queue_delay, report.sessions)
    }
}

/// The slot in which a relay last sent a session to a server in slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, f64)", into = "(u64, f64)")]
pub struct SlowStartSlot {
    /// Its age in microseconds.
    pub age: u64,
    /// The part of the interval between slots that the next one waits.
    pub interval_fraction: f64,
}

impl From<(u64, f64)> for SlowStartSlot {
    fn from((age, interval_fraction): (u64, f64)) -> SlowStartSlot {
        SlowStartSlot { age, interval_fraction }
    }
}

impl From<SlowStartSlot> for (u64, f64) {
    fn from(slot: SlowStartSlot) -> (u64, f64) {
        (slot.age, slot.interval_fraction)
    }
}
