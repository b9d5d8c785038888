//! The list of servers: what its service tells, and when it is asked again.

use super::*;

impl Relay {
    /// Takes in what the list's service told, or plans the next call where it broke.
    pub(super) fn list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Effect>) {
        if kind == ListKind::Broken {
            // Ask again, ever more slowly, spread over the relays. Waits run from the last call: the longest
            // leaves 2 s for an answer, of the 6 s after which the list counts once it can be reached.
            let (pace, spread) = ([1, 2, 3][self.watch_fails as usize] * SECOND, self.rng.below(SECOND));
            let took = if self.watch_fails > 0 { self.now - self.watched } else { 0 };
            let after = (pace + spread).saturating_sub(took).max(spread / 2);
            self.watch_fails = (self.watch_fails + 1).min(2);
            return out.push(Effect::Alarm { after, label: WATCH });
        }
        self.watch_fails = 0;
        if kind == ListKind::Full {
            self.servers.values_mut().for_each(|v| v.entry.phase = Phase::Gone);
        }
        for entry in entries {
            let v = self.servers.entry(entry.server).or_default();
            if entry.came_up > v.entry.came_up {
                // It takes least just now: the relays' first turns there are spread over one pause.
                let turn = mix(u64::from(entry.server)).wrapping_add(u64::from(self.site.slot));
                let relays = u64::from(self.site.relays.max(1));
                let turn = (self.now, ((turn % relays) as f64 + 0.5) / relays as f64);
                *v = Server { turn, ..Server::default() };
            }
            v.entry = entry;
        }
        // What is gone is forgotten with its last session, or a long life would gather all there ever were.
        let held = |id| self.sessions.values().any(|s| s.server == id);
        self.servers.retain(|&id, v| v.entry.phase != Phase::Gone || held(id));
    }
}
