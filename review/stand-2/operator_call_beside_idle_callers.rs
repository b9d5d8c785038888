//! An operator's request waits for its lease, while other callers connect to the operators' address and send
//! nothing.
use crate::stand::*;
use std::net::TcpStream;

pub fn play() {
    let fleet = Fleet::start(3);
    fleet.wait_until_in_service(40_000);
    let body = "{\"by\":\"ann\",\"why\":\"new disks\"}";
    if fleet.relays[1].post("/v1/relay/drain", body).is_none_or(|answer| answer.0 != 200) {
        give_up("the first drain was not granted");
    }
    wait_ms(1_000);
    let mut broken = Vec::new();
    for round in 0..3 {
        let asking = fleet.relays[2].clone();
        let call = std::thread::spawn(move || asking.post("/v1/relay/drain", body));
        wait_ms(200);
        let mut idle = Vec::new();
        if trouble() {
            note("16 callers connect to r2's operators' address and send nothing");
            idle = (0..16).filter_map(|_| TcpStream::connect(fleet.relays[2].operator).ok()).collect();
        }
        let answer = call.join().ok().flatten();
        if answer.is_none() {
            broken.push(format!("round {round}: the operator's complete call was closed with no answer"));
        }
        wait_ms(1_000);
        drop(idle);
        wait_ms(500);
    }
    verdict(&broken)
}
