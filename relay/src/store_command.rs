//! The command `hallrelay store`: inspects a relay's state directory, and compacts its log.
use hallrelay_recovery::RecordKind;
use hallrelay_store::format::{inspect, Inspection};
use hallrelay_store::log::LOG_FILE;
use hallrelay_store::{Change, Directory, Key, Store, StoreError, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// The subcommands of `hallrelay store`.
#[derive(clap::Subcommand)]
pub enum StoreCommand {
    /// What the store holds, by kind. It may be in use meanwhile.
    Inspect {
        /// The relay's state directory.
        folder: PathBuf,
    },
    /// Exit 0 where all of it is whole, 1 where its end is torn, 2 where it can't be read.
    Verify {
        /// The relay's state directory.
        folder: PathBuf,
    },
    /// Writes what it holds anew, without what is overtaken; no relay may use it meanwhile.
    Compact {
        /// The relay's state directory.
        folder: PathBuf,
    },
    /// Each record as a line of JSON, in the order in which they were written.
    Export {
        /// The relay's state directory.
        folder: PathBuf,
    },
}

/// Bytes of a log file that are read at most.
const MAX_LOG_BYTES: u64 = 4 << 30;

/// The exit status where the end of the log is torn.
const EXIT_TORN: u8 = 1;
/// The exit status where the store can't be read or written.
const EXIT_FAILED: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("{}: {source}", .path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("{}: {source}", .path.display())]
    Store { path: PathBuf, source: StoreError },
    #[error("{}: {bytes} bytes, {MAX_LOG_BYTES} at most", .path.display())]
    TooLarge { path: PathBuf, bytes: u64 },
    #[error("{}: no store is there", .0.display())]
    NoStore(PathBuf),
    #[error("{}: a relay uses it", .0.display())]
    InUse(PathBuf),
}

/// Runs a command; the exit status. An error is printed and is 2.
pub fn run(command: &StoreCommand) -> u8 {
    let result = match command {
        StoreCommand::Inspect { folder } => print_summary(folder),
        StoreCommand::Verify { folder } => verify(folder),
        StoreCommand::Compact { folder } => compact(folder),
        StoreCommand::Export { folder } => export(folder),
    };
    result.unwrap_or_else(|error| {
        eprintln!("hallrelay: {error}");
        EXIT_FAILED
    })
}

fn read(folder: &Path) -> Result<Inspection, CommandError> {
    let path = folder.join(LOG_FILE);
    let file_error = |source| CommandError::File { path: path.clone(), source };
    let bytes = std::fs::metadata(&path).map_err(file_error)?.len();
    if bytes > MAX_LOG_BYTES {
        return Err(CommandError::TooLarge { path, bytes });
    }
    let contents = std::fs::read(&path).map_err(file_error)?;
    inspect(&contents).map_err(|source| CommandError::Store { path, source })
}

/// The name of a kind of records in the output.
fn kind_label(kind: u8) -> String {
    RecordKind::from_number(kind).map_or(format!("kind {kind}"), |kind| kind.label().to_string())
}

/// How much of one kind a store holds.
#[derive(Default)]
struct KindSize {
    records: usize,
    bytes: usize,
}

fn print_summary(folder: &Path) -> Result<u8, CommandError> {
    let Inspection { summary, changes } = read(folder)?;
    println!(
        "{} records, {} bytes torn, compacted {} times",
        summary.records, summary.torn_bytes, summary.generation
    );
    let values: BTreeMap<Key, Option<Value>> =
        changes.into_iter().map(|change| (change.key, change.value)).collect();
    let mut kinds: BTreeMap<u8, KindSize> = BTreeMap::new();
    for (key, value) in &values {
        if let Some(value) = value {
            let size = kinds.entry(key.kind).or_default();
            size.records += 1;
            size.bytes += value.bytes.len();
        }
    }
    for (kind, size) in kinds {
        println!("{}: {} facts, {} bytes", kind_label(kind), size.records, size.bytes);
    }
    Ok(0)
}

fn verify(folder: &Path) -> Result<u8, CommandError> {
    let summary = read(folder)?.summary;
    if summary.torn_bytes > 0 {
        println!("torn: {} whole records, then {} bytes that are none", summary.records, summary.torn_bytes);
        return Ok(EXIT_TORN);
    }
    println!("whole: {} records", summary.records);
    Ok(0)
}

fn compact(folder: &Path) -> Result<u8, CommandError> {
    let path = || folder.to_path_buf();
    if !folder.join(LOG_FILE).exists() {
        return Err(CommandError::NoStore(path()));
    }
    let directory = Directory::open(folder).map_err(|source| match source.kind() {
        io::ErrorKind::WouldBlock => CommandError::InUse(path()),
        _ => CommandError::File { path: path(), source },
    })?;
    let store_error = |source| CommandError::Store { path: path(), source };
    let mut store = Store::open(directory, MAX_LOG_BYTES).map_err(store_error)?;
    let bytes_before = store.size().file_bytes;
    store.compact().map_err(store_error)?;
    println!("{bytes_before} bytes, {} now", store.size().file_bytes);
    Ok(0)
}

fn export(folder: &Path) -> Result<u8, CommandError> {
    for Change { key, value } in read(folder)?.changes {
        let name = String::from_utf8_lossy(&key.name).into_owned();
        let value = value.map(|value| exported_value(&value));
        println!("{}", serde_json::json!({"fact": kind_label(key.kind), "name": name, "value": value}));
    }
    Ok(0)
}

/// A value that is JSON as it stands; of others the version and the length.
fn exported_value(value: &Value) -> serde_json::Value {
    serde_json::from_slice(&value.bytes)
        .unwrap_or_else(|_| serde_json::json!({"bytes": value.bytes.len(), "version": value.version}))
}
