//! Rebalancing: which established sessions are migrated away from a server that fills up.

use crate::estimate::FleetEstimate;
use crate::outlier::HealthTier;
use crate::placement::{Candidates, Position, GROUP_COST, POOL_SIZE};
use crate::relay::{Relay, FULL_LOAD, REPORT_LAG};
use crate::server::Server;
use crate::session::{Event, Session, State};
use crate::types::{Effect, ServerId, SessId};

/// An established session on the server that is relieved.
struct Candidate {
    /// Whether it stays as long as others can be cut off.
    is_protected: bool,
    /// What its leaving frees, in sessions.
    freed: f64,
    id: SessId,
}

impl Relay {
    /// Migrates sessions of a server that fills up to where they lose less, those first whose leaving frees
    /// most. Called when a report or a message delay says something new of the server.
    pub(crate) fn rebalance(&mut self, server_id: ServerId, out: &mut Vec<Effect>) {
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
            // Less than one session is migrated by chance: all relays together move the right number.
            if surplus < freed && !self.random.is_drawn(surplus / freed) {
                break;
            }
            if is_shedding || self.is_migration_worth(id, load, &fleet) {
                surplus -= freed;
                self.advance(id, Event::MigrationDue, out);
                self.servers.get_mut(&server_id).expect("just read").last_rebalance_at = self.now;
            }
        }
    }

    /// Whether a server is too full, and what was migrated before shows in its reports.
    fn is_rebalance_due(&self, server_id: ServerId) -> bool {
        let Some(server) = self.servers.get(&server_id) else { return false };
        self.now - server.last_rebalance_at >= REPORT_LAG
            && server.endpoint.ready()
            && self.current_load(server, &self.estimate) >= FULL_LOAD
    }

    /// Whether sessions are cut off for the rest to be well: a congested server that was just reported to be
    /// asked for more than it can do, in a slow-down that all share, where no server is better.
    fn is_shedding(&self, server: &Server, load: f64, fleet: &FleetEstimate) -> bool {
        server.last_report_at == Some(self.now)
            && load > 1.0
            && self.is_unhealthy(server)
            && fleet.congested > fleet.capacity / 2.0
    }

    /// The established sessions of a server in the order in which they leave.
    fn migration_candidates(&self, server_id: ServerId, is_shedding: bool) -> Vec<Candidate> {
        let here = |session: &&Session| session.server == server_id && session.state == State::Established;
        let established = self.sessions.iter().filter(|(_, session)| here(session));
        let mut candidates: Vec<Candidate> = established
            .map(|(&id, session)| Candidate {
                is_protected: is_shedding && self.is_high_priority(session),
                freed: self.freed_by(session),
                id,
            })
            .collect();
        candidates.sort_by(|a, b| a.is_protected.cmp(&b.is_protected).then(b.freed.total_cmp(&a.freed)));
        candidates
    }

    /// What a session's leaving frees on its server, in sessions: a group's last one frees what the group
    /// costs.
    fn freed_by(&self, session: &Session) -> f64 {
        let is_last_of_group = self.group_sessions.get(&(session.server, session.request.group)) == Some(&1);
        session.weight + if is_last_of_group { GROUP_COST } else { 0.0 }
    }

    /// How much load a server gives up: half of the way down to the mean of all, or all of it where its
    /// messages are late and the others have room.
    fn excess_load(&self, server: &Server, load: f64, is_shedding: bool, fleet: &FleetEstimate) -> f64 {
        let others_have_capacity = fleet.busy < FULL_LOAD * fleet.capacity - fleet.congested;
        let is_urgent = is_shedding || (self.is_unhealthy(server) && others_have_capacity);
        let mean = (fleet.busy / fleet.capacity.max(1.0)).min(FULL_LOAD);
        (load - mean) * if is_urgent { 1.0 } else { 0.5 }
    }

    /// Whether a session loses less where its pool would place it now, by more than the migration costs.
    fn is_migration_worth(&self, id: SessId, load: f64, fleet: &FleetEstimate) -> bool {
        /// Beyond the migration's price: the gap, the new handshake, and doubt about old reports.
        const MARGIN: f64 = 0.15;
        self.migration_gain(id, load, fleet) > self.site.migration_cost + MARGIN
    }

    fn migration_gain(&self, id: SessId, load: f64, fleet: &FleetEstimate) -> f64 {
        /// From there on service is lost anyway.
        const MAX_COUNTED_LOAD: f64 = 1.2;
        let session = &self.sessions[&id];
        let pool = self.pool(session, fleet, Candidates::All);
        let place = pool.iter().position(|server| *server == session.server).unwrap_or(POOL_SIZE);
        let here = Position { place, own_members: 1 };
        let cost_here = self.cost(&self.servers[&session.server], session, load.min(MAX_COUNTED_LOAD), here);
        let costs = pool.iter().enumerate().filter_map(|(place, other)| {
            let server = &self.servers[other];
            let load = self.current_load(server, fleet) + fleet.session_load * session.weight;
            let is_usable = *other != session.server && !self.is_unhealthy(server);
            let there = Position { place, own_members: 0 };
            (is_usable && load < FULL_LOAD).then(|| self.cost(server, session, load, there))
        });
        cost_here - costs.fold(f64::INFINITY, f64::min)
    }

    fn is_unhealthy(&self, server: &Server) -> bool {
        self.health_tier(server, &[]) > HealthTier::Healthy
    }
}
