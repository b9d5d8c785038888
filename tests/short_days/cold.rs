//! Rule 4 over all relays: what twenty of them send to one cold backend together, while it may fall.
use crate::fleet::{two_listeners, Fleet, SECOND};
use hallrelay_balancer::types::*;

const RELAYS: u32 = 20;
const WARM_BACKENDS: u32 = 8;
/// The backend that starts cold.
const COLD: ServerId = 100;
/// Sessions that fill a backend.
const CAPACITY: f64 = 50.0;
/// The load of the warm backends before anything happens.
const USUAL_LOAD: f64 = 0.5;
/// When the cold one starts: loads are steady by then.
const START: Micros = 15 * SECOND;
const SEEDS: u64 = 20;

/// What the settings allow a cold backend.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    pub warm_up: Micros,
    pub initial_capacity: f64,
    pub overload_window: Micros,
}

/// As in the text scenarios of the module.
pub const SHORT_WARM_UP: Allowance =
    Allowance { warm_up: 10 * SECOND, initial_capacity: 0.2, overload_window: 2 * SECOND };

/// A play's allowance, and the sessions a second that come to each relay.
#[derive(Clone, Copy, Debug)]
pub struct Case(pub Allowance, pub f64);

fn site(allowance: Allowance) -> SiteConfig {
    let Allowance { warm_up, initial_capacity, overload_window } = allowance;
    SiteConfig { warm_up, initial_capacity, overload_window, probe_cost: 0.002, ..two_listeners(RELAYS) }
}

/// The most that came in a fall's time, over what the backend bears then.
#[derive(Clone, Copy, Debug, Default)]
pub struct Worst {
    part: f64,
    came: usize,
    bears: f64,
    after: Micros,
}

impl std::fmt::Display for Worst {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Worst { part, came, bears, after } = self;
        write!(f, "{came} dials where it bears {bears:.1} ({part:.2} times), {after} us after its start")
    }
}

fn worst(fleet: &Fleet) -> Worst {
    let backend = &fleet.backends[&COLD];
    let mut worst = Worst::default();
    let warm = backend.entry.started_at + fleet.site.warm_up;
    for &at in backend.dials.iter().filter(|at| **at < warm) {
        let budget = backend.cold_budget(at, &fleet.site);
        let bears = budget + 2.0 * budget.sqrt() + 2.0;
        let came = backend.dials_in_fall_window(at, &fleet.site);
        let part = came as f64 / bears;
        if part > worst.part {
            worst = Worst { part, came, bears, after: at - backend.entry.started_at };
        }
    }
    worst
}

fn loaded(seed: u64, Case(allowance, per_second): Case) -> Fleet {
    let mut fleet = Fleet::new(site(allowance), seed);
    let sessions = USUAL_LOAD * CAPACITY * f64::from(WARM_BACKENDS);
    fleet.session_life = (sessions / (per_second * f64::from(RELAYS)) * SECOND as f64) as Micros;
    (1..=WARM_BACKENDS).for_each(|server| fleet.add_warm_backend(server, CAPACITY));
    fleet.tell_whole_list();
    fleet.schedule_clients(0, START + fleet.site.warm_up, per_second);
    fleet
}

/// A new backend joins as half as many clients again come, for four seconds.
pub fn joins_under_a_burst(seed: u64, case: Case) -> Worst {
    let mut fleet = loaded(seed, case);
    fleet.schedule_clients(START, START + 4 * SECOND, case.1 / 2.0);
    fleet.run_until(START);
    fleet.start_cold_backend(COLD, CAPACITY);
    fleet.run_until(START + fleet.site.warm_up);
    worst(&fleet)
}

/// The clients of one that crashed come again within half a second, as another one has just started.
pub fn joins_beside_a_crash(seed: u64, case: Case) -> Worst {
    let mut fleet = loaded(seed, case);
    fleet.run_until(START);
    fleet.start_cold_backend(COLD, CAPACITY);
    // The relays' first turns there are open by then.
    fleet.run_until(START + 4 * SECOND);
    fleet.crash_backend(1, SECOND / 2);
    fleet.run_until(START + fleet.site.warm_up);
    worst(&fleet)
}

/// Where more came than the backend bears, in words.
pub fn broken(what: &str, cases: &[Case], play: impl Fn(u64, Case) -> Worst) -> Vec<String> {
    let mut broken = Vec::new();
    for &case in cases {
        let plays: Vec<(u64, Worst)> = (1..=SEEDS).map(|seed| (seed, play(seed, case))).collect();
        let (seed, most) = plays.iter().max_by(|a, b| a.1.part.total_cmp(&b.1.part)).expect("some plays");
        let over = plays.iter().filter(|(_, worst)| worst.part > 1.0).count();
        let line = format!("{what}, {case:?}: {over} of {SEEDS} seeds over; seed {seed}: {most}");
        println!("{line}");
        broken.extend((over > 0).then_some(line));
        // Else nothing is tested.
        assert!(plays.iter().all(|(_, worst)| worst.came > 0), "the cold backend is never dialled");
    }
    broken
}

/// Few relays have a session as their turn at the cold backend comes.
const THIN_TRAFFIC: [Case; 2] = [Case(SHORT_WARM_UP, 1.0), Case(SHORT_WARM_UP, 3.0)];

#[test]
fn twenty_relays_keep_within_what_a_cold_backend_bears_under_a_burst() {
    let broken = broken("a burst", &THIN_TRAFFIC, joins_under_a_burst);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn twenty_relays_keep_within_what_a_cold_backend_bears_beside_a_crash() {
    let broken = broken("a crash", &THIN_TRAFFIC, joins_beside_a_crash);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
