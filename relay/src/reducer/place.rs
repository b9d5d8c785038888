//! The process before this one and the one after it at the same address: what is said to them, what is handed
//! over, and what is shared till the old one is gone. The states stand in the package `handover`.
use super::duty::Sign;
use super::{note, Effect, Reducer, Sess, Stage, Timer};
use hallrelay_balancer::types::{Asked, Input, Memory, Micros, Phase, Report, SessId};
use hallrelay_config::list::{self, List};
use hallrelay_hot_restart::place::{Act, Event as Heard, Peer, PATIENCE};
use hallrelay_hot_restart::{Message, Server, Session, State};
use hallrelay_membership::Event as MembershipEvent;
use hallrelay_membership::Membership;

impl Reducer {
    /// The process has its place from the start, or tells the one before it that it could take over: it has
    /// all that it needs, its second address, its configuration, its list.
    pub(super) fn begin(&mut self, out: &mut Vec<Effect>) {
        match self.place.before() {
            Some(peer) => out.push(Effect::SendToProcess { peer, message: Message::Ready {} }),
            None => {
                out.push(Effect::SetAccepting { on: true });
                out.push(Effect::SetTakeoverListener { open: true });
                self.refresh_metadata(out);
                self.step_membership(MembershipEvent::Activate, out);
            }
        }
    }

    pub(super) fn placed(&mut self, heard: Heard, out: &mut Vec<Effect>) {
        let mut acts = Vec::new();
        self.place.step(heard, &mut acts);
        for act in acts {
            match act {
                Act::Tell { peer, message } => out.push(Effect::SendToProcess { peer, message }),
                Act::Part { peer } => out.push(Effect::DisconnectProcess { peer }),
                Act::Wait { peer } => {
                    out.push(Effect::StartTimer { after: PATIENCE, alarm: Timer::HandoverOffer(peer) });
                }
                Act::Yield { peer } => self.yield_to(peer, out),
                Act::Return => {
                    note("the new process died, and this one takes connections again", out);
                    self.turn(Sign::Return, out);
                    out.push(Effect::SetStoreOwnership { on: true });
                    self.step_membership(MembershipEvent::Activate, out);
                    out.push(Effect::SetTakeoverListener { open: true });
                }
                Act::Take(state) => self.take_over(state, out),
                Act::GiveUp(why) => out.push(Effect::Abort { why }),
                Act::Shares { connections, sessions } => {
                    self.shared = (connections as usize, sessions);
                    if connections == 0 {
                        self.their_marks.clear();
                    }
                }
                Act::Listed(list) => self.heard_from_before(&list, out),
                Act::Note(what) => note(what, out),
            }
        }
    }

    /// One step: from here on the other process takes what comes, and knows what this one knew.
    fn yield_to(&mut self, peer: Peer, out: &mut Vec<Effect>) {
        let state = Box::new(self.state());
        self.held = (state.connections, state.open.len() as u32);
        note("another process has this one's place", out);
        out.push(Effect::SetTakeoverListener { open: false });
        self.turn(Sign::Yield, out);
        // One process speaks for the relay: this one is still before the other can begin.
        self.step_membership(MembershipEvent::Deactivate, out);
        self.stop_voter();
        out.push(Effect::SetStoreOwnership { on: false });
        out.push(Effect::SendToProcess { peer, message: Message::Yours(state) });
        let open: Vec<SessId> = self.sessions.keys().copied().collect();
        open.into_iter().for_each(|sess| self.pass_on(sess, out));
        self.holding(out);
    }

    /// A session that is open passes to the process that has the place; a drain moves it from here.
    pub(super) fn pass_on(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(peer) = self.place.after().filter(|_| self.draining().is_none()) else { return };
        let Some(s) = self.sessions.get_mut(&sess).filter(|s| s.stage == Stage::Pass) else { return };
        let Some(told) = s.server.and_then(|id| self.servers.get(&id)).map(|v| &v.told) else { return };
        let session = Session {
            mark: s.id,
            listener: s.listener.to_string(),
            server: told.id.clone(),
            key: s.asked.key,
            group: s.asked.group,
            returned: s.asked.returned,
            ..Session::default()
        };
        s.stage = Stage::Passing;
        out.push(Effect::HandOverSession { sess, peer, session: Box::new(session) });
    }

    /// The other process could not take it: it is this one's still, and moves where this one leaves.
    pub(super) fn stays(&mut self, sess: SessId) {
        if let Some(s) = self.sessions.get_mut(&sess).filter(|s| s.stage == Stage::Passing) {
            s.stage = Stage::Pass;
        }
    }

    /// A session of the process before this one, in the middle of its life: it counts as open there before.
    pub(super) fn inherited(&mut self, sess: SessId, session: Session, out: &mut Vec<Effect>) {
        let listeners = &self.node.site.listeners;
        // Its listener may be dropped here by now: nothing of an open session depends on its place.
        let listener = listeners.iter().position(|name| *name == session.listener).unwrap_or(0);
        let (key, group, returned) = (session.key, session.group, session.returned);
        let asked = Asked { listener, key, group, returned, left: 0 };
        let server = self.ids.get(&session.server).copied();
        let s = Sess {
            id: session.mark,
            listener: session.listener.as_str().into(),
            asked,
            stage: Stage::Pass,
            server,
            dials: 1,
            due: self.now,
            told: None,
            standing: false,
        };
        self.their_marks.remove(&session.mark);
        self.marks.insert(session.mark);
        self.sessions.insert(sess, s);
        self.shared = (self.shared.0.saturating_sub(1), self.shared.1.saturating_sub(1));
        out.push(Effect::StartProxying { sess });
        // At a server that the list no longer names it lives on, and the module need not know.
        if let Some(server) = server {
            self.tell(Input::AlreadyOpen { sess, server, asked }, out);
        }
        // Its place may be another's by now.
        self.pass_on(sess, out);
    }

    fn state(&self) -> State {
        let (step, memory) = self.module.memory(self.now);
        let server = |m: Memory| {
            let told = &self.servers.get(&m.server)?.told;
            let figure = |x: Option<f64>| x.unwrap_or(0.0);
            let report = m.report.map(|(ago, r)| (ago, figure(r.load), figure(r.piled), figure(r.held)));
            let (name, misses, placed, turn) = (told.id.clone(), m.misses, m.placed, m.turn);
            Some(Server { name, report, misses, placed, turn })
        };
        let listed = self.servers.values().map(|v| &v.told).filter(|told| told.phase != Phase::Gone);
        State {
            list: self.generation.map(|generation| list::encode(generation, true, listed)),
            servers: memory.into_iter().filter_map(server).collect(),
            step,
            draining: self.draining().map(|since| self.now - since),
            open: self.sessions.values().map(|s| s.id).collect(),
            connections: (self.sessions.len() + self.aside.len()) as u32,
            fleet: self.membership.as_ref().map(Membership::snapshot),
            shut: self
                .coordination
                .as_ref()
                .map(|c| (c.excluded.index, c.excluded.ids.iter().cloned().collect())),
        }
    }

    fn take_over(&mut self, state: Option<Box<State>>, out: &mut Vec<Effect>) {
        let Some(state) = state else {
            note("the process before this one died as it was to be replaced", out);
            self.turn(Sign::Take, out);
            out.push(Effect::SetStoreOwnership { on: true });
            self.step_membership(MembershipEvent::Activate, out);
            return out.push(Effect::SetTakeoverListener { open: true });
        };
        note("this process has the place of the one before it", out);
        // The watch of this process may have heard more by now; and a list that can't be read stops nothing.
        if let Some(told) = state.list.and_then(|told| list::parse(told.to_string().as_bytes()).ok()) {
            if self.generation.is_none_or(|own| own < told.generation) {
                self.list(List { whole: true, ..told }, out);
            }
        }
        let memory = |m: Server| {
            let report = m.report.map(|(ago, load, piled, held)| {
                (ago, Report { load: Some(load), piled: Some(piled), held: Some(held) })
            });
            let (&server, misses, placed, turn) = (self.ids.get(&m.name)?, m.misses, m.placed, m.turn);
            Some(Memory { server, report, misses, placed, turn })
        };
        let servers = state.servers.into_iter().filter_map(memory).collect();
        self.tell(Input::Remember { step: state.step, servers }, out);
        if let (Some(membership), Some(snapshot)) = (&mut self.membership, &state.fleet) {
            membership.restore(self.now, snapshot);
        }
        if let Some((index, shut)) = state.shut {
            self.exclude_backends(index, shut.into_iter().collect(), out);
        }
        self.their_marks = state.open.into_iter().collect();
        match state.draining {
            None => _ = self.turn(Sign::Take, out),
            Some(ago) => {
                self.turn(Sign::TakeDrained, out);
                self.since = self.now.saturating_sub(ago);
            }
        }
        out.push(Effect::SetStoreOwnership { on: true });
        self.step_membership(MembershipEvent::Activate, out);
        out.push(Effect::SetTakeoverListener { open: true });
    }

    /// What discovery told this process the one after it knows too: its own watch may not speak.
    pub(super) fn tell_successor(&mut self, list: &List, out: &mut Vec<Effect>) {
        if self.place.after().is_some() {
            let list = list::encode(list.generation, list.whole, list.instances.iter());
            self.placed(Heard::Listed { list }, out);
        }
    }

    /// What discovery told the process before this one. Till discovery has spoken to this one it holds like
    /// its own word; then only what shuts servers does, as far as it is newer.
    fn heard_from_before(&mut self, told: &serde_json::Value, out: &mut Vec<Effect>) {
        let Ok(mut list) = list::parse(told.to_string().as_bytes()) else { return };
        if self.generation.is_some_and(|own| own >= list.generation) {
            return;
        }
        if self.spoken.is_some() {
            list.instances.retain(|one| one.phase != Phase::Ready);
            list.whole = false;
        }
        self.keep_list(&list, out);
        self.tell_successor(&list, out);
        self.list(list, out);
    }

    /// Tells the process after this one what is still held here, as it falls.
    pub(super) fn holding(&mut self, out: &mut Vec<Effect>) {
        // Often enough for places to pass on before clients come again for them.
        const BEAT: Micros = 100_000;
        if self.place.has() {
            return;
        }
        let sessions = self.sessions.len() as u32;
        let holds = (sessions + self.aside.len() as u32, sessions);
        if std::mem::replace(&mut self.held, holds) != holds {
            self.placed(Heard::Holds { connections: holds.0, sessions: holds.1 }, out);
        }
        out.push(Effect::StartTimer { after: BEAT, alarm: Timer::HandoverProgress });
    }
}
