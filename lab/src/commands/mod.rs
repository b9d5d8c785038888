//! Implementation of the commands.
mod compare;
mod cost;
mod interrupt;
mod play;
mod serve_fleet;
mod sweep;

use crate::command_line::{program, Command, PlayOptions};
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::error::LabError;
use hallrelay_lab::{losses, members, report, sockets};
use interrupt::Interrupt;
use play::{write_results, Play};
use serde::Serialize;
use std::path::Path;
use tokio::runtime::Runtime;

/// The result of a command that was carried out.
pub enum Status {
    /// No rule was broken and no relay crashed.
    Success,
    /// A rule was broken or a relay crashed.
    Broken,
    /// The user interrupted the command. Partial results are written.
    Interrupted,
}

impl Status {
    /// The status that follows from the outcome of a day.
    fn of(outcome: &Outcome) -> Status {
        let membership = outcome.membership.as_ref();
        let has_findings = membership.is_some_and(|membership| membership.finding_count > 0);
        if has_findings || outcome.breach_count > 0 || outcome.relays.iter().any(|relay| relay.crashed) {
            Status::Broken
        } else if outcome.partial.is_some() {
            Status::Interrupted
        } else {
            Status::Success
        }
    }
}

/// Carries out a command.
pub fn run(command: Command) -> Result<Status, LabError> {
    match command {
        Command::Rehearse { scenario, options, json } => rehearse(scenario.as_deref(), &options, json),
        Command::Compare { a, b, scenario, rounds, options, json } => {
            compare::run([&a, &b], scenario.as_deref(), rounds, &options, json)
        }
        Command::Sweep { scenario, key, values, rounds, options, json } => {
            sweep::run(&scenario, &key, &values, rounds, &options, json)
        }
        Command::ServeFleet { scenario, listen, config } => {
            serve_fleet::run(scenario.as_deref(), listen, &config)
        }
        Command::Cost { sessions, opens, relay, out, json } => {
            cost::run(&sessions, opens, &program(relay), &out, json)
        }
        Command::Members { plan, json } => {
            let rows = members::run(&plan)?;
            show(json, &rows, || members::text(&rows))?;
            Ok(Status::Success)
        }
        Command::Losses { plan } => {
            losses::run(&plan)?;
            Ok(Status::Success)
        }
        Command::Report { result, html, json } => report(&result, html.as_deref(), json),
        Command::Check { scenario } => check(&scenario),
        Command::Relay(relay) => {
            hallrelay_relay::cli::run(relay.command)?;
            Ok(Status::Success)
        }
    }
}

fn rehearse(path: Option<&Path>, options: &PlayOptions, json: bool) -> Result<Status, LabError> {
    let scenario = load(path)?;
    let interrupt = Interrupt::listen()?;
    let seed = options.seed.unwrap_or(scenario.seed);
    let out = options.out.join(format!("{}-{seed}", scenario.name));
    let program = options.program();
    let play = Play {
        scenario: &scenario,
        seed,
        is_virtual: options.is_virtual,
        program: &program,
        out: &out,
        interrupt: &interrupt,
        label: &scenario.name,
    };
    let outcome = play.run()?;
    let files = write_results(&outcome, &out)?;
    show(json, &outcome, || {
        let (result, page) = (files.result.display(), files.page.display());
        format!("{}result {result}, page {page}\n", report::text(&outcome))
    })?;
    Ok(Status::of(&outcome))
}

fn report(result: &Path, html: Option<&Path>, json: bool) -> Result<Status, LabError> {
    let text = std::fs::read_to_string(result).map_err(LabError::file(result))?;
    let invalid = |source| LabError::ResultFile { path: result.to_path_buf(), source };
    let outcome: Outcome = serde_json::from_str(&text).map_err(invalid)?;
    if let Some(html) = html {
        std::fs::write(html, report::page(&outcome)?).map_err(LabError::file(html))?;
    }
    show(json, &outcome, || report::text(&outcome))?;
    Ok(Status::of(&outcome))
}

fn check(path: &Path) -> Result<Status, LabError> {
    let scenario = load(Some(path))?;
    println!(
        "{}: {} s, {} relays, {} servers",
        scenario.name,
        scenario.length_s.us() as f64 / 1e6,
        scenario.relays.count,
        scenario.server_count()
    );
    println!(
        "at most {:.0} concurrent sessions, about {} file descriptors",
        scenario.most_open(),
        sockets::descriptors_needed(&scenario)
    );
    Ok(Status::Success)
}

/// The scenario that is played if none is given.
const BUILT_IN: &str = include_str!("../../../deploy/example/scenarios/calm-then-crash.toml");

/// The text of a scenario, and the name to use for it in messages.
struct Source {
    name: String,
    text: String,
}

fn read(path: Option<&Path>) -> Result<Source, LabError> {
    let Some(path) = path else {
        return Ok(Source { name: "built-in".to_string(), text: BUILT_IN.to_string() });
    };
    let text = std::fs::read_to_string(path).map_err(LabError::file(path))?;
    Ok(Source { name: path.display().to_string(), text })
}

fn load(path: Option<&Path>) -> Result<Scenario, LabError> {
    let source = read(path)?;
    Ok(scenario::parse(&source.name, &source.text)?)
}

/// Prints a result as JSON or as text.
fn show<T: Serialize>(json: bool, value: &T, text: impl Fn() -> String) -> Result<(), LabError> {
    if json {
        println!("{}", serde_json::to_string_pretty(value)?);
    } else {
        print!("{}", text());
    }
    Ok(())
}

fn runtime() -> Result<Runtime, LabError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(LabError::Runtime)
}
