//! The estimate of the fleet's load and capacity, from the load reports that one relay has received and the
//! sessions that it has placed since then. Loads and capacities of the fleet are in units of one server. "The
//! paper" is the one that the module `admission` cites.

use crate::balancer::{Balancer, MIN_SAMPLE_SESSIONS, REPORT_LAG, SECOND};
use crate::outlier::HealthTier;
use crate::server::Server;
use crate::types::Micros;
use std::ops::RangeInclusive;

/// The state of the fleet on which admission decisions are based.
#[derive(Clone, Copy, Default)]
pub(crate) struct FleetEstimate {
    /// Usable capacity (the paper's c), in servers.
    pub(crate) capacity: f64,
    /// Load (the paper's x_busy), in servers.
    pub(crate) busy: f64,
    /// Capacity of servers that are congested (the paper's x_cong), in servers.
    pub(crate) congested: f64,
    /// Mean load of the servers that have reported.
    pub(crate) mean_load: f64,
    /// Load of one session on a server, as a fraction of the server. Within `SESSION_LOAD`.
    pub(crate) session_load: f64,
    /// Load of one session, as used for the budget of a warming server. Within `SLOT_SESSION_LOAD`.
    pub(crate) slot_session_load: f64,
    /// Factor by which the change of this relay's number of sessions is multiplied to estimate the change of
    /// all relays' number of sessions.
    pub(crate) fleet_factor: f64,
    /// Mean age of the reports, in microseconds.
    pub(crate) report_age: Micros,
    /// The time until which this estimate is reused. The end of a probe, new settings and a snapshot
    /// invalidate it earlier.
    pub(crate) valid_until: Micros,
}

/// Bounds of the load of one session on a server, for predictions of load.
pub(crate) const SESSION_LOAD: RangeInclusive<f64> = 0.002..=0.05;
/// Bounds of the load of one session, as used for a warming server's budget. The upper bound is the load of
/// one session on a server that five sessions saturate.
pub(crate) const SLOT_SESSION_LOAD: RangeInclusive<f64> = 0.002..=0.2;

/// The age up to which a queue delay counts. A new queue delay arrives every second.
const QUEUE_DELAY_AGE: Micros = 2 * SECOND;

/// Sums over the servers that take new sessions and answer, each weighted by its warm-up fraction.
#[derive(Default)]
struct FleetSample {
    /// Capacity of all these servers.
    available: f64,
    /// Capacity of the servers that never reported and are congested according to a message delay. They are
    /// not representative of other servers.
    unreported_congested: f64,
    /// Capacity of the servers that have reported: the sample that the following sums cover.
    reported: f64,
    /// Reported load plus queue delay, at most 1 per server.
    load: f64,
    /// Reported load.
    demand: f64,
    congested: f64,
    /// Load of congested servers.
    congested_load: f64,
    /// Age of the reports, in microseconds.
    report_age: f64,
    /// Sessions of all relays, without weights.
    sessions: f64,
}

impl Balancer {
    /// Returns the current estimate. It is reused for 0.25 s, during which `count_session` adds newly placed
    /// sessions immediately.
    pub(crate) fn fleet_estimate(&mut self) -> FleetEstimate {
        const VALID_FOR: Micros = SECOND / 4;
        if self.now < self.estimate.valid_until {
            return self.estimate;
        }
        let sample = self.sample_fleet();
        let mut estimate = FleetEstimate {
            valid_until: self.now + VALID_FOR,
            session_load: self.estimate.session_load,
            slot_session_load: self.estimate.slot_session_load,
            fleet_factor: self.fleet_factor(),
            ..FleetEstimate::default()
        };
        if sample.reported > 0.0 {
            self.estimate_session_load(&sample, &mut estimate);
            self.estimate_load(&sample, &mut estimate);
        }
        self.estimate = estimate;
        estimate
    }

    fn sample_fleet(&self) -> FleetSample {
        let mut sample = FleetSample::default();
        for server in self.servers.values().filter(|server| server.endpoint.ready() && server.misses == 0) {
            let weight = self.warm_up_fraction(server);
            sample.available += weight;
            let Some(reported_at) = server.last_report_at else {
                sample.unreported_congested += weight * f64::from(self.is_congested(server));
                continue;
            };
            let load = (server.load + self.queue_delay(server)).min(1.0);
            let congested = f64::from(self.health_tier(server, &[]) > HealthTier::Healthy);
            sample.reported += weight;
            sample.load += load * weight;
            sample.demand += server.load * weight;
            sample.congested += congested * weight;
            sample.report_age += (self.now - reported_at) as f64 * weight;
            sample.congested_load += load * congested * weight;
            sample.sessions += server.sessions;
        }
        sample
    }

    /// The factor from the change of this relay's number of sessions to the change of all relays' number, at
    /// most the number of relays. The change at a relay with few sessions is mostly random, so it is scaled
    /// less. The change at a relay with a hundred sessions is representative of the fleet.
    fn fleet_factor(&self) -> f64 {
        /// Number of this relay's sessions at which the factor is half of the number of relays.
        const HALF_TRUSTED: f64 = 8.0;
        let own_sessions = f64::from(self.own_sessions);
        f64::from(self.site.relay_count) * own_sessions / (own_sessions + HALF_TRUSTED)
    }

    /// Estimates the capacity, load and congestion of the fleet, by scaling the means of the sample to all
    /// available servers.
    fn estimate_load(&self, sample: &FleetSample, estimate: &mut FleetEstimate) {
        /// The fraction of a server's capacity above which its messages start to be late.
        const USABLE_CAPACITY: f64 = 0.85;
        let sampled = sample.available - sample.unreported_congested;
        estimate.capacity = USABLE_CAPACITY * sample.available;
        estimate.mean_load = sample.counted_load() / sample.reported;
        estimate.congested = sample.congested / sample.reported * sampled + sample.unreported_congested;
        estimate.report_age = (sample.report_age / sample.reported) as Micros;
        let placed = self.net_sessions.sum(self.now, estimate.report_age + REPORT_LAG);
        let placed_load = placed * estimate.fleet_factor * estimate.session_load;
        let busy = estimate.mean_load * sampled + sample.unreported_congested + placed_load;
        estimate.busy = busy.max(0.0);
    }

    /// Estimates the load of one session on a server: the reported load divided by the reported number of
    /// sessions. If this relay has many sessions, or if no server reports its number of sessions, the divisor
    /// is this relay's number of sessions times the number of relays, and the result enters a running mean
    /// over some seconds.
    fn estimate_session_load(&self, sample: &FleetSample, estimate: &mut FleetEstimate) {
        /// Weight of the previous estimate, as a number of sessions added to the reported ones.
        const PRIOR_SESSIONS: f64 = 8.0;
        const GAIN: f64 = 0.08;
        if sample.sessions > 0.0 && self.own_sessions < MIN_SAMPLE_SESSIONS {
            let reported =
                |before: f64| (sample.demand + PRIOR_SESSIONS * before) / (sample.sessions + PRIOR_SESSIONS);
            estimate.session_load = clamp(reported(estimate.session_load), &SESSION_LOAD);
            estimate.slot_session_load = clamp(reported(estimate.slot_session_load), &SLOT_SESSION_LOAD);
        } else {
            let fleet_sessions = f64::from(self.own_sessions) * f64::from(self.site.relay_count);
            let load = sample.demand / sample.reported * sample.available / fleet_sessions.max(1.0);
            let gain = if self.estimate.capacity > 0.0 { GAIN } else { 1.0 };
            estimate.session_load += (clamp(load, &SESSION_LOAD) - estimate.session_load) * gain;
            estimate.slot_session_load = estimate.session_load;
        }
    }

    /// The queue delay of a server, in seconds. It is the longer of the last reported one and the last
    /// message delay on one of this relay's sessions. Each of them counts for `QUEUE_DELAY_AGE`.
    pub(crate) fn queue_delay(&self, server: &Server) -> f64 {
        let is_recent = |then: Micros| f64::from(self.now - then < QUEUE_DELAY_AGE);
        let reported = server.queue_delay * server.last_report_at.map_or(0.0, is_recent);
        let measured = server.message_delay.seconds * is_recent(server.message_delay.measured_at);
        reported.max(measured)
    }

    /// The current load of a server, as a fraction of the server. It is the reported load, or the mean load
    /// of the fleet before the first report, plus the queue delay and the load of the sessions placed on the
    /// server since the report. The load of a congested server is at least 1.0.
    pub(crate) fn current_load(&self, server: &Server, fleet: &FleetEstimate) -> f64 {
        /// Maximum number of sessions of all relays that one session of this relay represents. With a higher
        /// factor the estimate would be mostly random.
        const MAX_FLEET_FACTOR: f64 = 4.0;
        let report_age = server.last_report_at.map_or(0, |reported_at| self.now - reported_at);
        let placed = server.net_sessions.sum(self.now, report_age + REPORT_LAG);
        let reported = match server.last_report_at {
            Some(_) => server.load,
            None => fleet.mean_load * self.warm_up_fraction(server),
        };
        let placed_load = fleet.session_load * placed * fleet.fleet_factor.min(MAX_FLEET_FACTOR);
        let load = reported + self.queue_delay(server) + placed_load;
        load.max(f64::from(self.is_congested(server)))
    }
}

impl FleetSample {
    /// The load that counts as busy (the paper's x_busy), summed over the servers of the sample.
    ///
    /// If the other servers have spare capacity, the load of the congested servers counts only in proportion
    /// to the congested fraction of the sample's capacity. Admission already subtracts these servers as
    /// x_cong. If their load counted fully as well, a single slow server would make the relays reject all
    /// sessions.
    fn counted_load(&self) -> f64 {
        /// The mean load of the servers that are not congested below which they have spare capacity.
        const SPARE_CAPACITY_LOAD: f64 = 0.6;
        let has_spare_capacity =
            self.load - self.congested_load < SPARE_CAPACITY_LOAD * (self.reported - self.congested);
        if !has_spare_capacity {
            return self.load;
        }
        self.load - self.congested_load * (1.0 - self.congested / self.reported.max(1e-9))
    }
}

/// Limits a value to a range.
pub(crate) fn clamp(value: f64, range: &RangeInclusive<f64>) -> f64 {
    value.clamp(*range.start(), *range.end())
}
