//! SWIM's failure detector: a direct probe of one member per period, followed by indirect probes if it fails.
use crate::events::Effect;
use crate::local_health::LocalHealth;
use crate::message::MessageBody;
use crate::update::{MemberState, Update};
use crate::{Membership, Micros, MILLISECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// SWIM's protocol period, in which each member probes one other member and is probed by one.
pub const PROBE_PERIOD: Micros = 400 * MILLISECOND;
/// Delay before an unanswered ping is sent a second time.
const PING_RETRY_DELAY: Micros = 100 * MILLISECOND;
/// Delay between the first ping and the indirect probes. The rest of the period is left for their answers.
const INDIRECT_PROBE_DELAY: Micros = 200 * MILLISECOND;
/// Delay before a member that pings on another's behalf sends a nack for the missing answer. The nack must
/// arrive within the requester's probe period.
const NACK_DELAY: Micros = 100 * MILLISECOND;
/// SWIM's k: number of members that are asked to ping the target.
const INDIRECT_PROBES: usize = 3;
/// Largest number of probes in flight.
const MAX_PROBES: usize = 16;
/// Largest number of pings in flight on behalf of other members.
const MAX_FORWARDED_PINGS: usize = 64;
/// Time after which an unanswered ping on another member's behalf is dropped.
const FORWARDED_PING_TIMEOUT: Micros = 2 * PROBE_PERIOD;

/// A probe that this relay started.
struct Probe {
    target: Rc<str>,
    /// Time of the second ping; [`Micros::MAX`] after it was sent.
    retry_at: Micros,
    /// Start of the indirect probes; [`Micros::MAX`] after it.
    indirect_at: Micros,
    /// Time at which the probe fails.
    deadline: Micros,
    /// Number of members that were asked to ping the target.
    requests: u32,
    /// Number of nacks received from these members.
    nacks: u32,
}

impl Probe {
    fn next_deadline(&self) -> Micros {
        self.retry_at.min(self.indirect_at).min(self.deadline)
    }
}

/// A ping on behalf of another member.
struct ForwardedPing {
    requester: SocketAddr,
    /// Sequence number of the requester's probe.
    sequence: u32,
    /// Time of the nack; [`Micros::MAX`] after it was sent.
    nack_at: Micros,
    deadline: Micros,
}

impl ForwardedPing {
    fn next_deadline(&self) -> Micros {
        self.nack_at.min(self.deadline)
    }
}

/// Probes in flight by the sequence numbers of their pings, and the time of the next probe.
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

    /// Cancels everything in flight without a result.
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
    /// Lifeguard's LHA-Probe: all timeouts of a probe grow with the local health score.
    fn probe_multiplier(&self) -> Micros {
        Micros::from(self.detector.local_health.multiplier())
    }

    /// SWIM's round-robin selection, but without the shuffle: the clock determines the number of the period,
    /// and each relay probes the member that many positions after itself in the order of names. With equal
    /// clocks and views, each member is probed once in every period, and by each other member once in a
    /// round, which has as many periods as there are other members. With unequal clocks or views some members
    /// wait one or two periods longer.
    fn probe_target(&self) -> Option<Rc<str>> {
        let live = self.members.live();
        if live.is_empty() {
            return None;
        }
        let own_index = live.partition_point(|name| *name < self.local.name);
        let offset = (self.now / PROBE_PERIOD) as usize % live.len();
        live.get((own_index + offset) % live.len()).cloned()
    }

    /// Starts the probe of this period and advances those in flight.
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

    /// Asks some members to ping the target, including the one that reached it last: if a partition separates
    /// this relay from the target, that member is connected to both sides.
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

    /// Handles a probe without an answer on any path: the target becomes suspect. Each helper that did not
    /// even send a nack is evidence that this relay itself is slow (Lifeguard). Without helpers a failed
    /// probe counts as one missing nack.
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

    /// Handles the answer to a ping of this relay, or to a ping on another member's behalf.
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

    /// Handles a nack: the target has not answered the helper either, but the helper can reach this relay.
    pub(crate) fn receive_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.detector.probes.get_mut(&sequence) {
            probe.nacks += 1;
        }
    }

    /// Pings a member on another member's behalf. Only known members at their known addresses are pinged, so
    /// that a message cannot direct this relay's datagrams to any other address.
    pub(crate) fn receive_ping_request(
        &mut self,
        requester: SocketAddr,
        requester_sequence: u32,
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
            sequence: requester_sequence,
            nack_at: self.now + NACK_DELAY,
            deadline: self.now + FORWARDED_PING_TIMEOUT,
        };
        self.detector.forwarded_pings.insert(sequence, ping);
        self.send_message(addr, Some(target), MessageBody::Ping { sequence }, out);
    }

    /// Sends the nacks that are due and drops the pings that were not answered in time.
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
