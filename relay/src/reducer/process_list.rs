//! The endpoint list between the two processes of a hot restart. Both are one relay: what one of them
//! has received from discovery or other relays holds for the other.
use super::lifecycle::LifecycleEvent;
use super::watch::ListVersion;
use super::{Effect, Reducer};
use hallrelay_balancer::types::Phase;
use hallrelay_config::list::{self, Instance, List};
use hallrelay_hot_restart::{ListExtension, Message, OwnershipEvent, RelayUpdate, RemovedServer};
use hallrelay_recovery::SlowStartSlot;
use serde_json::Value;
use std::net::SocketAddr;

/// A list of the other process.
struct ProcessList {
    list: List,
    source: SocketAddr,
    removed: Vec<RemovedServer>,
}

impl Reducer {
    /// Adds to an encoded list of this process what the other process has to know about it.
    /// `with_ids` adds the ids of ended sessions that must not run again.
    pub(super) fn list_for_process(&self, mut list: Value, with_ids: bool) -> Value {
        let removed = self
            .removed_servers
            .iter()
            .map(|(name, &started_at)| RemovedServer { name: name.clone(), started_at });
        let source = Some(self.list_version.source.to_string());
        let removed = removed.collect();
        let dialled = match with_ids {
            true => self.finished_ids.iter().collect(),
            false => Vec::new(),
        };
        ListExtension { source, removed, dialled, accepts_updates: true, update: None }.attach(&mut list);
        list
    }

    /// Forwards a list to the other process, whose own watch may not be open: to the successor, and to a
    /// predecessor that may have to serve again.
    pub(super) fn send_list_to_processes(&mut self, list: &List, out: &mut Vec<Effect>) {
        let has_successor = self.ownership.successor().is_some();
        if !has_successor && !self.ownership.updates_predecessor() {
            return;
        }
        let list = list::encode(list.generation, list.is_complete, list.instances.iter());
        let list = self.list_for_process(list, false);
        let event = match has_successor {
            true => OwnershipEvent::ListReceived { list },
            false => OwnershipEvent::PredecessorUpdated { message: Message::EndpointList { list } },
        };
        self.apply_ownership_event(event, out);
    }

    /// Notifies a predecessor that may have to serve again of what this process has received or used.
    pub(super) fn update_predecessor(&mut self, update: RelayUpdate, out: &mut Vec<Effect>) {
        if self.ownership.updates_predecessor() {
            let message = ListExtension::message(update);
            self.apply_ownership_event(OwnershipEvent::PredecessorUpdated { message }, out);
        }
    }

    /// Handles a message of the successor.
    pub(super) fn receive_from_successor(&mut self, list: &Value, out: &mut Vec<Effect>) {
        match ListExtension::of(list).update {
            None => self.receive_process_list(list, out),
            Some(RelayUpdate::Excluded(excluded)) => {
                self.exclude_backends(excluded.log_index, excluded.backends.into_iter().collect(), out);
            }
            Some(RelayUpdate::Draining(true)) => {
                self.apply_lifecycle_event(LifecycleEvent::SuccessorDrains, out);
            }
            Some(RelayUpdate::Draining(false)) => {
                self.apply_lifecycle_event(LifecycleEvent::SuccessorActivated, out);
            }
            Some(RelayUpdate::Dialled(id)) => self.remember_ids([id]),
            Some(RelayUpdate::SlotUsed(server)) => {
                self.restore_slots(&[SlowStartSlot { server, age: 0 }], out);
            }
        }
    }

    /// Parses a list of the other process; `None` if it cannot be parsed. An earlier build does not name the
    /// source, which then is this process's own.
    fn parse_process_list(&self, value: &Value) -> Option<ProcessList> {
        let list = list::parse(value.to_string().as_bytes()).ok()?;
        let extension = ListExtension::of(value);
        let source = extension.source.and_then(|source| source.parse().ok());
        let source = source.unwrap_or(self.node.discovery);
        Some(ProcessList { list, source, removed: extension.removed })
    }

    /// Adopts the list that the predecessor hands over. While discovery has not answered this process, it
    /// replaces the configured list unless that is a later version from the same source. Afterwards only a
    /// later version from the same source replaces this process's own list.
    pub(super) fn adopt_predecessor_list(&mut self, list: &Value, out: &mut Vec<Effect>) {
        self.remember_ids(ListExtension::of(list).dialled);
        let Some(ProcessList { list, source, removed }) = self.parse_process_list(list) else { return };
        let own = self.list_version.at(source);
        let is_answered = self.last_discovery_answer_at.is_some();
        if !is_answered {
            let removed = removed.into_iter().map(|server| (server.name, server.started_at));
            self.removed_servers.extend(removed);
        }
        let replaces = match own {
            Some(own) if is_answered => own < list.generation,
            Some(own) => own <= list.generation,
            None => !is_answered,
        };
        if replaces {
            self.list_version = ListVersion { source, generation: list.generation };
            let list = List { is_complete: true, ..list };
            self.record_removed_servers(&list);
            self.apply_list(list, out);
        } else if own == Some(list.generation) {
            self.apply_drains(list, out);
        }
    }

    /// Handles a list that the other process received. One that is older than this process's own is ignored.
    /// Once discovery has answered this process, only the drains and removals of the list are used, as this
    /// process's own watch brings the rest.
    pub(super) fn receive_process_list(&mut self, list: &Value, out: &mut Vec<Effect>) {
        let Some(ProcessList { list, source, .. }) = self.parse_process_list(list) else { return };
        let own = self.list_version.at(source);
        if own.is_some_and(|own| own > list.generation) {
            return;
        }
        if self.last_discovery_answer_at.is_some() || own == Some(list.generation) {
            return self.apply_drains(list, out);
        }
        self.list_version = ListVersion { source, generation: list.generation };
        self.record_removed_servers(&list);
        self.persist_list(&list, out);
        self.apply_list(list, out);
    }

    /// Applies the drains and removals of a list, except for servers that have started again since.
    fn apply_drains(&mut self, list: List, out: &mut Vec<Effect>) {
        let instances: Vec<Instance> =
            list.instances.into_iter().filter(|instance| self.ends_new_sessions(instance)).collect();
        if instances.is_empty() {
            return;
        }
        let generation = self.list_version.generation;
        let drains = List { generation, instances, ..List::default() };
        self.record_removed_servers(&drains);
        self.persist_list(&drains, out);
        self.apply_list(drains, out);
    }

    /// Whether an entry drains or removes a server that is ready according to this process's own list.
    fn ends_new_sessions(&self, entry: &Instance) -> bool {
        let is_same_start =
            |known: &Instance| known.phase == Phase::Ready && known.started_at <= entry.started_at;
        entry.phase != Phase::Ready && self.known_instance(&entry.id).is_some_and(is_same_start)
    }
}
