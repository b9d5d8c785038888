//! Outlier ejection: which servers are taken for faulty, and in which order servers are preferred by their
//! health.

use crate::relay::Relay;
use crate::server::Server;
use crate::types::{Micros, ServerId};

/// Faults that say something of a server: one may be the client's.
const MIN_FAULTS: f64 = 2.0;
/// The faults among its dials by which a server is an outlier.
const MIN_FAULT_RATIO: f64 = 0.25;
/// How long faults and dials count.
const FAULT_WINDOW: Micros = 8_000_000;

/// How far a server can be relied on, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthTier {
    Healthy,
    /// Its work queues for longer than a message may take.
    Congested,
    /// Ejected, or tried by the session before.
    Outlier,
    /// It does not answer probes or connects.
    Unreachable,
}

impl Server {
    /// The ejection rule: at least `MIN_FAULTS` faults in the last `FAULT_WINDOW`, which are at least
    /// `MIN_FAULT_RATIO` of the dials there. An ejected server is used only where there is no other.
    pub(crate) fn is_outlier(&self, now: Micros) -> bool {
        let faults = self.faults.sum(now, FAULT_WINDOW);
        faults >= MIN_FAULTS && faults >= MIN_FAULT_RATIO * self.dials.sum(now, FAULT_WINDOW)
    }
}

impl Relay {
    /// Whether sessions are sent to a server only where there is no other.
    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        let Some(server) = self.servers.get(&server) else { return true };
        !server.endpoint.ready() || server.misses > 0 || server.is_outlier(now)
    }

    /// The health of a server for a session that was dialled at `tried` already.
    pub(crate) fn health_tier(&self, server: &Server, tried: &[ServerId]) -> HealthTier {
        if server.misses > 0 {
            HealthTier::Unreachable
        } else if tried.contains(&server.endpoint.server) || server.is_outlier(self.now) {
            HealthTier::Outlier
        } else if self.is_late(server) {
            HealthTier::Congested
        } else {
            HealthTier::Healthy
        }
    }

    /// Whether work waits at a server for longer than the shortest message objective (the paper's threshold
    /// of congestion, with alpha_cong = 0).
    pub(crate) fn is_late(&self, server: &Server) -> bool {
        self.queue_delay(server) > self.queue_delay_limit
    }
}
