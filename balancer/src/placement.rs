//! Placement: the pool of servers on which a session may be placed, and the cost of the session on each. A
//! server's slot is one dial that this relay may make there while the server warms up.

use crate::balancer::{Balancer, GroupKey, FULL_LOAD, MIN_SAMPLE_SESSIONS};
use crate::estimate::FleetEstimate;
use crate::outlier::HealthTier;
use crate::random::hash;
use crate::server::Server;
use crate::session::Session;
use crate::smallest::Smallest;
use crate::types::ServerId;

/// Maximum number of servers in a session's pool: enough to find one that is not full, and few enough to
/// probe them all.
pub(crate) const POOL_SIZE: usize = 3;
/// The load that a group adds on each server that has at least one of its sessions, in units of one session's
/// load.
pub(crate) const GROUP_COST: f64 = 4.0;

/// The servers from which a pool is selected.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Candidates {
    All,
    /// Only warming servers at which this relay has a spare slot (`is_spare_slot`). Used for a session that
    /// the admission thresholds do not admit.
    SpareSlots,
}

/// The order of servers for the selection of a pool: by the fields in this order. The smallest value is the
/// best.
#[derive(PartialEq, PartialOrd)]
struct Preference {
    tier: HealthTier,
    is_full: bool,
    /// Whether the server is in another zone and the site has a cost for that.
    is_remote: bool,
    /// Rank of the server by rendezvous hashing of the session's group, so that every relay computes the same
    /// rank. The rank is random for a session without a group.
    rank: u64,
    server: ServerId,
}

/// The position of a server in a session's pool, which determines the cost of the session's group there.
#[derive(Clone, Copy)]
pub(crate) struct PoolPosition {
    /// The server's index in the session's pool, from 0.
    pub(crate) index: usize,
    /// 1 if the session itself is already counted among the group's sessions on the server, otherwise 0.
    pub(crate) own_members: u32,
}

impl Balancer {
    /// Returns at most `POOL_SIZE` servers on which a session may be placed, best first. The order is by
    /// health, then servers that are not full, then servers in this relay's zone if another zone has a cost,
    /// then by rank. For a session of a group the zone is ignored, so that relays in all zones choose the
    /// same servers for the group.
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
            // The preference assumes a healthy server that is not full, so it is the best possible one. Most
            // servers would not enter the pool even so, and need no further checks.
            if best.would_insert(&preference) && self.is_candidate(session, server, fleet, candidates) {
                let tier = self.health_tier(server, &session.dialled_servers);
                let is_full = self.current_load(server, fleet) >= full_load_threshold;
                best.insert(Preference { tier, is_full, ..preference });
            }
        }
        best.into_iter().map(|preference| preference.server).collect()
    }

    /// The load at or above which a server counts as full. For a session of a group the load is higher by the
    /// group's cost if this relay has too few sessions to know which servers have sessions of the group.
    /// Placing the group's first session on another server would cost as much.
    fn full_load_threshold(&self, is_grouped: bool, fleet: &FleetEstimate) -> f64 {
        let favors_group = is_grouped && self.own_sessions < MIN_SAMPLE_SESSIONS;
        FULL_LOAD + f64::from(favors_group) * GROUP_COST * fleet.session_load
    }

    /// Whether a session may be placed on a server according to the retry rules, slow start and `candidates`.
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

    /// The server with the lowest cost among those servers of a pool that have the best health in the pool.
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

    /// The cost of one more session on a server with a given load (1.0 is saturated), as a fraction of a
    /// session's value. The cost consists of the service that this session and the server's other sessions
    /// lose, the cost of a group's first session there, and the cost of another zone. Without groups and
    /// cross-zone costs, servers are ordered by load.
    pub(crate) fn cost(&self, server: &Server, session: &Session, load: f64, position: PoolPosition) -> f64 {
        /// How steeply messages miss their objective as a server's load rises. The fraction of the service
        /// that a session loses is `exp(-LOSS_SLOPE * (1.0 - load))`.
        const LOSS_SLOPE: f64 = 6.0;
        let cross_zone_cost =
            if server.endpoint.zone == self.site.zone { 0.0 } else { self.site.cross_zone_cost };
        let loss = (-LOSS_SLOPE * (1.0 - load)).exp();
        loss + (1.0 + self.group_cost(server, session, position)) * load * LOSS_SLOPE * loss + cross_zone_cost
    }

    /// The cost of the first session of a group on a server, in units of one session's load. It rises with
    /// the server's index in the pool, because the group's other sessions are more likely on the servers
    /// before it. It is 0 if this relay already has another session of the group there.
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

/// The rank of a server for a session: a hash of the session's `hash_key` and the server's number.
fn rendezvous_rank(session: &Session, server: &Server) -> u64 {
    hash(session.hash_key ^ (u64::from(server.endpoint.server) << 32))
}
