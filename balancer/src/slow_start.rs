//! Slow start: how many sessions a server takes while it is cold.

use super::*;

impl Relay {
    /// The part of its capacity that a server surely has, so long after its start.
    pub(super) fn warmth(&self, v: &Server) -> f64 {
        let age = self.now.saturating_sub(v.entry.came_up) as f64 / self.site.cold.max(1) as f64;
        let part = if v.entry.came_up == 0 { 1.0 } else { age.min(1.0) };
        self.site.cold_from + (1.0 - self.site.cold_from) * part
    }

    /// Rule 4: whether this relay's part of a cold server's budget has room again.
    pub(super) fn slot_open(&self, v: &Server, s: &Session, g: &FleetEstimate) -> bool {
        let slot = || (self.now - v.next_slot.0) as f64 >= self.slot_interval(v, g, v.next_slot.1);
        self.warmth(v) >= 1.0 || !s.in_storm && slot() && self.drawn(v, g)
    }

    /// Whether this relay is one of those that may use a slot at a cold server however long it lay unused.
    /// Guards the budget against a moment in which every relay has a session: no more relays are drawn than
    /// the budget bears at once. A relay stays drawn for a server's whole warm-up, so that no window sees others.
    fn drawn(&self, v: &Server, g: &FleetEstimate) -> bool {
        /// Sessions of one relay in a storm that may have the server in their pools before it is seen as one.
        const BESIDE: f64 = 1.3;
        let budget = self.site.fall as f64 * self.sustainable_rate(v, g.slot_load);
        if self.are_few(budget) {
            return true;
        }
        let pools = self.pools(g);
        let (wait, interval) = (self.arrivals.mean_gap() * pools, self.slot_interval(v, g, 1.0));
        // Till an interval is over since its start some relays have had no slot yet.
        let opened = self.now.saturating_sub(v.entry.came_up) as f64 / interval;
        let unused = (wait / (wait + interval)).min(opened);
        let at_once = f64::from(self.site.relays) * unused * (BESIDE / pools).min(1.0);
        let bearable = budget + budget.sqrt() + 1.0;
        let draw = mix(self.slot_key ^ (u64::from(v.entry.server) << 32) ^ v.entry.came_up);
        draw as f64 <= bearable / at_once * u64::MAX as f64
    }

    /// Whether the slots of all relays at once are no more than chance may add: slots alone hold the budget then.
    fn are_few(&self, budget: f64) -> bool {
        f64::from(self.site.relays) <= budget + 2.0 * budget.sqrt() + 2.0
    }

    /// The sessions that come for each one whose pool has a given server.
    fn pools(&self, g: &FleetEstimate) -> f64 {
        ((g.capacity - g.congested) / POOL as f64).max(1.0)
    }

    /// Whether a returning session is one too many for the cold servers, by a chance that keeps their budget.
    pub(super) fn in_reconnect_storm(&mut self) -> bool {
        // Beside itself; in a burst, or for a while (sums reach a quarter of a second further in the mean).
        let beside = |back: Micros| self.reconnects.sum(self.now, back.saturating_sub(SECOND / 4)) - 1.0;
        let (fall, long) = (self.site.fall, 4 * SECOND);
        let came = beside(fall).max(beside(long) * fall as f64 / long as f64);
        let all = came * f64::from(self.site.relays);
        let budget = |v: &Server| fall as f64 * self.sustainable_rate(v, self.estimate.slot_load);
        let cold = self.servers.values().filter(|v| v.entry.ready() && self.warmth(v) < 1.0);
        let sustained = cold.map(budget).filter(|&n| !self.are_few(n)).map(|n| n + 1.0).sum::<f64>();
        sustained > 0.0 && sustained < all && !self.rng.hits(sustained / all)
    }

    /// Whether an open slot here counts past the thresholds: not where slots come every second or two.
    pub(super) fn rare_slot(&self, v: &Server, s: &Session, g: &FleetEstimate) -> bool {
        let rare = self.warmth(v) < 1.0 && self.slot_interval(v, g, 1.0) > (4 * LAG) as f64;
        rare && self.tier(v, &s.tried) == 0 && self.current_load(v, g) < FULL
    }

    /// The microseconds from this relay's last slot at a cold server till such a part of an interval is over.
    fn slot_interval(&self, v: &Server, g: &FleetEstimate, part: f64) -> f64 {
        // 1.4 for one relay, 4 for a hundred: the more share a server, the fewer have a session just then.
        let others = f64::from(self.site.relays - 1);
        let oversubscription = 1.4 + 3.6 * others / (others + 40.0);
        let share = part * f64::from(self.site.relays) / self.sustainable_rate(v, g.slot_load);
        // An interval is this and the wait for a session whose pool has the server: short for busy relays.
        let wait = self.arrivals.mean_gap() * self.pools(g);
        // The server sustained less while it was colder: by half of what it has warmed since the last slot.
        let warm_up = (1.0 - self.site.cold_from) / self.site.cold.max(1) as f64;
        let warmed = warm_up * (self.now - v.next_slot.0) as f64 / self.warmth(v);
        ((share - wait) / (1.0 - warmed / 2.0).max(0.5)).max(share / oversubscription)
    }

    /// The sessions a microsecond that a cold server sustains from all relays, by its warmth now.
    fn sustainable_rate(&self, v: &Server, slot_load: f64) -> f64 {
        self.site.fall_multiple * self.warmth(v) / (self.site.cold.max(1) as f64 * slot_load)
    }
}
