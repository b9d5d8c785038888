//! The estimate of the whole fleet, from the load reports that one relay has and the sessions that it placed
//! since. Loads and capacities are in servers.

use crate::balancer::{Balancer, MIN_SAMPLE_SESSIONS, REPORT_LAG, SECOND};
use crate::outlier::HealthTier;
use crate::server::Server;
use crate::types::Micros;
use std::ops::RangeInclusive;

/// The fleet as admission sees it.
#[derive(Clone, Copy, Default)]
pub(crate) struct FleetEstimate {
    /// Usable capacity (the paper's c), in servers.
    pub(crate) capacity: f64,
    /// Load (the paper's x_busy), in servers.
    pub(crate) busy: f64,
    /// Capacity of servers that are congested (the paper's x_cong), in servers.
    pub(crate) congested: f64,
    /// Mean load of the servers that reported.
    pub(crate) mean_load: f64,
    /// One session's load on a server, as a fraction of the server; within `SESSION_LOAD`.
    pub(crate) session_load: f64,
    /// The same for the budget of a warming server; within `SLOT_SESSION_LOAD`.
    pub(crate) slot_session_load: f64,
    /// Multiplies this relay's change of sessions to an estimate of the change of all relays.
    pub(crate) fleet_factor: f64,
    /// Mean age of the reports, in microseconds.
    pub(crate) report_age: Micros,
    /// Until when this estimate is reused; the end of a probe, new settings or a snapshot make it invalid.
    pub(crate) valid_until: Micros,
}

/// Bounds of one session's load on a server, where load is predicted.
pub(crate) const SESSION_LOAD: RangeInclusive<f64> = 0.002..=0.05;
/// The same for a warming server's budget, as far as reports show it: at most that on a server which five
/// sessions fill.
pub(crate) const SLOT_SESSION_LOAD: RangeInclusive<f64> = 0.002..=0.2;

/// How long a queue delay counts: a new one comes each second.
const QUEUE_DELAY_AGE: Micros = 2 * SECOND;

/// Sums over the servers that take sessions and answer, each weighted by its warm-up fraction.
#[derive(Default)]
struct FleetSample {
    /// All of them.
    available: f64,
    /// Those that never reported and are congested by a message's delay: they represent no others.
    unreported_congested: f64,
    /// Those that reported: a sample of all. The sums below are over these.
    reported: f64,
    /// Load with queued work, up to 1 each.
    load: f64,
    /// Load as reported.
    demand: f64,
    congested: f64,
    /// Load of congested ones.
    congested_load: f64,
    /// Age of the reports, in microseconds.
    report_age: f64,
    /// Sessions of all relays, not weighted.
    sessions: f64,
}

impl Balancer {
    /// The estimate as of now, reused for 0.25 s: sessions that are placed meanwhile are added at once
    /// (`count_session`).
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

    /// The factor from this relay's change of sessions to that of all relays, up to the number of relays.
    /// With a handful of sessions a relay's own change is mostly chance, with a hundred it represents the
    /// fleet.
    fn fleet_factor(&self) -> f64 {
        /// Own sessions by which half of the change counts.
        const HALF_TRUSTED: f64 = 8.0;
        let own_sessions = f64::from(self.own_sessions);
        f64::from(self.site.relay_count) * own_sessions / (own_sessions + HALF_TRUSTED)
    }

    /// The capacity, load and congestion of the fleet: the sample's means, scaled to all available servers.
    fn estimate_load(&self, sample: &FleetSample, estimate: &mut FleetEstimate) {
        /// The fraction of a server that is in use when its messages start to be late.
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

    /// One session's load on a server: the reported load over the reported sessions. A relay with many
    /// sessions of its own, or without reported ones, divides by its own times the relays, as a running mean
    /// over some seconds.
    fn estimate_session_load(&self, sample: &FleetSample, estimate: &mut FleetEstimate) {
        /// Sessions that the last estimate counts for, beside those that servers report.
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

    /// The queue delay of a server in seconds: the longer of its last report's and that of a message on one
    /// of this relay's sessions. Each counts for `QUEUE_DELAY_AGE`.
    pub(crate) fn queue_delay(&self, server: &Server) -> f64 {
        let is_recent = |then: Micros| f64::from(self.now - then < QUEUE_DELAY_AGE);
        let reported = server.queue_delay * server.last_report_at.map_or(0.0, is_recent);
        let measured = server.message_delay.seconds * is_recent(server.message_delay.measured_at);
        reported.max(measured)
    }

    /// A server's load now, as a fraction of the server: the reported one, or the mean of the fleet, with its
    /// queue delay and the sessions placed there since. A congested server counts as saturated at least.
    pub(crate) fn current_load(&self, server: &Server, fleet: &FleetEstimate) -> f64 {
        /// The most sessions of all relays that one own session stands for: more is mostly chance.
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
    /// The load that counts as busy (the paper's x_busy), in servers of the sample. Where the others have
    /// capacity for the load of the congested ones, that counts only in proportion to the congested part: it
    /// counts as congested already, and one slow server would close the fleet.
    fn counted_load(&self) -> f64 {
        /// The mean load of the others below which they have capacity for more.
        const SPARE_CAPACITY_LOAD: f64 = 0.6;
        let has_spare_capacity =
            self.load - self.congested_load < SPARE_CAPACITY_LOAD * (self.reported - self.congested);
        if !has_spare_capacity {
            return self.load;
        }
        self.load - self.congested_load * (1.0 - self.congested / self.reported.max(1e-9))
    }
}

/// The value, limited to the range.
pub(crate) fn clamp(value: f64, range: &RangeInclusive<f64>) -> f64 {
    value.clamp(*range.start(), *range.end())
}
