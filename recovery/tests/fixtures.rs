//! State directories and records as written by version 0.4.0. Later versions must read and write the same
//! bytes.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::Instance;
use hallrelay_raft::{Entry, Payload, Snapshot, Voter};
use hallrelay_recovery::record::VERSION;
use hallrelay_recovery::{Exclusions, ListVersion, Record, RecordKind, StoredServer, StoredState};
use hallrelay_store::log::{LOG_FILE, NEXT_LOG_FILE};
use hallrelay_store::{Change, Directory, Key, LogSummary, Store, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const CAPACITY: u64 = 1 << 20;
const WRITTEN_AT: Micros = 1_800_000_000_000_000;
const INCARNATION: u64 = 1_799_999_000_000_123;

/// A temporary directory for one test, removed when dropped.
struct Temporary(PathBuf);

impl Temporary {
    fn new(name: &str) -> Temporary {
        let path = std::env::temp_dir().join(format!("hallrelay-fixtures-{}-{name}", std::process::id()));
        _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("create a temporary directory");
        Temporary(path)
    }

    /// A temporary directory with a copy of each file of a fixture directory.
    fn copy_of(name: &str) -> Temporary {
        let copy = Temporary::new(name);
        for file in std::fs::read_dir(fixture(name)).expect("read the fixture directory") {
            let file = file.expect("read a directory entry");
            std::fs::copy(file.path(), copy.0.join(file.file_name())).expect("copy a fixture file");
        }
        copy
    }

    fn open(&self) -> Store<Directory> {
        Store::open(Directory::open(&self.0).expect("lock the directory"), CAPACITY).expect("open the store")
    }

    fn log(&self) -> Vec<u8> {
        std::fs::read(self.0.join(LOG_FILE)).expect("read the log file")
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/state").join(name)
}

fn fixture_log(name: &str) -> Vec<u8> {
    std::fs::read(fixture(name).join(LOG_FILE)).expect("read the fixture's log file")
}

fn instance(id: &str, phase: Phase, started_at: Micros) -> Instance {
    let addr = "10.0.0.9:80".parse().expect("parse the address");
    Instance { id: id.to_string(), addr, zone: "east".to_string(), cell: 2, phase, started_at }
}

fn instances() -> [Instance; 3] {
    [
        instance("s-1", Phase::Ready, 0),
        instance("s-2", Phase::Draining, 1_700_000_000_000_500),
        instance("s-3", Phase::Gone, 1_700_000_000_000_000),
    ]
}

fn voters() -> Vec<Voter> {
    vec![
        Voter { id: 1, incarnation: INCARNATION },
        Voter { id: 2, incarnation: 0 },
        Voter { id: 300, incarnation: 7 },
    ]
}

fn entries() -> Vec<Entry> {
    vec![
        Entry { index: 11, term: 2, payload: Payload::Noop },
        Entry { index: 12, term: 2, payload: Payload::Command(vec![0, 1, 127, 128, 255]) },
        Entry { index: 13, term: 3, payload: Payload::Configuration(voters()) },
    ]
}

fn snapshot() -> Snapshot {
    Snapshot { index: 10, term: 1, voters: voters(), state: b"state of the log up to entry 10".to_vec() }
}

fn excluded() -> BTreeSet<String> {
    BTreeSet::from(["s-2".to_string(), "s-7".to_string()])
}

/// The written batches: each kind of record, including one that is overwritten and two that are removed.
fn batches() -> Vec<Vec<Record>> {
    let removed_entry = Entry { index: 14, term: 3, payload: Payload::Command(vec![9; 40]) };
    vec![
        vec![Record::relay_identity("relay-1", 41, WRITTEN_AT)],
        std::iter::once(Record::list_version("10.0.0.1:8500", 9))
            .chain(instances().iter().map(|instance| Record::server(9, WRITTEN_AT + 5, instance)))
            .collect(),
        vec![Record::slow_start_slot("s-1", WRITTEN_AT + 9), Record::slow_start_slot("s-9", WRITTEN_AT + 8)],
        vec![Record::vote(INCARNATION, 2, None)],
        entries().iter().chain([&removed_entry]).map(Record::log_entry).collect(),
        vec![Record::snapshot(&snapshot())],
        vec![Record::exclusions(12, &excluded())],
        vec![Record::vote(INCARNATION, 3, Some(voters()[2]))],
        vec![Record::log_entry_removed(14), Record::removed(RecordKind::SlowStartSlot, "s-9")],
    ]
}

/// The state that a start must read after all batches.
fn expected() -> StoredState {
    let server_entry = |instance: Instance| {
        let server = StoredServer { generation: 9, written_at: WRITTEN_AT + 5, instance };
        (server.instance.id.clone(), server)
    };
    StoredState {
        relay_name: Some("relay-1".to_string()),
        start_number: 41,
        list_version: Some(ListVersion { source: "10.0.0.1:8500".to_string(), generation: 9 }),
        servers: instances().map(server_entry).into_iter().collect(),
        slow_start_slots: BTreeMap::from([("s-1".to_string(), WRITTEN_AT + 9)]),
        incarnation: Some(INCARNATION),
        raft: hallrelay_raft::PersistentState {
            term: 3,
            voted_for: Some(voters()[2]),
            snapshot: snapshot(),
            entries: entries(),
        },
        exclusions: Exclusions { log_index: 12, backends: excluded() },
        last_written_at: WRITTEN_AT + 9,
        unreadable: 0,
    }
}

fn write(store: &mut Store<Directory>) {
    for batch in batches() {
        let value = |bytes| Value { version: VERSION, bytes };
        let entry = |record: Record| Change {
            key: Key { kind: record.kind.number(), name: record.name.into_bytes() },
            value: record.bytes.map(value),
        };
        store.commit(batch.into_iter().map(entry).collect()).expect("commit a batch");
    }
}

fn read(store: &Store<Directory>) -> StoredState {
    let mut stored = StoredState::default();
    for (key, value) in store.iter() {
        stored.add(key.kind, value.version, &key.name, &value.bytes);
    }
    stored
}

#[test]
fn voter_directory_is_read_without_changes() {
    let directory = Temporary::copy_of("voter");
    let store = directory.open();
    assert_eq!(store.summary(), LogSummary { records: 9, torn_bytes: 0, generation: 1 });
    assert_eq!(read(&store), expected());
    drop(store);
    assert_eq!(directory.log(), fixture_log("voter"));
}

#[test]
fn compacted_directory_has_the_same_state() {
    let directory = Temporary::copy_of("compacted");
    let store = directory.open();
    assert_eq!(store.summary(), LogSummary { records: 1, torn_bytes: 0, generation: 2 });
    assert_eq!(read(&store), expected());
    drop(store);
    assert_eq!(directory.log(), fixture_log("compacted"));
}

/// The log is truncated in the middle of a tenth record, and an unfinished compaction left its file.
#[test]
fn truncated_log_and_unfinished_compaction_are_repaired() {
    let directory = Temporary::copy_of("torn");
    let torn = (fixture_log("torn").len() - fixture_log("voter").len()) as u64;
    assert!(torn > 0 && directory.0.join(NEXT_LOG_FILE).exists(), "{torn} torn bytes, or no {NEXT_LOG_FILE}");
    let store = directory.open();
    assert_eq!(store.summary(), LogSummary { records: 9, torn_bytes: torn, generation: 1 });
    assert_eq!(read(&store), expected());
    drop(store);
    assert_eq!(directory.log(), fixture_log("voter"));
    assert!(!directory.0.join(NEXT_LOG_FILE).exists(), "{NEXT_LOG_FILE} must be removed");
}

#[test]
fn records_are_written_to_the_same_bytes() {
    let directory = Temporary::new("written");
    let mut store = directory.open();
    write(&mut store);
    assert_eq!(directory.log(), fixture_log("voter"));
    store.compact().expect("compact the store");
    assert_eq!(directory.log(), fixture_log("compacted"));
}

/// `fixtures/records.txt` contains kind, name and bytes of each record in the order of the batches.
#[test]
fn each_record_matches_its_fixture() {
    let text = include_str!("fixtures/records.txt");
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let line = |record: &Record| {
        let bytes = record.bytes.as_deref().map_or("removed".to_string(), hex);
        format!("{} {} [{}] {bytes}", record.kind.number(), record.kind.label(), record.name)
    };
    let lines: Vec<String> = batches().iter().flatten().map(line).collect();
    assert_eq!(lines, text.lines().collect::<Vec<_>>());
    for kind in RecordKind::ALL {
        let prefix = format!("{} {} ", kind.number(), kind.label());
        assert!(lines.iter().any(|line| line.starts_with(&prefix)), "{kind:?} has no record");
        assert_eq!(RecordKind::from_number(kind.number()), Some(kind));
    }
}
