//! Emulated links between relays, one for each ordered pair: datagrams are dropped, duplicated, delayed,
//! reordered, corrupted or held. No I/O: datagrams that are sent are returned with their arrival times.
use crate::random::Random;
use hallrelay_balancer::types::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A set of links, each from one relay to another. Relays are numbered from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSet {
    relay_count: usize,
    contains: Vec<bool>,
}

impl LinkSet {
    /// The empty set.
    pub fn none(relay_count: usize) -> LinkSet {
        LinkSet { relay_count, contains: vec![false; relay_count * relay_count] }
    }

    /// Links from each of `from` to each of `to`, and back unless `one_way`. An empty list means all relays.
    pub fn between(relay_count: usize, from: &[usize], to: &[usize], one_way: bool) -> LinkSet {
        let all: Vec<usize> = (0..relay_count).collect();
        let or_all = |some: &[usize]| if some.is_empty() { all.clone() } else { some.to_vec() };
        let mut links = LinkSet::none(relay_count);
        for a in or_all(from) {
            for b in or_all(to) {
                links.insert(a, b);
                if !one_way {
                    links.insert(b, a);
                }
            }
        }
        links
    }

    /// All links except those within a group and those of the bridge. Without groups, splits the relays into
    /// two halves.
    pub fn partition(relay_count: usize, groups: &[Vec<usize>], bridge: Option<usize>) -> LinkSet {
        let halves = [(0..relay_count / 2).collect(), (relay_count / 2..relay_count).collect()];
        let groups = if groups.is_empty() { &halves[..] } else { groups };
        let group_of = |relay: usize| groups.iter().position(|group| group.contains(&relay));
        let group_by_relay: Vec<Option<usize>> = (0..relay_count).map(group_of).collect();
        let mut links = LinkSet::none(relay_count);
        for a in 0..relay_count {
            for b in 0..relay_count {
                let same_group = group_by_relay[a].is_some() && group_by_relay[a] == group_by_relay[b];
                if !same_group && bridge != Some(a) && bridge != Some(b) {
                    links.insert(a, b);
                }
            }
        }
        links
    }

    fn insert(&mut self, from: usize, to: usize) {
        if from != to {
            self.contains[from * self.relay_count + to] = true;
        }
    }

    /// Whether the link from one relay to another is in the set.
    pub fn contains(&self, from: usize, to: usize) -> bool {
        self.contains[from * self.relay_count + to]
    }

    /// Whether any link from or to a relay is in the set.
    pub fn touches(&self, relay: usize) -> bool {
        (0..self.relay_count).any(|other| self.contains(relay, other) || self.contains(other, relay))
    }
}

/// A fault of links. Fractions are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// All datagrams are dropped, and streams fail.
    Cut,
    /// A fraction is dropped.
    Loss(f64),
    /// A fraction arrives twice.
    Duplicate(f64),
    /// Each datagram is delayed by a random time in a range, and may be overtaken.
    Delay([Micros; 2]),
    /// A fraction is delayed by a random time in a range.
    Reorder(f64, [Micros; 2]),
    /// One byte of a fraction is changed.
    Corrupt(f64),
    /// All datagrams are held until the fault ends, and streams fail.
    Hold,
}

/// A datagram and its arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time of arrival.
    pub at: Micros,
    /// Relay that sent it.
    pub from: usize,
    /// Relay that receives it.
    pub to: usize,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// Counts of datagrams over all links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Sent by relays.
    pub sent: u64,
    /// Arrived, or scheduled to arrive; duplicates count.
    pub arrived: u64,
    /// Dropped.
    pub lost: u64,
    /// Corrupted by a fault.
    pub corrupted: u64,
}

/// An active fault.
struct ActiveFault {
    links: Rc<LinkSet>,
    fault: LinkFault,
}

/// A datagram held by a `Hold` fault.
struct HeldDatagram {
    fault_id: usize,
    arrival: Arrival,
}

/// Effect of the active faults on one datagram.
struct Delivery {
    copies: usize,
    delay: Micros,
    held_by: Option<usize>,
}

/// All links and active faults.
pub struct Links {
    /// Latency from one relay to another without a fault.
    latency: Micros,
    faults: BTreeMap<usize, ActiveFault>,
    held: Vec<HeldDatagram>,
    random: Random,
    /// Totals since the start.
    pub counts: DatagramCounts,
}

/// Maximum number of held datagrams; beyond it the oldest one is dropped.
const MAX_HELD: usize = 1 << 16;
/// Random stream of the links. A day without link faults draws nothing from it.
const RANDOM_STREAM: u64 = 0x11_4b5;

impl Links {
    /// Creates links without faults.
    pub fn new(latency: Micros, seed: u64) -> Links {
        Links {
            latency,
            faults: BTreeMap::new(),
            held: Vec::new(),
            random: Random::new(seed, RANDOM_STREAM),
            counts: DatagramCounts::default(),
        }
    }

    /// Starts a fault under a unique id.
    pub fn start_fault(&mut self, fault_id: usize, links: Rc<LinkSet>, fault: LinkFault) {
        self.faults.insert(fault_id, ActiveFault { links, fault });
    }

    /// Ends a fault; the datagrams that it held are sent now.
    pub fn end_fault(&mut self, now: Micros, fault_id: usize, out: &mut Vec<Arrival>) {
        self.faults.remove(&fault_id);
        let at = now + self.latency;
        for held in self.held.extract_if(.., |held| held.fault_id == fault_id) {
            self.counts.arrived += 1;
            out.push(Arrival { at, ..held.arrival });
        }
    }

    /// A relay sends a datagram.
    pub fn send(&mut self, now: Micros, from: usize, to: usize, mut bytes: Vec<u8>, out: &mut Vec<Arrival>) {
        self.counts.sent += 1;
        let delivery = self.draw_delivery(from, to, &mut bytes);
        if delivery.copies == 0 {
            self.counts.lost += 1;
        }
        for _ in 0..delivery.copies {
            let at = now + self.latency + delivery.delay;
            let arrival = Arrival { at, from, to, bytes: bytes.clone() };
            match delivery.held_by {
                Some(fault_id) => self.hold(HeldDatagram { fault_id, arrival }),
                None => {
                    self.counts.arrived += 1;
                    out.push(arrival);
                }
            }
        }
    }

    /// Draws the effect of the active faults on a datagram, and corrupts it if one of them does so.
    fn draw_delivery(&mut self, from: usize, to: usize, bytes: &mut [u8]) -> Delivery {
        let mut delivery = Delivery { copies: 1, delay: 0, held_by: None };
        for (fault_id, active) in &self.faults {
            if !active.links.contains(from, to) {
                continue;
            }
            match active.fault {
                LinkFault::Cut => delivery.copies = 0,
                LinkFault::Loss(fraction) if self.random.fraction() < fraction => delivery.copies = 0,
                LinkFault::Duplicate(fraction) if self.random.fraction() < fraction => delivery.copies *= 2,
                LinkFault::Delay(times) => delivery.delay += self.random.between(times),
                LinkFault::Reorder(fraction, times) if self.random.fraction() < fraction => {
                    delivery.delay += self.random.between(times);
                }
                LinkFault::Corrupt(fraction) if self.random.fraction() < fraction => {
                    let index = self.random.below(bytes.len());
                    if let Some(byte) = bytes.get_mut(index) {
                        *byte ^= 1 + self.random.below(255) as u8;
                        self.counts.corrupted += 1;
                    }
                }
                LinkFault::Hold => delivery.held_by = Some(*fault_id),
                LinkFault::Loss(_)
                | LinkFault::Duplicate(_)
                | LinkFault::Reorder(..)
                | LinkFault::Corrupt(_) => {}
            }
        }
        delivery
    }

    fn hold(&mut self, held: HeldDatagram) {
        if self.held.len() >= MAX_HELD {
            self.held.remove(0);
            self.counts.lost += 1;
        }
        self.held.push(held);
    }

    /// Latency of a stream from one relay to another; none if it cannot be open now. Streams recover from
    /// loss, duplication and corruption, so only delays count.
    pub fn stream_latency(&mut self, from: usize, to: usize) -> Option<Micros> {
        let mut latency = self.latency;
        for active in self.faults.values() {
            let is_affected = active.links.contains(from, to) || active.links.contains(to, from);
            match active.fault {
                LinkFault::Cut | LinkFault::Hold if is_affected => return None,
                LinkFault::Delay(times) if is_affected => latency += self.random.between(times),
                _ => {}
            }
        }
        Some(latency)
    }

    /// Whether an active fault stops all datagrams on one of a relay's links.
    pub fn is_cut(&self, relay: usize) -> bool {
        let stops_all = |fault: &LinkFault| matches!(fault, LinkFault::Cut | LinkFault::Hold);
        self.faults.values().any(|active| stops_all(&active.fault) && active.links.touches(relay))
    }
}
