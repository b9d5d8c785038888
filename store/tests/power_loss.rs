//! The store against a plain model: the log cut at every byte, power lost at every operation, and disks with
//! all the faults of `FaultyDisk`. Each restart must find a state that was really written, with all that was
//! promised.
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
    let one = |rng: &mut Rand64| {
        let len = rng.rand_range(0..max_bytes as u64) as usize;
        let bytes = (0..len).map(|_| rng.rand_u64() as u8).collect();
        let value = (rng.rand_range(0..5) > 0).then_some(Value { version: 1, bytes });
        Change { key: key(rng.rand_range(0..12)), value }
    };
    (0..rng.rand_range(1..4)).map(|_| one(rng)).collect()
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

/// All states that a log went through, and its bytes.
fn written_log(seed: u64, batches: usize) -> (Vec<State>, Vec<u8>) {
    let mut rng = Rand64::new(seed.into());
    let mut store = Store::open(FaultyDisk::new(seed), CAPACITY).expect("a sound disk");
    let mut states = vec![State::new()];
    for _ in 0..batches {
        let batch = batch(&mut rng, 40);
        states.push(apply(states.last().expect("one"), &batch));
        store.commit(batch).expect("a sound disk");
    }
    let mut disk = store.into_disk();
    (states, disk.bytes(LOG_FILE).expect("a log").clone())
}

fn open_bytes(bytes: &[u8]) -> Store<FaultyDisk> {
    let mut disk = FaultyDisk::new(1);
    disk.write(LOG_FILE, 0, bytes).expect("a sound disk");
    disk.sync(LOG_FILE).expect("a sound disk");
    disk.sync_directory().expect("a sound disk");
    Store::open(disk, CAPACITY).expect("it recovers")
}

#[test]
fn a_log_cut_at_any_byte_recovers_a_state_that_was_written() {
    let (states, bytes) = written_log(1, 40);
    let mut reached = 0;
    for len in 0..=bytes.len() {
        let mut store = open_bytes(&bytes[..len]);
        let records = store.summary().records as usize;
        assert_eq!(values(&store), states[records], "cut at {len}");
        assert!(records >= reached, "more bytes never bring back less");
        reached = records;
        if len % 17 == 0 {
            // It goes on from there, and what was torn does not reappear.
            let more = vec![Change::set(key(99), Value { version: 1, bytes: vec![7; 9] })];
            let wanted = apply(&states[records], &more);
            store.commit(more).expect("a sound disk");
            let again = Store::open(store.into_disk().after_power_loss(), CAPACITY).expect("it recovers");
            assert_eq!(values(&again), wanted, "cut at {len}, and written on");
        }
    }
    assert_eq!(reached, states.len() - 1);
}

#[test]
fn a_flipped_bit_anywhere_recovers_an_earlier_state() {
    let (states, bytes) = written_log(2, 30);
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1 << (at % 8);
        let store = open_bytes(&damaged);
        assert!(states.contains(&values(&store)), "byte {at}");
        assert_eq!(
            values(&store),
            states[store.summary().records as usize],
            "byte {at}: an earlier state, whole"
        );
    }
}

/// Checks that a restart after a power loss finds all that was promised, and the last batch completely or not
/// at all.
fn assert_recovers(disk: FaultyDisk, promised: &State, maybe: Option<&State>, what: &str) -> FaultyDisk {
    let store = Store::open(disk.after_power_loss(), CAPACITY).unwrap_or_else(|e| panic!("{what}: {e}"));
    let found = values(&store);
    assert!(
        found == *promised || Some(&found) == maybe,
        "{what}: neither what was promised nor one batch more"
    );
    store.into_disk()
}

/// Power is lost at each operation there is, those of compactions included.
#[test]
fn power_lost_at_any_operation() {
    let (mut steps, mut compacted) = (0, false);
    for operation in 0.. {
        let mut rng = Rand64::new(5);
        let mut disk = FaultyDisk::new(operation);
        disk.power_loss_after = Some(operation);
        let (mut promised, mut maybe) = (State::new(), None);
        let mut store = match Store::open(disk, CAPACITY) {
            Ok(store) => store,
            // Lost as it was created: there is nothing to lose yet.
            Err(_) => continue,
        };
        for _ in 0..60 {
            let batch = batch(&mut rng, 6_000);
            let next = apply(&promised, &batch);
            match store.commit(batch) {
                Ok(()) => (promised, maybe) = (next, None),
                Err(_) => {
                    maybe = Some(next);
                    break;
                }
            }
        }
        let whole = maybe.is_none();
        let disk = store.into_disk();
        steps = disk.operations();
        assert_recovers(disk, &promised, maybe.as_ref(), &format!("power lost at operation {operation}"));
        if whole {
            compacted = true;
            break;
        }
    }
    assert!(steps > 150 && compacted, "{steps} steps");
}

/// Disks that fail now and then, lose power at some operation, are opened again and written on.
#[test]
fn seeded_runs_on_faulty_disks() {
    let (mut failed, mut compactions) = (0u64, 0u64);
    for seed in 0..3_000u64 {
        let mut rng = Rand64::new(seed.into());
        let mut disk = FaultyDisk::new(seed);
        let mut promised = State::new();
        // Batches that failed since the last promise: the last one that came to the disk may be there.
        let mut maybe: Vec<State> = Vec::new();
        for life in 0..3 {
            let what = format!("seed {seed}, life {life}");
            let mut store = match Store::open(disk, CAPACITY) {
                Ok(store) => store,
                Err(e) => panic!("{what}: {e}"),
            };
            let found = values(&store);
            assert!(found == promised || maybe.contains(&found), "{what}");
            (promised, maybe) = (found, Vec::new());
            compactions += store.summary().generation.saturating_sub(1);
            disk = store.into_disk();
            disk.rates = FaultRates { short_write: 30, no_space: 20, sync_failure: 30, other: 10 };
            disk.power_loss_after = Some(rng.rand_range(4..200));
            // Opened again without a power loss: what is there is there.
            store = match Store::open(disk, CAPACITY) {
                Ok(store) => store,
                Err(_) => break,
            };
            for _ in 0..rng.rand_range(1..60) {
                let batch = batch(&mut rng, 5_000);
                let next = apply(&promised, &batch);
                match store.commit(batch) {
                    Ok(()) => (promised, maybe) = (next, Vec::new()),
                    // Until the next commit it may be there after a power loss; never once one was promised
                    // after it.
                    Err(StoreError::Disk(_)) => {
                        failed += 1;
                        maybe.push(next);
                    }
                    Err(e) => panic!("{what}: {e}"),
                }
                assert_eq!(values(&store), promised, "{what}: a failed batch is not seen");
            }
            disk = store.into_disk().after_power_loss();
        }
    }
    assert!(failed > 3_000 && compactions > 300, "{failed} commits failed, {compactions} compactions");
}

fn directory(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("hallrelay-store-{}-{name}", std::process::id()));
    _ = std::fs::remove_dir_all(&path);
    path
}

#[test]
fn real_files_are_used_by_one_process_and_foreign_ones_left_alone() {
    let path = directory("real");
    let mut store = Store::open(Directory::open(&path).expect("a folder"), CAPACITY).expect("a store");
    let value = Value { version: 3, bytes: b"told".to_vec() };
    store.commit(vec![Change::set(key(1), value.clone())]).expect("a disk");
    let second = Directory::open(&path).map(|_| ()).map_err(|e| e.kind());
    assert_eq!(second, Err(std::io::ErrorKind::WouldBlock));
    drop(store);
    let store = Store::open(Directory::open(&path).expect("it is let go"), CAPACITY).expect("a store");
    assert_eq!(store.get(&key(1)), Some(&value));
    drop(store);
    // Another program's file, and one of a later format, stay as they are.
    let sound = std::fs::read(path.join(LOG_FILE)).expect("a log");
    assert_eq!(inspect(&sound).expect("a log").changes.len(), 1);
    let mut later = sound.clone();
    later[7] = 9;
    let sum = crc32fast::hash(&later[..16]);
    later[16..20].copy_from_slice(&sum.to_le_bytes());
    std::fs::write(path.join(LOG_FILE), &later).expect("a file");
    let refused = Store::open(Directory::open(&path).expect("a folder"), CAPACITY).map(|_| ());
    assert!(matches!(refused, Err(e @ StoreError::Format { .. }) if e.to_string().contains("format is 9")));
    assert_eq!(std::fs::read(path.join(LOG_FILE)).expect("a file"), later);
    _ = std::fs::remove_dir_all(&path);
}

/// The latest value of a key counts; a disk that fails is reported, and works again later.
#[test]
fn the_writer_reports_what_is_durable() {
    let mut disk = FaultyDisk::new(4);
    disk.rates = FaultRates { sync_failure: 400, ..FaultRates::default() };
    let store = Store::open(FaultyDisk::new(4), CAPACITY).expect("a sound disk");
    let mut disk_of = store.into_disk();
    disk_of.rates = disk.rates;
    let store = loop {
        match Store::open(disk_of, CAPACITY) {
            Ok(store) => break store,
            Err(_) => disk_of = FaultyDisk::new(5),
        }
    };
    let (told, heard) = channel();
    let writer = Writer::start(store, move |health| _ = told.send(health.clone())).expect("a thread");
    let mut last = 0;
    for n in 0..200u64 {
        let value = Value { version: 1, bytes: n.to_le_bytes().to_vec() };
        last = writer.submit(Change::set(key(n % 4), value)).expect("there is room");
    }
    let large = Value { version: 1, bytes: vec![0; 2 << 20] };
    assert_eq!(writer.submit(Change::set(key(1), large)), None, "over its bound");
    let mut failed = false;
    loop {
        let health = heard.recv_timeout(Duration::from_secs(20)).expect("it goes on");
        failed |= health.last_error.is_some();
        if health.durable_ticket >= last {
            break;
        }
    }
    for round in 0..40 {
        if failed {
            break;
        }
        let put = writer.submit(Change::remove(key(round))).expect("there is room");
        while !failed {
            let health = heard.recv_timeout(Duration::from_secs(20)).expect("it goes on");
            failed |= health.last_error.is_some();
            if health.durable_ticket >= put {
                break;
            }
        }
    }
    assert!(failed, "four syncs in ten fail");
    let health = writer.health();
    assert_eq!((health.rejected, health.failures > 0), (1, true));
}
