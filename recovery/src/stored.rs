//! The records of a state directory, decoded.
use crate::record::{
    ListVersion, RecordKind, RelayIdentity, ServerContent, SlowStartContent, VoteContent, VERSION,
};
use hallrelay_balancer::types::Micros;
use hallrelay_config::list::{self, Instance, List};
use hallrelay_raft::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// One server as the list had it last.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredServer {
    /// The version of the list.
    pub generation: u64,
    /// When it was written, by the system's clock.
    pub written_at: Micros,
    /// The server.
    pub instance: Instance,
}

/// Backends that the replicated log excludes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Exclusions {
    /// The index of the last log entry that was applied.
    pub log_index: u64,
    /// The backends' names in the endpoint list.
    pub backends: BTreeSet<String>,
}

/// All that a store held.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The name of the relay that the store belongs to; `None` in a new store.
    pub relay_name: Option<String>,
    /// The relay's last start number.
    pub start_number: u64,
    /// The source and the version of the endpoint list.
    pub list_version: Option<ListVersion>,
    /// Servers, by their name in the list.
    pub servers: BTreeMap<String, StoredServer>,
    /// When this relay last used a slot at a server in slow start, by the system's clock.
    pub slow_start_slots: BTreeMap<String, Micros>,
    /// The incarnation of a voter's disk; `None` where the relay was no voter.
    pub incarnation: Option<u64>,
    /// A voter's term, vote, snapshot and log entries.
    pub raft: hallrelay_raft::PersistentState,
    /// Backends that were excluded.
    pub exclusions: Exclusions,
    /// The latest time at which anything was written, by the system's clock.
    pub last_written_at: Micros,
    /// Records of another version or kind, or that can't be decoded. They are ignored.
    pub unreadable: usize,
}

impl StoredState {
    /// Takes one record of the store: the number of its kind, the version of its encoding, name and content.
    pub fn add(&mut self, kind: u8, version: u8, name: &[u8], bytes: &[u8]) {
        if self.decode(kind, version, name, bytes).is_none() {
            self.unreadable += 1;
        }
    }

    /// `None` where the record is unreadable.
    fn decode(&mut self, kind: u8, version: u8, name: &[u8], bytes: &[u8]) -> Option<()> {
        let kind = RecordKind::from_number(kind).filter(|_| version == VERSION)?;
        let name = std::str::from_utf8(name).ok()?;
        match kind {
            RecordKind::RelayIdentity => {
                let identity: RelayIdentity = serde_json::from_slice(bytes).ok()?;
                self.relay_name = Some(identity.name);
                self.start_number = identity.start_number;
                self.written_at(identity.written_at);
            }
            RecordKind::ListVersion => self.list_version = Some(serde_json::from_slice(bytes).ok()?),
            RecordKind::Server => {
                let server = decode_server(name, bytes)?;
                self.written_at(server.written_at);
                self.servers.insert(name.to_string(), server);
            }
            RecordKind::SlowStartSlot => {
                let content: SlowStartContent = serde_json::from_slice(bytes).ok()?;
                self.slow_start_slots.insert(name.to_string(), content.used_at);
                self.written_at(content.used_at);
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

    fn written_at(&mut self, time: Micros) {
        self.last_written_at = self.last_written_at.max(time);
    }

    /// Inserts an entry in the order of indexes.
    fn add_log_entry(&mut self, entry: Entry) {
        let position = self.raft.entries.partition_point(|other| other.index < entry.index);
        self.raft.entries.insert(position, entry);
    }
}

/// `None` where the content can't be decoded, or is another server's.
fn decode_server(name: &str, bytes: &[u8]) -> Option<StoredServer> {
    let content: ServerContent = serde_json::from_slice(bytes).ok()?;
    let list = serde_json::json!({"generation": content.generation, "instances": [content.instance]});
    let List { mut instances, .. } = list::parse(list.to_string().as_bytes()).ok()?;
    let instance = instances.pop().filter(|instance| instance.id == name)?;
    Some(StoredServer { generation: content.generation, written_at: content.written_at, instance })
}
