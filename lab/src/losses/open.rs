//! Tracks which sessions are open at the end of each second, and on how many backends each group of sessions
//! has open ones. Sessions of one group share work on a backend, so a group on few backends is cheaper.
use super::backends::Backends;
use super::rows::Fleet;
use hallrelay_balancer::types::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A placed session with its start and end.
#[derive(Clone, Copy, Debug)]
pub struct PlacedSession {
    /// The second in which it was placed.
    pub from: u32,
    /// The second in which it ended; `None` if it was open at the end of the day.
    pub to: Option<u32>,
    /// Its group; 0 if it has none.
    pub group: u64,
    /// Number of its backend.
    pub backend: u32,
}

impl PlacedSession {
    fn pair(&self) -> Pair {
        Pair { group: self.group, backend: self.backend }
    }
}

/// A group and a backend with an open session of this group.
#[derive(PartialEq, Eq, Hash)]
struct Pair {
    group: u64,
    backend: u32,
}

/// The open sessions, advanced second by second.
pub struct OpenSessions {
    /// Sessions that have not started yet, in descending order of their start: the next one is the last.
    by_start: Vec<PlacedSession>,
    /// Sessions that have not ended yet, in descending order of their end: the next one is the last.
    by_end: Vec<PlacedSession>,
    /// Number of open sessions by backend.
    on_backend: HashMap<u32, u64>,
    /// Number of open sessions by pair of group and backend.
    pairs: HashMap<Pair, u64>,
    /// Number of pairs by group.
    groups: HashMap<u64, u64>,
    /// Addresses of the backends by their numbers, if known.
    addresses: Vec<Option<SocketAddr>>,
}

impl OpenSessions {
    /// Creates the state before the first second. `addresses` has the address of each backend, by its number.
    pub fn new(placed_sessions: Vec<PlacedSession>, addresses: Vec<Option<SocketAddr>>) -> OpenSessions {
        let mut by_end: Vec<PlacedSession> =
            placed_sessions.iter().copied().filter(|session| session.to.is_some()).collect();
        by_end.sort_by_key(|session| std::cmp::Reverse(session.to));
        let mut by_start = placed_sessions;
        by_start.sort_by_key(|session| std::cmp::Reverse(session.from));
        let (on_backend, pairs, groups) = Default::default();
        OpenSessions { by_start, by_end, on_backend, pairs, groups, addresses }
    }

    /// Advances to the end of a second. Must be called with ascending seconds.
    pub fn advance(&mut self, second: u32) {
        while let Some(session) = self.by_start.pop_if(|session| session.from <= second) {
            self.add(session);
        }
        while let Some(session) = self.by_end.pop_if(|session| session.to <= Some(second)) {
            self.remove(session);
        }
    }

    /// The current state of the fleet, according to the lists that relays received up to a moment.
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

    fn add(&mut self, session: PlacedSession) {
        *self.on_backend.entry(session.backend).or_default() += 1;
        if session.group == 0 {
            return;
        }
        let sessions = self.pairs.entry(session.pair()).or_default();
        *sessions += 1;
        if *sessions == 1 {
            *self.groups.entry(session.group).or_default() += 1;
        }
    }

    fn remove(&mut self, session: PlacedSession) {
        decrement(&mut self.on_backend, session.backend);
        if session.group != 0 && decrement(&mut self.pairs, session.pair()) {
            decrement(&mut self.groups, session.group);
        }
    }
}

/// Decrements a count and removes it at 0. Returns whether it was removed.
fn decrement<K: std::hash::Hash + Eq>(counts: &mut HashMap<K, u64>, key: K) -> bool {
    let Some(count) = counts.get_mut(&key) else { return false };
    *count -= 1;
    let is_last = *count == 0;
    if is_last {
        counts.remove(&key);
    }
    is_last
}
