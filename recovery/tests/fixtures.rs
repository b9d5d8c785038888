//! State folders and records as version 0.4.0 wrote them: what a later version reads and writes is the same.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::Instance;
use hallrelay_raft::{Entry, Payload, Snapshot, Voter};
use hallrelay_recovery::fact::{ServerTold, VERSION};
use hallrelay_recovery::{Fact, Kept, Stored};
use hallrelay_store::log::{Found, LOG, NEXT};
use hallrelay_store::{Folder, Key, Store, Value};
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

    fn open(&self) -> Store<Folder> {
        Store::open(Folder::open(&self.0).expect("a folder"), CAPACITY).expect("a store")
    }

    fn log(&self) -> Vec<u8> {
        std::fs::read(self.0.join(LOG)).expect("a log")
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
    std::fs::read(fixture(name).join(LOG)).expect("a fixture")
}

fn instance(id: &str, phase: Phase, came_up: Micros) -> Instance {
    let addr = "10.0.0.9:80".parse().expect("an address");
    Instance { id: id.to_string(), addr, zone: "east".to_string(), cell: 2, phase, came_up }
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
fn batches() -> Vec<Vec<Kept>> {
    let gone = Entry { index: 14, term: 3, payload: Payload::Command(vec![9; 40]) };
    vec![
        vec![Kept::own("relay-1", 41, WALL)],
        std::iter::once(Kept::list("10.0.0.1:8500", 9))
            .chain(instances().iter().map(|one| Kept::server(9, WALL + 5, one)))
            .collect(),
        vec![Kept::turn("s-1", WALL + 9), Kept::turn("s-9", WALL + 8)],
        vec![Kept::vote(BIRTH, 2, None)],
        entries().iter().chain([&gone]).map(Kept::entry).collect(),
        vec![Kept::snapshot(&snapshot())],
        vec![Kept::shut(12, &excluded())],
        vec![Kept::vote(BIRTH, 3, Some(voters()[2]))],
        vec![Kept::no_entry(14), Kept::forgotten(Fact::Turn, "s-9")],
    ]
}

/// All of it, as a start reads it.
fn expected() -> Stored {
    let told = |one: Instance| {
        let server = ServerTold { generation: 9, wall: WALL + 5, instance: one };
        (server.instance.id.clone(), server)
    };
    Stored {
        name: Some("relay-1".to_string()),
        start: 41,
        list: Some(("10.0.0.1:8500".to_string(), 9)),
        servers: instances().map(told).into_iter().collect(),
        turns: BTreeMap::from([("s-1".to_string(), WALL + 9)]),
        birth: Some(BIRTH),
        agreed: hallrelay_raft::PersistentState {
            term: 3,
            voted_for: Some(voters()[2]),
            snapshot: snapshot(),
            entries: entries(),
        },
        shut: (12, excluded()),
        wall: WALL + 9,
        odd: 0,
    }
}

fn write(store: &mut Store<Folder>) {
    for batch in batches() {
        let value = |bytes| Value { version: VERSION, bytes };
        let entry =
            |one: Kept| (Key { kind: one.fact as u8, name: one.name.into_bytes() }, one.bytes.map(value));
        store.commit(batch.into_iter().map(entry).collect()).expect("a sound disk");
    }
}

fn read(store: &Store<Folder>) -> Stored {
    let mut stored = Stored::default();
    for (key, value) in store.all() {
        stored.take(key.kind, value.version, &key.name, &value.bytes);
    }
    stored
}

#[test]
fn a_voters_folder_is_read_whole_and_left_as_it_is() {
    let folder = Temporary::copy_of("voter");
    let store = folder.open();
    assert_eq!(store.found, Found { records: 9, torn: 0, generation: 1 });
    assert_eq!(read(&store), expected());
    drop(store);
    assert_eq!(folder.log(), fixture_log("voter"));
}

#[test]
fn a_compacted_folder_holds_the_same() {
    let folder = Temporary::copy_of("compacted");
    let store = folder.open();
    assert_eq!(store.found, Found { records: 1, torn: 0, generation: 2 });
    assert_eq!(read(&store), expected());
    drop(store);
    assert_eq!(folder.log(), fixture_log("compacted"));
}

/// Cut in the middle of a tenth record, with the file of a compaction that was not finished.
#[test]
fn a_torn_folder_is_repaired() {
    let folder = Temporary::copy_of("torn");
    let torn = (fixture_log("torn").len() - fixture_log("voter").len()) as u64;
    assert!(torn > 0 && folder.0.join(NEXT).exists());
    let store = folder.open();
    assert_eq!(store.found, Found { records: 9, torn, generation: 1 });
    assert_eq!(read(&store), expected());
    drop(store);
    assert_eq!(folder.log(), fixture_log("voter"));
    assert!(!folder.0.join(NEXT).exists());
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
    let line = |one: &Kept| {
        let bytes = one.bytes.as_deref().map_or("removed".to_string(), hex);
        format!("{} {} [{}] {bytes}", one.fact as u8, one.fact.word(), one.name)
    };
    let lines: Vec<String> = batches().iter().flatten().map(line).collect();
    assert_eq!(lines, text.lines().collect::<Vec<_>>());
    for kind in Fact::ALL {
        let begin = format!("{} {} ", kind as u8, kind.word());
        assert!(lines.iter().any(|line| line.starts_with(&begin)), "{kind:?} has no record");
        assert_eq!(Fact::of(kind as u8), Some(kind));
    }
}
