//! A backend that operators drained for the whole fleet while a relay was being replaced; then the new process
//! of that relay is killed, and the old one serves again.
use crate::stand::*;

pub fn play() {
    let fleet = Fleet::start(3);
    fleet.wait_until_in_service(40_000);
    let old = fleet.relays[2].clone();

    // The relay r2 is replaced, as docs/operations.md describes it.
    let new = fleet.configs[2].start();
    wait_for("the new process of r2 is ready", 6_000, || new.is_ready());

    // An operator drains a backend for the fleet.
    let body = "{\"backend\":\"b-1\",\"by\":\"ann\",\"why\":\"new disks\"}";
    let granted = (0..20).any(|_| {
        let answer = fleet.relays[0].post("/v1/backend/drain", body);
        answer.is_some_and(|(status, _)| status == 200) || {
            wait_ms(500);
            false
        }
    });
    if !granted {
        give_up("the drain of b-1 was not granted");
    }
    let drained_at = now();
    wait_ms(2_000);

    // All relays heed the drain, also the new process of r2.
    let checked_from = now();
    traffic(old.listen, "nomination", now() + 3_000, 60);
    traffic(fleet.relays[0].listen, "nomination", now() + 2_000, 60);
    if fleet.backends[1].opened_since(checked_from) > 0 {
        verdict(&["a session was sent to b-1, although the drain was over a second old".to_string()]);
    }

    if trouble() {
        new.signal("KILL");
        wait_for("the old process of r2 accepts connections again", 5_000, || old.is_ready());
        wait_ms(5_000);
    }
    let from = now();
    note(format!("clients come to r2, {} ms after the drain", from - drained_at));
    traffic(old.listen, "nomination", now() + 10_000, 60);
    let of = |i: usize| fleet.backends[i].opened_since(from);
    note(format!("sessions sent by r2: {} to b-0, {} to b-1, {} to b-2", of(0), of(1), of(2)));
    note(format!("r0 says: {}", fleet.relays[0].grants()));
    if of(0) + of(2) == 0 {
        give_up("r2 placed no session");
    }
    let mut broken = Vec::new();
    if of(1) > 0 {
        let late = from - drained_at;
        broken.push(format!("r2 sent {} new sessions to b-1, from {late} ms after its drain on", of(1)));
    }
    verdict(&broken)
}
