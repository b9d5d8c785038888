//! What a relay keeps across restarts: what goes to the store as it happens, and what a start makes of it.
use super::{note, Effect, Reducer, Server};
use hallrelay_balancer::types::{
    Input, Micros, Phase, ServerId, ServerSnapshot, SessId, SlotSnapshot, Snapshot,
};
use hallrelay_config::list::List;
use hallrelay_recovery::{recover, Kept, Recovered, Returning, Stored, View};

impl Reducer {
    /// What the store held, told before the start.
    pub fn remember(&mut self, stored: Stored) {
        self.stored = Some(Box::new(stored));
    }

    fn keep(&mut self, kept: Kept, out: &mut Vec<Effect>) {
        out.push(Effect::Persist { kept, before: None });
    }

    /// What of it is trusted.
    pub(super) fn recovered(&mut self, now: Micros, stored: &Stored, out: &mut Vec<Effect>) -> Recovered {
        let (node, warm_up) = (&self.node, self.node.site.facts.warm_up);
        let discovery = node.discovery.to_string();
        let mut r = recover(now, &node.name, &discovery, warm_up, &node.known, stored);
        std::mem::take(&mut r.words).into_iter().for_each(|word| note(word, out));
        for (fact, name) in std::mem::take(&mut r.forgotten) {
            self.keep(Kept::forgotten(fact, &name), out);
        }
        self.gone.extend(r.gone.drain(..));
        for one in &r.missing {
            self.keep(Kept::server(r.list.generation, now, one), out);
        }
        r
    }

    /// Turns that were spent before count as spent.
    pub(super) fn remember_turns(&mut self, r: &Recovered, out: &mut Vec<Effect>) {
        if r.turns.is_empty() {
            return;
        }
        let Snapshot { session_load, servers } = self.module.snapshot(self.now);
        // Of the others as the module begins with them.
        let unreported = servers.into_iter().map(|server| ServerSnapshot { report: None, ..server });
        let mut servers: Vec<ServerSnapshot> = unreported.collect();
        for turn in &r.turns {
            let Some(server) = self.ids.get(&turn.server) else { continue };
            let spent = servers.iter_mut().find(|m| m.server == *server);
            spent.into_iter().for_each(|m| m.slot = SlotSnapshot { age: turn.ago, interval_fraction: 1.0 });
        }
        self.tell(Input::Restore(Snapshot { session_load, servers }), out);
    }

    /// How far this relay is on its way back.
    pub(super) fn returning(&self) -> Returning {
        let warm_up = self.node.site.facts.warm_up;
        let there = self.servers.values().filter(|v| v.told.phase == Phase::Ready);
        let cold = |v: &&Server| v.is_cold(self.now, warm_up);
        Returning::of(&View {
            servers: there.clone().count(),
            cold: there.filter(cold).count(),
            spoken: self.spoken.is_some(),
            hearsay: self.hearsay > 0,
        })
    }

    /// This process is the relay from now on: whose the store is, and its start number.
    pub(super) fn keep_own(&mut self, start: u64, out: &mut Vec<Effect>) {
        if self.node.state.is_some() {
            self.keep(Kept::own(&self.node.name, start, self.now), out);
        }
    }

    /// What discovery tells anew, before it is taken: servers that differ from what was told of them, and
    /// those that a whole list leaves out.
    pub(super) fn keep_list(&mut self, list: &List, out: &mut Vec<Effect>) {
        if self.node.state.is_none() {
            return;
        }
        let (generation, now) = (list.generation, self.now);
        let told = |id: &str| self.ids.get(id).and_then(|id| self.servers.get(id)).map(|v| &v.told);
        let differs = list.instances.iter().filter(|one| told(&one.id) != Some(*one));
        let mut kept: Vec<Kept> = differs.map(|one| Kept::server(generation, now, one)).collect();
        if list.whole {
            let named = |id: &str| list.instances.iter().any(|one| one.id == id);
            let left_out = self.servers.values().map(|v| &v.told);
            let left_out = left_out.filter(|told| told.phase != Phase::Gone && !named(&told.id)).cloned();
            for mut gone in left_out {
                gone.phase = Phase::Gone;
                kept.push(Kept::server(generation, now, &gone));
            }
        }
        kept.push(Kept::list(&self.node.discovery.to_string(), generation));
        kept.into_iter().for_each(|one| self.keep(one, out));
    }

    /// Guards rule 4 against a relay that crashes again and again: a turn at a cold server is written down
    /// before the dial that spends it goes out.
    pub(super) fn keep_turn(&mut self, server: ServerId, sess: SessId, out: &mut Vec<Effect>) {
        if self.node.state.is_none() {
            return;
        }
        let Some(v) = self.servers.get(&server) else { return };
        if !v.is_cold(self.now, self.node.site.facts.warm_up) {
            return;
        }
        let taken_now = SlotSnapshot { age: 0, interval_fraction: 1.0 };
        let known = self.module.snapshot(self.now);
        let spent = known.servers.iter().any(|m| m.server == server && m.slot == taken_now);
        if spent {
            let kept = Kept::turn(&v.told.id, self.now);
            out.push(Effect::Persist { kept, before: Some(sess) });
        }
    }
}
