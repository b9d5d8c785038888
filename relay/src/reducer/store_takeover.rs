//! Takes the store over from the other process of this relay. What that process has stored (drains, excluded
//! backends, used slots) holds for this one, and what this one knows is stored.
use super::lifecycle::LifecycleEvent;
use super::watch::ListVersion;
use super::{log, Effect, Reducer, Timer};
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{Instance, List};
use hallrelay_recovery::{Exclusions, Record, StoredState};

impl Reducer {
    /// Serves in place of a process that has ended without handing over its state. If there is a store, it is
    /// read first, as at a cold start: that process may have been notified of drains there.
    pub(super) fn serve_after_store(&mut self, event: LifecycleEvent, out: &mut Vec<Effect>) {
        self.pending_service = Some(event);
        self.await_first_list(out);
        self.acquire_store_and_membership(out);
        if self.node.state.is_none() {
            return self.begin_service(out);
        }
        let after = self.node.limits.state_open_timeout;
        out.push(Effect::StartTimer { after, timer: Timer::StoreOpenTimeout });
    }

    /// Serves now, if that waits for the store.
    pub(super) fn begin_service(&mut self, out: &mut Vec<Effect>) {
        if let Some(event) = self.pending_service.take() {
            self.apply_lifecycle_event(event, out);
            out.push(Effect::SetTakeoverListener { open: true });
        }
    }

    /// Handles the content of the store that this process owns from now on.
    pub(super) fn store_reopened(&mut self, stored: &StoredState, out: &mut Vec<Effect>) {
        self.merge_stored_list(stored, out);
        if stored.belongs_to(&self.node.name) {
            self.store_missing_facts(stored, out);
        } else {
            // The records of the other relay were discarded.
            self.store_missing_facts(&StoredState::default(), out);
        }
        self.start_voter(Some(stored), out);
        self.begin_service(out);
    }

    /// Combines the known list with the stored one, as a start combines it with the configured one.
    /// Discovery's answer to this process takes precedence over a list from another source, unless this
    /// process resumes: the successor has received that list later.
    fn merge_stored_list(&mut self, stored: &StoredState, out: &mut Vec<Effect>) {
        let known = self.known_list();
        let recovered = self.recover_state(&known, stored, out);
        let source = self.list_version.source.to_string();
        let is_same_source = stored.list_version.as_ref().is_some_and(|version| version.source == source);
        let resumes = self.pending_service == Some(LifecycleEvent::SuccessorExited);
        let is_used = is_same_source || resumes || self.last_discovery_answer_at.is_none();
        if is_used && !recovered.list.instances.is_empty() && recovered.list != known {
            log("using the drains and changes that the other process has stored", out);
            let generation = recovered.list.generation;
            self.list_version = ListVersion { generation, ..self.list_version };
            self.apply_list(recovered.list.clone(), out);
        }
        self.restore_slow_start_slots(&recovered, out);
    }

    fn known_list(&self) -> List {
        let instances = self.listed_instances().cloned().collect();
        List { generation: self.list_version.generation, is_complete: true, instances, ..List::default() }
    }

    /// Stores what this process knows and the store lacks: a store that is new, or that the other process did
    /// not have, gets this relay's identity, the list, the excluded backends and the used slots.
    fn store_missing_facts(&mut self, stored: &StoredState, out: &mut Vec<Effect>) {
        if stored.relay_name.as_ref() != Some(&self.node.name) {
            self.persist_identity(out);
        }
        let generation = self.list_version.generation;
        for instance in self.unstored_instances(stored) {
            self.persist(Record::server(generation, self.now, &instance), out);
        }
        let source = self.list_version.source.to_string();
        let version = stored.list_version.as_ref();
        if version.is_none_or(|stored| stored.source != source || stored.generation != generation) {
            self.persist(Record::list_version(&source, generation), out);
        }
        self.store_missing_exclusions(&stored.exclusions, out);
        for (server, used_at) in self.used_slots() {
            if stored.slow_start_slots.get(&server).is_none_or(|stored| *stored < used_at) {
                self.persist(Record::slow_start_slot(&server, used_at), out);
            }
        }
    }

    /// The servers whose stored entries differ from the known ones. Those that are no longer known count as
    /// removed.
    fn unstored_instances(&self, stored: &StoredState) -> Vec<Instance> {
        let is_known = |id: &String| self.known_instance(id).is_some_and(|known| known.phase != Phase::Gone);
        let removed = stored
            .servers
            .values()
            .map(|server| &server.instance)
            .filter(|instance| instance.phase != Phase::Gone && !is_known(&instance.id))
            .map(|instance| Instance { phase: Phase::Gone, ..instance.clone() });
        let is_stored = |instance: &Instance| {
            stored.servers.get(&instance.id).is_some_and(|server| server.instance == *instance)
        };
        let changed = self.listed_instances().filter(|instance| !is_stored(instance)).cloned();
        changed.chain(removed).collect()
    }

    fn store_missing_exclusions(&mut self, stored: &Exclusions, out: &mut Vec<Effect>) {
        let Some(coordination) = &self.coordination else { return };
        let excluded = &coordination.excluded;
        if excluded.index > stored.log_index && excluded.ids != stored.backends {
            let record = Record::exclusions(excluded.index, &excluded.ids);
            self.persist(record, out);
        }
    }

    /// When this relay last used a slot at each server in slow start, by the server's name.
    fn used_slots(&self) -> Vec<(String, Micros)> {
        let warm_up = self.node.site.facts.warm_up;
        let used = self.balancer.snapshot(self.now).servers.into_iter().filter_map(|known| {
            let server = self.servers.get(&known.server)?;
            let is_used = known.slot.interval_fraction >= 1.0 && server.in_slow_start(self.now, warm_up);
            is_used.then(|| (server.instance.id.clone(), self.now.saturating_sub(known.slot.age)))
        });
        used.collect()
    }
}
