//! An operator who wants relays out and asks till each is let out, and the count of who is away, from
//! outside.
use super::*;
use hallrelay_emulator::service::LeaseFigures;
use hallrelay_relay::reducer::{DrainRequest, OperatorReply, OperatorRequest};
use std::collections::BTreeSet;

/// How long an operator waits before asking again.
const AGAIN: Micros = 1_000_000;
/// Calls of this kind; others ask for other things.
const DRAIN: u32 = 1;

#[derive(Default)]
pub(super) struct Seen {
    wanted: BTreeSet<usize>,
    stays: BTreeMap<usize, Micros>,
    draining: BTreeSet<usize>,
    back: BTreeSet<usize>,
    first: Option<Micros>,
    last: Micros,
    told: LeaseFigures,
}

impl Seen {
    pub(super) fn outcome(&self) -> Option<LeaseFigures> {
        let first = self.first?;
        let all = self.back.len() == self.wanted.len();
        let took_s = if all { (self.last - first) as f64 / 1e6 } else { 0.0 };
        Some(LeaseFigures { requested: self.wanted.len(), duration_s: took_s, ..self.told.clone() })
    }
}

impl Virtual<'_> {
    pub(super) fn wants_out(&mut self, relay: usize, stay: Micros) {
        self.outs.first.get_or_insert(self.now);
        self.outs.wanted.insert(relay);
        self.outs.stays.insert(relay, stay);
        let (requested_by, reason) = ("ann".to_string(), "a day out".to_string());
        let drain = DrainRequest { requested_by, reason, ..DrainRequest::default() };
        let stands = self.relays[relay].mind.is_some() && self.relays[relay].stalled.is_none();
        if stands {
            self.step(
                relay,
                Event::OperatorCall { call: DRAIN, request: OperatorRequest::Drain(Box::new(drain)) },
            );
        } else {
            self.later(AGAIN, Ev::WantsOut { relay, stay });
        }
    }

    pub(super) fn replied(&mut self, relay: usize, call: u32, reply: &OperatorReply) {
        let Some(&stay) = self.outs.stays.get(&relay).filter(|_| call == DRAIN) else { return };
        if matches!(reply, OperatorReply::Accepted(_)) {
            let away = |other: &usize| {
                let r = &self.relays[*other];
                *other != relay
                    && (r.mind.is_none() || r.stalled.is_some() || self.outs.draining.contains(other))
            };
            let away = (0..self.relays.len()).filter(away).count() + 1;
            self.outs.draining.insert(relay);
            let (draining, may) = (self.outs.draining.len(), self.day.scenario.relays.out as usize);
            let told = &mut self.outs.told;
            told.granted += 1;
            told.max_draining = told.max_draining.max(draining);
            told.max_unavailable = told.max_unavailable.max(away);
            told.over += u64::from(draining > may);
            // The front sees that it answers no more.
            self.day.clients.set_relay_serving(self.now, relay, false);
            self.later(stay, Ev::BringsBack { relay });
        } else {
            self.outs.told.deferred += 1;
            self.later(AGAIN, Ev::WantsOut { relay, stay });
        }
    }

    pub(super) fn brings_back(&mut self, relay: usize) {
        self.outs.draining.remove(&relay);
        self.outs.back.insert(relay);
        self.outs.last = self.now;
        if self.relays[relay].mind.is_some() {
            self.day.clients.set_relay_serving(self.now, relay, true);
            self.step(relay, Event::OperatorCall { call: 0, request: OperatorRequest::Activate });
        }
    }
}
