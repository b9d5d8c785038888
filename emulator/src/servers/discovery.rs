//! Discovery's state of the servers, and which relays it has notified.
use super::*;
use crate::list::Entry;
use hallrelay_balancer::types::Phase;

impl Servers {
    /// Discovery has notified a relay of the state of servers. If this includes a server's last start, demand
    /// through this relay counts as notified from now on: the relay must spare the server while it warms up.
    pub fn relay_notified(
        &mut self,
        now: Micros,
        relay: usize,
        servers: &[usize],
        out: &mut Vec<ServerEvent>,
    ) {
        self.now = self.now.max(now);
        for &server in servers {
            self.advance(server, out);
            let entry = self.endpoints.entry(server);
            let node = &mut self.nodes[server];
            let has_last_start = entry.started_at == node.server.started_at && entry.phase == Phase::Ready;
            if has_last_start && !std::mem::replace(&mut node.notified_of_start[relay], true) {
                node.server.relay_notified(node.demand_by_relay[relay]);
            }
        }
    }

    /// A relay has restarted and has received no notification yet.
    pub fn relay_restarted(&mut self, relay: usize) {
        for node in &mut self.nodes {
            node.notified_of_start[relay] = false;
        }
    }

    /// Schedules discovery to learn of a server's state, after a time drawn from a range.
    pub(super) fn schedule_discovery_update(&mut self, server: usize, within: [Micros; 2]) {
        let at = self.now + self.random.between(within) + self.discovery_delay;
        self.events.schedule(at, Event::DiscoveryUpdate(server));
    }

    pub(super) fn update_discovery(&mut self, index: usize, out: &mut Vec<ServerEvent>) {
        let server = &self.nodes[index].server;
        let phase = match server.state {
            ServerState::Up if server.is_draining => Phase::Draining,
            ServerState::Up => Phase::Ready,
            _ => Phase::Gone,
        };
        let started_at = server.started_at;
        if self.endpoints.update(index, Entry { phase, started_at }) {
            let id = &self.endpoints.identities[index].id;
            out.push(ServerEvent::Log(format!("discovery reports that {id} is {phase:?}").to_lowercase()));
            out.push(ServerEvent::EndpointListChanged);
        }
    }
}
