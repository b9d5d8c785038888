//! Rebalancing: which established sessions are migrated away from a server that becomes full. A migration
//! asks a session's client to reconnect, so that the session is placed again.

use crate::balancer::{Balancer, GroupKey, FULL_LOAD, REPORT_LAG};
use crate::estimate::FleetEstimate;
use crate::outlier::HealthTier;
use crate::placement::{Candidates, PoolPosition, GROUP_COST, POOL_SIZE};
use crate::server::Server;
use crate::session::{Event, Session, State};
use crate::types::{Effect, ServerId, SessionId};

/// An established session that may be migrated.
struct Candidate {
    /// Whether the session is migrated only after all unprotected candidates.
    is_protected: bool,
    /// Load that the migration frees on the server, in units of one session's load.
    freed: f64,
    id: SessionId,
}

impl Balancer {
    /// Migrates sessions away from a server that becomes full, if they lose less service on another server.
    /// The sessions that free the most load are migrated first. If the server sheds load (`is_shedding`),
    /// sessions are migrated even without a better server, and high-priority sessions last. Called after each
    /// probe and each measured message delay of the server.
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
            // If the surplus is less than the load that the next session frees, that session is migrated with
            // a probability of `surplus / freed`, so that all relays together migrate the right number.
            if surplus < freed && !self.random.random_bool(surplus / freed) {
                break;
            }
            if is_shedding || self.is_migration_beneficial(id, load, &fleet) {
                surplus -= freed;
                self.advance(id, Event::MigrationDue, effects);
                let server =
                    self.servers.get_mut(&server_id).expect("the server stays listed while it is rebalanced");
                server.last_rebalance_at = self.now;
            }
        }
    }

    /// Whether a server is ready, its load is at least `FULL_LOAD`, and this relay's last migrations from it
    /// are at least `REPORT_LAG` old, so that load reports show their effect.
    fn is_rebalance_due(&self, server_id: ServerId) -> bool {
        let Some(server) = self.servers.get(&server_id) else { return false };
        self.now - server.last_rebalance_at >= REPORT_LAG
            && server.endpoint.ready()
            && self.current_load(server, &self.estimate) >= FULL_LOAD
    }

    /// Whether a server sheds load: some of its sessions are migrated so that the others are served, even if
    /// no better server exists for the migrated sessions. The server sheds load if it is unhealthy, a report
    /// received in this step puts its load above 1.0, and more than half of the fleet's capacity is
    /// congested.
    fn is_shedding(&self, server: &Server, load: f64, fleet: &FleetEstimate) -> bool {
        server.last_report_at == Some(self.now)
            && load > 1.0
            && self.is_unhealthy(server)
            && fleet.congested > fleet.capacity / 2.0
    }

    /// The established sessions of a server in the order of their migration: those that free the most load
    /// first. If the server sheds load, all low-priority sessions precede the high-priority ones.
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

    /// The load that a session's migration frees on its server, in units of one session's load. If the
    /// session is this relay's only session of its group there, the load includes the group's cost.
    fn freed_sessions(&self, session: &Session) -> f64 {
        let key = GroupKey { server: session.server, group: session.request.group };
        let is_last_of_group = self.group_sessions.get(&key) == Some(&1);
        session.weight + if is_last_of_group { GROUP_COST } else { 0.0 }
    }

    /// The load to move away from a server, as a fraction of the server. It is half of the amount by which
    /// the server's load exceeds the fleet's mean load. It is the full amount if the server sheds load, or if
    /// the server is unhealthy and the fleet has spare capacity.
    fn excess_load(&self, server: &Server, load: f64, is_shedding: bool, fleet: &FleetEstimate) -> f64 {
        let has_spare_capacity = fleet.busy < FULL_LOAD * fleet.capacity - fleet.congested;
        let is_urgent = is_shedding || (self.is_unhealthy(server) && has_spare_capacity);
        let mean = (fleet.busy / fleet.capacity.max(1.0)).min(FULL_LOAD);
        (load - mean) * if is_urgent { 1.0 } else { 0.5 }
    }

    /// Whether the gain of a session's migration exceeds its cost.
    fn is_migration_beneficial(&self, id: SessionId, load: f64, fleet: &FleetEstimate) -> bool {
        /// Gain required in addition to the site's migration cost, as a fraction of a session's value. It
        /// covers the interruption, the new handshake, and the age of the reports.
        const MARGIN: f64 = 0.15;
        self.migration_gain(id, load, fleet) > self.site.migration_cost + MARGIN
    }

    /// The cost of a session on its current server minus its cost on the cheapest other server of its pool,
    /// as a fraction of a session's value. The other server must be healthy and must not become full by the
    /// session. Negative infinity if the pool has no such server.
    fn migration_gain(&self, id: SessionId, load: f64, fleet: &FleetEstimate) -> f64 {
        /// The load above which further load adds no cost, because the service is lost anyway.
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
