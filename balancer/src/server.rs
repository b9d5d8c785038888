//! The state that a relay has of one server.

use crate::rolling_sum::RollingSum;
use crate::slow_start::SlotWait;
use crate::types::{Endpoint, LoadReport, Micros};

/// The state of one server, from the endpoint list, its load reports and this relay's sessions there.
#[derive(Default)]
pub(crate) struct Server {
    /// As the endpoint list has it.
    pub(crate) endpoint: Endpoint,
    /// Demand over capacity, as last reported.
    pub(crate) load: f64,
    /// How long queued work waits, in seconds, as last reported.
    pub(crate) queue_delay: f64,
    /// Sessions of all relays, as last reported; 0 where this is not reported.
    pub(crate) sessions: f64,
    /// When the last report was received; none before the first.
    pub(crate) last_report_at: Option<Micros>,
    pub(crate) message_delay: MessageDelay,
    /// Probes and connects in a row that failed.
    pub(crate) misses: u32,
    pub(crate) slot_wait: SlotWait,
    pub(crate) last_probe_at: Micros,
    /// Whether a probe is in flight.
    pub(crate) probe_pending: bool,
    pub(crate) last_rebalance_at: Micros,
    /// Sessions placed here, less those that ended, weighted by their load.
    pub(crate) net_sessions: RollingSum,
    pub(crate) dials: RollingSum,
    /// Dials and established sessions that ended by a fault of the server.
    pub(crate) faults: RollingSum,
}

/// How long a message took on a session of this relay.
#[derive(Clone, Copy, Default)]
pub(crate) struct MessageDelay {
    pub(crate) seconds: f64,
    pub(crate) measured_at: Micros,
}

impl Server {
    /// Records a report that has a load; others are ignored.
    pub(crate) fn record_report(&mut self, now: Micros, report: Option<LoadReport>) {
        if let Some(LoadReport { load: Some(load), queue_delay, sessions }) = report {
            self.last_report_at = Some(now);
            self.load = load;
            self.queue_delay = queue_delay.unwrap_or(0.0);
            self.sessions = sessions.unwrap_or(0.0);
        }
    }
}
