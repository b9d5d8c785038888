//! Joining a fleet, and rejoining members that are dead or were never met: where a partition heals, one side
//! reaches the other from here.
use crate::events::Effect;
use crate::members::{Member, MAX_MEMBERS};
use crate::message::MessageBody;
use crate::update::MemberState;
use crate::{Membership, Micros, MILLISECOND};
use std::net::SocketAddr;
use std::rc::Rc;

/// Mean interval at which one dead member, or one configured address without a known member, is tried.
const REJOIN_INTERVAL: Micros = 2_000 * MILLISECOND;
/// Mean interval at which a relay without any live member asks configured addresses for their tables.
const JOIN_INTERVAL: Micros = 1_000 * MILLISECOND;
/// The first attempt comes within this time after the start.
const FIRST_JOIN_WITHIN: Micros = 100 * MILLISECOND;
/// Configured addresses asked at a time.
const JOIN_FANOUT: usize = 2;
/// From the first member that a relay meets to its first probe. Members that have not learnt of the newcomer
/// yet drop its pings as those of an unknown sender, and would be suspected by it.
const JOIN_GRACE: Micros = 2_000 * MILLISECOND;

/// Times of the next attempts.
pub(crate) struct JoinSchedule {
    next_join: Micros,
    next_rejoin: Micros,
    /// Counts the configured addresses that were asked, from a random one on.
    asked_addresses: usize,
}

impl JoinSchedule {
    pub(crate) fn new() -> JoinSchedule {
        JoinSchedule { next_join: Micros::MAX, next_rejoin: Micros::MAX, asked_addresses: 0 }
    }

    pub(crate) fn next_deadline(&self) -> Micros {
        self.next_join.min(self.next_rejoin)
    }
}

impl Membership {
    pub(crate) fn start_joining(&mut self) {
        self.join.next_join = self.now + self.random_time(FIRST_JOIN_WITHIN);
        self.join.asked_addresses = self.random_below(MAX_MEMBERS);
        self.join.next_rejoin = self.now + self.random_time(REJOIN_INTERVAL);
    }

    pub(crate) fn run_joins(&mut self, out: &mut Vec<Effect>) {
        if self.join.next_join <= self.now {
            self.join(out);
        }
        if self.join.next_rejoin <= self.now {
            self.rejoin(out);
        }
    }

    /// Configured addresses have changed.
    pub(crate) fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.local.peers = peers;
        self.join.next_rejoin = self.join.next_rejoin.min(self.now);
    }

    /// A relay that knows no live member asks configured addresses for their tables, each in its turn.
    fn join(&mut self, out: &mut Vec<Effect>) {
        self.join.next_join = self.now + JOIN_INTERVAL / 2 + self.random_time(JOIN_INTERVAL);
        if !self.members.live().is_empty() {
            return;
        }
        let own = self.local.addr;
        let others: Vec<SocketAddr> = self.local.peers.iter().copied().filter(|addr| *addr != own).collect();
        for _ in 0..JOIN_FANOUT.min(others.len()) {
            self.join.asked_addresses += 1;
            let addr = others[self.join.asked_addresses % others.len()];
            self.start_push_pull(addr, out);
        }
    }

    /// Tries a random one of the dead members and the configured addresses without a known member.
    fn rejoin(&mut self, out: &mut Vec<Effect>) {
        self.join.next_rejoin = self.now + REJOIN_INTERVAL / 2 + self.random_time(REJOIN_INTERVAL);
        let is_dead = |member: &&Member| member.state() == MemberState::Dead;
        let dead: Vec<Rc<str>> =
            self.members.iter().filter(is_dead).map(|member| member.name().clone()).collect();
        let unmet = self.unmet_addresses();
        let index = self.random_below(dead.len() + unmet.len());
        if let Some(name) = dead.get(index) {
            self.rejoin_dead(name, out);
        } else if let Some(addr) = unmet.get(index - dead.len()) {
            self.start_push_pull(*addr, out);
        }
    }

    /// A ping carries what is held against the member, so one that only was partitioned refutes it. One that
    /// has restarted and reaches no configured address drops the ping of an unknown sender: a stream tells it
    /// who this relay is. Of all relays that try, about one opens a stream at a time.
    fn rejoin_dead(&mut self, name: &Rc<str>, out: &mut Vec<Effect>) {
        let Some(addr) = self.members.addr_of(name) else { return };
        if self.random_below(self.members.live().len() + 1) == 0 {
            return self.start_push_pull(addr, out);
        }
        let sequence = self.detector.next_sequence();
        self.send_message(addr, Some(name), MessageBody::Ping { sequence }, out);
    }

    /// Configured addresses at which no member is known. A dead member at its own address is known.
    fn unmet_addresses(&self) -> Vec<SocketAddr> {
        let is_met = |addr: &SocketAddr| *addr == self.local.addr || self.members.has_member_at(*addr);
        self.local.peers.iter().copied().filter(|addr| !is_met(addr)).collect()
    }

    /// A member has become live.
    pub(crate) fn add_live_member(&mut self, name: &Rc<str>) {
        if self.members.live().is_empty() {
            self.detector.delay_probes_until(self.now + JOIN_GRACE);
        }
        self.members.add_live(name);
    }
}
