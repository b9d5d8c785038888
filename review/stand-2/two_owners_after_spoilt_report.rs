//! A backend answers probes with a count of sessions that has run below zero; then the relay is replaced by a new
//! process. This is played with some relays, one after another.
use crate::stand::*;
use std::thread::spawn;

/// How many relays, one after another, are replaced.
const ROUNDS: usize = 4;

/// Sends a line each 300 ms until `until`. Returns how the session was lost, if it was: cut off without `MOVE`, or
/// without an answer to a line for 7 s.
fn hold(mut client: Client, until: u64) -> Option<String> {
    client.set_read_timeout(7_000);
    let mut count = 0;
    while now() < until {
        count += 1;
        let line = format!("M {count}");
        client.send(&line);
        let answer = client.receive();
        if answer == "MOVE" {
            note(format!("session {:016x}: MOVE", client.id));
            return None;
        }
        if answer != line {
            note(format!("session {:016x}: sent {line}, then {answer}", client.id));
            return Some(answer);
        }
        wait_ms(300);
    }
    note(format!("session {:016x}: {count} lines sent and answered", client.id));
    None
}

pub fn play() {
    let backends: Vec<Backend> =
        (0..8).map(|i| Backend::start(&format!("b-{i}"), &POINTE_A_PIERRE)).collect();
    let entries: Vec<(String, String)> =
        backends.iter().map(|backend| (backend.name.clone(), backend.entry("up"))).collect();
    let discovery = Discovery::start("discovery", 41, entries.clone());
    let known: Vec<String> = entries.into_iter().map(|(_, text)| text).collect();
    if trouble() {
        backends[2].set_report("inflight=4294967295,x0=0.1,x1=0");
    }
    let mut broken = Vec::new();
    for round in 1..=ROUNDS {
        let config = RelayConfig::new(&format!("n{round}"), discovery.address, (41, known.clone()));
        let old = config.start();
        wait_for("the relay is ready", 10_000, || old.is_ready());
        // The relay probes its backends while clients come.
        traffic(old.listen, "nomination", now() + 4_000, 40);
        // Sessions that are open as the relay is replaced.
        let until = now() + 3_500;
        let open: Vec<Client> = (0..8).filter_map(|_| Client::open(old.listen, "nomination").0).collect();
        let held: Vec<_> = open.into_iter().map(|client| spawn(move || hold(client, until))).collect();
        let count = held.len();
        if count == 0 {
            give_up("no session was open");
        }
        wait_ms(500);
        note(format!("relay {round}, replaced with {count} sessions open"));
        let new = config.start();
        wait_for("the new process is ready", 6_000, || new.is_ready());
        wait_ms(1_500);
        let states = [&old, &new].map(|relay| relay.call("GET", "/v1/readyz", ""));
        note(format!(
            "1.5 s later, readyz of the old process: {:?}, of the new one: {:?}",
            states[0], states[1]
        ));
        if states.iter().flatten().filter(|answer| answer.0 == 200).count() > 1 {
            broken.push(format!(
                "relay {round}: both processes say that they serve, 1.5 s after the new one's yes"
            ));
        }
        let lost = held.into_iter().filter_map(|held| held.join().ok().flatten()).count();
        if lost > 0 {
            broken.push(format!(
                "relay {round}: {lost} of {count} open sessions were cut off without MOVE, at sound backends"
            ));
        }
        old.signal("KILL");
        new.signal("KILL");
    }
    verdict(&broken)
}
