//! Where offered sessions went, by the logs that relays wrote at `-vv`: which attempts were refused and why,
//! how placed sessions ended, and the state of the fleet beside them, second by second.
//!
//! Logs are streamed, one relay after another. What is kept is a few numbers for each placed session, the
//! versions of the list of backends, and the counts of each second.
mod account;
mod attempt;
mod backends;
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
use hallrelay_config::list::List;
use logs::{Logs, Reader};
use parse::Entry;
use rows::{Losses, Read};
use std::path::{Path, PathBuf};

/// The part of all attempts that may be unaccounted for before the result is not to be trusted.
pub const MOST_UNACCOUNTED: f64 = 0.05;

/// The command line.
#[derive(clap::Args, Clone, Debug)]
pub struct Plan {
    /// A folder with the log of each relay (`*.log`), written at -vv.
    folder: PathBuf,
    /// Follow one client through all relays: the id of one of its OPEN lines, as it is logged.
    #[arg(long, value_name = "ID")]
    session: Option<u64>,
    #[arg(long)]
    json: bool,
}

/// Reads the logs and prints what was asked for. Errors: logs that can't be read or that hold no events, an
/// unknown session, or too much that is unaccounted for (after the result is printed).
pub fn run(plan: &Plan) -> Result<(), String> {
    match plan.session {
        Some(id) => {
            let attempts = trace::follow(&plan.folder, id)?;
            show(plan.json, &attempts, || print::attempts(&attempts))
        }
        None => {
            let losses = read(&plan.folder)?;
            show(plan.json, &losses, || print::losses(&losses))?;
            trusted(&losses)
        }
    }
}

/// Where the offered sessions of a day went, by the logs in a folder.
pub fn read(folder: &Path) -> Result<Losses, String> {
    let logs = Logs::find(folder)?;
    let mut accountant = Accountant::default();
    let read = logs.read(&mut accountant)?;
    has_events(folder, &logs, &read)?;
    let losses = accountant.account.finish(logs.day_end);
    Ok(Losses { read, ..losses })
}

fn has_events(folder: &Path, logs: &Logs, read: &Read) -> Result<(), String> {
    if read.entries > 0 {
        return Ok(());
    }
    let (folder, files, lines) = (folder.display(), logs.count(), read.lines);
    Err(format!(
        "{folder}: no events in {files} files *.log, {lines} lines; relays must log at -vv (serve -vv)"
    ))
}

fn trusted(losses: &Losses) -> Result<(), String> {
    let part = losses.unaccounted_part();
    if part <= MOST_UNACCOUNTED {
        return Ok(());
    }
    let most = 100.0 * MOST_UNACCOUNTED;
    Err(format!(
        "{:.1}% of the attempts are unaccounted for, over {most}%: the logs are not whole",
        100.0 * part
    ))
}

fn show<T: serde::Serialize>(json: bool, value: &T, text: impl Fn() -> String) -> Result<(), String> {
    if json {
        println!("{}", serde_json::to_string_pretty(value).map_err(|e| e.to_string())?);
    } else {
        print!("{}", text());
    }
    Ok(())
}

/// Passes on what the logs say to the account.
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
            Entry::HealthCheckEnded { end, report } => self.account.probed(at, *end, *report),
            _ => {}
        }
    }
}
