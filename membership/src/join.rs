//! Joining a fleet, and rejoining: contacting dead members and configured addresses without a known member.
//! Rejoining reconnects the two sides of a partition after it heals.
use crate::events::Effect;
use crate::members::{Member, MAX_MEMBERS};
use crate::message::MessageBody;
use crate::update::MemberState;
use crate::{Membership, Micros, MILLISECOND};
use std::net::SocketAddr;
use std::rc::Rc;

/// Mean interval between attempts to reach a dead member or a configured address without a known member.
const REJOIN_INTERVAL: Micros = 2_000 * MILLISECOND;
/// Mean interval at which a relay without live members requests member tables from configured addresses.
const JOIN_INTERVAL: Micros = 1_000 * MILLISECOND;
/// Longest delay between the start and the first attempt to join.
const FIRST_JOIN_WITHIN: Micros = 100 * MILLISECOND;
/// Number of configured addresses contacted per attempt to join.
const JOIN_FANOUT: usize = 2;
/// Time for which a relay does not probe after it learns of its first live member. Members that do not know
/// the new relay yet drop its pings as those of an unknown sender, and the new relay would suspect them.
const JOIN_GRACE: Micros = 2_000 * MILLISECOND;

/// Times of the next attempts.
pub(crate) struct JoinSchedule {
    next_join: Micros,
    next_rejoin: Micros,
    /// Number of configured addresses contacted so far, plus a random initial value.
    contacted_addresses: usize,
}

impl JoinSchedule {
    pub(crate) fn new() -> JoinSchedule {
        JoinSchedule { next_join: Micros::MAX, next_rejoin: Micros::MAX, contacted_addresses: 0 }
    }

    pub(crate) fn next_deadline(&self) -> Micros {
        self.next_join.min(self.next_rejoin)
    }
}

impl Membership {
    pub(crate) fn start_joining(&mut self) {
        self.join.next_join = self.now + self.random_time(FIRST_JOIN_WITHIN);
        self.join.contacted_addresses = self.random_below(MAX_MEMBERS);
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

    /// Applies a changed list of configured addresses.
    pub(crate) fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.local.peers = peers;
        self.join.next_rejoin = self.join.next_rejoin.min(self.now);
    }

    /// If this relay knows no live member, requests member tables from configured addresses in rotation.
    fn join(&mut self, out: &mut Vec<Effect>) {
        self.join.next_join = self.now + JOIN_INTERVAL / 2 + self.random_time(JOIN_INTERVAL);
        if !self.members.live().is_empty() {
            return;
        }
        let own = self.local.addr;
        let others: Vec<SocketAddr> = self.local.peers.iter().copied().filter(|addr| *addr != own).collect();
        for _ in 0..JOIN_FANOUT.min(others.len()) {
            self.join.contacted_addresses += 1;
            let addr = others[self.join.contacted_addresses % others.len()];
            self.start_push_pull(addr, out);
        }
    }

    /// Contacts a random one of the dead members and the configured addresses without a known member.
    fn rejoin(&mut self, out: &mut Vec<Effect>) {
        self.join.next_rejoin = self.now + REJOIN_INTERVAL / 2 + self.random_time(REJOIN_INTERVAL);
        let is_dead = |member: &&Member| member.state() == MemberState::Dead;
        let dead: Vec<Rc<str>> =
            self.members.iter().filter(is_dead).map(|member| member.name().clone()).collect();
        let without_member = self.addresses_without_member();
        let index = self.random_below(dead.len() + without_member.len());
        if let Some(name) = dead.get(index) {
            self.rejoin_dead(name, out);
        } else if let Some(addr) = without_member.get(index - dead.len()) {
            self.start_push_pull(*addr, out);
        }
    }

    /// Contacts a dead member. A ping carries the member's death, so a member that was only partitioned
    /// refutes it. A member that restarted and reaches no configured address does not know this relay and
    /// drops the ping, but it accepts a stream, which makes this relay known. Each of n live relays opens a
    /// stream with a probability of 1 in n, so that about one of them does at a time.
    fn rejoin_dead(&mut self, name: &Rc<str>, out: &mut Vec<Effect>) {
        let Some(addr) = self.members.addr_of(name) else { return };
        if self.random_below(self.members.live().len() + 1) == 0 {
            return self.start_push_pull(addr, out);
        }
        let sequence = self.detector.next_sequence();
        self.send_message(addr, Some(name), MessageBody::Ping { sequence }, out);
    }

    /// Configured addresses that are not the current address of a known member, whether live or dead.
    fn addresses_without_member(&self) -> Vec<SocketAddr> {
        let has_member = |addr: &SocketAddr| *addr == self.local.addr || self.members.has_member_at(*addr);
        self.local.peers.iter().copied().filter(|addr| !has_member(addr)).collect()
    }

    /// Records that a member became live.
    pub(crate) fn add_live_member(&mut self, name: &Rc<str>) {
        if self.members.live().is_empty() {
            self.detector.delay_probes_until(self.now + JOIN_GRACE);
        }
        self.members.add_live(name);
    }
}
