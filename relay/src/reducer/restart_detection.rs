//! Detects restarts of servers from their own answers while discovery is unavailable: a server that
//! accepted no connection and then answers has most likely restarted in between, and starts slowly.
//!
//! After a power loss nobody reports restarts, and by an old list no server is warming up. Where a network
//! was merely interrupted, its servers go through one needless slow start, unless discovery reports
//! otherwise.
use super::Reducer;
use hallrelay_balancer::types::{DialEnd, Input, ListUpdate, ServerId};

/// Failed connects in a row after which a server that answers counts as restarted; one may be a lost packet.
const MIN_FAILED_CONNECTS: u32 = 2;
/// Failed connects in a row, at any servers and without an answer, after which all servers count as down. A
/// relay with few sessions contacts each server too seldom to see each of them fail.
const STREAK_CONNECTS: u32 = 6;
/// Different servers that such a streak must cover.
const STREAK_SERVERS: usize = 3;

/// Failed connects since any server answered, and the servers they went to.
#[derive(Default)]
pub(super) struct ConnectFailureStreak {
    failures: u32,
    servers: [Option<ServerId>; STREAK_SERVERS],
}

impl ConnectFailureStreak {
    /// Adds a failure. True once for a streak: as it becomes long enough.
    fn add(&mut self, server: ServerId) -> bool {
        let slot = self.servers.iter().position(|one| one.is_none_or(|one| one == server));
        if let Some(slot) = slot {
            self.servers[slot] = Some(server);
        }
        let was_complete = self.is_complete();
        self.failures = self.failures.saturating_add(1);
        self.is_complete() && !was_complete
    }

    fn is_complete(&self) -> bool {
        self.failures >= STREAK_CONNECTS && self.servers.iter().all(Option::is_some)
    }
}

/// Whether a contact proves that the server runs. Silence does not: the connection was made, and no answer
/// came.
fn is_answer(end: DialEnd) -> bool {
    matches!(end, DialEnd::Ok | DialEnd::Full | DialEnd::Error | DialEnd::Cancelled)
}

impl Reducer {
    /// A dial or a health check of a server ended.
    pub(super) fn observe_contact(
        &mut self,
        server: Option<ServerId>,
        end: DialEnd,
        out: &mut Vec<super::Effect>,
    ) {
        if self.node.state.is_none() && self.node.fleet.is_none() {
            return;
        }
        let Some(server) = server.filter(|server| self.servers.contains_key(server)) else { return };
        if end == DialEnd::Unconnected {
            self.count_failed_connect(server);
        } else if is_answer(end) {
            self.connect_failures = ConnectFailureStreak::default();
            self.server_answered(server, out);
        }
    }

    fn count_failed_connect(&mut self, server: ServerId) {
        if let Some(entry) = self.servers.get_mut(&server) {
            entry.consecutive_connect_failures += 1;
        }
        if self.connect_failures.add(server) {
            for server in self.servers.values_mut() {
                server.consecutive_connect_failures =
                    server.consecutive_connect_failures.max(MIN_FAILED_CONNECTS);
            }
        }
    }

    fn server_answered(&mut self, server: ServerId, out: &mut Vec<super::Effect>) {
        // A watch that is open reports restarts itself.
        let is_discovery_unavailable = self.watch.delivering.is_none();
        let Some(entry) = self.servers.get_mut(&server) else { return };
        let failed_connects = std::mem::take(&mut entry.consecutive_connect_failures);
        if failed_connects < MIN_FAILED_CONNECTS || !is_discovery_unavailable {
            return;
        }
        let mut instance = entry.instance.clone();
        instance.started_at = self.now;
        let endpoint = self.endpoint(instance, ListUpdate::Delta);
        self.step_balancer(Input::EndpointList { update: ListUpdate::Delta, endpoints: vec![endpoint] }, out);
    }
}
