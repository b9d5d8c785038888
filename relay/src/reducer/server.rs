//! What the reducer knows of one backend.
use hallrelay_balancer::types::Micros;
use hallrelay_config::list::Instance;
use hallrelay_disruption::SessionCounts;

/// A backend that the endpoint list names, or named.
pub(super) struct Server {
    /// As the list had it last.
    pub instance: Instance,
    /// When it started, by this process' clock; 0 is long ago.
    pub started_at: Micros,
    pub health_check_pending: bool,
    /// Health checks in a row without any answer.
    pub consecutive_misses: u32,
    /// Connects in a row that failed.
    pub consecutive_connect_failures: u32,
    pub latency_report: LatencyReport,
    /// Outcomes of sessions there since the last report to the leader.
    pub session_counts: SessionCounts,
}

impl Server {
    /// Whether it is warming up.
    pub fn in_slow_start(&self, now: Micros, warm_up: Micros) -> bool {
        self.started_at > 0 && now < self.started_at.saturating_add(warm_up)
    }
}

/// The last report of a server's message latency to the balancer.
#[derive(Default)]
pub(super) struct LatencyReport {
    pub reported_at: Option<Micros>,
    /// Whether it was above the threshold below which nothing is reported.
    pub above_threshold: bool,
}
