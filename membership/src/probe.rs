//! SWIM's failure detector: a direct probe of one member in each period, then indirect probes through others.
use crate::events::Effect;
use crate::local_health::LocalHealth;
use crate::message::MessageBody;
use crate::update::{MemberState, Update};
use crate::{Membership, Micros, MILLISECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// SWIM's protocol period: each member probes one other in each, and is probed by one.
pub const PROBE_PERIOD: Micros = 400 * MILLISECOND;
/// A ping without an answer is sent a second time after this.
const PING_RETRY_DELAY: Micros = 100 * MILLISECOND;
/// Indirect probes start this long after the first ping; the rest of the period is left for their answers.
const INDIRECT_PROBE_DELAY: Micros = 200 * MILLISECOND;
/// A member that pings on another's behalf sends a nack after this, within the other's period.
const NACK_DELAY: Micros = 100 * MILLISECOND;
/// SWIM's k: members asked to ping the target.
const INDIRECT_PROBES: usize = 3;
/// Probes in flight.
const MAX_PROBES: usize = 16;
/// Pings in flight on behalf of others.
const MAX_FORWARDED_PINGS: usize = 64;
/// A ping on another's behalf is forgotten after this.
const FORWARDED_PING_TIMEOUT: Micros = 2 * PROBE_PERIOD;

/// A probe of this relay's own.
struct Probe {
    target: Rc<str>,
    /// When the ping is sent again; [`Micros::MAX`] once it was.
    retry_at: Micros,
    /// When indirect probes start; [`Micros::MAX`] once they did.
    indirect_at: Micros,
    /// When the probe has failed.
    deadline: Micros,
    requests: u32,
    nacks: u32,
}

impl Probe {
    fn next_deadline(&self) -> Micros {
        self.retry_at.min(self.indirect_at).min(self.deadline)
    }
}

/// A ping on another member's behalf.
struct ForwardedPing {
    requester: SocketAddr,
    /// Sequence number of the requester's probe.
    sequence: u32,
    /// When the nack is sent; [`Micros::MAX`] once it was.
    nack_at: Micros,
    deadline: Micros,
}

impl ForwardedPing {
    fn next_deadline(&self) -> Micros {
        self.nack_at.min(self.deadline)
    }
}

/// Probes in flight, by the sequence numbers of their pings, and the time of the next one.
pub(crate) struct FailureDetector {
    probes: BTreeMap<u32, Probe>,
    forwarded_pings: BTreeMap<u32, ForwardedPing>,
    last_sequence: u32,
    pub(crate) local_health: LocalHealth,
    next_probe: Micros,
}

impl FailureDetector {
    pub(crate) fn new() -> FailureDetector {
        FailureDetector {
            probes: BTreeMap::new(),
            forwarded_pings: BTreeMap::new(),
            last_sequence: 0,
            local_health: LocalHealth::default(),
            next_probe: Micros::MAX,
        }
    }

    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    pub(crate) fn next_deadline(&self) -> Micros {
        let probes = self.probes.values().map(Probe::next_deadline);
        let forwarded_pings = self.forwarded_pings.values().map(ForwardedPing::next_deadline);
        probes.chain(forwarded_pings).fold(self.next_probe, Micros::min)
    }

    /// Drops all that is in flight, without a verdict.
    pub(crate) fn reset(&mut self, next_probe: Micros) {
        self.probes.clear();
        self.forwarded_pings.clear();
        self.next_probe = next_probe;
    }

    pub(crate) fn delay_probes_until(&mut self, earliest: Micros) {
        self.next_probe = self.next_probe.max(earliest);
    }

    pub(crate) fn cancel_probes_of(&mut self, name: &str) {
        self.probes.retain(|_, probe| *probe.target != *name);
    }
}

impl Membership {
    /// Lifeguard's LHA-Probe: all timeouts of a probe grow with the doubt in this relay's own timeliness.
    fn probe_multiplier(&self) -> Micros {
        Micros::from(self.detector.local_health.multiplier())
    }

    /// SWIM's round-robin selection, without the shuffle: in each period, counted by the clock, each relay
    /// probes the member that stands so many places behind it in the order of names. So with equal clocks and
    /// views each is probed once in every period, and by all in a round; with others some wait a period or
    /// two longer.
    fn probe_target(&self) -> Option<Rc<str>> {
        let live = self.members.live();
        if live.is_empty() {
            return None;
        }
        let own_place = live.partition_point(|name| *name < self.local.name);
        let turn = (self.now / PROBE_PERIOD) as usize % live.len();
        live.get((own_place + turn) % live.len()).cloned()
    }

    /// Starts the probe of this period, and carries those in flight on.
    pub(crate) fn run_probes(&mut self, out: &mut Vec<Effect>) {
        if self.detector.next_probe <= self.now {
            self.detector.next_probe = self.now + PROBE_PERIOD * self.probe_multiplier();
            if let Some(target) = self.probe_target() {
                self.start_probe(target, out);
            }
        }
        let now = self.now;
        let due = self.detector.probes.iter().filter(|(_, probe)| probe.next_deadline() <= now);
        let due: Vec<u32> = due.map(|(sequence, _)| *sequence).collect();
        for sequence in due {
            self.advance_probe(sequence, out);
        }
    }

    pub(crate) fn start_probe(&mut self, target: Rc<str>, out: &mut Vec<Effect>) {
        let probes = &self.detector.probes;
        if probes.len() >= MAX_PROBES || probes.values().any(|probe| probe.target == target) {
            return;
        }
        let sequence = self.detector.next_sequence();
        let multiplier = self.probe_multiplier();
        self.counters.probes += 1;
        self.send_ping(sequence, &target, out);
        let probe = Probe {
            target,
            retry_at: self.now + PING_RETRY_DELAY * multiplier,
            indirect_at: self.now + INDIRECT_PROBE_DELAY * multiplier,
            deadline: self.now + PROBE_PERIOD * multiplier,
            requests: 0,
            nacks: 0,
        };
        self.detector.probes.insert(sequence, probe);
    }

    fn advance_probe(&mut self, sequence: u32, out: &mut Vec<Effect>) {
        let Some(probe) = self.detector.probes.get_mut(&sequence) else { return };
        let target = probe.target.clone();
        if probe.deadline <= self.now {
            self.fail_probe(sequence, out);
        } else if probe.indirect_at <= self.now {
            probe.retry_at = Micros::MAX;
            probe.indirect_at = Micros::MAX;
            self.send_ping_requests(sequence, &target, out);
        } else if probe.retry_at <= self.now {
            probe.retry_at = Micros::MAX;
            self.send_ping(sequence, &target, out);
        }
    }

    pub(crate) fn send_ping(&mut self, sequence: u32, target: &Rc<str>, out: &mut Vec<Effect>) {
        if let Some(addr) = self.members.addr_of(target) {
            self.send_message(addr, Some(target), MessageBody::Ping { sequence }, out);
        }
    }

    /// Asks some members to ping the target. The one that reached it last is among them: with a partition
    /// between this relay and the target it is the one that sees both sides.
    fn send_ping_requests(&mut self, sequence: u32, target: &Rc<str>, out: &mut Vec<Effect>) {
        let Some(member) = self.members.get(target) else { return };
        let addr = member.update.addr;
        let reached_through = member.reached_through.clone();
        let mut helpers = self.random_live_members(INDIRECT_PROBES, Some(target));
        if let Some(name) = reached_through {
            if self.members.is_live(&name) && !helpers.contains(&name) {
                helpers.truncate(INDIRECT_PROBES - 1);
                helpers.push(name);
            }
        }
        if let Some(probe) = self.detector.probes.get_mut(&sequence) {
            probe.requests = helpers.len() as u32;
        }
        for helper in helpers {
            let Some(to) = self.members.addr_of(&helper) else { continue };
            let body = MessageBody::PingRequest { sequence, target: target.clone(), addr };
            self.send_message(to, Some(&helper), body, out);
        }
    }

    /// No answer on any path: the target becomes suspect. Helpers that did not even send a nack are evidence
    /// that this relay itself is late (Lifeguard); with nobody to ask, a failed probe counts as one such.
    fn fail_probe(&mut self, sequence: u32, out: &mut Vec<Effect>) {
        let Some(probe) = self.detector.probes.remove(&sequence) else { return };
        let missed = if probe.requests == 0 { 1 } else { probe.requests.saturating_sub(probe.nacks) };
        self.detector.local_health.degrade(missed);
        let Some(member) = self.members.get(&probe.target) else { return };
        if !member.state().is_live() {
            return;
        }
        if member.state() == MemberState::Alive {
            self.counters.suspicions += 1;
        }
        let reporter = Some(self.local.name.clone());
        let update = Update { state: MemberState::Suspect, reporter, ..member.update.clone() };
        self.apply_update(update, None, out);
    }

    /// An answer to a ping of this relay's own, or to one on another's behalf.
    pub(crate) fn receive_ack(&mut self, sequence: u32, from: &Rc<str>, out: &mut Vec<Effect>) {
        if let Some(probe) = self.detector.probes.remove(&sequence) {
            self.detector.local_health.improve();
            let Some(member) = self.members.get_mut(&probe.target) else { return };
            if probe.target == *from {
                member.reached_through = None;
            } else {
                member.source = Some(from.clone());
                member.reached_through = Some(from.clone());
            }
        } else if let Some(ping) = self.detector.forwarded_pings.remove(&sequence) {
            let body = MessageBody::Ack { sequence: ping.sequence };
            self.send_message(ping.requester, None, body, out);
        }
    }

    /// The target has not answered the helper either, but the helper reached this relay.
    pub(crate) fn receive_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.detector.probes.get_mut(&sequence) {
            probe.nacks += 1;
        }
    }

    /// Pings a member on another's behalf. Only members at the address that is known here are pinged: a
    /// message cannot direct this relay's datagrams anywhere else.
    pub(crate) fn receive_ping_request(
        &mut self,
        requester: SocketAddr,
        requested: u32,
        target: &Rc<str>,
        addr: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        let is_known = self.members.addr_of(target) == Some(addr);
        if !is_known || self.detector.forwarded_pings.len() >= MAX_FORWARDED_PINGS {
            return;
        }
        let sequence = self.detector.next_sequence();
        let ping = ForwardedPing {
            requester,
            sequence: requested,
            nack_at: self.now + NACK_DELAY,
            deadline: self.now + FORWARDED_PING_TIMEOUT,
        };
        self.detector.forwarded_pings.insert(sequence, ping);
        self.send_message(addr, Some(target), MessageBody::Ping { sequence }, out);
    }

    /// Sends nacks that are due, and forgets the pings that were never answered.
    pub(crate) fn run_forwarded_pings(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let due = self.detector.forwarded_pings.iter().filter(|(_, ping)| ping.next_deadline() <= now);
        let due: Vec<u32> = due.map(|(sequence, _)| *sequence).collect();
        for sequence in due {
            let Some(ping) = self.detector.forwarded_pings.get_mut(&sequence) else { continue };
            if ping.deadline <= now {
                self.detector.forwarded_pings.remove(&sequence);
                continue;
            }
            ping.nack_at = Micros::MAX;
            let requester = ping.requester;
            let body = MessageBody::Nack { sequence: ping.sequence };
            self.send_message(requester, None, body, out);
        }
    }
}
