//! The auditor against relays with a fault planted in them: each breaks one rule, and the auditor names that
//! rule and the session. The same day with an honest relay keeps all four.
use hallrelay_balancer::types::{DialEnd, Micros, Phase};
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::{scenario_keys, virt};
use hallrelay_relay::reducer::{Effect, Event, Reducer};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    None,
    /// Some sessions are never answered.
    Mute,
    /// A refusal is said twice.
    SaysTwice,
    /// Dials go on for sessions that were refused.
    DialsAfterEnd,
    /// A second dial while the first is out.
    TwoAtOnce,
    /// A dial that may have run is told as one that never ran.
    TakesRanForNever,
    /// What the list tells of drains and ends is not heard.
    DeafToDrains,
    /// A start is not heard as one, and all goes to the server that started.
    PushesTheCold,
    /// An open session is let go without a word as the relay stops.
    LeavesOpen,
}

struct Double {
    inner: Reducer,
    plant: Plant,
    cold: Option<SocketAddr>,
    last_dial: Option<SocketAddr>,
    /// Sessions that were refused, and when they will be dialled all the same.
    refused: Vec<(Micros, u32)>,
}

impl Double {
    fn event(&mut self, event: Event) -> Event {
        match (self.plant, event) {
            (Plant::TakesRanForNever, Event::DialEnded { session_id, dial, end: DialEnd::Error, report }) => {
                Event::DialEnded { session_id, dial, end: DialEnd::Unconnected, report }
            }
            (Plant::DeafToDrains, Event::EndpointListReceived { watch, mut list }) => {
                list.instances.retain(|one| one.phase == Phase::Ready);
                Event::EndpointListReceived { watch, list }
            }
            (Plant::PushesTheCold, Event::EndpointListReceived { watch, mut list }) => {
                for one in list.instances.iter_mut().filter(|one| one.started_at > 0) {
                    one.started_at = 0;
                    self.cold = Some(one.addr).filter(|_| one.phase == Phase::Ready).or(self.cold);
                }
                Event::EndpointListReceived { watch, list }
            }
            (_, event) => event,
        }
    }

    fn effects(&mut self, now: Micros, fresh: Vec<Effect>, out: &mut Vec<Effect>) {
        for effect in fresh {
            match (self.plant, &effect) {
                (Plant::Mute, Effect::Dial { session_id, .. } | Effect::TearDown { session_id })
                    if session_id % 10 == 0 => {}
                (Plant::SaysTwice, Effect::Reject { .. }) => out.extend([effect.clone(), effect]),
                (Plant::DialsAfterEnd, Effect::Reject { session_id, .. }) => {
                    self.refused.push((now + 200_000, *session_id));
                    out.push(effect);
                }
                (
                    Plant::TwoAtOnce,
                    Effect::Dial { session_id, dial, server, timeout: wait, addr, start_within: begin },
                ) => {
                    let second = Effect::Dial {
                        session_id: *session_id,
                        dial: dial + 1,
                        server: *server,
                        addr: *addr,
                        timeout: *wait,
                        start_within: *begin,
                    };
                    out.extend([effect, second]);
                }
                (
                    Plant::PushesTheCold,
                    Effect::Dial { session_id, dial, server, timeout: wait, addr, start_within: begin },
                ) => {
                    let addr = self.cold.unwrap_or(*addr);
                    out.push(Effect::Dial {
                        session_id: *session_id,
                        dial: *dial,
                        server: *server,
                        addr,
                        timeout: *wait,
                        start_within: *begin,
                    });
                }
                (Plant::LeavesOpen, Effect::Migrate { .. }) => {}
                (_, Effect::Dial { addr, .. }) => {
                    self.last_dial = Some(*addr);
                    out.push(effect);
                }
                _ => out.push(effect),
            }
        }
        let due = self.refused.iter().position(|(at, _)| *at <= now);
        if let (Some(at), Some(addr)) = (due, self.last_dial) {
            let (_, session_id) = self.refused.remove(at);
            out.push(Effect::Dial {
                server: None,
                session_id,
                dial: 0,
                addr,
                timeout: 300_000,
                start_within: 200_000,
            });
        }
    }
}

impl virt::StateMachine for Double {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.inner.start(now, out);
    }

    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        let stops = event == Event::StopRequested && self.plant == Plant::LeavesOpen;
        let (event, mut fresh) = (self.event(event), Vec::new());
        self.inner.step(now, event, &mut fresh);
        self.effects(now, fresh, out);
        if stops {
            out.push(Effect::Exit);
        }
    }
}

fn day(more: &str, sets: &[(&str, &str)]) -> Scenario {
    let mut text = include_str!("troubles/base.toml").to_string() + more;
    for (key, value) in sets {
        text = scenario_keys::set(&text, key, &scenario_keys::values(value).expect("a value")[0])
            .expect("a key");
    }
    scenario::parse("double", &text).expect("a sound scenario")
}

fn play(s: &Scenario, plant: Plant) -> Outcome {
    let make: virt::StateMachineFactory = Box::new(move |node| {
        Box::new(Double {
            inner: Reducer::new(node, None),
            plant,
            cold: None,
            last_dial: None,
            refused: vec![],
        })
    });
    virt::run(s, s.seed, make, &mut |_| true).expect("it plays")
}

fn broken_by(s: &Scenario, plant: Plant, rule: u8, what: &str) {
    let honest = play(s, Plant::None);
    assert_eq!(honest.breaches, [], "{plant:?}: the honest relay");
    let o = play(s, plant);
    assert!(o.breaches_in_all > 0, "{plant:?} was not caught");
    let found = o.breaches.iter().find(|b| b.rule == rule && b.details.contains(what));
    let b = found.unwrap_or_else(|| panic!("{plant:?}: no breach of {rule} '{what}' in {:?}", o.breaches));
    if rule != 4 {
        assert_ne!(b.session, "none");
        assert!(!b.trace.is_empty(), "{plant:?}: no lines are named");
    }
}

const CROWDED: &str = "\n[[trouble]]\nkind = \"burst\"\nat_s = 3\nlength_s = 10\nstrength = 8\n";

#[test]
fn rule_1_no_answer() {
    broken_by(&day("", &[]), Plant::Mute, 1, "no answer within the dial timeout");
}

#[test]
fn rule_1_a_second_answer() {
    broken_by(&day(CROWDED, &[]), Plant::SaysTwice, 1, "after the final answer");
}

#[test]
fn rule_1_dialled_after_the_end() {
    broken_by(&day(CROWDED, &[]), Plant::DialsAfterEnd, 1, "after it was over");
}

#[test]
fn rule_1_open_sessions_left() {
    let stop = "\n[[trouble]]\nkind = \"relay-stopped\"\nat_s = 8\nlength_s = 5\nshare = 0.5\n";
    broken_by(&day(stop, &[]), Plant::LeavesOpen, 1, "cut off without MOVE");
}

#[test]
fn rule_2_two_dials_at_once() {
    broken_by(&day("", &[]), Plant::TwoAtOnce, 2, "while a dial is out");
}

#[test]
fn rule_2_once_only_twice() {
    let failing = "\n[[trouble]]\nkind = \"failing\"\nat_s = 3\nlength_s = 12\nshare = 0.5\nstrength = 0.8\n";
    let s = day(failing, &[("listener[1].repeat", "\"once-only\""), ("load.rate", "20")]);
    broken_by(&s, Plant::TakesRanForNever, 2, "may have run before");
}

#[test]
fn rule_3_a_drain_unheard() {
    let drain = "\n[[trouble]]\nkind = \"drain\"\nat_s = 4\nlength_s = 12\nshare = 0.4\n";
    // Drains as long as the day, or there would be nobody to dial.
    let s = day(drain, &[("servers.drain_s", "15"), ("load.rate", "30")]);
    broken_by(&s, Plant::DeafToDrains, 3, "told to be shut");
}

#[test]
fn rule_4_a_cold_server_pushed_over() {
    let crash = "\n[[trouble]]\nkind = \"crash\"\nat_s = 4\nlength_s = 2\nshare = 0.1\n";
    let back = "\n[[trouble]]\nkind = \"reconnect\"\nat_s = 8\nshare = 0.9\nstrength = 1\n";
    let sets = [("servers.cold_s", "20"), ("servers.cap_per_core", "400"), ("load.standing", "200")];
    let s = day(&format!("{crash}{back}"), &sets);
    broken_by(&s, Plant::PushesTheCold, 4, "fell over");
}
