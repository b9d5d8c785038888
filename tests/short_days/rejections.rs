//! Relays with few sessions get load reports rarely, so their reports are old. Once the backends have
//! capacity again, no relay may reject all of its sessions for long.
use crate::fleet::{two_listeners, Decision, Fleet, SECOND};
use hallrelay_balancer::types::*;

const BACKENDS: u32 = 6;
/// Number of sessions that saturate a backend.
const CAPACITY: f64 = 50.0;
/// Load on each backend that does not come from sessions, before `CAPACITY_AT`.
const FULL_LOAD: f64 = 0.97;
/// Load on each backend that does not come from sessions, from `CAPACITY_AT` on.
const LOW_LOAD: f64 = 0.2;
/// Time from which the backends have capacity again.
const CAPACITY_AT: Micros = 20 * SECOND;
/// End of the simulation.
const END: Micros = 40 * SECOND;
/// Time for which a relay must not reject all sessions.
const MAX_REJECTING: Micros = 4 * SECOND;
/// Minimum number of consecutive rejections that are evaluated.
const MIN_REJECTIONS: usize = 4;
const SEEDS: u64 = 20;

fn site(relays: u32, probe_cost: f64) -> SiteConfig {
    SiteConfig { probe_cost, ..two_listeners(relays) }
}

/// The longest time in which a relay made at least `MIN_REJECTIONS` rejections and no dial. 0 if there is
/// none. Decisions before `from` are ignored.
fn longest_rejecting(decisions: &[(Micros, Decision)], from: Micros) -> Micros {
    let mut longest = 0;
    let mut rejected: Vec<Micros> = Vec::new();
    for &(at, decision) in decisions.iter().filter(|(at, _)| *at >= from) {
        match decision {
            Decision::Rejected => rejected.push(at),
            Decision::Dialled => rejected.clear(),
        }
        if rejected.len() >= MIN_REJECTIONS {
            longest = longest.max(at - rejected[0]);
        }
    }
    longest
}

/// Simulates a fleet whose backends are full until `CAPACITY_AT`. No client connects in the `quiet` time
/// before `CAPACITY_AT`. Returns the longest time in which a relay rejected all sessions after `CAPACITY_AT`,
/// and whether each relay rejected a session before.
fn simulate(seed: u64, relays: u32, probe_cost: f64, per_second: f64, quiet: Micros) -> (Micros, bool) {
    let mut fleet = Fleet::new(site(relays, probe_cost), seed);
    (1..=BACKENDS).for_each(|server| fleet.add_warm_backend(server, CAPACITY));
    fleet.backends.values_mut().for_each(|backend| backend.other_load = FULL_LOAD);
    fleet.send_list_snapshot();
    fleet.schedule_clients(0, CAPACITY_AT - quiet, per_second);
    fleet.schedule_clients(CAPACITY_AT, END, per_second);
    fleet.run_until(CAPACITY_AT);
    // A relay that rejected a session knew from load reports that the backends were full. Without such
    // rejections the simulation would test nothing.
    let rejected = |decisions: &Vec<(Micros, Decision)>| {
        decisions.iter().any(|(_, decision)| *decision == Decision::Rejected)
    };
    let all_rejected = fleet.decisions.iter().all(rejected);
    fleet.backends.values_mut().for_each(|backend| backend.other_load = LOW_LOAD);
    fleet.run_until(END);
    let longest = fleet.decisions.iter().map(|decisions| longest_rejecting(decisions, CAPACITY_AT)).max();
    (longest.expect("at least one relay"), all_rejected)
}

#[test]
fn relays_with_few_sessions_stop_rejecting_once_capacity_returns() {
    let mut exceeded = Vec::new();
    for probe_cost in [0.002, 0.008] {
        for per_second in [1.0, 2.0, 5.0] {
            for quiet in [0, 15 * SECOND] {
                let runs: Vec<_> =
                    (1..=SEEDS).map(|seed| simulate(seed, 6, probe_cost, per_second, quiet)).collect();
                let over = runs.iter().filter(|run| run.0 >= MAX_REJECTING).count();
                let most = runs.iter().map(|run| run.0).max().expect("at least one seed");
                let tested = runs.iter().filter(|run| run.1).count();
                let line = format!(
                    "probe cost {probe_cost}, {per_second}/s, quiet for {} s: {over} of {SEEDS} seeds \
                     over, at most {most} us; in {tested} all relays rejected before",
                    quiet / SECOND
                );
                println!("{line}");
                exceeded.extend((over > 0).then_some(line));
            }
        }
    }
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}
