//! The reducer's state of one backend.
use hallrelay_balancer::types::Micros;
use hallrelay_config::list::Instance;
use hallrelay_disruption::SessionCounts;

/// A backend that the endpoint list names, or has named.
pub(super) struct Server {
    /// Its last entry in the list.
    pub instance: Instance,
    /// When it started, by this process's clock; 0 for long ago.
    pub started_at: Micros,
    /// Whether a health check is running; the server is not dropped until it ends.
    pub health_check_pending: bool,
    /// Number of consecutive health checks without any answer.
    pub consecutive_misses: u32,
    /// Number of consecutive connects that failed.
    pub consecutive_connect_failures: u32,
    pub latency_report: LatencyReport,
    /// Outcomes of sessions at this backend since the last report to the leader.
    pub session_counts: SessionCounts,
}

impl Server {
    /// Whether the backend is warming up.
    pub fn in_slow_start(&self, now: Micros, warm_up: Micros) -> bool {
        self.started_at > 0 && now < self.started_at.saturating_add(warm_up)
    }
}

/// The last report of a server's message latency to the balancer.
#[derive(Default)]
pub(super) struct LatencyReport {
    pub reported_at: Option<Micros>,
    /// Whether the latency was above the threshold below which it is not reported.
    pub above_threshold: bool,
}
