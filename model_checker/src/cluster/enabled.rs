//! The enabled transitions of a state.
use super::execution::is_leader;
use super::state::{ClusterState, Health};
use super::{ClusterModel, Transition};
use hallrelay_raft::Node;

impl ClusterModel {
    /// All enabled transitions: for each server its own and, if it is a leader, those between it and the
    /// holders; then the failures of holders; then the messages.
    pub(super) fn enabled(&self, state: &ClusterState) -> Vec<Transition> {
        let mut enabled = Vec::new();
        for server in 0..state.servers.len() {
            let Some(node) = state.node(server) else { continue };
            self.add_server_transitions(state, server, node, &mut enabled);
            if is_leader(node) {
                add_leader_transitions(state, server, &mut enabled);
            }
        }
        add_holder_transitions(state, &mut enabled);
        add_message_transitions(state, &mut enabled);
        enabled
    }

    fn add_server_transitions(
        &self,
        state: &ClusterState,
        server: usize,
        node: &Node,
        enabled: &mut Vec<Transition>,
    ) {
        // With slow disks each server times out at most once. This reduces the number of states to a quarter.
        // Paths on which one server times out twice are not searched then.
        let may_time_out = !self.slow_disks || !state.has_timed_out(server);
        if state.limits.election_timeouts > 0 && may_time_out {
            enabled.push(Transition::ElectionTimeout(server));
        }
        if is_leader(node) && state.limits.heartbeats > 0 {
            enabled.push(Transition::HeartbeatTimeout(server));
        }
        if !state.servers[server].pending_writes.is_empty() {
            enabled.push(Transition::WriteDurable(server));
        }
        // Without a leader in the initial state the servers differ only in their ids, so crashes of the last
        // server represent those of any server. The scenarios with disk losses start with a leader.
        if state.limits.crashes > 0 && (self.starts_with_leader || server + 1 == self.voter_count) {
            enabled.push(Transition::Crash(server));
        }
        if state.limits.disk_losses > 0 {
            enabled.push(Transition::DiskLoss(server));
        }
        if state.limits.compactions > 0 && node.commit_index() > node.log().snapshot().index {
            enabled.push(Transition::Compact(server));
        }
    }
}

/// Adds the transitions between a leader and each holder: the requests of the holder that this leader
/// receives, and the leader's own proposals about the holder's lease and health.
fn add_leader_transitions(state: &ClusterState, leader: usize, enabled: &mut Vec<Transition>) {
    for (position, holder) in state.holders.iter().enumerate() {
        let is_up = holder.health == Health::Up;
        if state.limits.requests > 0 && !holder.has_lease() && is_up {
            enabled.push(Transition::RequestLease { holder: position, leader });
        }
        if state.limits.requests > 0 && holder.has_lease() && !holder.is_out && is_up {
            enabled.push(Transition::BeginDisruption { holder: position, leader });
        }
        if holder.is_out && is_up {
            enabled.push(Transition::EndDisruption { holder: position, leader });
        }
        if state.limits.expirations > 0 {
            enabled.push(Transition::ExpireLease { holder: position, leader });
        }
        if holder.health != holder.reported_health {
            enabled.push(Transition::ObserveHealth { holder: position, leader });
        }
    }
}

/// Adds the failure, the start and the warm-up of the first holder. Other holders do not fail: holders differ
/// only in their names unless the first one starts disrupted, so the first represents any holder.
fn add_holder_transitions(state: &ClusterState, enabled: &mut Vec<Transition>) {
    let Some(holder) = state.holders.first() else { return };
    match holder.health {
        Health::Up => {
            let may_fail = state.limits.holder_failures > 0 && !holder.is_out && !holder.has_lease();
            if may_fail {
                enabled.push(Transition::HolderFails(0));
            }
        }
        Health::Down => enabled.push(Transition::HolderStarts(0)),
        Health::WarmingUp => enabled.push(Transition::HolderWarmedUp(0)),
    }
}

fn add_message_transitions(state: &ClusterState, enabled: &mut Vec<Transition>) {
    for message in state.in_flight.values() {
        enabled.push(Transition::Deliver(message.clone()));
        if state.limits.duplicates > 0 {
            enabled.push(Transition::DeliverTwice(message.clone()));
        }
        if state.limits.delays > 0 {
            enabled.push(Transition::Delay(message.clone()));
        }
    }
    enabled.extend(state.delayed.iter().cloned().map(Transition::DeliverDelayed));
}
