//! What a starting relay uses from its store: how old each kind of record may be, and which source takes
//! precedence when two disagree. Times are microseconds of the system clock.
use crate::record::{log_entry_name, RecordKind};
use crate::stored::{StoredServer, StoredState};
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{Instance, List};

/// Longest age of a removed server's record. By then a removed server is missing from every list.
const SERVER_MAX_AGE: Micros = 7 * 86_400_000_000;

/// A slot at a server in slow start that this relay has already used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlowStartSlot {
    /// Name of the server in the list.
    pub server: String,
    /// Time since the slot was used, in microseconds.
    pub age: Micros,
}

/// Inputs of a recovery.
pub struct RecoverInput<'a> {
    /// Current time of the system clock.
    pub now: Micros,
    /// Name of the relay.
    pub relay_name: &'a str,
    /// Address from which the relay requests the endpoint list, in the form used by stored list versions.
    pub discovery: &'a str,
    /// Duration of a server's slow start, in microseconds.
    pub slow_start: Micros,
    /// Endpoint list of the configuration.
    pub configured: &'a List,
    /// The decoded records of the store.
    pub stored: &'a StoredState,
}

/// A server that is no longer in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedServer {
    /// Name of the server in the list.
    pub name: String,
    /// Start time of the server, in microseconds of Unix time.
    pub started_at: Micros,
}

/// A record to be removed from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObsoleteRecord {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name of the record.
    pub name: String,
}

/// The state with which a relay starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The complete endpoint list, including the stored draining or removed state of its servers.
    pub list: List,
    /// Slots at servers in slow start that are already used.
    pub slow_start_slots: Vec<SlowStartSlot>,
    /// Smallest start number that the relay may use; 0 if no earlier start of this relay is stored.
    pub min_start_number: u64,
    /// Records that are no longer needed.
    pub obsolete: Vec<ObsoleteRecord>,
    /// Servers of the list that are not in the store yet.
    pub unstored: Vec<Instance>,
    /// Servers that were removed from the list.
    pub removed: Vec<RemovedServer>,
    /// Messages for the log.
    pub messages: Vec<String>,
}

/// Determines the state with which a relay starts.
///
/// A store of another relay is not used; one without a name was created by a hot restart of this relay. Of
/// two lists from the same source, the later version takes precedence. Versions of different sources cannot
/// be compared, so that the configured list takes precedence over a stored one of another source. A server
/// that was draining or removed keeps that state until a later version from the same source changes it or the
/// server has restarted.
pub fn recover(input: &RecoverInput) -> Recovered {
    let list = List { is_complete: true, ..input.configured.clone() };
    let recovery = Recovery { input, recovered: Recovered { list, ..Recovered::default() } };
    if !input.stored.belongs_to(input.relay_name) {
        return recovery.discard_foreign_store();
    }
    recovery.recover_own_store()
}

struct Recovery<'a> {
    input: &'a RecoverInput<'a>,
    recovered: Recovered,
}

impl<'a> Recovery<'a> {
    /// Discards the records of a store that belongs to another relay, so that no later start uses them.
    fn discard_foreign_store(mut self) -> Recovered {
        let stored = self.input.stored;
        if let Some(owner) = &stored.relay_name {
            self.log(format!("the store belongs to relay {owner}; its records are ignored"));
        }
        for name in stored.servers.keys() {
            self.discard(RecordKind::Server, name);
        }
        for name in stored.slow_start_slots.keys() {
            self.discard(RecordKind::SlowStartSlot, name);
        }
        let unnamed_kinds =
            [RecordKind::ListVersion, RecordKind::Vote, RecordKind::Snapshot, RecordKind::Exclusions];
        for kind in unnamed_kinds {
            self.discard(kind, "");
        }
        for entry in &stored.raft.entries {
            self.discard(RecordKind::LogEntry, &log_entry_name(entry.index));
        }
        self.recovered.unstored.clone_from(&self.recovered.list.instances);
        self.recovered
    }

    fn recover_own_store(mut self) -> Recovered {
        let stored = self.input.stored;
        // The start number must rise even if the clock has gone back.
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
        self.add_stored_if_none_is_ready(&servers);
        self.recover_slow_start_slots();
        if self.age(stored.last_written_at).is_none() {
            let (now, last) = (self.input.now, stored.last_written_at);
            self.log(format!(
                "the clock ({now} us) is before the last write to the store ({last} us); ages are unknown"
            ));
        }
        if stored.unreadable > 0 {
            self.log(format!("{} records of the store cannot be decoded and are ignored", stored.unreadable));
        }
        self.recovered
    }

    fn log(&mut self, message: String) {
        self.recovered.messages.push(message);
    }

    fn discard(&mut self, kind: RecordKind, name: &str) {
        self.recovered.obsolete.push(ObsoleteRecord { kind, name: name.to_string() });
    }

    /// Time since a record was written. `None` if the clock cannot be trusted, because it is before that time
    /// or before the last write to the store.
    fn age(&self, written_at: Micros) -> Option<Micros> {
        if self.input.now < self.input.stored.last_written_at {
            return None;
        }
        self.input.now.checked_sub(written_at)
    }

    /// Longest age of a record; `None` if it is unlimited. `docs/recovery.md` gives the reasons.
    fn max_age(&self, kind: RecordKind) -> Option<Micros> {
        match kind {
            RecordKind::Server => Some(SERVER_MAX_AGE),
            // The slot matters only while the server is in slow start.
            RecordKind::SlowStartSlot => Some(self.input.slow_start),
            // Raft requires that term, vote, log and snapshot survive every restart.
            RecordKind::Vote | RecordKind::LogEntry | RecordKind::Snapshot => None,
            RecordKind::RelayIdentity | RecordKind::ListVersion | RecordKind::Exclusions => None,
        }
    }

    /// The age to assume for a record; `None` if the record is too old to be used. A record of unknown age
    /// counts as just written: a removed server stays removed, and a slow-start slot counts as just used.
    fn trusted_age(&self, kind: RecordKind, written_at: Micros) -> Option<Micros> {
        let Some(age) = self.age(written_at) else { return Some(0) };
        let is_too_old = self.max_age(kind).is_some_and(|max_age| age >= max_age);
        (!is_too_old).then_some(age)
    }

    /// Whether a server's record is used. A removal is dropped at its longest age. Other records are not:
    /// discovery sends only changes since the stored version, so it does not repeat an old entry or drain.
    fn is_server_trusted(&self, server: &StoredServer) -> bool {
        server.instance.phase != Phase::Gone
            || self.trusted_age(RecordKind::Server, server.written_at).is_some()
    }

    fn discard_old_removals(&mut self) {
        for (name, server) in &self.input.stored.servers {
            if !self.is_server_trusted(server) {
                self.discard(RecordKind::Server, name);
            }
        }
    }

    /// Version of the stored list; `None` if the list came from another source than this relay's.
    fn stored_generation(&self) -> Option<u64> {
        let version = self.input.stored.list_version.as_ref()?;
        (version.source == self.input.discovery).then_some(version.generation)
    }

    /// Uses the stored list if it is a later version from the same source.
    fn choose_list(&mut self, servers: &[&StoredServer]) {
        let Some(generation) = self.stored_generation() else { return };
        if generation <= self.input.configured.generation {
            return;
        }
        let listed =
            servers.iter().map(|server| &server.instance).filter(|instance| instance.phase != Phase::Gone);
        self.recovered.list.generation = generation;
        self.recovered.list.instances = listed.cloned().collect();
        self.log(format!("using version {generation} of the endpoint list from the store"));
    }

    fn find_unstored(&mut self) {
        let stored = &self.input.stored.servers;
        let unstored =
            self.recovered.list.instances.iter().filter(|instance| !stored.contains_key(&instance.id));
        self.recovered.unstored = unstored.cloned().collect();
    }

    /// Applies the stored draining or removed state to servers of the list. A state does not apply if the
    /// list is a later version from the same source than the stored list, in which the state still held, or
    /// if the server has restarted since.
    fn apply_stored_phases(&mut self, servers: &[&StoredServer]) {
        let generation = self.recovered.list.generation;
        let is_superseded = self.stored_generation().is_some_and(|stored| generation > stored);
        let mut changed = 0;
        for instance in &mut self.recovered.list.instances {
            let is_stored =
                |s: &&&StoredServer| s.instance.id == instance.id && s.instance.phase != Phase::Ready;
            let Some(stored) = servers.iter().find(is_stored) else { continue };
            let has_restarted = instance.started_at > stored.instance.started_at;
            if instance.phase == Phase::Ready && !is_superseded && !has_restarted {
                instance.phase = stored.instance.phase;
                changed += 1;
            }
        }
        if changed > 0 {
            self.log(format!("{changed} servers are draining or removed according to the store"));
        }
    }

    /// Adds the stored servers of another source if the list has no ready server: the relay could place no
    /// session until discovery answers.
    fn add_stored_if_none_is_ready(&mut self, servers: &[&StoredServer]) {
        let listed = &self.recovered.list.instances;
        if self.stored_generation().is_some() || listed.iter().any(|server| server.phase == Phase::Ready) {
            return;
        }
        let is_listed = |id: &str| listed.iter().any(|server| server.id == id);
        let stored = servers.iter().map(|server| &server.instance);
        let added: Vec<Instance> =
            stored.filter(|server| server.phase == Phase::Ready && !is_listed(&server.id)).cloned().collect();
        if !added.is_empty() {
            self.log(format!("no configured server is ready: using {} servers from the store", added.len()));
            self.recovered.list.instances.extend(added);
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
