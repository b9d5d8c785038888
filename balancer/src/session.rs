//! The state machine of a session: its states, events and the table that is read for each event.

use super::*;
use {Action::*, Event::*, State::*};

/// Where a session stands; `Weighed` lasts only within a step.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum State { #[default] Weighed, Held, Dialling, Open, Moving, Closed }

/// What happened to a session, as an input or as the result of weighing it.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event { Place, Wait, Reject, Abort, Reconsider, Established, DialFailed, Ended, Rebalance }

#[rustfmt::skip]
#[derive(Clone, Copy)]
enum Action { Weigh, Dial, Hold, Refuse, TearDown, Move, Nothing }

/// State, event, next state, action. What is not listed changes nothing.
const TABLE: &[(State, Event, State, Action)] = &[
    (Weighed, Reconsider, Weighed, Weigh),
    (Weighed, Place, Dialling, Dial),
    (Weighed, Wait, Held, Hold),
    (Weighed, Reject, Closed, Refuse),
    (Weighed, Abort, Closed, TearDown),
    (Held, Reconsider, Weighed, Weigh),
    (Held, Ended, Closed, Nothing),
    (Dialling, Established, Open, Nothing),
    (Dialling, DialFailed, Weighed, Weigh),
    (Dialling, Ended, Closed, Nothing),
    (Open, Ended, Closed, Nothing),
    (Open, Rebalance, Moving, Move),
    (Moving, Ended, Closed, Nothing),
];

/// What a session may do: as its listener was when it came, whatever the site's facts are by now.
#[derive(Default)]
pub(super) struct Rule {
    pub(super) listener: Listener,
    pub(super) most_dials: u32,
}

/// One session, from its request to its end.
#[derive(Default)]
pub(super) struct Session {
    pub(super) request: Asked,
    pub(super) rule: Rc<Rule>,
    pub(super) in_storm: bool, // of a reconnect storm beyond what cold servers sustain
    pub(super) hash_key: u64,  // ranks its pool: its group, or chance
    pub(super) deadline: Micros,
    pub(super) state: State,
    pub(super) server: ServerId,
    pub(super) dials: u32,
    pub(super) dialled_at: Micros,
    pub(super) tried: Vec<ServerId>,
    pub(super) may_have_run: Option<(Micros, u8, u16)>, // the first dial that may have run, and where
    pub(super) awaited_probes: Vec<ServerId>,           // servers whose reports it waits for
    pub(super) probe_deadline: Micros, // half of the handshake target, which leaves time to dial
    pub(super) weight: f64,            // its load over the mean, as far as known
}

impl Relay {
    /// Takes up a session, under its listener's rules as they are now.
    pub(super) fn admit(&mut self, sess: SessId, mut s: Session) {
        s.rule = self.rules[s.request.listener.min(self.rules.len() - 1)].clone();
        let target = s.rule.listener.handshake_target;
        s.deadline = self.now + s.request.left;
        s.probe_deadline = self.now + target.min(s.request.left) / 2;
        s.request.group *= u64::from(self.site.groups);
        (s.weight, s.hash_key) = (1.0, if s.request.group != 0 { s.request.group } else { self.rng.draw() });
        // Each session pays for some probes, a returned one for half; eight rounds of the fleet can be saved.
        const SPEND: f64 = 0.008; // the part of the result that they may cost
        let each = (SPEND / self.site.price_probe.max(1e-6)).min(4.0 * POOL as f64);
        let paid = each * if s.request.returned { 0.5 } else { 1.0 };
        self.reconnects.add(self.now, f64::from(s.request.returned && s.state != Open));
        s.in_storm = s.request.returned && self.in_reconnect_storm();
        self.arrivals.add(self.now, !s.in_storm && s.state != State::Open);
        self.probe_credit = (self.probe_credit + paid).min(8.0 * self.servers.len().max(POOL) as f64);
        self.sessions.insert(sess, s);
    }

    /// Whether this is the session's last dial.
    pub(super) fn is_last_dial(&self, sess: SessId, dial: u32) -> bool {
        self.sessions.get(&sess).is_some_and(|s| s.dials == dial + 1)
    }

    /// The loop that reads the table: each event leads to an action, which may find the next event.
    pub(super) fn advance(&mut self, sess: SessId, event: Event, out: &mut Vec<Effect>) {
        let booked = |state| matches!(state, Dialling | Open | Moving);
        let mut next = Some(event);
        while let Some(event) = next.take() {
            let Some(s) = self.sessions.get_mut(&sess) else { return };
            let row = TABLE.iter().find(|row| (row.0, row.1) == (s.state, event));
            let Some(&(from, _, to, act)) = row else { return };
            s.state = to;
            if booked(from) && !booked(to) {
                self.book(sess, -1);
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
            if to == Closed {
                self.sessions.remove(&sess);
            }
        }
    }

    fn dial(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        (s.dials, s.dialled_at, s.weight) = (s.dials + 1, self.now, 1.0);
        s.tried.push(s.server);
        let (server, remaining, listener) = (s.server, s.deadline - self.now, &s.rule.listener);
        // A dial gets its handshake target, doubled with each dial; the last one all that is left.
        let last = s.dials >= s.rule.most_dials || listener.repeat != Repeat::Repeatable;
        let wait = if last { remaining } else { remaining.min(listener.handshake_target << s.dials.min(8)) };
        let window = match (s.may_have_run, listener.repeat) {
            (Some((since, ..)), Repeat::Referenced { window, .. }) => Some(since + window - self.now),
            _ => None,
        };
        out.push(Effect::Dial { sess, server, wait, window });
        self.book(sess, 1);
        self.last_dial = self.now;
        let v = self.servers.get_mut(&server).expect("the pool names what is listed");
        v.next_slot = (self.now, 1.0);
        v.flow.dials.add(self.now, 1.0);
    }

    fn hold(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        let (after, servers) = (s.probe_deadline - self.now, s.awaited_probes.clone());
        out.push(Effect::Alarm { after, label: HELD });
        self.held_sessions.push(sess);
        servers.into_iter().for_each(|server| self.probe(server, out));
    }

    /// Weighs the held sessions again that have all reports they wait for, or have waited long enough.
    pub(super) fn reconsider_held(&mut self, answered: Option<ServerId>, out: &mut Vec<Effect>) {
        let mut go = Vec::new();
        self.held_sessions.retain(|&sess| {
            let Some(s) = self.sessions.get_mut(&sess) else { return false };
            s.awaited_probes.retain(|w| Some(*w) != answered);
            let done = s.awaited_probes.is_empty() || self.now >= s.probe_deadline;
            go.extend(done.then_some(sess));
            !done
        });
        go.into_iter().for_each(|sess| self.advance(sess, Reconsider, out));
    }

    /// Notes the end of a session's dial, for its server and for where the session may go next.
    pub(super) fn dial_ended(&mut self, sess: SessId, end: DialEnd, report: Option<Report>) {
        if !matches!(end, DialEnd::Unconnected | DialEnd::Full | DialEnd::Moot) {
            self.count_dial(sess, end == DialEnd::Ok);
        }
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        let Some(v) = self.servers.get_mut(&s.server) else { return };
        let fault = f64::from(matches!(end, DialEnd::Error | DialEnd::Reset | DialEnd::Timeout));
        s.weight *= 1.0 - fault; // who was dropped comes again: its load is not gone
        match end {
            DialEnd::Unconnected => v.misses += 1,
            DialEnd::Full | DialEnd::Moot => {}
            _ => {
                s.may_have_run = s.may_have_run.or(Some((s.dialled_at, v.entry.zone, v.entry.cell)));
                v.flow.faults.add(self.now, fault);
            }
        }
        v.record_report(self.now, report);
    }
}
