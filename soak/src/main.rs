//! `hallrelay-soak`: runs drawn schedules of faults against real relay processes, seed by seed, and prints
//! what was violated. `hallrelay-soak relay ...` is the relay itself, as the harness starts it.
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

/// New sessions a second for each relay.
const SESSIONS_PER_SECOND: f64 = 10.0;
/// Violations that are printed of a run.
const MAX_PRINTED_VIOLATIONS: usize = 12;

#[derive(Parser)]
#[command(name = "hallrelay-soak", version, about = "A randomized fault soak of relay processes on loopback")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs seeds one after the other; exit status 1 where a rule was violated.
    Run(RunArgs),
    /// The relay's own command line.
    Relay(relay::Cli),
}

#[derive(clap::Args)]
struct RunArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds of a run.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Relay processes.
    #[arg(long, default_value_t = 4)]
    relays: usize,
    /// Faults that overlap in one episode.
    #[arg(long, default_value_t = FAULTS_PER_EPISODE)]
    together: u64,
    /// Only faults of the schedule that begin at this second or later.
    #[arg(long, default_value_t = 0.0)]
    from: f64,
    /// Only faults of the schedule that begin at this second or earlier.
    #[arg(long, default_value_t = f64::MAX)]
    to: f64,
    /// Leave out faults of the schedule, by their numbers as printed.
    #[arg(long)]
    without: Vec<usize>,
    /// Where a rule is violated, leave out faults one by one as long as it stays violated.
    #[arg(long)]
    shrink: bool,
    /// Print which events happened during which faults.
    #[arg(long)]
    coverage: bool,
}

impl RunArgs {
    /// The plan of a seed, with the faults of its schedule that are wanted.
    fn plan(&self, seed: u64) -> Plan {
        let program = std::env::current_exe().expect("the system knows where this program is");
        let quiet = Plan::quiet(seed, Duration::from_secs(self.seconds), program);
        let sessions_per_second = SESSIONS_PER_SECOND * self.relays as f64;
        let plan = Plan { relays: self.relays, sessions_per_second, ..quiet };
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
    // As the relay's own program does.
    signals::block();
    match Cli::parse().command {
        Command::Relay(line) => match relay::run(line.command) {
            Ok(status) => ExitCode::from(status),
            Err(what) => {
                eprintln!("hallrelay: {what}");
                ExitCode::FAILURE
            }
        },
        Command::Run(args) => {
            signals::unblock();
            run_seeds(&args)
        }
    }
}

/// What was counted over all seeds.
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
            println!("met: {fault} x {event}: {count}");
        }
    }
    ExitCode::from(u8::from(!violations.is_empty()))
}

fn print_summary(seed: u64, report: &Report) {
    println!(
        "seed {seed}: {} sessions {:?}, {} calls failed, {} violations",
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

/// Leaves out faults one by one as long as a rule stays violated.
fn shrink(plan: &Plan, rule: Rule) {
    let mut smallest = plan.clone();
    for left_out in &plan.faults {
        let faults = smallest.faults.iter().copied().filter(|fault| fault != left_out).collect();
        let smaller = Plan { faults, folder: plan.folder.with_extension("shrunk"), ..smallest.clone() };
        if harness::run(&smaller).violations.iter().any(|violation| violation.rule == rule) {
            smallest = smaller;
        }
    }
    println!("  {rule:?} stays with {} faults:", smallest.faults.len());
    smallest.faults.iter().for_each(|fault| println!("    {fault}"));
}
