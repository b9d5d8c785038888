//! Membership as a part of the relay's state: what it says of itself, when it speaks, and what is told of it.
//! Nothing here goes to the module: whoever is heard or not, it reckons with the configured number of relays.
use super::duty::Duty;
use super::{note, Effect, Reducer, Timer};
use hallrelay_balancer::types::Micros;
use hallrelay_config::node::Node;
use hallrelay_membership::membership::{Counts, Effect as Told, Event};
use hallrelay_membership::message::LISTENERS;
use hallrelay_membership::status::Status;
use hallrelay_membership::{About, Duty as Said, Membership, Own, State};
use std::rc::Rc;

/// What is counted of the other relays, where there are any by the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetFigures {
    pub counts: Counts,
    /// Members in each state, by its place in `State::ALL`; this relay itself counts as alive.
    pub states: [usize; 4],
    pub hears: usize,
    /// Times that another relay told of the list, while discovery had not.
    pub hearsay: u64,
}

/// Membership of a relay that begins at a time, which is its start number.
pub(super) fn membership(node: &Node, now: Micros) -> Option<Membership> {
    let fleet = node.fleet.as_ref()?;
    Some(Membership::new(Own {
        fleet: fleet.name.as_str().into(),
        name: node.name.as_str().into(),
        addr: fleet.advertise,
        start: now,
        about: About::default(),
        peers: fleet.peers.clone(),
        configured: node.site.facts.relay_count as usize,
        seed: node.seed,
    }))
}

impl Reducer {
    pub(super) fn fleet(&mut self, event: Event, out: &mut Vec<Effect>) {
        let Some(fleet) = &mut self.fleet else { return };
        let mut told = Vec::new();
        fleet.step(self.now, event, &mut told);
        for one in told {
            match one {
                Told::Alarm { after } => out.push(Effect::StartTimer { after, alarm: Timer::Membership }),
                Told::Note { what } => note(what, out),
                Told::Found { name, state, by, again } => {
                    let how = match (state, &by) {
                        (State::Gone, Some(by)) => format!(", says {by}"),
                        _ if again => ", started anew".to_string(),
                        _ => String::new(),
                    };
                    note(format!("relay {name} is {}{how}", state.word()), out);
                }
                Told::Asked { stream } => self.tell_list(stream, out),
                Told::Recalled { name, told } => self.heard_say(&name, &told, out),
                Told::Said { name, bytes } => self.receive_control(&name, &bytes, out),
                other => out.push(Effect::Membership(other)),
            }
        }
    }

    /// Its own figures are as fresh as its last look at the time.
    pub(super) fn fleet_alarm(&mut self, out: &mut Vec<Effect>) {
        self.tell_fleet(out);
        self.fleet(Event::Alarm, out);
    }

    /// What this relay says of itself, as it is now.
    pub(super) fn tell_fleet(&mut self, out: &mut Vec<Effect>) {
        if self.fleet.is_some() {
            let about = self.about();
            self.fleet(Event::Turned { about }, out);
        }
    }

    fn about(&self) -> About {
        let listeners = &self.node.site.listeners;
        let mut load = vec![0; listeners.len().min(LISTENERS)];
        for s in self.sessions.values() {
            // One whose listener was dropped meanwhile counts in the sum alone.
            if let Some(n) = listeners.iter().position(|l| **l == *s.listener).and_then(|i| load.get_mut(i)) {
                *n += 1;
            }
        }
        let duty = match self.duty {
            Duty::Waiting => Said::Starting,
            Duty::Serving if !self.can_place() => Said::Starting,
            Duty::Serving | Duty::Relieved => Said::Serving,
            Duty::Draining | Duty::Away => Said::Draining,
            Duty::Stopping | Duty::Leaving => Said::Stopping,
        };
        About {
            version: Rc::from(env!("CARGO_PKG_VERSION")),
            digest: self.node.digest,
            duty,
            sessions: self.sessions.len() as u32,
            load,
        }
    }

    /// The relay ends: the process that has its place says so, on purpose.
    pub(super) fn leave_fleet(&mut self, out: &mut Vec<Effect>) {
        if self.place.has() {
            self.fleet(Event::Leave, out);
        }
    }

    pub(super) fn fleet_status(&self) -> Option<Box<Status>> {
        let mut status = self.fleet.as_ref()?.status(self.now);
        status.returning = self.returning().word().to_string();
        Some(Box::new(status))
    }

    pub(super) fn fleet_figures(&self) -> Option<Box<FleetFigures>> {
        let fleet = self.fleet.as_ref()?;
        let of = |state: State| fleet.members().filter(|m| m.claim.state == state).count();
        let mut states = State::ALL.map(of);
        states[0] += 1;
        Some(Box::new(FleetFigures {
            counts: fleet.counts.clone(),
            states,
            hears: fleet.hears(),
            hearsay: self.hearsay.into(),
        }))
    }
}
