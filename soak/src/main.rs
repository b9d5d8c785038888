//! `hallrelay-soak run` runs randomly drawn fault schedules against real relay processes, one seed after the
//! other, and prints the rules that were violated. `hallrelay-soak relay ...` is the relay itself, which the
//! harness starts.
use clap::{Parser, Subcommand};
use hallrelay_relay::cli as relay;
use hallrelay_relay::net::signals;
use hallrelay_soak::harness;
use hallrelay_soak::oracle::{self, Rule};
use hallrelay_soak::plan::Plan;
use hallrelay_soak::report::{FaultEvent, Report};
use hallrelay_soak::schedule::{draw_schedule, ScheduledFault, FAULTS_PER_EPISODE};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

/// New sessions per second and relay.
const SESSIONS_PER_SECOND: f64 = 10.0;
/// Maximum number of violations that are printed for one run.
const MAX_PRINTED_VIOLATIONS: usize = 12;

#[derive(Parser)]
#[command(
    name = "hallrelay-soak",
    version,
    about = "Randomized fault-injection soak test of relay processes on loopback"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs seeds one after the other. The exit status is 1 if a rule was violated.
    Run(RunArgs),
    /// The relay's own command line.
    Relay(relay::Cli),
}

#[derive(clap::Args)]
struct RunArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Length of each run in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of relay processes.
    #[arg(long, default_value_t = 4)]
    relays: usize,
    /// Number of faults that overlap in one episode.
    #[arg(long, default_value_t = FAULTS_PER_EPISODE)]
    together: u64,
    /// Apply only faults of the schedule that begin at this second or later.
    #[arg(long, default_value_t = 0.0)]
    from: f64,
    /// Apply only faults of the schedule that begin at this second or earlier.
    #[arg(long, default_value_t = f64::MAX)]
    to: f64,
    /// Leave out faults of the schedule, by their printed numbers.
    #[arg(long)]
    without: Vec<usize>,
    /// If a rule is violated, leave out faults one by one as long as the rule is still violated.
    #[arg(long)]
    shrink: bool,
    /// Print how often each kind of event happened during each kind of fault.
    #[arg(long)]
    coverage: bool,
}

impl RunArgs {
    /// Returns the plan of a seed with the selected faults of its schedule.
    fn plan(&self, seed: u64) -> Plan {
        let program = std::env::current_exe().expect("find the path of this executable");
        let without_faults = Plan::without_faults(seed, Duration::from_secs(self.seconds), program);
        let sessions_per_second = SESSIONS_PER_SECOND * self.relays as f64;
        let plan = Plan { relays: self.relays, sessions_per_second, ..without_faults };
        let schedule = draw_schedule(&plan.schedule_parameters(self.together));
        let numbered = schedule.into_iter().enumerate();
        let selected = numbered.filter(|(position, fault)| self.is_selected(position + 1, fault));
        Plan { faults: selected.map(|(_, fault)| fault).collect(), ..plan }
    }

    fn is_selected(&self, number: usize, fault: &ScheduledFault) -> bool {
        let from = fault.from.as_secs_f64();
        from >= self.from && from <= self.to && !self.without.contains(&number)
    }
}

fn main() -> ExitCode {
    // The signals stay blocked until the relay installs its handlers, as in the program `hallrelay`.
    signals::block();
    match Cli::parse().command {
        Command::Relay(cli) => match relay::run(cli.command) {
            Ok(status) => ExitCode::from(status),
            Err(error) => {
                eprintln!("hallrelay: {error}");
                ExitCode::FAILURE
            }
        },
        Command::Run(args) => {
            signals::unblock();
            run_seeds(&args)
        }
    }
}

/// Totals over all seeds.
#[derive(Default)]
struct Totals {
    sessions: usize,
    violations: BTreeMap<Rule, usize>,
    coverage: BTreeMap<FaultEvent, usize>,
}

fn run_seeds(args: &RunArgs) -> ExitCode {
    let mut totals = Totals::default();
    for seed in args.seed..args.seed + args.seeds {
        let plan = args.plan(seed);
        let report = harness::run(&plan);
        print_summary(seed, &report);
        totals.sessions += report.observations.sessions.len();
        for (fault_event, count) in report.coverage(&plan.faults) {
            *totals.coverage.entry(fault_event).or_insert(0) += count;
        }
        for (rule, count) in oracle::count_by_rule(&report.violations) {
            *totals.violations.entry(rule).or_insert(0) += count;
        }
        match report.violations.first() {
            None => _ = std::fs::remove_dir_all(&plan.folder),
            Some(first) => {
                print_violations(&plan, &report);
                if args.shrink {
                    shrink(&plan, first.rule);
                }
            }
        }
    }
    let Totals { sessions, violations, coverage } = totals;
    println!("{} seeds, {sessions} sessions, violations by rule: {violations:?}", args.seeds);
    if args.coverage {
        for (FaultEvent { fault, event }, count) in coverage {
            println!("coverage: {event} during {fault}: {count}");
        }
    }
    ExitCode::from(u8::from(!violations.is_empty()))
}

fn print_summary(seed: u64, report: &Report) {
    println!(
        "seed {seed}: {} sessions {:?}, {} failed system calls injected, {} violations",
        report.observations.sessions.len(),
        report.answers(),
        report.injected_failures,
        report.violations.len()
    );
}

fn print_violations(plan: &Plan, report: &Report) {
    for (position, fault) in plan.faults.iter().enumerate() {
        println!("  {:2} {fault}", position + 1);
    }
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  ! {violation}");
    }
    println!("  logs: {}", plan.folder.display());
}

/// Runs the plan once without each fault, leaves out the fault if the rule is still violated, and prints the
/// remaining faults.
fn shrink(plan: &Plan, rule: Rule) {
    let mut smallest = plan.clone();
    for candidate in &plan.faults {
        let faults = smallest.faults.iter().copied().filter(|fault| fault != candidate).collect();
        let smaller = Plan { faults, folder: plan.folder.with_extension("shrunk"), ..smallest.clone() };
        if harness::run(&smaller).violations.iter().any(|violation| violation.rule == rule) {
            smallest = smaller;
        }
    }
    println!("  {rule:?} is still violated with these {} faults:", smallest.faults.len());
    smallest.faults.iter().for_each(|fault| println!("    {fault}"));
}
