//! The membership audit against relays with a fault planted in them: each fault is found and named, and the
//! same day with honest relays finds nothing.
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::membership_audit::Violation;
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::{scenario_keys, virt};
use hallrelay_membership::message::{decode, encode, encode_update, MessageBody, MAX_DATAGRAM_BYTES};
use hallrelay_membership::{Effect as MembershipEffect, Event as MembershipEvent, MemberState};
use hallrelay_relay::reducer::{Effect, Event, Reducer, Timer};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    None,
    /// Hears neither relay 1 nor what others say of it, and no answers.
    DeafToOne,
    /// Concludes nothing, and takes no bad news from others.
    Credulous,
    /// Says that it started later than it did.
    WrongStart,
    /// Says that it leaves, and does not.
    SaysItLeaves,
    /// Hears nobody.
    Deaf,
}

/// Relay 0 has the fault.
struct Double {
    inner: Reducer,
    plant: Plant,
    fleet: String,
}

const ONE: &str = "relay-1";

impl Double {
    /// What of an event comes through.
    fn event(&self, event: Event) -> Option<Event> {
        match (self.plant, event) {
            (
                Plant::Deaf,
                Event::Membership(
                    MembershipEvent::DatagramReceived { .. } | MembershipEvent::StreamResponse { .. },
                ),
            ) => None,
            (Plant::DeafToOne, Event::Membership(MembershipEvent::DatagramReceived { from, mut packet })) => {
                packet.updates.retain(|update| *update.name != *ONE);
                // Others answer for it.
                let answers = matches!(packet.body, MessageBody::Ack { .. });
                (*packet.sender.name != *ONE && !answers)
                    .then_some(Event::Membership(MembershipEvent::DatagramReceived { from, packet }))
            }
            (Plant::Credulous, Event::Membership(MembershipEvent::DatagramReceived { from, mut packet })) => {
                packet.updates.retain(|update| update.state == MemberState::Alive);
                Some(Event::Membership(MembershipEvent::DatagramReceived { from, packet }))
            }
            (
                Plant::Credulous,
                Event::Membership(MembershipEvent::StreamResponse { .. }) | Event::Timer(Timer::Membership),
            ) => None,
            (_, event) => Some(event),
        }
    }

    fn effect(&self, effect: Effect) -> Effect {
        let Effect::Membership(MembershipEffect::SendDatagram { to, bytes }) = effect else { return effect };
        let mut packet = decode(&self.fleet, &bytes, MAX_DATAGRAM_BYTES).expect("its own");
        match self.plant {
            Plant::WrongStart => packet.sender.incarnation.start += 1_000_000_000,
            Plant::SaysItLeaves => packet.sender.state = MemberState::Left,
            _ => return Effect::Membership(MembershipEffect::SendDatagram { to, bytes }),
        }
        let updates: Vec<Vec<u8>> = packet.updates.iter().map(encode_update).collect();
        let updates = updates.iter().map(Vec::as_slice);
        let encoded = encode(&packet.fleet, &packet.sender, packet.body, updates, MAX_DATAGRAM_BYTES);
        let bytes = encoded.bytes;
        Effect::Membership(MembershipEffect::SendDatagram { to, bytes })
    }
}

impl virt::StateMachine for Double {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let mut fresh = Vec::new();
        self.inner.start(now, &mut fresh);
        out.extend(fresh.into_iter().map(|effect| self.effect(effect)));
    }

    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        let Some(event) = self.event(event) else { return };
        let mut fresh = Vec::new();
        self.inner.step(now, event, &mut fresh);
        out.extend(fresh.into_iter().map(|effect| self.effect(effect)));
    }
}

fn day(more: &str) -> Scenario {
    let mut text = include_str!("troubles/base.toml").to_string() + more;
    for (key, value) in [("relays.fleet", "true"), ("relays.count", "5"), ("length_s", "60")] {
        text = scenario_keys::set(&text, key, &scenario_keys::values(value).expect("a value")[0])
            .expect("a key");
    }
    scenario::parse("double", &text).expect("a sound scenario")
}

fn play(s: &Scenario, plant: Plant) -> Outcome {
    let make: virt::StateMachineFactory = Box::new(move |node| {
        let plant = if node.name == "relay-0" { plant } else { Plant::None };
        let fleet = node.fleet.as_ref().expect("they know each other").name.clone();
        Box::new(Double { inner: Reducer::new(node, None), plant, fleet })
    });
    virt::run(s, s.seed, make, &mut |_| true).expect("it plays")
}

fn found_by(s: &Scenario, plant: Plant, violation: Violation, what: &str) {
    let honest = play(s, Plant::None).membership.expect("an audit");
    assert_eq!(honest.findings, [], "{plant:?}: the honest relays");
    let faulty = play(s, plant).membership.expect("an audit");
    let found = faulty.findings.iter().find(|f| f.violation == violation && f.details.contains(what));
    assert!(found.is_some(), "{plant:?}: no {violation:?} '{what}' in {:?}", faulty.findings);
}

const KILLED: &str = "\n[[trouble]]\nkind = \"relay-killed\"\nat_s = 5\nlength_s = 50\nrelays = [3]\n";

#[test]
fn who_calls_one_gone_that_is_there() {
    found_by(&day(""), Plant::DeafToOne, Violation::FalselyDead, "neither stopped nor cut off");
}

#[test]
fn who_never_learns_of_a_death() {
    found_by(&day(KILLED), Plant::Credulous, Violation::NeverDetected, "has been dead for 20 s");
}

#[test]
fn who_says_a_start_that_never_was() {
    found_by(&day(""), Plant::WrongStart, Violation::NeverTrue, "never had the start number");
}

#[test]
fn who_says_that_it_leaves_and_stays() {
    found_by(&day(""), Plant::SaysItLeaves, Violation::NeverTrue, "was never told to stop");
}

#[test]
fn who_calls_itself_cut_off_and_is_not() {
    found_by(&day(""), Plant::Deaf, Violation::NotPartitioned, "hears 1 of 5");
}
