//! `hallrelay-lab compare`: plays two builds or two scenarios alternately, on days with the same seeds.
use super::interrupt::Interrupt;
use super::play::{write_results, Play};
use super::{load, show, Status};
use crate::command_line::PlayOptions;
use hallrelay_config::scenario::Scenario;
use hallrelay_lab::comparison::{self, Pair};
use hallrelay_lab::error::LabError;
use hallrelay_lab::relay_process::Program;
use std::path::{Path, PathBuf};

/// One side of a comparison: a scenario and the build of the relay that plays it.
struct Side {
    scenario: Scenario,
    program: Program,
}

impl Side {
    /// Parses the argument: `own`, a scenario, or the program of a relay.
    fn parse(side: &str, scenario: Option<&Path>, options: &PlayOptions) -> Result<Side, LabError> {
        if side == "own" {
            return Ok(Side { scenario: load(scenario)?, program: Program::Own });
        }
        if side.ends_with(".toml") {
            return Ok(Side { scenario: load(Some(Path::new(side)))?, program: options.program() });
        }
        if !Path::new(side).is_file() {
            return Err(LabError::UnknownSide { side: side.to_string() });
        }
        if options.is_virtual {
            return Err(LabError::BuildInVirtualTime { side: side.to_string() });
        }
        Ok(Side { scenario: load(scenario)?, program: Program::At(PathBuf::from(side)) })
    }
}

const SIDE_NAMES: [&str; 2] = ["a", "b"];

/// Plays the pairs and prints the comparison.
pub fn run(
    arguments: [&str; 2],
    scenario: Option<&Path>,
    rounds: u64,
    options: &PlayOptions,
    json: bool,
) -> Result<Status, LabError> {
    let [a, b] = arguments;
    let sides = [Side::parse(a, scenario, options)?, Side::parse(b, scenario, options)?];
    let interrupt = Interrupt::listen()?;
    let (mut pairs, mut is_broken) = (Vec::new(), false);
    for round in 0..rounds.max(1) {
        let seed = options.seed.unwrap_or(sides[0].scenario.seed) + round;
        // The sides take turns in being first, so that a machine that becomes slower affects both equally.
        let order = if round.is_multiple_of(2) { [0, 1] } else { [1, 0] };
        let mut days = [None, None];
        for side in order {
            let name = SIDE_NAMES[side];
            let out = options.out.join(format!("compare-{seed}-{name}"));
            let play = Play {
                scenario: &sides[side].scenario,
                seed,
                is_virtual: options.is_virtual,
                program: &sides[side].program,
                out: &out,
                interrupt: &interrupt,
                label: &format!("{name} {}", round + 1),
            };
            let outcome = play.run()?;
            write_results(&outcome, &out)?;
            is_broken |= matches!(Status::of(&outcome), Status::Broken);
            if outcome.partial.is_some() {
                println!("interrupted after {} complete pairs", pairs.len());
                return Ok(Status::Interrupted);
            }
            if !json {
                println!(
                    "{name}, seed {seed}: service {:.4}, whole {:.4}, rules broken {}",
                    outcome.figure, outcome.whole, outcome.breach_count
                );
            }
            days[side] = Some(outcome);
        }
        if let [Some(a), Some(b)] = days {
            pairs.push(Pair { a, b });
        }
    }
    let rows = comparison::rows(&pairs);
    show(json, &rows, || comparison::text(&rows, pairs.len()))?;
    Ok(if is_broken { Status::Broken } else { Status::Success })
}
