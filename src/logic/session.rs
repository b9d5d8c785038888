//! The state machine of a session: its states, events and the table that is read for each event.

use super::*;
use {Act::*, Sign::*, State::*};

/// Where a session stands; `Weighed` lasts only within a step.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State { #[default] Weighed, Held, Dialling, Open, Leaving, Over }

/// What happened to a session, told from outside or found by weighing it.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign { Enter, Wait, Shut, Stuck, Room, Stands, Fell, Settled, Hot }

#[rustfmt::skip]
#[derive(Clone, Copy)]
enum Act { Weigh, Dial, Hold, Refuse, TearDown, Move, Nothing }

/// State, input, next state, effect. What is not listed changes nothing.
const TABLE: &[(State, Sign, State, Act)] = &[
    (Weighed, Room, Weighed, Weigh),
    (Weighed, Enter, Dialling, Dial),
    (Weighed, Wait, Held, Hold),
    (Weighed, Shut, Over, Refuse),
    (Weighed, Stuck, Over, TearDown),
    (Held, Room, Weighed, Weigh),
    (Held, Settled, Over, Nothing),
    (Dialling, Stands, Open, Nothing),
    (Dialling, Fell, Weighed, Weigh),
    (Dialling, Settled, Over, Nothing),
    (Open, Settled, Over, Nothing),
    (Open, Hot, Leaving, Move),
    (Leaving, Settled, Over, Nothing),
];

/// What a session may do: as its listener was when it came, whatever the site's facts are by now.
#[derive(Default)]
pub(super) struct Rule {
    pub(super) listener: Listener,
    pub(super) most_dials: u32,
}

/// One session, from its request to its end.
#[derive(Default)]
pub(super) struct Sess {
    pub(super) asked: Asked,
    pub(super) rule: Rc<Rule>,
    pub(super) herd: bool, // too many come back at once for cold servers to take their part
    pub(super) salt: u64,  // what its pool is ranked by: its group, or chance
    pub(super) due: Micros,
    pub(super) state: State,
    pub(super) server: ServerId,
    pub(super) dials: u32,
    pub(super) dialled: Micros,
    pub(super) tried: Vec<ServerId>,
    pub(super) ran: Option<(Micros, u8, u16)>, // the first dial that may have run, and where
    pub(super) waits: Vec<ServerId>,           // servers whose answers it waits for
    pub(super) wait_until: Micros,             // half of the handshake target, which leaves time to dial
    pub(super) weight: f64,                    // against the mean, as far as it was told
}

impl Relay {
    /// Takes up a session, under its listener's rules as they are now.
    pub(super) fn take(&mut self, sess: SessId, mut s: Sess) {
        s.rule = self.rules[s.asked.listener.min(self.rules.len() - 1)].clone();
        let target = s.rule.listener.handshake_target;
        (s.due, s.wait_until) = (self.now + s.asked.left, self.now + target.min(s.asked.left) / 2);
        s.asked.group *= u64::from(self.site.groups);
        (s.weight, s.salt) = (1.0, if s.asked.group != 0 { s.asked.group } else { self.rng.draw() });
        // Each session pays for some probes, a returned one for half; eight rounds of the fleet can be saved.
        const SPEND: f64 = 0.008; // the part of the result that they may cost
        let each = (SPEND / self.site.price_probe.max(1e-6)).min(4.0 * POOL as f64);
        let paid = each * if s.asked.returned { 0.5 } else { 1.0 };
        self.returns.add(self.now, f64::from(s.asked.returned && s.state != Open));
        s.herd = s.asked.returned && self.herd();
        self.credit = (self.credit + paid).min(8.0 * self.servers.len().max(POOL) as f64);
        self.sessions.insert(sess, s);
    }

    /// Whether this is the session's last dial.
    pub(super) fn current(&self, sess: SessId, dial: u32) -> bool {
        self.sessions.get(&sess).is_some_and(|s| s.dials == dial + 1)
    }

    /// The loop that reads the table: each sign leads to an effect, which may find the next sign.
    pub(super) fn play(&mut self, sess: SessId, sign: Sign, out: &mut Vec<Effect>) {
        let booked = |state| matches!(state, Dialling | Open | Leaving);
        let mut next = Some(sign);
        while let Some(sign) = next.take() {
            let Some(s) = self.sessions.get_mut(&sess) else { return };
            let row = TABLE.iter().find(|row| (row.0, row.1) == (s.state, sign));
            let Some(&(from, _, to, act)) = row else { return };
            s.state = to;
            if booked(from) && !booked(to) {
                self.count(sess, -1);
            }
            match act {
                Weigh => next = Some(self.weigh(sess)),
                Dial => self.dial(sess, out),
                Hold => self.hold(sess, out),
                Refuse => {
                    // By then reports are refreshed; spread, so that refused clients do not come as one.
                    let refreshed = SECOND / 2 + self.rng.below(SECOND);
                    let retry_after = refreshed.min(self.site.retry_after.unwrap_or(0));
                    out.push(Effect::Refuse { sess, retry_after });
                }
                TearDown => out.push(Effect::TearDown { sess }),
                Move => out.push(Effect::Move { sess }),
                Nothing => {}
            }
            if to == Over {
                self.sessions.remove(&sess);
            }
        }
    }

    fn dial(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        (s.dials, s.dialled, s.weight) = (s.dials + 1, self.now, 1.0);
        s.tried.push(s.server);
        let (server, left, listener) = (s.server, s.due - self.now, &s.rule.listener);
        // A dial gets its handshake target, doubled with each dial; the last one all that is left.
        let last = s.dials >= s.rule.most_dials || listener.repeat != Repeat::Repeatable;
        let wait = if last { left } else { left.min(listener.handshake_target << s.dials.min(8)) };
        let window = match (s.ran, listener.repeat) {
            (Some((since, ..)), Repeat::Referenced { window, .. }) => Some(since + window - self.now),
            _ => None,
        };
        out.push(Effect::Dial { sess, server, wait, window });
        self.count(sess, 1);
        let v = self.servers.get_mut(&server).expect("the pool names what is listed");
        v.turn = (self.now, 1.0);
        v.flow.dials.add(self.now, 1.0);
    }

    fn hold(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        let (after, waits) = (s.wait_until - self.now, s.waits.clone());
        out.push(Effect::Alarm { after, label: HELD });
        self.held.push(sess);
        waits.into_iter().for_each(|server| self.probe(server, out));
    }

    /// Weighs again the held sessions that have all answers they wait for, or have waited long enough.
    pub(super) fn room(&mut self, heard: Option<ServerId>, out: &mut Vec<Effect>) {
        let mut go = Vec::new();
        self.held.retain(|&sess| {
            let Some(s) = self.sessions.get_mut(&sess) else { return false };
            s.waits.retain(|w| Some(*w) != heard);
            let done = s.waits.is_empty() || self.now >= s.wait_until;
            go.extend(done.then_some(sess));
            !done
        });
        go.into_iter().for_each(|sess| self.play(sess, Room, out));
    }

    /// Notes the end of a session's dial, for its server and for where the session may go next.
    pub(super) fn dial_ended(&mut self, sess: SessId, end: DialEnd, report: Option<Report>) {
        if !matches!(end, DialEnd::Unconnected | DialEnd::Full | DialEnd::Moot) {
            self.dialled(sess, end == DialEnd::Ok);
        }
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        let Some(v) = self.servers.get_mut(&s.server) else { return };
        let fault = f64::from(matches!(end, DialEnd::Error | DialEnd::Reset | DialEnd::Timeout));
        s.weight *= 1.0 - fault; // who was dropped comes again: its load is not gone
        match end {
            DialEnd::Unconnected => v.misses += 1,
            DialEnd::Full | DialEnd::Moot => {}
            _ => {
                s.ran = s.ran.or(Some((s.dialled, v.entry.zone, v.entry.cell)));
                v.flow.faults.add(self.now, fault);
            }
        }
        v.hear(self.now, report);
    }
}
