//! `hallrelay-checker`: searches the scenarios named on the command line and prints the results.
use clap::Parser;
use hallrelay_model_checker::cluster::Mutation;
use hallrelay_model_checker::rollout::{self, RolloutModel};
use hallrelay_model_checker::scenarios::{self, Scenario};
use hallrelay_model_checker::search::{search, Bounds, Model, SearchReport};
use std::process::ExitCode;
use std::time::Instant;

/// Checks all orders of events of a few voters and lease holders, breadth first, including faults.
#[derive(Parser)]
#[command(name = "hallrelay-checker", version)]
struct Cli {
    /// The scenes to search: elections, crashes, holders, leaders, disks, unplanned, snapshots, restarts,
    /// releases. All scenes if none is named.
    #[arg(value_name = "SCENE")]
    scenarios: Vec<String>,
    /// Plants each known defect in the scenes; the search must find it.
    #[arg(long)]
    planted: bool,
    /// Maximum number of states of a scene.
    #[arg(long = "states", value_name = "STATES", default_value_t = 1_000_000)]
    max_states: usize,
    /// Checks one state in this many for recovery once no fault occurs any more; 0 disables the check.
    #[arg(long = "way-on", value_name = "WAY_ON", default_value_t = 16)]
    recovery_sampling: u64,
}

/// The name of the rollout model on the command line.
const ROLLOUT: &str = "releases";
/// Maximum number of failures in the rollout model.
const ROLLOUT_FAILURES: u8 = 2;
/// Maximum number of operators' commands in the rollout model.
const ROLLOUT_COMMANDS: u8 = 4;
/// The exit status after an invalid command line.
const USAGE_ERROR: u8 = 2;

impl Cli {
    fn is_selected(&self, name: &str) -> bool {
        self.scenarios.is_empty() || self.scenarios.iter().any(|scenario| scenario == name)
    }

    fn unknown_scenario(&self) -> Option<&String> {
        let is_known =
            |name: &str| name == ROLLOUT || scenarios::ALL.iter().any(|scenario| scenario.name == name);
        self.scenarios.iter().find(|name| !is_known(name))
    }

    fn bounds(&self) -> Bounds {
        Bounds {
            max_states: self.max_states,
            max_depth: usize::MAX,
            recovery_sampling: self.recovery_sampling,
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(unknown) = cli.unknown_scenario() {
        let names: Vec<&str> = scenarios::ALL.iter().map(|scenario| scenario.name).chain([ROLLOUT]).collect();
        eprintln!("hallrelay-checker: unknown scene {unknown}; choose from {}", names.join(", "));
        return ExitCode::from(USAGE_ERROR);
    }
    let bounds = cli.bounds();
    let mut as_expected = true;
    for scenario in scenarios::ALL.iter().filter(|scenario| cli.is_selected(scenario.name)) {
        as_expected &= check_scenario(scenario, cli.planted, &bounds);
    }
    if cli.is_selected(ROLLOUT) {
        as_expected &= check_rollout(cli.planted, &bounds);
    }
    ExitCode::from(u8::from(!as_expected))
}

/// Returns whether the search finds each planted mutation, or no violation if none is planted. Prints each
/// search.
fn check_scenario(scenario: &Scenario, planted: bool, bounds: &Bounds) -> bool {
    let mutations = if planted { scenario.mutations } else { &[Mutation::None] };
    let mut as_expected = true;
    for mutation in mutations {
        let model = scenario.with_mutation(*mutation);
        let report = search_and_print(scenario.name, mutation.as_str(), &model, bounds);
        as_expected &= report.counterexample.is_some() == planted;
    }
    as_expected
}

fn check_rollout(planted: bool, bounds: &Bounds) -> bool {
    let mutations: &[rollout::Mutation] =
        if planted { &rollout::Mutation::ALL } else { &[rollout::Mutation::None] };
    let mut as_expected = true;
    for mutation in mutations {
        let model = RolloutModel {
            mutation: *mutation,
            failures: ROLLOUT_FAILURES,
            operator_commands: ROLLOUT_COMMANDS,
        };
        let report = search_and_print(ROLLOUT, mutation.as_str(), &model, bounds);
        as_expected &= report.counterexample.is_some() == planted;
    }
    as_expected
}

fn search_and_print(name: &str, mutation: &str, model: &impl Model, bounds: &Bounds) -> SearchReport {
    let started = Instant::now();
    let report = search(model, bounds);
    let extent = if report.exhaustive { "all" } else { "the first" };
    println!(
        "{name}, {mutation}: {extent} {} states, {} transitions, depth {}, {} checked for recovery, {:.1} s",
        report.states,
        report.transitions,
        report.depth,
        report.recovery_checks,
        started.elapsed().as_secs_f64()
    );
    if let Some(counterexample) = &report.counterexample {
        let steps = counterexample.trace.len();
        println!("  violated: {}, after {steps} transitions", counterexample.property);
        for transition in &counterexample.trace {
            println!("    {transition}");
        }
    }
    report
}
