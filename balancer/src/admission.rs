//! Admission: whether a session is dialled, waits for reports, or is refused.

use super::*;

const K_RESERVED: f64 = 0.15; // the part of c and of c_id kept for high utility

impl Relay {
    /// What a session may expect now: a dial, a short wait, or its final answer at once.
    pub(super) fn weigh(&mut self, sess: SessId) -> Event {
        let g = self.fleet_estimate();
        let s = &self.sessions[&sess];
        // Rule 2: a refusal says that trying again is harmless, which is so only where nothing ran unknown.
        let repeat = s.rule.listener.repeat;
        let known = matches!(repeat, Repeat::Repeatable | Repeat::Referenced { within: Within::All, .. });
        let give_up = if known || s.may_have_run.is_none() { Event::Reject } else { Event::Abort };
        let over = self.now >= s.deadline || s.dials >= s.rule.most_dials;
        // Where only a dial tells more, one goes out in three seconds whatever was reported.
        let asks_by_dial = !self.site.may_probe && self.now - self.last_dial >= 3 * LAG;
        let refused = s.dials == 0 && !asks_by_dial && !self.admits(s, &g);
        let stale = g.report_age > 2 * LAG && self.now < s.probe_deadline;
        let pool_for = |only_slots| if over { vec![] } else { self.pool(s, &g, only_slots) };
        let pool = pool_for(refused && !stale);
        let asks = |v: &Server| v.misses == 0 && v.last_report.is_none_or(|t| self.now - t > LAG);
        let paid = |v: &Server| self.site.may_probe && (v.probe_pending || self.probe_credit >= 1.0);
        let mut awaited = pool.clone();
        awaited.retain(|id| asks(&self.servers[id]) && paid(&self.servers[id]));
        if !awaited.is_empty() && self.now < s.probe_deadline {
            self.sessions.entry(sess).and_modify(|s| s.awaited_probes = awaited);
            return Event::Wait;
        }
        let pool = if refused && stale { pool_for(true) } else { pool };
        let costs = pool.iter().enumerate().map(|(i, id)| {
            let v = &self.servers[id];
            (self.tier(v, &s.tried), self.cost(v, s, self.current_load(v, &g), i, 0), *id)
        });
        let best = costs.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((.., server)) = best else { return give_up };
        let high = self.high(s);
        if give_up == Event::Reject && self.throttled(high) {
            return give_up;
        }
        self.sessions.entry(sess).and_modify(|s| s.server = server);
        Event::Place
    }

    /// HEU, as on the design page; with no server that answers there is nothing to test.
    fn admits(&self, s: &Session, g: &FleetEstimate) -> bool {
        let (n, c_id, high) = (f64::from(self.own_sessions), f64::from(self.site.max_open), self.high(s));
        let (t_servers, t_id) = (g.capacity * (1.0 - K_RESERVED), c_id * (1.0 - K_RESERVED));
        g.capacity == 0.0
            || (n < t_id && g.busy < t_servers - g.congested)
            || (high && n < c_id && g.busy < g.capacity - g.congested)
    }

    /// The set utility from which a listener counts as high: halfway, so that any two are told apart.
    pub(super) fn high(&self, s: &Session) -> bool {
        let utilities = self.site.listeners.iter().map(|l| l.utility);
        let (low, top) = utilities.fold((f64::MAX, 0.0f64), |(a, b), u| (a.min(u), b.max(u)));
        s.rule.listener.utility >= (low + top) / 2.0
    }

    /// Counts a dial that a server took up, and whether its session came about within its target.
    pub(super) fn count_dial(&mut self, sess: SessId, accepted: bool) {
        let Some(s) = self.sessions.get(&sess).filter(|s| s.state == State::Dialling) else { return };
        let in_time = accepted && self.now - s.dialled_at <= s.rule.listener.handshake_target;
        self.dials.add(self.now, 1.0);
        self.accepts.add(self.now, f64::from(in_time));
    }

    /// Client-side throttling (Beyer et al., Site Reliability Engineering, chapter 21; `docs/design.md`).
    fn throttled(&mut self, high: bool) -> bool {
        const WINDOW: Micros = 4 * SECOND; // tried 8 s
        const MOST: f64 = 1.5; // dials for each that was accepted of late; tried 2 and 1.2
        const FEW_DIALS: f64 = 8.0; // dials of all relays that are no sample
        let sum = |ring: &Ring| ring.sum(self.now, WINDOW);
        let (dials, least) = (sum(&self.dials), FEW_DIALS / f64::from(self.site.relays));
        let most = MOST * if high { 1.0 } else { 1.0 - K_RESERVED };
        let excess = dials - least - most * sum(&self.accepts);
        let mut faulty = self.servers.values().filter(|v| sum(&v.flow.faults) > 0.0);
        let shared = excess > 0.0 && faulty.nth(1).is_some();
        let throttled = shared && self.rng.hits(excess / (dials + 1.0));
        self.dials.add(self.now, f64::from(throttled));
        throttled
    }
}
