//! Outlier ejection, and the order in which servers are preferred by their health.

use crate::balancer::Balancer;
use crate::server::Server;
use crate::types::{Micros, ServerId};

/// Minimum number of faults within `FAULT_WINDOW` that make a server an outlier. The client may have caused a
/// single fault.
const MIN_FAULTS: f64 = 2.0;
/// Minimum ratio of faults to dials within `FAULT_WINDOW` that makes a server an outlier.
const MIN_FAULT_RATIO: f64 = 0.25;
/// The window over which faults and dials are counted, in microseconds.
const FAULT_WINDOW: Micros = 8_000_000;

/// The health of a server, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HealthTier {
    Healthy,
    /// The queue delay of the server exceeds the shortest message objective.
    Congested,
    /// The server is ejected, or the session was already dialled there.
    Outlier,
    /// The server does not answer probes or connection attempts.
    Unreachable,
}

impl Server {
    /// Whether the server is ejected: it has at least `MIN_FAULTS` faults within `FAULT_WINDOW`, and at least
    /// `MIN_FAULT_RATIO` faults per dial. An ejected server gets sessions only if there is no other server.
    /// The ejection ends when enough faults have left the window.
    pub(crate) fn is_outlier(&self, now: Micros) -> bool {
        let faults = self.faults.sum(now, FAULT_WINDOW);
        faults >= MIN_FAULTS && faults >= MIN_FAULT_RATIO * self.dials.sum(now, FAULT_WINDOW)
    }
}

impl Balancer {
    /// Whether new sessions avoid a server: it is not listed or not ready, did not answer the last probe or
    /// connection attempt, or is ejected. A server that is listed and ready may still get a session if there
    /// is no better server.
    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        let Some(server) = self.servers.get(&server) else { return true };
        !server.endpoint.ready() || server.misses > 0 || server.is_outlier(now)
    }

    /// The health of a server for a session that was already dialled at `dialled_servers`. Pass no servers
    /// for the health regardless of a session.
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

    /// Whether a server's queue delay exceeds the shortest message objective of the site. This is the
    /// congestion threshold of the paper that the module `admission` cites, with alpha_cong = 0.
    pub(crate) fn is_congested(&self, server: &Server) -> bool {
        self.queue_delay(server) > self.queue_delay_limit
    }
}
