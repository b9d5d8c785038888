//! Connections of relays to servers, and their reachability from each other.
use super::*;

/// A session's connection at a server.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    pub server: usize,
    pub relay: usize,
    pub listener: usize,
    pub group: u64,
    pub is_open: bool,
    /// Demand of the session in cores; 0 until the session is open.
    pub load: Cores,
    /// Usual load of the client's sessions, as a multiple of the load of an average session.
    pub usual_load: f64,
    /// Work of the session's set-up.
    pub setup: Work,
}

impl Servers {
    /// Resets all connections of a server.
    pub(super) fn reset_connections(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        for connection in std::mem::take(&mut self.nodes[server].connections) {
            self.remove_connection(connection);
            out.push(ServerEvent::Reset { connection });
        }
    }

    /// Removes a connection and subtracts it from all totals.
    pub(super) fn remove_connection(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        let node = &mut self.nodes[connection.server];
        node.connections.remove(&id);
        if !connection.is_open {
            self.counts.wasted += connection.setup;
            return Some(connection);
        }
        let mut removed = connection.load;
        if connection.group != 0 {
            let members = node.groups.entry(connection.group).or_insert(1);
            *members -= 1;
            if *members == 0 {
                node.groups.remove(&connection.group);
                removed += group_cores(&self.scenario);
            }
        }
        node.open_by_listener[connection.listener] -= 1;
        let relay_demand = &mut node.demand_by_relay[connection.relay];
        *relay_demand = relay_demand.saturating_sub(removed);
        node.server.change_demand(0, removed, node.notified_of_start[connection.relay]);
        Some(connection)
    }

    /// The server ends a session with a final line.
    pub(super) fn end_session(
        &mut self,
        connection: ConnectionId,
        line: ServerLine,
        out: &mut Vec<ServerEvent>,
    ) {
        let Some(server) = self.connections.get(&connection).map(|found| found.server) else { return };
        if self.nodes[server].server.state != ServerState::Up {
            return;
        }
        self.advance(server, out);
        if self.remove_connection(connection).is_some() {
            out.push(ServerEvent::Line { connection, line });
        }
    }

    /// A relay has closed a connection, or only the direction in which the relay sends.
    pub fn connection_closed(&mut self, now: Micros, connection: ConnectionId, out: &mut Vec<ServerEvent>) {
        self.now = self.now.max(now);
        let Some(server) = self.connections.get(&connection).map(|found| found.server) else { return };
        self.advance(server, out);
        self.remove_connection(connection);
    }

    /// Whether a connection exists at its server.
    pub fn has_connection(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Whether a relay and a server are cut off from each other.
    fn is_cut(&self, server: usize, relay: usize) -> bool {
        let server_zone = self.nodes[server].zone;
        let relay_zone = self.zone_of_relay(relay);
        let is_zone_cut =
            server_zone != relay_zone && (self.cut_zones[server_zone] || self.cut_zones[relay_zone]);
        is_zone_cut || self.cut_paths.contains(&CutPath { server, relay })
    }

    /// Whether data sent by a server reaches a relay now.
    pub fn can_send(&self, server: usize, relay: usize) -> bool {
        self.nodes[server].server.state != ServerState::Silent && !self.is_cut(server, relay)
    }

    /// How a server responds to a connection attempt by a relay now.
    pub fn reachability(&self, server: usize, relay: usize) -> Reachability {
        let node = &self.nodes[server];
        match node.server.state {
            ServerState::Silent => Reachability::Unresponsive,
            _ if self.is_cut(server, relay) => Reachability::Unresponsive,
            ServerState::Down | ServerState::Overloaded => Reachability::Refused,
            ServerState::Up => match node.wire_fault.filter(|wire| wire.fraction >= 1.0) {
                Some(WireFault { fault: ConnectionFault::Refused, .. }) => Reachability::Refused,
                Some(WireFault { fault: ConnectionFault::NeverUp, .. }) => Reachability::Unresponsive,
                _ => Reachability::Open,
            },
        }
    }

    /// Draws the fault that affects a new connection to a server, if any.
    pub fn draw_wire_fault(&mut self, server: usize) -> Option<ConnectionFault> {
        let wire = self.nodes[server].wire_fault?;
        (self.random.fraction() < wire.fraction).then_some(wire.fault)
    }
}
