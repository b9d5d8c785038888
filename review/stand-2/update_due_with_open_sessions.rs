//! A release takes a backend out of service while a relay that has sessions there is stalled for some seconds.
use crate::stand::*;

/// How long the relay is stalled, in ms.
const STALL: u64 = 6_000;

pub fn play() {
    let fleet = Fleet::start(3);
    fleet.wait_until_in_service(40_000);
    let leader = fleet.leader().unwrap_or_else(|| give_up("no leader"));
    let stalled = &fleet.relays[(leader + 1) % 3];
    let backend = &fleet.backends[1];
    // Sessions of that relay at b-1; those at other backends end at once.
    let mut open = Vec::new();
    for _ in 0..60 {
        if let (Some(client), answer) = Client::open(stalled.listen, "nomination") {
            if answer.starts_with("UP b-1-") {
                open.push(client);
            }
        }
        wait_ms(20);
    }
    note(format!("{} has {} open sessions at b-1", stalled.name, open.len()));
    if backend.connected() == 0 {
        give_up("no session at b-1");
    }
    wait_ms(1_000);
    if trouble() {
        stalled.signal("STOP");
    }
    let plan = "{\"build\":\"2.0\",\"of\":\"Server\",\"by\":\"ann\",\"judge\":{\"sessions\":10,\"worse\":20000,\
                \"within_s\":600},\"waves\":[{\"names\":[\"b-1\"],\"count\":0,\"part\":0}]}";
    let started = fleet.relays[leader].post("/v1/release/start", plan);
    if started.is_none_or(|answer| answer.0 != 200) {
        give_up("the release was not started");
    }
    let until = now() + STALL;
    let mut broken = Vec::new();
    let mut due_at = None;
    while now() < until || (!trouble() && due_at.is_none() && now() < until + 20_000) {
        let status = fleet.relays[leader].call("GET", "/v1/release", "").map_or(String::new(), |answer| answer.1);
        let due = status.split("\"due\":").nth(1).unwrap_or("").to_string();
        let sessions = backend.connected();
        if due.contains("\"b-1\"") && due_at.is_none() {
            due_at = Some(now());
            note(format!("release status: {status}"));
            note(format!("b-1 is due to be updated, and has {sessions} open sessions"));
            if sessions > 0 {
                broken.push(format!("b-1 is due for its update while {sessions} sessions are open there"));
            }
        }
        wait_ms(50);
    }
    if trouble() {
        stalled.signal("CONT");
    } else if due_at.is_none() {
        give_up("b-1 never became due");
    }
    for client in &mut open {
        client.set_read_timeout(5_000);
        let line = client.receive();
        note(format!("session {:016x}: {line}", client.id));
    }
    verdict(&broken)
}
