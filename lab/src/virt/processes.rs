//! Relay processes: configuration, start, steps, end and store.
use super::events::QueuedEvent;
use super::membership;
use super::state::{address_of, RecordKey};
use super::VirtualDay;
use crate::error::LabError;
use hallrelay_config::node::{self as config, Node, Overrides};
use hallrelay_emulator::audit::Answer;
use hallrelay_emulator::clients::{mix, ClientEvent};
use hallrelay_emulator::membership_audit::ProcessState;
use hallrelay_emulator::node::{self, RelayPlacement};
use hallrelay_recovery::record::VERSION;
use hallrelay_recovery::{Record, StoredState};
use hallrelay_relay::reducer::Event;
use std::net::SocketAddr;

impl VirtualDay<'_> {
    /// The configuration of one process of a relay.
    pub(super) fn configuration(&self, relay: usize, incarnation: u32) -> Result<Node, LabError> {
        let relays = &self.day.scenario.relays;
        let place = RelayPlacement {
            relay,
            listen: SocketAddr::from(([127, 0, 0, 1], 1)),
            discovery: SocketAddr::from(([127, 0, 0, 1], 2)),
            seed: mix(self.day.seed ^ (relay as u64) << 32 ^ u64::from(incarnation) << 48),
            operator: None,
            state: relays.state.then(|| "virtual".to_string()),
            membership: relays.fleet.then(|| membership::addresses(relay, relays.count)),
        };
        let address = |server| address_of(server).to_string();
        let text = node::text(&self.day.scenario, &place, &self.day.servers.endpoints, address);
        Ok(config::parse(text.to_string().as_bytes(), &Overrides::default())?)
    }

    /// Starts a process, which loads the contents of the relay's store.
    pub(super) fn start_process(&mut self, relay: usize) -> Result<(), LabError> {
        let incarnation = self.relays[relay].incarnation + 1;
        let node = self.configuration(relay, incarnation)?;
        let mut state_machine = (self.new_state_machine)(node);
        let mut effects = Vec::new();
        if self.day.scenario.relays.state {
            state_machine.load_state(self.stored_state(relay));
        }
        state_machine.start(self.now, &mut effects);
        let r = &mut self.relays[relay];
        r.state_machine = Some(state_machine);
        r.incarnation = incarnation;
        r.starts += 1;
        r.sessions.clear();
        r.session_ids_by_mark.clear();
        r.watches.clear();
        self.day.audit.relay_started(self.now, relay);
        self.day.membership_audit.process_changed(self.now, relay, ProcessState::Up);
        self.day.clients.set_relay_serving(self.now, relay, true);
        self.carry_out(relay, effects);
        Ok(())
    }

    fn stored_state(&self, relay: usize) -> StoredState {
        let mut stored = StoredState::default();
        for (key, bytes) in &self.relays[relay].stored_records {
            stored.add(key.kind, VERSION, key.name.as_bytes(), bytes);
        }
        stored
    }

    /// Ends a process. Its connections to clients and servers are closed.
    pub(super) fn end_process(&mut self, relay: usize) {
        let r = &mut self.relays[relay];
        if r.state_machine.take().is_none() {
            return;
        }
        r.incarnation += 1;
        r.stalled = None;
        r.watches.clear();
        r.session_ids_by_mark.clear();
        r.disconnected.clear();
        let sessions = std::mem::take(&mut r.sessions);
        self.day.audit.relay_ended(self.now, relay);
        self.day.membership_audit.process_changed(self.now, relay, ProcessState::Down);
        self.day.servers.relay_restarted(relay);
        self.day.clients.set_relay_serving(self.now, relay, false);
        let (server_latency, client_latency) = (self.server_latency(), self.client_latency());
        for session in sessions.into_values() {
            if let Some(connection) = session.connection {
                self.schedule_after(server_latency, QueuedEvent::ConnectionClosed { connection });
            }
            if !session.is_over {
                let closed =
                    QueuedEvent::Answer { mark: session.mark, answer: ClientEvent::Closed, receipt: 0 };
                self.schedule_after(client_latency, closed);
            }
        }
    }

    /// A process exits on its own. All its sessions should have been answered or migrated before; the audit
    /// records those that were not.
    pub(super) fn process_exits(&mut self, relay: usize) {
        for session in self.relays[relay].sessions.values().filter(|session| !session.is_over) {
            if session.is_open {
                self.day.audit.connection_cut(self.now, session.mark);
            } else {
                self.day.audit.client_answered(self.now, session.mark, &Answer::Closed);
            }
        }
        self.end_process(relay);
    }

    /// Requests a graceful shutdown.
    pub(super) fn request_stop(&mut self, relay: usize) {
        self.day.membership_audit.process_changed(self.now, relay, ProcessState::Stopping);
        self.day.clients.set_relay_serving(self.now, relay, false);
        self.step(relay, Event::StopRequested);
    }

    /// Passes an event to the process, if one is running, and carries out the effects.
    pub(super) fn step(&mut self, relay: usize, event: Event) {
        let Some(state_machine) = self.relays[relay].state_machine.as_mut() else { return };
        let mut effects = Vec::new();
        state_machine.step(self.now, event, &mut effects);
        self.carry_out(relay, effects);
    }

    /// Writes a record to the relay's store, or removes it from the store if the record has no contents.
    pub(super) fn persist(&mut self, relay: usize, record: Record) {
        let key = RecordKey { kind: record.kind.number(), name: record.name };
        let records = &mut self.relays[relay].stored_records;
        match record.bytes {
            Some(bytes) => _ = records.insert(key, bytes),
            None => _ = records.remove(&key),
        }
    }
}
