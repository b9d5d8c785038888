//! The decoded records of a state directory.
use crate::record::{
    ListVersion, RecordKind, RelayIdentity, ServerContent, SlowStartContent, VoteContent, VERSION,
};
use hallrelay_balancer::types::Micros;
use hallrelay_config::list::{self, Instance, List};
use hallrelay_raft::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// One server as last listed.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredServer {
    /// Version of the endpoint list from which the server was stored.
    pub generation: u64,
    /// Time of writing by the system clock.
    pub written_at: Micros,
    /// The server.
    pub instance: Instance,
}

/// Backends that get no new sessions according to the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Exclusions {
    /// Index of the last applied log entry.
    pub log_index: u64,
    /// Names of the backends in the endpoint list.
    pub backends: BTreeSet<String>,
}

/// The decoded contents of a store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// Name of the relay to which the store belongs; `None` in a new store.
    pub relay_name: Option<String>,
    /// Last start number of the relay.
    pub start_number: u64,
    /// Source and version of the endpoint list.
    pub list_version: Option<ListVersion>,
    /// Servers by their names in the list.
    pub servers: BTreeMap<String, StoredServer>,
    /// Times of the system clock at which this relay last used a slot at a server in slow start.
    pub slow_start_slots: BTreeMap<String, Micros>,
    /// Incarnation of a voter's disk; `None` if the relay was not a voter.
    pub incarnation: Option<u64>,
    /// Term, vote, snapshot and log entries of a voter.
    pub raft: hallrelay_raft::PersistentState,
    /// Excluded backends.
    pub exclusions: Exclusions,
    /// Latest time at which a record was written, by the system clock.
    pub last_written_at: Micros,
    /// Number of ignored records: those of another version or an unknown kind, and those that cannot be
    /// decoded.
    pub unreadable: usize,
}

impl StoredState {
    /// Whether the store belongs to this relay. One without a name was created by a hot restart of the relay.
    pub fn belongs_to(&self, relay_name: &str) -> bool {
        self.relay_name.as_deref().is_none_or(|owner| owner == relay_name)
    }

    /// Adds a record of the store, given the number of its kind, the version of its encoding, its name and
    /// content.
    pub fn add(&mut self, kind: u8, version: u8, name: &[u8], bytes: &[u8]) {
        if self.decode(kind, version, name, bytes).is_none() {
            self.unreadable += 1;
        }
    }

    /// Decodes a record and adds it. `None` if the record is unreadable.
    fn decode(&mut self, kind: u8, version: u8, name: &[u8], bytes: &[u8]) -> Option<()> {
        let kind = RecordKind::from_number(kind).filter(|_| version == VERSION)?;
        let name = std::str::from_utf8(name).ok()?;
        match kind {
            RecordKind::RelayIdentity => {
                let identity: RelayIdentity = serde_json::from_slice(bytes).ok()?;
                self.relay_name = Some(identity.name);
                self.start_number = identity.start_number;
                self.raise_last_written_at(identity.written_at);
            }
            RecordKind::ListVersion => self.list_version = Some(serde_json::from_slice(bytes).ok()?),
            RecordKind::Server => {
                let server = decode_server(name, bytes)?;
                self.raise_last_written_at(server.written_at);
                self.servers.insert(name.to_string(), server);
            }
            RecordKind::SlowStartSlot => {
                let content: SlowStartContent = serde_json::from_slice(bytes).ok()?;
                self.slow_start_slots.insert(name.to_string(), content.used_at);
                self.raise_last_written_at(content.used_at);
            }
            RecordKind::Vote => {
                let content: VoteContent = postcard::from_bytes(bytes).ok()?;
                self.incarnation = Some(content.incarnation);
                self.raft.term = content.term;
                self.raft.voted_for = content.vote;
            }
            RecordKind::LogEntry => self.add_log_entry(postcard::from_bytes(bytes).ok()?),
            RecordKind::Snapshot => self.raft.snapshot = postcard::from_bytes(bytes).ok()?,
            RecordKind::Exclusions => {
                let (log_index, backends) = serde_json::from_slice(bytes).ok()?;
                self.exclusions = Exclusions { log_index, backends };
            }
        }
        Some(())
    }

    fn raise_last_written_at(&mut self, time: Micros) {
        self.last_written_at = self.last_written_at.max(time);
    }

    /// Inserts an entry in the order of the indexes.
    fn add_log_entry(&mut self, entry: Entry) {
        let position = self.raft.entries.partition_point(|other| other.index < entry.index);
        self.raft.entries.insert(position, entry);
    }
}

/// Decodes a server. `None` if the content cannot be decoded or belongs to another server.
fn decode_server(name: &str, bytes: &[u8]) -> Option<StoredServer> {
    let content: ServerContent = serde_json::from_slice(bytes).ok()?;
    let list = serde_json::json!({"generation": content.generation, "instances": [content.instance]});
    let List { mut instances, .. } = list::parse(list.to_string().as_bytes()).ok()?;
    let instance = instances.pop().filter(|instance| instance.id == name)?;
    Some(StoredServer { generation: content.generation, written_at: content.written_at, instance })
}
