//! Admission: whether a session is dialled, waits for load reports, or is rejected. The thresholds are those
//! of HEU, section 7 of Bartolini's "Session based access control in geographically replicated Internet
//! services".

use crate::estimate::FleetEstimate;
use crate::placement::Candidates;
use crate::relay::{Relay, REPORT_LAG};
use crate::server::Server;
use crate::session::{Event, Session};
use crate::types::{Micros, ServerId, SessId};

/// The fraction of the thresholds that is kept for sessions of high priority (the paper's k_reserved).
pub(crate) const HIGH_PRIORITY_RESERVE: f64 = 0.15;
/// Mean age of the reports from which they are too old to reject a session by.
const MAX_REPORT_AGE: Micros = 2 * REPORT_LAG;
/// How often a relay that may not probe dials whatever was reported: only a dial tells it more.
const BLIND_DIAL_INTERVAL: Micros = 3 * REPORT_LAG;

impl Relay {
    /// What a session may expect now: a dial, a short wait for reports, or its final answer at once.
    pub(crate) fn evaluate(&mut self, id: SessId) -> Event {
        let fleet = self.fleet_estimate();
        let session = &self.sessions[&id];
        let give_up = session.give_up_event();
        if session.is_exhausted(self.now) {
            return give_up;
        }
        let is_rejected = self.is_over_thresholds(session, &fleet);
        // By old reports nothing is rejected as long as new ones may come in time.
        let is_stale = fleet.report_age > MAX_REPORT_AGE && self.now < session.probe_deadline;
        let candidates = candidates(is_rejected && !is_stale);
        let mut pool = self.pool(session, &fleet, candidates);
        let awaited = self.reports_to_await(session, &pool);
        if !awaited.is_empty() {
            self.sessions.entry(id).and_modify(|session| session.awaited_probes = awaited);
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

    /// Whether the thresholds reject a session's first dial; further ones are not tested.
    fn is_over_thresholds(&self, session: &Session, fleet: &FleetEstimate) -> bool {
        let is_blind_dial = !self.site.may_probe && self.now - self.last_dial_at >= BLIND_DIAL_INTERVAL;
        session.dials == 0 && !is_blind_dial && !self.admits(session, fleet)
    }

    /// The thresholds of HEU: all sessions enter while the relay's own sessions are below t_id = c_id -
    /// k_reserved and the fleet's load below t_servers - x_cong, where t_servers = c - k_reserved; past that
    /// only those of high priority, while below c_id and c - x_cong. Where no server reported there is
    /// nothing to test.
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

    /// Whether a listener's priority weight is at or above the middle between the site's lowest and highest,
    /// so that any two that differ are told apart.
    pub(crate) fn is_high_priority(&self, session: &Session) -> bool {
        let weights = self.site.listeners.iter().map(|listener| listener.priority_weight);
        let (lowest, highest) =
            weights.fold((f64::MAX, 0.0f64), |(low, high), weight| (low.min(weight), high.max(weight)));
        session.policy.listener.priority_weight >= (lowest + highest) / 2.0
    }

    /// The servers of a pool whose reports are worth a wait: old ones, of servers that answer and whose
    /// probes are paid for, as long as the session may wait.
    fn reports_to_await(&self, session: &Session, pool: &[ServerId]) -> Vec<ServerId> {
        if self.now >= session.probe_deadline {
            return Vec::new();
        }
        let is_worth = |id: &&ServerId| {
            let server = &self.servers[*id];
            server.misses == 0 && self.is_report_old(server) && self.is_probe_paid(server)
        };
        pool.iter().filter(is_worth).copied().collect()
    }

    fn is_report_old(&self, server: &Server) -> bool {
        server.last_report_at.is_none_or(|reported_at| self.now - reported_at > REPORT_LAG)
    }

    fn is_probe_paid(&self, server: &Server) -> bool {
        self.site.may_probe && (server.probe_pending || self.probe_credit >= 1.0)
    }
}

fn candidates(is_rejected: bool) -> Candidates {
    if is_rejected {
        Candidates::SpareSlots
    } else {
        Candidates::All
    }
}
