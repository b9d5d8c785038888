//! The canonical form of a state: states with only irrelevant differences become equal.
use super::state::ClusterState;
use super::{position_of, ClusterModel};
use hallrelay_raft::{Message, MessageBody, Node, Term};

impl ClusterModel {
    /// Numbers the writes of each server from its last durable one, and drops the messages that would only
    /// cause a response that the recipient ignores.
    pub(super) fn make_canonical(&self, state: &mut ClusterState) {
        for position in 0..state.servers.len() {
            if state.node(position).is_some_and(|node| !node.has_renumbered_writes()) {
                renumber_writes(state, position);
            }
        }
        drop_stale_messages(state);
    }
}

fn renumber_writes(state: &mut ClusterState, position: usize) {
    let server = state.server_mut(position);
    let Some(node) = &mut server.node else { return };
    let base = node.renumber_writes();
    for pending in &mut server.pending_writes {
        pending.number -= base;
    }
}

/// Drops the messages of an earlier term than that of their recipient, except membership messages, which a
/// recipient handles in any term.
fn drop_stale_messages(state: &mut ClusterState) {
    let terms: Vec<Term> =
        state.servers.iter().map(|server| server.node.as_ref().map_or(0, Node::term)).collect();
    let is_relevant = |message: &Message| {
        let is_membership =
            matches!(message.body, MessageBody::Announce { .. } | MessageBody::Bootstrap { .. });
        is_membership || message.term >= terms[position_of(message.to.id)]
    };
    state.in_flight.retain(|_, message| is_relevant(message));
    state.delayed.retain(is_relevant);
}
