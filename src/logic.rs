//! All decisions of a relay, for one instance. How to call it: make a `Relay` from its site facts and
//! seed, then hand `step` every input in order of arrival with the clock of its batch; carry out the
//! effects it appends, in order. Inputs, effects and site facts are defined in `types.rs`; the design
//! page is `docs/design.md`. Nothing here reads a clock, and instances share nothing.

use crate::tools::{mix, Chance, Ring};
use crate::types::*;
use std::collections::BTreeMap;
use {Act::*, Sign::*, State::*};

/// Where a session stands; `Weighed` lasts only within a step.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State { #[default] Weighed, Held, Dialling, Open, Leaving, Over }

/// What happened to a session, told from outside or found by weighing it.
#[rustfmt::skip]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign { Enter, Wait, Shut, Stuck, Room, Stands, Fell, Settled, Hot }

#[rustfmt::skip]
#[derive(Clone, Copy)]
enum Act { Weigh, Dial, Hold, Refuse, TearDown, Move, Nothing }

/// State, input, next state, effect. What is not listed changes nothing: late and unknown inputs fall here.
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

const SECOND: Micros = 1_000_000;
/// Reports are refreshed and travel for about this long before an answer carries them. Tried 0.5 to 2 s.
const LAG: Micros = SECOND;

#[derive(Default)]
struct Server {
    entry: Entry,
    listed: bool,
    load: f64,
    piled: f64,
    heard: Option<Micros>,
    /// Seconds that a message took there, and when this was told.
    delay: (f64, Micros),
    /// Probes and connects in a row without an answer, and since when.
    misses: u32,
    dark_since: Micros,
    /// When a restart was last seen, by the list or by a silence that ended; 0 is long ago.
    restarted: Micros,
    cold_next: Micros,
    asked: Micros,
    relieved: Micros,
    own: u32,
    net: Ring,
    dials: Ring,
    faults: Ring,
}

#[derive(Default)]
struct Sess {
    asked: Asked,
    due: Micros,
    state: State,
    server: ServerId,
    dials: u32,
    dialled: Micros,
    tried: Vec<ServerId>,
    /// The first dial that may have run, and where.
    ran: Option<(Micros, u8, u16)>,
    held_until: Option<Micros>,
    dropped: bool,
    load: f64,
}

/// The fleet as HEU sees it, and one session's mean part of a server.
#[derive(Default)]
struct Gauge {
    c: f64,
    x_busy: f64,
    x_cong: f64,
    step: f64,
}

#[derive(Default)]
pub struct Relay {
    site: SiteFacts,
    rng: Chance,
    now: Micros,
    started: Option<Micros>,
    servers: BTreeMap<ServerId, Server>,
    sessions: BTreeMap<SessId, Sess>,
    held: Vec<SessId>,
    groups: BTreeMap<(ServerId, u64), u32>, // own open sessions of a group at a server
    /// Loads of sessions that were cut off or moved, by the key with which they come again.
    away: BTreeMap<u64, f64>,
    mean_load: f64,
    n: u32,
    asks: Ring,
    watch_fails: u32,
}

const PROBE: u32 = 0;
const WATCH: u32 = 1;
const HELD: u32 = 2;

impl Relay {
    pub fn new(site: SiteFacts, seed: u64) -> Relay {
        Relay { site, rng: Chance::new(seed), ..Relay::default() }
    }

    pub fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Effect>) {
        self.now = now;
        if self.started.is_none() {
            self.started = Some(now);
            out.extend(self.site.must_watch.then_some(Effect::Watch));
            out.extend(self.site.may_probe.then_some(Effect::Alarm { after: 1, label: PROBE }));
        }
        match input {
            Input::List { kind, entries } => self.list(kind, entries, out),
            Input::Asked { sess, asked } => {
                self.asks.add(now, f64::from(u8::from(!asked.returned)));
                self.take(sess, Sess { asked, ..Sess::default() });
                self.play(sess, Room, out);
            }
            Input::AlreadyOpen { sess, server, asked } => {
                self.take(sess, Sess { asked, server, state: Open, dials: 1, ..Sess::default() });
                self.count(sess, 1);
            }
            Input::Stands { sess, dial } if self.current(sess, dial) => {
                self.play(sess, Stands, out);
                self.room(out);
            }
            Input::DialEnded { sess, dial, end, settled, report } if self.current(sess, dial) => {
                self.dial_ended(sess, end, report);
                self.play(sess, if settled { Settled } else { Fell }, out);
            }
            Input::Load { sess, load } => {
                if let Some(s) = self.sessions.get_mut(&sess) {
                    s.load = load;
                    // A running mean over some fifty notes, to tell a heavy session from a light one.
                    self.mean_load += (load - self.mean_load) * if self.mean_load > 0.0 { 0.02 } else { 1.0 };
                }
            }
            Input::Delay { sess, delay } => {
                let server = self.sessions.get(&sess).and_then(|s| self.servers.get_mut(&s.server));
                server.into_iter().for_each(|v| v.delay = (delay, now));
            }
            Input::Left { sess } => self.play(sess, Settled, out),
            Input::Probed { server, end, report } => self.probed(server, end, report, out),
            Input::Alarm { label: PROBE } => self.beat(out),
            Input::Alarm { label: WATCH } => out.push(Effect::Watch),
            Input::Alarm { .. } => self.room(out),
            Input::Stands { .. } | Input::DialEnded { .. } => {} // of a dial or a session that is over
        }
    }

    fn take(&mut self, sess: SessId, mut s: Sess) {
        s.due = self.now + s.asked.left;
        s.load = self.away.remove(&s.asked.key).unwrap_or(0.0);
        s.asked.listener = s.asked.listener.min(self.site.listeners.len() - 1);
        self.sessions.insert(sess, s);
    }

    fn current(&self, sess: SessId, dial: u32) -> bool {
        self.sessions.get(&sess).is_some_and(|s| s.dials == dial + 1)
    }

    fn since_start(&self) -> Micros {
        self.now - self.started.unwrap_or(self.now)
    }

    /// How heavy a session is against the mean, as far as it was told.
    fn weight(&self, s: &Sess) -> f64 {
        (if s.load > 0.0 && self.mean_load > 0.0 { s.load / self.mean_load } else { 1.0 }).clamp(0.3, 3.0)
    }

    /// The loop that reads the table: each sign leads to an effect, which may find the next sign.
    fn play(&mut self, sess: SessId, sign: Sign, out: &mut Vec<Effect>) {
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
                    let news = SECOND / 2 + self.rng.below(SECOND);
                    let retry_after = self.site.retry_after.map_or(0, |most| news.min(most));
                    out.push(Effect::Refuse { sess, retry_after });
                }
                TearDown => out.push(Effect::TearDown { sess }),
                Move => out.push(Effect::Move { sess }),
                Nothing => {}
            }
            if to == Over {
                let s = self.sessions.remove(&sess).expect("played above");
                if s.load > 0.0 && (from == Leaving || s.dropped) {
                    // They come again at once or never: a full table holds the latter, and is emptied.
                    if self.away.len() >= 1000 {
                        self.away.clear();
                    }
                    self.away.insert(s.asked.key, s.load);
                }
            }
        }
    }

    /// Books a session on its server, or off it: from the dial on, so that what is under way counts.
    fn count(&mut self, sess: SessId, by: i32) {
        let s = &self.sessions[&sess];
        let weight = self.weight(s);
        self.n = self.n.saturating_add_signed(by);
        if s.asked.group != 0 {
            let members = self.groups.entry((s.server, s.asked.group)).or_insert(0);
            *members = members.saturating_add_signed(by);
            if *members == 0 {
                self.groups.remove(&(s.server, s.asked.group));
            }
        }
        if let Some(v) = self.servers.get_mut(&s.server) {
            v.own = v.own.saturating_add_signed(by);
            // A quick dropper must not look the idler for each session that it drops.
            v.net.add(self.now, if s.dropped { 0.0 } else { f64::from(by) * weight });
        }
    }

    /// What a session may expect now: a dial, a short wait, or its final answer at once.
    fn weigh(&mut self, sess: SessId) -> Sign {
        let s = &self.sessions[&sess];
        // Rule 2: a refusal says that trying again is harmless, which is so only where nothing ran unknown.
        let refusable = match self.site.listeners[s.asked.listener].repeat {
            Repeat::Repeatable => true,
            Repeat::Referenced { within, .. } => s.ran.is_none() || within == Within::All,
            Repeat::OnceOnly => s.ran.is_none(),
        };
        let give_up = if refusable { Shut } else { Stuck };
        let waited = s.held_until.is_some_and(|until| self.now >= until);
        let g = self.gauge();
        if self.now >= s.due
            || s.dials >= self.site.most_dials
            || (s.dials == 0 && !self.admits(&s.asked, &g))
        {
            return give_up;
        }
        match self.place(sess, &g) {
            Some((tier, _)) if tier > 0 && !waited && self.servers.values().any(Server::unheard) => Wait,
            Some((_, server)) => {
                self.sessions.get_mut(&sess).expect("weighed above").server = server;
                Enter
            }
            None => give_up,
        }
    }

    /// HEU, as on the design page.
    fn admits(&self, asked: &Asked, g: &Gauge) -> bool {
        // Part of the fleet kept for high utility. Tried 0.15, 0.25, 0.35: alike but for the reading of C.
        const K_RESERVED: f64 = 0.15;
        let c_id = f64::from(self.site.max_open);
        let (t_servers, t_id) = (g.c * (1.0 - K_RESERVED), c_id * (1.0 - K_RESERVED));
        let (n, high) = (f64::from(self.n), self.high(asked));
        // With no server that answers there is nothing to test: placement finds what may still live.
        g.c == 0.0
            || (n < t_id && g.x_busy < t_servers - g.x_cong)
            || (high && n < c_id && g.x_busy < g.c - g.x_cong)
    }

    /// The set utility from which a listener counts as high: halfway, so that any two are told apart.
    fn high(&self, asked: &Asked) -> bool {
        let utilities = self.site.listeners.iter().map(|l| l.utility);
        let (low, top) = utilities.fold((f64::MAX, 0.0f64), |(a, b), u| (a.min(u), b.max(u)));
        self.site.listeners[asked.listener].utility >= (low + top) / 2.0
    }

    fn gauge(&self) -> Gauge {
        // How C is read: a server's part that can be filled before messages are late. Tried 0.7, 0.85, 1.
        const USABLE: f64 = 0.85;
        let mut g = Gauge::default();
        let answering = || self.servers.values().filter(|v| v.ready() && v.misses == 0 && v.heard.is_some());
        let probed: f64 = answering().map(|v| v.load.min(1.0)).sum();
        // Before anything is known a session counts as a fiftieth of a server.
        let open = f64::from(self.n * self.site.relays);
        g.step = if probed > 0.0 { (probed / open.max(1.0)).clamp(0.002, 0.05) } else { 0.02 };
        for v in answering() {
            g.c += USABLE;
            // What was let in since the answers counts too, or a thaw lets all who wait in at once.
            g.x_busy += self.load_now(v, &g).min(1.0);
            g.x_cong += f64::from(u8::from(self.congested(v)));
        }
        g
    }

    fn congested(&self, v: &Server) -> bool {
        // Half over the target: late messages, not one late moment.
        const ALPHA_CONG: f64 = 0.5;
        let target = self.site.listeners.iter().map(|l| l.message_target).min().unwrap_or(SECOND);
        // What drops sessions is no place for more, however idle each drop makes it look.
        self.piled(v) * 1e6 > target as f64 * (1.0 + ALPHA_CONG) || self.shunned(v)
    }

    /// The work piled up: as probed, or as a message of an open session felt it, which is told at once.
    fn piled(&self, v: &Server) -> f64 {
        // Told anew each second while it lasts.
        const TOLD: Micros = 2 * SECOND;
        v.piled.max(if self.now - v.delay.1 < TOLD { v.delay.0 } else { 0.0 })
    }

    /// The probed load, brought up to now by what this relay placed since, times the relays that do alike.
    fn load_now(&self, v: &Server, g: &Gauge) -> f64 {
        let age = self.now - v.heard.unwrap_or(self.now) + LAG;
        let since = v.net.sum(self.now, age) * f64::from(self.site.relays);
        let base = v.heard.map_or(f64::from(v.own * self.site.relays) * g.step, |_| v.load);
        (base + self.piled(v) + g.step * since).max(0.0)
    }

    /// The lowest load over capacity, told as what one more session there costs: the part of service that
    /// it loses itself and that others lose. A group's first session on a server weighs more; so does a
    /// crossing. Without groups and prices the order is that of load alone.
    fn cost(&self, v: &Server, asked: &Asked, load: f64) -> f64 {
        // How sharply service falls as a server fills: the messages that fit into their target.
        const SHARP: f64 = 6.0;
        // A group's cost on a server, in sessions.
        const GROUP: f64 = 4.0;
        let lost = (-SHARP * (1.0 - load)).exp();
        let grouped = self.site.groups && asked.group != 0;
        let first = grouped && !self.groups.contains_key(&(v.entry.server, asked.group));
        // Relays that share nothing meet at the same servers: those that a hash of both ids ranks first.
        let rank = mix(asked.group ^ (u64::from(v.entry.server) << 32)) as f64 / u64::MAX as f64;
        let weight = if first { 1.0 + GROUP * (0.5 + rank) } else { 1.0 };
        let crossing = if v.entry.zone == self.site.zone { 0.0 } else { self.site.price_crossing };
        lost + weight * load * SHARP * lost + crossing
    }

    /// 0: fresh, uncongested and trusted; 1: stale or congested; 2: tried or shunned; 3: silent.
    fn tier(&self, v: &Server, tried: &[ServerId]) -> u8 {
        // An answer serves for a few probe rounds; then it says nothing about now.
        const FRESH: Micros = 10 * SECOND;
        match v {
            _ if v.misses > 0 => 3,
            _ if tried.contains(&v.entry.server) || self.shunned(v) => 2,
            _ if self.congested(v) || v.heard.is_none_or(|t| self.now - t > FRESH) => 1,
            _ => 0,
        }
    }

    /// A quick dropper looks idle and would draw every pick: its faults over its dials tell it apart.
    fn shunned(&self, v: &Server) -> bool {
        // Two faults in eight seconds, a quarter of the dials: chance errors are far rarer.
        const BACK: Micros = 8 * SECOND;
        v.faults.sum(self.now, BACK) >= (0.25 * v.dials.sum(self.now, BACK)).max(2.0)
    }

    fn place(&mut self, sess: SessId, g: &Gauge) -> Option<(u8, ServerId)> {
        let s = &self.sessions[&sess];
        let repeat = self.site.listeners[s.asked.listener].repeat;
        let open = |v: &&Server| self.now >= self.cold_until(v) || self.now >= v.cold_next;
        let mut rng = self.rng;
        let may = self.servers.values().filter(|v| v.ready() && legal(repeat, s, &v.entry, self.now));
        let ranked = may.filter(open).map(|v| {
            let cost = self.cost(v, &s.asked, self.load_now(v, g));
            (self.tier(v, &s.tried), cost, rng.draw(), v.entry.server)
        });
        let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        self.rng = rng;
        best.map(|(tier, _, _, server)| (tier, server))
    }

    fn cold_until(&self, v: &Server) -> Micros {
        v.came_up() + self.site.cold * u64::from(v.came_up() > 0)
    }

    /// Rule 4: this relay's part of a cold server's budget, as the time until it may send again.
    fn cold_pause(&self, v: &Server, g: &Gauge) -> Micros {
        let age = self.now.saturating_sub(v.came_up()) as f64;
        let warmth = self.site.cold_from + (1.0 - self.site.cold_from) * age / self.site.cold.max(1) as f64;
        // What a server holds when full, taken in over a whole warm-up: this relay's part of that rate.
        let rate = f64::from(self.n) / g.x_busy.max(0.1) / self.site.cold.max(1) as f64;
        (1.0 / (self.site.fall_multiple * warmth * rate).max(1e-9)) as Micros
    }

    fn dial(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let g = self.gauge();
        let s = self.sessions.get_mut(&sess).expect("the table plays a session that is there");
        (s.dials, s.dialled) = (s.dials + 1, self.now);
        s.tried.push(s.server);
        let (server, left, listener) = (s.server, s.due - self.now, &self.site.listeners[s.asked.listener]);
        // A dial gets its handshake target, doubled with each dial; the last one all that is left.
        let last = s.dials >= self.site.most_dials || listener.repeat != Repeat::Repeatable;
        let wait = if last { left } else { left.min(listener.handshake_target << s.dials.min(8)) };
        out.push(Effect::Dial { sess, server, wait });
        self.count(sess, 1);
        let next = self.now + self.cold_pause(&self.servers[&server], &g);
        let v = self.servers.get_mut(&server).expect("just read");
        v.cold_next = next;
        v.dials.add(self.now, 1.0);
    }

    fn hold(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let s = self.sessions.get_mut(&sess).expect("the table plays a session that is there");
        if s.held_until.is_none() {
            // A wait for first answers and no longer: half of the handshake target leaves time to dial.
            let after = self.site.listeners[s.asked.listener].handshake_target.min(s.due - self.now) / 2;
            s.held_until = Some(self.now + after);
            out.push(Effect::Alarm { after, label: HELD });
        }
        self.held.push(sess);
    }

    fn room(&mut self, out: &mut Vec<Effect>) {
        for sess in std::mem::take(&mut self.held) {
            self.play(sess, Room, out);
        }
    }

    fn dial_ended(&mut self, sess: SessId, end: DialEnd, report: Option<Report>) {
        let s = self.sessions.get_mut(&sess).expect("checked by the caller");
        let Some(v) = self.servers.get_mut(&s.server) else { return };
        s.dropped = matches!(end, DialEnd::Error | DialEnd::Reset | DialEnd::Timeout);
        match end {
            DialEnd::Unconnected => v.miss(self.now),
            DialEnd::Full | DialEnd::Moot => {}
            _ => {
                s.ran = s.ran.or(Some((s.dialled, v.entry.zone, v.entry.cell)));
                v.faults.add(self.now, f64::from(u8::from(s.dropped)));
            }
        }
        v.hear(self.now, report);
    }

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Effect>) {
        if kind == ListKind::Broken {
            // Ask again, more and more slowly, spread over the relays: the list is one service for all.
            self.watch_fails = (self.watch_fails + 1).min(3);
            let after = (SECOND << self.watch_fails) / 2 + self.rng.below(SECOND);
            return out.push(Effect::Alarm { after, label: WATCH });
        }
        self.watch_fails = 0;
        if kind == ListKind::Full {
            self.servers.values_mut().for_each(|v| v.listed = false);
        }
        // A server that has just started takes least: the relays begin there one by one, each in its window.
        let first_turn = self.now + self.site.fall * u64::from(self.site.slot);
        for entry in entries {
            let v = self.servers.entry(entry.server).or_default();
            if entry.came_up > v.entry.came_up {
                (v.load, v.piled) = (0.0, 0.0);
                v.cold_next = first_turn;
            }
            (v.entry, v.listed) = (entry, true);
            if v.unheard() && self.site.may_probe {
                out.push(Effect::Probe { server: entry.server });
            }
        }
        // What is gone is forgotten with its last session, or a long life would gather all there ever were.
        self.servers.retain(|_, v| v.own > 0 || (v.listed && v.entry.phase != Phase::Gone));
    }

    /// One probe, and the time of the next: spread evenly over the round, as often as their price allows.
    fn beat(&mut self, out: &mut Vec<Effect>) {
        // Probes may cost this part of the result; beyond it fresher answers earn less than they cost.
        const SPEND: f64 = 0.008;
        let ready = self.servers.values().filter(|v| v.ready()).count().max(1) as f64;
        let back = self.since_start().clamp(5 * SECOND, 8 * SECOND);
        let rate = (self.asks.sum(self.now, back) / (back as f64 / 1e6)).max(0.5);
        let longest = if self.since_start() < 3 * SECOND { 1.0 } else { 8.0 };
        let round = ready * self.site.price_probe / (rate * SPEND);
        // Reports are not refreshed much faster than twice a second; past eight seconds they say little.
        let after = (round.clamp(0.5, longest) / ready * 1e6) as Micros;
        out.push(Effect::Alarm { after, label: PROBE });
        // The longest unasked first; a congested server's answer ages three times as fast: it bars the door.
        let age = |v: &Server| (self.now - v.asked) * if self.congested(v) { 3 } else { 1 };
        let next = self.servers.values().filter(|v| v.ready()).max_by_key(|v| age(v));
        if let Some(server) = next.map(|v| v.entry.server) {
            self.servers.get_mut(&server).expect("just read").asked = self.now;
            out.push(Effect::Probe { server });
        }
    }

    fn probed(&mut self, server: ServerId, end: DialEnd, report: Option<Report>, out: &mut Vec<Effect>) {
        let first_turn = self.now + self.site.fall * u64::from(self.site.slot);
        let Some(v) = self.servers.get_mut(&server) else { return };
        match end {
            DialEnd::Ok => {}
            DialEnd::Full => return, // too many probes at once: it lives, and nothing else is learnt
            _ => return v.miss(self.now),
        }
        // A silence of more than a moment that ends is taken for a restart, which the list tells late. Who
        // comes back with its load was only cut off and is as warm as before: a restart drops all of it.
        const SILENCE: Micros = 2 * SECOND;
        let load = report.and_then(|r| r.load).unwrap_or(0.0);
        if v.misses > 1 && self.now - v.dark_since > SILENCE && load < 0.3 * v.load {
            (v.restarted, v.cold_next) = (self.now, first_turn);
        }
        v.misses = 0;
        v.hear(self.now, report);
        self.relieve(server, out);
        self.room(out);
    }

    /// Sessions on a server that fills up go where they lose less; each probe answer moves a few.
    fn relieve(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        // Below this load nothing is gained by a move.
        const FULL: f64 = 0.75;
        // What a move must gain beyond its price: gap, set-up, and the doubt about old answers.
        const DOUBT: f64 = 0.15;
        let (g, v) = (self.gauge(), &self.servers[&server]);
        let load = self.load_now(v, &g);
        if load < FULL || !v.ready() || self.now - v.relieved < LAG {
            return; // what was moved does not show yet
        }
        // Guards a slow-down that all share: no server is better, on a congested one no message is in time,
        // so some are cut off, low utility first, for the rest to be well, and come back to the thresholds.
        let shed = load > 1.0 && self.congested(v) && g.x_cong > g.c / 2.0;
        let open = self.sessions.iter().filter(|(_, s)| s.server == server && s.state == Open);
        let mut mine: Vec<(SessId, f64)> = open.map(|(&id, s)| (id, self.weight(s))).collect();
        mine.sort_by(|a, b| b.1.total_cmp(&a.1));
        mine.sort_by_key(|m| shed && self.high(&self.sessions[&m.0].asked));
        let part = load / mine.iter().map(|m| m.1).sum::<f64>().max(1.0) / f64::from(self.site.relays);
        // This relay's part of the way down to the others' mean, half of it where they can take more.
        let mean = (g.x_busy / g.c.max(1.0)).min(FULL);
        let mut excess = (load - mean) / f64::from(self.site.relays) * if shed { 1.0 } else { 0.5 };
        for (sess, weight) in mine {
            let asked = &self.sessions[&sess].asked;
            let here = self.cost(&self.servers[&server], asked, load.min(1.2));
            let usable = |v: &&Server| v.ready() && self.now >= self.cold_until(v) && self.tier(v, &[]) == 0;
            let others = self.servers.values().filter(usable);
            let costs = others.map(|v| self.cost(v, asked, self.load_now(v, &g) + g.step * weight));
            let gain = here - costs.fold(f64::INFINITY, f64::min);
            if weight * part <= excess && (shed || gain > self.site.price_move + DOUBT) {
                excess -= weight * part;
                self.play(sess, Hot, out);
                self.servers.get_mut(&server).expect("just read").relieved = self.now;
            }
        }
    }
}

impl Server {
    fn ready(&self) -> bool {
        self.listed && self.entry.phase == Phase::Ready
    }

    fn unheard(&self) -> bool {
        self.ready() && self.heard.is_none() && self.misses == 0
    }

    fn miss(&mut self, now: Micros) {
        (self.dark_since, self.misses) =
            (if self.misses > 0 { self.dark_since } else { now }, self.misses + 1);
    }

    fn hear(&mut self, now: Micros, report: Option<Report>) {
        if let Some((r, load)) = report.and_then(|r| Some((r, r.load?))) {
            self.heard = Some(now);
            (self.load, self.piled) = (load, r.piled.unwrap_or(0.0));
        }
    }

    fn came_up(&self) -> Micros {
        self.entry.came_up.max(self.restarted)
    }
}

/// Rule 2: whether a session may be dialled at a server, after what may have run already.
fn legal(repeat: Repeat, s: &Sess, at: &Entry, now: Micros) -> bool {
    match (repeat, s.ran) {
        (Repeat::Repeatable, _) | (_, None) => true,
        (Repeat::OnceOnly, Some(_)) => false,
        (Repeat::Referenced { within, window }, Some((since, zone, cell))) => {
            now < since + window
                && match within {
                    Within::All => true,
                    Within::Zone => zone == at.zone,
                    Within::Cell => cell == at.cell,
                }
        }
    }
}
