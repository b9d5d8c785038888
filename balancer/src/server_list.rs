//! The endpoint list: how its changes are applied, and when it is watched again after a failure.

use crate::balancer::{Balancer, SECOND, WATCH_TIMER};
use crate::server::Server;
use crate::types::{Effect, Endpoint, ListUpdate, Micros, Phase, ServerId};

/// The time from one watch to the next after one, two, and more failures in a row, without the jitter.
const WATCH_BACKOFF: [Micros; 3] = [SECOND, 2 * SECOND, 3 * SECOND];
/// A random time up to this is added to each backoff, so that relays do not call all at once.
const WATCH_JITTER: Micros = SECOND;

impl Balancer {
    /// Applies the list or its changes, or schedules the next watch where one failed. The list's states hold
    /// from this input on (rule 3).
    pub(crate) fn update_list(
        &mut self,
        update: ListUpdate,
        endpoints: Vec<Endpoint>,
        effects: &mut Vec<Effect>,
    ) {
        if update == ListUpdate::WatchFailed {
            return self.schedule_watch(effects);
        }
        self.watch_failures = 0;
        if update == ListUpdate::Snapshot {
            for server in self.servers.values_mut() {
                server.endpoint.phase = Phase::Gone;
            }
        }
        for endpoint in endpoints {
            self.update_server(endpoint);
        }
        self.remove_unused_servers();
    }

    /// Schedules the next watch. Backoffs run from the last call, except the first, which runs from the
    /// failure. A relay counts as notified of a change 6 s after discovery had it and could be reached: the
    /// longest backoff of 3 s, 1 s of jitter and 2 s for an answer fit into that.
    fn schedule_watch(&mut self, effects: &mut Vec<Effect>) {
        let backoff = WATCH_BACKOFF[self.watch_failures as usize];
        let jitter = self.random.below(WATCH_JITTER);
        let call_time = if self.watch_failures > 0 { self.now - self.last_watch_at } else { 0 };
        let after = (backoff + jitter).saturating_sub(call_time).max(jitter / 2);
        self.watch_failures = (self.watch_failures + 1).min(WATCH_BACKOFF.len() as u32 - 1);
        effects.push(Effect::SetTimer { after, label: WATCH_TIMER });
    }

    /// Updates one server. A later start makes it a new server: its former state is dropped.
    fn update_server(&mut self, endpoint: Endpoint) {
        let slot_wait = self.first_slot_wait(&endpoint);
        let server = self.servers.entry(endpoint.server).or_default();
        if endpoint.started_at > server.endpoint.started_at {
            *server = Server { slot_wait, ..Server::default() };
        }
        server.endpoint = endpoint;
    }

    /// Drops removed servers once they have no session, which bounds the memory of a relay that runs for
    /// long.
    fn remove_unused_servers(&mut self) {
        let has_session = |id: ServerId| self.sessions.values().any(|session| session.server == id);
        self.servers.retain(|&id, server| server.endpoint.phase != Phase::Gone || has_session(id));
    }
}
