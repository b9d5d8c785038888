//! Probes, on this relay's own account and on others', and the time that suspects have.
use super::{
    Effect, Errand, Membership, Probe, AGAIN, ASKED, ASKS, CALL, CALLS, CONFIRMED, HEALTH, NACK, OTHERS,
    PERIOD, PROBES, REFUTE, REFUTE_BY_LOG, REFUTE_MOST,
};
use crate::member::{Claim, State};
use crate::message::Body;
use crate::Micros;
use std::net::SocketAddr;
use std::rc::Rc;

impl Membership {
    /// Who doubts itself gives others more time.
    fn times(&self) -> Micros {
        Micros::from(self.health + 1)
    }

    pub(super) fn number(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Whom it probes in this period. All relays go by the same turn of the clock: each probes the one that
    /// stands so many places behind it, so each is probed once in every period, by another one each time, and
    /// each probes all in a round. Where clocks or views differ the turns do, and some wait a period or two
    /// longer.
    fn next_of_round(&self) -> Option<Rc<str>> {
        let others = self.there.len();
        if others == 0 {
            return None;
        }
        let own = self.there.partition_point(|name| *name < self.own.name);
        let turn = (self.now / PERIOD) as usize % others;
        self.there.get((own + turn) % others).cloned()
    }

    pub(super) fn is_there(&self, name: &str) -> bool {
        self.members.get(name).is_some_and(|m| m.claim.state.is_there())
    }

    pub(super) fn probing(&mut self, out: &mut Vec<Effect>) {
        if self.next_probe <= self.now {
            self.next_probe = self.now + PERIOD * self.times();
            if let Some(name) = self.next_of_round() {
                self.probe(name, out);
            }
        }
        let due: Vec<u32> = self
            .probes
            .iter()
            .filter(|(_, p)| p.again.min(p.others).min(p.over) <= self.now)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in due {
            let Some(p) = self.probes.get_mut(&seq) else { continue };
            let name = p.name.clone();
            if p.over <= self.now {
                self.unanswered(seq, out);
            } else if p.others <= self.now {
                (p.again, p.others) = (Micros::MAX, Micros::MAX);
                self.ask_others(seq, &name, out);
            } else if p.again <= self.now {
                p.again = Micros::MAX;
                self.ping(seq, &name, out);
            }
        }
    }

    pub(super) fn probe(&mut self, name: Rc<str>, out: &mut Vec<Effect>) {
        if self.probes.len() >= PROBES || self.probes.values().any(|p| p.name == name) {
            return;
        }
        let (seq, times) = (self.number(), self.times());
        self.counts.probes += 1;
        self.ping(seq, &name, out);
        let probe = Probe {
            name,
            again: self.now + AGAIN * times,
            others: self.now + OTHERS * times,
            over: self.now + PERIOD * times,
            asked: 0,
            nacks: 0,
        };
        self.probes.insert(seq, probe);
    }

    fn ping(&mut self, seq: u32, name: &Rc<str>, out: &mut Vec<Effect>) {
        if let Some(addr) = self.members.get(name).map(|m| m.claim.addr) {
            self.say(addr, Some(name), Body::Ping { seq }, out);
        }
    }

    fn ask_others(&mut self, seq: u32, name: &Rc<str>, out: &mut Vec<Effect>) {
        let Some(addr) = self.members.get(name).map(|m| m.claim.addr) else { return };
        let mut others = self.some(ASKED, Some(name));
        // By whom it was heard last, where the direct way does not go: a bridge between two halves, most
        // likely.
        let by = self.members.get(name).and_then(|m| m.heard_by.clone());
        if let Some(by) = by.filter(|by| self.is_there(by) && !others.contains(by)) {
            others.truncate(ASKED - 1);
            others.push(by);
        }
        if let Some(p) = self.probes.get_mut(&seq) {
            p.asked = others.len() as u32;
        }
        for other in others {
            let Some(to) = self.members.get(&other).map(|m| m.claim.addr) else { continue };
            self.say(to, Some(&other), Body::Ask { seq, name: name.clone(), addr }, out);
        }
    }

    /// No answer by any way. Those who were asked and said nothing either speak against this relay's own
    /// hearing; with nobody to ask it doubts itself a little.
    fn unanswered(&mut self, seq: u32, out: &mut Vec<Effect>) {
        let Some(p) = self.probes.remove(&seq) else { return };
        let missed = if p.asked == 0 { 1 } else { p.asked - p.nacks.min(p.asked) };
        self.health = (self.health + missed).min(HEALTH);
        let Some(held) = self.members.get(&p.name) else { return };
        if !held.claim.state.is_there() {
            return;
        }
        let own = self.own.name.clone();
        if held.claim.state == State::Alive {
            self.counts.accused += 1;
        }
        let claim = Claim { state: State::Suspect, by: Some(own), ..held.claim.clone() };
        self.judge(claim, None, out);
    }

    /// An answer to a ping, its own or one that was done for another.
    pub(super) fn acked(&mut self, seq: u32, from: &Rc<str>, out: &mut Vec<Effect>) {
        if let Some(p) = self.probes.remove(&seq) {
            self.health = self.health.saturating_sub(1);
            if p.name == *from {
                if let Some(m) = self.members.get_mut(from) {
                    m.heard_by = None;
                }
            } else {
                if let Some(m) = self.members.get_mut(&p.name) {
                    (m.told_by, m.heard_by) = (Some(from.clone()), Some(from.clone()));
                }
            }
        } else if let Some(errand) = self.errands.remove(&seq) {
            self.say(errand.asker, None, Body::Ack { seq: errand.seq }, out);
        }
    }

    pub(super) fn nacked(&mut self, seq: u32) {
        if let Some(p) = self.probes.get_mut(&seq) {
            p.nacks += 1;
        }
    }

    /// Only members are pinged for others, where this relay knows them: nobody else is led to by a message.
    pub(super) fn asked(
        &mut self,
        asker: SocketAddr,
        ask: u32,
        name: &Rc<str>,
        addr: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        let known = self.members.get(name).is_some_and(|m| m.claim.addr == addr);
        if !known || self.errands.len() >= ASKS {
            return;
        }
        let seq = self.number();
        let errand = Errand { asker, seq: ask, nack: self.now + NACK, over: self.now + 2 * PERIOD };
        self.errands.insert(seq, errand);
        self.say(addr, Some(name), Body::Ping { seq }, out);
    }

    pub(super) fn errands(&mut self, out: &mut Vec<Effect>) {
        let due: Vec<u32> = self
            .errands
            .iter()
            .filter(|(_, e)| e.nack.min(e.over) <= self.now)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in due {
            let Some(e) = self.errands.get_mut(&seq) else { continue };
            if e.over <= self.now {
                self.errands.remove(&seq);
                continue;
            }
            e.nack = Micros::MAX;
            let (to, seq) = (e.asker, e.seq);
            self.say(to, None, Body::Nack { seq }, out);
        }
    }

    /// How long a suspect has with so many accusers: Lifeguard's falling time, from its most to its least.
    fn refute_time(&self, accusers: usize) -> Micros {
        let members = self.there.len() + 1;
        let log = (members as f64).log10().max(1.0);
        let least = REFUTE.max((REFUTE_BY_LOG as f64 * log) as Micros);
        let most = least * REFUTE_MOST;
        // Accuser, suspect and nobody else: there is no one to confirm it.
        let wanted = CONFIRMED.min(members.saturating_sub(2));
        let more = accusers.saturating_sub(1).min(wanted);
        if wanted == 0 {
            return most;
        }
        let part = ((more + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        most - ((most - least) as f64 * part) as Micros
    }

    /// A suspect's time from when it was accused, as its accusers are now.
    pub(super) fn give_time(&mut self, name: &str) {
        let Some(accusers) = self.suspicions.get(name).map(|s| s.by.len()) else { return };
        let time = self.refute_time(accusers);
        if let Some(s) = self.suspicions.get_mut(name) {
            s.until = s.since + time;
        }
    }

    pub(super) fn suspecting(&mut self, out: &mut Vec<Effect>) {
        let due: Vec<Rc<str>> = self
            .suspicions
            .iter()
            .filter(|(_, s)| s.until <= self.now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let Some(suspicion) = self.suspicions.get_mut(&name) else { continue };
            if suspicion.calls < CALLS {
                (suspicion.calls, suspicion.until) = (suspicion.calls + 1, self.now + CALL);
                let seq = self.number();
                self.ping(seq, &name, out);
                continue;
            }
            let Some(held) = self.members.get(&name) else { continue };
            let by = Some(self.own.name.clone());
            let claim = Claim { state: State::Gone, by, ..held.claim.clone() };
            self.counts.buried += 1;
            self.judge(claim, None, out);
        }
    }
}
