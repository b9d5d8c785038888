//! Sessions and connections that are none: from the first line to the end.
use super::{Delay, Effect, Reducer, Sess, Stage, Timer};
use crate::lines::SessionRequest;
use hallrelay_balancer::types::{AdmissionRequest, DialEnd, Input, LoadReport, Micros, SessId};
use std::rc::Rc;

/// Between two dials of a standing connection: often enough within the time that these have, seldom enough
/// for a full backend.
const STANDING_AGAIN: Micros = 200_000;

/// The program's own answer after so many dials: a refusal where nothing was sent, else a failure.
pub(super) fn owed(sess: SessId, dials: u32) -> Effect {
    match dials {
        0 => Effect::Reject { sess, retry_after: 0 },
        _ => Effect::TearDown { sess },
    }
}

impl Reducer {
    pub(super) fn current(&self, sess: SessId, dial: u32) -> bool {
        self.sessions.get(&sess).is_some_and(|s| s.stage == Stage::Dial && s.dials == dial + 1)
    }

    pub(super) fn passing(&self, sess: SessId) -> bool {
        self.sessions.get(&sess).is_some_and(|s| s.stage == Stage::Pass)
    }

    /// Guards clients against crowds that connect and say nothing, or stop half way: where there is no place
    /// left, the oldest connection that has said nothing gives up its own; then who has paused longest.
    pub(super) fn came(&mut self, conn: SessId, out: &mut Vec<Effect>) {
        self.aside.push_back((conn, false));
        if self.predecessor_remaining.connections as usize + self.sessions.len() + self.aside.len()
            > self.node.limits.clients
        {
            let at = self.aside.iter().position(|one| !one.1 && one.0 != conn).unwrap_or(0);
            out.extend(self.aside.remove(at).map(|(conn, _)| Effect::ShedConnection { conn }));
        }
    }

    /// Who makes progress is kept before who does not.
    pub(super) fn stirred(&mut self, conn: SessId) {
        if let Some(at) = self.aside.iter().position(|one| one.0 == conn) {
            self.aside.remove(at);
            self.aside.push_back((conn, true));
        }
    }

    /// What is not of the protocol is never served, also where a dial is out for it.
    pub(super) fn odd(&mut self, conn: SessId, out: &mut Vec<Effect>) {
        self.pings.retain(|ping| *ping != conn);
        out.push(Effect::ReportProtocolError { conn });
        self.left(conn, out);
    }

    /// A session ends by its client's doing; the module knows it, unless it still waits to stand again.
    pub(super) fn left(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.over(sess) else { return };
        self.figures.of_listener(&s.listener).abandoned += u64::from(s.stage.waits());
        if !s.standing {
            self.tell(Input::SessionEnded { session: sess }, out);
        }
    }

    /// Its client has ended its sending before it was answered. It may have left, so nothing is sent on for
    /// it; it may read on, so the answer that it is owed goes out: a refusal where nothing was sent, else a
    /// failure.
    pub(super) fn departed(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get(&sess) else { return };
        out.push(owed(sess, s.dials));
        self.left(sess, out);
    }

    /// A session is over; its connection goes on for as long as its last line takes.
    pub(super) fn over(&mut self, sess: SessId) -> Option<Sess> {
        let s = self.sessions.remove(&sess)?;
        self.marks.remove(&s.id);
        self.aside.push_back((sess, false));
        Some(s)
    }

    pub(super) fn opened(&mut self, sess: SessId, open: SessionRequest, left: Micros, out: &mut Vec<Effect>) {
        let listener = self.node.site.listeners.iter().position(|name| *name == open.listener);
        // Guards the open session whose mark another client sends, and times that no client would wait.
        // (A connection that stood before may name a time of its own, which counts for nothing here.)
        let timely = open.at.is_some() || left <= self.node.limits.wait;
        let marked = self.marks.contains(&open.id) || self.predecessor_session_ids.contains(&open.id);
        let fit = timely && !marked;
        let Some(listener) = listener.filter(|_| fit) else { return self.odd(sess, out) };
        self.aside.retain(|one| one.0 != sess);
        // Who asked before and goes on without an answer is a client now.
        self.pings.retain(|ping| *ping != sess);
        let most = self.node.site.dial_timeouts[listener];
        let asked = AdmissionRequest {
            listener,
            key: open.key,
            group: open.group,
            returned: open.returned,
            time_remaining: left.min(most),
        };
        let standing = open.at.is_some();
        let left = if standing { left.min(self.node.limits.standing) } else { asked.time_remaining };
        let due = self.now + left;
        let s = Sess {
            id: open.id,
            listener: Rc::from(open.listener),
            asked,
            stage: Stage::Admit,
            server: None,
            dials: 0,
            due,
            told: None,
            standing,
        };
        self.figures.of_listener(&s.listener).taken += 1;
        self.marks.insert(s.id);
        self.sessions.insert(sess, s);
        // The limit is on both processes of the relay together.
        let remaining = self.predecessor_remaining.sessions;
        let full = remaining > 0 && self.sessions.len() as u32 + remaining > self.node.limits.sessions;
        if full || !self.accepts_sessions() || self.is_past_stop_deadline() {
            return self.answer(sess, Effect::Reject { sess, retry_after: 0 }, out);
        }
        out.push(Effect::StartTimer { after: left, alarm: Timer::AnswerDeadline(sess) });
        match open.at {
            None => self.tell(Input::SessionRequested { session: sess, request: asked }, out),
            Some(name) => match self.ids.get(&name) {
                Some(&server) => {
                    self.sessions.entry(sess).and_modify(|s| s.server = Some(server));
                    self.again(sess, out);
                }
                None => self.answer(sess, Effect::TearDown { sess }, out),
            },
        }
    }

    /// The final answer, or none where the client's time was up long ago: rule 1, for a relay that stood
    /// still.
    pub(super) fn answer(&mut self, sess: SessId, answer: Effect, out: &mut Vec<Effect>) {
        let Some(s) = self.over(sess) else { return };
        let figures = self.figures.of_listener(&s.listener);
        // Up to then a client takes an answer still, though it earns nothing; no answer would lose the
        // session.
        let late = self.now > s.due + self.node.limits.answer_late;
        match answer {
            Effect::Reject { .. } if !late => figures.dropped += 1,
            _ => figures.failed += 1,
        }
        out.push(if late { Effect::CloseClient { sess } } else { answer });
    }

    /// Dials the backend of a standing connection.
    pub(super) fn again(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&sess).filter(|s| s.stage == Stage::Admit) else { return };
        let Some(addr) = s.server.and_then(|id| self.servers.get(&id)).map(|v| v.told.addr) else {
            return self.answer(sess, Effect::TearDown { sess }, out);
        };
        (s.stage, s.dials) = (Stage::Dial, s.dials + 1);
        let (dial, wait, begin) = (s.dials - 1, s.due - self.now, self.node.limits.connect);
        out.push(Effect::Dial { sess, dial, server: None, addr, wait, begin });
    }

    /// The time of a session is up without an answer.
    pub(super) fn lapse(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        self.give_up(sess, Effect::TearDown { sess }, out);
    }

    /// The program's own answer to a session that waits; the module knows it, unless it is to stand again.
    pub(super) fn give_up(&mut self, sess: SessId, answer: Effect, out: &mut Vec<Effect>) {
        let theirs = self.sessions.get(&sess).is_some_and(|s| !s.standing);
        self.answer(sess, answer, out);
        if theirs {
            self.tell(Input::SessionEnded { session: sess }, out);
        }
    }

    pub(super) fn up(&mut self, sess: SessId, dial: u32, out: &mut Vec<Effect>) {
        let late = self.now.saturating_sub(self.node.limits.answer_margin);
        let Some(s) = self.sessions.get_mut(&sess).filter(|s| s.due >= late) else {
            // The client's time is up: its backend's answer goes nowhere.
            return self.lapse(sess, out);
        };
        s.stage = Stage::Pass;
        let server = s.server;
        self.observe_contact(server, DialEnd::Ok, out);
        self.count_outcome(server, DialEnd::Ok);
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        self.figures.of_listener(&s.listener).passed += 1;
        out.push(Effect::StartProxying { sess });
        match (std::mem::take(&mut s.standing), s.server) {
            (true, Some(server)) => {
                s.dials = 1; // the module counts the dial that it never asked for as the first
                let asked = s.asked;
                self.tell(Input::SessionAdopted { session: sess, server, request: asked }, out);
            }
            _ => self.tell(Input::SessionEstablished { session: sess, dial }, out),
        }
        self.hand_over_session(sess, out);
    }

    pub(super) fn dial_ended(
        &mut self,
        sess: SessId,
        dial: u32,
        end: DialEnd,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        s.stage = Stage::Admit;
        if s.standing {
            return out
                .push(Effect::StartTimer { after: STANDING_AGAIN, alarm: Timer::RedialPreExisting(sess) });
        }
        let server = s.server;
        // Served to its end at once: its last line is its answer.
        let settled = end == DialEnd::Ok;
        if settled {
            self.figures.of_listener(&s.listener).passed += 1;
            self.over(sess);
        }
        self.observe_contact(server, end, out);
        self.count_outcome(server, end);
        self.tell(Input::DialEnded { session: sess, dial, end, settled, report }, out);
    }

    /// A dial that this machine could not begin is none: it is decided anew, as long as the session waits.
    pub(super) fn not_begun(&mut self, sess: SessId, dial: u32, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        s.stage = Stage::Admit;
        if s.standing {
            return out
                .push(Effect::StartTimer { after: STANDING_AGAIN, alarm: Timer::RedialPreExisting(sess) });
        }
        s.dials -= 1;
        self.tell(Input::DialNotStarted { session: sess, dial }, out);
    }

    /// A figure that a backend told. Backends that tell message delays use the same word for them, so a slow
    /// one would pass for one with light sessions. A delay, in milliseconds, comes each second on one
    /// connection, a load at odd times. Of 87 figures a second apart, to 10 ms, 84 were so to the
    /// millisecond, and they read as delays where reports had work piled up.
    pub(super) fn load(&mut self, sess: SessId, load: f64, out: &mut Vec<Effect>) {
        const BEAT: Micros = 1_000_000;
        // A busy relay reads a little late; wider, changes of load would come between.
        const OFF: Micros = 5_000;
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        let before = s.told.replace(self.now);
        let beat = before.is_some_and(|then| (self.now - then).abs_diff(BEAT) <= OFF);
        // A message that takes longer than the silence counts as lost, not as late.
        let delay = load / 1e3;
        let longest = self.node.limits.silence as f64 / 1e6;
        let input = if self.node.site.tells_delay && beat && delay <= longest {
            Input::MessageDelay { session: sess, delay }
        } else {
            Input::SessionLoad { session: sess, load }
        };
        self.tell(input, out);
    }

    /// Tells the module as a server's messages grow slow, once a second, and once more when that is over.
    pub(super) fn took(&mut self, sess: SessId, time: Micros, out: &mut Vec<Effect>) {
        const SECOND: Micros = 1_000_000;
        let Some(v) = self.sessions[&sess].server.and_then(|id| self.servers.get_mut(&id)) else { return };
        // Below a third of what the keenest listener wants nobody feels it.
        let targets = self.node.site.facts.listeners.iter().map(|l| l.message_target);
        let over = time > targets.min().unwrap_or(SECOND) / 3;
        let news = v.delay.told.is_none_or(|then| self.now >= then + SECOND);
        if !news || (!over && !v.delay.over) {
            return;
        }
        v.delay = Delay { told: Some(self.now), over };
        self.tell(Input::MessageDelay { session: sess, delay: time as f64 / 1e6 }, out);
    }

    pub(super) fn move_on(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&sess).filter(|s| s.stage == Stage::Pass) else { return };
        s.stage = Stage::Moving;
        out.push(Effect::Migrate { sess });
    }
}
