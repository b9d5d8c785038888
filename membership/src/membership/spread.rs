//! How news gets round: on whatever is said anyway, by itself while it is new, and with the whole table.
use super::{
    Effect, Membership, News, EXCHANGE, EXCHANGE_LEAST, FANOUT, JOIN, JOINED, KNOCK, SPREAD, TOLD, TOLD_LEAST,
};
use crate::member::{Claim, State};
use crate::message::{encode, written, Body, DATAGRAM, FRAME};
use std::net::SocketAddr;
use std::rc::Rc;

impl Membership {
    /// How often one item is told by one member: while few are known of many, as for the many.
    fn tellings(&self) -> u32 {
        let members = (self.there.len() + 2).max(self.own.configured);
        (TOLD * (members as f64).log10().ceil() as u32).max(TOLD_LEAST)
    }

    pub(super) fn news(&mut self, claim: &Claim) {
        self.items += 1;
        let news = News { bytes: written(claim), told: 0, item: self.items };
        self.news.insert(claim.name.clone(), news);
        // What is new goes out at once, and then each `SPREAD`.
        self.next_spread = self.next_spread.min(self.now.max(self.last_spread + SPREAD));
    }

    /// Says something to one address, with the news that fits: first what is held against the receiver
    /// itself, so that it can refute, then what was told least.
    pub(super) fn say(&mut self, to: SocketAddr, name: Option<&Rc<str>>, body: Body, out: &mut Vec<Effect>) {
        let held = name.and_then(|name| self.members.get(name)).map(|m| &m.claim);
        let against = held.filter(|c| c.state != State::Alive || c.addr != to).map(written);
        let mut order: Vec<(&Rc<str>, &News)> = self.news.iter().collect();
        order.sort_by_key(|(_, n)| (n.told, u64::MAX - n.item));
        let first = against.iter().map(Vec::as_slice);
        let all = first.chain(order.iter().map(|(_, n)| n.bytes.as_slice()));
        let (bytes, fit) = encode(&self.own.fleet, &self.own_claim(), body, all, DATAGRAM);
        let fit = fit.saturating_sub(usize::from(against.is_some()));
        let told: Vec<Rc<str>> = order[..fit].iter().map(|(name, _)| (*name).clone()).collect();
        let most = self.tellings();
        for name in told {
            let Some(news) = self.news.get_mut(&name) else { continue };
            news.told += 1;
            if news.told >= most {
                self.news.remove(&name);
            }
        }
        self.send(to, bytes, out);
    }

    fn send(&mut self, to: SocketAddr, bytes: Vec<u8>, out: &mut Vec<Effect>) {
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Effect::Send { to, bytes });
    }

    /// Some members who are there, by chance, without one.
    pub(super) fn some(&mut self, count: usize, but: Option<&Rc<str>>) -> Vec<Rc<str>> {
        let mut some: Vec<Rc<str>> = Vec::with_capacity(count);
        let others = self.there.len() - usize::from(but.is_some_and(|name| self.there.contains(name)));
        while some.len() < count.min(others) {
            let at = self.below(self.there.len());
            let name = &self.there[at];
            if Some(name) != but && !some.contains(name) {
                some.push(name.clone());
            }
        }
        some
    }

    pub(super) fn tell_some(&mut self, count: usize, out: &mut Vec<Effect>) {
        for name in self.some(count, None) {
            if let Some(addr) = self.members.get(&name).map(|m| m.claim.addr) {
                self.say(addr, Some(&name), Body::Gossip, out);
            }
        }
    }

    pub(super) fn spread(&mut self, out: &mut Vec<Effect>) {
        self.last_spread = self.now;
        if !self.news.is_empty() {
            self.tell_some(FANOUT, out);
        }
        // With nobody there to tell, what is new waits for the next word to somebody.
        let more = !self.news.is_empty() && !self.there.is_empty();
        self.next_spread = if more { self.now + SPREAD } else { u64::MAX };
    }

    /// All that is held, in one frame.
    pub(super) fn table(&self, body: Body) -> Vec<u8> {
        let claims: Vec<Vec<u8>> = self.members.values().map(|m| written(&m.claim)).collect();
        let all = claims.iter().map(Vec::as_slice);
        encode(&self.own.fleet, &self.own_claim(), body, all, FRAME).0
    }

    pub(super) fn visit(&mut self, to: SocketAddr, out: &mut Vec<Effect>) {
        let bytes = self.table(Body::Exchange);
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Effect::Visit { to, bytes });
    }

    /// Asks one member what it holds of the list.
    pub(super) fn ask_one(&mut self, out: &mut Vec<Effect>) {
        let Some(to) = self.some(1, None).first().and_then(|n| self.members.get(n)).map(|m| m.claim.addr)
        else {
            return;
        };
        let bytes = encode(&self.own.fleet, &self.own_claim(), Body::Recall, std::iter::empty(), FRAME).0;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Effect::Visit { to, bytes });
    }

    /// What is longer than a frame is not told: who asked goes by what it has.
    pub(super) fn tell_one(&mut self, stream: u64, told: Option<Vec<u8>>, out: &mut Vec<Effect>) {
        let body = told.map(|told| Body::Recalled { told });
        let bytes =
            body.map(|body| encode(&self.own.fleet, &self.own_claim(), body, std::iter::empty(), FRAME).0);
        let bytes = bytes.filter(|bytes| bytes.len() <= FRAME);
        self.counts.sent_bytes += bytes.as_ref().map_or(0, Vec::len) as u64;
        out.push(Effect::Answer { stream, bytes });
    }

    /// A word for a member, or for all that are there: a datagram, or a stream where it is longer. Lost where
    /// the member is not known, or the word is longer than a frame.
    pub(super) fn say_word(&mut self, name: Option<Rc<str>>, bytes: &[u8], out: &mut Vec<Effect>) {
        let names = name.map_or_else(|| self.there.clone(), |name| vec![name]);
        for name in names {
            let Some(to) = self.members.get(&name).map(|m| m.claim.addr) else { continue };
            let body = Body::Word { bytes: bytes.to_vec() };
            let bytes = encode(&self.own.fleet, &self.own_claim(), body, std::iter::empty(), FRAME).0;
            self.counts.sent_bytes += bytes.len() as u64;
            match bytes.len() {
                0..=DATAGRAM => out.push(Effect::Send { to, bytes }),
                _ if bytes.len() <= FRAME => out.push(Effect::Visit { to, bytes }),
                _ => {}
            }
        }
    }

    /// Configured addresses at which nobody is known to be there.
    fn unmet(&self) -> Vec<SocketAddr> {
        let met = |addr: &SocketAddr| {
            *addr == self.own.addr
                || self.by_addr.get(addr).and_then(|name| self.members.get(name)).is_some_and(|m| {
                    // One that is gone, at its own address, is knocked at as a member.
                    m.claim.addr == *addr
                })
        };
        self.own.peers.iter().copied().filter(|addr| !met(addr)).collect()
    }

    /// A relay that knows nobody there asks configured addresses for the table, each in its turn, so that one
    /// that helps is come to whatever the others are.
    pub(super) fn join(&mut self, out: &mut Vec<Effect>) {
        self.next_join = self.now + JOIN / 2 + self.up_to(JOIN);
        if !self.there.is_empty() {
            return;
        }
        let peers: Vec<SocketAddr> =
            self.own.peers.iter().copied().filter(|addr| *addr != self.own.addr).collect();
        for _ in 0..JOINED.min(peers.len()) {
            self.joined += 1;
            self.visit(peers[self.joined % peers.len()], out);
        }
    }

    /// One of those gone, or a configured address with nobody known: a split heals from here.
    pub(super) fn knock(&mut self, out: &mut Vec<Effect>) {
        self.next_knock = self.now + KNOCK / 2 + self.up_to(KNOCK);
        let gone: Vec<Rc<str>> = self
            .members
            .iter()
            .filter(|(_, m)| m.claim.state == State::Gone)
            .map(|(name, _)| name.clone())
            .collect();
        let unmet = self.unmet();
        let at = self.below(gone.len() + unmet.len());
        if let Some(name) = gone.get(at) {
            let addr = self.members[name].claim.addr;
            // One that has started anew, and whose configured addresses are all dead, knows nobody: to it the
            // ping is a stranger's. A stream tells it who asks; of all who knock about one does that at a
            // time.
            if self.below(self.there.len() + 1) == 0 {
                return self.visit(addr, out);
            }
            let seq = self.number();
            self.say(addr, Some(&name.clone()), Body::Ping { seq }, out);
        } else if let Some(addr) = unmet.get(at - gone.len()) {
            self.visit(*addr, out);
        }
    }

    pub(super) fn exchange(&mut self, out: &mut Vec<Effect>) {
        let every = EXCHANGE_LEAST.max(EXCHANGE * self.there.len() as u64);
        self.next_exchange = self.now + every / 2 + self.up_to(every);
        if let Some(addr) = self.some(1, None).first().and_then(|n| self.members.get(n)).map(|m| m.claim.addr)
        {
            self.visit(addr, out);
        }
    }
}
