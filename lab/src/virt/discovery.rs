//! The discovery service and the relays' watches of the endpoint list. A watch is a request of a relay that
//! receives the list, or the changes since a generation (version) of it, and then each further change.
use super::events::QueuedEvent;
use super::state::{address_of, ProcessId, Watch};
use super::VirtualDay;
use hallrelay_balancer::types::Phase;
use hallrelay_config::list::{Instance, List};
use hallrelay_emulator::day::DriverActions;
use hallrelay_relay::reducer::{Event, WatchFailure};

impl VirtualDay<'_> {
    /// A relay opens a watch. The watch is answered after a round trip, or fails if discovery is down or the
    /// link to it is cut.
    pub(super) fn open_watch(&mut self, process: ProcessId, watch: u32, since: Option<u64>) {
        let relay = process.relay;
        let round_trip = 2 * self.server_latency();
        if self.day.list_cut[relay] {
            let timeout = self.relays[relay].limits.discovery_answer_timeout;
            self.day.audit.list_call_failed(relay);
            self.notify_after(timeout, relay, watch_failed(watch, WatchFailure::Failed));
        } else if self.is_discovery_down {
            self.day.audit.list_call_failed(relay);
            self.notify_after(round_trip, relay, watch_failed(watch, WatchFailure::Refused));
        } else {
            self.relays[relay].watches.push(Watch { id: watch, since, is_answered: false });
            self.schedule_after(round_trip, QueuedEvent::WatchEvent { process, watch });
        }
    }

    /// Sends the changes since the generation that the relay has, or else the complete list, on a watch.
    pub(super) fn send_watch_event(&mut self, relay: usize, watch: u32, todo: &mut DriverActions) {
        if self.day.list_cut[relay] {
            return; // The link is cut; this is sent when it is restored.
        }
        let endpoints = &self.day.servers.endpoints;
        let mut watches = self.relays[relay].watches.iter_mut();
        let Some(entry) = watches.find(|entry| entry.id == watch) else { return };
        let is_complete = entry.since.is_none();
        let servers = match entry.since {
            Some(generation) => endpoints.changed_since(generation),
            None => endpoints.present(),
        };
        entry.since = Some(endpoints.generation);
        entry.is_answered = true;
        let list = List {
            generation: endpoints.generation,
            is_complete,
            instances: servers.iter().map(|&server| self.instance(server)).collect(),
            ..List::default()
        };
        if is_complete {
            // A complete list removes the servers that it does not contain.
            let removed: Vec<usize> = (0..self.day.servers.len())
                .filter(|&server| self.day.servers.endpoints.entry(server).phase == Phase::Gone)
                .collect();
            self.day.list_sent(self.now, relay, &removed, &mut todo.server_events);
        }
        self.day.list_sent(self.now, relay, &servers, &mut todo.server_events);
        self.notify_after(self.server_latency(), relay, Event::EndpointListReceived { watch, list });
    }

    /// The entry of a server in the endpoint list.
    fn instance(&self, server: usize) -> Instance {
        let endpoints = &self.day.servers.endpoints;
        let (identity, entry) = (&endpoints.identities[server], endpoints.entry(server));
        Instance {
            id: identity.id.clone(),
            addr: address_of(server),
            zone: identity.zone.clone(),
            cell: identity.cell,
            phase: entry.phase,
            started_at: entry.started_at,
        }
    }

    /// The list, or a link to the discovery service, has changed: notifies all reachable watches.
    pub(super) fn send_watch_events(&mut self) {
        for relay in 0..self.relays.len() {
            if self.day.list_cut[relay] {
                self.fail_silent_watches(relay);
                continue;
            }
            let process = self.process_id(relay);
            let answered = self.relays[relay].watches.iter().filter(|entry| entry.is_answered);
            let answered: Vec<u32> = answered.map(|entry| entry.id).collect();
            for watch in answered {
                self.schedule_after(0, QueuedEvent::WatchEvent { process, watch });
            }
        }
    }

    /// Watches over a cut link no longer receive anything. The relay notices this at the watch timeout. Its
    /// next request is not answered either, so that the watches fail after both timeouts.
    fn fail_silent_watches(&mut self, relay: usize) {
        let limits = &self.relays[relay].limits;
        let noticed_after = limits.discovery_watch_timeout + limits.discovery_answer_timeout;
        for watch in std::mem::take(&mut self.relays[relay].watches) {
            self.notify_after(noticed_after, relay, watch_failed(watch.id, WatchFailure::Failed));
        }
    }

    /// Closes all watches because the discovery service goes down.
    pub(super) fn break_watches(&mut self) {
        let latency = self.server_latency();
        for relay in 0..self.relays.len() {
            for watch in std::mem::take(&mut self.relays[relay].watches) {
                self.day.audit.list_call_failed(relay);
                self.notify_after(latency, relay, watch_failed(watch.id, WatchFailure::Failed));
            }
        }
    }
}

fn watch_failed(watch: u32, failure: WatchFailure) -> Event {
    Event::EndpointWatchFailed { watch, failure }
}
