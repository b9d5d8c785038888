//! The list of servers as the list service knows it: late, by versions, whole or what has changed.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::word;
use serde_json::{json, Value};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub phase: Phase,
    /// When it started last; 0 is long ago.
    pub came_up: Micros,
}

/// What never changes of a server.
#[derive(Clone, Debug)]
pub struct Plate {
    pub id: String,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
}

#[derive(Clone, Debug)]
pub struct Book {
    pub plates: Vec<Plate>,
    pub generation: u64,
    entries: Vec<Entry>,
    /// The version that each entry changed with.
    changed: Vec<u64>,
}

impl Book {
    pub fn new(plates: Vec<Plate>) -> Book {
        let count = plates.len();
        let first = Entry { phase: Phase::Ready, came_up: 0 };
        Book { plates, generation: 1, entries: vec![first; count], changed: vec![1; count] }
    }

    pub fn entry(&self, server: usize) -> Entry {
        self.entries[server]
    }

    /// True where this is news.
    pub fn note(&mut self, server: usize, entry: Entry) -> bool {
        if self.entries[server] == entry {
            return false;
        }
        self.generation += 1;
        (self.entries[server], self.changed[server]) = (entry, self.generation);
        true
    }

    pub fn whole(&self) -> Vec<usize> {
        (0..self.entries.len()).filter(|&i| self.entries[i].phase != Phase::Gone).collect()
    }

    pub fn since(&self, generation: u64) -> Vec<usize> {
        (0..self.entries.len()).filter(|&i| self.changed[i] > generation).collect()
    }

    /// The list as it was at first, before anything was told.
    pub fn first(&self, addr: impl Fn(usize) -> String) -> Value {
        let all: Vec<usize> = (0..self.plates.len()).collect();
        Book::new(self.plates.clone()).json(true, &all, addr)
    }

    /// In discovery's form; addresses may differ from one relay to the next.
    pub fn json(&self, reset: bool, servers: &[usize], addr: impl Fn(usize) -> String) -> Value {
        let instance = |&i: &usize| {
            let (entry, plate) = (self.entries[i], &self.plates[i]);
            json!({"instanceId": plate.id, "hostPort": addr(i), "zone": plate.zone,
                "machineType": plate.kind, "cell": plate.cell, "lifecycle": word(entry.phase), "weight": 1.0,
                "startedAtMs": entry.came_up / 1000})
        };
        let instances: Vec<Value> = servers.iter().map(instance).collect();
        json!({"generation": self.generation, "reset": reset, "instances": instances})
    }
}
