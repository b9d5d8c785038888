//! Rebalancing: moves of open sessions from a server that fills up.

use super::*;

impl Relay {
    /// Moves sessions of a server that fills up to where they lose less, a few at each report.
    pub(super) fn rebalance(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        const DOUBT: f64 = 0.15; // a move's gain beyond its price: gap, set-up, doubt about old answers
        let Some(v) = self.servers.get(&server) else { return };
        let unsettled = self.now - v.last_rebalance < LAG; // what was moved does not show yet
        if unsettled || !v.entry.ready() || self.current_load(v, &self.estimate) < FULL {
            return;
        }
        let g = self.fleet_estimate();
        let v = &self.servers[&server];
        let load = self.current_load(v, &g).max(FULL);
        // In a slow-down that all share no server is better: some are cut off, for the rest to be well.
        let shed = v.last_report == Some(self.now)
            && load > 1.0
            && self.tier(v, &[]) > 0
            && g.congested > g.capacity / 2.0;
        let last = |s: &Session| self.groups.get(&(server, s.request.group)) == Some(&1);
        let frees = |s: &Session| s.weight + if last(s) { GROUP } else { 0.0 };
        let open = self.sessions.iter().filter(|(_, s)| s.server == server && s.state == State::Open);
        let mut mine: Vec<_> = open.map(|(&id, s)| (shed && self.high(s), frees(s), id)).collect();
        mine.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        // The way down to the others' mean, in own sessions: half of it, or all where messages here are late.
        let late = shed || self.tier(v, &[]) > 0 && g.busy < FULL * g.capacity - g.congested;
        let way = (load - (g.busy / g.capacity.max(1.0)).min(FULL)) * if late { 1.0 } else { 0.5 };
        let mut surplus = mine.iter().map(|m| m.1).sum::<f64>() * way / load;
        for (_, frees, sess) in mine {
            // Less than one session is moved by chance: all relays together move the right number.
            if surplus < frees && !self.rng.hits(surplus / frees) {
                break;
            }
            if shed || self.gain(sess, load, &g) > self.site.price_move + DOUBT {
                surplus -= frees;
                self.advance(sess, Event::Rebalance, out);
                self.servers.get_mut(&server).expect("just read").last_rebalance = self.now;
            }
        }
    }

    /// What a session would lose less where its pool would place it now than where it is.
    fn gain(&self, sess: SessId, load: f64, g: &FleetEstimate) -> f64 {
        let s = &self.sessions[&sess];
        let pool = self.pool(s, g, false);
        let place = pool.iter().position(|id| *id == s.server).unwrap_or(POOL);
        let here = self.cost(&self.servers[&s.server], s, load.min(1.2), place, 1);
        let costs = pool.into_iter().enumerate().filter_map(|(i, id)| {
            let v = &self.servers[&id];
            let load = self.current_load(v, g) + g.session_load * s.weight;
            let usable = id != s.server && self.tier(v, &[]) == 0;
            (usable && load < FULL).then(|| self.cost(v, s, load, i, 0))
        });
        here - costs.fold(f64::INFINITY, f64::min)
    }
}
