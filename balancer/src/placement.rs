//! Placement: the pool of servers that a session may go to, and what it costs on each.

use crate::balancer::{Balancer, GroupKey, FULL_LOAD, MIN_SAMPLE_SESSIONS};
use crate::estimate::FleetEstimate;
use crate::outlier::HealthTier;
use crate::random::hash;
use crate::server::Server;
use crate::session::Session;
use crate::smallest::Smallest;
use crate::types::ServerId;

/// Servers compared for a session: enough to find one that is not full, few enough to probe.
pub(crate) const POOL_SIZE: usize = 3;
/// The load of a group on each server that has any session of it, in sessions.
pub(crate) const GROUP_COST: f64 = 4.0;

/// Which servers a pool is taken from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Candidates {
    All,
    /// For a session over the admission thresholds: only warming servers at which this relay has a spare
    /// slot.
    SpareSlots,
}

/// The order in which servers are taken into a pool, the best first.
#[derive(PartialEq, PartialOrd)]
struct Preference {
    tier: HealthTier,
    is_full: bool,
    /// In another zone, where that has a cost.
    is_remote: bool,
    /// By rendezvous hashing of the session's group, the same at every relay; random for an ungrouped
    /// session.
    rank: u64,
    server: ServerId,
}

/// What a session's group costs on a server depends on these.
#[derive(Clone, Copy)]
pub(crate) struct PoolPosition {
    /// The server's index in the session's pool, from 0.
    pub(crate) index: usize,
    /// 1 where the session itself is among the group's sessions on the server, else 0.
    pub(crate) own_members: u32,
}

impl Balancer {
    /// The servers that a session may go to, `POOL_SIZE` at most, best first: by health, then those that are
    /// not full, then those in this relay's zone where others have a cost, then by rank. Groups are ranked
    /// alike in all zones, so that the relays of all zones meet on the same servers.
    pub(crate) fn pool(
        &self,
        session: &Session,
        fleet: &FleetEstimate,
        candidates: Candidates,
    ) -> Vec<ServerId> {
        let is_grouped = session.request.group != 0;
        let full_load_threshold = self.full_load_threshold(is_grouped, fleet);
        let mut best = Smallest::new(POOL_SIZE);
        for server in self.servers.values().filter(|server| server.endpoint.ready()) {
            let is_in_other_zone = server.endpoint.zone != self.site.zone;
            let rank = rendezvous_rank(session, server);
            let preference = Preference {
                tier: HealthTier::Healthy,
                is_full: false,
                is_remote: is_in_other_zone && self.site.cross_zone_cost > 0.0 && !is_grouped,
                rank,
                server: server.endpoint.server,
            };
            // Most servers rank below the pool even if they are healthy and not full.
            if best.would_insert(&preference) && self.is_candidate(session, server, fleet, candidates) {
                let tier = self.health_tier(server, &session.dialled_servers);
                let is_full = self.current_load(server, fleet) >= full_load_threshold;
                best.insert(Preference { tier, is_full, ..preference });
            }
        }
        best.into_iter().map(|preference| preference.server).collect()
    }

    /// The load from which a server counts as full. It is higher by a group's cost for a grouped session in a
    /// relay that has too few sessions to know where the group is: to open the group on a new server would
    /// cost as much.
    fn full_load_threshold(&self, is_grouped: bool, fleet: &FleetEstimate) -> f64 {
        let favors_group = is_grouped && self.own_sessions < MIN_SAMPLE_SESSIONS;
        FULL_LOAD + f64::from(favors_group) * GROUP_COST * fleet.session_load
    }

    /// Whether a session may go to a server by retry rules, slow start and the requested candidates.
    fn is_candidate(
        &self,
        session: &Session,
        server: &Server,
        fleet: &FleetEstimate,
        candidates: Candidates,
    ) -> bool {
        session.may_be_dialled_at(&server.endpoint, self.now)
            && self.has_slot(server, session, fleet)
            && (candidates == Candidates::All || self.is_spare_slot(server, session, fleet))
    }

    /// The server of a pool with the best health; among these the one with the least cost.
    pub(crate) fn cheapest(
        &self,
        session: &Session,
        fleet: &FleetEstimate,
        pool: &[ServerId],
    ) -> Option<ServerId> {
        struct PricedServer {
            tier: HealthTier,
            cost: f64,
            id: ServerId,
        }
        let priced_pool = pool.iter().enumerate().map(|(index, &id)| {
            let server = &self.servers[&id];
            let load = self.current_load(server, fleet);
            let cost = self.cost(server, session, load, PoolPosition { index, own_members: 0 });
            let tier = self.health_tier(server, &session.dialled_servers);
            PricedServer { tier, cost, id }
        });
        let best = priced_pool.min_by(|a, b| a.tier.cmp(&b.tier).then(a.cost.total_cmp(&b.cost)));
        best.map(|server| server.id)
    }

    /// The cost of one more session on a server with a load (1.0 is full), as a fraction of a session's
    /// value: the service that it and others lose, a group's first session, and another zone. Without groups
    /// and cross-zone costs the order by cost is the order by load.
    pub(crate) fn cost(&self, server: &Server, session: &Session, load: f64, position: PoolPosition) -> f64 {
        /// The slope by which messages miss their objective as a server fills.
        const LOSS_SLOPE: f64 = 6.0;
        let cross_zone_cost =
            if server.endpoint.zone == self.site.zone { 0.0 } else { self.site.cross_zone_cost };
        let loss = (-LOSS_SLOPE * (1.0 - load)).exp();
        loss + (1.0 + self.group_cost(server, session, position)) * load * LOSS_SLOPE * loss + cross_zone_cost
    }

    /// The cost of a group's first session on a server, in sessions. It rises with the server's index in the
    /// pool: the later the server, the likelier the group's other sessions are elsewhere.
    fn group_cost(&self, server: &Server, session: &Session, position: PoolPosition) -> f64 {
        let key = GroupKey { server: server.endpoint.server, group: session.request.group };
        let has_others = self.group_sessions.get(&key).is_some_and(|&members| members > position.own_members);
        if has_others || session.request.group == 0 {
            0.0
        } else {
            GROUP_COST * position.index as f64 / POOL_SIZE as f64
        }
    }
}

/// The order of a server for a session: a hash of the session's key and the server.
fn rendezvous_rank(session: &Session, server: &Server) -> u64 {
    hash(session.hash_key ^ (u64::from(server.endpoint.server) << 32))
}
