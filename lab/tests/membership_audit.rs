//! Tests the membership audit with one faulty relay. The audit must report each fault as the right violation,
//! and nothing on the same day without the fault.
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::membership_audit::Violation;
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::{scenario_keys, virt};
use hallrelay_membership::message::{decode, encode, encode_update, MessageBody, MAX_DATAGRAM_BYTES};
use hallrelay_membership::{Effect as MembershipEffect, Event as MembershipEvent, MemberState};
use hallrelay_relay::reducer::{Effect, Event, Reducer, Timer};

#[derive(Clone, Copy, Debug, PartialEq)]
enum RelayFault {
    None,
    /// Ignores datagrams from relay 1, updates about it, and all answers.
    IgnoresOneRelay,
    /// Never suspects a member itself, and accepts only updates that a member is alive.
    IgnoresDeaths,
    /// Announces a later start time than its own.
    WrongStart,
    /// Announces that it leaves, but continues to run.
    FalseLeave,
    /// Receives nothing from other relays.
    ReceivesNothing,
}

/// A relay with a fault, which only relay 0 has.
struct FaultyRelay {
    inner: Reducer,
    fault: RelayFault,
    fleet: String,
}

const IGNORED_RELAY: &str = "relay-1";

impl FaultyRelay {
    /// The event as the relay receives it, or `None` if the fault suppresses it.
    fn event(&self, event: Event) -> Option<Event> {
        match (self.fault, event) {
            (
                RelayFault::ReceivesNothing,
                Event::Membership(
                    MembershipEvent::DatagramReceived { .. } | MembershipEvent::StreamResponse { .. },
                ),
            ) => None,
            (
                RelayFault::IgnoresOneRelay,
                Event::Membership(MembershipEvent::DatagramReceived { from, mut packet }),
            ) => {
                packet.updates.retain(|update| *update.name != *IGNORED_RELAY);
                // Answers may come from relays that probed relay 1 on behalf of this one.
                let is_answer = matches!(packet.body, MessageBody::Ack { .. });
                (*packet.sender.name != *IGNORED_RELAY && !is_answer)
                    .then_some(Event::Membership(MembershipEvent::DatagramReceived { from, packet }))
            }
            (
                RelayFault::IgnoresDeaths,
                Event::Membership(MembershipEvent::DatagramReceived { from, mut packet }),
            ) => {
                packet.updates.retain(|update| update.state == MemberState::Alive);
                Some(Event::Membership(MembershipEvent::DatagramReceived { from, packet }))
            }
            (
                RelayFault::IgnoresDeaths,
                Event::Membership(MembershipEvent::StreamResponse { .. }) | Event::Timer(Timer::Membership),
            ) => None,
            (_, event) => Some(event),
        }
    }

    fn effect(&self, effect: Effect) -> Effect {
        let Effect::Membership(MembershipEffect::SendDatagram { to, bytes }) = effect else { return effect };
        let mut packet =
            decode(&self.fleet, &bytes, MAX_DATAGRAM_BYTES).expect("decode a packet of the relay itself");
        match self.fault {
            RelayFault::WrongStart => packet.sender.incarnation.start += 1_000_000_000,
            RelayFault::FalseLeave => packet.sender.state = MemberState::Left,
            _ => return Effect::Membership(MembershipEffect::SendDatagram { to, bytes }),
        }
        let updates: Vec<Vec<u8>> = packet.updates.iter().map(encode_update).collect();
        let updates = updates.iter().map(Vec::as_slice);
        let encoded = encode(&packet.fleet, &packet.sender, packet.body, updates, MAX_DATAGRAM_BYTES);
        let bytes = encoded.bytes;
        Effect::Membership(MembershipEffect::SendDatagram { to, bytes })
    }
}

impl virt::StateMachine for FaultyRelay {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let mut effects = Vec::new();
        self.inner.start(now, &mut effects);
        out.extend(effects.into_iter().map(|effect| self.effect(effect)));
    }

    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        let Some(event) = self.event(event) else { return };
        let mut effects = Vec::new();
        self.inner.step(now, event, &mut effects);
        out.extend(effects.into_iter().map(|effect| self.effect(effect)));
    }
}

fn scenario(faults: &str) -> Scenario {
    let mut text = include_str!("troubles/base.toml").to_string() + faults;
    for (key, value) in [("relays.fleet", "true"), ("relays.count", "5"), ("length_s", "60")] {
        let values = scenario_keys::values(value).expect("parse the value");
        text = scenario_keys::set(&text, key, &values[0]).expect("set the key");
    }
    scenario::parse("double", &text).expect("parse the scenario")
}

fn play(scenario: &Scenario, fault: RelayFault) -> Outcome {
    let factory: virt::StateMachineFactory = Box::new(move |node| {
        let fault = if node.name == "relay-0" { fault } else { RelayFault::None };
        let fleet = node.fleet.as_ref().expect("the relay has membership").name.clone();
        Box::new(FaultyRelay { inner: Reducer::new(node, None), fault, fleet })
    });
    virt::run(scenario, scenario.seed, factory, &mut |_| true).expect("play the scenario")
}

fn assert_finding(scenario: &Scenario, fault: RelayFault, violation: Violation, details: &str) {
    let correct = play(scenario, RelayFault::None).membership.expect("the outcome has membership");
    assert_eq!(correct.findings, [], "{fault:?}: findings without the fault");
    let faulty = play(scenario, fault).membership.expect("the outcome has membership");
    let found = faulty.findings.iter().find(|f| f.violation == violation && f.details.contains(details));
    assert!(found.is_some(), "{fault:?}: no {violation:?} with '{details}' in {:?}", faulty.findings);
}

const KILLED: &str = "\n[[trouble]]\nkind = \"relay-killed\"\nat_s = 5\nlength_s = 50\nrelays = [3]\n";

#[test]
fn false_death_is_reported() {
    let details = "considered dead, but was neither stopped nor cut off";
    assert_finding(&scenario(""), RelayFault::IgnoresOneRelay, Violation::FalselyDead, details);
}

#[test]
fn undetected_death_is_reported() {
    let details = "failure not detected within 20 s";
    assert_finding(&scenario(KILLED), RelayFault::IgnoresDeaths, Violation::NeverDetected, details);
}

#[test]
fn wrong_start_number_is_reported() {
    let details = "never had the start number";
    assert_finding(&scenario(""), RelayFault::WrongStart, Violation::NeverTrue, details);
}

#[test]
fn false_leave_is_reported() {
    let details = "considered departed, but was never requested to stop";
    assert_finding(&scenario(""), RelayFault::FalseLeave, Violation::NeverTrue, details);
}

#[test]
fn false_partition_is_reported() {
    let details = "reports only 1 of 5 relays as reachable";
    assert_finding(&scenario(""), RelayFault::ReceivesNothing, Violation::NotPartitioned, details);
}
