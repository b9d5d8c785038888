//! Admission control: whether a session is dialled, waits for load reports, or is rejected. The thresholds
//! are those of HEU, section 7 of Bartolini's "Session based access control in geographically replicated
//! Internet services" ("the paper" in this crate): c is the capacity of the fleet, c_id the maximum number of
//! sessions of a relay, x_busy the load of the fleet, and x_cong the capacity of its congested servers.

use crate::balancer::{Balancer, REPORT_LAG};
use crate::estimate::FleetEstimate;
use crate::placement::Candidates;
use crate::server::Server;
use crate::session::{Event, Session};
use crate::types::{Micros, ServerId, SessionId};

/// The fraction of the thresholds that is reserved for high-priority sessions (the paper's k_reserved).
pub(crate) const HIGH_PRIORITY_RESERVE: f64 = 0.15;
/// The mean age of the load reports above which admission waits for newer reports before it rejects a
/// session, if the session has time to wait.
const MAX_REPORT_AGE: Micros = 2 * REPORT_LAG;
/// The interval after which a relay that may not probe dials a server regardless of the thresholds, because
/// such a relay gets a new report only from a dial.
const BLIND_DIAL_INTERVAL: Micros = 3 * REPORT_LAG;

impl Balancer {
    /// Decides the admission of a session: the session is dialled at a server, waits for reports until its
    /// report deadline, or gets its final answer immediately. The final answer is a rejection, or the end of
    /// the session without one (`give_up_event`).
    ///
    /// The rules apply in this order:
    /// 1. A session that may not be dialled again gets its final answer.
    /// 2. A session waits if servers of its pool, the servers on which it may be placed, have old reports.
    /// 3. A session that the thresholds do not admit gets a spare slow-start slot, or its final answer.
    /// 4. A session selected by throttling is rejected.
    /// 5. Any other session is dialled at the server of its pool with the lowest cost.
    pub(crate) fn evaluate(&mut self, id: SessionId) -> Event {
        let fleet = self.fleet_estimate();
        let session = &self.sessions[&id];
        let give_up = session.give_up_event();
        if session.is_exhausted(self.now) {
            return give_up;
        }
        let is_rejected = self.is_over_thresholds(session, &fleet);
        // Old reports must not reject a session while newer ones may still arrive in time.
        let is_stale = fleet.report_age > MAX_REPORT_AGE && self.now < session.report_deadline;
        let candidates = if is_rejected && !is_stale { Candidates::SpareSlots } else { Candidates::All };
        let mut pool = self.pool(session, &fleet, candidates);
        let awaited = self.reports_to_await(session, &pool);
        if !awaited.is_empty() {
            self.sessions.entry(id).and_modify(|session| session.awaited_reports = awaited);
            return Event::ReportsAwaited;
        }
        if is_rejected && is_stale {
            pool = self.pool(session, &fleet, Candidates::SpareSlots);
        }
        let Some(server) = self.cheapest(session, &fleet, &pool) else { return give_up };
        let is_high_priority = self.is_high_priority(session);
        if give_up == Event::Rejected && self.is_throttled(is_high_priority) {
            return give_up;
        }
        self.sessions.entry(id).and_modify(|session| session.server = server);
        Event::Placed
    }

    /// Whether the thresholds do not admit a session's first dial. Retries are exempt, because the session
    /// was already admitted.
    fn is_over_thresholds(&self, session: &Session, fleet: &FleetEstimate) -> bool {
        let is_blind_dial = !self.site.may_probe && self.now - self.last_dial_at >= BLIND_DIAL_INTERVAL;
        session.dials == 0 && !is_blind_dial && !self.admits(session, fleet)
    }

    /// Whether the thresholds of HEU admit a session. Loads and capacities are in units of one server.
    ///
    /// All sessions are admitted while the number of this relay's sessions is below t_id and the load of the
    /// fleet is below t_servers - x_cong. Here t_id and t_servers are c_id and c, each reduced by the
    /// fraction `HIGH_PRIORITY_RESERVE`. Above these thresholds only high-priority sessions are admitted,
    /// while the values are below c_id and c - x_cong. Without any report all sessions are admitted, because
    /// there is no load to compare.
    fn admits(&self, session: &Session, fleet: &FleetEstimate) -> bool {
        let own_sessions = f64::from(self.own_sessions);
        let max_sessions = f64::from(self.site.max_sessions);
        let shared_capacity = fleet.capacity * (1.0 - HIGH_PRIORITY_RESERVE);
        let shared_sessions = max_sessions * (1.0 - HIGH_PRIORITY_RESERVE);
        let fits_shared_thresholds =
            own_sessions < shared_sessions && fleet.busy < shared_capacity - fleet.congested;
        let fits_reserved_thresholds =
            own_sessions < max_sessions && fleet.busy < fleet.capacity - fleet.congested;
        fleet.capacity == 0.0
            || fits_shared_thresholds
            || (self.is_high_priority(session) && fits_reserved_thresholds)
    }

    /// Whether a session's priority weight is at or above the midpoint between the lowest and the highest
    /// weight of the site's listeners. With exactly two different weights, only the higher one has high
    /// priority.
    pub(crate) fn is_high_priority(&self, session: &Session) -> bool {
        let weights = self.site.listeners.iter().map(|listener| listener.priority_weight);
        let lowest = weights.clone().fold(f64::MAX, f64::min);
        let highest = weights.fold(0.0, f64::max);
        session.policy.listener.priority_weight >= (lowest + highest) / 2.0
    }

    /// The servers of a pool whose reports a session waits for. Such a server answers, its last report is
    /// missing or older than `REPORT_LAG`, and it is being probed or the probe credit covers a probe of it.
    /// Empty after the session's report deadline.
    fn reports_to_await(&self, session: &Session, pool: &[ServerId]) -> Vec<ServerId> {
        if self.now >= session.report_deadline {
            return Vec::new();
        }
        let is_awaited = |id: &&ServerId| {
            let server = &self.servers[*id];
            server.misses == 0 && self.is_report_old(server) && self.is_probe_affordable(server)
        };
        pool.iter().filter(is_awaited).copied().collect()
    }

    fn is_report_old(&self, server: &Server) -> bool {
        server.last_report_at.is_none_or(|reported_at| self.now - reported_at > REPORT_LAG)
    }

    fn is_probe_affordable(&self, server: &Server) -> bool {
        self.site.may_probe && (server.probe_pending || self.probe_credit >= 1.0)
    }
}
