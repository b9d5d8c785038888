//! Which sessions are open at the end of each second, and how far their groups are scattered over backends.
use super::backends::Backends;
use super::rows::Fleet;
use hallrelay_balancer::types::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A placed session.
#[derive(Clone, Copy, Debug)]
pub struct Stay {
    /// The second in which it was placed.
    pub from: u32,
    /// The second in which it ended; none where it was open as the day ended.
    pub to: Option<u32>,
    /// Its group; 0 is none.
    pub group: u64,
    /// The number of its backend.
    pub backend: u32,
}

impl Stay {
    fn pair(&self) -> Pair {
        Pair { group: self.group, backend: self.backend }
    }
}

/// A group with a backend that holds a session of it.
#[derive(PartialEq, Eq, Hash)]
struct Pair {
    group: u64,
    backend: u32,
}

/// Sessions that are open, second by second.
pub struct Open {
    /// Sorted by their beginning, the last first.
    coming: Vec<Stay>,
    /// Sorted by their end, the last first.
    going: Vec<Stay>,
    on_backend: HashMap<u32, u64>,
    /// Sessions by pair of group and backend.
    pairs: HashMap<Pair, u64>,
    /// Pairs by group.
    groups: HashMap<u64, u64>,
    /// Addresses by the numbers of backends, where they are known.
    addresses: Vec<Option<SocketAddr>>,
}

impl Open {
    /// Nothing is open yet; `addresses` are those of the backends by their numbers.
    pub fn new(stays: Vec<Stay>, addresses: Vec<Option<SocketAddr>>) -> Open {
        let mut going: Vec<Stay> = stays.iter().copied().filter(|stay| stay.to.is_some()).collect();
        going.sort_by_key(|stay| std::cmp::Reverse(stay.to));
        let mut coming = stays;
        coming.sort_by_key(|stay| std::cmp::Reverse(stay.from));
        let (on_backend, pairs, groups) = Default::default();
        Open { coming, going, on_backend, pairs, groups, addresses }
    }

    /// Goes on to the end of a second; seconds come in order.
    pub fn advance(&mut self, second: u32) {
        while let Some(stay) = self.coming.pop_if(|stay| stay.from <= second) {
            self.add(stay);
        }
        while let Some(stay) = self.going.pop_if(|stay| stay.to <= Some(second)) {
            self.remove(stay);
        }
    }

    /// The fleet as it stands, by the lists received up to a moment.
    pub fn fleet(&self, at: Micros, backends: &Backends) -> Fleet {
        let started = backends.started(at);
        let address = |number: &u32| self.addresses.get(*number as usize).copied().flatten();
        let is_started = |number: &u32| address(number).is_some_and(|address| started.contains(&address));
        let on_started = self.on_backend.iter().filter(|(number, _)| is_started(number));
        let known = backends.known(at);
        let (groups, pairs) = (self.groups.len() as u64, self.pairs.len() as u64);
        Fleet {
            open: self.on_backend.values().sum(),
            open_on_started: on_started.map(|(_, count)| count).sum(),
            ready: known.ready,
            draining: known.draining,
            started: known.started,
            groups,
            pairs,
            pairs_per_group: (groups > 0).then(|| pairs as f64 / groups as f64),
        }
    }

    fn add(&mut self, stay: Stay) {
        *self.on_backend.entry(stay.backend).or_default() += 1;
        if stay.group == 0 {
            return;
        }
        let sessions = self.pairs.entry(stay.pair()).or_default();
        *sessions += 1;
        if *sessions == 1 {
            *self.groups.entry(stay.group).or_default() += 1;
        }
    }

    fn remove(&mut self, stay: Stay) {
        take_one(&mut self.on_backend, stay.backend);
        if stay.group != 0 && take_one(&mut self.pairs, stay.pair()) {
            take_one(&mut self.groups, stay.group);
        }
    }
}

/// Takes one from a count; true where it was the last.
fn take_one<K: std::hash::Hash + Eq>(counts: &mut HashMap<K, u64>, key: K) -> bool {
    let Some(count) = counts.get_mut(&key) else { return false };
    *count -= 1;
    let is_last = *count == 0;
    if is_last {
        counts.remove(&key);
    }
    is_last
}
