//! Clients and the front that deals them out over the relays. No I/O: open-loop arrivals, lives, what each
//! does after an answer, a move or a break.
use crate::event_queue::EventQueue;
use crate::random::Random;
use hallrelay_balancer::types::{Idempotency, KeyScope, Micros};
use hallrelay_config::scenario::Scenario;
use std::collections::{BTreeMap, HashMap};

/// A connection's first line, and who says it where.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    pub mark: u64,
    pub relay: usize,
    pub listener: usize,
    pub key: u64,
    pub group: u64,
    /// Back after a break or a move; a try after one that was not taken.
    pub returned: bool,
    pub retry: bool,
    pub dial_timeout: Micros,
    /// The server at which it stood before the day.
    pub pre_existing_at: Option<usize>,
    /// How long it lives where the server is to end it.
    pub ended_after: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    Open(ClientRequest),
    /// Ends its connection, whatever its state.
    Leave {
        mark: u64,
    },
}

/// What became of a connection, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    Established,
    Rejected(Micros),
    Failed,
    /// The end without a word, before or after the answer.
    Closed,
    Migrated,
    Ended,
    /// Connecting did not work.
    Unreachable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Its answer is awaited since then.
    Asks(u64, Micros),
    Open(u64),
    /// Comes again soon.
    Away,
    /// Has given up, though it would go on wanting.
    Lost,
}

struct Person {
    listener: usize,
    key: u64,
    group: u64,
    until: Micros,
    bye: bool,
    state: State,
    tries: u32,
    again: bool,
    waits: u32,
    /// When it asked first since it last stood, for its window.
    since: Micros,
    /// This trip's first ask counts as a first try.
    at: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Arrives,
    /// The rate may be another one.
    Looks,
    Asks(u64),
    LifeEnds(u64),
    GivesUp(u64),
    /// What the front notices of a relay, and of which of its changes.
    Notices(usize, bool, u32),
}

/// Counts by listener.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    pub first_tries: u64,
    pub tries: u64,
    pub ups: u64,
    pub busy: u64,
    pub failed: u64,
    pub closed: u64,
    pub unreached: u64,
    pub unanswered: u64,
    pub lost: u64,
    pub in_target: u64,
}

pub struct Clients {
    s: Scenario,
    begin: Micros,
    end: Micros,
    people: BTreeMap<u64, Person>,
    /// Looked up and never walked.
    marks: HashMap<u64, u64>,
    due: EventQueue<Due>,
    /// What the front believes of each relay.
    front: Vec<bool>,
    /// How often each came up.
    changes: Vec<u32>,
    rng: Random,
    times: f64,
    now: Micros,
    next: u64,
    ends_early: Vec<u64>,
    pub wanted: Vec<u32>,
    pub counts: Vec<Counts>,
    pub moves: u64,
    pub breaks: u64,
    /// From the first line to `UP`, by listener.
    pub waits: Vec<hdrhistogram::Histogram<u64>>,
    pub open: u32,
    pub asking: u32,
    pub away: u32,
}

impl Clients {
    pub fn new(s: &Scenario, seed: u64, begin: Micros) -> Clients {
        let mut due = EventQueue::default();
        due.schedule(begin, Due::Looks);
        let histogram = || hdrhistogram::Histogram::new_with_bounds(1, 120_000_000, 3).expect("sound bounds");
        Clients {
            s: s.clone(),
            begin,
            end: begin + s.length_s.us(),
            people: BTreeMap::new(),
            marks: HashMap::new(),
            due,
            front: vec![false; s.relays.count],
            changes: vec![0; s.relays.count],
            rng: Random::new(seed, 4),
            times: 1.0,
            now: 0,
            next: 0,
            ends_early: Vec::new(),
            wanted: vec![0; s.listeners.len()],
            counts: vec![Counts::default(); s.listeners.len()],
            moves: 0,
            breaks: 0,
            waits: s.listeners.iter().map(|_| histogram()).collect(),
            open: 0,
            asking: 0,
            away: 0,
        }
    }

    pub fn next(&self) -> Option<Micros> {
        self.due.next_at()
    }

    /// Sessions that stand at servers before the day, spread over relays and servers.
    pub fn open_pre_existing(&mut self, now: Micros, servers: usize, out: &mut Vec<ClientAction>) {
        self.now = now;
        for i in 0..self.s.load.standing {
            let id = self.person(self.begin);
            self.front_any(i);
            let p = self.people.get_mut(&id).expect("just made");
            p.at = Some(i % servers.max(1));
            self.ask(id, Some(i % self.s.relays.count), out);
        }
    }

    /// Before the day begins the front knows all relays.
    fn front_any(&mut self, i: usize) {
        let relay = i % self.front.len();
        self.front[relay] = true;
    }

    pub fn step(&mut self, now: Micros, out: &mut Vec<ClientAction>) {
        while let Some((at, due)) = self.due.pop_due(now) {
            self.now = self.now.max(at);
            match due {
                Due::Looks => {
                    // The rate is read anew this often, so that steps and bursts are felt at once.
                    const LOOK: Micros = 100_000;
                    let until = self.now + LOOK;
                    let mean = 1e6 / self.rate(self.now).max(1e-9);
                    let mut at = self.now + self.rng.exponential(mean) as Micros;
                    while at < until {
                        self.due.schedule(at, Due::Arrives);
                        at += (self.rng.exponential(mean) as Micros).max(1);
                    }
                    if until < self.end {
                        self.due.schedule(until, Due::Looks);
                    }
                }
                Due::Arrives => {
                    let id = self.person(self.now);
                    self.ask(id, None, out);
                }
                Due::Asks(id) => self.ask(id, None, out),
                Due::LifeEnds(id) => self.life_ends(id, out),
                Due::GivesUp(mark) => self.gives_up(mark, out),
                // Guards a relay that is back: what was noticed of its last end is old by then.
                Due::Notices(relay, up, change) if change == self.changes[relay] => self.front[relay] = up,
                Due::Notices(..) => {}
            }
        }
        self.now = self.now.max(now);
        out.extend(self.ends_early.drain(..).map(|mark| ClientAction::Leave { mark }));
    }

    fn rate(&self, now: Micros) -> f64 {
        let load = &self.s.load;
        let since = now - self.begin;
        let step = load.steps.iter().rfind(|s| s.at_s.us() <= since).map_or(1.0, |s| s.times.0);
        let turn = since as f64 / load.wave_s.us().max(1) as f64 * std::f64::consts::TAU;
        load.rate.0 * step * self.times * (1.0 + load.wave.0 * turn.sin())
    }

    /// From now on so many times the usual rate.
    pub fn rate_times(&mut self, times: f64) {
        self.times = times;
    }

    fn person(&mut self, now: Micros) -> u64 {
        self.next += 1;
        let id = self.next;
        let all: f64 = self.s.listeners.iter().map(|l| l.share.0).sum();
        let mut pick = self.rng.fraction() * all;
        let listener = self.s.listeners.iter().position(|l| {
            pick -= l.share.0;
            pick < 0.0
        });
        let listener = listener.unwrap_or(self.s.listeners.len() - 1);
        let life = self.rng.exponential(self.s.listeners[listener].life_s.us() as f64) as Micros;
        let until = now + life.max(200_000);
        let (key, draw) = (self.rng.bits() | 1, self.rng.bits());
        let group = if self.s.load.groups == 0 { 0 } else { mix(draw % self.s.load.groups + 1) | 1 };
        let bye = self.rng.fraction() < self.s.clients.bye.0;
        let tries = self.s.clients.retries;
        let state = State::Away;
        let p = Person {
            listener,
            key,
            group,
            until,
            bye,
            state,
            tries,
            again: false,
            waits: 0,
            since: now,
            at: None,
        };
        self.people.insert(id, p);
        self.wanted[listener] += 1;
        self.counts[listener].first_tries += 1;
        self.away += 1;
        self.due.schedule(until, Due::LifeEnds(id));
        id
    }

    fn set(&mut self, id: u64, state: State) {
        let Some(p) = self.people.get_mut(&id) else { return };
        let before = std::mem::replace(&mut p.state, state);
        for (state, by) in [(before, -1), (state, 1)] {
            let count = match state {
                State::Asks(..) => &mut self.asking,
                State::Open(_) => &mut self.open,
                State::Away => &mut self.away,
                State::Lost => continue,
            };
            *count = count.saturating_add_signed(by);
        }
    }

    fn ask(&mut self, id: u64, relay: Option<usize>, out: &mut Vec<ClientAction>) {
        let Some(p) = self.people.get(&id) else { return };
        if self.now >= p.until || p.state != State::Away {
            return;
        }
        let up: Vec<usize> = (0..self.front.len()).filter(|&r| self.front[r]).collect();
        let relay = match relay {
            Some(relay) => relay,
            None if up.is_empty() => {
                // Nobody to be dealt to: longer with each try.
                let p = self.people.get_mut(&id).expect("just read");
                p.waits = (p.waits + 1).min(5);
                let after = (100_000u64 << p.waits) / 2 + self.rng.between([0, 100_000]);
                return self.due.schedule(self.now + after, Due::Asks(id));
            }
            None => up[self.rng.below(up.len())],
        };
        // No mark is used twice, and none tells who says it.
        self.next += 1;
        let mark = mix(self.next ^ (self.rng.bits() << 24)) | 1;
        let p = self.people.get_mut(&id).expect("just read");
        let l = &self.s.listeners[p.listener];
        let retry = p.tries < self.s.clients.retries;
        let wait = if p.at.is_some() { 40_000_000 } else { l.dial_timeout_ms.us() };
        let ask = ClientRequest {
            mark,
            relay,
            listener: p.listener,
            key: p.key,
            group: p.group,
            returned: p.again,
            retry,
            dial_timeout: wait,
            pre_existing_at: p.at,
            ended_after: p.bye.then(|| p.until - self.now),
        };
        self.counts[p.listener].tries += 1;
        self.marks.insert(mark, id);
        let now = self.now;
        self.set(id, State::Asks(mark, now));
        // A little longer than it says, to see what comes late.
        self.due.schedule(now + wait + 2 * self.s.rules.slack_ms.us(), Due::GivesUp(mark));
        out.push(ClientAction::Open(ask));
    }

    fn life_ends(&mut self, id: u64, out: &mut Vec<ClientAction>) {
        let Some(p) = self.people.get(&id) else { return };
        // Who is ended by the server waits for that, and leaves where it does not come.
        const BYE: Micros = 1_000_000;
        let waits_for_bye = p.bye && matches!(p.state, State::Open(_)) && self.now < p.until + BYE;
        if self.now == p.until {
            self.wanted[p.listener] -= 1;
        }
        if waits_for_bye {
            return self.due.schedule(p.until + BYE, Due::LifeEnds(id));
        }
        if let State::Open(mark) | State::Asks(mark, _) = p.state {
            self.marks.remove(&mark);
            out.push(ClientAction::Leave { mark });
        }
        self.remove(id);
    }

    fn remove(&mut self, id: u64) {
        self.set(id, State::Lost);
        self.people.remove(&id);
    }

    fn gives_up(&mut self, mark: u64, out: &mut Vec<ClientAction>) {
        let Some(&id) = self.marks.get(&mark) else { return };
        if !matches!(self.people[&id].state, State::Asks(m, _) if m == mark) {
            return;
        }
        self.marks.remove(&mark);
        out.push(ClientAction::Leave { mark });
        let listener = self.people[&id].listener;
        self.counts[listener].unanswered += 1;
        self.turned_away(id, 0, false);
    }

    /// Tries again after a wait, or gives up for good.
    fn turned_away(&mut self, id: u64, after: Micros, harmless: bool) {
        self.set(id, State::Away);
        let p = self.people.get_mut(&id).expect("it is there");
        let l = &self.s.listeners[p.listener];
        let may = harmless
            || match l.repeats() {
                Idempotency::Idempotent => true,
                Idempotency::Keyed { scope: KeyScope::All, window } => self.now < p.since + window,
                _ => false,
            };
        if p.tries == 0 || !may {
            self.counts[p.listener].lost += 1;
            return self.set(id, State::Lost);
        }
        p.tries -= 1;
        let wait = self.rng.between(self.s.clients.wait_ms.map(|t| t.us()));
        self.due.schedule(self.now + after.max(wait), Due::Asks(id));
    }

    /// What became of a connection; false where it is not known any more.
    pub fn handle(&mut self, now: Micros, mark: u64, heard: ClientEvent) -> bool {
        self.now = self.now.max(now);
        let Some(&id) = self.marks.get(&mark) else { return false };
        let p = &self.people[&id];
        let (state, listener) = (p.state, p.listener);
        if let (ClientEvent::Established, State::Asks(_, since)) = (heard, state) {
            let took = self.now - since;
            // Who stood before the day has waited for nothing.
            let standing = p.at.is_some();
            if !standing {
                _ = self.waits[listener].record(took.max(1));
            }
            let counts = &mut self.counts[listener];
            counts.ups += 1;
            counts.in_target += u64::from(took <= self.s.listeners[listener].handshake_target_ms.us());
            let tries = self.s.clients.retries;
            let p = self.people.get_mut(&id).expect("just read");
            (p.tries, p.again, p.waits, p.at) = (tries, true, 0, None);
            self.set(id, State::Open(mark));
            return true;
        }
        self.marks.remove(&mark);
        let counts = &mut self.counts[listener];
        match (state, heard) {
            (State::Open(_), ClientEvent::Ended) => {
                if self.now >= self.people[&id].until {
                    self.remove(id);
                } else {
                    // Ended a little early: what it wanted is done.
                    self.set(id, State::Lost);
                }
            }
            (State::Open(_), _) => {
                self.moves += u64::from(heard == ClientEvent::Migrated);
                self.breaks += u64::from(heard != ClientEvent::Migrated);
                self.rejoins(id, self.s.clients.rejoin_ms.map(|t| t.us()));
            }
            (_, ClientEvent::Rejected(after)) => {
                counts.busy += 1;
                self.turned_away(id, after, true);
            }
            (_, ClientEvent::Unreachable) => {
                counts.unreached += 1;
                self.turned_away(id, 0, true);
            }
            (_, ClientEvent::Closed) => {
                counts.closed += 1;
                self.turned_away(id, 0, false);
            }
            (_, _) => {
                counts.failed += 1;
                self.turned_away(id, 0, false);
            }
        }
        true
    }

    fn rejoins(&mut self, id: u64, within: [Micros; 2]) {
        self.set(id, State::Away);
        let p = self.people.get_mut(&id).expect("it is there");
        (p.again, p.since) = (true, self.now);
        self.due.schedule(self.now + self.rng.between(within), Due::Asks(id));
    }

    /// A part of the open clients break off at once and come again within a time.
    pub fn reconnect(&mut self, now: Micros, part: f64, within: Micros) {
        self.now = self.now.max(now);
        let ids: Vec<u64> = self.people.keys().copied().collect();
        for id in ids {
            let State::Open(mark) = self.people[&id].state else { continue };
            if self.rng.fraction() < part {
                self.marks.remove(&mark);
                self.ends_early.push(mark);
                self.breaks += 1;
                self.rejoins(id, [within / 10, within]);
            }
        }
    }

    /// A relay answers `PING` (or has died): the front deals to it from now on, or stops when it notices.
    pub fn set_relay_serving(&mut self, now: Micros, relay: usize, up: bool) {
        self.now = self.now.max(now);
        let after = if up { 0 } else { self.rng.between(self.s.clients.front_notice_s.map(|t| t.us())) };
        self.changes[relay] += u32::from(up);
        self.due.schedule(self.now + after, Due::Notices(relay, up, self.changes[relay]));
    }

    /// Whether a mark's client is still there.
    pub fn is_present(&self, mark: u64) -> bool {
        self.marks.contains_key(&mark)
    }
}

/// Spreads ids evenly (the finaliser of splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
