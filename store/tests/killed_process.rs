//! Guards against losing committed values after one process was killed while its disk failed and a second
//! process continued with the same files. The first process's last write may exist only in the system's
//! memory, but everything that the second process holds after a commit must survive a power loss.
use hallrelay_store::faulty_disk::{FaultRates, FaultyDisk};
use hallrelay_store::{Change, Key, Store, Value};

const CAPACITY: u64 = 64 << 20;
const SEEDS: u64 = 3_000;
/// Largest number of commits of the first process before it is killed.
const COMMITS: u64 = 6;

fn batch(number: u64) -> Vec<Change> {
    let key = Key { kind: 1, name: format!("value-{number}").into_bytes() };
    vec![Change::set(key, Value { version: 1, bytes: vec![number as u8; 40] })]
}

/// Number of keys that the second process holds after its commit, and how many of them survive a power loss.
fn run(seed: u64) -> (usize, usize) {
    let mut disk = FaultyDisk::new(seed);
    disk.rates = FaultRates { short_write: 50, sync_failure: 200, ..FaultRates::default() };
    // Kills the first process at some operation; the machine keeps running.
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
    let mut store = Store::open(disk, CAPACITY).expect("open the store of the killed process");
    store.commit(batch(100)).expect("commit on a disk without faults");
    let committed: Vec<Key> = store.iter().map(|(key, _)| key.clone()).collect();
    let reopened =
        Store::open(store.into_disk().after_power_loss(), CAPACITY).expect("open after the power loss");
    let found = committed.iter().filter(|key| reopened.get(key).is_some()).count();
    (committed.len(), found)
}

#[test]
fn commits_of_second_process_survive_power_loss() {
    let lost: Vec<(u64, usize, usize)> = (0..SEEDS)
        .map(|seed| (seed, run(seed)))
        .filter(|(_, (committed, found))| committed != found)
        .map(|(seed, (committed, found))| (seed, committed, found))
        .collect();
    let first: Vec<_> = lost.iter().take(3).collect();
    assert!(lost.is_empty(), "{} of {SEEDS} seeds lost keys (seed, committed, found): {first:?}", lost.len());
}
