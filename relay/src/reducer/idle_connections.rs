//! Clients' connections that are not sessions: their first line is awaited, or their final answer is being
//! sent.
//!
//! These connections and the sessions share one limit. Shedding guards clients against others that connect
//! and send nothing, or that stop in the middle of a line: at the limit, such connections make room for new
//! ones.
use super::{Effect, Reducer};
use hallrelay_balancer::types::SessionId;

/// A connection that is not a session.
#[derive(Clone, Copy)]
pub(super) struct IdleConnection {
    pub connection_id: SessionId,
    /// Whether a part of its first line was read.
    pub line_started: bool,
}

impl Reducer {
    /// Adds a connection as the most recently active one.
    pub(super) fn add_idle_connection(&mut self, connection_id: SessionId) {
        self.idle_connections.push_back(IdleConnection { connection_id, line_started: false });
    }

    pub(super) fn remove_idle_connection(&mut self, connection_id: SessionId) {
        self.idle_connections.retain(|idle| idle.connection_id != connection_id);
    }

    /// Handles a new connection. If it exceeds the limit, the connection that has been silent for longest is
    /// shed, or if there is none, the one whose first line has made no progress for longest.
    pub(super) fn client_connected(&mut self, connection_id: SessionId, out: &mut Vec<Effect>) {
        self.add_idle_connection(connection_id);
        let remaining = self.predecessor_remaining.connections as usize;
        let connections = remaining + self.sessions.len() + self.idle_connections.len();
        if connections <= self.node.limits.max_client_connections {
            return;
        }
        let is_silent = |idle: &IdleConnection| !idle.line_started && idle.connection_id != connection_id;
        let position = self.idle_connections.iter().position(is_silent).unwrap_or(0);
        if let Some(shed) = self.idle_connections.remove(position) {
            out.push(Effect::ShedConnection { connection_id: shed.connection_id });
        }
    }

    /// Marks a connection as the most recently active one: those whose first line makes no progress are shed
    /// before it.
    pub(super) fn first_line_started(&mut self, connection_id: SessionId) {
        let position = self.idle_connections.iter().position(|idle| idle.connection_id == connection_id);
        if let Some(position) = position {
            self.idle_connections.remove(position);
            self.idle_connections.push_back(IdleConnection { connection_id, line_started: true });
        }
    }
}
