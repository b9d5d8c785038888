//! Measures the store: the recovery of a million records, a durable commit, and a change submitted to the
//! writer while the disk is being written.
//!   cargo run --release -p hallrelay-store --example measure [DIRECTORY]
use hallrelay_store::writer::Writer;
use hallrelay_store::{Change, Directory, Key, Store, Value};
use std::time::Instant;

fn main() -> Result<(), String> {
    let directory = std::env::args().nth(1).map_or_else(std::env::temp_dir, Into::into);
    let directory = directory.join(format!("hallrelay-measure-{}", std::process::id()));
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let open =
        || Store::open(Directory::open(&directory).map_err(|e| text(&e))?, 1 << 30).map_err(|e| text(&e));
    let key = |n: u64| Key { kind: 3, name: format!("server-{n}").into_bytes() };
    let value = |n: u64| Value { version: 1, bytes: format!("{n:0100}").into_bytes() };

    let mut store = open()?;
    const RECORDS: u64 = 1_000_000;
    for from in (0..RECORDS).step_by(1_000) {
        let batch = (from..from + 1_000).map(|n| Change::set(key(n), value(n))).collect();
        store.commit(batch).map_err(|e| text(&e))?;
    }
    let bytes = store.size().file_bytes;
    drop(store);
    let started = Instant::now();
    let store = open()?;
    let took = started.elapsed();
    println!("recovered {} values, {} MB, in {:.2} s", store.iter().count(), bytes >> 20, took.as_secs_f64());
    drop(store);

    std::fs::remove_dir_all(&directory).map_err(|e| text(&e))?;
    let mut store = open()?;
    let started = Instant::now();
    const BATCHES: u64 = 500;
    for n in 0..BATCHES {
        store.commit(vec![Change::set(key(n), value(n))]).map_err(|e| text(&e))?;
    }
    println!("durable commit of a batch: {:.0} us", started.elapsed().as_micros() as f64 / BATCHES as f64);

    let writer = Writer::start(store, |_| {}).map_err(|e| text(&e))?;
    const SUBMISSIONS: u64 = 200_000;
    let values: Vec<_> = (0..SUBMISSIONS).map(|n| (key(n % 2_000), value(n))).collect();
    let started = Instant::now();
    for (key, value) in values {
        writer.submit(Change::set(key, value)).ok_or("the queue is full")?;
    }
    println!(
        "submission of a change: {:.2} us",
        started.elapsed().as_nanos() as f64 / 1e3 / SUBMISSIONS as f64
    );
    drop(writer);
    std::fs::remove_dir_all(&directory).map_err(|e| text(&e))
}
