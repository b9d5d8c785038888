//! Determines what happened to offered sessions, from the logs that relays wrote at `-vv`: which attempts
//! were refused and why, how placed sessions ended, and the state of the fleet in each second.
//!
//! Logs are streamed, one relay after another. Only a few numbers for each placed session, the versions of
//! the endpoint list and the counts of each second are kept in memory.
mod account;
mod attempt;
mod backends;
mod error;
mod fields;
mod histogram;
mod logs;
mod open;
pub mod parse;
mod print;
mod process;
pub mod rows;
mod trace;

use account::Account;
use attempt::{Attempt, Moment};
pub use error::LogsError;
use hallrelay_config::list::List;
use logs::{Logs, Reader};
use parse::Entry;
use rows::{Losses, Read};
use std::path::{Path, PathBuf};

/// Fraction of all attempts that may be unaccounted for. Above it, the result is not reliable.
pub const MAX_UNACCOUNTED: f64 = 0.05;

/// Options of the command.
#[derive(clap::Args, Clone, Debug)]
pub struct Plan {
    /// A directory with the log of each relay (`*.log`), written at -vv.
    folder: PathBuf,
    /// Follow one client through all relays, given the id of one of its OPEN lines as it is logged.
    #[arg(long, value_name = "ID")]
    session: Option<u64>,
    #[arg(long)]
    json: bool,
}

/// Reads the logs and prints the result, or the attempts of one client.
///
/// # Errors
/// If logs can't be read or contain no events, if the session is unknown, or if too many attempts are
/// unaccounted for. In the last case the result is printed first.
pub fn run(plan: &Plan) -> Result<(), LogsError> {
    match plan.session {
        Some(id) => {
            let attempts = trace::follow(&plan.folder, id)?;
            show(plan.json, &attempts, || print::attempts(&attempts))
        }
        None => {
            let losses = read(&plan.folder)?;
            show(plan.json, &losses, || print::losses(&losses))?;
            check_complete(&losses)
        }
    }
}

/// Determines what happened to the offered sessions of a day, from the logs in a directory.
///
/// # Errors
/// If logs can't be read or contain no events.
pub fn read(folder: &Path) -> Result<Losses, LogsError> {
    let logs = Logs::find(folder)?;
    let mut accountant = Accountant::default();
    let read = logs.read(&mut accountant)?;
    check_has_events(folder, &logs, &read)?;
    let losses = accountant.account.finish(logs.day_end);
    Ok(Losses { read, ..losses })
}

fn check_has_events(folder: &Path, logs: &Logs, read: &Read) -> Result<(), LogsError> {
    if read.entries > 0 {
        return Ok(());
    }
    Err(LogsError::NoEvents { folder: folder.to_path_buf(), files: logs.count(), lines: read.lines })
}

fn check_complete(losses: &Losses) -> Result<(), LogsError> {
    let fraction = losses.unaccounted_fraction();
    if fraction <= MAX_UNACCOUNTED {
        return Ok(());
    }
    Err(LogsError::Incomplete { percent: 100.0 * fraction, max_percent: 100.0 * MAX_UNACCOUNTED })
}

fn show<T: serde::Serialize>(json: bool, value: &T, text: impl Fn() -> String) -> Result<(), LogsError> {
    if json {
        println!("{}", serde_json::to_string_pretty(value)?);
    } else {
        print!("{}", text());
    }
    Ok(())
}

/// Adds the contents of the logs to the account.
#[derive(Default)]
struct Accountant {
    account: Account,
}

impl Reader for Accountant {
    fn attempt(&mut self, attempt: Attempt) {
        self.account.attempt(&attempt);
    }

    fn list(&mut self, at: Moment, list: &List) {
        self.account.backends.record_list(at.day, list);
    }

    fn entry(&mut self, at: Moment, entry: &Entry) {
        match entry {
            Entry::Dial { addr, .. } | Entry::HealthCheck { addr } => {
                self.account.backends.record_use(at.day, *addr)
            }
            Entry::HealthCheckEnded { end, report } => self.account.health_checked(at, *end, *report),
            _ => {}
        }
    }
}
