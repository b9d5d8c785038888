//! The endpoint list by gossip: while discovery is unavailable a relay polls others for their list. A peer's
//! list may add a server or drain one. It can't bring back a server that discovery drained, and can't remove
//! one.
use super::{log, Effect, Reducer, Timer};
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{self, Instance, List};
use hallrelay_membership::Event as MembershipEvent;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// How long a start waits for discovery, which answers within milliseconds where it is available.
const FIRST_POLL_DELAY: Micros = 500_000;
/// The pause between polls of one member each, until one answers whose discovery was available. Peers that
/// started as recently know no more than their own configuration.
const POLL_INTERVAL: Micros = 500_000;
/// The pause between polls after that.
const SLOW_POLL_INTERVAL: Micros = 10_000_000;
/// Removed servers that are remembered; the first by name are forgotten beyond that.
const MAX_REMOVED_SERVERS: usize = 4_096;

/// The list of a relay, as it sends it to another.
#[derive(Serialize, Deserialize)]
struct PeerList {
    /// The address of the discovery service that sent the list. Versions of another one can't be compared.
    source: String,
    /// How long ago discovery answered the relay, in milliseconds; `None` where it never did.
    age_ms: Option<u64>,
    /// In discovery's form.
    list: Value,
}

impl Reducer {
    /// Starts to poll others where discovery does not answer in time.
    pub(super) fn start_polling_peers(&mut self, out: &mut Vec<Effect>) {
        if self.membership.is_some() {
            out.push(Effect::StartTimer { after: FIRST_POLL_DELAY, timer: Timer::PollPeers });
        }
    }

    pub(super) fn poll_peers(&mut self, out: &mut Vec<Effect>) {
        if self.last_discovery_answer_at.is_some() || !self.ownership.is_owner() {
            return;
        }
        let after = if self.peer_knew_discovery { SLOW_POLL_INTERVAL } else { POLL_INTERVAL };
        out.push(Effect::StartTimer { after, timer: Timer::PollPeers });
        self.step_membership(MembershipEvent::PollEndpointList, out);
    }

    /// The whole endpoint list in discovery's form; `None` before any version is known.
    pub(super) fn encoded_list(&self) -> Option<Value> {
        let listed =
            self.servers.values().map(|server| &server.instance).filter(|one| one.phase != Phase::Gone);
        self.list_version.map(|generation| list::encode(generation, true, listed))
    }

    /// Another relay polls for the list.
    pub(super) fn send_list_to_peer(&mut self, stream: u64, out: &mut Vec<Effect>) {
        let answer = self.encoded_list().map(|list| PeerList {
            source: self.node.discovery.to_string(),
            age_ms: self.last_discovery_answer_at.map(|at| self.now.saturating_sub(at) / 1000),
            list,
        });
        let bytes = answer.and_then(|answer| serde_json::to_vec(&answer).ok());
        self.step_membership(MembershipEvent::EndpointListReply { stream, bytes }, out);
    }

    /// Another relay's list. It is not used once discovery has answered.
    pub(super) fn receive_peer_list(&mut self, name: &str, bytes: &[u8], out: &mut Vec<Effect>) {
        if self.last_discovery_answer_at.is_some() {
            return;
        }
        let Ok(answer) = serde_json::from_slice::<PeerList>(bytes) else { return };
        let Ok(list) = list::parse(answer.list.to_string().as_bytes()) else { return };
        let accepted: Vec<Instance> =
            list.instances.into_iter().filter_map(|one| self.accept_from_peer(one)).collect();
        self.peer_lists_received += 1;
        let is_same_source = answer.source == self.node.discovery.to_string();
        self.peer_knew_discovery |= answer.age_ms.is_some() && is_same_source;
        if accepted.is_empty() {
            return;
        }
        let count = accepted.len();
        log(format!("{count} servers by the list of relay {name}, as discovery is unavailable"), out);
        // The version stays, so that discovery sends all that changed after it.
        let generation = self.list_version.unwrap_or(0);
        self.apply_list(List { generation, instances: accepted, ..List::default() }, out);
    }

    /// What of one server is accepted from a peer; `None` where it changes nothing.
    fn accept_from_peer(&self, offered: Instance) -> Option<Instance> {
        let known =
            self.ids.get(&offered.id).and_then(|id| self.servers.get(id)).map(|server| &server.instance);
        let removed = self.removed_servers.get(&offered.id).copied();
        let removed = removed.or(known.filter(|one| one.phase == Phase::Gone).map(|one| one.started_at));
        if let Some(started_at) = removed {
            // Only a later start of a removed server is another one.
            return (offered.started_at > started_at).then_some(offered);
        }
        let Some(known) = known else { return Some(offered) };
        // Both are the cautious side: a later start makes it slow, a drain ends new sessions.
        let has_restarted = offered.started_at > known.started_at;
        let drains = known.phase == Phase::Ready && offered.phase == Phase::Draining;
        let stays_draining = known.phase == Phase::Draining && !has_restarted;
        let phase = if stays_draining { Phase::Draining } else { offered.phase };
        (has_restarted || drains).then_some(Instance { phase, ..offered })
    }

    /// Remembers servers that discovery removes, so that no peer's list brings them back.
    pub(super) fn remember_removed_servers(&mut self, list: &List) {
        if self.membership.is_none() {
            return;
        }
        if list.is_complete {
            let is_named = |id: &str| list.instances.iter().any(|one| one.id == id);
            let left_out =
                self.servers.values().map(|server| &server.instance).filter(|one| !is_named(&one.id));
            self.removed_servers.extend(left_out.map(|one| (one.id.clone(), one.started_at)));
        }
        for one in &list.instances {
            match one.phase {
                Phase::Gone => _ = self.removed_servers.insert(one.id.clone(), one.started_at),
                Phase::Ready | Phase::Draining => _ = self.removed_servers.remove(&one.id),
            }
        }
        while self.removed_servers.len() > MAX_REMOVED_SERVERS {
            self.removed_servers.pop_first();
        }
    }
}
