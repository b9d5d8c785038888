//! Tests the audit with faulty relays. Each fault breaks one rule, and the audit must report this rule and
//! the session. With a correct relay, the same day must break no rule.
use hallrelay_balancer::types::{DialEnd, Micros, Phase};
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::{scenario_keys, virt};
use hallrelay_relay::reducer::{Effect, Event, Reducer};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq)]
enum RelayFault {
    None,
    /// Some sessions are never answered.
    NoAnswer,
    /// Rejections are sent twice.
    RejectsTwice,
    /// Sessions are dialled after they were rejected.
    DialsAfterRejection,
    /// A second dial starts while the first is in flight.
    ConcurrentDials,
    /// A dial that may have run is handled like one that never ran.
    IgnoresMayHaveRun,
    /// Draining and removed servers in the endpoint list are ignored.
    IgnoresDrains,
    /// The start of a server is ignored, and all sessions are dialled there.
    OverloadsColdServer,
    /// The relay stops without migrating its open sessions.
    DropsOpenSessions,
}

struct FaultyRelay {
    inner: Reducer,
    fault: RelayFault,
    cold_server: Option<SocketAddr>,
    last_dial: Option<SocketAddr>,
    /// Rejected sessions, and the times at which they will be dialled nevertheless.
    rejected: Vec<(Micros, u32)>,
}

impl FaultyRelay {
    fn event(&mut self, event: Event) -> Event {
        match (self.fault, event) {
            (
                RelayFault::IgnoresMayHaveRun,
                Event::DialEnded { session_id, dial, end: DialEnd::Error, report },
            ) => Event::DialEnded { session_id, dial, end: DialEnd::Unconnected, report },
            (RelayFault::IgnoresDrains, Event::EndpointListReceived { watch, mut list }) => {
                list.instances.retain(|instance| instance.phase == Phase::Ready);
                Event::EndpointListReceived { watch, list }
            }
            (RelayFault::OverloadsColdServer, Event::EndpointListReceived { watch, mut list }) => {
                for instance in list.instances.iter_mut().filter(|instance| instance.started_at > 0) {
                    instance.started_at = 0;
                    if instance.phase == Phase::Ready {
                        self.cold_server = Some(instance.addr);
                    }
                }
                Event::EndpointListReceived { watch, list }
            }
            (_, event) => event,
        }
    }

    fn effects(&mut self, now: Micros, effects: Vec<Effect>, out: &mut Vec<Effect>) {
        for effect in effects {
            match (self.fault, &effect) {
                (RelayFault::NoAnswer, Effect::Dial { session_id, .. } | Effect::TearDown { session_id })
                    if session_id % 10 == 0 => {}
                (RelayFault::RejectsTwice, Effect::Reject { .. }) => out.extend([effect.clone(), effect]),
                (RelayFault::DialsAfterRejection, Effect::Reject { session_id, .. }) => {
                    self.rejected.push((now + 200_000, *session_id));
                    out.push(effect);
                }
                (
                    RelayFault::ConcurrentDials,
                    Effect::Dial { session_id, dial, server, timeout, addr, start_within },
                ) => {
                    let second = Effect::Dial {
                        session_id: *session_id,
                        dial: dial + 1,
                        server: *server,
                        addr: *addr,
                        timeout: *timeout,
                        start_within: *start_within,
                    };
                    out.extend([effect, second]);
                }
                (
                    RelayFault::OverloadsColdServer,
                    Effect::Dial { session_id, dial, server, timeout, addr, start_within },
                ) => {
                    let addr = self.cold_server.unwrap_or(*addr);
                    out.push(Effect::Dial {
                        session_id: *session_id,
                        dial: *dial,
                        server: *server,
                        addr,
                        timeout: *timeout,
                        start_within: *start_within,
                    });
                }
                (RelayFault::DropsOpenSessions, Effect::Migrate { .. }) => {}
                (_, Effect::Dial { addr, .. }) => {
                    self.last_dial = Some(*addr);
                    out.push(effect);
                }
                _ => out.push(effect),
            }
        }
        let due = self.rejected.iter().position(|(at, _)| *at <= now);
        if let (Some(index), Some(addr)) = (due, self.last_dial) {
            let (_, session_id) = self.rejected.remove(index);
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

impl virt::StateMachine for FaultyRelay {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.inner.start(now, out);
    }

    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        let exits = event == Event::StopRequested && self.fault == RelayFault::DropsOpenSessions;
        let (event, mut effects) = (self.event(event), Vec::new());
        self.inner.step(now, event, &mut effects);
        self.effects(now, effects, out);
        if exits {
            out.push(Effect::Exit);
        }
    }
}

fn scenario(faults: &str, settings: &[(&str, &str)]) -> Scenario {
    let mut text = include_str!("troubles/base.toml").to_string() + faults;
    for (key, value) in settings {
        let values = scenario_keys::values(value).expect("parse the value");
        text = scenario_keys::set(&text, key, &values[0]).expect("set the key");
    }
    scenario::parse("double", &text).expect("parse the scenario")
}

fn play(scenario: &Scenario, fault: RelayFault) -> Outcome {
    let factory: virt::StateMachineFactory = Box::new(move |node| {
        Box::new(FaultyRelay {
            inner: Reducer::new(node, None),
            fault,
            cold_server: None,
            last_dial: None,
            rejected: vec![],
        })
    });
    virt::run(scenario, scenario.seed, factory, &mut |_| true).expect("play the scenario")
}

fn assert_breach(scenario: &Scenario, fault: RelayFault, rule: u8, details: &str) {
    let correct = play(scenario, RelayFault::None);
    assert_eq!(correct.breaches, [], "{fault:?}: breaches without the fault");
    let outcome = play(scenario, fault);
    assert!(outcome.breach_count > 0, "{fault:?}: no breach reported");
    let found = outcome.breaches.iter().find(|b| b.rule == rule && b.details.contains(details));
    let breach = found.unwrap_or_else(|| {
        panic!("{fault:?}: no breach of rule {rule} with '{details}' in {:?}", outcome.breaches)
    });
    if rule != 4 {
        assert_ne!(breach.session, "none", "{fault:?}: the breach names no session: {breach:?}");
        assert!(!breach.trace.is_empty(), "{fault:?}: the breach has no trace");
    }
}

const OVERLOAD: &str = "\n[[trouble]]\nkind = \"burst\"\nat_s = 3\nlength_s = 10\nstrength = 8\n";

#[test]
fn missing_answer_breaks_rule_1() {
    assert_breach(&scenario("", &[]), RelayFault::NoAnswer, 1, "no answer within the dial timeout");
}

#[test]
fn second_answer_breaks_rule_1() {
    assert_breach(&scenario(OVERLOAD, &[]), RelayFault::RejectsTwice, 1, "after the final answer");
}

#[test]
fn dial_after_rejection_breaks_rule_1() {
    assert_breach(
        &scenario(OVERLOAD, &[]),
        RelayFault::DialsAfterRejection,
        1,
        "after the session had ended",
    );
}

#[test]
fn dropped_open_sessions_break_rule_1() {
    let stop = "\n[[trouble]]\nkind = \"relay-stopped\"\nat_s = 8\nlength_s = 5\nshare = 0.5\n";
    assert_breach(&scenario(stop, &[]), RelayFault::DropsOpenSessions, 1, "connection ended without MOVE");
}

#[test]
fn concurrent_dials_break_rule_2() {
    assert_breach(&scenario("", &[]), RelayFault::ConcurrentDials, 2, "is in flight");
}

#[test]
fn repeated_once_only_session_breaks_rule_2() {
    let failing = "\n[[trouble]]\nkind = \"failing\"\nat_s = 3\nlength_s = 12\nshare = 0.5\nstrength = 0.8\n";
    let scenario = scenario(failing, &[("listener[1].repeat", "\"once-only\""), ("load.rate", "20")]);
    assert_breach(&scenario, RelayFault::IgnoresMayHaveRun, 2, "though the session may have run at");
}

#[test]
fn dial_to_draining_server_breaks_rule_3() {
    let drain = "\n[[trouble]]\nkind = \"drain\"\nat_s = 4\nlength_s = 12\nshare = 0.4\n";
    // The servers drain until the end of the day: otherwise there would be no draining server left to dial.
    let scenario = scenario(drain, &[("servers.drain_s", "15"), ("load.rate", "30")]);
    assert_breach(&scenario, RelayFault::IgnoresDrains, 3, "was notified of its drain");
}

#[test]
fn overloaded_cold_server_breaks_rule_4() {
    let crash = "\n[[trouble]]\nkind = \"crash\"\nat_s = 4\nlength_s = 2\nshare = 0.1\n";
    let reconnect = "\n[[trouble]]\nkind = \"reconnect\"\nat_s = 8\nshare = 0.9\nstrength = 1\n";
    let settings = [("servers.cold_s", "20"), ("servers.cap_per_core", "400"), ("load.standing", "200")];
    let scenario = scenario(&format!("{crash}{reconnect}"), &settings);
    assert_breach(&scenario, RelayFault::OverloadsColdServer, 4, "overloaded while warming up");
}
