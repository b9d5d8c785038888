//! What is made of what others say.
use super::{Effect, Member, Membership, Suspicion, CHECKS, CONFIRMED, HEALTH, MET, MOST, REFUTE};
use crate::member::{weigh, Act, Claim, Order, Rank, State};
use crate::message::{Body, Fault, Packet};
use crate::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// A member is asked who strangers are at most this often, whoever sends.
const STRANGERS: Micros = 1_000_000;
/// A healed way is used for a whole table at most this often.
const HEAL: Micros = 2_000_000;

impl Membership {
    pub(super) fn heard(&mut self, from: SocketAddr, packet: Packet, out: &mut Vec<Effect>) {
        self.counts.heard += 1;
        let Packet { own, body, news, .. } = packet;
        if own.name == self.own.name {
            // Its own words, where a list of addresses names itself; or another of its name.
            return self.of_this_one(&own, out);
        }
        let known = self.by_addr.contains_key(&from) || self.own.peers.contains(&from);
        if !known || own.addr != from {
            *self.counts.dropped.entry(Fault::Stranger).or_default() += 1;
            return self.ask_about_strangers();
        }
        let name = own.name.clone();
        self.hear_itself(own, out);
        for claim in news {
            self.judge(claim, Some(&name), out);
        }
        match body {
            Body::Ping { seq } => self.say(from, Some(&name), Body::Ack { seq }, out),
            Body::Ack { seq } => self.acked(seq, &name, out),
            Body::Ask { seq, name, addr } => self.asked(from, seq, &name, addr, out),
            Body::Nack { seq } => self.nacked(seq),
            // Tables come by streams.
            Body::Gossip | Body::Exchange | Body::Exchanged | Body::Recall | Body::Recalled { .. } => {}
            Body::Word { bytes } => out.push(Effect::Said { name, bytes }),
        }
    }

    /// Guards a relay that met few of a fleet that all started together: the others are strangers to it, so
    /// it hears none of their news. A member whom it knows tells it who they are; nobody is believed unseen.
    fn ask_about_strangers(&mut self) {
        if self.asked_about.is_none_or(|at| self.now >= at + STRANGERS) && !self.there.is_empty() {
            self.asked_about = Some(self.now);
            self.next_exchange = self.next_exchange.min(self.now);
        }
    }

    /// A relay that asks for the table: a new one becomes known by it, as what it says of its address is what
    /// its connection shows.
    pub(super) fn visited(&mut self, stream: u64, from: SocketAddr, packet: Packet, out: &mut Vec<Effect>) {
        let asks = matches!(packet.body, Body::Exchange | Body::Recall | Body::Word { .. });
        if !asks || packet.own.addr.ip() != from.ip() {
            *self.counts.dropped.entry(Fault::Stranger).or_default() += 1;
            return out.push(Effect::Answer { stream, bytes: None });
        }
        if packet.body == Body::Recall {
            // Only a member is told: one that is not yet known asks for the table first.
            let known = packet.own.name != self.own.name && self.members.contains_key(&packet.own.name);
            self.take_table(packet, out);
            return out.push(match known {
                true => Effect::Asked { stream },
                false => Effect::Answer { stream, bytes: None },
            });
        }
        if let Body::Word { bytes } = &packet.body {
            let (name, bytes) = (packet.own.name.clone(), bytes.clone());
            let known = name != self.own.name && self.members.contains_key(&name);
            self.take_table(packet, out);
            out.extend(known.then_some(Effect::Said { name, bytes }));
            return out.push(Effect::Answer { stream, bytes: None });
        }
        self.take_table(packet, out);
        let bytes = self.table(Body::Exchanged);
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Effect::Answer { stream, bytes: Some(bytes) });
    }

    pub(super) fn returned(&mut self, packet: Packet, out: &mut Vec<Effect>) {
        match packet.body {
            Body::Exchanged => self.take_table(packet, out),
            Body::Recalled { told } => {
                let name = packet.own.name.clone();
                if self.members.contains_key(&name) {
                    self.hear_itself(packet.own, out);
                    out.push(Effect::Recalled { name, told });
                }
            }
            _ => {}
        }
    }

    fn take_table(&mut self, packet: Packet, out: &mut Vec<Effect>) {
        self.counts.heard += 1;
        if packet.own.name == self.own.name {
            return self.of_this_one(&packet.own, out);
        }
        let name = packet.own.name.clone();
        self.hear_itself(packet.own, out);
        for mut claim in packet.news {
            // A table may be of the other half of a split that is over: whom it calls gone can answer that.
            if claim.state == State::Gone && self.is_there(&claim.name) {
                (claim.state, claim.by) = (State::Suspect, Some(name.clone()));
            }
            self.judge(claim, Some(&name), out);
        }
    }

    /// A member's own word on itself.
    fn hear_itself(&mut self, claim: Claim, out: &mut Vec<Effect>) {
        let (name, rank, addr) = (claim.name.clone(), claim.rank, claim.addr);
        let was_gone = self.members.get(&name).is_some_and(|m| m.claim.state == State::Gone);
        self.judge(claim, None, out);
        let now = self.now;
        let Some(m) = self.members.get_mut(&name).filter(|m| (m.claim.rank, m.claim.addr) == (rank, addr))
        else {
            return;
        };
        (m.heard, m.told_by) = (Some(now), None);
        if was_gone && m.claim.state.is_there() && self.healed.is_none_or(|at| now >= at + HEAL) {
            self.healed = Some(now);
            self.visit(addr, out);
        }
    }

    /// What somebody says of a member, this relay among them.
    pub(super) fn judge(&mut self, mut claim: Claim, told_by: Option<&Rc<str>>, out: &mut Vec<Effect>) {
        if claim.name == self.own.name {
            return self.of_this_one(&claim, out);
        }
        let name = claim.name.clone();
        let Some(held) = self.members.get_mut(&name) else { return self.met(claim, told_by, out) };
        let order = claim.order(held.claim.rank, held.claim.addr);
        // Whom this relay hears itself, as it is said to be gone, is asked first whether it is.
        let hears = held.heard.is_some_and(|at| self.now < at + REFUTE);
        if (claim.state, order) == (State::Gone, Order::Same) && hears && told_by.is_some() {
            claim.state = State::Suspect;
        }
        let act = weigh(held.claim.state, claim.state, order);
        if act == Act::Ignore {
            return;
        }
        if act == Act::Keep {
            if told_by.is_none() && claim.state == State::Alive {
                held.claim.about = claim.about;
            }
            return;
        }
        if told_by.is_some() {
            held.told_by = told_by.cloned();
        }
        if act == Act::Confirm {
            return self.confirmed(&claim);
        }
        if order == Order::Same {
            // What it says of itself came from nearer than what its accuser has.
            claim.about = held.claim.about.clone();
        }
        let before = std::mem::replace(&mut held.claim, claim.clone());
        if (before.state, before.rank.start) != (claim.state, claim.rank.start) {
            held.since = self.now;
        }
        if before.addr != claim.addr {
            // Who had the name before at another address is heard still, and told.
            self.by_addr.retain(|addr, of| *of != name || *addr == before.addr);
            self.by_addr.insert(claim.addr, name.clone());
        }
        self.suspicions.remove(&name);
        let (was_there, is_there) = (before.state.is_there(), claim.state.is_there());
        if is_there && !was_there {
            self.enter(&name);
        } else if was_there && !is_there {
            self.there.retain(|other| *other != name);
            self.probes.retain(|_, p| p.name != name);
        }
        self.news(&claim);
        let again = before.rank.start != claim.rank.start;
        if act == Act::Accuse {
            return self.suspected(claim, out);
        }
        if !was_there || !is_there || again {
            let Claim { state, by, .. } = claim;
            out.push(Effect::Found { name, state, by, again });
        }
    }

    /// One that was not known: only who may be there becomes a member.
    fn met(&mut self, claim: Claim, told_by: Option<&Rc<str>>, out: &mut Vec<Effect>) {
        if !claim.state.is_there() {
            return;
        }
        if self.members.len() >= MOST {
            *self.counts.dropped.entry(Fault::Full).or_default() += 1;
            return;
        }
        let name = claim.name.clone();
        let told_by = told_by.cloned();
        let member = Member { claim: claim.clone(), since: self.now, heard: None, told_by, heard_by: None };
        self.by_addr.insert(claim.addr, name.clone());
        self.members.insert(name.clone(), member);
        self.enter(&name);
        self.news(&claim);
        out.push(Effect::Found { name: name.clone(), state: State::Alive, by: None, again: false });
        if claim.state == State::Suspect {
            self.suspected(claim, out);
        }
    }

    fn enter(&mut self, name: &Rc<str>) {
        if self.there.is_empty() {
            // Guards those whom a newcomer learns of before they learn of it: a stranger has no answer.
            self.next_probe = self.next_probe.max(self.now + MET);
        }
        let at = self.there.partition_point(|other| other < name);
        self.there.insert(at, name.clone());
    }

    fn suspected(&mut self, claim: Claim, out: &mut Vec<Effect>) {
        let name = claim.name;
        let by = claim.by.unwrap_or_else(|| self.own.name.clone());
        let others = by != self.own.name;
        let suspicion = Suspicion { by: BTreeSet::from([by]), since: self.now, until: 0, calls: 0 };
        self.suspicions.insert(name.clone(), suspicion);
        self.give_time(&name);
        if others && self.below(self.there.len()) < CHECKS {
            self.probe(name, out);
        }
    }

    fn confirmed(&mut self, claim: &Claim) {
        let Some(by) = &claim.by else { return };
        let Some(s) = self.suspicions.get_mut(&claim.name) else { return };
        // Who heard of it from others tells on the first ones: more would not shorten the time.
        if s.by.len() > CONFIRMED || !s.by.insert(by.clone()) {
            return;
        }
        self.give_time(&claim.name);
        self.news(claim);
    }

    /// What others say of this relay. It answers an accusation with a word of its own that is newer; of
    /// another process with its name at another address it takes note.
    fn of_this_one(&mut self, claim: &Claim, out: &mut Vec<Effect>) {
        if claim.addr != self.own.addr {
            if claim.state.is_there() {
                self.meets_twin(claim, out);
            }
            return;
        }
        let Rank { start, incarnation } = claim.rank;
        let later = start > self.rank.start;
        let same = start == self.rank.start;
        let said = same && incarnation >= self.rank.incarnation && claim.state != State::Alive;
        // It said so itself, as another process that had its place, or before its clock went back.
        let ahead = same && incarnation > self.rank.incarnation;
        if self.left || !(later || said || ahead) {
            return;
        }
        if later {
            // An earlier process, by a clock that was ahead: this one is the later all the same.
            self.rank = Rank { start: start + 1, incarnation: 0 };
        } else {
            self.rank.incarnation = incarnation + 1;
        }
        if said {
            // It is here, so somebody missed its answers: it may be late itself.
            self.counts.refuted += 1;
            self.health = (self.health + 1).min(HEALTH);
        }
        self.tell_of_own();
    }

    fn meets_twin(&mut self, claim: &Claim, out: &mut Vec<Effect>) {
        let (addr, start) = (claim.addr, claim.rank.start);
        if self.twin.is_none_or(|t| (t.0, t.1) != (addr, start)) {
            let which =
                if (start, addr) > (self.rank.start, self.own.addr) { "it holds" } else { "this one holds" };
            let what = format!("another relay has this one's name, at {addr}: {which}, as the later start");
            out.push(Effect::Note { what });
            // It may not know yet.
            let name = self.own.name.clone();
            self.say(addr, Some(&name), Body::Gossip, out);
        }
        self.twin = Some((addr, start, self.now));
    }
}
