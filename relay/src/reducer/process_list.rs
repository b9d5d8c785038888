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
}

impl Reducer {
    /// The known list as it is handed over, with what the successor has to know beyond it.
    pub(super) fn list_for_successor(&self) -> Value {
        let removed = self
            .removed_servers
            .iter()
            .map(|(name, &started_at)| RemovedServer { name: name.clone(), started_at });
        let extension = ListExtension {
            removed: removed.collect(),
            dialled: self.finished_ids.iter().collect(),
            accepts_updates: true,
            ..self.list_source()
        };
        let mut list = self.encoded_list();
        extension.attach(&mut list);
        list
    }

    fn list_source(&self) -> ListExtension {
        ListExtension { source: Some(self.list_version.source.to_string()), ..ListExtension::default() }
    }

    /// Forwards a list to the other process, whose own watch may not be open: to the successor, and to a
    /// predecessor that may have to serve again.
    pub(super) fn send_list_to_processes(&mut self, list: &List, out: &mut Vec<Effect>) {
        let has_successor = self.ownership.successor().is_some();
        if !has_successor && !self.ownership.updates_predecessor() {
            return;
        }
        let mut list = list::encode(list.generation, list.is_complete, list.instances.iter());
        self.list_source().attach(&mut list);
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
        let extension = ListExtension::of(list);
        match extension.update {
            None => self.receive_process_list(list, extension.source, out),
            Some(RelayUpdate::Excluded(excluded)) => {
                self.exclude_backends(excluded.log_index, excluded.backends.into_iter().collect(), out);
            }
            Some(RelayUpdate::Draining(true)) => {
                self.apply_lifecycle_event(LifecycleEvent::SuccessorDrains, out);
            }
            Some(RelayUpdate::Draining(false)) => {
                self.apply_lifecycle_event(LifecycleEvent::SuccessorActivated, out);
            }
            Some(RelayUpdate::Dialled(id)) => self.record_ids([id]),
            Some(RelayUpdate::SlotUsed(server)) => {
                self.restore_slots(&[SlowStartSlot { server, age: 0 }], out);
            }
        }
    }

    /// Handles a list that the predecessor received after the handover.
    pub(super) fn receive_from_predecessor(&mut self, list: &Value, out: &mut Vec<Effect>) {
        self.receive_process_list(list, ListExtension::of(list).source, out);
    }

    /// Parses a list of the other process; `None` if it cannot be parsed. An earlier build does not name the
    /// source, which then is this process's own.
    fn parse_process_list(&self, value: &Value, source: Option<String>) -> Option<ProcessList> {
        let list = list::parse(value.to_string().as_bytes()).ok()?;
        let source = source.and_then(|source| source.parse().ok()).unwrap_or(self.node.discovery);
        Some(ProcessList { list, source })
    }

    /// Adopts the list that the predecessor hands over. While discovery has not answered this process, it
    /// replaces the configured list unless that is a later version from the same source. Afterwards only a
    /// later version from the same source replaces this process's own list.
    pub(super) fn adopt_predecessor_list(&mut self, list: &Value, out: &mut Vec<Effect>) {
        let ListExtension { source, removed, dialled, .. } = ListExtension::of(list);
        self.record_ids(dialled);
        let Some(ProcessList { list, source }) = self.parse_process_list(list, source) else { return };
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
    fn receive_process_list(&mut self, list: &Value, source: Option<String>, out: &mut Vec<Effect>) {
        let Some(ProcessList { list, source }) = self.parse_process_list(list, source) else { return };
        let own = self.list_version.at(source);
        if own.is_some_and(|own| own > list.generation) {
            return;
        }
        if self.last_discovery_answer_at.is_some() || own == Some(list.generation) {
            return self.apply_drains(list, out);
        }
        self.list_version = ListVersion { source, generation: list.generation };
        self.store_and_apply(list, out);
    }

    /// Stores and applies a list of the other process, which is not sent back to it.
    fn store_and_apply(&mut self, list: List, out: &mut Vec<Effect>) {
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
        self.store_and_apply(List { generation, instances, ..List::default() }, out);
    }

    /// Whether an entry drains or removes a server that is ready according to this process's own list.
    fn ends_new_sessions(&self, entry: &Instance) -> bool {
        let is_same_start =
            |known: &Instance| known.phase == Phase::Ready && known.started_at <= entry.started_at;
        entry.phase != Phase::Ready && self.known_instance(&entry.id).is_some_and(is_same_start)
    }
}
