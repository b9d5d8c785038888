//! `hallrelay-soak`: plays drawn timelines of troubles against real relay processes, seed by seed, and says
//! what broke. `hallrelay-soak relay ...` is the relay itself, as the harness starts it.
use clap::{Parser, Subcommand};
use hallrelay_relay::cli as relay;
use hallrelay_relay::net::signals;
use hallrelay_soak::plan::Plan;
use hallrelay_soak::{oracle, run, trouble};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(name = "hallrelay-soak", version, about = "A randomized fault soak of relay processes on loopback")]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Plays seeds one after the other; exit status 1 where a rule was broken.
    Run(Options),
    /// The relay's own command line.
    Relay(relay::Line),
}

#[derive(clap::Args)]
struct Options {
    /// The first seed, and how many are played.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds of a run.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Relay processes.
    #[arg(long, default_value_t = 4)]
    relays: usize,
    /// Troubles that overlap in one episode.
    #[arg(long, default_value_t = trouble::TOGETHER)]
    together: u64,
    /// Play only troubles that begin in this part of the timeline, in seconds.
    #[arg(long, default_value_t = 0.0)]
    from: f64,
    #[arg(long, default_value_t = f64::MAX)]
    to: f64,
    /// Leave out troubles of the timeline, by their numbers as printed.
    #[arg(long)]
    without: Vec<usize>,
    /// Where a rule is broken, take troubles away one by one as long as it stays broken.
    #[arg(long)]
    shrink: bool,
    /// Print which troubles met which paths.
    #[arg(long)]
    coverage: bool,
}

fn main() -> ExitCode {
    // As the relay's own program does.
    signals::block();
    match Line::parse().what {
        What::Relay(line) => match relay::run(line.what) {
            Ok(status) => ExitCode::from(status),
            Err(what) => {
                eprintln!("hallrelay: {what}");
                ExitCode::FAILURE
            }
        },
        What::Run(options) => {
            signals::unblock();
            soak(&options)
        }
    }
}

/// A run's plan, with the parts of its timeline that are wanted.
fn plan(options: &Options, seed: u64) -> Plan {
    let program = std::env::current_exe().expect("the system tells where this program lies");
    let base = Plan::quiet(seed, Duration::from_secs(options.seconds), program);
    let base = Plan { relays: options.relays, per_second: 10.0 * options.relays as f64, ..base };
    let mut troubles = trouble::draw(seed, base.length, base.relays, base.backends, options.together);
    let mut number = 0;
    troubles.retain(|trouble| {
        number += 1;
        let begins = trouble.from.as_secs_f64();
        begins >= options.from && begins <= options.to && !options.without.contains(&number)
    });
    Plan { troubles, ..base }
}

fn soak(options: &Options) -> ExitCode {
    let (mut totals, mut met) = (BTreeMap::new(), BTreeMap::new());
    let mut sessions = 0;
    for seed in options.seed..options.seed + options.seeds {
        let plan = plan(options, seed);
        let report = run::play(&plan);
        sessions += report.book.sessions.len();
        println!(
            "seed {seed}: {} sessions {:?}, {} calls failed, {} violations",
            report.book.sessions.len(),
            report.answers(),
            report.injected,
            report.violations.len()
        );
        for (pair, count) in report.coverage(&plan.troubles) {
            *met.entry(pair).or_insert(0) += count;
        }
        if report.violations.is_empty() {
            _ = std::fs::remove_dir_all(&plan.folder);
            continue;
        }
        for (number, trouble) in plan.troubles.iter().enumerate() {
            println!("  {:2} {trouble}", number + 1);
        }
        report.violations.iter().take(12).for_each(|violation| println!("  ! {violation}"));
        println!("  logs: {}", plan.folder.display());
        for (rule, count) in oracle::counts(&report.violations) {
            *totals.entry(rule).or_insert(0) += count;
        }
        if options.shrink {
            shrink(&plan, report.violations[0].rule);
        }
    }
    println!("{} seeds, {sessions} sessions, violations by rule: {totals:?}", options.seeds);
    if options.coverage {
        met.iter().for_each(|((trouble, path), count)| println!("met: {trouble} x {path}: {count}"));
    }
    ExitCode::from(u8::from(!totals.is_empty()))
}

/// Takes troubles away one by one as long as the rule stays broken.
fn shrink(plan: &Plan, rule: oracle::Rule) {
    let mut least = plan.clone();
    for trouble in plan.troubles.clone() {
        let troubles = least.troubles.iter().copied().filter(|one| *one != trouble).collect();
        let smaller = Plan { troubles, folder: plan.folder.with_extension("shrunk"), ..least.clone() };
        if run::play(&smaller).violations.iter().any(|violation| violation.rule == rule) {
            least = smaller;
        }
    }
    println!("  {rule:?} stays with {} troubles:", least.troubles.len());
    least.troubles.iter().for_each(|trouble| println!("    {trouble}"));
}
