//! Drains of relays in virtual time. The voters, which are relays themselves, must agree on each drain while
//! some of them are killed, stalled and cut off. The laboratory counts draining relays independently of the
//! relays. This count must also detect a relay that drains without the agreement of the others.
use hallrelay_balancer::types::Micros;
use hallrelay_config::node::Node;
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::service::LeaseFigures;
use hallrelay_lab::virt;
use hallrelay_recovery::StoredState;
use hallrelay_relay::reducer::{Effect, Event, LifecycleStatus, OperatorReply, OperatorRequest, Reducer};

fn parse_scenario() -> Scenario {
    let text = include_str!("../../deploy/example/scenarios/relays-in-turn.toml");
    scenario::parse("relays-in-turn", text).expect("parse the scenario")
}

fn count_drains(seed: u64, factory: virt::StateMachineFactory) -> LeaseFigures {
    let outcome = virt::run(&parse_scenario(), seed, factory, &mut |_| true).expect("play the scenario");
    assert_eq!(outcome.breaches, [], "seed {seed}");
    outcome.outs.expect("the scenario requests drains")
}

#[test]
fn relays_drain_one_at_a_time() {
    for seed in 1..=3 {
        let drains = count_drains(seed, virt::reducers());
        assert_eq!((drains.over, drains.max_draining), (0, 1), "seed {seed}: {drains:?}");
        assert!(drains.granted >= 10 && drains.deferred > 50, "seed {seed}: {drains:?}");
    }
}

/// Accepts every request for a drain without asking the other relays.
struct UnilateralDrain(Reducer);

impl virt::StateMachine for UnilateralDrain {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.0.start(now, out);
    }

    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        if let Event::OperatorCall { call, request: OperatorRequest::Drain(_) } = event {
            return out
                .push(Effect::Reply { call, reply: OperatorReply::Accepted(LifecycleStatus::Draining) });
        }
        self.0.step(now, event, out);
    }

    fn load_state(&mut self, stored: StoredState) {
        self.0.load_state(stored);
    }
}

#[test]
fn drains_without_agreement_exceed_the_limit() {
    let factory =
        |node: Node| -> Box<dyn virt::StateMachine> { Box::new(UnilateralDrain(Reducer::new(node, None))) };
    let drains = count_drains(1, Box::new(factory));
    assert!(drains.over > 0 && drains.max_draining > 6, "{drains:?}");
}
