//! `hallrelay-lab members`: membership alone, in virtual time, without the relays around it. It measures how
//! soon deaths are detected, how many live members are declared dead, and the cost; with all-to-all
//! heartbeats as the baseline.
mod simulation;

use crate::error::LabError;
use hallrelay_emulator::membership_audit::DetectionTimes;
use serde::Serialize;
use simulation::{Counts, Simulation, WARM_UP};
use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Options of the command.
#[derive(clap::Args, Clone, Debug)]
pub struct Plan {
    /// Numbers of relays, with commas between.
    #[arg(long, default_value = "3,30,300", value_delimiter = ',')]
    pub counts: Vec<usize>,
    /// Fractions of datagrams lost, with commas between.
    #[arg(long, default_value = "0,0.05,0.2", value_delimiter = ',')]
    pub loss: Vec<f64>,
    /// Seconds of each day; relays meet in the first 20 of them.
    #[arg(long, default_value_t = 300)]
    pub seconds: u64,
    /// Days of other seeds, on all cores.
    #[arg(long, default_value_t = 4)]
    pub rounds: u64,
    /// Seed of the first day.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A relay dies each so many seconds, and is back after half of that; 0 is never.
    #[arg(long, default_value_t = 30)]
    pub deaths: u64,
    /// A relay stalls each so many seconds, for a third of that; 0 is never.
    #[arg(long, default_value_t = 0)]
    pub stalls: u64,
    /// All-to-all heartbeats in place of membership.
    #[arg(long = "beats")]
    pub heartbeats: bool,
}

/// Results for one number of relays and one loss. Keys of its JSON are fixed.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// `members` or `beats`.
    #[serde(rename = "way")]
    pub protocol: &'static str,
    /// Number of relays.
    #[serde(rename = "count")]
    pub relays: usize,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Days simulated.
    pub days: u64,
    /// Hours that were counted, over all days.
    pub hours: f64,
    /// From a death until each other relay detected it.
    #[serde(rename = "known")]
    pub detection: DetectionTimes,
    /// From a death until all relays had detected it.
    #[serde(rename = "known_to_all")]
    pub detection_by_all: DetectionTimes,
    /// Deaths that some relay did not detect before the dead one was back.
    #[serde(rename = "missed")]
    pub undetected: usize,
    /// Declarations of death of a relay that ran.
    #[serde(rename = "falsely_gone")]
    pub falsely_dead: u64,
    /// Suspicions started.
    #[serde(rename = "accused")]
    pub suspicions: u64,
    /// Datagrams a relay and second.
    pub datagrams: f64,
    /// Bytes a relay and second.
    pub bytes: f64,
    /// Microseconds of CPU a relay and second, the simulation's own included.
    pub cpu_us: f64,
}

/// Runs all days of a plan.
///
/// # Errors
/// Where an option is out of its bounds.
pub fn run(plan: &Plan) -> Result<Vec<Row>, LabError> {
    if plan.counts.iter().any(|n| *n == 0 || *n > 1_000) {
        return Err(LabError::RelayCounts);
    }
    if plan.loss.iter().any(|part| !(0.0..1.0).contains(part)) {
        return Err(LabError::LossParts);
    }
    if plan.seconds * 1_000_000 <= WARM_UP || plan.rounds == 0 {
        return Err(LabError::DayLength);
    }
    let mut rows = Vec::new();
    for &relays in &plan.counts {
        for &loss in &plan.loss {
            rows.push(row(plan, relays, loss));
        }
    }
    Ok(rows)
}

fn row(plan: &Plan, relays: usize, loss: f64) -> Row {
    let counts = simulate_all(plan, relays, loss);
    let seconds = (plan.rounds * (plan.seconds - WARM_UP / 1_000_000)) as f64;
    let per_relay_second = |sum: f64| sum / seconds / relays as f64;
    Row {
        protocol: if plan.heartbeats { "beats" } else { "members" },
        relays,
        loss,
        days: plan.rounds,
        hours: seconds / 3600.0,
        detection: DetectionTimes::of(&counts.detection_times),
        detection_by_all: DetectionTimes::of(&counts.detection_times_by_all),
        undetected: counts.undetected,
        falsely_dead: counts.falsely_dead,
        suspicions: counts.suspicions,
        datagrams: per_relay_second(counts.datagrams as f64),
        bytes: per_relay_second(counts.bytes as f64),
        cpu_us: per_relay_second(counts.cpu_s * 1e6),
    }
}

/// Simulates the days of all seeds, on all cores.
fn simulate_all(plan: &Plan, relays: usize, loss: f64) -> Counts {
    let next_round = AtomicUsize::new(0);
    let total = Mutex::new(Counts::default());
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores.min(plan.rounds as usize) {
            scope.spawn(|| loop {
                let round = next_round.fetch_add(1, Ordering::Relaxed) as u64;
                if round >= plan.rounds {
                    return;
                }
                let counts = Simulation::new(plan, relays, loss, plan.seed + round).run();
                // No thread panics while it holds the lock.
                let Ok(mut total) = total.lock() else { return };
                total.add(counts);
            });
        }
    });
    total.into_inner().unwrap_or_default()
}

/// The rows as a table.
pub fn text(rows: &[Row]) -> String {
    let mut table = String::from(
        "virtual  relays  loss   hours  known s (p95, last)  to all (p95, last)  missed  false  accused  \
         datagrams/s  bytes/s  CPU us/s\n",
    );
    let times = |t: &DetectionTimes| format!("{:.2} ({:.2}, {:.2})", t.median, t.p95, t.last);
    for row in rows {
        let detection = times(&row.detection);
        let by_all = times(&row.detection_by_all);
        _ = writeln!(
            table,
            "{:8} {:6} {:5.2} {:7.2}  {detection:>19}  {by_all:>18}  {:6}  {:5}  {:7}  \
             {:11.1}  {:7.0}  {:8.0}",
            row.protocol,
            row.relays,
            row.loss,
            row.hours,
            row.undetected,
            row.falsely_dead,
            row.suspicions,
            row.datagrams,
            row.bytes,
            row.cpu_us
        );
    }
    table
}
