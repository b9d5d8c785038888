//! `hallrelay store`: looks at a relay's store, and makes it short.
use hallrelay_recovery::Fact;
use hallrelay_store::log::{inspect, Found, LOG};
use hallrelay_store::{Folder, Key, Store, Value};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

#[derive(clap::Subcommand)]
pub enum Shelf {
    /// What the store holds, by kind. It may be in use meanwhile.
    Inspect { folder: PathBuf },
    /// Exit 0 where all of it is whole, 1 where its end is torn, 2 where it can't be read.
    Verify { folder: PathBuf },
    /// Writes what it holds anew, without what is overtaken; no relay may use it meanwhile.
    Compact { folder: PathBuf },
    /// Each fact as a line of JSON, in the order in which they were written.
    Export { folder: PathBuf },
}

/// Bytes that are read at most.
const MOST: u64 = 4 << 30;

type Entries = Vec<(Key, Option<Value>)>;

fn read(folder: &Path) -> Result<(Found, Entries), String> {
    let path = folder.join(LOG);
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let size = std::fs::metadata(&path).map_err(|e| told(&e))?.len();
    if size > MOST {
        return Err(told(&format!("{size} bytes, {MOST} at most")));
    }
    inspect(&std::fs::read(&path).map_err(|e| told(&e))?).map_err(|e| told(&e))
}

fn word(kind: u8) -> String {
    Fact::of(kind).map_or(format!("kind {kind}"), |fact| fact.word().to_string())
}

/// The exit status; what can't be read at all is said and is 2.
pub fn run(what: &Shelf) -> u8 {
    match tried(what) {
        Ok(status) => status,
        Err(why) => {
            eprintln!("hallrelay: {why}");
            2
        }
    }
}

fn tried(what: &Shelf) -> Result<u8, String> {
    match what {
        Shelf::Inspect { folder } => {
            let (found, entries) = read(folder)?;
            let mut held = BTreeMap::new();
            entries.into_iter().for_each(|(key, value)| _ = held.insert(key, value));
            let mut kinds: BTreeMap<u8, (usize, usize)> = BTreeMap::new();
            for (key, value) in &held {
                if let Some(value) = value {
                    let kind = kinds.entry(key.kind).or_default();
                    *kind = (kind.0 + 1, kind.1 + value.bytes.len());
                }
            }
            println!(
                "{} records, {} bytes torn, compacted {} times",
                found.records, found.torn, found.generation
            );
            for (kind, (count, bytes)) in kinds {
                println!("{}: {count} facts, {bytes} bytes", word(kind));
            }
            Ok(0)
        }
        Shelf::Verify { folder } => {
            let (found, _) = read(folder)?;
            if found.torn == 0 {
                println!("whole: {} records", found.records);
            } else {
                println!("torn: {} whole records, then {} bytes that are none", found.records, found.torn);
            }
            Ok(u8::from(found.torn > 0))
        }
        Shelf::Compact { folder } => {
            let told = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
            if !folder.join(LOG).exists() {
                return Err(told(&"no store is there"));
            }
            let disk = Folder::open(folder).map_err(|e| match e.kind() {
                std::io::ErrorKind::WouldBlock => told(&"a relay uses it"),
                _ => told(&e),
            })?;
            let mut store = Store::open(disk, MOST).map_err(|e| told(&e))?;
            let before = store.size().0;
            store.compact().map_err(|e| told(&e))?;
            println!("{before} bytes, {} now", store.size().0);
            Ok(0)
        }
        Shelf::Export { folder } => {
            for (key, value) in read(folder)?.1 {
                let value = value.map(|v| {
                    serde_json::from_slice(&v.bytes)
                        .unwrap_or_else(|_| serde_json::json!({"bytes": v.bytes.len(), "version": v.version}))
                });
                let name = String::from_utf8_lossy(&key.name).into_owned();
                println!("{}", serde_json::json!({"fact": word(key.kind), "name": name, "value": value}));
            }
            Ok(0)
        }
    }
}
