//! Rule 4 of the balancer (all relays together do not overload a backend in slow start): twenty relays keep
//! their dials to one cold backend within its budget in every overload window.
use crate::fleet::{two_listeners, Fleet, SECOND};
use hallrelay_balancer::types::*;

const RELAYS: u32 = 20;
const WARM_BACKENDS: u32 = 8;
/// The backend that starts during the simulation.
const COLD: ServerId = 100;
/// Number of sessions that saturate a warm backend.
const CAPACITY: f64 = 50.0;
/// The load of the warm backends before the cold backend starts, as a fraction of their capacity.
const USUAL_LOAD: f64 = 0.5;
/// Time at which the cold backend starts. The loads of the warm backends are steady by then.
const COLD_START: Micros = 15 * SECOND;
const SEEDS: u64 = 20;

/// The settings of slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    pub warm_up: Micros,
    pub initial_capacity: f64,
    pub overload_window: Micros,
}

/// The settings of the balancer's test scripts (`tests/scenarios/`).
pub const SHORT_WARM_UP: SlowStart =
    SlowStart { warm_up: 10 * SECOND, initial_capacity: 0.2, overload_window: 2 * SECOND };

/// The slow-start settings, and the new sessions per second at each relay.
#[derive(Clone, Copy, Debug)]
pub struct Case(pub SlowStart, pub f64);

fn site(slow_start: SlowStart) -> SiteConfig {
    let SlowStart { warm_up, initial_capacity, overload_window } = slow_start;
    SiteConfig { warm_up, initial_capacity, overload_window, probe_cost: 0.002, ..two_listeners(RELAYS) }
}

/// The overload window with the most dials relative to the bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorstWindow {
    /// `dials` divided by `bound`.
    ratio: f64,
    /// Number of dials to the cold backend in the window.
    dials: usize,
    /// Maximum number of dials that the tests allow: the budget plus a random deviation.
    bound: f64,
    /// Time from the start of the backend to the end of the window.
    after: Micros,
}

impl std::fmt::Display for WorstWindow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let WorstWindow { ratio, dials, bound, after } = self;
        write!(f, "{dials} dials, bound {bound:.1} ({ratio:.2} times), {after} us after the start")
    }
}

fn worst_window(fleet: &Fleet) -> WorstWindow {
    let backend = &fleet.backends[&COLD];
    let mut worst = WorstWindow::default();
    let warm_at = backend.endpoint.started_at + fleet.site.warm_up;
    for &at in backend.dials.iter().filter(|at| **at < warm_at) {
        let budget = backend.cold_budget(at, &fleet.site);
        let bound = budget + 2.0 * budget.sqrt() + 2.0;
        let dials = backend.dials_in_overload_window(at, &fleet.site);
        let ratio = dials as f64 / bound;
        if ratio > worst.ratio {
            worst = WorstWindow { ratio, dials, bound, after: at - backend.endpoint.started_at };
        }
    }
    worst
}

fn loaded_fleet(seed: u64, Case(slow_start, per_second): Case) -> Fleet {
    let mut fleet = Fleet::new(site(slow_start), seed);
    let sessions = USUAL_LOAD * CAPACITY * f64::from(WARM_BACKENDS);
    fleet.mean_session_time = (sessions / (per_second * f64::from(RELAYS)) * SECOND as f64) as Micros;
    (1..=WARM_BACKENDS).for_each(|server| fleet.add_warm_backend(server, CAPACITY));
    fleet.send_list_snapshot();
    fleet.schedule_clients(0, COLD_START + fleet.site.warm_up, per_second);
    fleet
}

/// Simulates the start of a cold backend. In the first four seconds after the start the rate of clients is
/// 1.5 times the usual rate.
pub fn start_under_burst(seed: u64, case: Case) -> WorstWindow {
    let mut fleet = loaded_fleet(seed, case);
    fleet.schedule_clients(COLD_START, COLD_START + 4 * SECOND, case.1 / 2.0);
    fleet.run_until(COLD_START);
    fleet.start_cold_backend(COLD, CAPACITY);
    fleet.run_until(COLD_START + fleet.site.warm_up);
    worst_window(&fleet)
}

/// Simulates a warm backend that crashes 4 s after a cold backend started. The clients of the crashed backend
/// return within 0.5 s.
pub fn start_beside_crash(seed: u64, case: Case) -> WorstWindow {
    let mut fleet = loaded_fleet(seed, case);
    fleet.run_until(COLD_START);
    fleet.start_cold_backend(COLD, CAPACITY);
    // At that time the relays have had their first slots at the cold backend (a slot is one dial that a relay
    // may make there).
    fleet.run_until(COLD_START + 4 * SECOND);
    fleet.crash_backend(1, SECOND / 2);
    fleet.run_until(COLD_START + fleet.site.warm_up);
    worst_window(&fleet)
}

/// Simulates each case with all seeds. Returns a description of each case that has a window with more dials
/// than the bound. `what` names the simulation.
pub fn cases_over_bound(
    what: &str,
    cases: &[Case],
    simulate: impl Fn(u64, Case) -> WorstWindow,
) -> Vec<String> {
    let mut exceeded = Vec::new();
    for &case in cases {
        let runs: Vec<(u64, WorstWindow)> = (1..=SEEDS).map(|seed| (seed, simulate(seed, case))).collect();
        let (seed, most) =
            runs.iter().max_by(|a, b| a.1.ratio.total_cmp(&b.1.ratio)).expect("at least one seed");
        let over = runs.iter().filter(|(_, worst)| worst.ratio > 1.0).count();
        let line = format!("{what}, {case:?}: {over} of {SEEDS} seeds over; seed {seed}: {most}");
        println!("{line}");
        exceeded.extend((over > 0).then_some(line));
        // A simulation without a dial to the cold backend would test nothing.
        let without_dial: Vec<u64> =
            runs.iter().filter(|(_, worst)| worst.dials == 0).map(|(seed, _)| *seed).collect();
        assert!(
            without_dial.is_empty(),
            "{what}, {case:?}: no dial to the cold backend with the seeds {without_dial:?}"
        );
    }
    exceeded
}

/// Rates of clients at which few relays have a session when their slot at the cold backend opens.
const LOW_TRAFFIC: [Case; 2] = [Case(SHORT_WARM_UP, 1.0), Case(SHORT_WARM_UP, 3.0)];

#[test]
fn cold_backend_budget_holds_under_burst() {
    let exceeded = cases_over_bound("burst", &LOW_TRAFFIC, start_under_burst);
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}

#[test]
fn cold_backend_budget_holds_beside_crash() {
    let exceeded = cases_over_bound("crash", &LOW_TRAFFIC, start_beside_crash);
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}
