//! The endpoint list as the list service has it: its version, and what changed since another.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::word;
use serde_json::{json, Value};

/// What changes of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Ready, draining or removed.
    pub phase: Phase,
    /// When it started last; 0 is long ago.
    pub started_at: Micros,
}

/// What never changes of a backend.
#[derive(Clone, Debug)]
pub struct BackendIdentity {
    /// Its id in the list.
    pub id: String,
    /// Name of its zone.
    pub zone: String,
    /// Its type of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u16,
}

/// One backend in the list.
#[derive(Clone, Debug)]
struct ListedBackend {
    entry: Entry,
    /// The version that it changed with last.
    changed_in: u64,
}

/// The whole list. Backends are numbered from 0.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// By backend.
    pub identities: Vec<BackendIdentity>,
    /// Version; raised with each change.
    pub generation: u64,
    backends: Vec<ListedBackend>,
}

impl EndpointList {
    /// All backends ready, since long ago.
    pub fn new(identities: Vec<BackendIdentity>) -> EndpointList {
        let entry = Entry { phase: Phase::Ready, started_at: 0 };
        let backends = vec![ListedBackend { entry, changed_in: 1 }; identities.len()];
        EndpointList { identities, generation: 1, backends }
    }

    /// What the list has of a backend.
    pub fn entry(&self, backend: usize) -> Entry {
        self.backends[backend].entry
    }

    /// Sets what the list has of a backend. Returns whether that changes it.
    pub fn update(&mut self, backend: usize, entry: Entry) -> bool {
        if self.backends[backend].entry == entry {
            return false;
        }
        self.generation += 1;
        self.backends[backend] = ListedBackend { entry, changed_in: self.generation };
        true
    }

    /// The backends that are not removed.
    pub fn present(&self) -> Vec<usize> {
        self.select(|backend| backend.entry.phase != Phase::Gone)
    }

    /// The backends that changed after a version.
    pub fn changed_since(&self, generation: u64) -> Vec<usize> {
        self.select(|backend| backend.changed_in > generation)
    }

    fn select(&self, is_selected: impl Fn(&ListedBackend) -> bool) -> Vec<usize> {
        (0..self.backends.len()).filter(|&i| is_selected(&self.backends[i])).collect()
    }

    /// The list as it was at first, in discovery's JSON.
    pub fn initial_json(&self, addr: impl Fn(usize) -> String) -> Value {
        let all: Vec<usize> = (0..self.identities.len()).collect();
        EndpointList::new(self.identities.clone()).json(true, &all, addr)
    }

    /// Some backends in discovery's JSON; `reset` where they are the whole list. Addresses may differ by
    /// relay.
    pub fn json(&self, reset: bool, backends: &[usize], addr: impl Fn(usize) -> String) -> Value {
        let instance = |&i: &usize| {
            let entry = self.entry(i);
            let identity = &self.identities[i];
            json!({"instanceId": identity.id, "hostPort": addr(i), "zone": identity.zone,
                "machineType": identity.kind, "cell": identity.cell, "lifecycle": word(entry.phase),
                "weight": 1.0, "startedAtMs": entry.started_at / 1000})
        };
        let instances: Vec<Value> = backends.iter().map(instance).collect();
        json!({"generation": self.generation, "reset": reset, "instances": instances})
    }
}
