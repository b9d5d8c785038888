//! Rule 4 in reconnect storms after quiet times: many relays hold an unused slot at a cold backend then, and
//! each of them has sessions that come back at the same moment.
use crate::fleet::{two_listeners, Fleet, SECOND};
use hallrelay_balancer::types::*;

/// The backend that starts cold.
const COLD: ServerId = 10_000;
/// Quiet before the cold backend starts.
const QUIET: Micros = 20 * SECOND;
/// From its start to the storm: nearly every relay has an unused slot there by then.
const UNUSED: Micros = 8 * SECOND;
/// How long is watched after the storm began.
const WATCHED: Micros = 4 * SECOND;
const SEEDS: u64 = 20;

/// A fleet and the storm that meets it.
#[derive(Clone, Copy, Debug)]
struct Storm {
    relays: u32,
    /// Warm backends beside the cold one.
    warm: u32,
    /// Sessions that fill a backend.
    capacity: f64,
    /// Sessions that come back to each relay, and within which time.
    returning: u32,
    within: Micros,
}

/// What came in the worst window, beside what a backend in slow start is allowed.
struct Worst {
    came: usize,
    allowed: f64,
}

fn site(relays: u32) -> SiteConfig {
    let (warm_up, overload_window) = (15 * SECOND, 8 * SECOND / 10);
    SiteConfig { warm_up, overload_window, probe_cost: 0.008, ..two_listeners(relays) }
}

/// The operators' bound on the calls of one window, by the N of that moment.
fn allowed(budget: f64) -> f64 {
    match budget < 30.0 {
        true => budget + 3.0 * budget.sqrt() + 3.0,
        false => budget + 2.0 * budget.sqrt() + 2.0,
    }
}

fn play(seed: u64, storm: Storm) -> Worst {
    let mut fleet = Fleet::new(site(storm.relays), seed);
    let warm_sessions = 0.4 * storm.capacity * f64::from(storm.warm);
    let life = 30.0;
    fleet.session_life = (life * SECOND as f64) as Micros;
    (1..=storm.warm).for_each(|server| fleet.add_warm_backend(server, storm.capacity));
    fleet.tell_whole_list();
    let per_second = warm_sessions / life / f64::from(storm.relays);
    let storm_at = QUIET + UNUSED;
    fleet.schedule_clients(0, storm_at + WATCHED, per_second);
    fleet.schedule_reconnect_storm(storm_at, storm.within, storm.returning);
    fleet.run_until(QUIET);
    fleet.start_cold_backend(COLD, storm.capacity);
    fleet.run_until(storm_at + WATCHED);
    let backend = &fleet.backends[&COLD];
    let windows = backend.dials.iter().map(|&at| {
        let allowed = allowed(backend.cold_budget(at, &fleet.site));
        Worst { came: backend.dials_in_fall_window(at, &fleet.site), allowed }
    });
    let part = |worst: &Worst| worst.came as f64 / worst.allowed;
    let worst = windows.max_by(|a, b| part(a).total_cmp(&part(b)));
    worst.unwrap_or(Worst { came: 0, allowed: allowed(0.0) })
}

fn over(storm: Storm) -> Option<String> {
    let plays: Vec<Worst> = (1..=SEEDS).map(|seed| play(seed, storm)).collect();
    let part = |worst: &Worst| worst.came as f64 / worst.allowed;
    let over = plays.iter().filter(|worst| part(worst) > 1.0).count();
    let most = plays.iter().max_by(|a, b| part(a).total_cmp(&part(b))).expect("some seeds");
    let mean = plays.iter().map(part).sum::<f64>() / plays.len() as f64;
    let line = format!(
        "{storm:?}: {over} of {SEEDS} seeds over; most {} calls where {:.1} are allowed, \
         {mean:.2} times in the mean",
        most.came, most.allowed
    );
    println!("{line}");
    (over > 0).then_some(line)
}

/// Relays and warm backends beside the cold one.
fn keep_the_budget(sizes: &[(u32, u32)]) {
    let mut broken = Vec::new();
    for &(relays, warm) in sizes {
        for capacity in [10.0, 40.0, 200.0] {
            for (returning, within) in [(1, SECOND / 100), (4, SECOND)] {
                broken.extend(over(Storm { relays, warm, capacity, returning, within }));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn few_relays_keep_the_budget_of_a_cold_backend_in_a_storm() {
    keep_the_budget(&[(1, 8), (3, 8), (20, 8), (30, 12)]);
}

#[test]
fn a_hundred_relays_keep_the_budget_of_a_cold_backend_in_a_storm() {
    keep_the_budget(&[(100, 20)]);
}

#[test]
fn many_relays_keep_the_budget_of_a_cold_backend_in_a_storm() {
    keep_the_budget(&[(300, 60), (900, 180)]);
}
