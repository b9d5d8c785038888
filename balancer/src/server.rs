//! The state that a relay keeps for one server.

use crate::rolling_sum::RollingSum;
use crate::slow_start::SlotWait;
use crate::types::{Endpoint, LoadReport, Micros};

/// The state of one server, derived from the endpoint list, its load reports and this relay's sessions there.
#[derive(Default)]
pub(crate) struct Server {
    /// The last entry for the server in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Last reported demand divided by capacity.
    pub(crate) load: f64,
    /// Last reported queue delay, in seconds.
    pub(crate) queue_delay: f64,
    /// Last reported number of sessions of all relays. 0 if the server does not report it.
    pub(crate) sessions: f64,
    /// When the last report was received. `None` before the first report.
    pub(crate) last_report_at: Option<Micros>,
    pub(crate) message_delay: MessageDelay,
    /// Number of consecutive failed probes and connection attempts.
    pub(crate) misses: u32,
    pub(crate) slot_wait: SlotWait,
    pub(crate) last_probe_at: Micros,
    /// Whether a probe is in flight.
    pub(crate) probe_pending: bool,
    pub(crate) last_rebalance_at: Micros,
    /// Sessions that this relay placed on the server, minus those that ended, weighted by their load.
    pub(crate) net_sessions: RollingSum,
    pub(crate) dials: RollingSum,
    /// Number of dials and established sessions that ended because of a server fault: an error, a timeout or
    /// a reset connection.
    pub(crate) faults: RollingSum,
}

/// The last message delay of a server that was measured on a session of this relay: the time from a message
/// to its answer.
#[derive(Clone, Copy, Default)]
pub(crate) struct MessageDelay {
    pub(crate) seconds: f64,
    pub(crate) measured_at: Micros,
}

impl Server {
    /// Records a load report. A report that contains no load is ignored.
    pub(crate) fn record_report(&mut self, now: Micros, report: Option<LoadReport>) {
        if let Some(LoadReport { load: Some(load), queue_delay, sessions }) = report {
            self.last_report_at = Some(now);
            self.load = load;
            self.queue_delay = queue_delay.unwrap_or(0.0);
            self.sessions = sessions.unwrap_or(0.0);
        }
    }
}
