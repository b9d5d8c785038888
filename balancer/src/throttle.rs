//! Client-side throttling of dials (Beyer et al., "Site Reliability Engineering", chapter 21): where servers
//! accept too small a part of this relay's dials, it rejects sessions itself, with the probability of the
//! excess. This protects dependencies that all servers share and that no load report shows.

use crate::admission::HIGH_PRIORITY_RESERVE;
use crate::balancer::{Balancer, SECOND};
use crate::rolling_sum::RollingSum;
use crate::session::State;
use crate::types::{Micros, SessionId};

/// The window over which dials count.
const WINDOW: Micros = 4 * SECOND;
/// Dials for each accepted one above which a session of high priority may be rejected; for others it is lower
/// by `HIGH_PRIORITY_RESERVE`.
const MAX_DIALS_PER_ACCEPT: f64 = 1.5;
/// Dials of all relays together that are never throttled: too small a sample.
const MIN_FLEET_DIALS: f64 = 8.0;
/// Servers with faults in the window from which a shared fault is assumed: a single one may be an outlier.
const MIN_FAULTY_SERVERS: usize = 2;

impl Balancer {
    /// Counts the last dial of a session that is being dialled, and whether it was accepted within the
    /// handshake objective.
    pub(crate) fn count_dial(&mut self, id: SessionId, is_accepted: bool) {
        let Some(session) = self.sessions.get(&id).filter(|session| session.state == State::Dialling) else {
            return;
        };
        let target = session.policy.listener.handshake_target;
        let is_in_time = is_accepted && self.now - session.dialled_at <= target;
        self.dials.add(self.now, 1.0);
        self.accepts.add(self.now, f64::from(is_in_time));
    }

    /// The throttling rule: whether a session is rejected, with the probability (excess dials) / (dials + 1)
    /// over `WINDOW`. A rejected session counts as a dial. Even without any accept one dial in a window is
    /// sent, which shows when the fault is over.
    pub(crate) fn is_throttled(&mut self, is_high_priority: bool) -> bool {
        let dials = self.recent(&self.dials);
        let excess = self.excess_dials(dials, is_high_priority);
        let is_throttled =
            excess > 0.0 && self.is_fault_shared() && self.random.random_bool(excess / (dials + 1.0));
        self.dials.add(self.now, f64::from(is_throttled));
        is_throttled
    }

    /// The dials beyond those that the accepted ones allow; negative where there are fewer.
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
