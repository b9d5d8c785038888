//! Drains that are agreed, in virtual time, with voters killed, stalled and cut off: the count from outside,
//! and a relay that takes no notice of what is agreed, which that count is to see.
use hallrelay_balancer::types::Micros;
use hallrelay_config::node::Node;
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::service::Outs;
use hallrelay_lab::virt;
use hallrelay_recovery::StoredState;
use hallrelay_relay::reducer::{Effect, Event, LifecycleStatus, OperatorReply, OperatorRequest, Reducer};

fn day() -> Scenario {
    let text = include_str!("../../deploy/example/scenarios/relays-in-turn.toml");
    scenario::parse("relays-in-turn", text).expect("a scenario")
}

fn outs(seed: u64, maker: virt::StateMachineFactory) -> Outs {
    let outcome = virt::run(&day(), seed, maker, &mut |_| true).expect("a day");
    assert_eq!(outcome.breaches, [], "seed {seed}");
    outcome.outs.expect("relays were wanted out")
}

#[test]
fn one_is_out_at_a_time_and_each_has_its_turn() {
    for seed in 1..=3 {
        let outs = outs(seed, virt::reducers());
        assert_eq!((outs.over, outs.most_draining), (0, 1), "seed {seed}");
        assert!(outs.let_out >= 10 && outs.held > 50, "seed {seed}: {outs:?}");
    }
}

/// It says that it drains as it is asked, whatever the others agree on.
struct Headstrong(Reducer);

impl virt::StateMachine for Headstrong {
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
fn who_takes_no_notice_is_seen() {
    let maker =
        |node: Node| -> Box<dyn virt::StateMachine> { Box::new(Headstrong(Reducer::new(node, None))) };
    let outs = outs(1, Box::new(maker));
    assert!(outs.over > 0 && outs.most_draining > 6, "{outs:?}");
}
