//! The ways between relays, each directed pair by itself: what is cut, lost, doubled, late, out of order,
//! damaged or held. No I/O: what is sent comes back with the times at which it arrives.
use crate::tools::Chance;
use hallrelay_balancer::types::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Directed pairs of so many relays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ways {
    count: usize,
    on: Vec<bool>,
}

impl Ways {
    pub fn none(count: usize) -> Ways {
        Ways { count, on: vec![false; count * count] }
    }

    /// From any of some to any of others, and back unless it is one way; all stand for themselves where a
    /// list is empty.
    pub fn between(count: usize, from: &[usize], to: &[usize], one_way: bool) -> Ways {
        let all: Vec<usize> = (0..count).collect();
        let or_all = |some: &[usize]| if some.is_empty() { all.clone() } else { some.to_vec() };
        let mut ways = Ways::none(count);
        for a in or_all(from) {
            for b in or_all(to) {
                ways.set(a, b);
                if !one_way {
                    ways.set(b, a);
                }
            }
        }
        ways
    }

    /// All ways but those inside a group, and those of the bridge.
    pub fn apart(count: usize, groups: &[Vec<usize>], bridge: Option<usize>) -> Ways {
        let halves = [(0..count / 2).collect(), (count / 2..count).collect()];
        let groups = if groups.is_empty() { &halves[..] } else { groups };
        let group = |relay: usize| groups.iter().position(|group| group.contains(&relay));
        let places: Vec<Option<usize>> = (0..count).map(group).collect();
        let mut ways = Ways::none(count);
        for a in 0..count {
            for b in 0..count {
                let together = places[a].is_some() && places[a] == places[b];
                if !together && bridge != Some(a) && bridge != Some(b) {
                    ways.set(a, b);
                }
            }
        }
        ways
    }

    fn set(&mut self, from: usize, to: usize) {
        if from != to {
            self.on[from * self.count + to] = true;
        }
    }

    pub fn has(&self, from: usize, to: usize) -> bool {
        self.on[from * self.count + to]
    }

    /// Whether any of a relay's ways is among them.
    pub fn meet(&self, relay: usize) -> bool {
        (0..self.count).any(|other| self.has(relay, other) || self.has(other, relay))
    }
}

/// What a trouble does to what goes a way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    Cut,
    Loss(f64),
    Double(f64),
    /// Later by a time between two; what was sent later may overtake.
    Delay([Micros; 2]),
    /// A part of it waits so long, and the rest overtakes it.
    Reorder(f64, [Micros; 2]),
    /// One byte of this part is another one.
    Damage(f64),
    Hold,
}

/// What arrives, when, where.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub at: Micros,
    pub from: usize,
    pub to: usize,
    pub bytes: Vec<u8>,
}

/// Counted over all ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    pub sent: u64,
    pub arrived: u64,
    pub lost: u64,
    pub damaged: u64,
}

pub struct Links {
    /// One way, where nothing is wrong.
    way: Micros,
    harms: BTreeMap<usize, (Rc<Ways>, Harm)>,
    held: Vec<(usize, Arrival)>,
    rng: Chance,
    pub passed: Passed,
}

/// Datagrams that one trouble holds at most; the oldest are lost first.
const HELD: usize = 1 << 16;

impl Links {
    pub fn new(way: Micros, seed: u64) -> Links {
        // A stream of chance of its own: a day without troubles on the ways draws nothing.
        const STREAM: u64 = 0x11_4b5;
        let rng = Chance::new(seed, STREAM);
        Links { way, harms: BTreeMap::new(), held: Vec::new(), rng, passed: Passed::default() }
    }

    /// A trouble begins, by its number.
    pub fn begin(&mut self, trouble: usize, ways: Rc<Ways>, harm: Harm) {
        self.harms.insert(trouble, (ways, harm));
    }

    /// It is over; what it held arrives now.
    pub fn end(&mut self, now: Micros, trouble: usize, out: &mut Vec<Arrival>) {
        self.harms.remove(&trouble);
        let (over, kept) = std::mem::take(&mut self.held).into_iter().partition(|held| held.0 == trouble);
        self.held = kept;
        let over: Vec<(usize, Arrival)> = over;
        for (_, arrival) in over {
            self.passed.arrived += 1;
            out.push(Arrival { at: now + self.way, ..arrival });
        }
    }

    /// A datagram is sent.
    pub fn send(&mut self, now: Micros, from: usize, to: usize, mut bytes: Vec<u8>, out: &mut Vec<Arrival>) {
        self.passed.sent += 1;
        let (mut later, mut copies, mut hold) = (0, 1, None);
        for (trouble, (ways, harm)) in &self.harms {
            if !ways.has(from, to) {
                continue;
            }
            match *harm {
                Harm::Cut => copies = 0,
                Harm::Loss(part) if self.rng.part() < part => copies = 0,
                Harm::Double(part) if self.rng.part() < part => copies *= 2,
                Harm::Delay(times) => later += self.rng.between(times),
                Harm::Reorder(part, times) if self.rng.part() < part => later += self.rng.between(times),
                Harm::Damage(part) if self.rng.part() < part => {
                    let at = self.rng.below(bytes.len());
                    if let Some(byte) = bytes.get_mut(at) {
                        *byte ^= 1 + self.rng.below(255) as u8;
                        self.passed.damaged += 1;
                    }
                }
                Harm::Hold => hold = Some(*trouble),
                Harm::Loss(_) | Harm::Double(_) | Harm::Reorder(..) | Harm::Damage(_) => {}
            }
        }
        if copies == 0 {
            self.passed.lost += 1;
        }
        for _ in 0..copies {
            let arrival = Arrival { at: now + self.way + later, from, to, bytes: bytes.clone() };
            match hold {
                Some(trouble) => {
                    if self.held.len() >= HELD {
                        self.held.remove(0);
                        self.passed.lost += 1;
                    }
                    self.held.push((trouble, arrival));
                }
                None => {
                    self.passed.arrived += 1;
                    out.push(arrival);
                }
            }
        }
    }

    /// Whether a stream from one relay to another would stand just now, and how much later its bytes come;
    /// what is lost, doubled or damaged in a part mends itself there.
    pub fn stream(&mut self, from: usize, to: usize) -> Option<Micros> {
        let mut later = self.way;
        for (ways, harm) in self.harms.values() {
            let (there, back) = (ways.has(from, to), ways.has(to, from));
            match *harm {
                Harm::Cut | Harm::Hold if there || back => return None,
                Harm::Delay(times) if there || back => later += self.rng.between(times),
                _ => {}
            }
        }
        Some(later)
    }

    /// Whether nothing goes one of a relay's ways just now.
    pub fn cut(&self, relay: usize) -> bool {
        let cuts = |harm: &Harm| matches!(harm, Harm::Cut | Harm::Hold);
        self.harms.values().any(|(ways, harm)| cuts(harm) && ways.meet(relay))
    }
}
