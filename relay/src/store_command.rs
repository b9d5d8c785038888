//! `hallrelay store`: inspects, verifies, compacts or exports the store in a relay's state directory.
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
    /// Summarize the contents of the store by kind. A relay may be using it.
    Inspect {
        /// The relay's state directory.
        folder: PathBuf,
    },
    /// Check the store. Exit status 0: intact; 1: it ends with an incomplete record; 2: unreadable.
    Verify {
        /// The relay's state directory.
        folder: PathBuf,
    },
    /// Rewrite the log without obsolete records. No relay may be using the store.
    Compact {
        /// The relay's state directory.
        folder: PathBuf,
    },
    /// Print each record as one line of JSON, in the order in which they were written.
    Export {
        /// The relay's state directory.
        folder: PathBuf,
    },
}

/// Largest log file that is read, in bytes.
const MAX_LOG_BYTES: u64 = 4 << 30;

/// Exit status if the log ends with an incomplete record.
const EXIT_TORN: u8 = 1;
/// Exit status if the store can't be read or written.
const EXIT_FAILED: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("cannot open or read {}: {source}", .path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("{}: {source}", .path.display())]
    Store { path: PathBuf, source: StoreError },
    #[error("{}: the log has {bytes} bytes, and at most {MAX_LOG_BYTES} can be read", .path.display())]
    TooLarge { path: PathBuf, bytes: u64 },
    #[error("{}: this directory has no store ({LOG_FILE})", .0.display())]
    NoStore(PathBuf),
    #[error("{}: the store is in use by a running relay", .0.display())]
    InUse(PathBuf),
}

/// Runs a command and returns its exit status: an error is printed, and its status is 2.
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

/// The name of a kind of record in the output.
fn kind_label(kind: u8) -> String {
    RecordKind::from_number(kind).map_or(format!("kind {kind}"), |kind| kind.label().to_string())
}

/// The live records of one kind: those that no later record replaces or removes.
#[derive(Default)]
struct KindSize {
    records: usize,
    bytes: usize,
}

fn print_summary(folder: &Path) -> Result<u8, CommandError> {
    let Inspection { summary, changes } = read(folder)?;
    println!(
        "{} records, incomplete record of {} bytes at the end, compacted {} times",
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
        println!("{}: {} live records, {} bytes", kind_label(kind), size.records, size.bytes);
    }
    Ok(0)
}

fn verify(folder: &Path) -> Result<u8, CommandError> {
    let summary = read(folder)?.summary;
    if summary.torn_bytes > 0 {
        println!(
            "incomplete: {} records, then {} bytes that are not a complete record",
            summary.records, summary.torn_bytes
        );
        return Ok(EXIT_TORN);
    }
    println!("intact: {} records", summary.records);
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
    println!("compacted from {bytes_before} to {} bytes", store.size().file_bytes);
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

/// The value itself if it is JSON, else its length in bytes and its version.
fn exported_value(value: &Value) -> serde_json::Value {
    serde_json::from_slice(&value.bytes)
        .unwrap_or_else(|_| serde_json::json!({"bytes": value.bytes.len(), "version": value.version}))
}
