//! The fleet's estimate: what one relay makes of its reports and of what it placed since.

use super::*;

/// The fleet as HEU sees it: `capacity`, `busy`, `congested` are the paper's c, x_busy, x_cong, in servers.
#[derive(Clone, Copy, Default)]
pub(super) struct FleetEstimate {
    pub(super) capacity: f64,
    pub(super) busy: f64,
    pub(super) congested: f64,
    pub(super) mean_load: f64,
    pub(super) session_load: f64,  // a session's part of a server
    pub(super) slot_load: f64,     // the same where it bounds what a cold server gets
    pub(super) fleet_factor: f64,  // from this relay's own change to that of all relays
    pub(super) report_age: Micros, // in the mean
    pub(super) valid_until: Micros,
}

/// One session's part of a server at most, wherever load is foreseen.
pub(super) const MOST_SESSION: f64 = 0.05;
/// The same for a cold server's budget, as far as reports tell it: of a server that five sessions fill.
pub(super) const MOST_TOLD: f64 = 0.2;

impl Relay {
    /// Read from the servers with fresh answers, as a sample of all that are ready and not silent.
    pub(super) fn fleet_estimate(&mut self) -> FleetEstimate {
        const USABLE: f64 = 0.85; // how c is read: what fills before messages are late; tried 0.7, 0.85, 1
        const PRIOR: f64 = 8.0; // sessions that the last figure counts for, beside those that servers hold
        const ROOM: f64 = 0.6; // a load that leaves the others room for a late one's; always and never tried
        if self.now < self.estimate.valid_until {
            return self.estimate; // till the next answer; what is let in meanwhile is booked at once
        }
        let (mut all, mut own, mut held, mut sums) = (0.0, 0.0, 0.0, [0.0; 6]);
        for v in self.servers.values().filter(|v| v.entry.ready() && v.misses == 0) {
            let warmth = self.warmth(v);
            all += warmth;
            let Some(reported_at) = v.last_report else {
                own += warmth * f64::from(self.queue_delay(v) > self.queue_delay_limit);
                continue;
            };
            let (age, cong) = (self.now - reported_at, self.tier(v, &[]) > 0);
            let full = (v.load + self.queue_delay(v)).min(1.0);
            let one = [1.0, full, v.load, f64::from(cong), age as f64, full * f64::from(cong)];
            sums.iter_mut().zip(one).for_each(|(sum, x)| *sum += x * warmth);
            held += v.sessions;
        }
        let [k, load, demand, cong, age, late] = sums;
        let room = f64::from(load - late < ROOM * (k - cong));
        let load = load - late * room * (1.0 - cong / k.max(1e-9));
        let (relays, own_sessions) = (f64::from(self.site.relays), f64::from(self.own_sessions));
        let fleet_factor = relays * own_sessions / (own_sessions + 8.0);
        let (valid_until, FleetEstimate { session_load, slot_load, .. }) =
            (self.now + SECOND / 4, self.estimate);
        let mut g =
            FleetEstimate { valid_until, session_load, slot_load, fleet_factor, ..FleetEstimate::default() };
        if k > 0.0 {
            (g.capacity, g.mean_load, g.congested) = (USABLE * all, load / k, cong / k * (all - own) + own);
            g.report_age = (age / k) as Micros;
            let moment = (demand / k * all / (own_sessions * relays).max(1.0)).clamp(0.002, MOST_SESSION);
            let told = |before: f64, most| ((demand + PRIOR * before) / (held + PRIOR)).clamp(0.002, most);
            let gain = if self.estimate.capacity > 0.0 { 0.08 } else { 1.0 };
            g.session_load = match held > 0.0 && self.own_sessions < FEW {
                true => told(g.session_load, MOST_SESSION),
                false => g.session_load + (moment - g.session_load) * gain,
            };
            g.slot_load = match held > 0.0 && self.own_sessions < FEW {
                true => told(g.slot_load, MOST_TOLD),
                false => g.session_load,
            };
            let since = self.net_sessions.sum(self.now, g.report_age + LAG);
            g.busy = (g.mean_load * (all - own) + own + since * fleet_factor * g.session_load).max(0.0);
        }
        self.estimate = g;
        g
    }

    /// The seconds that work waits there, by a report or a message of an open session of the last 2 s.
    pub(super) fn queue_delay(&self, v: &Server) -> f64 {
        let recent = |then: Micros| f64::from(self.now - then < 2 * SECOND); // measured each second
        (v.queue_delay * v.last_report.map_or(0.0, recent)).max(v.message_delay.0 * recent(v.message_delay.1))
    }

    /// The reported load, or the mean, with what this relay placed since, times four at most (tried 2 and 8).
    pub(super) fn current_load(&self, v: &Server, g: &FleetEstimate) -> f64 {
        let since = v.flow.net.sum(self.now, v.last_report.map_or(0, |t| self.now - t) + LAG);
        let reported = v.last_report.map_or_else(|| g.mean_load * self.warmth(v), |_| v.load); // as it warmed
        let base = reported + self.queue_delay(v) + g.session_load * since * g.fleet_factor.min(4.0);
        base.max(f64::from(self.queue_delay(v) > self.queue_delay_limit)) // late: full
    }

    /// Books a session on its server, or off it: from the dial on, so that what is under way counts.
    pub(super) fn book(&mut self, sess: SessId, by: i32) {
        let s = &self.sessions[&sess];
        let weight = if by > 0 && s.state == State::Open { 0.0 } else { s.weight }; // in the reports already
        let (change, key) = (f64::from(by) * weight, (s.server, s.request.group));
        self.own_sessions = self.own_sessions.saturating_add_signed(by);
        // Who comes back and was not here has changed relays: its load is reported. A fifth may be chance.
        let returned = by > 0 && s.request.returned;
        let moved =
            returned && self.disconnects.sum(self.now, 8 * SECOND) < -0.2 * f64::from(self.own_sessions);
        self.disconnects.add(self.now, f64::from(-by * i32::from(by < 0 || returned && !moved)));
        let added = if moved { 0.0 } else { change };
        self.net_sessions.add(self.now, added);
        self.estimate.busy += added * self.estimate.fleet_factor * self.estimate.session_load;
        let members = self.groups.entry(key).or_insert(0);
        *members = members.saturating_add_signed(by);
        if *members == 0 || key.1 == 0 {
            self.groups.remove(&key);
        }
        if let Some(v) = self.servers.get_mut(&key.0) {
            v.flow.net.add(self.now, change);
        }
    }
}
