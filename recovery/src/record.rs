//! The kinds of records in a relay's state directory, and the encoding of each. JSON keys and the order of
//! fields in postcard are the stored form: they outlive the names here.
use hallrelay_balancer::types::Micros;
use hallrelay_config::list::{self, Instance};
use hallrelay_raft::{Entry, Snapshot, Voter};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;

/// The version of the records' encodings. It is counted up with each change that an older program would
/// misread.
pub const VERSION: u8 = 1;

/// Kinds of records; the number is the kind of their keys in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// Which relay the store belongs to, and its start number.
    RelayIdentity = 1,
    /// The source and the version of the endpoint list.
    ListVersion = 2,
    /// One server as the list had it last, by its name; draining and removed ones included.
    Server = 3,
    /// The slot that this relay used last at a server in slow start, by the server's name.
    SlowStartSlot = 4,
    /// A voter's incarnation, current term and vote.
    Vote = 5,
    /// An entry of the replicated log, by its index.
    LogEntry = 6,
    /// The snapshot that stands for the entries before those.
    Snapshot = 7,
    /// Backends that the replicated log excludes.
    Exclusions = 8,
}

impl RecordKind {
    /// All kinds, in the order of their numbers.
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

    /// The kind of a number; `None` where there is no such kind.
    pub fn from_number(number: u8) -> Option<RecordKind> {
        RecordKind::ALL.into_iter().find(|kind| kind.number() == number)
    }

    /// The number in the store.
    pub fn number(self) -> u8 {
        self as u8
    }

    /// The kind in the output of `hallrelay store`.
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

/// The content of a [`RecordKind::RelayIdentity`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayIdentity {
    /// The relay's name.
    pub name: String,
    /// Its start number, which rises with each start.
    #[serde(rename = "start")]
    pub start_number: u64,
    /// When this was written, by the system's clock.
    #[serde(rename = "wall")]
    pub written_at: Micros,
}

/// The content of a [`RecordKind::ListVersion`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// The address that the list came from. Versions of different sources can't be compared.
    pub source: String,
    /// The version of the list.
    pub generation: u64,
}

/// The content of a [`RecordKind::Server`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServerContent {
    pub generation: u64,
    #[serde(rename = "wall")]
    pub written_at: Micros,
    /// In the form of discovery's list.
    pub instance: Value,
}

/// The content of a [`RecordKind::SlowStartSlot`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlowStartContent {
    #[serde(rename = "wall")]
    pub used_at: Micros,
}

/// The content of a [`RecordKind::Vote`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoteContent {
    pub incarnation: u64,
    pub term: u64,
    pub vote: Option<Voter>,
}

/// One record as it is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Its kind.
    pub kind: RecordKind,
    /// Its name among those of its kind; empty where there is only one.
    pub name: String,
    /// Its content, encoded; `None` removes it from the store.
    pub bytes: Option<Vec<u8>>,
}

impl Record {
    fn json(kind: RecordKind, name: &str, content: &impl Serialize) -> Record {
        // Numbers, texts, and JSON that was parsed before: encoding can't fail.
        Record { kind, name: name.to_string(), bytes: serde_json::to_vec(content).ok() }
    }

    fn postcard(kind: RecordKind, name: String, content: &impl Serialize) -> Record {
        Record { kind, name, bytes: postcard::to_stdvec(content).ok() }
    }

    /// Which relay the store belongs to. `written_at` is by the system's clock.
    pub fn relay_identity(name: &str, start_number: u64, written_at: Micros) -> Record {
        let identity = RelayIdentity { name: name.to_string(), start_number, written_at };
        Record::json(RecordKind::RelayIdentity, "", &identity)
    }

    /// The source and the version of the endpoint list.
    pub fn list_version(source: &str, generation: u64) -> Record {
        let version = ListVersion { source: source.to_string(), generation };
        Record::json(RecordKind::ListVersion, "", &version)
    }

    /// A server as a version of the list has it. `written_at` is by the system's clock.
    pub fn server(generation: u64, written_at: Micros, instance: &Instance) -> Record {
        let list = list::encode(generation, true, std::iter::once(instance));
        let content = ServerContent { generation, written_at, instance: list["instances"][0].clone() };
        Record::json(RecordKind::Server, &instance.id, &content)
    }

    /// A used slot at a server in slow start. `used_at` is by the system's clock.
    pub fn slow_start_slot(server: &str, used_at: Micros) -> Record {
        Record::json(RecordKind::SlowStartSlot, server, &SlowStartContent { used_at })
    }

    /// A voter's term and vote. `incarnation` is that of its disk.
    pub fn vote(incarnation: u64, term: u64, vote: Option<Voter>) -> Record {
        let content = VoteContent { incarnation, term, vote };
        Record::postcard(RecordKind::Vote, String::new(), &content)
    }

    /// An entry of the replicated log.
    pub fn log_entry(entry: &Entry) -> Record {
        Record::postcard(RecordKind::LogEntry, log_entry_name(entry.index), entry)
    }

    /// Removes the entry of an index.
    pub fn log_entry_removed(index: u64) -> Record {
        Record::removed(RecordKind::LogEntry, &log_entry_name(index))
    }

    /// The snapshot of the replicated log.
    pub fn snapshot(snapshot: &Snapshot) -> Record {
        Record::postcard(RecordKind::Snapshot, String::new(), snapshot)
    }

    /// Backends that the replicated log excludes as of an entry.
    pub fn exclusions(log_index: u64, backends: &BTreeSet<String>) -> Record {
        Record::json(RecordKind::Exclusions, "", &(log_index, backends))
    }

    /// Removes a record.
    pub fn removed(kind: RecordKind, name: &str) -> Record {
        Record { kind, name: name.to_string(), bytes: None }
    }
}

/// The name of an entry's record, of fixed length, so that the order of names is that of indexes.
pub(crate) fn log_entry_name(index: u64) -> String {
    format!("{index:020}")
}
