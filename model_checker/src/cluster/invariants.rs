//! The invariants that are checked in each state. Violations of invariants over transitions (election safety,
//! unique lease ids, unhealthy holders) are recorded in the state when the transition is taken.
use super::state::{ClusterState, Server};
use super::BUDGET;
use hallrelay_disruption::{Lease, LeaseState};
use hallrelay_raft::Node;

/// The name of an invariant that a state violates, if any.
pub(super) fn violated(state: &ClusterState) -> Option<&'static str> {
    if state.violated.is_some() {
        return state.violated;
    }
    if state.holders.iter().filter(|holder| holder.is_out).count() > BUDGET as usize {
        return Some("disruptions within the budget");
    }
    if state.servers.iter().any(|server| leases_in_use(server) > BUDGET as usize) {
        return Some("granted leases within the budget");
    }
    violated_by_pair(state)
}

/// Number of leases in use according to a server's state machine.
fn leases_in_use(server: &Server) -> usize {
    // A holder that failed after its lease was granted is not counted.
    let is_in_use = |lease: &Lease| matches!(lease.state, LeaseState::Granted | LeaseState::Out);
    server.state_machine.leases().filter(|(_, lease)| is_in_use(lease)).count()
}

fn violated_by_pair(state: &ClusterState) -> Option<&'static str> {
    for (position, server) in state.servers.iter().enumerate() {
        for other in &state.servers[position + 1..] {
            let violated = violated_between(server, other);
            if violated.is_some() {
                return violated;
            }
        }
    }
    None
}

fn violated_between(server: &Server, other: &Server) -> Option<&'static str> {
    let (Some(node), Some(other_node)) = (&server.node, &other.node) else { return None };
    if node.commit_index() == other_node.commit_index() && server.state_machine != other.state_machine {
        return Some("equal state at equal commit index");
    }
    violated_between_logs(node, other_node)
}

/// Checks log matching and state machine safety (figure 3 of the Raft paper).
fn violated_between_logs(node: &Node, other: &Node) -> Option<&'static str> {
    let committed = node.commit_index().min(other.commit_index());
    for entry in node.log().entries() {
        let Some(other_entry) = other.log().entry(entry.index) else { continue };
        if entry.term == other_entry.term && entry.payload != other_entry.payload {
            return Some("log matching");
        }
        if entry.index <= committed && entry != other_entry {
            return Some("state machine safety");
        }
    }
    None
}
