//! The endpoint list from peers: while discovery is unavailable, a relay polls other relays for their lists.
//! A peer's list may add a server or drain one. It can neither return a server that discovery drained to
//! service nor remove one.
use super::{log, Effect, Reducer, Timer};
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{self, Instance, List};
use hallrelay_membership::Event as MembershipEvent;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// How long a starting process waits for discovery before it first polls another relay. Discovery answers
/// within milliseconds if it is available.
const FIRST_POLL_DELAY: Micros = 500_000;
/// Interval between polls, each of one other relay, until a relay answers that discovery had answered. Relays
/// that started at the same time know only their own configuration.
const POLL_INTERVAL: Micros = 500_000;
/// Interval between polls after a relay has answered that discovery had answered it.
const SLOW_POLL_INTERVAL: Micros = 10_000_000;
/// Largest number of removed servers that are recorded. Beyond it, the first ones by name are dropped.
const MAX_REMOVED_SERVERS: usize = 4_096;

/// A relay's endpoint list as it is sent to another relay.
#[derive(Serialize, Deserialize)]
struct PeerList {
    /// The address of the discovery service that sent the list. Versions of another one can't be compared.
    source: String,
    /// Time since discovery last answered the relay, in milliseconds; `None` if it never did.
    age_ms: Option<u64>,
    /// The list in discovery's format.
    list: Value,
}

impl Reducer {
    /// Starts the timer after which other relays are polled, unless discovery has answered by then, or the
    /// timer of an earlier start still runs.
    pub(super) fn start_polling_peers(&mut self, out: &mut Vec<Effect>) {
        if self.membership.is_some() && !std::mem::replace(&mut self.is_polling_peers, true) {
            out.push(Effect::StartTimer { after: FIRST_POLL_DELAY, timer: Timer::PollPeers });
        }
    }

    pub(super) fn poll_peers(&mut self, out: &mut Vec<Effect>) {
        if self.last_discovery_answer_at.is_some() || !self.ownership.is_owner() {
            self.is_polling_peers = false;
            return;
        }
        let after = if self.peer_knew_discovery { SLOW_POLL_INTERVAL } else { POLL_INTERVAL };
        out.push(Effect::StartTimer { after, timer: Timer::PollPeers });
        self.step_membership(MembershipEvent::PollEndpointList, out);
    }

    /// The complete endpoint list in discovery's format.
    pub(super) fn encoded_list(&self) -> Value {
        list::encode(self.list_version.generation, true, self.listed_instances())
    }

    /// Answers another relay's poll for the list.
    pub(super) fn send_list_to_peer(&mut self, stream: u64, out: &mut Vec<Effect>) {
        let answer = PeerList {
            source: self.list_version.source.to_string(),
            age_ms: self.last_discovery_answer_at.map(|at| self.now.saturating_sub(at) / 1000),
            list: self.encoded_list(),
        };
        let bytes = serde_json::to_vec(&answer).ok();
        self.step_membership(MembershipEvent::EndpointListReply { stream, bytes }, out);
    }

    /// Handles another relay's list. It is ignored once discovery has answered.
    pub(super) fn receive_peer_list(&mut self, name: &str, bytes: &[u8], out: &mut Vec<Effect>) {
        if self.last_discovery_answer_at.is_some() {
            return;
        }
        let Ok(answer) = serde_json::from_slice::<PeerList>(bytes) else { return };
        let Ok(list) = list::parse(answer.list.to_string().as_bytes()) else { return };
        let accepted: Vec<Instance> =
            list.instances.into_iter().filter_map(|instance| self.accept_from_peer(instance)).collect();
        self.peer_lists_received += 1;
        let is_same_source = answer.source == self.node.discovery.to_string();
        self.peer_knew_discovery |= answer.age_ms.is_some() && is_same_source;
        if accepted.is_empty() {
            return;
        }
        let count = accepted.len();
        let message = format!("accepted {count} servers from relay {name}, since discovery is unavailable");
        log(message, out);
        // The version stays the same, so that discovery sends all changes after it.
        let generation = self.list_version.generation;
        let list = List { generation, instances: accepted, ..List::default() };
        self.persist_list(&list, out);
        self.send_list_to_processes(&list, out);
        self.apply_list(list, out);
    }

    /// The entry of one server that is accepted from a peer; `None` if it is ignored or changes nothing.
    fn accept_from_peer(&self, offered: Instance) -> Option<Instance> {
        let known =
            self.ids.get(&offered.id).and_then(|id| self.servers.get(id)).map(|server| &server.instance);
        let removed = self.removed_servers.get(&offered.id).copied();
        let removed = removed
            .or(known.filter(|instance| instance.phase == Phase::Gone).map(|instance| instance.started_at));
        if let Some(started_at) = removed {
            // A removed server is accepted only if it has started again since.
            return (offered.started_at > started_at).then_some(offered);
        }
        let Some(known) = known else { return Some(offered) };
        // Both changes are on the safe side: a later start causes a slow start, and a drain ends new
        // sessions.
        let has_restarted = offered.started_at > known.started_at;
        let drains = known.phase == Phase::Ready && offered.phase == Phase::Draining;
        let stays_draining = known.phase == Phase::Draining && !has_restarted;
        let phase = if stays_draining { Phase::Draining } else { offered.phase };
        (has_restarted || drains).then_some(Instance { phase, ..offered })
    }

    /// Records servers that discovery removes, so that no peer's list brings them back.
    pub(super) fn record_removed_servers(&mut self, list: &List) {
        if self.membership.is_none() {
            return;
        }
        if list.is_complete {
            let is_named = |id: &str| list.instances.iter().any(|instance| instance.id == id);
            let left_out = self
                .servers
                .values()
                .map(|server| &server.instance)
                .filter(|instance| !is_named(&instance.id));
            self.removed_servers.extend(left_out.map(|instance| (instance.id.clone(), instance.started_at)));
        }
        for instance in &list.instances {
            match instance.phase {
                Phase::Gone => _ = self.removed_servers.insert(instance.id.clone(), instance.started_at),
                Phase::Ready | Phase::Draining => _ = self.removed_servers.remove(&instance.id),
            }
        }
        while self.removed_servers.len() > MAX_REMOVED_SERVERS {
            self.removed_servers.pop_first();
        }
    }
}
