//! The fleet's estimate: what one relay makes of its reports and of what it placed since.

use super::*;

/// The fleet as HEU sees it, a server's mean load, one session's part of it, and how many relays do alike.
#[derive(Clone, Copy, Default)]
pub(super) struct Gauge {
    pub(super) c: f64,
    pub(super) x_busy: f64,
    pub(super) x_cong: f64,
    pub(super) mean: f64,
    pub(super) step: f64,
    pub(super) alike: f64,
    pub(super) age: Micros, // of the answers, in the mean
    pub(super) until: Micros,
}

impl Relay {
    /// Read from the servers with fresh answers, as a sample of all that are ready and not silent.
    pub(super) fn gauge(&mut self) -> Gauge {
        const USABLE: f64 = 0.85; // how C is read: what fills before messages are late; tried 0.7, 0.85, 1
        const FEW: u32 = 16; // own sessions, of which chance is a quarter; with more these are steadier
        const PRIOR: f64 = 8.0; // sessions that the last figure counts for, beside those that servers hold
        const ROOM: f64 = 0.6; // a load that leaves the others room for a late one's; always and never tried
        if self.now < self.gauge.until {
            return self.gauge; // till the next answer; what is let in meanwhile is booked at once
        }
        let (mut all, mut own, mut held, mut sums) = (0.0, 0.0, 0.0, [0.0; 6]);
        for v in self.servers.values().filter(|v| v.entry.ready() && v.misses == 0) {
            let warmth = self.warmth(v);
            all += warmth;
            // Where only a dial tells more, old answers can't go on refusing it.
            let counts = |t: &Micros| self.site.may_probe || self.now - t <= 3 * LAG;
            let Some(heard) = v.heard.filter(counts) else {
                own += warmth * f64::from(self.piled(v) > self.bar);
                continue;
            };
            let (age, cong) = (self.now - heard, self.tier(v, &[]) > 0);
            let full = (v.load + self.piled(v)).min(1.0);
            let one = [1.0, full, v.load, f64::from(cong), age as f64, full * f64::from(cong)];
            sums.iter_mut().zip(one).for_each(|(sum, x)| *sum += x * warmth);
            held += v.held;
        }
        let [k, load, asked, cong, age, late] = sums;
        let room = f64::from(load - late < ROOM * (k - cong));
        let load = load - late * room * (1.0 - cong / k.max(1e-9));
        // All relays do alike, but the fewer its sessions the more is a relay's own change mere chance.
        let alike = f64::from(self.site.relays) * f64::from(self.n) / (f64::from(self.n) + 8.0);
        let mut g = Gauge { until: self.now + SECOND / 4, step: self.gauge.step, alike, ..Gauge::default() };
        if k > 0.0 {
            (g.c, g.mean, g.x_cong) = (USABLE * all, load / k, cong / k * (all - own) + own);
            g.age = (age / k) as Micros;
            // What servers say they hold, where own sessions are few; else a running mean over seconds.
            let open = f64::from(self.n) * f64::from(self.site.relays);
            let step = (asked / k * all / open.max(1.0)).clamp(0.002, 0.05);
            g.step = match held > 0.0 && self.n < FEW {
                true => ((asked + PRIOR * g.step) / (held + PRIOR)).clamp(0.002, 0.05),
                false => g.step + (step - g.step) * if self.gauge.c > 0.0 { 0.08 } else { 1.0 },
            };
            let since = self.net.sum(self.now, g.age + LAG);
            g.x_busy = (g.mean * (all - own) + own + since * alike * g.step).max(0.0);
        }
        self.gauge = g;
        g
    }

    /// The work piled up, as probed or as a message of an open session felt it; it counts while it is news.
    pub(super) fn piled(&self, v: &Server) -> f64 {
        let news = |then: Micros| f64::from(self.now - then < 2 * SECOND); // delays are told anew each second
        (v.piled * v.heard.map_or(0.0, news)).max(v.delay.0 * news(v.delay.1))
    }

    /// The probed load, or the mean where none was heard, with what was placed since, times who does alike.
    pub(super) fn load_now(&self, v: &Server, g: &Gauge) -> f64 {
        let since = v.flow.net.sum(self.now, v.heard.map_or(0, |t| self.now - t) + LAG);
        let told = v.heard.map_or_else(|| g.mean * self.warmth(v), |_| v.load); // as it warmed
        let base = told + self.piled(v) + g.step * since * g.alike.min(4.0); // at most four alike: tried 2, 8
        base.max(f64::from(self.piled(v) > self.bar)) // where messages are late all is taken
    }

    /// Books a session on its server, or off it: from the dial on, so that what is under way counts.
    pub(super) fn count(&mut self, sess: SessId, by: i32) {
        let s = &self.sessions[&sess];
        let weight = if by > 0 && s.state == State::Open { 0.0 } else { s.weight }; // in the reports already
        let (change, key) = (f64::from(by) * weight, (s.server, s.asked.group));
        self.n = self.n.saturating_add_signed(by);
        // Who comes back and was not here has changed relays: its load is reported. A fifth may be chance.
        let back = by > 0 && s.asked.returned;
        let moved = back && self.lost.sum(self.now, 8 * SECOND) < -0.2 * f64::from(self.n);
        self.lost.add(self.now, f64::from(-by * i32::from(by < 0 || back && !moved)));
        let news = if moved { 0.0 } else { change };
        self.net.add(self.now, news);
        self.gauge.x_busy += news * self.gauge.alike * self.gauge.step;
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
