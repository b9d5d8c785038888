//! Placement: the pool of servers that a session may go to, and what it costs on each.

use super::*;

impl Relay {
    /// The servers that a session may go to, best first: by tier, then whether full or across a priced
    /// crossing, then by rank. A group keeps to its ranks, in all zones, and in thin relays beyond `FULL`.
    /// Past the thresholds, only cold ones with room where this relay has a slot, which would else lapse.
    pub(super) fn pool(&self, s: &Session, g: &FleetEstimate, only_slots: bool) -> Vec<ServerId> {
        let grouped = s.request.group != 0;
        let full_from = FULL + f64::from(grouped && self.own_sessions < FEW) * GROUP * g.session_load;
        let mut best = Least::new(POOL);
        for v in self.servers.values().filter(|v| v.entry.ready()) {
            let far = v.entry.zone != self.site.zone && self.site.price_crossing > 0.0 && !grouped;
            let rank = rank(s, v);
            let fits = || !only_slots || self.rare_slot(v, s, g);
            let may = || self.legal(s, &v.entry) && self.slot_open(v, s, g) && fits();
            // Most servers rank too low at their best, and cost no more than that.
            if best.takes(&(0, false, far, rank, v.entry.server)) && may() {
                let full = self.current_load(v, g) >= full_from;
                best.add((self.tier(v, &s.tried), full, far, rank, v.entry.server));
            }
        }
        best.into_iter().map(|b| b.4).collect()
    }

    /// Rule 2: whether a session may be dialled at a server, after what may have run already.
    fn legal(&self, s: &Session, at: &Entry) -> bool {
        let Some((since, zone, cell)) = s.may_have_run else { return true };
        match s.rule.listener.repeat {
            Repeat::Repeatable => true,
            Repeat::OnceOnly => false,
            Repeat::Referenced { window, .. } if self.now >= since + window => false,
            Repeat::Referenced { within: Within::All, .. } => true,
            Repeat::Referenced { within: Within::Zone, .. } => zone == at.zone,
            Repeat::Referenced { within: Within::Cell, .. } => cell == at.cell,
        }
    }

    /// What one more session costs: service that it and others lose, a crossing, and a group's first session.
    pub(super) fn cost(&self, v: &Server, s: &Session, load: f64, place: usize, itself: u32) -> f64 {
        const SHARP: f64 = 6.0; // how service falls as a server fills: messages that fit into their target
        let others = self.groups.get(&(v.entry.server, s.request.group)).is_some_and(|&m| m > itself);
        let first = if others || s.request.group == 0 { 0.0 } else { GROUP * place as f64 / POOL as f64 };
        let crossing = if v.entry.zone == self.site.zone { 0.0 } else { self.site.price_crossing };
        let loss = (-SHARP * (1.0 - load)).exp();
        loss + (1.0 + first) * load * SHARP * loss + crossing
    }

    /// 0: uncongested and trusted; 1: congested; 2: tried or dropping sessions; 3: silent.
    pub(super) fn tier(&self, v: &Server, tried: &[ServerId]) -> u8 {
        match v.misses {
            0 if tried.contains(&v.entry.server) || v.flow.faulty(self.now, 2.0, 0.25) => 2,
            0 => u8::from(self.queue_delay(v) > self.queue_delay_limit),
            _ => 3,
        }
    }
}

/// A server's place in the order of a session's group, or of its own.
fn rank(s: &Session, v: &Server) -> u64 {
    mix(s.hash_key ^ (u64::from(v.entry.server) << 32))
}
