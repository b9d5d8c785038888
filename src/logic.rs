//! All decisions of a relay, for one instance. Make a `Relay` from its site facts and seed, hand `step` every
//! input in order of arrival with the clock of its batch, and carry out the effects it appends, in order. For
//! these see `types.rs`, for the design `docs/design.md`. Nothing here reads a clock or is shared.

mod memory;

use crate::tools::{mix, Chance, Flow, Least, Ring};
use crate::types::*;
use std::collections::BTreeMap;
use std::rc::Rc;
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

const SECOND: Micros = 1_000_000;
/// Kept for high utility; tried 0.25, 0.35: alike but for how C is read.
const K_RESERVED: f64 = 0.15;
/// Below this load a server has room for all, and nothing is gained by a move.
const FULL: f64 = 0.75;
/// A group's cost on a server, in sessions. Tried 2 and 8.
const GROUP: f64 = 4.0;
/// Servers compared for a session: enough to miss what is full, few enough to be asked. Tried 3, 4 and 6.
const POOL: usize = 3;
/// Reports are refreshed and travel for about this long before an answer carries them. Tried 0.5 to 2 s.
const LAG: Micros = SECOND;

#[derive(Default)]
struct Server {
    entry: Entry,
    load: f64,
    piled: f64,
    held: f64, // sessions of all relays there; 0 where this is not told
    heard: Option<Micros>,
    delay: (f64, Micros), // seconds that a message took there, and when this was told
    misses: u32,          // probes and connects in a row without an answer
    /// From when this relay's part of the cold budget runs, and what part of a pause its next turn takes.
    turn: (Micros, f64),
    asked: Micros,
    awaited: bool,
    relieved: Micros,
    flow: Flow,
}

/// What a session may do: as its listener was when it came, whatever the site's facts are by now.
#[derive(Default)]
struct Rule {
    listener: Listener,
    most_dials: u32,
}

#[derive(Default)]
struct Sess {
    asked: Asked,
    rule: Rc<Rule>,
    herd: bool, // too many come back at once for cold servers to take their part
    salt: u64,  // what its pool is ranked by: its group, or chance
    due: Micros,
    state: State,
    server: ServerId,
    dials: u32,
    dialled: Micros,
    tried: Vec<ServerId>,
    ran: Option<(Micros, u8, u16)>, // the first dial that may have run, and where
    /// Servers whose answers it waits for, and until when: half of the handshake target leaves time to dial.
    waits: Vec<ServerId>,
    wait_until: Micros,
    weight: f64, // against the mean, as far as it was told
}

/// The fleet as HEU sees it, a server's mean load, one session's part of it, and how many relays do alike.
#[derive(Clone, Copy, Default)]
struct Gauge {
    c: f64,
    x_busy: f64,
    x_cong: f64,
    mean: f64,
    step: f64,
    alike: f64,
    age: Micros, // of the answers, in the mean
    until: Micros,
}

#[derive(Default)]
pub struct Relay {
    site: SiteFacts,
    rules: Vec<Rc<Rule>>, // a row for each listener, shared by its sessions
    rng: Chance,
    now: Micros,
    started: bool,
    servers: BTreeMap<ServerId, Server>,
    sessions: BTreeMap<SessId, Sess>,
    held: Vec<SessId>,
    groups: BTreeMap<(ServerId, u64), u32>, // own open sessions of a group at a server
    mean_load: f64,
    n: u32,
    net: Ring,
    lost: Ring,    // sessions that left here and have not come again
    returns: Ring, // sessions that came back from anywhere
    dials: Ring,   // that servers took up, and those throttled
    accepts: Ring, // of these, in time
    /// Piled-up work, in seconds, over which a server is congested.
    bar: f64,
    gauge: Gauge,
    credit: f64, // probes that are paid for and not yet sent
    watch_fails: u32,
    watched: Micros, // when the list was last asked for
}

const PROBE: u32 = 0;
const WATCH: u32 = 1;
const HELD: u32 = 2;

impl Relay {
    pub fn new(site: SiteFacts, seed: u64) -> Relay {
        // Before anything is known a session counts as a fiftieth of a server.
        let gauge = Gauge { step: 0.02, ..Gauge::default() };
        let mut relay = Relay { rng: Chance::new(seed), gauge, ..Relay::default() };
        relay.facts(site);
        relay
    }

    fn facts(&mut self, site: SiteFacts) {
        const ALPHA_CONG: f64 = 0.0; // the target itself: tried 0, 0.5 and 1.5, the earliest was best
        let target = site.listeners.iter().map(|l| l.message_target).min().unwrap_or(SECOND) as f64 / 1e6;
        let rule = |listener: &Listener| Rule { listener: listener.clone(), most_dials: site.most_dials };
        self.rules = site.listeners.iter().map(|listener| Rc::new(rule(listener))).collect();
        (self.bar, self.site, self.gauge.until) = (target * (1.0 + ALPHA_CONG), site, self.now);
    }

    pub fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Effect>) {
        self.now = now;
        if !std::mem::replace(&mut self.started, true) {
            out.extend(self.site.must_watch.then_some(Effect::Watch));
            out.extend(self.site.may_probe.then_some(Effect::Alarm { after: 1, label: PROBE }));
        }
        match input {
            Input::List { kind, entries } => self.list(kind, entries, out),
            Input::Facts(site) => {
                let probes = site.may_probe && !self.site.may_probe;
                self.facts(*site);
                out.extend(probes.then_some(Effect::Alarm { after: 1, label: PROBE }));
            }
            Input::Remember { step, servers } => self.remember(step, servers),
            Input::Asked { sess, asked } => {
                self.take(sess, Sess { asked, ..Sess::default() });
                self.play(sess, Room, out);
            }
            Input::AlreadyOpen { sess, server, asked } => {
                self.take(sess, Sess { asked, server, state: Open, dials: 1, ..Sess::default() });
                self.count(sess, 1);
            }
            Input::Stands { sess, .. } => {
                self.dialled(sess, true);
                self.play(sess, Stands, out);
            }
            Input::DialEnded { sess, dial, end, settled, report } if self.current(sess, dial) => {
                self.dial_ended(sess, end, report);
                self.play(sess, if settled { Settled } else { Fell }, out);
            }
            Input::Load { sess, load } => {
                // A running mean over some fifty notes, to tell a heavy session from a light one.
                self.mean_load += (load - self.mean_load) * if self.mean_load > 0.0 { 0.02 } else { 1.0 };
                let weight = (load / self.mean_load.max(1e-9)).clamp(0.3, 3.0);
                self.sessions.entry(sess).and_modify(|s| s.weight = weight);
            }
            Input::Delay { sess, delay } => {
                let Some(server) = self.sessions.get(&sess).map(|s| s.server) else { return };
                let Some(v) = self.servers.get_mut(&server) else { return };
                v.delay = (delay, now);
                self.relieve(server, out);
            }
            Input::Left { sess } => self.play(sess, Settled, out),
            Input::Probed { server, end, report } => self.probed(server, end, report, out),
            Input::Alarm { label: PROBE } => self.beat(out),
            Input::Alarm { label: WATCH } => {
                self.watched = now;
                out.push(Effect::Watch);
            }
            Input::Alarm { .. } => self.room(None, out),
            _ => {} // of a dial or a session that is over
        }
    }

    /// Whether a session is sent to a server now only where there is no other.
    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        let Some(v) = self.servers.get(&server) else { return true };
        !v.entry.ready() || v.misses > 0 || v.flow.faulty(now, 2.0, 0.25)
    }

    fn take(&mut self, sess: SessId, mut s: Sess) {
        s.rule = self.rules[s.asked.listener.min(self.rules.len() - 1)].clone();
        let target = s.rule.listener.handshake_target;
        (s.due, s.wait_until) = (self.now + s.asked.left, self.now + target.min(s.asked.left) / 2);
        s.asked.group *= u64::from(self.site.groups);
        (s.weight, s.salt) = (1.0, if s.asked.group != 0 { s.asked.group } else { self.rng.draw() });
        // Each session pays for some probes, a returned one for half; eight rounds of the fleet can be saved.
        // They may cost this part of the result; beyond it fresher answers earn less than they cost.
        const SPEND: f64 = 0.008;
        let each = (SPEND / self.site.price_probe.max(1e-6)).min(4.0 * POOL as f64);
        let paid = each * if s.asked.returned { 0.5 } else { 1.0 };
        self.returns.add(self.now, f64::from(s.asked.returned && s.state != Open));
        s.herd = s.asked.returned && self.herd();
        self.credit = (self.credit + paid).min(8.0 * self.servers.len().max(POOL) as f64);
        self.sessions.insert(sess, s);
    }

    fn current(&self, sess: SessId, dial: u32) -> bool {
        self.sessions.get(&sess).is_some_and(|s| s.dials == dial + 1)
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
                    let retry_after = news.min(self.site.retry_after.unwrap_or(0));
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

    /// Books a session on its server, or off it: from the dial on, so that what is under way counts.
    fn count(&mut self, sess: SessId, by: i32) {
        let s = &self.sessions[&sess];
        // What was open before stands in the reports already.
        let weight = if by > 0 && s.state == Open { 0.0 } else { s.weight };
        let (change, key) = (f64::from(by) * weight, (s.server, s.asked.group));
        self.n = self.n.saturating_add_signed(by);
        // Guards a relay beside one that stops: who comes back and was not here has only changed relays, and
        // its load is in the reports. Up to a fifth it may be chance (tried 0, which opens a full fleet).
        let back = by > 0 && s.asked.returned;
        let moved = back && self.lost.sum(self.now, 8 * SECOND) < -0.2 * f64::from(self.n);
        self.lost.add(self.now, f64::from(-by * i32::from(by < 0 || back && !moved)));
        let news = if moved { 0.0 } else { change };
        self.net.add(self.now, news);
        self.gauge.x_busy += news * self.gauge.alike * self.gauge.step;
        let members = self.groups.entry(key).or_insert(0);
        *members = members.saturating_add_signed(by);
        if *members == 0 || key.1 == 0 {
            self.groups.remove(&key);
        }
        if let Some(v) = self.servers.get_mut(&key.0) {
            v.flow.net.add(self.now, change);
        }
    }

    /// What a session may expect now: a dial, a short wait, or its final answer at once.
    fn weigh(&mut self, sess: SessId) -> Sign {
        let g = self.gauge();
        let s = &self.sessions[&sess];
        // Rule 2: a refusal says that trying again is harmless, which is so only where nothing ran unknown.
        let repeat = s.rule.listener.repeat;
        let known = matches!(repeat, Repeat::Repeatable | Repeat::Referenced { within: Within::All, .. });
        let give_up = if known || s.ran.is_none() { Shut } else { Stuck };
        let over = self.now >= s.due || s.dials >= s.rule.most_dials;
        let shut = s.dials == 0 && !self.admits(s, &g);
        // Guards relays of few sessions, which would refuse by the answers of long ago, and ask for none.
        let stale = g.age > 2 * LAG && self.now < s.wait_until;
        let pool_for = |only_turns| if over { vec![] } else { self.pool(s, &g, only_turns) };
        let pool = pool_for(shut && !stale);
        // A wait for answers younger than the last change, where probes are paid for.
        let asks = |v: &Server| v.misses == 0 && v.heard.is_none_or(|t| self.now - t > LAG);
        let paid = |v: &Server| self.site.may_probe && (v.awaited || self.credit >= 1.0);
        let mut waits = pool.clone();
        waits.retain(|id| asks(&self.servers[id]) && paid(&self.servers[id]));
        if !waits.is_empty() && self.now < s.wait_until {
            self.sessions.entry(sess).and_modify(|s| s.waits = waits);
            return Wait;
        }
        let pool = if shut && stale { pool_for(true) } else { pool };
        let costs = pool.iter().enumerate().map(|(i, id)| {
            let v = &self.servers[id];
            (self.tier(v, &s.tried), self.cost(v, s, self.load_now(v, &g), i, 0), *id)
        });
        let best = costs.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some((.., server)) = best else { return give_up };
        let high = self.high(s);
        if give_up == Shut && self.throttled(high) {
            return give_up;
        }
        self.sessions.entry(sess).and_modify(|s| s.server = server);
        Enter
    }

    /// HEU, as on the design page.
    fn admits(&self, s: &Sess, g: &Gauge) -> bool {
        let (n, c_id, high) = (f64::from(self.n), f64::from(self.site.max_open), self.high(s));
        let (t_servers, t_id) = (g.c * (1.0 - K_RESERVED), c_id * (1.0 - K_RESERVED));
        // With no server that answers there is nothing to test: placement finds what may still live.
        g.c == 0.0
            || (n < t_id && g.x_busy < t_servers - g.x_cong)
            || (high && n < c_id && g.x_busy < g.c - g.x_cong)
    }

    /// The set utility from which a listener counts as high: halfway, so that any two are told apart.
    fn high(&self, s: &Sess) -> bool {
        let utilities = self.site.listeners.iter().map(|l| l.utility);
        let (low, top) = utilities.fold((f64::MAX, 0.0f64), |(a, b), u| (a.min(u), b.max(u)));
        s.rule.listener.utility >= (low + top) / 2.0
    }

    /// Read from the servers with fresh answers, as a sample of all that are ready and not silent.
    fn gauge(&mut self) -> Gauge {
        const USABLE: f64 = 0.85; // how C is read: what fills before messages are late; tried 0.7, 0.85, 1
        const FEW: u32 = 16; // own sessions, of which chance is a quarter; with more these are steadier
        const PRIOR: f64 = 8.0; // sessions that the last figure counts for, beside those that servers hold
        const ROOM: f64 = 0.6; // a load that leaves the others room for a late one's; always and never tried
                               // Read again with each answer; in between, what is let in is booked at once.
        if self.now < self.gauge.until {
            return self.gauge;
        }
        let (mut all, mut own, mut held, mut sums) = (0.0, 0.0, 0.0, [0.0; 6]);
        for v in self.servers.values().filter(|v| v.entry.ready() && v.misses == 0) {
            let warmth = self.warmth(v);
            all += warmth;
            // Guards relays of few sessions: a server known by a late message alone is no sample of others. And
            // relays that may not probe: only a dial tells them more, so old answers can't go on refusing it.
            let counts = |t: &Micros| self.site.may_probe || self.now - t <= 3 * LAG;
            let Some(heard) = v.heard.filter(counts) else {
                own += warmth * f64::from(self.piled(v) > self.bar);
                continue;
            };
            let (age, cong) = (self.now - heard, self.tier(v, &[]) > 0);
            let full = (v.load + self.piled(v)).min(1.0);
            let one = [1.0, full, v.load, f64::from(cong), age as f64, full * f64::from(cong)];
            sums.iter_mut().zip(one).for_each(|(sum, x)| *sum += x * warmth);
            held += v.held;
        }
        let [k, load, asked, cong, age, late] = sums;
        // Guards a fleet that one late server closes: x_cong holds its load while the others have room.
        let room = f64::from(load - late < ROOM * (k - cong));
        let load = load - late * room * (1.0 - cong / k.max(1e-9));
        // All relays do alike, but the fewer its sessions the more is a relay's own change mere chance.
        let alike = f64::from(self.site.relays) * f64::from(self.n) / (f64::from(self.n) + 8.0);
        let mut g = Gauge { until: self.now + SECOND / 4, step: self.gauge.step, alike, ..Gauge::default() };
        if k > 0.0 {
            (g.c, g.mean, g.x_cong) = (USABLE * all, load / k, cong / k * (all - own) + own);
            g.age = (age / k) as Micros;
            // Guards relays of few sessions each, whose own are no good sample: servers tell what they hold.
            // Else a running mean over seconds: in dial storms or on emptied servers a moment's is useless.
            let open = f64::from(self.n) * f64::from(self.site.relays);
            let step = (asked / k * all / open.max(1.0)).clamp(0.002, 0.05);
            g.step = match held > 0.0 && self.n < FEW {
                true => ((asked + PRIOR * g.step) / (held + PRIOR)).clamp(0.002, 0.05),
                false => g.step + (step - g.step) * if self.gauge.c > 0.0 { 0.08 } else { 1.0 },
            };
            // What was let in since the answers counts too, or a thaw lets all who wait in at once.
            let since = self.net.sum(self.now, g.age + LAG);
            g.x_busy = (g.mean * (all - own) + own + since * alike * g.step).max(0.0);
        }
        self.gauge = g;
        g
    }

    /// The work piled up, as probed or as a message of an open session felt it; it counts while it is news.
    fn piled(&self, v: &Server) -> f64 {
        let news = |then: Micros| f64::from(self.now - then < 2 * SECOND); // delays are told anew each second
        (v.piled * v.heard.map_or(0.0, news)).max(v.delay.0 * news(v.delay.1))
    }

    /// The probed load, or the mean where none was heard, with what was placed since, times who does alike.
    fn load_now(&self, v: &Server, g: &Gauge) -> f64 {
        // On one server all do alike still less: no more than four, tried 2 and 8.
        let since = v.flow.net.sum(self.now, v.heard.map_or(0, |t| self.now - t) + LAG);
        // Unheard since its start, it has filled as it warmed, at most.
        let told = v.heard.map_or_else(|| g.mean * self.warmth(v), |_| v.load);
        let base = told + self.piled(v) + g.step * since * g.alike.min(4.0);
        base.max(f64::from(self.piled(v) > self.bar)) // where messages are late all is taken
    }

    /// The servers that a session may go to, best first: by tier, then whether they are full or across a
    /// priced crossing, then by rank. Each server that holds any of a group pays for it (`GROUP`), so a group
    /// keeps to its ranks, which all relays share: not to its relays' zones, beyond `FULL` by that payment,
    /// and on few of the servers that warm up, each of which would else pay for one with every session.
    /// Past the thresholds, only those that have just started and have room, where it is this relay's turn:
    /// that is room of its own, which others can't use, and a turn not taken is lost to the fleet.
    fn pool(&self, s: &Sess, g: &Gauge, only_turns: bool) -> Vec<ServerId> {
        let grouped = s.asked.group != 0;
        let full_from = FULL + if grouped { GROUP * g.step } else { 0.0 };
        let cold_pool = if grouped { self.cold_pool(s) } else { vec![] };
        let mut best = Least::new(POOL);
        for v in self.servers.values().filter(|v| v.entry.ready()) {
            let far = v.entry.zone != self.site.zone && self.site.price_crossing > 0.0 && !grouped;
            let rank = s.rank(v);
            // Most servers rank too low at their best, and cost no more than that.
            let fits = || !only_turns || self.rare_turn(v, s, g);
            let group_fits = || !grouped || self.warmth(v) >= 1.0 || cold_pool.contains(&v.entry.server);
            let may = || self.legal(s, &v.entry) && self.cold_open(v, s, g) && fits() && group_fits();
            if best.takes(&(0, false, far, rank, v.entry.server)) && may() {
                let full = self.load_now(v, g) >= full_from;
                best.add((self.tier(v, &s.tried), full, far, rank, v.entry.server));
            }
        }
        best.into_iter().map(|b| b.4).collect()
    }

    /// The cold servers that a session's group ranks first.
    fn cold_pool(&self, s: &Sess) -> Vec<ServerId> {
        let mut best = Least::new(POOL);
        let cold = self.servers.values().filter(|v| v.entry.ready() && self.warmth(v) < 1.0);
        cold.for_each(|v| best.add((s.rank(v), v.entry.server)));
        best.into_iter().map(|b| b.1).collect()
    }

    /// Rule 2: whether a session may be dialled at a server, after what may have run already.
    fn legal(&self, s: &Sess, at: &Entry) -> bool {
        let Some((since, zone, cell)) = s.ran else { return true };
        match s.rule.listener.repeat {
            Repeat::Repeatable => true,
            Repeat::OnceOnly => false,
            Repeat::Referenced { within, window } => {
                let near = (within != Within::Zone || zone == at.zone)
                    && (within != Within::Cell || cell == at.cell);
                near && self.now < since + window
            }
        }
    }

    /// Load over capacity, told as what one more session costs: the service that it and others lose, a
    /// crossing, and a group's cost, the likelier the later in the pool, but not beside others of its own.
    fn cost(&self, v: &Server, s: &Sess, load: f64, place: usize, itself: u32) -> f64 {
        const SHARP: f64 = 6.0; // how service falls as a server fills: messages that fit into their target
        let others = self.groups.get(&(v.entry.server, s.asked.group)).is_some_and(|&m| m > itself);
        let first = if others || s.asked.group == 0 { 0.0 } else { GROUP * place as f64 / POOL as f64 };
        let crossing = if v.entry.zone == self.site.zone { 0.0 } else { self.site.price_crossing };
        let lost = (-SHARP * (1.0 - load)).exp();
        lost + (1.0 + first) * load * SHARP * lost + crossing
    }

    /// 0: uncongested and trusted; 1: congested; 2: tried or dropping sessions; 3: silent. A quick dropper
    /// looks idle and would draw every pick: its faults tell it apart, two and a quarter of its dials.
    fn tier(&self, v: &Server, tried: &[ServerId]) -> u8 {
        match v.misses {
            0 if tried.contains(&v.entry.server) || v.flow.faulty(self.now, 2.0, 0.25) => 2,
            0 => u8::from(self.piled(v) > self.bar),
            _ => 3,
        }
    }

    /// The part of its capacity that a server surely has, so long after its start.
    fn warmth(&self, v: &Server) -> f64 {
        let age = self.now.saturating_sub(v.entry.came_up) as f64 / self.site.cold.max(1) as f64;
        let part = if v.entry.came_up == 0 { 1.0 } else { age.min(1.0) };
        self.site.cold_from + (1.0 - self.site.cold_from) * part
    }

    /// Rule 4: whether this relay's part of a cold server's budget has room again.
    fn cold_open(&self, v: &Server, s: &Sess, g: &Gauge) -> bool {
        let turn = || (self.now - v.turn.0) as f64 >= v.turn.1 * self.pause(v, g);
        self.warmth(v) >= 1.0 || !s.herd && turn()
    }

    /// Whether a session that comes back is one too many for the cold servers: it comes with those of all
    /// relays, and they meet the turns that all have left unused. Together they are to be no more than the
    /// cold servers bear, told by this relay's own count, so each goes there with that chance.
    fn herd(&mut self) -> bool {
        // Beside itself, which says nothing of the others; in a burst, or for a while (sums reach a quarter
        // of a second further in the mean).
        let beside = |back: Micros| self.returns.sum(self.now, back.saturating_sub(SECOND / 4)) - 1.0;
        let (fall, long) = (self.site.fall, 4 * SECOND);
        let came = beside(fall).max(beside(long) * fall as f64 / long as f64);
        let all = came * f64::from(self.site.relays);
        if all <= 0.0 {
            return false;
        }
        let budget = |v: &Server| fall as f64 * self.bears(v, self.gauge.step);
        // Where the turns of all relays at once are no more than chance may add, turns alone hold the budget.
        let few = |n: f64| f64::from(self.site.relays) <= n + 2.0 * n.sqrt() + 2.0;
        let cold = self.servers.values().filter(|v| v.entry.ready() && self.warmth(v) < 1.0);
        // What each bears while a fall takes, and one: that is far from what chance may add to it.
        let bear = cold.map(budget).filter(|&n| !few(n)).map(|n| n + 1.0).sum::<f64>();
        bear > 0.0 && bear < all && !self.rng.hits(bear / all)
    }

    /// Whether an open turn here counts past the thresholds. Where turns come every second or two these cost
    /// one at most, and decide as ever.
    fn rare_turn(&self, v: &Server, s: &Sess, g: &Gauge) -> bool {
        let rare = self.warmth(v) < 1.0 && self.pause(v, g) > (4 * LAG) as f64;
        rare && self.tier(v, &s.tried) == 0 && self.load_now(v, g) < FULL
    }

    /// The time from one of this relay's turns at a cold server to the next.
    fn pause(&self, v: &Server, g: &Gauge) -> f64 {
        // What a server holds when full, taken in over a whole warm-up, is shared by the relays. Few have a
        // session for it just then, the fewer the more share it: with 1.4 for one relay hunts for broken
        // rules met at most two thirds of the limit. For a hundred this is 4: 5.6 kept the rule on 16 days,
        // at three quarters of the least at which one fell, and 11.2 broke it on one of 16.
        let others = f64::from(self.site.relays - 1);
        let overbook = 1.4 + 3.6 * others / (others + 40.0);
        f64::from(self.site.relays) / overbook / self.bears(v, g.step)
    }

    /// The sessions a microsecond that a cold server bears of all relays: what it holds when full, taken in
    /// over a whole warm-up, by its warmth now.
    fn bears(&self, v: &Server, step: f64) -> f64 {
        self.site.fall_multiple * self.warmth(v) / (self.site.cold.max(1) as f64 * step)
    }

    fn dial(&mut self, sess: SessId, out: &mut Vec<Effect>) {
        let Some(s) = self.sessions.get_mut(&sess) else { return };
        (s.dials, s.dialled, s.weight) = (s.dials + 1, self.now, 1.0);
        s.tried.push(s.server);
        let (server, left, listener) = (s.server, s.due - self.now, &s.rule.listener);
        // A dial gets its handshake target, doubled with each dial; the last one all that is left.
        let last = s.dials >= s.rule.most_dials || listener.repeat != Repeat::Repeatable;
        let wait = if last { left } else { left.min(listener.handshake_target << s.dials.min(8)) };
        // Guards a referenced session whose connect comes up late: within its window by then, or not at all.
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
    fn room(&mut self, heard: Option<ServerId>, out: &mut Vec<Effect>) {
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

    fn probe(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(v) = self.servers.get_mut(&server).filter(|v| !v.awaited) else { return };
        (v.asked, v.awaited) = (self.now, true);
        self.credit -= 1.0;
        out.push(Effect::Probe { server });
    }

    /// Counts a dial that a server took up, and whether its session came about within its target.
    fn dialled(&mut self, sess: SessId, accepted: bool) {
        let Some(s) = self.sessions.get(&sess).filter(|s| s.state == Dialling) else { return };
        let in_time = accepted && self.now - s.dialled <= s.rule.listener.handshake_target;
        self.dials.add(self.now, 1.0);
        self.accepts.add(self.now, f64::from(in_time));
    }

    /// Client-side throttling (Beyer et al., Site Reliability Engineering, chapter 21): whether a session is
    /// turned away as dials come to nothing whichever server takes them. Guards what servers share, a session
    /// store: once it answers too late for all, more dials keep it so, long after the burst that filled it.
    fn throttled(&mut self, high: bool) -> bool {
        // What goes out is held to `MOST` times what was accepted of late, and to one dial a window, so that
        // a relay notices when it is over. `FEW` dials of all relays are no sample. Faults at one server are
        // that server's. Tried: 8 s, 2 and 1.2 times; late ones as accepted (which kept it half shut).
        const WINDOW: Micros = 4 * SECOND;
        const MOST: f64 = 1.5;
        const FEW: f64 = 8.0;
        let sum = |ring: &Ring| ring.sum(self.now, WINDOW);
        let (dials, least) = (sum(&self.dials), FEW / f64::from(self.site.relays));
        let most = MOST * if high { 1.0 } else { 1.0 - K_RESERVED };
        let excess = dials - least - most * sum(&self.accepts);
        let mut faulty = self.servers.values().filter(|v| sum(&v.flow.faults) > 0.0);
        let shared = excess > 0.0 && faulty.nth(1).is_some();
        let throttled = shared && self.rng.hits(excess / (dials + 1.0));
        self.dials.add(self.now, f64::from(throttled));
        throttled
    }

    fn dial_ended(&mut self, sess: SessId, end: DialEnd, report: Option<Report>) {
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

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>, out: &mut Vec<Effect>) {
        if kind == ListKind::Broken {
            // Ask again, more and more slowly, spread over the relays: the list is one service for all. What
            // it has counts as told 6 s after it can be reached: waits are counted from when it was asked,
            // so a call that was given up has waited already, and the longest leaves 2 s for the answer.
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

    /// One probe, where more is saved up than six sessions need (1, 3, 12 tried), and the next beat.
    fn beat(&mut self, out: &mut Vec<Effect>) {
        if !self.site.may_probe {
            return;
        }
        let spare = self.credit - 6.0 * POOL as f64;
        // What is saved up is spent over some eight seconds, no faster than twice a second on each server.
        let least = SECOND as f64 / 2.0 / self.servers.len().max(1) as f64;
        let after = (8.0 * SECOND as f64 / spare.max(4.0)).max(least) as Micros;
        out.push(Effect::Alarm { after, label: PROBE });
        let idle = self.servers.values().filter(|v| v.entry.ready() && !v.awaited && spare >= 1.0);
        if let Some(server) = idle.min_by_key(|v| v.asked).map(|v| v.entry.server) {
            self.probe(server, out);
        }
    }

    fn probed(&mut self, server: ServerId, end: DialEnd, report: Option<Report>, out: &mut Vec<Effect>) {
        if let Some(v) = self.servers.get_mut(&server) {
            v.awaited = false;
            if end == DialEnd::Ok {
                v.misses = 0;
                v.hear(self.now, report);
            } else if end != DialEnd::Full {
                v.misses += 1; // a full one lives, and nothing else is learnt
            }
            self.gauge.until = self.now;
            self.relieve(server, out);
        }
        self.room(Some(server), out);
    }

    /// Sessions on a server that fills up go where they lose less; each probe answer moves a few.
    fn relieve(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        const DOUBT: f64 = 0.15; // a move's gain beyond its price: gap, set-up, doubt about old answers
        let v = &self.servers[&server];
        if self.load_now(v, &self.gauge) < FULL || !v.entry.ready() || self.now - v.relieved < LAG {
            return; // what was moved does not show yet
        }
        let g = self.gauge();
        let v = &self.servers[&server];
        let load = self.load_now(v, &g).max(FULL);
        // Guards a slow-down that all share: no server is better, on a congested one no message is in time,
        // so some are cut off, low utility first, for the rest to be well, and come back to the thresholds.
        let shed = v.heard == Some(self.now) && load > 1.0 && self.tier(v, &[]) > 0 && g.x_cong > g.c / 2.0;
        // Those first whose leaving frees most: the heavy, and the last of a group.
        let last = |s: &Sess| self.groups.get(&(server, s.asked.group)) == Some(&1);
        let frees = |s: &Sess| s.weight + if last(s) { GROUP } else { 0.0 };
        let open = self.sessions.iter().filter(|(_, s)| s.server == server && s.state == Open);
        let mut mine: Vec<_> = open.map(|(&id, s)| (shed && self.high(s), frees(s), id)).collect();
        mine.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        // The way down to the others' mean, in own sessions: half of it, or all where messages here are late.
        let late = shed || self.tier(v, &[]) > 0 && g.x_busy < FULL * g.c - g.x_cong;
        let way = (load - (g.x_busy / g.c.max(1.0)).min(FULL)) * if late { 1.0 } else { 0.5 };
        let mut excess = mine.iter().map(|m| m.1).sum::<f64>() * way / load;
        for (_, frees, sess) in mine {
            // Less than one session is moved by chance, or with many relays nobody would move, or everybody.
            if excess < frees && !self.rng.hits(excess / frees) {
                break;
            }
            if shed || self.gain(sess, load, &g) > self.site.price_move + DOUBT {
                excess -= frees;
                self.play(sess, Hot, out);
                self.servers.get_mut(&server).expect("just read").relieved = self.now;
            }
        }
    }

    /// What a session would lose less where its pool would place it now than where it is.
    fn gain(&self, sess: SessId, load: f64, g: &Gauge) -> f64 {
        let s = &self.sessions[&sess];
        let pool = self.pool(s, g, false);
        let place = pool.iter().position(|id| *id == s.server).unwrap_or(POOL);
        let here = self.cost(&self.servers[&s.server], s, load.min(1.2), place, 1);
        let costs = pool.into_iter().enumerate().filter_map(|(i, id)| {
            let v = &self.servers[&id];
            let load = self.load_now(v, g) + g.step * s.weight;
            let usable = id != s.server && self.tier(v, &[]) == 0;
            (usable && load < FULL).then(|| self.cost(v, s, load, i, 0))
        });
        here - costs.fold(f64::INFINITY, f64::min)
    }
}

impl Sess {
    /// A server's place in the order of its group, or of its own.
    fn rank(&self, v: &Server) -> u64 {
        mix(self.salt ^ (u64::from(v.entry.server) << 32))
    }
}

impl Server {
    fn hear(&mut self, now: Micros, report: Option<Report>) {
        if let Some(Report { load: Some(load), piled, held }) = report {
            (self.heard, self.load) = (Some(now), load);
            (self.piled, self.held) = (piled.unwrap_or(0.0), held.unwrap_or(0.0));
        }
    }
}
