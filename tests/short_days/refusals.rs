//! Relays of few sessions, whose answers are old: none turns away all that it gets for long once there is a
//! backend with room.
use crate::fleet::{two_listeners, Deed, Fleet, SECOND};
use hallrelay_balancer::types::*;

const BACKENDS: u32 = 6;
const CAPACITY: f64 = 50.0;
/// What others put on every backend till there is room, and from then on.
const FULL_LOAD: f64 = 0.97;
const ROOM_LOAD: f64 = 0.2;
/// When there is room again, and how long the play goes on.
const ROOM_AT: Micros = 20 * SECOND;
const END: Micros = 40 * SECOND;
/// A relay may not turn away all sessions for so long.
const LONGEST: Micros = 4 * SECOND;
/// Fewer sessions than this are no sign.
const FEWEST: usize = 4;
const SEEDS: u64 = 20;

fn site(relays: u32, probe_cost: f64) -> SiteConfig {
    SiteConfig { probe_cost, ..two_listeners(relays) }
}

/// The longest time from a refusal to a refusal without a dial between them, `FEWEST` refusals at least.
fn longest_of_refusals(deeds: &[(Micros, Deed)], from: Micros) -> Micros {
    let mut longest = 0;
    let mut refused: Vec<Micros> = Vec::new();
    for &(at, deed) in deeds.iter().filter(|(at, _)| *at >= from) {
        match deed {
            Deed::Refused => refused.push(at),
            Deed::Dialled => refused.clear(),
        }
        if refused.len() >= FEWEST {
            longest = longest.max(at - refused[0]);
        }
    }
    longest
}

/// Clients come at a rate to each relay, from a moment on; all backends are full, and have room later.
fn play(seed: u64, relays: u32, probe_cost: f64, per_second: f64, quiet: Micros) -> (Micros, bool) {
    let mut fleet = Fleet::new(site(relays, probe_cost), seed);
    (1..=BACKENDS).for_each(|server| fleet.add_warm_backend(server, CAPACITY));
    fleet.backends.values_mut().for_each(|backend| backend.other_load = FULL_LOAD);
    fleet.tell_whole_list();
    fleet.schedule_clients(0, ROOM_AT - quiet, per_second);
    fleet.schedule_clients(ROOM_AT, END, per_second);
    fleet.run_until(ROOM_AT);
    // Else nothing is tested: answers said that all are full.
    let refused = |deeds: &Vec<(Micros, Deed)>| deeds.iter().any(|(_, deed)| *deed == Deed::Refused);
    let all_refused = fleet.deeds.iter().all(refused);
    fleet.backends.values_mut().for_each(|backend| backend.other_load = ROOM_LOAD);
    fleet.run_until(END);
    let longest = fleet.deeds.iter().map(|deeds| longest_of_refusals(deeds, ROOM_AT)).max();
    (longest.expect("some relays"), all_refused)
}

#[test]
fn no_relay_of_few_sessions_refuses_all_while_there_is_room() {
    let mut broken = Vec::new();
    for price in [0.002, 0.008] {
        for per_second in [1.0, 2.0, 5.0] {
            for quiet in [0, 15 * SECOND] {
                let plays: Vec<_> = (1..=SEEDS).map(|seed| play(seed, 6, price, per_second, quiet)).collect();
                let over = plays.iter().filter(|one| one.0 >= LONGEST).count();
                let most = plays.iter().map(|one| one.0).max().expect("some plays");
                let tested = plays.iter().filter(|one| one.1).count();
                let line = format!(
                    "probes at {price}, {per_second}/s, quiet for {} s: {over} of {SEEDS} over, {most} us at \
                     most; {tested} refused before",
                    quiet / SECOND
                );
                println!("{line}");
                broken.extend((over > 0).then_some(line));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
