//! Detects restarts of servers from their own answers while discovery is unavailable: a server that
//! accepted no connection and then answers has most likely restarted in between, and gets a slow start.
//!
//! After a power loss, discovery reports no restarts, and according to the list from before no server is
//! warming up. If only the network was interrupted, the servers go through one needless slow start, unless
//! discovery reports otherwise.
use super::Reducer;
use hallrelay_balancer::types::{DialEnd, Input, ListUpdate, ServerId};

/// Number of consecutive failed connects after which a server that answers counts as restarted. A single one
/// may be a lost packet.
const MIN_FAILED_CONNECTS: u32 = 2;
/// Number of consecutive failed connects to any servers, without an answer in between, after which all
/// servers count as having been down. A relay with few sessions contacts each server too rarely to see each
/// one fail.
const STREAK_CONNECTS: u32 = 6;
/// Number of different servers that such a streak must include.
const STREAK_SERVERS: usize = 3;

/// The failed connects since any server last answered, and the first few servers that they went to.
#[derive(Default)]
pub(super) struct ConnectFailureStreak {
    failures: u32,
    servers: [Option<ServerId>; STREAK_SERVERS],
}

impl ConnectFailureStreak {
    /// Adds a failure. Returns true once per streak: when it becomes long enough.
    fn add(&mut self, server: ServerId) -> bool {
        let place = self.servers.iter().position(|entry| entry.is_none_or(|known| known == server));
        if let Some(place) = place {
            self.servers[place] = Some(server);
        }
        let was_complete = self.is_complete();
        self.failures = self.failures.saturating_add(1);
        self.is_complete() && !was_complete
    }

    fn is_complete(&self) -> bool {
        self.failures >= STREAK_CONNECTS && self.servers.iter().all(Option::is_some)
    }
}

/// Whether the end of a dial or health check proves that the server is running. A timeout does not prove it:
/// the connection was established, but no answer came.
fn is_answer(end: DialEnd) -> bool {
    matches!(end, DialEnd::Ok | DialEnd::Full | DialEnd::Error | DialEnd::Cancelled)
}

impl Reducer {
    /// Handles the end of a dial to a server or of its health check.
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
        // While a watch delivers lists, discovery reports restarts itself.
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
