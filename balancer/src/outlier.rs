//! Outlier ejection, and the order in which servers are preferred by their health.

use crate::balancer::Balancer;
use crate::server::Server;
use crate::types::{Micros, ServerId};

/// Faults within `FAULT_WINDOW` from which a server may be an outlier: a single one may be the client's.
const MIN_FAULTS: f64 = 2.0;
/// Faults for each dial from which a server is an outlier.
const MIN_FAULT_RATIO: f64 = 0.25;
/// How long faults and dials count, in microseconds.
const FAULT_WINDOW: Micros = 8_000_000;

/// How far a server can be relied on, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthTier {
    Healthy,
    /// Work queues there for longer than the shortest message objective.
    Congested,
    /// Ejected, or dialled for the session before.
    Outlier,
    /// It does not answer probes or connects.
    Unreachable,
}

impl Server {
    /// The ejection rule: at least `MIN_FAULTS` faults within `FAULT_WINDOW`, and at least `MIN_FAULT_RATIO`
    /// faults for each dial there. An ejected server gets sessions only where there is no other, and returns
    /// as its faults leave the window.
    pub(crate) fn is_outlier(&self, now: Micros) -> bool {
        let faults = self.faults.sum(now, FAULT_WINDOW);
        faults >= MIN_FAULTS && faults >= MIN_FAULT_RATIO * self.dials.sum(now, FAULT_WINDOW)
    }
}

impl Balancer {
    /// Whether sessions go to a server only where there is no other: it is not ready or not in the list, does
    /// not answer, or is ejected.
    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        let Some(server) = self.servers.get(&server) else { return true };
        !server.endpoint.ready() || server.misses > 0 || server.is_outlier(now)
    }

    /// The health of a server for a session that was dialled at `dialled_servers` before.
    pub(crate) fn health_tier(&self, server: &Server, dialled_servers: &[ServerId]) -> HealthTier {
        if server.misses > 0 {
            HealthTier::Unreachable
        } else if dialled_servers.contains(&server.endpoint.server) || server.is_outlier(self.now) {
            HealthTier::Outlier
        } else if self.is_congested(server) {
            HealthTier::Congested
        } else {
            HealthTier::Healthy
        }
    }

    /// Whether a server's queue delay exceeds the shortest message objective of the site (the paper's
    /// threshold of congestion, with alpha_cong = 0).
    pub(crate) fn is_congested(&self, server: &Server) -> bool {
        self.queue_delay(server) > self.queue_delay_limit
    }
}
