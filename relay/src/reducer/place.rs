//! The process before this one and the one after it at the same address: what is said to them, what is handed
//! over, and what is shared till the old one is gone. The states stand in the package `handover`.
use super::duty::Sign;
use super::{Alarm, Effect, Reducer};
use hallrelay::types::{Input, Memory, Micros, Phase, Report};
use hallrelay_config::list::{self, List};
use hallrelay_handover::place::{Act, Event as Heard, Peer, PATIENCE};
use hallrelay_handover::{Message, Open, Server, State};

impl Reducer {
    /// The process has its place from the start, or tells the one before it that it could take over.
    pub(super) fn begin(&mut self, out: &mut Vec<Effect>) {
        if self.place.has() {
            out.push(Effect::Accept { on: true });
            out.push(Effect::Door { open: true });
        }
    }

    /// Said once all is there that this process needs: its second address, its configuration, its list.
    pub fn could_take_over(&mut self, before: Peer, out: &mut Vec<Effect>) {
        out.push(Effect::Tell { peer: before, message: Message::Ready {} });
    }

    pub(super) fn placed(&mut self, heard: Heard, out: &mut Vec<Effect>) {
        let mut acts = Vec::new();
        self.place.step(heard, &mut acts);
        for act in acts {
            match act {
                Act::Tell { peer, message } => out.push(Effect::Tell { peer, message }),
                Act::Part { peer } => out.push(Effect::Part { peer }),
                Act::Wait { peer } => {
                    out.push(Effect::Alarm { after: PATIENCE, alarm: Alarm::Offered(peer) });
                }
                Act::Yield { peer } => self.yield_to(peer, out),
                Act::Return => {
                    self.note("the new process died, and this one takes connections again", out);
                    self.turn(Sign::Return, out);
                    out.push(Effect::Door { open: true });
                }
                Act::Take(state) => self.take_over(state, out),
                Act::GiveUp(why) => out.push(Effect::GiveUp { why }),
                Act::Shares { connections, sessions } => {
                    self.shared = (connections as usize, sessions);
                    if connections == 0 {
                        self.their_marks.clear();
                    }
                }
                Act::Note(what) => self.note(&what, out),
            }
        }
    }

    fn note(&self, what: &str, out: &mut Vec<Effect>) {
        out.push(Effect::Note { what: what.to_string() });
    }

    /// One step: from here on the other process takes what comes, and knows what this one knew.
    fn yield_to(&mut self, peer: Peer, out: &mut Vec<Effect>) {
        let state = Box::new(self.state());
        self.held = (state.connections, state.open.len() as u32);
        self.note("another process has this one's place", out);
        out.push(Effect::Door { open: false });
        self.turn(Sign::Yield, out);
        out.push(Effect::Tell { peer, message: Message::Yours(state) });
        self.holding(out);
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
            open: self.sessions.values().map(|s| Open { mark: s.id }).collect(),
            connections: (self.sessions.len() + self.aside.len()) as u32,
        }
    }

    fn take_over(&mut self, state: Option<Box<State>>, out: &mut Vec<Effect>) {
        let Some(state) = state else {
            self.note("the process before this one died as it was to be replaced", out);
            self.turn(Sign::Take, out);
            return out.push(Effect::Door { open: true });
        };
        self.note("this process has the place of the one before it", out);
        // The watch of this process may have heard more by now; and a list that can't be read is no reason to stop.
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
        self.their_marks = state.open.iter().map(|open| open.mark).collect();
        match state.draining {
            None => _ = self.turn(Sign::Take, out),
            Some(ago) => {
                self.turn(Sign::TakeDrained, out);
                self.since = self.now.saturating_sub(ago);
            }
        }
        out.push(Effect::Door { open: true });
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
        out.push(Effect::Alarm { after: BEAT, alarm: Alarm::Holding });
    }
}
