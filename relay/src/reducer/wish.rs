//! What operators ask of what is agreed: to be out, to be back, to be freed. A wish is asked of the leader
//! till it is answered or its time is up; what it grants is begun only once the beginning is agreed.
use super::lifecycle::{LifecycleEvent, LifecycleStatus};
use super::{Effect, OperatorReply, Reducer, Timer};
use crate::talk::{Talk, Told};
use hallrelay_balancer::types::Micros;
use hallrelay_disruption::{Command, Fault, Outcome, Thing};

/// An operator's call takes 2 s in all; what is not granted by then is said to be held.
const WAIT: Micros = 1_500_000;
/// An answer takes some beats of the way there, to the disks of most voters and back.
const AGAIN: Micros = 200_000;

/// What somebody wants out, who, and why.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Want {
    /// None is this relay itself.
    pub server: Option<String>,
    pub by: String,
    pub why: String,
    pub force: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Asking,
    Beginning,
    /// One command, and no more.
    Saying,
}

pub(super) struct Wish {
    /// The number that the leader knows it by, of its present step.
    call: u64,
    /// What it is of, in words.
    what: String,
    step: Step,
    command: Command,
    until: Micros,
    /// Why it is not granted yet.
    held: String,
}

impl Reducer {
    /// Whether drains are agreed across the fleet.
    pub(super) fn agrees(&self) -> bool {
        self.agreed.is_some()
    }

    fn next_call(&mut self) -> u64 {
        self.agreed.as_mut().map_or(0, |a| {
            a.last_call += 1;
            a.last_call
        })
    }

    pub(super) fn want(&mut self, ops: u32, want: Want, out: &mut Vec<Effect>) {
        let call = self.next_call();
        let own = Thing::Relay(self.node.name.clone());
        let thing = want.server.map_or(own, Thing::Server);
        let (by, why, force) = (want.by, want.why, want.force);
        let command = Command::Ask { thing: thing.clone(), call, by, why, force };
        self.wish(ops, (call, Step::Asking, command, thing.to_string()), out);
    }

    /// One command as it stands, told in words.
    pub(super) fn say_agreed(&mut self, ops: u32, command: Command, what: String, out: &mut Vec<Effect>) {
        let call = self.next_call();
        self.wish(ops, (call, Step::Saying, command, what), out);
    }

    fn wish(&mut self, ops: u32, asked: (u64, Step, Command, String), out: &mut Vec<Effect>) {
        let until = self.now + WAIT;
        let held = "no voter leads, or none is heard".to_string();
        let (call, step, command, what) = asked;
        let Some(a) = &mut self.agreed else { return };
        a.wishes.insert(ops, Wish { call, what, step, command, until, held });
        self.wish_again(ops, out);
    }

    /// Asks once more, or says that its time is up.
    pub(super) fn wish_again(&mut self, ops: u32, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(a) = &mut self.agreed else { return };
        let Some(wish) = a.wishes.get(&ops) else { return };
        if now >= wish.until {
            let Some(wish) = a.wishes.remove(&ops) else { return };
            return self.give_up_wish(ops, &wish, out);
        }
        let (call, command) = (wish.call, wish.command.encode());
        self.tell_leader(call, command, out);
        out.push(Effect::StartTimer { after: AGAIN, alarm: Timer::PendingRequest(ops) });
    }

    pub(super) fn tell_leader(&mut self, call: u64, command: Vec<u8>, out: &mut Vec<Effect>) {
        let Some(a) = &mut self.agreed else { return };
        let Some(to) = a.asked() else { return };
        if to == a.own {
            return self.propose(&to, call, command, out);
        }
        self.talk(&to, &Talk::Ask { call, command }, out);
    }

    /// Nobody waits for it any more: what was asked is taken back, and lapses where that is not heard.
    fn give_up_wish(&mut self, ops: u32, wish: &Wish, out: &mut Vec<Effect>) {
        if let (Step::Asking, Command::Ask { call, thing, .. }) = (&wish.step, &wish.command) {
            let drop = Command::Drop { thing: thing.clone(), call: *call }.encode();
            let call = self.next_call();
            self.tell_leader(call, drop, out);
        }
        let reply = OperatorReply::Blocked(format!("{}: not agreed: {}", wish.what, wish.held));
        out.push(Effect::Reply { call: ops, reply });
    }

    /// What a leader answers, or a voter that is none.
    pub(super) fn wish_told(&mut self, call: u64, told: Told, out: &mut Vec<Effect>) {
        let Some(a) = &mut self.agreed else { return };
        let Some((&ops, wish)) = a.wishes.iter_mut().find(|(_, wish)| wish.call == call) else { return };
        let over = match (told, &wish.step) {
            (Told::Elsewhere(None), _) => {
                wish.held = "no voter leads".to_string();
                return;
            }
            (Told::Elsewhere(Some(leader)), _) => {
                a.leader = Some(leader.as_str().into()).filter(|leader| *leader != a.own);
                return;
            }
            // It is asked again: the same call is the same wish.
            (Told::Unknown, _) => return,
            (Told::Outcome(Outcome::Granted { grant } | Outcome::Out { grant }), Step::Asking) => {
                let Command::Ask { thing, .. } = &wish.command else { return };
                wish.command = Command::Begin { thing: thing.clone(), grant };
                wish.step = Step::Beginning;
                a.last_call += 1;
                wish.call = a.last_call;
                return self.wish_now(ops, out);
            }
            (Told::Outcome(Outcome::Waits { why, out: who }), _) => {
                let who = if who.is_empty() { String::new() } else { format!("; out: {}", who.join(", ")) };
                wish.held = format!("{why}{who}");
                return;
            }
            (Told::Outcome(Outcome::Not(Fault::Unknown)), Step::Asking) => {
                // A leader looks once a second.
                wish.held = "no leader has seen it yet".to_string();
                return;
            }
            (Told::Outcome(Outcome::Done), Step::Beginning) => {
                let Command::Begin { thing, .. } = wish.command.clone() else { return };
                a.wishes.remove(&ops);
                let reply = self.begins(&thing, out);
                return out.push(Effect::Reply { call: ops, reply });
            }
            (Told::Outcome(Outcome::Done), Step::Saying) => {
                OperatorReply::Committed(format!("agreed: {}", wish.what))
            }
            (Told::Outcome(Outcome::Taken { by, why }), _) => {
                OperatorReply::Blocked(format!("{} is asked for by {by} already: {why}", wish.what))
            }
            (Told::Outcome(Outcome::Not(fault)), _) => {
                let why = match fault {
                    Fault::Unknown => "nobody knows it",
                    Fault::Bound => "too many wait, or a name is too long",
                    Fault::Stale => "that means nothing as it stands now",
                    Fault::Version => "the leader does not read this relay's version",
                };
                OperatorReply::Blocked(format!("{}: {why}", wish.what))
            }
            (Told::Outcome(_), _) => return,
        };
        a.wishes.remove(&ops);
        out.push(Effect::Reply { call: ops, reply: over });
    }

    fn wish_now(&mut self, ops: u32, out: &mut Vec<Effect>) {
        let wish = self.agreed.as_ref().and_then(|a| a.wishes.get(&ops));
        let Some((call, command)) = wish.map(|wish| (wish.call, wish.command.encode())) else { return };
        self.tell_leader(call, command, out);
    }

    /// It is out by the log from now on.
    fn begins(&mut self, thing: &Thing, out: &mut Vec<Effect>) -> OperatorReply {
        match thing {
            Thing::Relay(_) => {
                self.apply_lifecycle_event(LifecycleEvent::Drain, out);
                OperatorReply::Accepted(LifecycleStatus::Draining)
            }
            Thing::Server(name) => OperatorReply::Committed(format!("backend {name} drains")),
        }
    }
}
