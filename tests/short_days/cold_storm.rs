//! Rule 4 of the balancer (all relays together do not overload a backend in slow start) in reconnect storms
//! after quiet times. Many relays then have an unused slot at a cold backend, that is, one dial that they may
//! make there, and each of them has sessions that return at the same moment.
use crate::fleet::{two_listeners, Fleet, SECOND};
use hallrelay_balancer::types::*;

/// The backend that starts during the simulation.
const COLD: ServerId = 10_000;
/// Quiet time before the cold backend starts.
const QUIET_TIME: Micros = 20 * SECOND;
/// Time from the start of the cold backend to the storm. Nearly all relays have an unused slot at the backend
/// by then.
const STORM_DELAY: Micros = 8 * SECOND;
/// Time from the start of the storm to the end of the simulation.
const OBSERVATION: Micros = 4 * SECOND;
const SEEDS: u64 = 20;

/// A fleet and the storm that it receives.
#[derive(Clone, Copy, Debug)]
struct Storm {
    relays: u32,
    /// Number of warm backends. There is one cold backend in addition.
    warm_backends: u32,
    /// Number of sessions that saturate a warm backend.
    capacity: f64,
    /// Number of sessions that return to each relay.
    returning: u32,
    /// Time within which all of them return.
    within: Micros,
}

/// The overload window with the most dials relative to the bound.
struct WorstWindow {
    /// Number of dials to the cold backend in the window.
    dials: usize,
    /// Maximum number of dials that the test allows.
    bound: f64,
}

impl WorstWindow {
    fn ratio(&self) -> f64 {
        self.dials as f64 / self.bound
    }
}

fn site(relays: u32) -> SiteConfig {
    let (warm_up, overload_window) = (15 * SECOND, 8 * SECOND / 10);
    SiteConfig { warm_up, overload_window, probe_cost: 0.008, ..two_listeners(relays) }
}

/// Maximum number of dials in one overload window according to the operators: the backend's budget (N in
/// `docs/design.md`) at the end of the window plus a random deviation.
fn bound(budget: f64) -> f64 {
    match budget < 30.0 {
        true => budget + 3.0 * budget.sqrt() + 3.0,
        false => budget + 2.0 * budget.sqrt() + 2.0,
    }
}

fn worst_window(seed: u64, storm: Storm) -> WorstWindow {
    let mut fleet = Fleet::new(site(storm.relays), seed);
    let warm_sessions = 0.4 * storm.capacity * f64::from(storm.warm_backends);
    let session_seconds = 30.0;
    fleet.mean_session_time = (session_seconds * SECOND as f64) as Micros;
    (1..=storm.warm_backends).for_each(|server| fleet.add_warm_backend(server, storm.capacity));
    fleet.send_list_snapshot();
    let per_second = warm_sessions / session_seconds / f64::from(storm.relays);
    let storm_at = QUIET_TIME + STORM_DELAY;
    fleet.schedule_clients(0, storm_at + OBSERVATION, per_second);
    fleet.schedule_reconnect_storm(storm_at, storm.within, storm.returning);
    fleet.run_until(QUIET_TIME);
    fleet.start_cold_backend(COLD, storm.capacity);
    fleet.run_until(storm_at + OBSERVATION);
    let backend = &fleet.backends[&COLD];
    let windows = backend.dials.iter().map(|&at| {
        let bound = bound(backend.cold_budget(at, &fleet.site));
        WorstWindow { dials: backend.dials_in_overload_window(at, &fleet.site), bound }
    });
    let worst = windows.max_by(|a, b| a.ratio().total_cmp(&b.ratio()));
    worst.unwrap_or(WorstWindow { dials: 0, bound: bound(0.0) })
}

/// Simulates a storm with all seeds. Returns a description of it if any seed has more dials than the bound.
fn storm_over_bound(storm: Storm) -> Option<String> {
    let runs: Vec<WorstWindow> = (1..=SEEDS).map(|seed| worst_window(seed, storm)).collect();
    let over = runs.iter().filter(|worst| worst.ratio() > 1.0).count();
    let worst = runs.iter().max_by(|a, b| a.ratio().total_cmp(&b.ratio())).expect("at least one seed");
    let mean = runs.iter().map(WorstWindow::ratio).sum::<f64>() / runs.len() as f64;
    let line = format!(
        "{storm:?}: {over} of {SEEDS} seeds over; worst {} dials, bound {:.1}; \
         mean {mean:.2} times the bound",
        worst.dials, worst.bound
    );
    println!("{line}");
    (over > 0).then_some(line)
}

/// Checks the bound in storms of several fleets. `sizes` contains the number of relays and the number of warm
/// backends of each fleet.
fn assert_budget_holds(sizes: &[(u32, u32)]) {
    let mut over = Vec::new();
    for &(relays, warm_backends) in sizes {
        for capacity in [10.0, 40.0, 200.0] {
            for (returning, within) in [(1, SECOND / 100), (4, SECOND)] {
                over.extend(storm_over_bound(Storm { relays, warm_backends, capacity, returning, within }));
            }
        }
    }
    assert!(over.is_empty(), "{}", over.join("\n"));
}

#[test]
fn cold_backend_budget_holds_in_storm_of_few_relays() {
    assert_budget_holds(&[(1, 8), (3, 8), (20, 8), (30, 12)]);
}

#[test]
fn cold_backend_budget_holds_in_storm_of_100_relays() {
    assert_budget_holds(&[(100, 20)]);
}

#[test]
fn cold_backend_budget_holds_in_storm_of_many_relays() {
    assert_budget_holds(&[(300, 60), (900, 180)]);
}
