//! Slow start: how many sessions all relays together send to a server while it warms up (rule 4).
//!
//! **The budget.** A warming server takes up `overload_multiple` times what fills it within one warm-up, in
//! proportion to the capacity that it surely has by then; more than that within `overload_window` makes it
//! fail. The budget is a rate, in sessions per microsecond from all relays, and what the rate gives within
//! one overload window.
//!
//! **Slots.** Relays do not talk to each other, so each keeps to its own share: after a dial at a warming
//! server it waits for an interval before the next one. The shares are oversubscribed, as not every relay has
//! a session when its slot opens; a relay gives back the time that it waits for a session beyond its slot.
//!
//! **Unused slots.** A slot that is not used stays open, and in a reconnect storm all relays have a session
//! in the same moment. Two rules hold the budget then: only as many relays as the budget bears keep unused
//! slots at all, by a draw of each (`may_use_unused_slots`); and returning sessions beyond what all warming
//! servers together bear stay away from them (`is_in_reconnect_storm`). Neither acts where relays are so few
//! that their slots at once are within what chance adds to a budget (`is_small_fleet`).

use crate::estimate::FleetEstimate;
use crate::outlier::HealthTier;
use crate::placement::POOL_SIZE;
use crate::random::hash;
use crate::relay::{Relay, FULL_LOAD, REPORT_LAG, SECOND};
use crate::server::Server;
use crate::session::Session;
use crate::types::{Endpoint, Micros};

/// From when a relay waits for its next slot at a warming server, and for how long.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlotWait {
    /// The relay's last dial there, or when it heard of the server's start.
    pub(crate) since: Micros,
    /// The fraction of a slot interval.
    pub(crate) interval_fraction: f64,
}

/// What a warming server takes from all relays together.
struct Budget {
    /// Sessions per microsecond.
    rate: f64,
    /// Sessions within one overload window.
    per_window: f64,
}

impl Relay {
    /// The fraction of its capacity that a server surely has by its age: it rises evenly from the initial
    /// capacity to 1 over the warm-up.
    pub(crate) fn warm_up_fraction(&self, server: &Server) -> f64 {
        let age =
            self.now.saturating_sub(server.endpoint.started_at) as f64 / self.site.warm_up.max(1) as f64;
        let progress = if server.endpoint.started_at == 0 { 1.0 } else { age.min(1.0) };
        self.site.initial_capacity + (1.0 - self.site.initial_capacity) * progress
    }

    pub(crate) fn is_warming_up(&self, server: &Server) -> bool {
        self.warm_up_fraction(server) < 1.0
    }

    /// The budget of a server by its warm-up now; `session_load` is a session's part of a full server.
    fn budget(&self, server: &Server, session_load: f64) -> Budget {
        let warm_up = self.site.warm_up.max(1) as f64;
        let rate = self.site.overload_multiple * self.warm_up_fraction(server) / (warm_up * session_load);
        Budget { rate, per_window: self.site.overload_window as f64 * rate }
    }

    /// The wait for the first slot at a server that has just started. It takes least just then: the relays'
    /// first slots are spread over one interval, each relay's at another place for each server.
    pub(crate) fn first_slot_wait(&self, endpoint: &Endpoint) -> SlotWait {
        let position = hash(u64::from(endpoint.server)).wrapping_add(u64::from(self.site.relay_index));
        let relays = u64::from(self.site.relay_count.max(1));
        let interval_fraction = ((position % relays) as f64 + 0.5) / relays as f64;
        SlotWait { since: self.now, interval_fraction }
    }

    /// Whether a session may be sent to a server as far as its slow start goes: it is warm, or this relay has
    /// an open slot there that it keeps, and the session is not one too many of a reconnect storm.
    pub(crate) fn has_slot(&self, server: &Server, session: &Session, fleet: &FleetEstimate) -> bool {
        if !self.is_warming_up(server) {
            return true;
        }
        !session.in_reconnect_storm
            && self.is_slot_open(server, fleet)
            && self.may_use_unused_slots(server, fleet)
    }

    fn is_slot_open(&self, server: &Server, fleet: &FleetEstimate) -> bool {
        let waited = (self.now - server.slot_wait.since) as f64;
        waited >= self.slot_interval(server, fleet, server.slot_wait.interval_fraction)
    }

    /// Whether an open slot may be used by a session that the thresholds of admission reject: such a slot is
    /// room of this relay alone, and lost if unused. Only where slots are rare and the server is known to
    /// have room.
    pub(crate) fn is_spare_slot(&self, server: &Server, session: &Session, fleet: &FleetEstimate) -> bool {
        /// With few relays slots come each second or two, and must not open a way past the thresholds.
        const MIN_INTERVAL: Micros = 4 * REPORT_LAG;
        let is_rare =
            self.is_warming_up(server) && self.slot_interval(server, fleet, 1.0) > MIN_INTERVAL as f64;
        is_rare
            && self.health_tier(server, &session.tried) == HealthTier::Healthy
            && self.current_load(server, fleet) < FULL_LOAD
    }

    /// The time from the beginning of this relay's wait to its next slot at a warming server, in
    /// microseconds, for a fraction of the plain interval.
    ///
    /// The interval is this relay's share of the budget less the wait for a session once the slot is open, so
    /// a busy relay keeps to its plain share; the oversubscription bounds how far it shrinks. Where the
    /// server has warmed since the last slot, what it took on the way counts, not what it takes now.
    fn slot_interval(&self, server: &Server, fleet: &FleetEstimate, fraction: f64) -> f64 {
        let relays = f64::from(self.site.relay_count);
        let share = fraction * relays / self.budget(server, fleet.slot_load).rate;
        let session_wait = self.wait_for_session(fleet);
        // It warms evenly, so it took less by half of what it has gained.
        let warm_up_rate = (1.0 - self.site.initial_capacity) / self.site.warm_up.max(1) as f64;
        let waited = (self.now - server.slot_wait.since) as f64;
        let gained = warm_up_rate * waited / self.warm_up_fraction(server);
        ((share - session_wait) / (1.0 - gained / 2.0).max(0.5)).max(share / self.oversubscription())
    }

    /// How far a relay's share may be exceeded: 1.4 times for one relay, nearly 4 for a hundred. The more
    /// relays share a budget, the fewer have a session when their slot opens.
    fn oversubscription(&self) -> f64 {
        let others = f64::from(self.site.relay_count - 1);
        1.4 + 3.6 * others / (others + 40.0)
    }

    /// The mean time until a session comes that has a given server in its pool, in microseconds.
    fn wait_for_session(&self, fleet: &FleetEstimate) -> f64 {
        self.slot_arrivals.mean() * sessions_per_candidacy(fleet)
    }

    /// Whether this relay is one of those that may use a slot at a warming server however long it lay unused.
    ///
    /// Unused slots of all relays meet in the moment in which each relay has a session. So relays are drawn,
    /// with the chance of what the budget bears over the slots that would meet: the relays, times the
    /// fraction of them whose slot lies unused, times the chance that a session's pool has the server. The
    /// draw is a hash of the relay and the server's start: a relay stays drawn for the whole warm-up, so no
    /// window sees two sets of relays.
    fn may_use_unused_slots(&self, server: &Server, fleet: &FleetEstimate) -> bool {
        /// Sessions of one relay in a storm that may have the server in their pools before it is seen as one.
        const SESSIONS_AT_ONCE: f64 = 1.3;
        let budget = self.budget(server, fleet.slot_load).per_window;
        if self.is_small_fleet(budget) {
            return true;
        }
        let session_wait = self.wait_for_session(fleet);
        let interval = self.slot_interval(server, fleet, 1.0);
        // Until one interval after the server's start some relays have had no slot yet.
        let opened = self.now.saturating_sub(server.endpoint.started_at) as f64 / interval;
        let unused = (session_wait / (session_wait + interval)).min(opened);
        let in_pool = (SESSIONS_AT_ONCE / sessions_per_candidacy(fleet)).min(1.0);
        let slots_at_once = f64::from(self.site.relay_count) * unused * in_pool;
        let bearable = budget + budget.sqrt() + 1.0;
        let server_key = (u64::from(server.endpoint.server) << 32) ^ server.endpoint.started_at;
        let draw = hash(self.slot_selection_key ^ server_key);
        draw as f64 <= bearable / slots_at_once * u64::MAX as f64
    }

    /// Whether the slots of all relays at once are no more than chance adds to a budget of sessions per
    /// overload window: slots alone hold the budget then.
    fn is_small_fleet(&self, budget: f64) -> bool {
        f64::from(self.site.relay_count) <= budget + 2.0 * budget.sqrt() + 2.0
    }

    /// Whether a returning session is one too many for the warming servers, by a chance that keeps their
    /// budgets.
    ///
    /// The sessions that came back to this relay beside it, within an overload window or at an even rate over
    /// a longer time, times the relays, are an unbiased guess of the fleet's. Beyond what the warming servers
    /// bear within a window together (their budgets, and one each) a session is one too many, with the chance
    /// of the excess. Servers that a small fleet cannot overload do not count.
    pub(crate) fn is_in_reconnect_storm(&mut self) -> bool {
        const LONG_WINDOW: Micros = 4 * SECOND;
        // A rolling sum reaches half a bucket further back in the mean; the session itself is no other.
        let others = |age: Micros| self.reconnects.sum(self.now, age.saturating_sub(SECOND / 4)) - 1.0;
        let window = self.site.overload_window;
        let spread = others(LONG_WINDOW) * window as f64 / LONG_WINDOW as f64;
        let returned = others(window).max(spread) * f64::from(self.site.relay_count);
        let warming =
            self.servers.values().filter(|server| server.endpoint.ready() && self.is_warming_up(server));
        let budgets = warming.map(|server| self.budget(server, self.estimate.slot_load).per_window);
        let bearable =
            budgets.filter(|&budget| !self.is_small_fleet(budget)).map(|budget| budget + 1.0).sum::<f64>();
        bearable > 0.0 && bearable < returned && !self.random.is_drawn(bearable / returned)
    }
}

/// The sessions that come for each one among whose candidates a given server is.
fn sessions_per_candidacy(fleet: &FleetEstimate) -> f64 {
    ((fleet.capacity - fleet.congested) / POOL_SIZE as f64).max(1.0)
}
