//! A relay that discovery told of a drain is given another address of discovery, which is down, and is then
//! replaced by a new process.
use crate::stand::*;

/// Discovery is away for this long, in ms.
const OUTAGE: u64 = 8_000;

pub fn play() {
    let backends: Vec<Backend> =
        (0..3).map(|i| Backend::start(&format!("b-{i}"), &POINTE_A_PIERRE)).collect();
    let entries =
        || backends.iter().map(|backend| (backend.name.clone(), backend.entry("up"))).collect::<Vec<_>>();
    let first = Discovery::start("discovery, first address", 41, entries());
    let second = Discovery::start("discovery, second address", 41, entries());
    let known = entries().into_iter().map(|(_, text)| text).collect();
    let mut config = RelayConfig::new("n3", first.address, (41, known));
    let old = config.start();
    wait_for("the relay is ready", 10_000, || old.is_ready());
    wait_ms(1_000);

    // Discovery tells the relay that b-1 drains.
    for discovery in [&first, &second] {
        discovery.change("b-1", &backends[1].entry("draining"));
    }
    wait_ms(1_000);
    let told_at = now();
    traffic(old.listen, "nomination", now() + 1_500, 40);
    if backends[1].opened_since(told_at) > 0 {
        verdict(&["a session was sent to b-1 a second after discovery had told that it drains".to_string()]);
    }

    // A new configuration moves discovery to its second address. The service is down for 8 s.
    if trouble() {
        second.set_up(false);
        first.set_up(false);
    }
    let down_at = now();
    config.discovery = second.address;
    config.write();
    old.signal("HUP");
    wait_ms(500);
    traffic(old.listen, "nomination", now() + 500, 40);
    let before = backends[1].opened_since(told_at);
    note(format!("sent to b-1 by the old process after the drain: {before}"));

    // The relay is replaced, with the same file.
    let new = config.start();
    wait_for("the new process is ready", 6_000, || new.is_ready());
    let replaced_at = now();
    wait_ms(500);
    old.signal("TERM");
    let checked_from = now();
    if checked_from + 1_000 > down_at + OUTAGE {
        give_up("the new process was ready too late");
    }
    traffic(new.listen, "nomination", down_at + OUTAGE - 500, 40);
    let of = |i: usize| backends[i].opened_since(checked_from);
    note(format!("during the outage the new process sent {}, {}, {} sessions", of(0), of(1), of(2)));
    let (sent, others) = (of(1), of(0) + of(2));
    if trouble() {
        wait_ms((down_at + OUTAGE).saturating_sub(now()));
        second.set_up(true);
        wait_ms(7_000);
        let later = now();
        traffic(new.listen, "nomination", now() + 1_000, 40);
        note(format!("after the outage it sent {} sessions to b-1", backends[1].opened_since(later)));
    }
    if others == 0 {
        give_up("the new process placed no session");
    }
    let mut broken = Vec::new();
    if before + sent > 0 {
        let late = replaced_at - told_at;
        broken.push(format!(
            "{} new sessions were sent to b-1, {late} ms and more after discovery had told that it drains",
            before + sent
        ));
    }
    verdict(&broken)
}
