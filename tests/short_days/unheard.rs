//! A relay that may not probe knows loads from refusals alone: once all backends have refused for being full,
//! it must find out that they have room again.
use crate::fleet::{two_listeners, MILLISECOND, SECOND};
use hallrelay_balancer::types::*;
use hallrelay_balancer::Balancer;

const BACKENDS: u32 = 6;
/// Clients come so often.
const EVERY: Micros = 200 * MILLISECOND;
/// Till then all backends say that they are full; from then on they take sessions.
const ROOM_AT: Micros = 20 * SECOND;
const END: Micros = 40 * SECOND;
/// A relay may not turn away all sessions for so long.
const LONGEST: Micros = 4 * SECOND;

fn relay() -> Balancer {
    Balancer::new(SiteConfig { may_probe: false, ..two_listeners(6) }, 7)
}

/// Gives an input and answers each dial at once; whether there was any.
fn dials(relay: &mut Balancer, now: Micros, input: Input) -> bool {
    let (mut inputs, mut dialled, mut dials_of_session) = (vec![input], false, 0);
    while let Some(input) = inputs.pop() {
        let mut effects = Vec::new();
        relay.step(now, input, &mut effects);
        for effect in effects {
            let Effect::Dial { session: sess, .. } = effect else { continue };
            dialled = true;
            let full = now < ROOM_AT;
            let report = LoadReport { load: Some(if full { 0.97 } else { 0.2 }), ..LoadReport::default() };
            let end = if full { DialEnd::Full } else { DialEnd::Ok };
            let dial = dials_of_session;
            dials_of_session += 1;
            inputs.push(Input::DialEnded { session: sess, dial, end, settled: !full, report: Some(report) });
        }
    }
    dialled
}

#[test]
fn a_relay_without_probes_finds_out_that_backends_have_room_again() {
    let mut relay = relay();
    let endpoint = |server| Endpoint { server, phase: Phase::Ready, ..Endpoint::default() };
    let endpoints = (1..=BACKENDS).map(endpoint).collect();
    dials(&mut relay, 0, Input::EndpointList { update: ListUpdate::Snapshot, endpoints });
    let (mut last_dial, mut longest, mut refused_before, mut refused) = (ROOM_AT, 0, 0, 0);
    for (sess, now) in (0..END).step_by(EVERY as usize).enumerate() {
        let request =
            AdmissionRequest { listener: sess % 2, time_remaining: SECOND, ..AdmissionRequest::default() };
        let dialled = dials(&mut relay, now, Input::SessionRequested { session: sess as SessionId, request });
        match (now < ROOM_AT, dialled) {
            (true, dialled) => refused_before += u32::from(!dialled),
            (false, true) => last_dial = now,
            (false, false) => refused += 1,
        }
        longest = longest.max(now.saturating_sub(last_dial));
    }
    assert!(refused_before > 0, "else nothing is tested: it never refuses");
    println!("{refused} refused without a dial, for {longest} us on end at most");
    assert!(longest < LONGEST, "{refused} refused without a dial, for {longest} us on end");
}
