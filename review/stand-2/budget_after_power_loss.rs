//! All relays lose power at once, and one of them does not come back. Then another one is to be drained.
use crate::stand::*;

pub fn play() {
    let mut fleet = Fleet::start(4);
    fleet.wait_until_in_service(40_000);
    wait_ms(2_000);
    for relay in &fleet.relays {
        relay.signal("KILL");
    }
    wait_ms(2_000);
    // With the disruption, r3 does not come back.
    let back = if trouble() { 3 } else { 4 };
    for i in 0..back {
        fleet.relays[i] = fleet.configs[i].start();
    }
    let back = fleet.relays[..back].to_vec();
    wait_for("the relays that came back are ready", 20_000, || back.iter().all(Relay::is_ready));
    wait_for("they have a leader", 20_000, || fleet.leader().is_some());
    // Much longer than a failure takes to be observed.
    wait_ms(20_000);
    let leader = fleet.leader().unwrap_or_else(|| give_up("no leader"));
    note(format!("r{leader} leads and says: {}", fleet.relays[leader].grants()));
    let down: Vec<usize> = (0..4).filter(|i| fleet.relays[*i].has_ended()).collect();
    let answer = fleet.relays[1].post("/v1/relay/drain", "{\"by\":\"ann\",\"why\":\"new disks\"}");
    wait_ms(3_000);
    let mut out = Vec::new();
    for (i, relay) in fleet.relays.iter().enumerate() {
        let ready = if down.contains(&i) { None } else { relay.call("GET", "/v1/readyz", "") };
        let pong = ping(relay.listen);
        note(format!("r{i}: readyz {ready:?}, PING {pong}"));
        if pong != "PONG" {
            out.push(format!("r{i}"));
        }
    }
    note(format!("r{leader} says: {}", fleet.relays[leader].grants()));
    if !trouble() && answer.as_ref().is_none_or(|answer| answer.0 != 200) {
        give_up("the drain was not granted, although all relays are in service");
    }
    let mut broken = Vec::new();
    if out.len() > 1 {
        broken.push(format!("{} are out of service, where the budget allows one relay", out.join(" and ")));
    }
    verdict(&broken)
}
