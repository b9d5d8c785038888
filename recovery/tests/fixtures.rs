//! State folders and records as version 0.4.0 wrote them: what a later version reads and writes is the same.
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
const WALL: Micros = 1_800_000_000_000_000;
const BIRTH: u64 = 1_799_999_000_000_123;

/// A folder of its own for one test, removed at its end.
struct Temporary(PathBuf);

impl Temporary {
    fn new(name: &str) -> Temporary {
        let path = std::env::temp_dir().join(format!("hallrelay-fixtures-{}-{name}", std::process::id()));
        _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Temporary(path)
    }

    /// With a copy of each file of a fixture folder.
    fn copy_of(name: &str) -> Temporary {
        let copy = Temporary::new(name);
        for file in std::fs::read_dir(fixture(name)).expect("a fixture folder") {
            let file = file.expect("a file");
            std::fs::copy(file.path(), copy.0.join(file.file_name())).expect("a copy");
        }
        copy
    }

    fn open(&self) -> Store<Directory> {
        Store::open(Directory::open(&self.0).expect("a folder"), CAPACITY).expect("a store")
    }

    fn log(&self) -> Vec<u8> {
        std::fs::read(self.0.join(LOG_FILE)).expect("a log")
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
    std::fs::read(fixture(name).join(LOG_FILE)).expect("a fixture")
}

fn instance(id: &str, phase: Phase, came_up: Micros) -> Instance {
    let addr = "10.0.0.9:80".parse().expect("an address");
    Instance { id: id.to_string(), addr, zone: "east".to_string(), cell: 2, phase, started_at: came_up }
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
        Voter { id: 1, incarnation: BIRTH },
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

/// What was written, batch by batch: each kind of record, one that is overwritten and two that are removed.
fn batches() -> Vec<Vec<Record>> {
    let gone = Entry { index: 14, term: 3, payload: Payload::Command(vec![9; 40]) };
    vec![
        vec![Record::relay_identity("relay-1", 41, WALL)],
        std::iter::once(Record::list_version("10.0.0.1:8500", 9))
            .chain(instances().iter().map(|one| Record::server(9, WALL + 5, one)))
            .collect(),
        vec![Record::slow_start_slot("s-1", WALL + 9), Record::slow_start_slot("s-9", WALL + 8)],
        vec![Record::vote(BIRTH, 2, None)],
        entries().iter().chain([&gone]).map(Record::log_entry).collect(),
        vec![Record::snapshot(&snapshot())],
        vec![Record::exclusions(12, &excluded())],
        vec![Record::vote(BIRTH, 3, Some(voters()[2]))],
        vec![Record::log_entry_removed(14), Record::removed(RecordKind::SlowStartSlot, "s-9")],
    ]
}

/// All of it, as a start reads it.
fn expected() -> StoredState {
    let told = |one: Instance| {
        let server = StoredServer { generation: 9, written_at: WALL + 5, instance: one };
        (server.instance.id.clone(), server)
    };
    StoredState {
        relay_name: Some("relay-1".to_string()),
        start_number: 41,
        list_version: Some(ListVersion { source: "10.0.0.1:8500".to_string(), generation: 9 }),
        servers: instances().map(told).into_iter().collect(),
        slow_start_slots: BTreeMap::from([("s-1".to_string(), WALL + 9)]),
        incarnation: Some(BIRTH),
        raft: hallrelay_raft::PersistentState {
            term: 3,
            voted_for: Some(voters()[2]),
            snapshot: snapshot(),
            entries: entries(),
        },
        exclusions: Exclusions { log_index: 12, backends: excluded() },
        last_written_at: WALL + 9,
        unreadable: 0,
    }
}

fn write(store: &mut Store<Directory>) {
    for batch in batches() {
        let value = |bytes| Value { version: VERSION, bytes };
        let entry = |one: Record| Change {
            key: Key { kind: one.kind.number(), name: one.name.into_bytes() },
            value: one.bytes.map(value),
        };
        store.commit(batch.into_iter().map(entry).collect()).expect("a sound disk");
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
fn a_voters_folder_is_read_whole_and_left_as_it_is() {
    let folder = Temporary::copy_of("voter");
    let store = folder.open();
    assert_eq!(store.summary(), LogSummary { records: 9, torn_bytes: 0, generation: 1 });
    assert_eq!(read(&store), expected());
    drop(store);
    assert_eq!(folder.log(), fixture_log("voter"));
}

#[test]
fn a_compacted_folder_holds_the_same() {
    let folder = Temporary::copy_of("compacted");
    let store = folder.open();
    assert_eq!(store.summary(), LogSummary { records: 1, torn_bytes: 0, generation: 2 });
    assert_eq!(read(&store), expected());
    drop(store);
    assert_eq!(folder.log(), fixture_log("compacted"));
}

/// Cut in the middle of a tenth record, with the file of a compaction that was not finished.
#[test]
fn a_torn_folder_is_repaired() {
    let folder = Temporary::copy_of("torn");
    let torn = (fixture_log("torn").len() - fixture_log("voter").len()) as u64;
    assert!(torn > 0 && folder.0.join(NEXT_LOG_FILE).exists());
    let store = folder.open();
    assert_eq!(store.summary(), LogSummary { records: 9, torn_bytes: torn, generation: 1 });
    assert_eq!(read(&store), expected());
    drop(store);
    assert_eq!(folder.log(), fixture_log("voter"));
    assert!(!folder.0.join(NEXT_LOG_FILE).exists());
}

#[test]
fn the_same_records_are_written_to_the_same_bytes() {
    let folder = Temporary::new("anew");
    let mut store = folder.open();
    write(&mut store);
    assert_eq!(folder.log(), fixture_log("voter"));
    store.compact().expect("a sound disk");
    assert_eq!(folder.log(), fixture_log("compacted"));
}

/// `fixtures/records.txt`: kind, name and bytes of each record, in the order of the batches.
#[test]
fn each_record_has_its_bytes() {
    let text = include_str!("fixtures/records.txt");
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let line = |one: &Record| {
        let bytes = one.bytes.as_deref().map_or("removed".to_string(), hex);
        format!("{} {} [{}] {bytes}", one.kind.number(), one.kind.label(), one.name)
    };
    let lines: Vec<String> = batches().iter().flatten().map(line).collect();
    assert_eq!(lines, text.lines().collect::<Vec<_>>());
    for kind in RecordKind::ALL {
        let begin = format!("{} {} ", kind.number(), kind.label());
        assert!(lines.iter().any(|line| line.starts_with(&begin)), "{kind:?} has no record");
        assert_eq!(RecordKind::from_number(kind.number()), Some(kind));
    }
}
