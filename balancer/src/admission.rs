//! Admission: whether a session is dialled, waits for load reports, or is rejected. The thresholds are those
//! of HEU, section 7 of Bartolini's "Session based access control in geographically replicated Internet
//! services".

use crate::balancer::{Balancer, REPORT_LAG};
use crate::estimate::FleetEstimate;
use crate::placement::Candidates;
use crate::server::Server;
use crate::session::{Event, Session};
use crate::types::{Micros, ServerId, SessionId};

/// The fraction of the thresholds that only sessions of high priority may use (the paper's k_reserved).
pub(crate) const HIGH_PRIORITY_RESERVE: f64 = 0.15;
/// The mean age of the reports beyond which admission waits for newer ones, as time allows, before it
/// rejects.
const MAX_REPORT_AGE: Micros = 2 * REPORT_LAG;
/// The interval at which a relay that may not probe dials whatever was reported: only a dial brings it a new
/// report.
const BLIND_DIAL_INTERVAL: Micros = 3 * REPORT_LAG;

impl Balancer {
    /// The admission decision of a session: a dial at a server, a wait for reports until its report deadline,
    /// or its final answer at once.
    ///
    /// In this order: a session that is exhausted is given up; one whose pool has old reports waits for new
    /// ones; one over the thresholds gets a spare slow-start slot or is given up; one that throttling draws
    /// is rejected; any other goes to the server of its pool that costs least.
    pub(crate) fn evaluate(&mut self, id: SessionId) -> Event {
        let fleet = self.fleet_estimate();
        let session = &self.sessions[&id];
        let give_up = session.give_up_event();
        if session.is_exhausted(self.now) {
            return give_up;
        }
        let is_rejected = self.is_over_thresholds(session, &fleet);
        // Old reports reject nothing as long as new ones may come in time.
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

    /// Whether the thresholds reject a session's first dial. Retries are not tested: the session was
    /// admitted.
    fn is_over_thresholds(&self, session: &Session, fleet: &FleetEstimate) -> bool {
        let is_blind_dial = !self.site.may_probe && self.now - self.last_dial_at >= BLIND_DIAL_INTERVAL;
        session.dials == 0 && !is_blind_dial && !self.admits(session, fleet)
    }

    /// The thresholds of HEU: all sessions enter while the relay's own sessions are below t_id and the
    /// fleet's load below t_servers - x_cong, where t_id and t_servers are c_id and c less
    /// `HIGH_PRIORITY_RESERVE` of each; past that only those of high priority, while below c_id and
    /// c - x_cong. Loads and capacities are in servers.
    /// With no report there is nothing to test, and all enter.
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

    /// Whether a session's priority weight is at or above the middle between the lowest and the highest of
    /// the site's listeners, so that any two that differ are of different priority.
    pub(crate) fn is_high_priority(&self, session: &Session) -> bool {
        let weights = self.site.listeners.iter().map(|listener| listener.priority_weight);
        let lowest = weights.clone().fold(f64::MAX, f64::min);
        let highest = weights.fold(0.0, f64::max);
        session.policy.listener.priority_weight >= (lowest + highest) / 2.0
    }

    /// The servers of a pool whose reports a session waits for: their reports are older than `REPORT_LAG`,
    /// they answer, and the probe credit covers their probes. None after the session's report deadline.
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
