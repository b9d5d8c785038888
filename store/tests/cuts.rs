//! The store against a plain model: cut at every byte and at every step, on disks that go wrong in all the
//! ways that `faulty` knows. Each restart must find a state that was really written, with all that was
//! promised.
use hallrelay_store::faulty::{Faulty, Odds};
use hallrelay_store::log::{inspect, LOG};
use hallrelay_store::writer::Writer;
use hallrelay_store::{Disk, Fault, Folder, Key, Store, Value};
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::sync::mpsc::channel;
use std::time::Duration;

type State = BTreeMap<Key, Value>;
type Batch = Vec<(Key, Option<Value>)>;

const MOST: u64 = 64 << 20;

fn key(n: u64) -> Key {
    Key { kind: (n % 3) as u8, name: format!("key-{n}").into_bytes() }
}

fn batch(rng: &mut Rand64, large: usize) -> Batch {
    let one = |rng: &mut Rand64| {
        let len = rng.rand_range(0..large as u64) as usize;
        let bytes = (0..len).map(|_| rng.rand_u64() as u8).collect();
        let value = (rng.rand_range(0..5) > 0).then_some(Value { version: 1, bytes });
        (key(rng.rand_range(0..12)), value)
    };
    (0..rng.rand_range(1..4)).map(|_| one(rng)).collect()
}

fn apply(state: &State, batch: &Batch) -> State {
    let mut state = state.clone();
    for (key, value) in batch {
        match value {
            Some(value) => _ = state.insert(key.clone(), value.clone()),
            None => _ = state.remove(key),
        }
    }
    state
}

fn held<D: Disk>(store: &Store<D>) -> State {
    store.all().map(|(k, v)| (k.clone(), v.clone())).collect()
}

/// All states that a log went through, and its bytes.
fn written(seed: u64, batches: usize) -> (Vec<State>, Vec<u8>) {
    let mut rng = Rand64::new(seed.into());
    let mut store = Store::open(Faulty::new(seed), MOST).expect("a sound disk");
    let mut states = vec![State::new()];
    for _ in 0..batches {
        let batch = batch(&mut rng, 40);
        states.push(apply(states.last().expect("one"), &batch));
        store.commit(batch).expect("a sound disk");
    }
    let mut disk = store.into_disk();
    (states, disk.bytes(LOG).expect("a log").clone())
}

fn opened(bytes: &[u8]) -> Store<Faulty> {
    let mut disk = Faulty::new(1);
    disk.write(LOG, 0, bytes).expect("a sound disk");
    disk.sync(LOG).expect("a sound disk");
    disk.sync_names().expect("a sound disk");
    Store::open(disk, MOST).expect("it recovers")
}

#[test]
fn a_cut_at_every_byte_leaves_a_state_that_was() {
    let (states, bytes) = written(1, 40);
    let mut reached = 0;
    for len in 0..=bytes.len() {
        let mut store = opened(&bytes[..len]);
        let records = store.found.records as usize;
        assert_eq!(held(&store), states[records], "cut at {len}");
        assert!(records >= reached, "more bytes never bring back less");
        reached = records;
        if len % 17 == 0 {
            // It goes on from there, and what was torn does not come back.
            let more = vec![(key(99), Some(Value { version: 1, bytes: vec![7; 9] }))];
            let wanted = apply(&states[records], &more);
            store.commit(more).expect("a sound disk");
            let again = Store::open(store.into_disk().cut(), MOST).expect("it recovers");
            assert_eq!(held(&again), wanted, "cut at {len}, and written on");
        }
    }
    assert_eq!(reached, states.len() - 1);
}

#[test]
fn a_flipped_bit_anywhere_invents_nothing() {
    let (states, bytes) = written(2, 30);
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1 << (at % 8);
        let store = opened(&damaged);
        assert!(states.contains(&held(&store)), "byte {at}");
        assert_eq!(held(&store), states[store.found.records as usize], "byte {at}: an earlier state, whole");
    }
}

/// What of a run is checked: a state that was really written, all that was promised, nothing of a batch
/// alone.
fn restarts_well(disk: Faulty, promised: &State, maybe: Option<&State>, what: &str) -> Faulty {
    let store = Store::open(disk.cut(), MOST).unwrap_or_else(|e| panic!("{what}: {e}"));
    let found = held(&store);
    assert!(
        found == *promised || Some(&found) == maybe,
        "{what}: neither what was promised nor one batch more"
    );
    store.into_disk()
}

/// The power is cut at each step there is, those of compactions included.
#[test]
fn a_cut_at_every_step() {
    let (mut steps, mut compacted) = (0, false);
    for cut in 0.. {
        let mut rng = Rand64::new(5);
        let mut disk = Faulty::new(cut);
        disk.cut_after = Some(cut);
        let (mut promised, mut maybe) = (State::new(), None);
        let mut store = match Store::open(disk, MOST) {
            Ok(store) => store,
            // Cut as it was made: there is nothing to lose yet.
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
        steps = disk.steps;
        restarts_well(disk, &promised, maybe.as_ref(), &format!("cut at step {cut}"));
        if whole {
            compacted = true;
            break;
        }
    }
    assert!(steps > 150 && compacted, "{steps} steps");
}

/// Disks that fail now and then, cut at some step, found again and written on, thousands of times.
#[test]
fn seeded_runs_on_faulty_disks() {
    let (mut failed, mut compactions) = (0u64, 0u64);
    for seed in 0..3_000u64 {
        let mut rng = Rand64::new(seed.into());
        let mut disk = Faulty::new(seed);
        let mut promised = State::new();
        // Batches that failed since the last promise: the last one that came to the disk may be there.
        let mut maybe: Vec<State> = Vec::new();
        for life in 0..3 {
            let what = format!("seed {seed}, life {life}");
            let mut store = match Store::open(disk, MOST) {
                Ok(store) => store,
                Err(e) => panic!("{what}: {e}"),
            };
            let found = held(&store);
            assert!(found == promised || maybe.contains(&found), "{what}");
            (promised, maybe) = (found, Vec::new());
            compactions += store.found.generation.saturating_sub(1);
            disk = store.into_disk();
            disk.odds = Odds { short_write: 30, no_space: 20, sync_fails: 30, other: 10 };
            disk.cut_after = Some(rng.rand_range(4..200));
            // Opened anew without a cut: what is there is there.
            store = match Store::open(disk, MOST) {
                Ok(store) => store,
                Err(_) => break,
            };
            for _ in 0..rng.rand_range(1..60) {
                let batch = batch(&mut rng, 5_000);
                let next = apply(&promised, &batch);
                match store.commit(batch) {
                    Ok(()) => (promised, maybe) = (next, Vec::new()),
                    // Until the next commit it may be there after a cut; never once one was promised after
                    // it.
                    Err(Fault::Disk(_)) => {
                        failed += 1;
                        maybe.push(next);
                    }
                    Err(e) => panic!("{what}: {e}"),
                }
                assert_eq!(held(&store), promised, "{what}: a failed batch is not seen");
            }
            disk = store.into_disk().cut();
        }
    }
    assert!(failed > 3_000 && compactions > 300, "{failed} commits failed, {compactions} compactions");
}

fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("hallrelay-store-{}-{name}", std::process::id()));
    _ = std::fs::remove_dir_all(&path);
    path
}

#[test]
fn real_files_one_process_at_a_time_and_only_its_own() {
    let path = folder("real");
    let mut store = Store::open(Folder::open(&path).expect("a folder"), MOST).expect("a store");
    let value = Value { version: 3, bytes: b"told".to_vec() };
    store.commit(vec![(key(1), Some(value.clone()))]).expect("a disk");
    let second = Folder::open(&path).map(|_| ()).map_err(|e| e.kind());
    assert_eq!(second, Err(std::io::ErrorKind::WouldBlock));
    drop(store);
    let store = Store::open(Folder::open(&path).expect("it is let go"), MOST).expect("a store");
    assert_eq!(store.get(&key(1)), Some(&value));
    drop(store);
    // Another program's file, and one of a later format, stay as they are.
    let sound = std::fs::read(path.join(LOG)).expect("a log");
    assert_eq!(inspect(&sound).expect("a log").1.len(), 1);
    let mut later = sound.clone();
    later[7] = 9;
    let sum = crc32fast::hash(&later[..16]);
    later[16..20].copy_from_slice(&sum.to_le_bytes());
    std::fs::write(path.join(LOG), &later).expect("a file");
    let refused = Store::open(Folder::open(&path).expect("a folder"), MOST).map(|_| ());
    assert!(matches!(refused, Err(Fault::Format(what)) if what.contains("format is 9")));
    assert_eq!(std::fs::read(path.join(LOG)).expect("a file"), later);
    _ = std::fs::remove_dir_all(&path);
}

/// The latest value of a key is the one that counts, a disk that fails is said and heals.
#[test]
fn the_writer_says_what_is_durable() {
    let mut disk = Faulty::new(4);
    disk.odds = Odds { sync_fails: 400, ..Odds::default() };
    let store = Store::open(Faulty::new(4), MOST).expect("a sound disk");
    let mut disk_of = store.into_disk();
    disk_of.odds = disk.odds;
    let store = loop {
        match Store::open(disk_of, MOST) {
            Ok(store) => break store,
            Err(_) => disk_of = Faulty::new(5),
        }
    };
    let (told, heard) = channel();
    let writer = Writer::start(store, move |health| _ = told.send(health.clone())).expect("a thread");
    let mut last = 0;
    for n in 0..200u64 {
        let value = Value { version: 1, bytes: n.to_le_bytes().to_vec() };
        last = writer.put(key(n % 4), Some(value)).expect("there is room");
    }
    let large = Value { version: 1, bytes: vec![0; 2 << 20] };
    assert_eq!(writer.put(key(1), Some(large)), None, "over its bound");
    let mut failed = false;
    loop {
        let health = heard.recv_timeout(Duration::from_secs(20)).expect("it goes on");
        failed |= health.failing.is_some();
        if health.durable >= last {
            break;
        }
    }
    for round in 0..40 {
        if failed {
            break;
        }
        let put = writer.put(key(round), None).expect("there is room");
        while !failed {
            let health = heard.recv_timeout(Duration::from_secs(20)).expect("it goes on");
            failed |= health.failing.is_some();
            if health.durable >= put {
                break;
            }
        }
    }
    assert!(failed, "four syncs in ten fail");
    let health = writer.health();
    assert_eq!((health.refused, health.failures > 0), (1, true));
}
