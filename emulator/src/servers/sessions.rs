//! Sessions at a server: dials, set-up, and load while they are open.
use super::*;

/// Maximum time that a session waits for the store that all servers share. If the wait is longer, servers
/// reject new sessions.
const MAX_STORE_DELAY: Micros = 2_000_000;
/// Rejecting a session takes a tenth of the work of its set-up.
const REJECTION_COST_DIVISOR: Work = 10;
/// Interval at which the set-up of a session is retried while its server stalls.
const STALL_RETRY_INTERVAL: Micros = 10_000;
/// Minimum interval between load changes of a session.
const MIN_LOAD_CHANGE_INTERVAL: Micros = 50_000;
/// Random stream for a client's usual load. The seed is the client's key, so all servers draw the same load.
const CLIENT_RANDOM_STREAM: u64 = 3;

impl Servers {
    /// A server has received the last byte of a session's first line.
    pub fn dial_received(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        request: &DialRequest,
        out: &mut Vec<ServerEvent>,
    ) {
        self.now = self.now.max(now);
        let now = self.now;
        let server = request.server;
        self.advance(server, out);
        self.counts.dials += 1;
        // A session that was open before the relay started needs no set-up: the factor is 0 for it.
        let setup = self.scenario.servers.setup_ms.us() * CORE * u64::from(!request.is_pre_existing);
        if self.nodes[server].server.state != ServerState::Up {
            return;
        }
        self.counts.setup += setup;
        let is_full = self.is_full(request);
        let work = if is_full { setup / REJECTION_COST_DIVISOR } else { setup };
        let node = &mut self.nodes[server];
        let is_notified = node.notified_of_start[request.relay];
        let set_up_at = node.server.completion_time(now, work);
        let is_overloaded = node.server.add_work(now, work, is_notified);
        let is_failing = self.random.fraction() < node.failure_fraction;
        if is_full || is_failing {
            self.counts.wasted += work;
            let line = if is_full { ServerLine::Busy } else { ServerLine::Err };
            out.push(ServerEvent::Line { connection, line });
        } else {
            self.set_up_session(connection, request, setup, set_up_at);
        }
        if is_overloaded {
            self.overloaded(server, out);
        }
    }

    /// Whether a server rejects a session: the server has its maximum number of connections, or it drains, or
    /// the store's queue is full. A session that was open before the relay started is rejected only for the
    /// first reason.
    fn is_full(&self, request: &DialRequest) -> bool {
        let node = &self.nodes[request.server];
        let cap = self.scenario.servers.cap_per_core as usize * node.server.machine.cores as usize;
        let is_store_full = self.store_free_at > self.now + MAX_STORE_DELAY;
        let admits_no_new_session = node.server.is_draining || is_store_full;
        node.connections.len() >= cap || (admits_no_new_session && !request.is_pre_existing)
    }

    fn set_up_session(&mut self, id: ConnectionId, request: &DialRequest, setup: Work, set_up_at: Micros) {
        let listener = &self.scenario.listeners[request.listener];
        // The usual load of a client is the same at all servers.
        let mut client_random = Random::new(request.key, CLIENT_RANDOM_STREAM);
        let usual_load = listener.load.0 * client_random.log_normal(listener.load_sigma.0);
        let connection = Connection {
            server: request.server,
            relay: request.relay,
            listener: request.listener,
            group: request.group,
            is_open: false,
            load: 0,
            usual_load,
            setup,
        };
        self.nodes[request.server].connections.insert(id);
        self.connections.insert(id, connection);
        let stored_at = if request.is_pre_existing { self.now } else { self.queue_at_store() };
        self.events.schedule(set_up_at.max(stored_at), Event::SessionReady(id));
        if let Some(lifetime) = request.lifetime {
            self.events.schedule(self.now + lifetime, Event::SessionEnd(id));
        }
    }

    /// Queues one session at the shared store. Returns the time at which it is stored.
    fn queue_at_store(&mut self) -> Micros {
        let rate = self.scenario.servers.store_per_s.0;
        if rate <= 0.0 {
            return self.now;
        }
        let time = (1e6 / rate * self.store_slowdown) as Micros;
        self.store_free_at = self.store_free_at.max(self.now) + time;
        self.store_free_at
    }

    /// Draws the new load of an open session.
    fn draw_load(&mut self, id: ConnectionId) -> Option<Cores> {
        let connection = self.connections.get(&id)?;
        let deviation = self.scenario.listeners[connection.listener].swing_sigma.0;
        let swing = self.random.log_normal(deviation);
        Some((connection.usual_load * swing * session_cores(&self.scenario) as f64) as Cores)
    }

    /// Draws the time until the next load change of a session, in microseconds.
    fn draw_load_change(&mut self, listener: usize) -> Micros {
        let mean = self.scenario.listeners[listener].change_s.us() as f64;
        let after = self.random.exponential(mean) as Micros;
        after.max(MIN_LOAD_CHANGE_INTERVAL)
    }

    /// The set-up of a session is complete: the session opens.
    pub(super) fn session_ready(&mut self, id: ConnectionId, out: &mut Vec<ServerEvent>) {
        let Some(server) = self.connections.get(&id).map(|connection| connection.server) else { return };
        if self.nodes[server].server.state != ServerState::Up {
            return;
        }
        if self.nodes[server].server.stalled_since.is_some() {
            return self.events.schedule(self.now + STALL_RETRY_INTERVAL, Event::SessionReady(id));
        }
        self.advance(server, out);
        let Some(load) = self.draw_load(id) else { return };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.is_open = true;
        connection.load = load;
        let relay = connection.relay;
        let listener = connection.listener;
        let group = connection.group;
        let node = &mut self.nodes[server];
        node.open_by_listener[listener] += 1;
        let mut added = load;
        if group != 0 {
            let members = node.groups.entry(group).or_insert(0);
            *members += 1;
            added += if *members == 1 { group_cores(&self.scenario) } else { 0 };
        }
        node.demand_by_relay[relay] += added;
        node.server.change_demand(added, 0, node.notified_of_start[relay]);
        let change_after = self.draw_load_change(listener);
        out.push(ServerEvent::Line { connection: id, line: ServerLine::Up });
        if self.scenario.servers.tells_load {
            out.push(ServerEvent::Line { connection: id, line: ServerLine::Load(load as f64) });
        }
        if self.scenario.listeners[listener].change_s.us() > 0 {
            self.events.schedule(self.now + change_after, Event::LoadChange(id));
        }
    }

    /// The load of an open session changes.
    pub(super) fn change_load(&mut self, id: ConnectionId, out: &mut Vec<ServerEvent>) {
        let Some(server) = self.connections.get(&id).map(|connection| connection.server) else { return };
        self.advance(server, out);
        let Some(load) = self.draw_load(id) else { return };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut connection.load, load);
        let relay = connection.relay;
        let listener = connection.listener;
        let node = &mut self.nodes[server];
        node.demand_by_relay[relay] = (node.demand_by_relay[relay] + load).saturating_sub(previous);
        node.server.change_demand(load, previous, node.notified_of_start[relay]);
        let change_after = self.draw_load_change(listener);
        self.events.schedule(self.now + change_after, Event::LoadChange(id));
        if self.scenario.servers.tells_load && self.can_send(server, relay) {
            out.push(ServerEvent::Line { connection: id, line: ServerLine::Load(load as f64) });
        }
    }
}
