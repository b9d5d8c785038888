//! The endpoint list: how updates are applied, and when a failed watch is retried. A watch is a call to
//! discovery, which answers with the list and then with its changes.

use crate::balancer::{Balancer, SECOND, WATCH_TIMER};
use crate::server::Server;
use crate::types::{Effect, Endpoint, ListUpdate, Micros, Phase, ServerId};

/// Backoff before the next watch after one, two, and three or more consecutive failures, without the jitter.
const WATCH_BACKOFF: [Micros; 3] = [SECOND, 2 * SECOND, 3 * SECOND];
/// Upper bound of the random jitter added to each backoff, so that relays do not call discovery at the same
/// time.
const WATCH_JITTER: Micros = SECOND;

impl Balancer {
    /// Applies a snapshot of the list or a change to it, or schedules the next watch if a watch failed. The
    /// new states of the servers take effect immediately (rule 3).
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

    /// Schedules the next watch. The first backoff is measured from the failure of a watch, and any later one
    /// from the start of the last watch. A relay counts as notified of a change 6 s after discovery has the
    /// change and is reachable. The longest backoff of 3 s, 1 s of jitter and 2 s for an answer fit into
    /// these 6 s.
    fn schedule_watch(&mut self, effects: &mut Vec<Effect>) {
        let backoff = WATCH_BACKOFF[self.watch_failures as usize];
        let jitter = self.random.below(WATCH_JITTER);
        let call_time = if self.watch_failures > 0 { self.now - self.last_watch_at } else { 0 };
        let after = (backoff + jitter).saturating_sub(call_time).max(jitter / 2);
        self.watch_failures = (self.watch_failures + 1).min(WATCH_BACKOFF.len() as u32 - 1);
        effects.push(Effect::SetTimer { after, label: WATCH_TIMER });
    }

    /// Updates one server. If its start time is later than before, the server has restarted, and the state of
    /// its old process is dropped. A server that is listed for the first time with a start time is treated in
    /// the same way, which starts the wait for its first slot (one dial to a warming server).
    fn update_server(&mut self, endpoint: Endpoint) {
        let slot_wait = self.first_slot_wait(&endpoint);
        let server = self.servers.entry(endpoint.server).or_default();
        if endpoint.started_at > server.endpoint.started_at {
            *server = Server { slot_wait, ..Server::default() };
        }
        server.endpoint = endpoint;
    }

    /// Drops the state of removed servers that have no session of this relay. This bounds the memory of a
    /// relay that runs for a long time.
    fn remove_unused_servers(&mut self) {
        let has_session = |id: ServerId| self.sessions.values().any(|session| session.server == id);
        self.servers.retain(|&id, server| server.endpoint.phase != Phase::Gone || has_session(id));
    }
}
