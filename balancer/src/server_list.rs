//! The list of servers: what is taken from its service, and when it is requested again.

use super::*;

impl Relay {
    /// Takes in a list or its changes, or plans the next call where the watch broke.
    pub(super) fn update_list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Effect>) {
        if kind == ListKind::Broken {
            // Ask again, ever more slowly, spread over the relays. Waits run from the last call: the longest
            // leaves 2 s for an answer, of the 6 s after which the list counts once it can be reached.
            let (pace, spread) = ([1, 2, 3][self.watch_failures as usize] * SECOND, self.rng.below(SECOND));
            let took = if self.watch_failures > 0 { self.now - self.last_watch } else { 0 };
            let after = (pace + spread).saturating_sub(took).max(spread / 2);
            self.watch_failures = (self.watch_failures + 1).min(2);
            return out.push(Effect::Alarm { after, label: WATCH });
        }
        self.watch_failures = 0;
        if kind == ListKind::Full {
            self.servers.values_mut().for_each(|v| v.entry.phase = Phase::Gone);
        }
        for entry in entries {
            let v = self.servers.entry(entry.server).or_default();
            if entry.came_up > v.entry.came_up {
                // It takes least just now: the relays' first slots there are spread over one interval.
                let position = mix(u64::from(entry.server)).wrapping_add(u64::from(self.site.slot));
                let relays = u64::from(self.site.relays.max(1));
                let next_slot = (self.now, ((position % relays) as f64 + 0.5) / relays as f64);
                *v = Server { next_slot, ..Server::default() };
            }
            v.entry = entry;
        }
        // What is gone is forgotten with its last session, or a long life would gather all there ever were.
        let held = |id| self.sessions.values().any(|s| s.server == id);
        self.servers.retain(|&id, v| v.entry.phase != Phase::Gone || held(id));
    }
}
