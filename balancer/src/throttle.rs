//! Client-side throttling of dials (Beyer et al., "Site Reliability Engineering", chapter 21): where servers
//! accept too small a part of this relay's dials, sessions are rejected here, with the chance of the excess.
//! It guards what all servers share and no load report shows.

use crate::admission::HIGH_PRIORITY_RESERVE;
use crate::relay::{Relay, SECOND};
use crate::rolling_sum::RollingSum;
use crate::session::State;
use crate::types::{Micros, SessId};

/// How long dials count.
const WINDOW: Micros = 4 * SECOND;
/// Dials for each accepted one from which a session of high priority may be rejected; others by the reserve
/// earlier.
const MAX_DIALS_PER_ACCEPT: f64 = 1.5;
/// Dials of all relays together that say nothing yet.
const MIN_FLEET_DIALS: f64 = 8.0;
/// Servers with faults from which the fault may be shared: a single server's is its own.
const MIN_FAULTY_SERVERS: usize = 2;

impl Relay {
    /// Counts the last dial of a session that is being dialled, and whether it was accepted within its
    /// objective.
    pub(crate) fn count_dial(&mut self, id: SessId, is_accepted: bool) {
        let Some(session) = self.sessions.get(&id).filter(|session| session.state == State::Dialling) else {
            return;
        };
        let target = session.policy.listener.handshake_target;
        let is_in_time = is_accepted && self.now - session.dialled_at <= target;
        self.dials.add(self.now, 1.0);
        self.accepts.add(self.now, f64::from(is_in_time));
    }

    /// Whether a session is rejected here; a rejected one counts as a dial. A relay without any accept still
    /// sends one dial in a window, and so finds out when the fault is over.
    pub(crate) fn is_throttled(&mut self, is_high_priority: bool) -> bool {
        let dials = self.recent(&self.dials);
        let excess = self.excess_dials(dials, is_high_priority);
        let is_throttled =
            excess > 0.0 && self.is_fault_shared() && self.random.is_drawn(excess / (dials + 1.0));
        self.dials.add(self.now, f64::from(is_throttled));
        is_throttled
    }

    /// The dials beyond what the accepted ones allow.
    fn excess_dials(&self, dials: f64, is_high_priority: bool) -> f64 {
        let own_part = MIN_FLEET_DIALS / f64::from(self.site.relay_count);
        let priority_factor = if is_high_priority { 1.0 } else { 1.0 - HIGH_PRIORITY_RESERVE };
        let allowed_per_accept = MAX_DIALS_PER_ACCEPT * priority_factor;
        dials - own_part - allowed_per_accept * self.recent(&self.accepts)
    }

    fn is_fault_shared(&self) -> bool {
        let faulty = self.servers.values().filter(|server| self.recent(&server.faults) > 0.0);
        faulty.take(MIN_FAULTY_SERVERS).count() == MIN_FAULTY_SERVERS
    }

    fn recent(&self, sum: &RollingSum) -> f64 {
        sum.sum(self.now, WINDOW)
    }
}
