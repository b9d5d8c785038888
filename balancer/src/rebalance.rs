//! Rebalancing: which established sessions are migrated off a server that fills up.

use crate::balancer::{Balancer, GroupKey, FULL_LOAD, REPORT_LAG};
use crate::estimate::FleetEstimate;
use crate::outlier::HealthTier;
use crate::placement::{Candidates, PoolPosition, GROUP_COST, POOL_SIZE};
use crate::server::Server;
use crate::session::{Event, Session, State};
use crate::types::{Effect, ServerId, SessionId};

/// An established session that may be migrated.
struct Candidate {
    /// Whether it stays while there are others to shed.
    is_protected: bool,
    /// Load that its migration frees, in sessions.
    freed: f64,
    id: SessionId,
}

impl Balancer {
    /// Migrates sessions off a server that fills up, to where they lose less service. Those that free most
    /// load go first; where load is shed, sessions of high priority go last. Called when a probe's end or a
    /// message delay brings news of the server.
    pub(crate) fn rebalance(&mut self, server_id: ServerId, effects: &mut Vec<Effect>) {
        if !self.is_rebalance_due(server_id) {
            return;
        }
        let fleet = self.fleet_estimate();
        let server = &self.servers[&server_id];
        let load = self.current_load(server, &fleet).max(FULL_LOAD);
        let is_shedding = self.is_shedding(server, load, &fleet);
        let candidates = self.migration_candidates(server_id, is_shedding);
        let excess = self.excess_load(server, load, is_shedding, &fleet);
        let mut surplus = candidates.iter().map(|candidate| candidate.freed).sum::<f64>() * excess / load;
        for Candidate { freed, id, .. } in candidates {
            // A fraction of a session is migrated by chance: all relays together migrate the right number.
            if surplus < freed && !self.random.random_bool(surplus / freed) {
                break;
            }
            if is_shedding || self.is_migration_beneficial(id, load, &fleet) {
                surplus -= freed;
                self.advance(id, Event::MigrationDue, effects);
                self.servers.get_mut(&server_id).expect("just read").last_rebalance_at = self.now;
            }
        }
    }

    /// Whether a ready server's load is at least `FULL_LOAD`, and its last migrations are `REPORT_LAG` ago,
    /// so that reports include them.
    fn is_rebalance_due(&self, server_id: ServerId) -> bool {
        let Some(server) = self.servers.get(&server_id) else { return false };
        self.now - server.last_rebalance_at >= REPORT_LAG
            && server.endpoint.ready()
            && self.current_load(server, &self.estimate) >= FULL_LOAD
    }

    /// Whether a server sheds sessions for the rest to be served, wherever they go: it is unhealthy, its load
    /// is above 1.0 by a report of this step, and more than half of the fleet's capacity is congested, so
    /// that there is no better server.
    fn is_shedding(&self, server: &Server, load: f64, fleet: &FleetEstimate) -> bool {
        server.last_report_at == Some(self.now)
            && load > 1.0
            && self.is_unhealthy(server)
            && fleet.congested > fleet.capacity / 2.0
    }

    /// The established sessions of a server in the order of their migration: those of low priority first when
    /// it sheds, then those that free most load.
    fn migration_candidates(&self, server_id: ServerId, is_shedding: bool) -> Vec<Candidate> {
        let is_established_there =
            |session: &Session| session.server == server_id && session.state == State::Established;
        let established = self.sessions.iter().filter(|(_, session)| is_established_there(session));
        let mut candidates: Vec<Candidate> = established
            .map(|(&id, session)| Candidate {
                is_protected: is_shedding && self.is_high_priority(session),
                freed: self.freed_sessions(session),
                id,
            })
            .collect();
        candidates.sort_by(|a, b| a.is_protected.cmp(&b.is_protected).then(b.freed.total_cmp(&a.freed)));
        candidates
    }

    /// The load that a session's migration frees on its server, in sessions; for the last one of a group the
    /// group's cost too.
    fn freed_sessions(&self, session: &Session) -> f64 {
        let key = GroupKey { server: session.server, group: session.request.group };
        let is_last_of_group = self.group_sessions.get(&key) == Some(&1);
        session.weight + if is_last_of_group { GROUP_COST } else { 0.0 }
    }

    /// How much load leaves a server, as a fraction of the server: half of what it has above the mean of all,
    /// or all of that where it sheds, or is unhealthy while the others have capacity.
    fn excess_load(&self, server: &Server, load: f64, is_shedding: bool, fleet: &FleetEstimate) -> f64 {
        let has_spare_capacity = fleet.busy < FULL_LOAD * fleet.capacity - fleet.congested;
        let is_urgent = is_shedding || (self.is_unhealthy(server) && has_spare_capacity);
        let mean = (fleet.busy / fleet.capacity.max(1.0)).min(FULL_LOAD);
        (load - mean) * if is_urgent { 1.0 } else { 0.5 }
    }

    /// Whether the gain of a session's migration exceeds its cost.
    fn is_migration_beneficial(&self, id: SessionId, load: f64, fleet: &FleetEstimate) -> bool {
        /// Beyond the site's cost: for the interruption, the new handshake, and the age of the reports. A
        /// fraction of a session's value.
        const MARGIN: f64 = 0.15;
        self.migration_gain(id, load, fleet) > self.site.migration_cost + MARGIN
    }

    /// The cost of a session where it is, less that on the cheapest other server of its pool that is healthy
    /// and not full with it: a fraction of a session's value. Negative infinity where there is none.
    fn migration_gain(&self, id: SessionId, load: f64, fleet: &FleetEstimate) -> f64 {
        /// The load from which further load costs nothing more: service is lost anyway.
        const MAX_COUNTED_LOAD: f64 = 1.2;
        let session = &self.sessions[&id];
        let pool = self.pool(session, fleet, Candidates::All);
        let index = pool.iter().position(|server| *server == session.server).unwrap_or(POOL_SIZE);
        let current_position = PoolPosition { index, own_members: 1 };
        let current_server = &self.servers[&session.server];
        let current_cost = self.cost(current_server, session, load.min(MAX_COUNTED_LOAD), current_position);
        let other_costs = pool.iter().enumerate().filter_map(|(index, other)| {
            let server = &self.servers[other];
            let load = self.current_load(server, fleet) + fleet.session_load * session.weight;
            let is_usable = *other != session.server && !self.is_unhealthy(server);
            let position = PoolPosition { index, own_members: 0 };
            (is_usable && load < FULL_LOAD).then(|| self.cost(server, session, load, position))
        });
        current_cost - other_costs.fold(f64::INFINITY, f64::min)
    }

    fn is_unhealthy(&self, server: &Server) -> bool {
        self.health_tier(server, &[]) > HealthTier::Healthy
    }
}
