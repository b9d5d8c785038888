//! The messages of a hot restart. Each is a line of JSON. Its keys are fixed, even if the names here change.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of the messages, to be raised with each change that the other process would misread. Both
/// processes must have the same version.
pub const VERSION: u32 = 2;

/// A message from one process to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// The new process requests the listening socket of a relay.
    Hello {
        /// [`VERSION`] of the sender.
        version: u32,
        /// Name of the sender's relay. The receiver rejects any name but its own.
        name: String,
        /// Address on which the sender will listen. The receiver rejects any address but its own.
        listen: String,
    },
    /// The old process offers its listening socket, which it passes with this message.
    Offer {
        /// [`VERSION`] of the sender.
        version: u32,
    },
    /// The old process rejects the request or withdraws its offer.
    #[serde(rename = "no")]
    Rejected {
        /// The reason, for the log of the receiver.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The new process is ready to take over.
    Ready {},
    /// The new process owns the listening socket from now on and receives the state of the old one.
    #[serde(rename = "yours")]
    TakeOver(Box<RelayState>),
    /// An open session, passed with the sockets of its client and its backend.
    Session(Box<SessionState>),
    /// The connections and sessions that remain at the old process.
    #[serde(rename = "holds")]
    Remaining {
        /// Number of client connections, including those with a session.
        connections: u32,
        /// Number of sessions.
        sessions: u32,
    },
    /// An endpoint list that one process received after the handover, or, from the new process only, an
    /// update of the relay in the list's extension.
    #[serde(rename = "listed")]
    EndpointList {
        /// The list in the format of discovery.
        list: Value,
    },
}

/// State of the old process with which the new one continues. Times are ages in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayState {
    /// Last received endpoint list in the format of discovery; `None` if none was received.
    #[serde(rename = "list")]
    pub endpoint_list: Option<Value>,
    /// State of each server.
    pub servers: Vec<ServerState>,
    /// Estimated load of one session, as part of a server's capacity.
    #[serde(rename = "step")]
    pub session_load: f64,
    /// Time since the start of the current drain; `None` if the relay is not draining.
    #[serde(rename = "draining")]
    pub draining_age: Option<u64>,
    /// Ids of the sessions that remain at the old process.
    #[serde(rename = "open")]
    pub session_ids: Vec<u64>,
    /// Number of client connections at the old process, including those with a session.
    pub connections: u32,
    /// The member table, encoded as a message between relays; `None` without membership.
    #[serde(default, rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub membership: Option<Vec<u8>>,
    /// Backends that the replicated log excludes; `None` without a replicated log.
    #[serde(default, rename = "shut", skip_serializing_if = "Option::is_none")]
    pub exclusions: Option<ExclusionList>,
}

/// Backends that get no new sessions according to the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Vec<String>)", into = "(u64, Vec<String>)")]
pub struct ExclusionList {
    /// Index of the last applied log entry.
    pub log_index: u64,
    /// Names of the backends in the endpoint list.
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

/// An open session with the state that the new process needs to continue at any byte.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionState {
    /// Id of the session, chosen by its client.
    #[serde(rename = "mark")]
    pub id: u64,
    /// Name of the session's listener.
    pub listener: String,
    /// Name of the session's server in the endpoint list.
    pub server: String,
    /// Key of the client, which is the same in all its attempts; 0 if there is none.
    pub key: u64,
    /// Group of the session; 0 if there is none.
    pub group: u64,
    /// Whether the client returned after an interruption or a move.
    pub returned: bool,
    /// Bytes that were read from the client and are not written to the backend yet.
    #[serde(rename = "up")]
    pub to_backend: Vec<u8>,
    /// Bytes that were read from the backend and are not written to the client yet.
    #[serde(rename = "down")]
    pub to_client: Vec<u8>,
    /// Ages of the client's unanswered messages in microseconds, the oldest message first.
    #[serde(rename = "unanswered")]
    pub unanswered_ages: Vec<u64>,
}

/// State of one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerState {
    /// Name of the server in the endpoint list.
    pub name: String,
    /// Last load report of the server.
    pub report: Option<LoadReport>,
    /// Number of consecutive health checks and dials without an answer.
    #[serde(rename = "misses")]
    pub consecutive_failures: u32,
    /// Number of recently placed sessions less those that have ended since. It may be negative.
    #[serde(rename = "placed")]
    pub recently_placed: f64,
    /// The slot that this relay last used at the server, if the server is in slow start.
    #[serde(rename = "turn")]
    pub slow_start_slot: SlowStartSlot,
}

/// Load report of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, f64, f64, f64)", into = "(u64, f64, f64, f64)")]
pub struct LoadReport {
    /// Age of the report in microseconds.
    pub age: u64,
    /// Used part of the server's capacity.
    pub load: f64,
    /// Time for which work waits in the server's queue, in seconds.
    pub queue_delay: f64,
    /// Number of sessions at the server.
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

/// The slot that a relay last used at a server in slow start. A slot is one dial that the relay may make to a
/// server that warms up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, f64)", into = "(u64, f64)")]
pub struct SlowStartSlot {
    /// Time since the slot was used, in microseconds.
    pub age: u64,
    /// Fraction of the interval between slots that must pass before the next slot.
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
