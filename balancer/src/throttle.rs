//! Client-side throttling of dials (Beyer et al., "Site Reliability Engineering", chapter 21). If servers
//! accept too small a fraction of this relay's dials, the relay rejects some sessions without a dial. The
//! probability of such a rejection is derived from the excess dials. This protects dependencies that all
//! servers share and that no load report covers.

use crate::admission::HIGH_PRIORITY_RESERVE;
use crate::balancer::{Balancer, SECOND};
use crate::rolling_sum::RollingSum;
use crate::session::State;
use crate::types::{Micros, SessionId};

/// The window over which dials are counted.
const WINDOW: Micros = 4 * SECOND;
/// The ratio of dials to accepted dials above which a high-priority session may be rejected. For other
/// sessions the ratio is lower by the fraction `HIGH_PRIORITY_RESERVE`.
const MAX_DIALS_PER_ACCEPT: f64 = 1.5;
/// Number of dials of all relays within `WINDOW` up to which no session is throttled, because so few dials
/// are too small a sample. Each relay has an equal part of this number.
const MIN_FLEET_DIALS: f64 = 8.0;
/// Minimum number of servers with faults within `WINDOW` from which a fault counts as shared by all servers.
/// A single server may be an outlier.
const MIN_FAULTY_SERVERS: usize = 2;

impl Balancer {
    /// Counts the current dial of a session that is being dialled. The dial also counts as accepted if the
    /// server accepted it within the handshake objective.
    pub(crate) fn count_dial(&mut self, id: SessionId, is_accepted: bool) {
        let Some(session) = self.sessions.get(&id).filter(|session| session.state == State::Dialling) else {
            return;
        };
        let target = session.policy.listener.handshake_target;
        let is_in_time = is_accepted && self.now - session.dialled_at <= target;
        self.dials.add(self.now, 1.0);
        self.accepts.add(self.now, f64::from(is_in_time));
    }

    /// Whether throttling rejects a session. The probability is (excess dials) / (dials + 1) over `WINDOW`,
    /// and a rejected session counts as a dial. Even if no dial is accepted, about one dial per window
    /// passes, which shows when the fault is over.
    pub(crate) fn is_throttled(&mut self, is_high_priority: bool) -> bool {
        let dials = self.recent(&self.dials);
        let excess = self.excess_dials(dials, is_high_priority);
        let is_throttled =
            excess > 0.0 && self.is_fault_shared() && self.random.random_bool(excess / (dials + 1.0));
        self.dials.add(self.now, f64::from(is_throttled));
        is_throttled
    }

    /// Number of dials above the number that the accepted dials allow. Negative if there are fewer dials.
    fn excess_dials(&self, dials: f64, is_high_priority: bool) -> f64 {
        let exempt_dials = MIN_FLEET_DIALS / f64::from(self.site.relay_count);
        let priority_factor = if is_high_priority { 1.0 } else { 1.0 - HIGH_PRIORITY_RESERVE };
        let allowed_per_accept = MAX_DIALS_PER_ACCEPT * priority_factor;
        dials - exempt_dials - allowed_per_accept * self.recent(&self.accepts)
    }

    fn is_fault_shared(&self) -> bool {
        let faulty = self.servers.values().filter(|server| self.recent(&server.faults) > 0.0);
        faulty.take(MIN_FAULTY_SERVERS).count() == MIN_FAULTY_SERVERS
    }

    fn recent(&self, sum: &RollingSum) -> f64 {
        sum.sum(self.now, WINDOW)
    }
}
