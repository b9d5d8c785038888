//! What all relays' lists said of the backends, over the day.
use hallrelay::types::{Micros, Phase};
use hallrelay_config::list::List;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What one version of the list says of a backend, from the moment at which the first relay heard it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Told {
    heard: Micros,
    addr: SocketAddr,
    phase: Phase,
    came_up: Micros,
}

/// A version of the list that named all backends.
#[derive(Clone, Debug)]
struct Whole {
    heard: Micros,
    names: BTreeSet<String>,
}

/// How many backends were known, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    pub ready: u64,
    pub draining: u64,
    /// Those of them that started during the day.
    pub started: u64,
}

/// The backends as the lists tell of them; logs may be read in any order.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    /// By instance and by version of the list.
    told: BTreeMap<String, BTreeMap<u64, Told>>,
    wholes: BTreeMap<u64, Whole>,
    /// Addresses that were dialled or probed, and since when.
    used: BTreeMap<SocketAddr, Micros>,
}

impl Backends {
    pub fn hear(&mut self, at: Micros, list: &List) {
        for one in &list.instances {
            let told = Told { heard: at, addr: one.addr, phase: one.phase, came_up: one.came_up };
            self.tell(&one.id, list.generation, told);
        }
        if list.whole {
            let names = list.instances.iter().map(|one| one.id.clone()).collect();
            let whole = self.wholes.entry(list.generation).or_insert(Whole { heard: at, names });
            whole.heard = whole.heard.min(at);
        }
    }

    pub fn uses(&mut self, at: Micros, addr: SocketAddr) {
        let since = self.used.entry(addr).or_insert(at);
        *since = at.min(*since);
    }

    /// All logs are read: what whole lists leave out is gone by them.
    pub fn finish(&mut self) {
        for (generation, whole) in std::mem::take(&mut self.wholes) {
            let left_out: Vec<(String, Told)> = self
                .told
                .iter()
                .filter(|(name, _)| !whole.names.contains(*name))
                .filter_map(|(name, versions)| Some((name, versions.range(..generation).next_back()?.1)))
                .map(|(name, told)| {
                    (name.clone(), Told { heard: whole.heard, phase: Phase::Gone, ..told.clone() })
                })
                .collect();
            left_out.into_iter().for_each(|(name, told)| self.tell(&name, generation, told));
        }
    }

    /// The address of an instance.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.told.get(name)?.last_key_value().map(|(_, told)| told.addr)
    }

    /// How many are known at a moment. One that is used and that no list has named yet is held to be ready.
    pub fn known(&self, at: Micros) -> Known {
        let mut known = Known::default();
        let mut named = BTreeSet::new();
        for told in self.told.values().filter_map(|versions| newest(versions, at)) {
            named.insert(told.addr);
            match told.phase {
                Phase::Ready => known.ready += 1,
                Phase::Draining => known.draining += 1,
                Phase::Gone => continue,
            }
            known.started += u64::from(told.came_up > 0);
        }
        let unnamed = self.used.iter().filter(|(addr, since)| **since <= at && !named.contains(addr));
        known.ready += unnamed.count() as u64;
        known
    }

    /// Addresses of the backends that are known at a moment to have started during the day.
    pub fn started(&self, at: Micros) -> BTreeSet<SocketAddr> {
        let newest = self.told.values().filter_map(|versions| newest(versions, at));
        newest.filter(|told| told.came_up > 0).map(|told| told.addr).collect()
    }

    fn tell(&mut self, name: &str, generation: u64, told: Told) {
        let versions = self.told.entry(name.to_string()).or_default();
        let same = |a: &Told, b: &Told| (&a.addr, a.phase, a.came_up) == (&b.addr, b.phase, b.came_up);
        let before = versions.range(..=generation).next_back();
        if before.is_some_and(|(_, before)| same(before, &told) && before.heard <= told.heard) {
            return;
        }
        let entry = versions.entry(generation).or_insert_with(|| told.clone());
        if told.heard < entry.heard {
            *entry = told;
        }
    }
}

fn newest(versions: &BTreeMap<u64, Told>, at: Micros) -> Option<&Told> {
    versions.values().rev().find(|told| told.heard <= at)
}
