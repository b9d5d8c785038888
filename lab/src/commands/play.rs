//! Plays one day with a progress bar on the terminal, and writes its result files.
use super::interrupt::Interrupt;
use super::runtime;
use hallrelay_config::scenario::Scenario;
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::error::LabError;
use hallrelay_lab::relay_process::Program;
use hallrelay_lab::{report, sockets, virt};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use tokio::task::LocalSet;

/// Number of steps of the progress bar.
const PROGRESS_STEPS: u64 = 1000;

/// A day to play.
pub struct Play<'a> {
    pub scenario: &'a Scenario,
    pub seed: u64,
    pub is_virtual: bool,
    /// The build of the relay. Used only for days on sockets.
    pub program: &'a Program,
    /// Directory for the relays' files. Used only for days on sockets.
    pub out: &'a Path,
    pub interrupt: &'a Interrupt,
    /// Text next to the progress bar.
    pub label: &'a str,
}

impl Play<'_> {
    /// Plays the day until it ends or is interrupted.
    pub fn run(&self) -> Result<Outcome, LabError> {
        let bar = progress_bar(self.label);
        let show = |fraction: f64| bar.set_position((fraction * PROGRESS_STEPS as f64) as u64);
        let outcome = if self.is_virtual {
            virt::run(self.scenario, self.seed, virt::reducers(), &mut |fraction| {
                show(fraction);
                !self.interrupt.is_set()
            })
        } else {
            let runtime = runtime()?;
            let options = sockets::Options { program: self.program.clone(), out: self.out, progress: &show };
            let day = sockets::run(self.scenario, self.seed, &options, self.interrupt.wait());
            LocalSet::new().block_on(&runtime, day)
        };
        bar.finish_and_clear();
        outcome
    }
}

/// The progress bar; hidden if stderr is not a terminal.
fn progress_bar(label: &str) -> ProgressBar {
    let bar = match std::io::stderr().is_terminal() {
        true => ProgressBar::new(PROGRESS_STEPS),
        false => ProgressBar::hidden(),
    };
    if let Ok(style) = ProgressStyle::with_template("{msg} [{bar:40}] {percent}% {elapsed}") {
        bar.set_style(style);
    }
    bar.set_message(label.to_string());
    bar
}

/// Paths of the result files of a day.
pub struct ResultFiles {
    pub result: PathBuf,
    pub page: PathBuf,
}

/// Writes the result as JSON and the report page.
pub fn write_results(outcome: &Outcome, out: &Path) -> Result<ResultFiles, LabError> {
    let files = ResultFiles { result: out.join("result.json"), page: out.join("page.html") };
    std::fs::create_dir_all(out).map_err(LabError::file(out))?;
    let text = serde_json::to_string(outcome)? + "\n";
    std::fs::write(&files.result, text).map_err(LabError::file(&files.result))?;
    std::fs::write(&files.page, report::page(outcome)?).map_err(LabError::file(&files.page))?;
    Ok(files)
}
