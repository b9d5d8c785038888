//! A relay that may not probe gets the loads of full backends only from their rejections of its dials. After
//! all backends rejected its dials as full, the relay must detect that they have capacity again.
use crate::fleet::{two_listeners, MILLISECOND, SECOND};
use hallrelay_balancer::types::*;
use hallrelay_balancer::Balancer;

const BACKENDS: u32 = 6;
/// Time between the requests of two clients.
const CLIENT_INTERVAL: Micros = 200 * MILLISECOND;
/// Time until which all backends reject dials as full. From then on they accept sessions.
const CAPACITY_AT: Micros = 20 * SECOND;
const END: Micros = 40 * SECOND;
/// Time for which the relay must not reject all sessions.
const MAX_REJECTING: Micros = 4 * SECOND;

fn relay() -> Balancer {
    Balancer::new(SiteConfig { may_probe: false, ..two_listeners(6) }, 7)
}

/// Passes an input to the relay, and answers each of its dials immediately. Returns whether the relay
/// dialled.
fn step_and_answer(relay: &mut Balancer, now: Micros, input: Input) -> bool {
    let (mut inputs, mut dialled, mut dials_of_session) = (vec![input], false, 0);
    while let Some(input) = inputs.pop() {
        let mut effects = Vec::new();
        relay.step(now, input, &mut effects);
        for effect in effects {
            let Effect::Dial { session, .. } = effect else { continue };
            dialled = true;
            let full = now < CAPACITY_AT;
            let report = LoadReport { load: Some(if full { 0.97 } else { 0.2 }), ..LoadReport::default() };
            let end = if full { DialEnd::Full } else { DialEnd::Ok };
            let dial = dials_of_session;
            dials_of_session += 1;
            inputs.push(Input::DialEnded { session, dial, end, settled: !full, report: Some(report) });
        }
    }
    dialled
}

#[test]
fn relay_without_probes_detects_capacity_of_rejecting_backends() {
    let mut relay = relay();
    let endpoint = |server| Endpoint { server, phase: Phase::Ready, ..Endpoint::default() };
    let endpoints = (1..=BACKENDS).map(endpoint).collect();
    step_and_answer(&mut relay, 0, Input::EndpointList { update: ListUpdate::Snapshot, endpoints });
    let (mut last_dial, mut longest, mut rejected_before, mut rejected) = (CAPACITY_AT, 0, 0, 0);
    for (session, now) in (0..END).step_by(CLIENT_INTERVAL as usize).enumerate() {
        let request =
            AdmissionRequest { listener: session % 2, time_remaining: SECOND, ..AdmissionRequest::default() };
        let dialled = step_and_answer(
            &mut relay,
            now,
            Input::SessionRequested { session: session as SessionId, request },
        );
        match (now < CAPACITY_AT, dialled) {
            (true, dialled) => rejected_before += u32::from(!dialled),
            (false, true) => last_dial = now,
            (false, false) => rejected += 1,
        }
        longest = longest.max(now.saturating_sub(last_dial));
    }
    assert!(rejected_before > 0, "the relay must reject sessions while all backends are full");
    println!("{rejected} sessions rejected without a dial, for at most {longest} us in a row");
    assert!(
        longest < MAX_REJECTING,
        "{rejected} sessions rejected without a dial, for {longest} us in a row"
    );
}
