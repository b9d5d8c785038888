//! The kinds of records in a relay's state directory and their encodings. The JSON keys and the order of
//! postcard fields are the stored format. They stay the same when a name in this module changes.
use hallrelay_balancer::types::Micros;
use hallrelay_config::list::{self, Instance};
use hallrelay_raft::{Entry, Snapshot, Voter};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;

/// Version of the encodings, to be raised with each change that an earlier program would misread.
pub const VERSION: u8 = 1;

/// Kinds of records. The number of a kind is the kind of its keys in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// The relay to which the store belongs, and the start number of that relay.
    RelayIdentity = 1,
    /// The source and the version of the endpoint list.
    ListVersion = 2,
    /// One server as last listed, by its name. Draining and removed servers are included.
    Server = 3,
    /// The slot that this relay last used at a server in slow start, by the server's name. A slot is one dial
    /// that this relay may make to a server that warms up.
    SlowStartSlot = 4,
    /// A voter's incarnation, current term and vote.
    Vote = 5,
    /// An entry of the replicated log, by its index.
    LogEntry = 6,
    /// The snapshot that replaces the earlier entries of the replicated log.
    Snapshot = 7,
    /// Backends that get no new sessions according to the replicated log.
    Exclusions = 8,
}

impl RecordKind {
    /// All kinds in the order of their numbers.
    pub const ALL: [RecordKind; 8] = [
        RecordKind::RelayIdentity,
        RecordKind::ListVersion,
        RecordKind::Server,
        RecordKind::SlowStartSlot,
        RecordKind::Vote,
        RecordKind::LogEntry,
        RecordKind::Snapshot,
        RecordKind::Exclusions,
    ];

    /// The kind with a number; `None` if there is none.
    pub fn from_number(number: u8) -> Option<RecordKind> {
        RecordKind::ALL.into_iter().find(|kind| kind.number() == number)
    }

    /// The number of this kind in the store.
    pub fn number(self) -> u8 {
        self as u8
    }

    /// The word for this kind in the output of `hallrelay store`.
    pub fn label(self) -> &'static str {
        match self {
            RecordKind::RelayIdentity => "own",
            RecordKind::ListVersion => "list",
            RecordKind::Server => "server",
            RecordKind::SlowStartSlot => "turn",
            RecordKind::Vote => "vote",
            RecordKind::LogEntry => "entry",
            RecordKind::Snapshot => "snapshot",
            RecordKind::Exclusions => "shut",
        }
    }
}

/// Content of a [`RecordKind::RelayIdentity`] record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayIdentity {
    /// Name of the relay.
    pub name: String,
    /// Start number of the relay, which rises with each start.
    #[serde(rename = "start")]
    pub start_number: u64,
    /// Time of writing by the system clock.
    #[serde(rename = "wall")]
    pub written_at: Micros,
}

/// Content of a [`RecordKind::ListVersion`] record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Address from which the list was received. Versions of different sources cannot be compared.
    pub source: String,
    /// Version of the list.
    pub generation: u64,
}

/// Content of a [`RecordKind::Server`] record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServerContent {
    pub generation: u64,
    #[serde(rename = "wall")]
    pub written_at: Micros,
    /// The server in the format of discovery's list.
    pub instance: Value,
}

/// Content of a [`RecordKind::SlowStartSlot`] record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlowStartContent {
    #[serde(rename = "wall")]
    pub used_at: Micros,
}

/// Content of a [`RecordKind::Vote`] record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoteContent {
    pub incarnation: u64,
    pub term: u64,
    pub vote: Option<Voter>,
}

/// A stored record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record within its kind; empty if the kind has only one record.
    pub name: String,
    /// The encoded content; `None` removes the record from the store.
    pub bytes: Option<Vec<u8>>,
}

impl Record {
    fn json(kind: RecordKind, name: &str, content: &impl Serialize) -> Record {
        // Encoding cannot fail: the content consists of numbers, strings, and JSON values that were parsed
        // before.
        Record { kind, name: name.to_string(), bytes: serde_json::to_vec(content).ok() }
    }

    fn postcard(kind: RecordKind, name: String, content: &impl Serialize) -> Record {
        Record { kind, name, bytes: postcard::to_stdvec(content).ok() }
    }

    /// The relay to which the store belongs. `written_at` is a time of the system clock.
    pub fn relay_identity(name: &str, start_number: u64, written_at: Micros) -> Record {
        let identity = RelayIdentity { name: name.to_string(), start_number, written_at };
        Record::json(RecordKind::RelayIdentity, "", &identity)
    }

    /// The source and the version of the endpoint list.
    pub fn list_version(source: &str, generation: u64) -> Record {
        let version = ListVersion { source: source.to_string(), generation };
        Record::json(RecordKind::ListVersion, "", &version)
    }

    /// A server from a version of the endpoint list. `written_at` is a time of the system clock.
    pub fn server(generation: u64, written_at: Micros, instance: &Instance) -> Record {
        let list = list::encode(generation, true, std::iter::once(instance));
        let content = ServerContent { generation, written_at, instance: list["instances"][0].clone() };
        Record::json(RecordKind::Server, &instance.id, &content)
    }

    /// A used slot at a server in slow start. `used_at` is a time of the system clock.
    pub fn slow_start_slot(server: &str, used_at: Micros) -> Record {
        Record::json(RecordKind::SlowStartSlot, server, &SlowStartContent { used_at })
    }

    /// A voter's term and vote. `incarnation` is the one stored on the voter's disk.
    pub fn vote(incarnation: u64, term: u64, vote: Option<Voter>) -> Record {
        let content = VoteContent { incarnation, term, vote };
        Record::postcard(RecordKind::Vote, String::new(), &content)
    }

    /// An entry of the replicated log.
    pub fn log_entry(entry: &Entry) -> Record {
        Record::postcard(RecordKind::LogEntry, log_entry_name(entry.index), entry)
    }

    /// Removes the log entry with an index.
    pub fn log_entry_removed(index: u64) -> Record {
        Record::removed(RecordKind::LogEntry, &log_entry_name(index))
    }

    /// The snapshot of the replicated log.
    pub fn snapshot(snapshot: &Snapshot) -> Record {
        Record::postcard(RecordKind::Snapshot, String::new(), snapshot)
    }

    /// Backends that the replicated log excludes after the entry `log_index`.
    pub fn exclusions(log_index: u64, backends: &BTreeSet<String>) -> Record {
        Record::json(RecordKind::Exclusions, "", &(log_index, backends))
    }

    /// Removes a record.
    pub fn removed(kind: RecordKind, name: &str) -> Record {
        Record { kind, name: name.to_string(), bytes: None }
    }
}

/// The name of a log entry's record. Its fixed length makes the order of names the order of indexes.
pub(crate) fn log_entry_name(index: u64) -> String {
    format!("{index:020}")
}
