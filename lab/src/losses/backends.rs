//! The backends during the day, as stated in the endpoint lists of all relays. Versions of the list have
//! ascending numbers (generations); relays receive each version at different times.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{Instance, List};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The entry of a backend in one version of the list, valid from when the first relay received that version.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Listing {
    since: Micros,
    addr: SocketAddr,
    phase: Phase,
    started_at: Micros,
}

/// A version of the list that contained all backends.
#[derive(Clone, Debug)]
struct CompleteList {
    since: Micros,
    names: BTreeSet<String>,
}

/// Number of known backends by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// Backends in service.
    pub ready: u64,
    /// Backends that are draining.
    pub draining: u64,
    /// Ready or draining backends that started during the day.
    pub started: u64,
}

/// The backends as the lists state them. Logs may be read in any order.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    /// Entries by the name of the backend and the version of the list. An entry that repeats the previous one
    /// is left out.
    listings: BTreeMap<String, BTreeMap<u64, Listing>>,
    complete_lists: BTreeMap<u64, CompleteList>,
    /// Addresses that were dialled or checked, with the time of the first use.
    used: BTreeMap<SocketAddr, Micros>,
}

impl Backends {
    /// Records a list that a relay received at a moment of the day.
    pub fn record_list(&mut self, at: Micros, list: &List) {
        for instance in &list.instances {
            let &Instance { addr, phase, started_at, .. } = instance;
            self.insert(&instance.id, list.generation, Listing { since: at, addr, phase, started_at });
        }
        if list.is_complete {
            let names = list.instances.iter().map(|instance| instance.id.clone()).collect();
            let complete =
                self.complete_lists.entry(list.generation).or_insert(CompleteList { since: at, names });
            complete.since = complete.since.min(at);
        }
    }

    /// Records that a relay dialled or checked an address.
    pub fn record_use(&mut self, at: Micros, addr: SocketAddr) {
        let since = self.used.entry(addr).or_insert(at);
        *since = at.min(*since);
    }

    /// Marks backends as gone that a complete list no longer contains. Must be called after all logs were
    /// read.
    pub fn finish(&mut self) {
        for (generation, complete) in std::mem::take(&mut self.complete_lists) {
            let left_out: Vec<(String, Listing)> = self
                .listings
                .iter()
                .filter(|(name, _)| !complete.names.contains(*name))
                .filter_map(|(name, versions)| Some((name, versions.range(..generation).next_back()?.1)))
                .map(|(name, listing)| {
                    (name.clone(), Listing { since: complete.since, phase: Phase::Gone, ..listing.clone() })
                })
                .collect();
            left_out.into_iter().for_each(|(name, listing)| self.insert(&name, generation, listing));
        }
    }

    /// The last known address of the backend with this name.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.listings.get(name)?.last_key_value().map(|(_, listing)| listing.addr)
    }

    /// Number of backends known at a moment. A backend that relays use before a list contains it counts as
    /// ready.
    pub fn known(&self, at: Micros) -> Known {
        let mut known = Known::default();
        let mut named = BTreeSet::new();
        for listing in self.listings.values().filter_map(|versions| newest(versions, at)) {
            named.insert(listing.addr);
            match listing.phase {
                Phase::Ready => known.ready += 1,
                Phase::Draining => known.draining += 1,
                Phase::Gone => continue,
            }
            // The list has no start time, here 0, for backends that were up before the day.
            known.started += u64::from(listing.started_at > 0);
        }
        let unnamed = self.used.iter().filter(|(addr, since)| **since <= at && !named.contains(addr));
        known.ready += unnamed.count() as u64;
        known
    }

    /// Addresses of the backends that, as far as known at a moment, started during the day.
    pub fn started(&self, at: Micros) -> BTreeSet<SocketAddr> {
        let newest = self.listings.values().filter_map(|versions| newest(versions, at));
        newest.filter(|listing| listing.started_at > 0).map(|listing| listing.addr).collect()
    }

    fn insert(&mut self, name: &str, generation: u64, listing: Listing) {
        let versions = self.listings.entry(name.to_string()).or_default();
        let same =
            |a: &Listing, b: &Listing| (&a.addr, a.phase, a.started_at) == (&b.addr, b.phase, b.started_at);
        let before = versions.range(..=generation).next_back();
        if before.is_some_and(|(_, before)| same(before, &listing) && before.since <= listing.since) {
            return;
        }
        let entry = versions.entry(generation).or_insert_with(|| listing.clone());
        if listing.since < entry.since {
            *entry = listing;
        }
    }
}

fn newest(versions: &BTreeMap<u64, Listing>, at: Micros) -> Option<&Listing> {
    versions.values().rev().find(|listing| listing.since <= at)
}
