//! What a starting relay takes over of its store: how old each kind of record may be, and which source
//! outranks which where two disagree. Times are microseconds of the system's clock.
use crate::record::{log_entry_name, RecordKind};
use crate::stored::{StoredServer, StoredState};
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{Instance, List};

/// A removed server is remembered this long: by then it is missing from every list.
const SERVER_MAX_AGE: Micros = 7 * 86_400_000_000;

/// A slot at a server in slow start that this relay has used already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlowStartSlot {
    /// The server's name in the list.
    pub server: String,
    /// How long ago it was used, in microseconds.
    pub age: Micros,
}

/// What decides about a recovery.
pub struct RecoverInput<'a> {
    /// The system's clock.
    pub now: Micros,
    /// The relay's name.
    pub relay_name: &'a str,
    /// Where the relay asks for the endpoint list, as stored in list versions.
    pub discovery: &'a str,
    /// How long a server's slow start takes, in microseconds.
    pub slow_start: Micros,
    /// The endpoint list of the configuration.
    pub configured: &'a List,
    /// What the store held.
    pub stored: &'a StoredState,
}

/// A server that the list no longer has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedServer {
    /// Its name in the list.
    pub name: String,
    /// When it had started, in Unix microseconds.
    pub started_at: Micros,
}

/// A record that is to be removed from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObsoleteRecord {
    /// Its kind.
    pub kind: RecordKind,
    /// Its name.
    pub name: String,
}

/// What a relay begins with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The complete endpoint list. Servers that were draining or removed are so in it.
    pub list: List,
    /// Slots at servers in slow start that are used already.
    pub slow_start_slots: Vec<SlowStartSlot>,
    /// The relay's start number is at least this.
    pub min_start_number: u64,
    /// Records that are no longer needed.
    pub obsolete: Vec<ObsoleteRecord>,
    /// Servers of the list that are not stored yet.
    pub unstored: Vec<Instance>,
    /// Servers that were removed from the list.
    pub removed: Vec<RemovedServer>,
    /// Lines for the log.
    pub messages: Vec<String>,
}

/// What a relay begins with.
///
/// Another relay's store is not used. Of two lists from one source the later version holds; versions of
/// different sources can't be compared, so there the configuration's list holds. A server that was draining
/// or removed stays so until a later version of the same list says otherwise, or until it has restarted.
pub fn recover(input: &RecoverInput) -> Recovered {
    let list = List { is_complete: true, ..input.configured.clone() };
    let recovery = Recovery { input, recovered: Recovered { list, ..Recovered::default() } };
    if input.stored.relay_name.as_deref() != Some(input.relay_name) {
        return recovery.with_foreign_store();
    }
    recovery.with_own_store()
}

struct Recovery<'a> {
    input: &'a RecoverInput<'a>,
    recovered: Recovered,
}

impl<'a> Recovery<'a> {
    /// The store is new, or another relay's: nothing of it is used, now or at the next start.
    fn with_foreign_store(mut self) -> Recovered {
        let stored = self.input.stored;
        if let Some(owner) = &stored.relay_name {
            self.log(format!("the store is relay {owner}'s: nothing of it is used"));
        }
        for name in stored.servers.keys() {
            self.discard(RecordKind::Server, name);
        }
        for name in stored.slow_start_slots.keys() {
            self.discard(RecordKind::SlowStartSlot, name);
        }
        let singles =
            [RecordKind::ListVersion, RecordKind::Vote, RecordKind::Snapshot, RecordKind::Exclusions];
        for kind in singles {
            self.discard(kind, "");
        }
        for entry in &stored.raft.entries {
            self.discard(RecordKind::LogEntry, &log_entry_name(entry.index));
        }
        self.recovered.unstored.clone_from(&self.recovered.list.instances);
        self.recovered
    }

    fn with_own_store(mut self) -> Recovered {
        let stored = self.input.stored;
        // It rises whatever the clock says.
        self.recovered.min_start_number = stored.start_number + 1;
        let servers: Vec<&StoredServer> =
            stored.servers.values().filter(|server| self.is_server_trusted(server)).collect();
        self.discard_old_removals();
        self.recovered.removed = servers
            .iter()
            .filter(|server| server.instance.phase == Phase::Gone)
            .map(|server| RemovedServer {
                name: server.instance.id.clone(),
                started_at: server.instance.started_at,
            })
            .collect();
        self.choose_list(&servers);
        self.find_unstored();
        self.apply_stored_phases(&servers);
        self.recover_slow_start_slots();
        if self.age(stored.last_written_at).is_none() {
            self.log("the clock is before the last write to the store: ages are unknown".to_string());
        }
        if stored.unreadable > 0 {
            self.log(format!("{} records of the store are not understood", stored.unreadable));
        }
        self.recovered
    }

    fn log(&mut self, message: String) {
        self.recovered.messages.push(message);
    }

    fn discard(&mut self, kind: RecordKind, name: &str) {
        self.recovered.obsolete.push(ObsoleteRecord { kind, name: name.to_string() });
    }

    /// How long ago something was written; `None` where the clock can't be trusted: the time is in the
    /// future, or the clock is before the last write.
    fn age(&self, written_at: Micros) -> Option<Micros> {
        if self.input.now < self.input.stored.last_written_at {
            return None;
        }
        self.input.now.checked_sub(written_at)
    }

    /// How old a record may be; `None` where there is no bound. `docs/recovery.md` has the reasons.
    fn max_age(&self, kind: RecordKind) -> Option<Micros> {
        match kind {
            RecordKind::Server => Some(SERVER_MAX_AGE),
            // A slot matters while the server is in slow start.
            RecordKind::SlowStartSlot => Some(self.input.slow_start),
            // Raft: term, vote, log and snapshot survive any restart.
            RecordKind::Vote | RecordKind::LogEntry | RecordKind::Snapshot => None,
            RecordKind::RelayIdentity | RecordKind::ListVersion | RecordKind::Exclusions => None,
        }
    }

    /// The age that a record counts with; `None` where it is too old to be used. A record of unknown age
    /// counts as written just now: a removed server stays removed, a slow-start slot counts as just used.
    fn trusted_age(&self, kind: RecordKind, written_at: Micros) -> Option<Micros> {
        let Some(age) = self.age(written_at) else { return Some(0) };
        let is_too_old = self.max_age(kind).is_some_and(|max_age| age >= max_age);
        (!is_too_old).then_some(age)
    }

    fn is_server_trusted(&self, server: &StoredServer) -> bool {
        self.trusted_age(RecordKind::Server, server.written_at).is_some()
    }

    fn discard_old_removals(&mut self) {
        for (name, server) in &self.input.stored.servers {
            if server.instance.phase == Phase::Gone && !self.is_server_trusted(server) {
                self.discard(RecordKind::Server, name);
            }
        }
    }

    /// The stored version, where it is of this relay's source.
    fn stored_generation(&self) -> Option<u64> {
        let version = self.input.stored.list_version.as_ref()?;
        (version.source == self.input.discovery).then_some(version.generation)
    }

    /// Takes the stored list where it is a later version from the same source.
    fn choose_list(&mut self, servers: &[&StoredServer]) {
        let Some(generation) = self.stored_generation() else { return };
        if generation <= self.input.configured.generation {
            return;
        }
        let listed = servers.iter().map(|server| &server.instance).filter(|one| one.phase != Phase::Gone);
        self.recovered.list.generation = generation;
        self.recovered.list.instances = listed.cloned().collect();
        self.log(format!("the list of version {generation} is from the store"));
    }

    fn find_unstored(&mut self) {
        let stored = &self.input.stored.servers;
        let unstored = self.recovered.list.instances.iter().filter(|one| !stored.contains_key(&one.id));
        self.recovered.unstored = unstored.cloned().collect();
    }

    /// Servers that were draining or removed stay so, unless the list is a later version of the one that said
    /// so, or the server has restarted.
    fn apply_stored_phases(&mut self, servers: &[&StoredServer]) {
        let is_same_source = self.stored_generation().is_some();
        let generation = self.recovered.list.generation;
        let mut changed = 0;
        for instance in &mut self.recovered.list.instances {
            let is_stored =
                |s: &&&StoredServer| s.instance.id == instance.id && s.instance.phase != Phase::Ready;
            let Some(stored) = servers.iter().find(is_stored) else { continue };
            let is_overruled = is_same_source && generation > stored.generation;
            let has_restarted = instance.started_at > stored.instance.started_at;
            if instance.phase == Phase::Ready && !is_overruled && !has_restarted {
                instance.phase = stored.instance.phase;
                changed += 1;
            }
        }
        if changed > 0 {
            self.log(format!("{changed} servers are draining or removed, as the store has them"));
        }
    }

    fn recover_slow_start_slots(&mut self) {
        for (server, used_at) in &self.input.stored.slow_start_slots {
            match self.trusted_age(RecordKind::SlowStartSlot, *used_at) {
                Some(age) => {
                    let slot = SlowStartSlot { server: server.clone(), age };
                    self.recovered.slow_start_slots.push(slot);
                }
                None => self.discard(RecordKind::SlowStartSlot, server),
            }
        }
    }
}
