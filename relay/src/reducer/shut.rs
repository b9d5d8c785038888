//! Servers that are out by what is agreed: nothing new goes there, and the whole fleet moves their sessions
//! at one rate. What was heard last holds till a later word: hearing nobody opens none.
use super::{note, Effect, Reducer, Stage};
use hallrelay_balancer::types::{Phase, SessId};
use hallrelay_config::list::{Instance, List};
use hallrelay_disruption::{Stage as Out, Thing};
use hallrelay_raft::Index;
use hallrelay_recovery::Kept;
use std::collections::BTreeSet;

impl Reducer {
    /// As this voter's own state has it.
    pub(super) fn shut_by_log(&mut self, out: &mut Vec<Effect>) {
        let Some(a) = &self.agreed else { return };
        let (index, servers) = (a.applied, a.shut_servers());
        self.shut(index, servers, out);
    }

    pub(super) fn shut(&mut self, index: Index, servers: BTreeSet<String>, out: &mut Vec<Effect>) {
        let Some(a) = &mut self.agreed else { return };
        if index < a.shut.0 || a.shut.1 == servers {
            a.shut.0 = a.shut.0.max(index);
            return;
        }
        let changed: Vec<String> = a.shut.1.symmetric_difference(&servers).cloned().collect();
        a.shut = (index, servers);
        let kept = Kept::shut(a.shut.0, &a.shut.1);
        if self.node.state.is_some() {
            out.push(Effect::Persist { kept, before: None });
        }
        note(format!("by what is agreed {} backends are out", self.shut_now().len()), out);
        let told = changed.iter().filter_map(|name| self.servers.get(self.ids.get(name)?));
        let instances: Vec<Instance> = told.map(|v| v.told.clone()).collect();
        if !instances.is_empty() {
            let generation = self.generation.unwrap_or(0);
            self.list(List { generation, instances, ..List::default() }, out);
        }
    }

    fn shut_now(&self) -> BTreeSet<String> {
        self.agreed.as_ref().map(|a| a.shut.1.clone()).unwrap_or_default()
    }

    /// The phase of a server as it counts here.
    pub(super) fn phase(&self, one: &Instance) -> Phase {
        let shut = self.agreed.as_ref().is_some_and(|a| a.shut.1.contains(&one.id));
        match one.phase {
            Phase::Ready if shut => Phase::Draining,
            phase => phase,
        }
    }

    /// Own open sessions on servers that are shut.
    fn on_shut(&self) -> Vec<(String, SessId)> {
        let Some(a) = self.agreed.as_ref().filter(|a| !a.shut.1.is_empty()) else { return Vec::new() };
        let at = |s: &super::Sess| {
            let name = &self.servers.get(&s.server?)?.told.id;
            a.shut.1.contains(name).then(|| name.clone())
        };
        let open = self.sessions.iter().filter(|(_, s)| matches!(s.stage, Stage::Pass | Stage::Moving));
        open.filter_map(|(&sess, s)| Some((at(s)?, sess))).collect()
    }

    /// How many are left at each.
    pub(super) fn left_on_shut(&self) -> Vec<(String, u32)> {
        let mut left: Vec<(String, u32)> = Vec::new();
        for (name, _) in self.on_shut() {
            match left.iter_mut().find(|one| one.0 == name) {
                Some(one) => one.1 += 1,
                None => left.push((name, 1)),
            }
        }
        left
    }

    /// This relay's part of a second's moves.
    pub(super) fn move_off(&mut self, out: &mut Vec<Effect>) {
        let on = self.on_shut();
        let relays = u64::from(self.node.site.facts.relay_count.max(1));
        let Some(a) = &mut self.agreed else { return };
        if on.is_empty() {
            a.owed = 0;
            return;
        }
        // A relay's part of less than one session is saved up.
        a.owed += u64::from(a.moves) * 1000 / relays;
        let part = (a.owed / 1000) as usize;
        a.owed %= 1000;
        on.into_iter().take(part).for_each(|(_, sess)| self.move_on(sess, out));
    }
}

impl super::agreed::Agreed {
    pub(super) fn shut_servers(&self) -> BTreeSet<String> {
        let out = self.state.things().filter(|(_, r)| r.stage == Out::Out);
        let servers = out.filter_map(|(thing, _)| match thing {
            Thing::Server(name) => Some(name.clone()),
            Thing::Relay(_) => None,
        });
        servers.collect()
    }
}
