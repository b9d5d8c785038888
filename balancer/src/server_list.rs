//! The endpoint list: what is taken from it, and when it is requested again.

use crate::relay::{Relay, SECOND, WATCH_TIMER};
use crate::server::Server;
use crate::types::{Effect, Endpoint, ListUpdate, Micros, Phase, ServerId};

/// The time between two calls after one, two, and more failures in a row, before the spread over relays.
const WATCH_BACKOFF: [Micros; 3] = [SECOND, 2 * SECOND, 3 * SECOND];
/// The backoffs are spread over the relays by up to this time, so that they do not call as one.
const WATCH_JITTER: Micros = SECOND;

impl Relay {
    /// Takes in the list or its changes, or plans the next call where the watch failed. What the list says
    /// counts from this input on (rule 3).
    pub(crate) fn update_list(
        &mut self,
        update: ListUpdate,
        endpoints: Vec<Endpoint>,
        out: &mut Vec<Effect>,
    ) {
        if update == ListUpdate::WatchFailed {
            return self.schedule_watch(out);
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
        self.forget_servers();
    }

    /// Backoffs run from the last call. A relay counts as notified of a change 6 s after discovery had it and
    /// could be reached: the longest backoff of 3 s, 1 s of jitter and 2 s for an answer fit into that.
    fn schedule_watch(&mut self, out: &mut Vec<Effect>) {
        let backoff = WATCH_BACKOFF[self.watch_failures as usize];
        let jitter = self.random.below(WATCH_JITTER);
        let call_time = if self.watch_failures > 0 { self.now - self.last_watch_at } else { 0 };
        let after = (backoff + jitter).saturating_sub(call_time).max(jitter / 2);
        self.watch_failures = (self.watch_failures + 1).min(WATCH_BACKOFF.len() as u32 - 1);
        out.push(Effect::SetTimer { after, label: WATCH_TIMER });
    }

    /// A server that has started anew is another one: nothing that was known of it holds.
    fn update_server(&mut self, endpoint: Endpoint) {
        let slot_wait = self.first_slot_wait(&endpoint);
        let server = self.servers.entry(endpoint.server).or_default();
        if endpoint.started_at > server.endpoint.started_at {
            *server = Server { slot_wait, ..Server::default() };
        }
        server.endpoint = endpoint;
    }

    /// What is gone is forgotten with its last session, or a long life would gather all servers there ever
    /// were.
    fn forget_servers(&mut self) {
        let has_session = |id: ServerId| self.sessions.values().any(|session| session.server == id);
        self.servers.retain(|&id, server| server.endpoint.phase != Phase::Gone || has_session(id));
    }
}
