//! Slow start: how many sessions all relays together send to a server while it warms up (rule 4).
//!
//! **The budget.** At full capacity a server sustains new sessions at a rate of `overload_multiple` times the
//! sessions that saturate it per `warm_up`. A warming server sustains a fraction of that rate: the fraction
//! of its capacity that it is certain to have at its age. It fails if it gets more sessions than that rate
//! allows within one `overload_window`. The budget consists of the rate, in sessions per microsecond from all
//! relays together, and the number of sessions in one overload window at that rate.
//!
//! **Slots.** A slot is one dial that a relay may make at a warming server. Relays do not communicate, so
//! each has a fixed share of the budget. After a dial at a warming server, a relay waits for an interval
//! until its next slot at the server opens. The shares are oversubscribed: together they exceed the budget,
//! because not every relay has a session when its slot opens. The mean time that a relay waits for a session
//! after a slot has opened is subtracted from its interval.
//!
//! **Unused slots.** A slot that is not used stays open. In a reconnect storm, when many clients return at
//! once, all relays have a session at the same moment. Two rules enforce the budget in that case. First, a
//! hash selects about as many relays as the budget sustains, and only these relays may use their slots
//! (`is_selected_for_slots`). Second, returning sessions in excess of the combined budgets of all warming
//! servers are not sent to these servers (`is_in_reconnect_storm`). Neither rule applies if there are so few
//! relays that all their slots together exceed a budget only by a random deviation (`is_small_fleet`).

use crate::balancer::{Balancer, FULL_LOAD, REPORT_LAG, SECOND};
use crate::estimate::FleetEstimate;
use crate::outlier::HealthTier;
use crate::placement::POOL_SIZE;
use crate::random::hash;
use crate::server::Server;
use crate::session::Session;
use crate::types::{Endpoint, Micros};

/// A relay's wait for its next slot at a warming server.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlotWait {
    /// Start of the wait: the relay's last dial there, or the time of its notification of the server's start.
    pub(crate) since: Micros,
    /// Length of the wait, as a fraction of the full slot interval.
    pub(crate) interval_fraction: f64,
}

/// The number of sessions that a warming server sustains from all relays together.
struct Budget {
    /// Sessions per microsecond.
    rate: f64,
    /// Sessions within one overload window.
    per_window: f64,
}

impl Balancer {
    /// The fraction of its capacity that a server is certain to have at its age. The fraction rises linearly
    /// from the initial capacity to 1 over the warm-up. It is 1 if the server's start is long ago or not
    /// known.
    pub(crate) fn warm_up_fraction(&self, server: &Server) -> f64 {
        let age =
            self.now.saturating_sub(server.endpoint.started_at) as f64 / self.site.warm_up.max(1) as f64;
        let progress = if server.endpoint.started_at == 0 { 1.0 } else { age.min(1.0) };
        self.site.initial_capacity + (1.0 - self.site.initial_capacity) * progress
    }

    pub(crate) fn is_warming_up(&self, server: &Server) -> bool {
        self.warm_up_fraction(server) < 1.0
    }

    /// The budget of a server at its current warm-up fraction. `session_load` is the load of one session, as
    /// a fraction of a warm server.
    fn budget(&self, server: &Server, session_load: f64) -> Budget {
        let warm_up = self.site.warm_up.max(1) as f64;
        let rate = self.site.overload_multiple * self.warm_up_fraction(server) / (warm_up * session_load);
        Budget { rate, per_window: self.site.overload_window as f64 * rate }
    }

    /// The wait for the first slot at a server that has just started. Because the server's capacity is lowest
    /// then, the first slots of the relays are spread over one interval. The order of the relays differs from
    /// server to server.
    pub(crate) fn first_slot_wait(&self, endpoint: &Endpoint) -> SlotWait {
        let position = hash(u64::from(endpoint.server)).wrapping_add(u64::from(self.site.relay_index));
        let relays = u64::from(self.site.relay_count.max(1));
        let interval_fraction = ((position % relays) as f64 + 0.5) / relays as f64;
        SlotWait { since: self.now, interval_fraction }
    }

    /// Whether the slow-start rule allows a session to be sent to a server. Every session may be sent to a
    /// warm server. A session may be sent to a warming server only if this relay has an open slot there, is
    /// selected to use it, and the session is not in excess in a reconnect storm.
    pub(crate) fn has_slot(&self, server: &Server, session: &Session, fleet: &FleetEstimate) -> bool {
        if !self.is_warming_up(server) {
            return true;
        }
        !session.in_reconnect_storm
            && self.is_slot_open(server, fleet)
            && self.is_selected_for_slots(server, fleet)
    }

    fn is_slot_open(&self, server: &Server, fleet: &FleetEstimate) -> bool {
        let waited = (self.now - server.slot_wait.since) as f64;
        waited >= self.slot_interval(server, fleet, server.slot_wait.interval_fraction)
    }

    /// Whether a session that the admission thresholds do not admit may use an open slot of this relay at a
    /// server. Only this relay can use the capacity of its slot, and unused capacity is lost. The session may
    /// use the slot only if slots are rare and the server is healthy and not full.
    pub(crate) fn is_spare_slot(&self, server: &Server, session: &Session, fleet: &FleetEstimate) -> bool {
        /// With few relays, slots open every 1 s to 2 s, and sessions in such slots would defeat the
        /// thresholds.
        const MIN_INTERVAL: Micros = 4 * REPORT_LAG;
        let is_slot_rare =
            self.is_warming_up(server) && self.slot_interval(server, fleet, 1.0) > MIN_INTERVAL as f64;
        is_slot_rare
            && self.health_tier(server, &session.dialled_servers) == HealthTier::Healthy
            && self.current_load(server, fleet) < FULL_LOAD
    }

    /// The time from the start of this relay's wait until its next slot at a warming server opens, in
    /// microseconds. `fraction` is the fraction of the full interval to wait (`SlotWait::interval_fraction`).
    ///
    /// The interval is the inverse of this relay's share of the budget's rate, minus the mean wait for a
    /// session after the slot has opened, so that a busy relay uses exactly its share. The oversubscription
    /// limits how far the interval shrinks. The server has warmed up further since the wait started, so the
    /// interval is based on the server's mean capacity in that time instead of its current capacity.
    fn slot_interval(&self, server: &Server, fleet: &FleetEstimate, fraction: f64) -> f64 {
        let relays = f64::from(self.site.relay_count);
        let share = fraction * relays / self.budget(server, fleet.slot_session_load).rate;
        let session_wait = self.mean_session_wait(fleet);
        // The capacity rises linearly, so its mean is below the current value by half of the gain.
        let warm_up_rate = (1.0 - self.site.initial_capacity) / self.site.warm_up.max(1) as f64;
        let waited = (self.now - server.slot_wait.since) as f64;
        let gained = warm_up_rate * waited / self.warm_up_fraction(server);
        ((share - session_wait) / (1.0 - gained / 2.0).max(0.5)).max(share / self.oversubscription())
    }

    /// The maximum factor by which a relay's rate may exceed its share: 1.4 for one relay, nearly 4 for a
    /// hundred relays, and always below 5. The more relays share a budget, the smaller is the fraction of
    /// them that has a session when its slot opens.
    fn oversubscription(&self) -> f64 {
        let others = f64::from(self.site.relay_count - 1);
        1.4 + 3.6 * others / (others + 40.0)
    }

    /// Mean time between two sessions of this relay that have the same given server in their pool, in
    /// microseconds. It is the mean wait for a session after a slot at the server has opened.
    fn mean_session_wait(&self, fleet: &FleetEstimate) -> f64 {
        self.slot_arrivals.mean() * sessions_per_pool_entry(fleet)
    }

    /// Whether this relay is selected to use its slots at a warming server, even if they stayed unused for a
    /// long time.
    ///
    /// In a reconnect storm every relay has a session at the same moment, so all unused slots would be used
    /// simultaneously. Their number is the number of relays, times the fraction of relays with an unused
    /// slot, times the probability that a session's pool contains the server. Each relay is therefore
    /// selected with a probability of the sustained slots (the budget of one overload window plus a random
    /// deviation) divided by that number. The selection compares this probability with a hash of the relay,
    /// the server and the server's start. The hash is constant during the warm-up, so that no overload window
    /// gets sessions from two different sets of relays.
    fn is_selected_for_slots(&self, server: &Server, fleet: &FleetEstimate) -> bool {
        /// Mean number of sessions that one relay places before it detects a reconnect storm.
        const SESSIONS_AT_ONCE: f64 = 1.3;
        let budget = self.budget(server, fleet.slot_session_load).per_window;
        if self.is_small_fleet(budget) {
            return true;
        }
        let session_wait = self.mean_session_wait(fleet);
        let interval = self.slot_interval(server, fleet, 1.0);
        // Within one interval after the server's start, only this fraction of the relays has had a slot.
        let opened_fraction = self.now.saturating_sub(server.endpoint.started_at) as f64 / interval;
        let unused_fraction = (session_wait / (session_wait + interval)).min(opened_fraction);
        let pool_probability = (SESSIONS_AT_ONCE / sessions_per_pool_entry(fleet)).min(1.0);
        let simultaneous_slots = f64::from(self.site.relay_count) * unused_fraction * pool_probability;
        let sustained_slots = budget + budget.sqrt() + 1.0;
        let server_key = (u64::from(server.endpoint.server) << 32) ^ server.endpoint.started_at;
        let draw = hash(self.slot_selection_key ^ server_key);
        draw as f64 <= sustained_slots / simultaneous_slots * u64::MAX as f64
    }

    /// Whether the fleet is so small that one slot of every relay, all used at the same time, exceeds a
    /// budget at most by a random deviation. In that case the slots alone enforce the budget. `budget` is in
    /// sessions per overload window.
    fn is_small_fleet(&self, budget: f64) -> bool {
        f64::from(self.site.relay_count) <= budget + 2.0 * budget.sqrt() + 2.0
    }

    /// Whether a returning session exceeds what the warming servers sustain. The decision is random, with a
    /// probability that keeps the servers within their budgets.
    ///
    /// The number of other sessions that returned to this relay, times the number of relays, is an unbiased
    /// estimate of the sessions that returned to all relays. The number for this relay is the larger of two:
    /// the sessions within the last overload window, and the sessions per overload window at the mean rate
    /// over a longer window. If the estimate exceeds the sessions that all warming servers sustain within one
    /// overload window (their budgets plus one each), a session is in excess with a probability equal to the
    /// fraction of the estimate above that sum. Servers that this fleet is too small to overload
    /// (`is_small_fleet`) are not counted.
    pub(crate) fn is_in_reconnect_storm(&mut self) -> bool {
        const LONG_WINDOW: Micros = 4 * SECOND;
        // On average a rolling sum covers half a bucket more than its age. The session itself is subtracted.
        let others = |age: Micros| self.reconnects.sum(self.now, age.saturating_sub(SECOND / 4)) - 1.0;
        let window = self.site.overload_window;
        let at_mean_rate = others(LONG_WINDOW) * window as f64 / LONG_WINDOW as f64;
        let returned = others(window).max(at_mean_rate) * f64::from(self.site.relay_count);
        let warming =
            self.servers.values().filter(|server| server.endpoint.ready() && self.is_warming_up(server));
        let budgets = warming.map(|server| self.budget(server, self.estimate.slot_session_load).per_window);
        let large_fleet_budgets = budgets.filter(|&budget| !self.is_small_fleet(budget));
        let sustained = large_fleet_budgets.map(|budget| budget + 1.0).sum::<f64>();
        sustained > 0.0 && sustained < returned && !self.random.random_bool(sustained / returned)
    }
}

/// Mean number of sessions per session that has a given server in its pool: the uncongested capacity of the
/// fleet, in units of one server, divided by the size of a pool. At least 1.
fn sessions_per_pool_entry(fleet: &FleetEstimate) -> f64 {
    ((fleet.capacity - fleet.congested) / POOL_SIZE as f64).max(1.0)
}
