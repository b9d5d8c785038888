//! `hallrelay-lab members`: simulates only the membership protocol, without the rest of the relays, in
//! virtual time. It measures how soon deaths are detected, how many live members are declared dead, and the
//! cost, and can use all-to-all heartbeats as the baseline.
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
    /// Numbers of relays, separated by commas.
    #[arg(long, default_value = "3,30,300", value_delimiter = ',')]
    pub counts: Vec<usize>,
    /// Fractions of datagrams lost, separated by commas.
    #[arg(long, default_value = "0,0.05,0.2", value_delimiter = ',')]
    pub loss: Vec<f64>,
    /// Length of each day in seconds, of which the first 20 are a warm-up.
    #[arg(long, default_value_t = 300)]
    pub seconds: u64,
    /// Number of days with different seeds, simulated on all cores.
    #[arg(long, default_value_t = 4)]
    pub rounds: u64,
    /// Seed of the first day.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seconds between deaths of a relay, which restarts after half of that; 0 for no deaths.
    #[arg(long, default_value_t = 30)]
    pub deaths: u64,
    /// Seconds between stalls of a relay, which last a third of that; 0 for no stalls.
    #[arg(long, default_value_t = 0)]
    pub stalls: u64,
    /// Simulate all-to-all heartbeats instead of membership.
    #[arg(long = "beats")]
    pub heartbeats: bool,
}

/// Results for one number of relays and one loss rate. The keys of its JSON are fixed.
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
    /// Number of days simulated.
    pub days: u64,
    /// Hours measured, summed over all days.
    pub hours: f64,
    /// Times from a death until another relay detected it, for each other relay.
    #[serde(rename = "known")]
    pub detection: DetectionTimes,
    /// Times from a death until all other relays had detected it.
    #[serde(rename = "known_to_all")]
    pub detection_by_all: DetectionTimes,
    /// Deaths that at least one relay did not detect before the dead relay restarted.
    #[serde(rename = "missed")]
    pub undetected: usize,
    /// Declarations of death of a running relay.
    #[serde(rename = "falsely_gone")]
    pub falsely_dead: u64,
    /// Suspicions started.
    #[serde(rename = "accused")]
    pub suspicions: u64,
    /// Datagrams sent per relay and second.
    pub datagrams: f64,
    /// Bytes sent per relay and second.
    pub bytes: f64,
    /// Microseconds of CPU time per relay and second, including that of the simulation itself.
    pub cpu_us: f64,
}

/// Simulates all days of a plan.
///
/// # Errors
/// If an option is out of bounds.
pub fn run(plan: &Plan) -> Result<Vec<Row>, LabError> {
    if plan.counts.iter().any(|n| *n == 0 || *n > 1_000) {
        return Err(LabError::RelayCounts);
    }
    if plan.loss.iter().any(|loss| !(0.0..1.0).contains(loss)) {
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

/// Simulates the days with all seeds, on all cores.
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
                // The lock is never poisoned, because no thread panics while it holds the lock.
                let Ok(mut total) = total.lock() else { return };
                total.add(counts);
            });
        }
    });
    total.into_inner().unwrap_or_default()
}

/// Formats the rows as a table.
pub fn text(rows: &[Row]) -> String {
    let mut table = String::from(
        "virtual  relays  loss   hours  detect s (p95, max)   by all (p95, max)  missed  false  suspect  \
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
