//! Placement: the pool of servers that a session may go to, and what it costs on each.

use crate::estimate::FleetEstimate;
use crate::outlier::HealthTier;
use crate::random::hash;
use crate::relay::{Relay, FEW_SESSIONS, FULL_LOAD};
use crate::server::Server;
use crate::session::Session;
use crate::smallest::Smallest;
use crate::types::ServerId;

/// Servers compared for a session: enough to miss what is full, few enough to probe.
pub(crate) const POOL_SIZE: usize = 3;
/// What a group costs on each server that has any session of it, in sessions.
pub(crate) const GROUP_COST: f64 = 4.0;

/// Which servers a pool is taken from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Candidates {
    All,
    /// Past the thresholds of admission: warming servers alone at which this relay has a spare slot.
    SpareSlots,
}

/// The order in which servers are taken into a pool, the best first.
#[derive(PartialEq, PartialOrd)]
struct Preference {
    tier: HealthTier,
    is_full: bool,
    /// Across a crossing that costs something.
    is_remote: bool,
    /// The order of the session's group, or of its own: by rendezvous hashing, the same at every relay.
    rank: u64,
    server: ServerId,
}

/// What a session is compared for on a server.
#[derive(Clone, Copy)]
pub(crate) struct Position {
    /// The server's place in the session's pool, from 0.
    pub(crate) place: usize,
    /// Sessions of the group there that are this session itself: 1 where it is there, else 0.
    pub(crate) own_members: u32,
}

impl Relay {
    /// The servers that a session may go to, best first: by health, then those with room, then those that
    /// cost no crossing, then by rank. A group keeps to its ranks in all zones.
    pub(crate) fn pool(
        &self,
        session: &Session,
        fleet: &FleetEstimate,
        candidates: Candidates,
    ) -> Vec<ServerId> {
        let is_grouped = session.request.group != 0;
        let full_from = self.full_from(is_grouped, fleet);
        let mut best = Smallest::new(POOL_SIZE);
        for server in self.servers.values().filter(|server| server.endpoint.ready()) {
            let is_far = server.endpoint.zone != self.site.zone;
            let preference = Preference {
                tier: HealthTier::Healthy,
                is_full: false,
                is_remote: is_far && self.site.cross_zone_cost > 0.0 && !is_grouped,
                rank: rank(session, server),
                server: server.endpoint.server,
            };
            // At its best; most servers rank too low for a closer look.
            if best.would_insert(&preference) && self.is_candidate(session, server, fleet, candidates) {
                let tier = self.health_tier(server, &session.tried);
                let is_full = self.current_load(server, fleet) >= full_from;
                best.add(Preference { tier, is_full, ..preference });
            }
        }
        best.into_iter().map(|preference| preference.server).collect()
    }

    /// The load from which a server counts as full. A group keeps to its servers for longer, by what a new
    /// server would pay for it, in a relay that has too few sessions to know where the group is.
    fn full_from(&self, is_grouped: bool, fleet: &FleetEstimate) -> f64 {
        let favors_group = is_grouped && self.own_sessions < FEW_SESSIONS;
        FULL_LOAD + f64::from(favors_group) * GROUP_COST * fleet.session_load
    }

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

    /// The server of a pool that is of the best health and costs least.
    pub(crate) fn cheapest(
        &self,
        session: &Session,
        fleet: &FleetEstimate,
        pool: &[ServerId],
    ) -> Option<ServerId> {
        let costs = pool.iter().enumerate().map(|(place, id)| {
            let server = &self.servers[id];
            let position = Position { place, own_members: 0 };
            let cost = self.cost(server, session, self.current_load(server, fleet), position);
            (self.health_tier(server, &session.tried), cost, *id)
        });
        let best = costs.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(.., server)| server)
    }

    /// What one more session costs on a server with a load, as a fraction of a session's value: the service
    /// that it and others lose, the crossing, and a group's first session. Without groups and crossings the
    /// order by cost is that by load.
    pub(crate) fn cost(&self, server: &Server, session: &Session, load: f64, position: Position) -> f64 {
        /// How fast service falls as a server fills: messages that fit into their objective.
        const LOSS_SLOPE: f64 = 6.0;
        let crossing = if server.endpoint.zone == self.site.zone { 0.0 } else { self.site.cross_zone_cost };
        let loss = (-LOSS_SLOPE * (1.0 - load)).exp();
        loss + (1.0 + self.group_cost(server, session, position)) * load * LOSS_SLOPE * loss + crossing
    }

    /// What a group's first session pays on a server, in sessions: the likelier others go elsewhere, that is
    /// the later the server is in the pool, the more.
    fn group_cost(&self, server: &Server, session: &Session, position: Position) -> f64 {
        let key = (server.endpoint.server, session.request.group);
        let has_others = self.group_sessions.get(&key).is_some_and(|&members| members > position.own_members);
        if has_others || session.request.group == 0 {
            0.0
        } else {
            GROUP_COST * position.place as f64 / POOL_SIZE as f64
        }
    }
}

fn rank(session: &Session, server: &Server) -> u64 {
    hash(session.hash_key ^ (u64::from(server.endpoint.server) << 32))
}
