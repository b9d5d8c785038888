//! The endpoint list as the list service has it: its version, and the changes since an earlier version.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::word;
use serde_json::{json, Value};

/// The part of a backend's listing that changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Ready, draining or removed.
    pub phase: Phase,
    /// Time of its last start; 0 means long ago.
    pub started_at: Micros,
}

/// The part of a backend's listing that never changes.
#[derive(Clone, Debug)]
pub struct BackendIdentity {
    /// Its id in the list.
    pub id: String,
    /// Name of its zone.
    pub zone: String,
    /// Type of its machine.
    pub kind: String,
    /// Its cell.
    pub cell: u16,
}

/// One backend in the list.
#[derive(Clone, Debug)]
struct ListedBackend {
    entry: Entry,
    /// Version in which it last changed.
    changed_in: u64,
}

/// The complete list. Backends are numbered from 0.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// By backend.
    pub identities: Vec<BackendIdentity>,
    /// Version; incremented with each change.
    pub generation: u64,
    backends: Vec<ListedBackend>,
}

impl EndpointList {
    /// Creates a list with all backends ready since long ago.
    pub fn new(identities: Vec<BackendIdentity>) -> EndpointList {
        let entry = Entry { phase: Phase::Ready, started_at: 0 };
        let backends = vec![ListedBackend { entry, changed_in: 1 }; identities.len()];
        EndpointList { identities, generation: 1, backends }
    }

    /// The entry of a backend.
    pub fn entry(&self, backend: usize) -> Entry {
        self.backends[backend].entry
    }

    /// Sets the entry of a backend. Returns whether it changed.
    pub fn update(&mut self, backend: usize, entry: Entry) -> bool {
        if self.backends[backend].entry == entry {
            return false;
        }
        self.generation += 1;
        self.backends[backend] = ListedBackend { entry, changed_in: self.generation };
        true
    }

    /// Backends that are not removed.
    pub fn present(&self) -> Vec<usize> {
        self.select(|backend| backend.entry.phase != Phase::Gone)
    }

    /// Backends that changed after a version.
    pub fn changed_since(&self, generation: u64) -> Vec<usize> {
        self.select(|backend| backend.changed_in > generation)
    }

    fn select(&self, is_selected: impl Fn(&ListedBackend) -> bool) -> Vec<usize> {
        (0..self.backends.len()).filter(|&i| is_selected(&self.backends[i])).collect()
    }

    /// The initial list in discovery's JSON format.
    pub fn initial_json(&self, addr: impl Fn(usize) -> String) -> Value {
        let all: Vec<usize> = (0..self.identities.len()).collect();
        EndpointList::new(self.identities.clone()).json(true, &all, addr)
    }

    /// Some backends in discovery's JSON format; `reset` marks the complete list. Addresses may differ by
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
