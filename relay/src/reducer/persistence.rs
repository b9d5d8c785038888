//! The records that a relay stores while it runs, and the state that a starting process recovers from them.
//!
//! A slot is one dial that this relay may make to a server in slow start, that is, one that is warming up.
//! The slots are spaced by an interval, so that all relays together do not overload the server.
use super::{log, Effect, Reducer, Server};
use hallrelay_balancer::types::{Input, Phase, ServerId, ServerSnapshot, SessionId, SlotSnapshot, Snapshot};
use hallrelay_config::list::{Instance, List};
use hallrelay_hot_restart::RelayUpdate;
use hallrelay_recovery::{
    recover, PhaseInput, Record, RecoverInput, Recovered, RecoveryPhase, SlowStartSlot, StoredState,
};

impl Reducer {
    /// Sets the state read from the store. This must be called before [`Reducer::start`].
    pub fn load_state(&mut self, stored: StoredState) {
        self.stored = Some(Box::new(stored));
    }

    pub(super) fn persist(&mut self, record: Record, out: &mut Vec<Effect>) {
        out.push(Effect::Persist { record, before: None });
    }

    /// Combines a list, which has the source of `list_version`, with the stored state, and removes obsolete
    /// records from the store.
    pub(super) fn recover_state(
        &mut self,
        list: &List,
        stored: &StoredState,
        out: &mut Vec<Effect>,
    ) -> Recovered {
        let mut recovered = recover(&RecoverInput {
            now: self.now,
            relay_name: &self.node.name,
            discovery: &self.list_version.source.to_string(),
            slow_start: self.node.site.facts.warm_up,
            configured: list,
            stored,
        });
        for message in std::mem::take(&mut recovered.messages) {
            log(message, out);
        }
        for record in std::mem::take(&mut recovered.obsolete) {
            self.persist(Record::removed(record.kind, &record.name), out);
        }
        for server in std::mem::take(&mut recovered.removed) {
            self.removed_servers.insert(server.name, server.started_at);
        }
        recovered
    }

    /// Stores the servers of the recovered list that are not stored yet.
    pub(super) fn persist_unstored(&mut self, recovered: &Recovered, out: &mut Vec<Effect>) {
        for instance in &recovered.unstored {
            self.persist(Record::server(recovered.list.generation, self.now, instance), out);
        }
    }

    /// Marks the stored slots as used, at servers in slow start, unless this process has used a later one.
    pub(super) fn restore_slow_start_slots(&mut self, recovered: &Recovered, out: &mut Vec<Effect>) {
        self.restore_slots(&recovered.slow_start_slots, out);
    }

    /// Marks slots as used.
    pub(super) fn restore_slots(&mut self, slots: &[SlowStartSlot], out: &mut Vec<Effect>) {
        if slots.is_empty() {
            return;
        }
        let Snapshot { session_load, servers } = self.balancer.snapshot(self.now);
        // Servers without such a slot keep the state that the balancer gave them at its start. No server's
        // load report is restored.
        let unreported =
            servers.into_iter().map(|server| ServerSnapshot { report: None, recent_sessions: 0.0, ..server });
        let mut servers: Vec<ServerSnapshot> = unreported.collect();
        for slot in slots {
            let Some(server) = self.ids.get(&slot.server) else { continue };
            let Some(known) = servers.iter_mut().find(|known| known.server == *server) else { continue };
            let is_later = known.slot.interval_fraction >= 1.0 && known.slot.age <= slot.age;
            if !is_later {
                known.slot = SlotSnapshot { age: slot.age, interval_fraction: 1.0 };
            }
        }
        self.step_balancer(Input::Restore(Snapshot { session_load, servers }), out);
    }

    /// The phase of this relay's recovery.
    pub(super) fn recovery_phase(&self) -> RecoveryPhase {
        let slow_start = self.node.site.facts.warm_up;
        let ready = self.servers.values().filter(|server| server.instance.phase == Phase::Ready);
        let in_slow_start = |server: &&Server| server.in_slow_start(self.now, slow_start);
        RecoveryPhase::of(&PhaseInput {
            servers: ready.clone().count(),
            servers_in_slow_start: ready.filter(in_slow_start).count(),
            discovery_contacted: self.last_discovery_answer_at.is_some(),
            list_from_peer: self.peer_lists_received > 0,
        })
    }

    /// Stores this relay's name and the start number of this process; the next process takes a higher number.
    pub(super) fn persist_identity(&mut self, out: &mut Vec<Effect>) {
        if self.node.state.is_some() {
            self.persist(Record::relay_identity(&self.node.name, self.start_number, self.now), out);
        }
    }

    /// Stores the changes that a list makes, before the list is applied: servers that differ from the known
    /// ones, and those that a complete list leaves out. `list_version` must already be the list's.
    pub(super) fn persist_list(&mut self, list: &List, out: &mut Vec<Effect>) {
        if self.node.state.is_none() {
            return;
        }
        let changed =
            list.instances.iter().filter(|instance| self.known_instance(&instance.id) != Some(*instance));
        let removed = if list.is_complete { self.left_out_by(list) } else { Vec::new() };
        let changed: Vec<Instance> = changed.cloned().chain(removed).collect();
        for instance in &changed {
            self.persist(Record::server(list.generation, self.now, instance), out);
        }
        let version = Record::list_version(&self.list_version.source.to_string(), list.generation);
        self.persist(version, out);
    }

    pub(super) fn known_instance(&self, id: &str) -> Option<&Instance> {
        self.servers.get(self.ids.get(id)?).map(|server| &server.instance)
    }

    /// The servers that a complete list no longer names, marked as removed.
    fn left_out_by(&self, list: &List) -> Vec<Instance> {
        let is_named = |id: &str| list.instances.iter().any(|instance| instance.id == id);
        let left_out = self.listed_instances().filter(|instance| !is_named(&instance.id));
        left_out.map(|instance| Instance { phase: Phase::Gone, ..instance.clone() }).collect()
    }

    /// Stores that this dial uses a slot, if its server is in slow start, and notifies the predecessor. The
    /// dial waits for the record, but not longer than a limit, so that a relay that crashes repeatedly stays
    /// within its rate of dials.
    pub(super) fn record_slow_start_slot_use(
        &mut self,
        server: ServerId,
        session_id: SessionId,
        out: &mut Vec<Effect>,
    ) {
        if self.node.state.is_none() && !self.ownership.updates_predecessor() {
            return;
        }
        let Some(entry) = self.servers.get(&server) else { return };
        if !entry.in_slow_start(self.now, self.node.site.facts.warm_up) {
            return;
        }
        // A dial restarts the balancer's full interval to the next slot, so the interval's age is 0 after it.
        let used_now = SlotSnapshot { age: 0, interval_fraction: 1.0 };
        let known = self.balancer.snapshot(self.now);
        let was_used_now = known.servers.iter().any(|known| known.server == server && known.slot == used_now);
        if !was_used_now {
            return;
        }
        let name = entry.instance.id.clone();
        if self.node.state.is_some() {
            let record = Record::slow_start_slot(&name, self.now);
            out.push(Effect::Persist { record, before: Some(session_id) });
        }
        self.update_predecessor(RelayUpdate::SlotUsed(name), out);
    }
}
