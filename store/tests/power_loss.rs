//! Compares the store with a simple model: with the log truncated at every byte, with a power loss at every
//! operation, and on disks with all faults of `FaultyDisk`. Each restart must recover a state that was
//! written and that contains all successful commits.
use hallrelay_store::faulty_disk::{FaultRates, FaultyDisk};
use hallrelay_store::format::inspect;
use hallrelay_store::log::LOG_FILE;
use hallrelay_store::writer::Writer;
use hallrelay_store::{Change, Directory, Disk, Key, Store, StoreError, Value};
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::sync::mpsc::channel;
use std::time::Duration;

type State = BTreeMap<Key, Value>;
type Batch = Vec<Change>;

const CAPACITY: u64 = 64 << 20;

fn key(n: u64) -> Key {
    Key { kind: (n % 3) as u8, name: format!("key-{n}").into_bytes() }
}

fn batch(rng: &mut Rand64, max_bytes: usize) -> Batch {
    let change = |rng: &mut Rand64| {
        let len = rng.rand_range(0..max_bytes as u64) as usize;
        let bytes = (0..len).map(|_| rng.rand_u64() as u8).collect();
        let value = (rng.rand_range(0..5) > 0).then_some(Value { version: 1, bytes });
        Change { key: key(rng.rand_range(0..12)), value }
    };
    (0..rng.rand_range(1..4)).map(|_| change(rng)).collect()
}

fn apply(state: &State, batch: &Batch) -> State {
    let mut state = state.clone();
    for Change { key, value } in batch {
        match value {
            Some(value) => _ = state.insert(key.clone(), value.clone()),
            None => _ = state.remove(key),
        }
    }
    state
}

fn values<D: Disk>(store: &Store<D>) -> State {
    store.iter().map(|(k, v)| (k.clone(), v.clone())).collect()
}

/// All states of a log, one after each batch, and the bytes of the log file.
fn written_log(seed: u64, batches: usize) -> (Vec<State>, Vec<u8>) {
    let mut rng = Rand64::new(seed.into());
    let mut store = Store::open(FaultyDisk::new(seed), CAPACITY).expect("create a store");
    let mut states = vec![State::new()];
    for _ in 0..batches {
        let batch = batch(&mut rng, 40);
        states.push(apply(states.last().expect("states is never empty"), &batch));
        store.commit(batch).expect("commit on a disk without faults");
    }
    let mut disk = store.into_disk();
    (states, disk.bytes(LOG_FILE).expect("the log file must exist").clone())
}

fn open_bytes(bytes: &[u8]) -> Store<FaultyDisk> {
    let mut disk = FaultyDisk::new(1);
    disk.write(LOG_FILE, 0, bytes).expect("write the log file");
    disk.sync(LOG_FILE).expect("sync the log file");
    disk.sync_directory().expect("sync the directory");
    Store::open(disk, CAPACITY).expect("recover the store")
}

#[test]
fn truncated_log_recovers_a_written_state() {
    let (states, bytes) = written_log(1, 40);
    let mut reached = 0;
    for len in 0..=bytes.len() {
        let mut store = open_bytes(&bytes[..len]);
        let records = store.summary().records as usize;
        assert_eq!(values(&store), states[records], "log truncated to {len} bytes");
        assert!(records >= reached, "{len} bytes must not give fewer records than a shorter log");
        reached = records;
        if len % 17 == 0 {
            // Later commits work, and the cut bytes do not reappear.
            let more = vec![Change::set(key(99), Value { version: 1, bytes: vec![7; 9] })];
            let expected = apply(&states[records], &more);
            store.commit(more).expect("commit after recovery");
            let reopened =
                Store::open(store.into_disk().after_power_loss(), CAPACITY).expect("recover the store again");
            assert_eq!(values(&reopened), expected, "log truncated to {len} bytes, then a commit");
        }
    }
    assert_eq!(reached, states.len() - 1, "the complete log must give all batches");
}

#[test]
fn log_with_flipped_bit_recovers_an_earlier_state() {
    let (states, bytes) = written_log(2, 30);
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1 << (at % 8);
        let store = open_bytes(&damaged);
        assert!(states.contains(&values(&store)), "damaged byte {at}: not a written state");
        assert_eq!(
            values(&store),
            states[store.summary().records as usize],
            "damaged byte {at}: the state must match the number of records"
        );
    }
}

/// Checks that a restart after a power loss finds all successful commits, and the failed last batch
/// completely or not at all.
fn assert_recovers(
    disk: FaultyDisk,
    committed: &State,
    possible: Option<&State>,
    context: &str,
) -> FaultyDisk {
    let store = Store::open(disk.after_power_loss(), CAPACITY).unwrap_or_else(|e| panic!("{context}: {e}"));
    let found = values(&store);
    assert!(
        found == *committed || Some(&found) == possible,
        "{context}: neither the committed state nor the state with the failed batch was recovered"
    );
    store.into_disk()
}

/// Loses power at each operation in turn, including those of compactions.
#[test]
fn power_loss_at_any_operation_keeps_commits() {
    let (mut steps, mut completed) = (0, false);
    for operation in 0.. {
        let mut rng = Rand64::new(5);
        let mut disk = FaultyDisk::new(operation);
        disk.power_loss_after = Some(operation);
        let (mut committed, mut possible) = (State::new(), None);
        let mut store = match Store::open(disk, CAPACITY) {
            Ok(store) => store,
            // Power was lost while the store was created; it held no values.
            Err(_) => continue,
        };
        for _ in 0..60 {
            let batch = batch(&mut rng, 6_000);
            let next = apply(&committed, &batch);
            match store.commit(batch) {
                Ok(()) => (committed, possible) = (next, None),
                Err(_) => {
                    possible = Some(next);
                    break;
                }
            }
        }
        let all_committed = possible.is_none();
        let disk = store.into_disk();
        steps = disk.operations();
        assert_recovers(disk, &committed, possible.as_ref(), &format!("power loss at operation {operation}"));
        if all_committed {
            completed = true;
            break;
        }
    }
    assert!(
        steps > 150 && completed,
        "the run without a power loss took {steps} operations, expected over 150"
    );
}

/// Opens disks that fail at random, lose power at some operation and are opened again for more commits.
#[test]
fn commits_survive_faulty_disks_and_power_losses() {
    let (mut failed, mut compactions) = (0u64, 0u64);
    for seed in 0..3_000u64 {
        let mut rng = Rand64::new(seed.into());
        let mut disk = FaultyDisk::new(seed);
        let mut committed = State::new();
        // Batches that failed since the last successful commit. The last one that reached the disk may
        // survive.
        let mut possible: Vec<State> = Vec::new();
        for restart in 0..3 {
            let context = format!("seed {seed}, restart {restart}");
            let mut store = match Store::open(disk, CAPACITY) {
                Ok(store) => store,
                Err(e) => panic!("{context}: {e}"),
            };
            let found = values(&store);
            assert!(
                found == committed || possible.contains(&found),
                "{context}: the recovered state was not written"
            );
            (committed, possible) = (found, Vec::new());
            compactions += store.summary().generation.saturating_sub(1);
            disk = store.into_disk();
            disk.rates = FaultRates { short_write: 30, no_space: 20, sync_failure: 30, other: 10 };
            disk.power_loss_after = Some(rng.rand_range(4..200));
            // The store is opened again without a power loss and finds the same files.
            store = match Store::open(disk, CAPACITY) {
                Ok(store) => store,
                Err(_) => break,
            };
            for _ in 0..rng.rand_range(1..60) {
                let batch = batch(&mut rng, 5_000);
                let next = apply(&committed, &batch);
                match store.commit(batch) {
                    Ok(()) => (committed, possible) = (next, Vec::new()),
                    // The batch may survive a power loss until the next commit, but not once a later commit
                    // succeeded.
                    Err(StoreError::Disk(_)) => {
                        failed += 1;
                        possible.push(next);
                    }
                    Err(e) => panic!("{context}: {e}"),
                }
                assert_eq!(values(&store), committed, "{context}: a failed batch must not be visible");
            }
            disk = store.into_disk().after_power_loss();
        }
    }
    assert!(
        failed > 3_000 && compactions > 300,
        "only {failed} commits failed, and only {compactions} compactions ran"
    );
}

fn directory(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("hallrelay-store-{}-{name}", std::process::id()));
    _ = std::fs::remove_dir_all(&path);
    path
}

#[test]
fn directory_is_locked_and_later_format_is_refused() {
    let path = directory("real");
    let mut store =
        Store::open(Directory::open(&path).expect("lock the directory"), CAPACITY).expect("create a store");
    let value = Value { version: 3, bytes: b"content".to_vec() };
    store.commit(vec![Change::set(key(1), value.clone())]).expect("commit to real files");
    let second = Directory::open(&path).map(|_| ()).map_err(|e| e.kind());
    assert_eq!(second, Err(std::io::ErrorKind::WouldBlock));
    drop(store);
    let store = Store::open(Directory::open(&path).expect("lock the directory after its release"), CAPACITY)
        .expect("open the store again");
    assert_eq!(store.get(&key(1)), Some(&value));
    drop(store);
    // A log file of a later format stays unchanged.
    let log = std::fs::read(path.join(LOG_FILE)).expect("read the log file");
    assert_eq!(inspect(&log).expect("inspect the log file").changes.len(), 1);
    let mut later = log.clone();
    later[7] = 9;
    let sum = crc32fast::hash(&later[..16]);
    later[16..20].copy_from_slice(&sum.to_le_bytes());
    std::fs::write(path.join(LOG_FILE), &later).expect("write the log file of a later format");
    let refused = Store::open(Directory::open(&path).expect("lock the directory"), CAPACITY).map(|_| ());
    assert!(
        matches!(&refused, Err(e @ StoreError::Format { .. }) if e.to_string().contains("format is 9")),
        "format 9 must be refused: {refused:?}"
    );
    assert_eq!(std::fs::read(path.join(LOG_FILE)).expect("read the log file"), later);
    _ = std::fs::remove_dir_all(&path);
}

/// Only the latest change of each key is written. Failed writes are reported, and the writer continues when
/// the disk works again.
#[test]
fn writer_reports_durable_tickets_and_failed_writes() {
    let mut disk = FaultyDisk::new(4);
    disk.rates = FaultRates { sync_failure: 400, ..FaultRates::default() };
    let store = Store::open(FaultyDisk::new(4), CAPACITY).expect("create a store");
    let mut failing_disk = store.into_disk();
    failing_disk.rates = disk.rates;
    let store = loop {
        match Store::open(failing_disk, CAPACITY) {
            Ok(store) => break store,
            Err(_) => failing_disk = FaultyDisk::new(5),
        }
    };
    let (health_sender, health_receiver) = channel();
    let writer =
        Writer::start(store, move |health| _ = health_sender.send(health.clone())).expect("start the writer");
    let mut last = 0;
    for n in 0..200u64 {
        let value = Value { version: 1, bytes: n.to_le_bytes().to_vec() };
        last = writer.submit(Change::set(key(n % 4), value)).expect("submit to a queue with free space");
    }
    let large = Value { version: 1, bytes: vec![0; 2 << 20] };
    assert_eq!(writer.submit(Change::set(key(1), large)), None, "a value over its bound must be rejected");
    let mut failed = false;
    loop {
        let health = health_receiver.recv_timeout(Duration::from_secs(20)).expect("wait for a write");
        failed |= health.last_error.is_some();
        if health.durable_ticket >= last {
            break;
        }
    }
    for round in 0..40 {
        if failed {
            break;
        }
        let ticket = writer.submit(Change::remove(key(round))).expect("submit to a queue with free space");
        while !failed {
            let health = health_receiver.recv_timeout(Duration::from_secs(20)).expect("wait for a write");
            failed |= health.last_error.is_some();
            if health.durable_ticket >= ticket {
                break;
            }
        }
    }
    assert!(failed, "some writes must fail when 40 % of the syncs fail");
    let health = writer.health();
    assert_eq!((health.rejected, health.failures > 0), (1, true));
}
