//! The list service and the relays' watches on it.
use super::*;

impl Virtual<'_> {
    pub(super) fn tells(&mut self, relay: usize, watch: u32, todo: &mut DriverActions) {
        let way = self.way();
        if self.day.list_cut[relay] {
            return; // told once the way is whole again
        }
        let endpoints = &self.day.servers.endpoints;
        let Some(w) = self.relays[relay].watches.iter_mut().find(|w| w.id == watch) else { return };
        let servers = w.since.map_or_else(|| endpoints.present(), |since| endpoints.changed_since(since));
        let whole = w.since.is_none();
        (w.since, w.speaks) = (Some(endpoints.generation), true);
        let instance = |&i: &usize| Instance {
            id: endpoints.identities[i].id.clone(),
            addr: addr(i),
            zone: endpoints.identities[i].zone.clone(),
            cell: endpoints.identities[i].cell,
            phase: endpoints.entry(i).phase,
            started_at: endpoints.entry(i).started_at,
        };
        let instances = servers.iter().map(instance).collect();
        let list =
            List { generation: endpoints.generation, is_complete: whole, instances, ..List::default() };
        if whole {
            // What a whole list leaves out is gone.
            let gone: Vec<usize> = (0..self.day.servers.len())
                .filter(|&i| self.day.servers.endpoints.entry(i).phase == Phase::Gone)
                .collect();
            self.day.list_sent(self.now, relay, &gone, &mut todo.server_events);
        }
        self.day.list_sent(self.now, relay, &servers, &mut todo.server_events);
        self.tell(relay, way, Event::EndpointListReceived { watch, list });
    }

    pub(super) fn list_news(&mut self) {
        for relay in 0..self.relays.len() {
            if self.day.list_cut[relay] {
                // Nothing comes any more: that is noticed after a while, and the next call is not answered
                // either.
                let limits = &self.relays[relay].limits;
                let silent = limits.discovery_doubt + limits.discovery_first;
                for watch in std::mem::take(&mut self.relays[relay].watches) {
                    self.tell(relay, silent, Event::EndpointWatchFailed { watch: watch.id });
                }
                continue;
            }
            let life = self.relays[relay].life;
            let speaking = self.relays[relay].watches.iter().filter(|w| w.speaks);
            let ids: Vec<u32> = speaking.map(|w| w.id).collect();
            ids.into_iter().for_each(|watch| self.later(0, Ev::Tells { relay, life, watch }));
        }
    }

    pub(super) fn break_watches(&mut self) {
        let way = self.way();
        for relay in 0..self.relays.len() {
            for watch in std::mem::take(&mut self.relays[relay].watches) {
                self.day.audit.list_call_failed(relay);
                self.tell(relay, way, Event::EndpointWatchFailed { watch: watch.id });
            }
        }
    }
}
