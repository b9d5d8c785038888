//! Lists are pushed. A relay is killed; while it is away a backend begins to drain; and as the relay is back,
//! discovery has too many callers for four seconds.
use crate::stand::*;

/// After this time, in ms, nothing new may go to a backend that drains.
const GRACE: u64 = OEFEN_LIVE_NL.drain_grace + SLACK;
/// For how long discovery turns calls away, in ms.
const CROWDED: u64 = 4_000;

pub fn play() {
    let backends: Vec<Backend> = (0..3).map(|i| Backend::start(&format!("b-{i}"), &OEFEN_LIVE_NL)).collect();
    let entries: Vec<(String, String)> =
        backends.iter().map(|backend| (backend.name.clone(), backend.entry("up"))).collect();
    let discovery = Discovery::start("discovery", 41, entries.clone());
    let known = entries.into_iter().map(|(_, text)| text).collect();
    let mut config = RelayConfig::new("n3", discovery.address, (41, known));
    config.site = &OEFEN_LIVE_NL;
    let first = config.start();
    wait_for("the relay is ready", 10_000, || first.is_ready());
    traffic(first.listen, "patient-feed", now() + 1_000, 40);
    first.signal("KILL");
    discovery.change("b-1", &backends[1].entry("draining"));
    wait_ms(1_000);
    if trouble() {
        discovery.set_crowded(true);
    }
    let started_at = now();
    let second = config.start();
    wait_for("the relay is back", 10_000, || second.is_ready());
    let ready_at = now();
    traffic(second.listen, "patient-feed", started_at + CROWDED, 20);
    discovery.set_crowded(false);
    wait_ms(1_500);
    let later = now();
    traffic(second.listen, "patient-feed", now() + 1_000, 20);
    note(format!("after discovery answered, {} sessions went to b-1", backends[1].opened_since(later)));
    let sent = backends[1].opened_since(ready_at + GRACE);
    note(format!("sessions at b-1 more than {GRACE} ms after the new process said that it is ready: {sent}"));
    if backends[0].opened_since(ready_at) + backends[2].opened_since(ready_at) == 0 {
        give_up("the new process placed no session");
    }
    let mut broken = Vec::new();
    if sent > 0 {
        broken.push(format!(
            "{sent} new sessions were sent to b-1 more than {GRACE} ms after the new process was up"
        ));
    }
    verdict(&broken)
}
