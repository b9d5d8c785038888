//! One site of the trace: a relay, its servers and sessions, and the inputs that answer its effects.
use super::config::config;
use super::{numbers, Chain, INPUTS_PER_LINE, INPUTS_PER_SITE, MILLISECOND, SECOND};
use hallrelay_balancer::types::*;
use hallrelay_balancer::Balancer;
use std::collections::BTreeMap;
use std::fmt::Write;

/// What all servers go through for some seconds.
#[derive(Clone, Copy, PartialEq)]
enum Weather {
    Calm,
    Full,
    OneLate,
    AllLate,
    Dropping,
    Silent,
    Storm,
}

const WEATHERS: [Weather; 7] = [
    Weather::Calm,
    Weather::Full,
    Weather::OneLate,
    Weather::AllLate,
    Weather::Dropping,
    Weather::Silent,
    Weather::Storm,
];

struct Backend {
    entry: Endpoint,
    capacity: f64,
    open: u32,
}

struct Held {
    server: ServerId,
    dial: u32,
    up: bool,
}

/// What comes at its time.
enum Due {
    Input(Input),
    DialOutcome { sess: SessionId, dial: u32 },
    ProbeAnswer { server: ServerId },
    End { sess: SessionId },
}

pub struct Site {
    config: SiteConfig,
    relay: Balancer,
    chance: oorandom::Rand64,
    now: Micros,
    backends: BTreeMap<ServerId, Backend>,
    sessions: BTreeMap<SessionId, Held>,
    due: BTreeMap<(Micros, u64), Due>,
    scheduled: u64,
    last_session: SessionId,
    last_server: ServerId,
    weather: Weather,
    weather_ends: Micros,
    inputs: u32,
    chain: Chain,
    effects: [u64; 7],
    number: u32,
    lines: String,
}

impl Site {
    pub fn new(number: u32) -> Site {
        let config = config(number);
        Site {
            relay: Balancer::new(config.clone(), 1_000 + u64::from(number)),
            config,
            chance: oorandom::Rand64::new(77 + u128::from(number)),
            now: u64::from(number) * 5 * SECOND,
            backends: BTreeMap::new(),
            sessions: BTreeMap::new(),
            due: BTreeMap::new(),
            scheduled: 0,
            last_session: 0,
            last_server: 0,
            weather: Weather::Calm,
            weather_ends: 0,
            inputs: 0,
            chain: Chain(0xcbf2_9ce4_8422_2325),
            effects: [0; 7],
            number,
            lines: String::new(),
        }
    }

    fn below(&mut self, end: u64) -> u64 {
        self.chance.rand_range(0..end)
    }

    /// Yes in so many of a hundred cases.
    fn hits(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn schedule(&mut self, after: Micros, due: Due) {
        self.scheduled += 1;
        self.due.insert((self.now + after, self.scheduled), due);
    }

    fn add_backend(&mut self, cold: bool) -> Endpoint {
        self.last_server += 1;
        let server = self.last_server;
        let entry = Endpoint {
            server,
            phase: Phase::Ready,
            started_at: if cold { self.now } else { 0 },
            zone: (server % 3) as u8,
            cell: (server % 5) as u16,
        };
        let capacity = [10.0, 25.0, 60.0][self.below(3) as usize];
        self.backends.insert(server, Backend { entry, capacity, open: 0 });
        entry
    }

    fn report(&mut self, server: ServerId) -> Option<LoadReport> {
        let noise = self.below(200) as f64 / 1000.0;
        let left_out = self.hits(5);
        let backend = self.backends.get(&server)?;
        let relays = f64::from(self.config.relay_count.min(4));
        let others = match self.weather {
            Weather::Full => 0.8,
            Weather::AllLate => 1.05,
            _ => 0.15,
        };
        let load = others + noise + f64::from(backend.open) * relays / (backend.capacity * 6.0);
        let late = match self.weather {
            Weather::OneLate => server == 2,
            Weather::AllLate => !server.is_multiple_of(4),
            _ => false,
        };
        let queue_delay = if late { 0.1 + noise } else { noise / 20.0 };
        let sessions = (!server.is_multiple_of(7)).then_some(f64::from(backend.open) * relays + 3.0);
        let load = if late { load + 0.4 } else { load };
        Some(LoadReport { load: (!left_out).then_some(load), queue_delay: Some(queue_delay), sessions })
    }

    /// Gives the relay an input, adds what comes of it to the chain, and plans the answers.
    fn step(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.relay.step(self.now, input, &mut effects);
        self.inputs += 1;
        self.chain.add(self.now);
        self.chain.add(effects.len() as u64);
        for effect in &effects {
            let (kind, fields) = numbers(effect);
            self.effects[kind] += 1;
            self.chain.add(kind as u64);
            fields.into_iter().for_each(|field| self.chain.add(field));
        }
        if self.inputs.is_multiple_of(INPUTS_PER_LINE) {
            self.write_line();
        }
        effects.into_iter().for_each(|effect| self.answer(effect));
    }

    /// What a relay knows counts too: it decides later.
    fn write_line(&mut self) {
        let snapshot = self.relay.snapshot(self.now);
        self.chain.add(snapshot.session_load.to_bits());
        for memory in snapshot.servers {
            self.chain.add(u64::from(memory.server));
            if let Some(PastReport { age, report }) = memory.report {
                self.chain.add(age);
                let fields = [report.load, report.queue_delay, report.sessions];
                fields.iter().for_each(|field| self.chain.add(field.unwrap_or(-1.0).to_bits()));
            }
            self.chain.add(u64::from(memory.misses));
            self.chain.add(memory.recent_sessions.to_bits());
            self.chain.add(memory.slot.age);
            self.chain.add(memory.slot.interval_fraction.to_bits());
            self.chain.add(u64::from(self.relay.avoids(self.now, memory.server)));
        }
        let counts: Vec<String> = self.effects.iter().map(u64::to_string).collect();
        let (number, inputs, chain) = (self.number, self.inputs, self.chain.0);
        _ = writeln!(self.lines, "{number} {inputs} {chain:016x} {}", counts.join(" "));
    }

    fn answer(&mut self, effect: Effect) {
        match effect {
            Effect::Dial { session: sess, server, .. } => {
                let dial = self.sessions.get(&sess).map_or(0, |one| one.dial + 1);
                self.sessions.insert(sess, Held { server, dial, up: false });
                let late = self.weather == Weather::OneLate && server == 2;
                let after = (if late { 350 } else { 1 + self.below(40) }) * MILLISECOND;
                self.schedule(after, Due::DialOutcome { sess, dial });
            }
            Effect::Reject { session: sess, .. } | Effect::TearDown { session: sess } => {
                self.sessions.remove(&sess);
                if self.hits(40) {
                    let after = (200 + self.below(1_500)) * MILLISECOND;
                    let input = self.request(true);
                    self.schedule(after, Due::Input(input));
                }
            }
            Effect::Migrate { session: sess } => {
                let after = (1 + self.below(60)) * MILLISECOND;
                self.schedule(after, Due::End { sess });
                let input = self.request(true);
                self.schedule(after + 3 * MILLISECOND, Due::Input(input));
            }
            Effect::Probe { server } => {
                let after = (1 + self.below(30)) * MILLISECOND;
                self.schedule(after, Due::ProbeAnswer { server });
            }
            Effect::SetTimer { after, label } => {
                self.schedule(after, Due::Input(Input::TimerExpired { label }))
            }
            Effect::WatchEndpoints => {
                let update = if self.hits(60) { ListUpdate::WatchFailed } else { ListUpdate::Snapshot };
                let after = (20 + self.below(400)) * MILLISECOND;
                let endpoints = match update {
                    ListUpdate::Snapshot => self.backends.values().map(|backend| backend.entry).collect(),
                    _ => Vec::new(),
                };
                self.schedule(after, Due::Input(Input::EndpointList { update, endpoints }));
            }
        }
    }

    fn request(&mut self, returned: bool) -> Input {
        self.last_session += 1;
        let request = AdmissionRequest {
            listener: self.below(7) as usize,
            key: self.below(1000),
            group: if self.hits(50) { 1 + self.below(9) } else { 0 },
            returned,
            time_remaining: [0, 150, 400, 1_000, 1_000, 2_000, 2_000, 2_000, 2_000, 2_000]
                [self.below(10) as usize]
                * MILLISECOND,
        };
        Input::SessionRequested { session: self.last_session, request }
    }

    fn come_due(&mut self, due: Due) {
        match due {
            Due::Input(input) => self.step(input),
            Due::DialOutcome { sess, dial } => self.dial_outcome(sess, dial),
            Due::ProbeAnswer { server } => {
                let report = self.report(server);
                let silent = self.weather == Weather::Silent && server.is_multiple_of(2);
                let end = match report {
                    _ if silent && self.hits(60) => DialEnd::Timeout,
                    None => DialEnd::Unconnected,
                    Some(_) if self.hits(3) => DialEnd::NotSent,
                    Some(_) if self.hits(3) => DialEnd::Full,
                    Some(_) => DialEnd::Ok,
                };
                self.step(Input::ProbeEnded { server, end, report });
            }
            Due::End { sess } => {
                if let Some(held) = self.sessions.remove(&sess) {
                    self.leave(held.server);
                    self.step(Input::SessionEnded { session: sess });
                }
            }
        }
    }

    fn leave(&mut self, server: ServerId) {
        if let Some(backend) = self.backends.get_mut(&server) {
            backend.open = backend.open.saturating_sub(1);
        }
    }

    fn dial_outcome(&mut self, sess: SessionId, dial: u32) {
        let Some(held) = self.sessions.get(&sess).filter(|held| held.dial == dial && !held.up) else {
            return;
        };
        let server = held.server;
        let bad = match self.weather {
            Weather::Dropping if server % 3 == 1 => 70,
            Weather::Dropping => 10,
            Weather::Silent if server.is_multiple_of(2) => 60,
            Weather::AllLate => 25,
            _ => 8,
        };
        if self.hits(1) {
            self.sessions.entry(sess).and_modify(|held| held.dial = dial.wrapping_sub(1));
            if dial == 0 {
                self.sessions.remove(&sess);
            }
            return self.step(Input::DialNotStarted { session: sess, dial });
        }
        let report = if self.hits(30) { self.report(server) } else { None };
        if self.hits(bad) {
            let ends = [
                DialEnd::Error,
                DialEnd::Full,
                DialEnd::Timeout,
                DialEnd::Unconnected,
                DialEnd::Reset,
                DialEnd::Cancelled,
                DialEnd::NotSent,
            ];
            let end = ends[self.below(7) as usize];
            return self.step(Input::DialEnded { session: sess, dial, end, settled: false, report });
        }
        if self.hits(15) {
            self.sessions.remove(&sess);
            return self.step(Input::DialEnded {
                session: sess,
                dial,
                end: DialEnd::Ok,
                settled: true,
                report,
            });
        }
        self.sessions.entry(sess).and_modify(|held| held.up = true);
        if let Some(backend) = self.backends.get_mut(&server) {
            backend.open += 1;
        }
        let life = (500 + self.below(15_000)) * MILLISECOND;
        self.schedule(life, Due::End { sess });
        self.step(Input::SessionEstablished { session: sess, dial });
    }

    /// One of the open sessions.
    fn open_session(&mut self) -> Option<(SessionId, ServerId)> {
        let open = self.sessions.iter().filter(|(_, held)| held.up);
        let open: Vec<(SessionId, ServerId)> = open.map(|(sess, held)| (*sess, held.server)).collect();
        let at = self.below(open.len().max(1) as u64) as usize;
        open.get(at).copied()
    }

    /// What comes unasked.
    fn happen(&mut self) {
        match self.below(100) {
            0..50 => {
                let returned = self.hits(if self.weather == Weather::Storm { 80 } else { 10 });
                let input = self.request(returned);
                self.step(input);
            }
            50..60 => {
                if let Some((sess, _)) = self.open_session() {
                    let load = 0.2 + self.below(300) as f64 / 100.0;
                    self.step(Input::SessionLoad { session: sess, load });
                }
            }
            60..74 => {
                if let Some((sess, server)) = self.open_session() {
                    let late = match self.weather {
                        Weather::OneLate => server == 2,
                        Weather::AllLate => !server.is_multiple_of(3),
                        _ => false,
                    };
                    let delay = self.below(50) as f64 / 1000.0 + if late { 0.2 } else { 0.0 };
                    self.step(Input::MessageDelay { session: sess, delay });
                }
            }
            74..79 => {
                if let Some((sess, server)) = self.open_session() {
                    let dial = self.sessions.remove(&sess).map_or(0, |held| held.dial);
                    self.leave(server);
                    let end = [DialEnd::Reset, DialEnd::Ok, DialEnd::Cancelled][self.below(3) as usize];
                    self.step(Input::DialEnded { session: sess, dial, end, settled: true, report: None });
                }
            }
            79..87 => self.change_list(),
            87..90 => {
                self.step(Input::EndpointList { update: ListUpdate::WatchFailed, endpoints: Vec::new() })
            }
            90..93 => {
                self.last_session += 1;
                let (sess, listener) = (self.last_session, self.below(6) as usize);
                let server = 1 + self.below(u64::from(self.last_server)) as ServerId;
                let group = self.below(4);
                let request =
                    AdmissionRequest { listener, group, time_remaining: SECOND, ..Default::default() };
                self.sessions.insert(sess, Held { server, dial: 0, up: true });
                let life = (500 + self.below(9_000)) * MILLISECOND;
                self.schedule(life, Due::End { sess });
                self.step(Input::SessionAdopted { session: sess, server, request });
            }
            93..96 => {
                let (listener, handshake) = (self.below(6) as usize, 150 + self.below(300));
                let mut config = self.config.clone();
                config.listeners[listener].handshake_target = handshake * MILLISECOND;
                config.max_dials = 1 + self.below(5) as u32;
                config.may_probe = self.number != 5 && !self.hits(10);
                self.step(Input::Configure(Box::new(config)));
            }
            96..98 => self.remember(),
            // Of a session that there is not.
            98 => self.step(Input::SessionEnded { session: 1_000_000 }),
            _ => self.step(Input::SessionEstablished { session: 1_000_000, dial: 0 }),
        }
    }

    fn change_list(&mut self) {
        if self.backends.len() < 12 && self.hits(50) {
            let entry = self.add_backend(true);
            return self.step(Input::EndpointList { update: ListUpdate::Delta, endpoints: vec![entry] });
        }
        let at = self.below(self.backends.len() as u64) as usize;
        let server = *self.backends.keys().nth(at).expect("within them");
        let phases = [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Gone];
        let mut entry = self.backends[&server].entry;
        entry.phase = phases[self.below(4) as usize];
        if self.hits(25) {
            entry.started_at = self.now;
        }
        if entry.phase == Phase::Gone && self.backends.len() > 4 {
            self.backends.remove(&server);
        } else {
            self.backends.entry(server).and_modify(|backend| backend.entry = entry);
        }
        let update = if self.hits(20) { ListUpdate::Snapshot } else { ListUpdate::Delta };
        let endpoints = match update {
            ListUpdate::Snapshot => self.backends.values().map(|backend| backend.entry).collect(),
            _ => vec![entry],
        };
        self.step(Input::EndpointList { update, endpoints });
    }

    fn remember(&mut self) {
        let mut servers = Vec::new();
        for server in 1..=self.last_server {
            if self.hits(40) {
                let report =
                    self.report(server).map(|report| PastReport { age: self.below(3) * SECOND, report });
                servers.push(ServerSnapshot {
                    server,
                    report,
                    misses: self.below(2) as u32,
                    recent_sessions: self.below(5) as f64,
                    slot: SlotSnapshot {
                        age: self.below(4_000) * MILLISECOND,
                        interval_fraction: self.below(1000) as f64 / 1000.0,
                    },
                });
            }
        }
        let session_load = self.below(300) as f64 / 1000.0;
        self.step(Input::Restore(Snapshot { session_load, servers }));
    }

    /// Runs all inputs; the lines of the fixture.
    pub fn play(mut self) -> String {
        for _ in 0..(5 + self.number % 4) {
            self.add_backend(false);
        }
        let endpoints = self.backends.values().map(|backend| backend.entry).collect();
        self.step(Input::EndpointList { update: ListUpdate::Snapshot, endpoints });
        while self.inputs < INPUTS_PER_SITE {
            if self.now >= self.weather_ends {
                self.weather = WEATHERS[self.below(7) as usize];
                self.weather_ends = self.now + (1_500 + self.below(3_000)) * MILLISECOND;
            }
            // Each of many relays has few sessions.
            let usual = 90 + 3 * u64::from(self.config.relay_count.min(300));
            let mean = if self.weather == Weather::Storm { usual / 8 } else { usual };
            let next = self.now + 1 + self.below(2 * mean * MILLISECOND);
            while let Some((&key, _)) = self.due.first_key_value().filter(|(key, _)| key.0 <= next) {
                let due = self.due.remove(&key).expect("it was just seen");
                self.now = self.now.max(key.0);
                self.come_due(due);
            }
            self.now = next;
            self.happen();
        }
        let last = INPUTS_PER_SITE / INPUTS_PER_LINE;
        self.lines.lines().take(last as usize).map(|line| format!("{line}\n")).collect()
    }
}
