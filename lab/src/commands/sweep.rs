//! `hallrelay-lab sweep`: plays a scenario with each of several values for one of its keys.
use super::interrupt::Interrupt;
use super::play::{write_results, Play};
use super::{read, Status};
use crate::command_line::PlayOptions;
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::error::LabError;
use hallrelay_lab::scenario_keys;
use std::path::Path;
use toml::Value;

/// The scenario with the key set to one of the values.
struct Variant {
    value: Value,
    scenario: Scenario,
}

/// Parses all variants, then plays each of them, and prints a row for each day.
pub fn run(
    path: &Path,
    key: &str,
    values: &str,
    rounds: u64,
    options: &PlayOptions,
    json: bool,
) -> Result<Status, LabError> {
    let variants = variants(path, key, values)?;
    let interrupt = Interrupt::listen()?;
    let (mut rows, mut is_broken) = (Vec::new(), false);
    let program = options.program();
    if !json {
        println!("{key:>16} seed  service   whole worst10 refused  moves open CPU s  rules");
    }
    for Variant { value, scenario } in &variants {
        for round in 0..rounds.max(1) {
            let seed = options.seed.unwrap_or(scenario.seed) + round;
            let file_name = value.to_string().replace(['"', '/', ' '], "");
            let out = options.out.join(format!("sweep-{file_name}-{seed}"));
            let play = Play {
                scenario,
                seed,
                is_virtual: options.is_virtual,
                program: &program,
                out: &out,
                interrupt: &interrupt,
                label: &format!("{key} = {value}"),
            };
            let outcome = play.run()?;
            write_results(&outcome, &out)?;
            is_broken |= matches!(Status::of(&outcome), Status::Broken);
            if outcome.partial.is_some() {
                return Ok(Status::Interrupted);
            }
            if !json {
                println!("{}", text_row(value, seed, &outcome));
            }
            rows.push(json_row(value, seed, &outcome));
        }
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    }
    Ok(if is_broken { Status::Broken } else { Status::Success })
}

fn variants(path: &Path, key: &str, values: &str) -> Result<Vec<Variant>, LabError> {
    let source = read(Some(path))?;
    scenario::parse(&source.name, &source.text)?;
    let values = scenario_keys::values(values).map_err(LabError::Values)?;
    if values.is_empty() {
        return Err(LabError::NoValues);
    }
    let variant = |value: Value| {
        let text = scenario_keys::set(&source.text, key, &value)?;
        let scenario = scenario::parse(&format!("{} with {key} = {value}", source.name), &text)?;
        Ok(Variant { value, scenario })
    };
    values.into_iter().map(variant).collect()
}

fn rejected(outcome: &Outcome) -> u64 {
    outcome.listeners.iter().map(|listener| listener.rejected).sum()
}

fn cpu_s(outcome: &Outcome) -> f64 {
    outcome.relays.iter().map(|relay| relay.cpu_s).sum()
}

fn text_row(value: &Value, seed: u64, outcome: &Outcome) -> String {
    let rules = match outcome.breach_count {
        0 => "kept".to_string(),
        breach_count => format!("BROKEN {breach_count}"),
    };
    format!(
        "{:>16} {seed:4}  {:7.4} {:7.4} {:7.4} {:7} {:6} {:4} {:5.2}  {rules}",
        value.to_string(),
        outcome.figure,
        outcome.whole,
        outcome.worst_window,
        rejected(outcome),
        outcome.moves,
        outcome.max_open,
        cpu_s(outcome)
    )
}

fn json_row(value: &Value, seed: u64, outcome: &Outcome) -> serde_json::Value {
    serde_json::json!({
        "value": value.to_string(),
        "seed": seed,
        "service": outcome.figure,
        "whole": outcome.whole,
        "worst_window": outcome.worst_window,
        "refused": rejected(outcome),
        "moves": outcome.moves,
        "most_open": outcome.max_open,
        "cpu_s": cpu_s(outcome),
        "breaches": outcome.breach_count,
    })
}
