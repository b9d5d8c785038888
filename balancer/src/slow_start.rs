//! Slow start: how many sessions all relays together send to a server while it warms up (rule 4).
//!
//! **The budget.** A warming server sustains `overload_multiple` times the sessions that fill it within one
//! warm-up, in proportion to the capacity that it surely has at its age; more than that within
//! `overload_window` makes it fail. The budget is a rate, in sessions per microsecond from all relays, and
//! the sessions of one overload window at that rate.
//!
//! **Slots.** Relays do not communicate, so each has a fixed share: after a dial at a warming server it waits
//! for an interval before the next one. The shares are oversubscribed, as not every relay has a session when
//! its slot opens; the time that a relay waits for a session beyond its slot shortens its next interval.
//!
//! **Unused slots.** A slot that is not used stays open, and in a reconnect storm all relays have a session
//! in the same moment. Two rules hold the budget then: no more relays than the budget sustains may use their
//! unused slots, selected by a hash (`is_selected_for_slots`); and returning sessions beyond the budgets of
//! all warming servers together are not sent there (`is_in_reconnect_storm`). Neither applies where relays
//! are so few that all their slots at once exceed a budget by no more than chance does (`is_small_fleet`).

use crate::balancer::{Balancer, FULL_LOAD, REPORT_LAG, SECOND};
use crate::estimate::FleetEstimate;
use crate::outlier::HealthTier;
use crate::placement::POOL_SIZE;
use crate::random::hash;
use crate::server::Server;
use crate::session::Session;
use crate::types::{Endpoint, Micros};

/// From when a relay waits for its next slot at a warming server, and for how long.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlotWait {
    /// The relay's last dial there, or when it was notified of the server's start.
    pub(crate) since: Micros,
    /// The fraction of a slot interval.
    pub(crate) interval_fraction: f64,
}

/// The sessions that a warming server sustains from all relays together.
struct Budget {
    /// Sessions per microsecond.
    rate: f64,
    /// Sessions within one overload window.
    per_window: f64,
}

impl Balancer {
    /// The fraction of its capacity that a server surely has at its age: it rises linearly from the initial
    /// capacity to 1 over the warm-up. 1 where the start is long ago or not known.
    pub(crate) fn warm_up_fraction(&self, server: &Server) -> f64 {
        let age =
            self.now.saturating_sub(server.endpoint.started_at) as f64 / self.site.warm_up.max(1) as f64;
        let progress = if server.endpoint.started_at == 0 { 1.0 } else { age.min(1.0) };
        self.site.initial_capacity + (1.0 - self.site.initial_capacity) * progress
    }

    pub(crate) fn is_warming_up(&self, server: &Server) -> bool {
        self.warm_up_fraction(server) < 1.0
    }

    /// The budget of a server at its warm-up fraction now; `session_load` is one session's load, as a
    /// fraction of a full server.
    fn budget(&self, server: &Server, session_load: f64) -> Budget {
        let warm_up = self.site.warm_up.max(1) as f64;
        let rate = self.site.overload_multiple * self.warm_up_fraction(server) / (warm_up * session_load);
        Budget { rate, per_window: self.site.overload_window as f64 * rate }
    }

    /// The wait for the first slot at a server that has just started. Its capacity is lowest then, so the
    /// relays' first slots are spread over one interval, in another order for each server.
    pub(crate) fn first_slot_wait(&self, endpoint: &Endpoint) -> SlotWait {
        let position = hash(u64::from(endpoint.server)).wrapping_add(u64::from(self.site.relay_index));
        let relays = u64::from(self.site.relay_count.max(1));
        let interval_fraction = ((position % relays) as f64 + 0.5) / relays as f64;
        SlotWait { since: self.now, interval_fraction }
    }

    /// The slow-start rule: whether a session may be sent to a server. It may where the server is warm; or
    /// where this relay has an open slot there that it may use, and the session is not excess of a reconnect
    /// storm.
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

    /// Whether an open slot may be used by a session that the admission thresholds reject: such a slot is
    /// capacity of this relay alone, and lost if unused. Only where slots are rare and the server is healthy
    /// and not full.
    pub(crate) fn is_spare_slot(&self, server: &Server, session: &Session, fleet: &FleetEstimate) -> bool {
        /// With few relays slots open every second or two, and the thresholds would not hold.
        const MIN_INTERVAL: Micros = 4 * REPORT_LAG;
        let is_slot_rare =
            self.is_warming_up(server) && self.slot_interval(server, fleet, 1.0) > MIN_INTERVAL as f64;
        is_slot_rare
            && self.health_tier(server, &session.dialled_servers) == HealthTier::Healthy
            && self.current_load(server, fleet) < FULL_LOAD
    }

    /// The time from the start of this relay's wait to its next slot at a warming server, in microseconds,
    /// for a fraction of the full interval.
    ///
    /// The interval is the inverse of this relay's share of the budget, less the mean wait for a session once
    /// the slot is open, so a busy relay uses its exact share; the oversubscription bounds how far the
    /// interval shrinks. Where the server has warmed since the last slot, its mean capacity meanwhile counts,
    /// not the present one.
    fn slot_interval(&self, server: &Server, fleet: &FleetEstimate, fraction: f64) -> f64 {
        let relays = f64::from(self.site.relay_count);
        let share = fraction * relays / self.budget(server, fleet.slot_session_load).rate;
        let session_wait = self.mean_session_wait(fleet);
        // Capacity rises linearly, so its mean is lower by half of the gain.
        let warm_up_rate = (1.0 - self.site.initial_capacity) / self.site.warm_up.max(1) as f64;
        let waited = (self.now - server.slot_wait.since) as f64;
        let gained = warm_up_rate * waited / self.warm_up_fraction(server);
        ((share - session_wait) / (1.0 - gained / 2.0).max(0.5)).max(share / self.oversubscription())
    }

    /// The most that a relay's rate may exceed its share, as a factor: 1.4 for one relay, nearly 4 for a
    /// hundred, below 5. The more relays share a budget, the fewer have a session when their slot opens.
    fn oversubscription(&self) -> f64 {
        let others = f64::from(self.site.relay_count - 1);
        1.4 + 3.6 * others / (others + 40.0)
    }

    /// The mean time between this relay's sessions that have a given server in their pool, in microseconds.
    fn mean_session_wait(&self, fleet: &FleetEstimate) -> f64 {
        self.slot_arrivals.mean() * sessions_per_pool_entry(fleet)
    }

    /// Whether this relay is selected to use its slots at a warming server, however long they lay unused.
    ///
    /// In a storm each relay has a session in the same moment, and all unused slots are used at once. So
    /// relays are selected with the probability of the budget over these slots: the relays, times the
    /// fraction of them whose slot is unused, times the probability that a session's pool has the server. The
    /// selection is a hash of the relay and the server's start, constant for the whole warm-up, so that no
    /// overload window sees two sets of relays.
    fn is_selected_for_slots(&self, server: &Server, fleet: &FleetEstimate) -> bool {
        /// Sessions of one relay that are placed before it detects a storm.
        const SESSIONS_AT_ONCE: f64 = 1.3;
        let budget = self.budget(server, fleet.slot_session_load).per_window;
        if self.is_small_fleet(budget) {
            return true;
        }
        let session_wait = self.mean_session_wait(fleet);
        let interval = self.slot_interval(server, fleet, 1.0);
        // Within one interval after the server's start only this fraction of the relays has had a slot.
        let opened_fraction = self.now.saturating_sub(server.endpoint.started_at) as f64 / interval;
        let unused_fraction = (session_wait / (session_wait + interval)).min(opened_fraction);
        let pool_probability = (SESSIONS_AT_ONCE / sessions_per_pool_entry(fleet)).min(1.0);
        let simultaneous_slots = f64::from(self.site.relay_count) * unused_fraction * pool_probability;
        let sustained_slots = budget + budget.sqrt() + 1.0;
        let server_key = (u64::from(server.endpoint.server) << 32) ^ server.endpoint.started_at;
        let draw = hash(self.slot_selection_key ^ server_key);
        draw as f64 <= sustained_slots / simultaneous_slots * u64::MAX as f64
    }

    /// Whether the slots of all relays at once exceed a budget, in sessions per overload window, by no more
    /// than chance does: slots alone hold the budget then.
    fn is_small_fleet(&self, budget: f64) -> bool {
        f64::from(self.site.relay_count) <= budget + 2.0 * budget.sqrt() + 2.0
    }

    /// Whether a returning session is excess for the warming servers, at random such that their budgets hold.
    ///
    /// The other sessions that returned to this relay, within an overload window or as the mean rate over a
    /// longer window, times the relays, are an unbiased estimate of the fleet's. Where it exceeds the
    /// sessions that all warming servers sustain within a window (their budgets, and one each), a session is
    /// excess with the probability of that excess. Servers that a small fleet cannot overload do not count.
    pub(crate) fn is_in_reconnect_storm(&mut self) -> bool {
        const LONG_WINDOW: Micros = 4 * SECOND;
        // A rolling sum covers half a bucket more in the mean; the session itself is subtracted.
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

/// Sessions for each one that has a given server in its pool: the uncongested servers over the pool's size,
/// at least 1.
fn sessions_per_pool_entry(fleet: &FleetEstimate) -> f64 {
    ((fleet.capacity - fleet.congested) / POOL_SIZE as f64).max(1.0)
}
