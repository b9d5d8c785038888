//! A process that is killed while its disk fails, and a second one that goes on with the same files: what the
//! second one promised survives a power loss, though the first one's last write never reached the disk.
use hallrelay_store::faulty_disk::{FaultRates, FaultyDisk};
use hallrelay_store::{Change, Key, Store, Value};

const CAPACITY: u64 = 64 << 20;
const SEEDS: u64 = 3_000;
/// Commits of the first process at most, before it is killed.
const COMMITS: u64 = 6;

fn batch(number: u64) -> Vec<Change> {
    let key = Key { kind: 1, name: format!("fact-{number}").into_bytes() };
    vec![Change::set(key, Value { version: 1, bytes: vec![number as u8; 40] })]
}

/// How many keys the second process promised, and how many of them a restart after a power loss finds.
fn run(seed: u64) -> (usize, usize) {
    let mut disk = FaultyDisk::new(seed);
    disk.rates = FaultRates { short_write: 50, sync_failure: 200, ..FaultRates::default() };
    // The first process is killed at some operation; its machine runs on.
    disk.power_loss_after = Some(8 + seed % 40);
    let disk = match Store::open(disk, CAPACITY) {
        Ok(mut store) => {
            for number in 0..COMMITS {
                _ = store.commit(batch(number));
                if seed.is_multiple_of(3) {
                    _ = store.compact();
                }
            }
            store.into_disk()
        }
        Err(_) => return (0, 0),
    };
    let mut disk = disk;
    disk.rates = FaultRates::default();
    disk.power_loss_after = None;
    let mut store = Store::open(disk, CAPACITY).expect("a sound disk by now");
    store.commit(batch(100)).expect("a sound disk by now");
    let promised: Vec<Key> = store.iter().map(|(key, _)| key.clone()).collect();
    let after = Store::open(store.into_disk().after_power_loss(), CAPACITY).expect("a log");
    let found = promised.iter().filter(|key| after.get(key).is_some()).count();
    (promised.len(), found)
}

#[test]
fn what_a_second_process_promised_survives_a_power_loss() {
    let lost: Vec<(u64, usize, usize)> = (0..SEEDS)
        .map(|seed| (seed, run(seed)))
        .filter(|(_, (promised, found))| promised != found)
        .map(|(seed, (promised, found))| (seed, promised, found))
        .collect();
    let first: Vec<_> = lost.iter().take(3).collect();
    assert!(lost.is_empty(), "{} of {SEEDS} seeds lost keys (seed, promised, found): {first:?}", lost.len());
}
