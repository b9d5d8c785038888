//! Membership alone, in virtual time, without the relays round it: how soon deaths are known, how often one
//! is called gone that is not, what it costs; beside plain beats from all to all.
use hallrelay_balancer::types::Micros;
use hallrelay_emulator::beliefs::Knew;
use hallrelay_emulator::clients::mix;
use hallrelay_emulator::links::{Arrival, Harm, Links, Ways};
use hallrelay_emulator::tools::{Chance, Queue};
use hallrelay_membership::beats::{self, Beats};
use hallrelay_membership::message::{decode, DATAGRAM, FRAME};
use hallrelay_membership::{About, Effect, Event, Membership, Own, State};
use serde::Serialize;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;

#[derive(clap::Args, Clone, Debug)]
pub struct Plan {
    /// Numbers of relays, with commas between.
    #[arg(long, default_value = "3,30,300", value_delimiter = ',')]
    pub counts: Vec<usize>,
    /// Parts of datagrams lost, with commas between.
    #[arg(long, default_value = "0,0.05,0.2", value_delimiter = ',')]
    pub loss: Vec<f64>,
    /// Seconds of each day; relays meet in the first 20 of them.
    #[arg(long, default_value_t = 300)]
    pub seconds: u64,
    /// Days of other seeds, on all cores.
    #[arg(long, default_value_t = 4)]
    pub rounds: u64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A relay dies each so many seconds, and is back after half of that; 0 is never.
    #[arg(long, default_value_t = 30)]
    pub deaths: u64,
    /// A relay stands still each so many seconds, for a third of that; 0 is never.
    #[arg(long, default_value_t = 0)]
    pub stalls: u64,
    /// Plain beats from all to all in place of membership.
    #[arg(long)]
    pub beats: bool,
}

/// One way there, on a closed network.
const WAY: Micros = 500;
const FLEET: &str = "members";
const MEET: Micros = 20_000_000;
const BEGIN: Micros = 1_800_000_000_000_000;

#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub way: &'static str,
    pub count: usize,
    pub loss: f64,
    pub days: u64,
    pub hours: f64,
    /// Seconds from a death till each other relay knew of it, and till all did.
    pub known: Knew,
    pub known_to_all: Knew,
    /// Deaths that somebody did not know of till the relay was back.
    pub missed: usize,
    /// Members that somebody called gone though they ran; accusations that were answered. Both in all the
    /// hours.
    pub falsely_gone: u64,
    pub accused: u64,
    /// Each second, of each relay in the mean, once all have met.
    pub datagrams: f64,
    pub bytes: f64,
    pub cpu_us: f64,
}

#[derive(Default)]
struct Tally {
    known: Vec<Micros>,
    known_to_all: Vec<Micros>,
    missed: usize,
    falsely_gone: u64,
    accused: u64,
    datagrams: u64,
    bytes: u64,
    cpu_s: f64,
}

pub fn run(plan: &Plan) -> Result<Vec<Row>, String> {
    if plan.counts.iter().any(|n| *n == 0 || *n > 1_000) {
        return Err("--counts: wanted 1 to 1000 relays".to_string());
    }
    if plan.loss.iter().any(|part| !(0.0..1.0).contains(part)) {
        return Err("--loss: wanted parts from 0 to below 1".to_string());
    }
    if plan.seconds * 1_000_000 <= MEET || plan.rounds == 0 {
        return Err("--seconds: wanted more than 20, and --rounds 1 at least".to_string());
    }
    let mut rows = Vec::new();
    for &count in &plan.counts {
        for &loss in &plan.loss {
            rows.push(row(plan, count, loss));
        }
    }
    Ok(rows)
}

fn row(plan: &Plan, count: usize, loss: f64) -> Row {
    let (next, all) = (AtomicUsize::new(0), Mutex::new(Tally::default()));
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores.min(plan.rounds as usize) {
            scope.spawn(|| loop {
                let round = next.fetch_add(1, Ordering::Relaxed) as u64;
                if round >= plan.rounds {
                    return;
                }
                let one = Day::new(plan, count, loss, plan.seed + round).play();
                // Nobody panics with it held.
                let Ok(mut all) = all.lock() else { return };
                all.known.extend(one.known);
                all.known_to_all.extend(one.known_to_all);
                all.missed += one.missed;
                all.falsely_gone += one.falsely_gone;
                all.accused += one.accused;
                all.datagrams += one.datagrams;
                all.bytes += one.bytes;
                all.cpu_s += one.cpu_s;
            });
        }
    });
    let t = all.into_inner().unwrap_or_default();
    let seconds = (plan.rounds * (plan.seconds - MEET / 1_000_000)) as f64;
    let each = |sum: f64| sum / seconds / count as f64;
    Row {
        way: if plan.beats { "beats" } else { "members" },
        count,
        loss,
        days: plan.rounds,
        hours: seconds / 3600.0,
        known: Knew::of(&t.known),
        known_to_all: Knew::of(&t.known_to_all),
        missed: t.missed,
        falsely_gone: t.falsely_gone,
        accused: t.accused,
        datagrams: each(t.datagrams as f64),
        bytes: each(t.bytes as f64),
        cpu_us: each(t.cpu_s * 1e6),
    }
}

pub fn text(rows: &[Row]) -> String {
    let mut t = String::from(
        "virtual  relays  loss   hours  known s (p95, last)  to all (p95, last)  missed  false  accused  \
         datagrams/s  bytes/s  CPU us/s\n",
    );
    for r in rows {
        let known = format!("{:.2} ({:.2}, {:.2})", r.known.median, r.known.p95, r.known.last);
        let k = &r.known_to_all;
        let to_all = format!("{:.2} ({:.2}, {:.2})", k.median, k.p95, k.last);
        _ = writeln!(
            t,
            "{:8} {:6} {:5.2} {:7.2}  {known:>19}  {to_all:>18}  {:6}  {:5}  {:7}  {:11.1}  {:7.0}  {:8.0}",
            r.way,
            r.count,
            r.loss,
            r.hours,
            r.missed,
            r.falsely_gone,
            r.accused,
            r.datagrams,
            r.bytes,
            r.cpu_us
        );
    }
    t
}

fn place(relay: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (relay >> 8) as u8, relay as u8], 7946))
}

fn relay_at(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(a) => usize::from(a.ip().octets()[2]) << 8 | usize::from(a.ip().octets()[3]),
        SocketAddr::V6(_) => 0,
    }
}

enum Mind {
    Members(Box<Membership>),
    Beats(Beats),
}

enum Ev {
    Alarm { relay: usize, life: u32 },
    Datagram(Arrival),
    Stream { from: usize, to: usize, answer: bool, bytes: Vec<u8> },
    Dies,
    Returns { relay: usize },
    Stalls,
    Wakes { relay: usize },
}

struct Relay {
    mind: Option<Mind>,
    life: u32,
    /// What came while it stands still.
    stalled: Option<Vec<Ev>>,
    /// When it was last not up or stood still, for whom that is no false accusation.
    troubled: Micros,
}

struct Death {
    at: Micros,
    relay: usize,
    waits: Vec<bool>,
    left: usize,
}

struct Day<'a> {
    plan: &'a Plan,
    seed: u64,
    now: Micros,
    queue: Queue<Ev>,
    links: Links,
    rng: Chance,
    relays: Vec<Relay>,
    names: Vec<Rc<str>>,
    death: Option<Death>,
    tally: Tally,
}

impl Day<'_> {
    fn new(plan: &Plan, count: usize, loss: f64, seed: u64) -> Day<'_> {
        let mut links = Links::new(WAY, seed);
        if loss > 0.0 {
            let ways = Ways::between(count, &[], &[], false);
            links.begin(0, Rc::new(ways), Harm::Loss(loss));
        }
        let relay = |_| Relay { mind: None, life: 0, stalled: None, troubled: 0 };
        Day {
            plan,
            seed,
            now: BEGIN,
            queue: Queue::default(),
            links,
            rng: Chance::new(seed, 7),
            relays: (0..count).map(relay).collect(),
            names: (0..count).map(|relay| format!("relay-{relay}").into()).collect(),
            death: None,
            tally: Tally::default(),
        }
    }

    fn play(mut self) -> Tally {
        let end = BEGIN + self.plan.seconds * 1_000_000;
        for relay in 0..self.relays.len() {
            // All within a tenth of a second.
            let at = BEGIN + self.rng.between([0, 100_000]);
            self.queue.at(at, Ev::Returns { relay });
        }
        if self.plan.deaths > 0 {
            self.queue.at(BEGIN + MEET, Ev::Dies);
        }
        if self.plan.stalls > 0 {
            self.queue.at(BEGIN + MEET + 1_000_000, Ev::Stalls);
        }
        let mut started = Instant::now();
        let mut met = false;
        while let Some(at) = self.queue.next().filter(|at| *at <= end) {
            self.now = at;
            if !met && at >= BEGIN + MEET {
                (met, started) = (true, Instant::now());
            }
            while let Some((_, event)) = self.queue.due(at) {
                self.event(event);
            }
        }
        // All of it is the members' work and the queue's: an upper bound of what a relay does.
        self.tally.cpu_s = started.elapsed().as_secs_f64();
        self.tally
    }

    fn event(&mut self, event: Ev) {
        let to = match &event {
            Ev::Alarm { relay, .. } => Some(*relay),
            Ev::Datagram(arrival) => Some(arrival.to),
            Ev::Stream { to, .. } => Some(*to),
            Ev::Dies | Ev::Returns { .. } | Ev::Stalls | Ev::Wakes { .. } => None,
        };
        if let Some(waiting) = to.and_then(|relay| self.relays[relay].stalled.as_mut()) {
            return waiting.push(event);
        }
        match event {
            Ev::Alarm { relay, life } if self.relays[relay].life == life => self.alarm(relay),
            Ev::Alarm { .. } => {}
            Ev::Datagram(Arrival { from, to, bytes, .. }) => self.datagram(from, to, &bytes),
            Ev::Stream { from, to, answer, bytes } => {
                let Ok(packet) = decode(FLEET, &bytes, FRAME).map(Box::new) else { return };
                let event = if answer {
                    Event::Returned { packet }
                } else {
                    Event::Visited { stream: from as u64, from: place(from), packet }
                };
                self.step(to, event);
            }
            Ev::Dies => self.dies(),
            Ev::Returns { relay } => self.starts(relay),
            Ev::Stalls => self.stalls(),
            Ev::Wakes { relay } => {
                self.relays[relay].troubled = self.now;
                for ev in self.relays[relay].stalled.take().into_iter().flatten() {
                    self.queue.at(self.now, ev);
                }
            }
        }
    }

    fn up(&self) -> Vec<usize> {
        let up = |relay: &usize| self.relays[*relay].mind.is_some() && self.relays[*relay].stalled.is_none();
        (0..self.relays.len()).filter(up).collect()
    }

    /// What was to be known of the last death is known, or was missed.
    fn reckon(&mut self) {
        if let Some(death) = self.death.take() {
            if death.left > 0 {
                self.tally.missed += 1;
            }
        }
    }

    fn dies(&mut self) {
        let every = self.plan.deaths * 1_000_000;
        // At no particular moment of the relays' own periods.
        let next = self.now + every + self.rng.between([0, beats::PERIOD]);
        self.queue.at(next, Ev::Dies);
        let up = self.up();
        if up.len() < 2 {
            return;
        }
        let relay = up[self.rng.below(up.len())];
        self.reckon();
        let r = &mut self.relays[relay];
        (r.mind, r.life, r.troubled) = (None, r.life + 1, self.now);
        let mut waits = vec![false; self.relays.len()];
        up.iter().filter(|other| **other != relay).for_each(|other| waits[*other] = true);
        self.death = Some(Death { at: self.now, relay, waits, left: up.len() - 1 });
        self.queue.at(self.now + every / 2, Ev::Returns { relay });
    }

    fn stalls(&mut self) {
        let every = self.plan.stalls * 1_000_000;
        self.queue.at(self.now + every, Ev::Stalls);
        let up = self.up();
        let relay = up[self.rng.below(up.len())];
        self.relays[relay].stalled = Some(Vec::new());
        if let Some(death) = self.death.as_mut().filter(|death| death.waits[relay]) {
            death.waits[relay] = false;
            death.left -= 1;
        }
        self.queue.at(self.now + every / 3, Ev::Wakes { relay });
    }

    fn starts(&mut self, relay: usize) {
        if self.death.as_ref().is_some_and(|death| death.relay == relay) {
            self.reckon();
        }
        let count = self.relays.len();
        let r = &mut self.relays[relay];
        r.life += 1;
        r.troubled = self.now;
        let (life, seed) = (r.life, mix(self.seed ^ (relay as u64) << 32 ^ u64::from(r.life) << 50));
        if self.plan.beats {
            r.mind = Some(Mind::Beats(Beats::new(relay, count, self.now)));
            let after = self.rng.between([0, beats::PERIOD]);
            return self.queue.at(self.now + after, Ev::Alarm { relay, life });
        }
        let own = Own {
            fleet: FLEET.into(),
            name: self.names[relay].clone(),
            addr: place(relay),
            start: self.now,
            about: About { version: "0".into(), load: vec![0, 0], ..About::default() },
            // Three seeds, as operators give; the one that is this relay itself among them.
            peers: (0..count.min(3)).map(place).collect(),
            configured: count,
            seed,
        };
        r.mind = Some(Mind::Members(Box::new(Membership::new(own))));
        self.step(relay, Event::Begin);
    }

    fn alarm(&mut self, relay: usize) {
        if !self.plan.beats {
            return self.step(relay, Event::Alarm);
        }
        let life = self.relays[relay].life;
        let Some(Mind::Beats(mind)) = &mut self.relays[relay].mind else { return };
        let (others, gone): (Vec<usize>, _) = (mind.others().collect(), mind.gone(self.now));
        self.queue.at(self.now + beats::PERIOD, Ev::Alarm { relay, life });
        gone.into_iter().for_each(|other| self.found(relay, other, State::Gone));
        // A name, a start and a duty, as the least that a beat says.
        let beat = vec![0; 40];
        for other in others {
            self.send(relay, other, beat.clone());
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if self.now >= BEGIN + MEET {
            self.tally.datagrams += 1;
        }
        self.cost(bytes.len());
        let mut arrivals = Vec::with_capacity(1);
        self.links.send(self.now, from, to, bytes, &mut arrivals);
        for arrival in arrivals {
            self.queue.at(arrival.at, Ev::Datagram(arrival));
        }
    }

    /// Counted from when all have met.
    fn cost(&mut self, bytes: usize) {
        if self.now >= BEGIN + MEET {
            self.tally.bytes += bytes as u64;
        }
    }

    fn datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        match &mut self.relays[to].mind {
            Some(Mind::Beats(mind)) => _ = mind.heard(from, self.now),
            Some(Mind::Members(_)) => {
                if let Ok(packet) = decode(FLEET, bytes, DATAGRAM).map(Box::new) {
                    self.step(to, Event::Heard { from: place(from), packet });
                }
            }
            None => {}
        }
    }

    fn step(&mut self, relay: usize, event: Event) {
        let life = self.relays[relay].life;
        let Some(Mind::Members(mind)) = &mut self.relays[relay].mind else { return };
        let (mut out, before) = (Vec::new(), mind.counts.accused);
        mind.step(self.now, event, &mut out);
        self.tally.accused += mind.counts.accused - before;
        for effect in out {
            match effect {
                Effect::Send { to, bytes } => self.send(relay, relay_at(to), bytes),
                Effect::Alarm { after } => self.queue.at(self.now + after, Ev::Alarm { relay, life }),
                Effect::Visit { to, bytes } => {
                    self.cost(bytes.len());
                    let to = relay_at(to);
                    self.queue.at(self.now + 3 * WAY, Ev::Stream { from: relay, to, answer: false, bytes });
                }
                Effect::Answer { stream, bytes: Some(bytes) } => {
                    self.cost(bytes.len());
                    let to = stream as usize;
                    self.queue.at(self.now + WAY, Ev::Stream { from: relay, to, answer: true, bytes });
                }
                Effect::Found { name, state, .. } => {
                    let other = name.strip_prefix("relay-").and_then(|n| n.parse().ok());
                    other.into_iter().for_each(|other| self.found(relay, other, state));
                }
                Effect::Answer { bytes: None, .. } | Effect::Open { .. } | Effect::Note { .. } => {}
                // Nobody recalls here: there is no list.
                Effect::Asked { .. } | Effect::Recalled { .. } | Effect::Said { .. } => {}
            }
        }
    }

    fn found(&mut self, observer: usize, of: usize, state: State) {
        if state != State::Gone {
            return;
        }
        let r = &self.relays[of];
        // What was believed as it stood still or was away may come a little later.
        const AFTER: Micros = 10_000_000;
        if r.mind.is_some() && r.stalled.is_none() && self.now > r.troubled + AFTER {
            self.tally.falsely_gone += 1;
        }
        let Some(death) = self.death.as_mut().filter(|d| d.relay == of && d.waits[observer]) else { return };
        death.waits[observer] = false;
        death.left -= 1;
        self.tally.known.push(self.now - death.at);
        if death.left == 0 {
            self.tally.known_to_all.push(self.now - death.at);
        }
    }
}
