//! One site of the trace: a relay, its servers and sessions, and the inputs that answer its effects.
use super::config::config;
use super::{encode, TraceHash, INPUTS_PER_LINE, INPUTS_PER_SITE, MILLISECOND, SECOND};
use hallrelay_balancer::types::*;
use hallrelay_balancer::Balancer;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The condition of all servers for some seconds.
#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Normal,
    /// All servers report a high load.
    Full,
    /// Server 2 has a long queue delay.
    OneSlow,
    /// Three quarters of the servers have a long queue delay.
    MostSlow,
    /// 70 % of the dials fail at a third of the servers, and 10 % at the others.
    FailingDials,
    /// About 60 % of the probes and dials fail at half of the servers.
    Unresponsive,
    /// Random inputs are eight times as frequent, and 80 % of the requests are from returning sessions.
    ReconnectStorm,
}

const CONDITIONS: [Condition; 7] = [
    Condition::Normal,
    Condition::Full,
    Condition::OneSlow,
    Condition::MostSlow,
    Condition::FailingDials,
    Condition::Unresponsive,
    Condition::ReconnectStorm,
];

struct Backend {
    /// The backend's entry in the endpoint list.
    entry: Endpoint,
    /// A divisor of the reported load: a backend with a higher capacity reports a lower load per session.
    capacity: f64,
    /// Number of established sessions.
    open: u32,
}

struct SessionState {
    server: ServerId,
    dial: u32,
    established: bool,
}

/// An event that is scheduled for a later time.
enum ScheduledEvent {
    Input(Input),
    DialOutcome { session: SessionId, dial: u32 },
    ProbeAnswer { server: ServerId },
    SessionEnd { session: SessionId },
}

pub struct Site {
    config: SiteConfig,
    relay: Balancer,
    random: oorandom::Rand64,
    now: Micros,
    backends: BTreeMap<ServerId, Backend>,
    sessions: BTreeMap<SessionId, SessionState>,
    schedule: BTreeMap<(Micros, u64), ScheduledEvent>,
    event_count: u64,
    last_session: SessionId,
    last_server: ServerId,
    condition: Condition,
    condition_ends: Micros,
    /// Number of inputs passed to the relay.
    inputs: u32,
    hash: TraceHash,
    /// Number of effects of each kind, by the index that `encode` returns.
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
            random: oorandom::Rand64::new(77 + u128::from(number)),
            now: u64::from(number) * 5 * SECOND,
            backends: BTreeMap::new(),
            sessions: BTreeMap::new(),
            schedule: BTreeMap::new(),
            event_count: 0,
            last_session: 0,
            last_server: 0,
            condition: Condition::Normal,
            condition_ends: 0,
            inputs: 0,
            hash: TraceHash(0xcbf2_9ce4_8422_2325),
            effects: [0; 7],
            number,
            lines: String::new(),
        }
    }

    fn below(&mut self, end: u64) -> u64 {
        self.random.rand_range(0..end)
    }

    /// Returns true with the given probability, in percent.
    fn random_percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn schedule(&mut self, after: Micros, event: ScheduledEvent) {
        self.event_count += 1;
        self.schedule.insert((self.now + after, self.event_count), event);
    }

    fn add_backend(&mut self, warming_up: bool) -> Endpoint {
        self.last_server += 1;
        let server = self.last_server;
        let entry = Endpoint {
            server,
            phase: Phase::Ready,
            started_at: if warming_up { self.now } else { 0 },
            zone: (server % 3) as u8,
            cell: (server % 5) as u16,
        };
        let capacity = [10.0, 25.0, 60.0][self.below(3) as usize];
        self.backends.insert(server, Backend { entry, capacity, open: 0 });
        entry
    }

    fn report(&mut self, server: ServerId) -> Option<LoadReport> {
        let noise = self.below(200) as f64 / 1000.0;
        let omits_load = self.random_percent(5);
        let backend = self.backends.get(&server)?;
        let relays = f64::from(self.config.relay_count.min(4));
        let others = match self.condition {
            Condition::Full => 0.8,
            Condition::MostSlow => 1.05,
            _ => 0.15,
        };
        let load = others + noise + f64::from(backend.open) * relays / (backend.capacity * 6.0);
        let is_slow = match self.condition {
            Condition::OneSlow => server == 2,
            Condition::MostSlow => !server.is_multiple_of(4),
            _ => false,
        };
        let queue_delay = if is_slow { 0.1 + noise } else { noise / 20.0 };
        let sessions = (!server.is_multiple_of(7)).then_some(f64::from(backend.open) * relays + 3.0);
        let load = if is_slow { load + 0.4 } else { load };
        Some(LoadReport { load: (!omits_load).then_some(load), queue_delay: Some(queue_delay), sessions })
    }

    /// Passes an input to the relay, adds its effects to the hash, and schedules the answers to them.
    fn step(&mut self, input: Input) {
        let mut effects = Vec::new();
        self.relay.step(self.now, input, &mut effects);
        self.inputs += 1;
        self.hash.add(self.now);
        self.hash.add(effects.len() as u64);
        for effect in &effects {
            let (kind, fields) = encode(effect);
            self.effects[kind] += 1;
            self.hash.add(kind as u64);
            fields.into_iter().for_each(|field| self.hash.add(field));
        }
        if self.inputs.is_multiple_of(INPUTS_PER_LINE) {
            self.write_line();
        }
        effects.into_iter().for_each(|effect| self.schedule_answer(effect));
    }

    /// Adds the relay's state to the hash, because later decisions depend on that state, and writes a line of
    /// the trace.
    fn write_line(&mut self) {
        let snapshot = self.relay.snapshot(self.now);
        self.hash.add(snapshot.session_load.to_bits());
        for server in snapshot.servers {
            self.hash.add(u64::from(server.server));
            if let Some(PastReport { age, report }) = server.report {
                self.hash.add(age);
                let fields = [report.load, report.queue_delay, report.sessions];
                fields.iter().for_each(|field| self.hash.add(field.unwrap_or(-1.0).to_bits()));
            }
            self.hash.add(u64::from(server.misses));
            self.hash.add(server.recent_sessions.to_bits());
            self.hash.add(server.slot.age);
            self.hash.add(server.slot.interval_fraction.to_bits());
            self.hash.add(u64::from(self.relay.avoids(self.now, server.server)));
        }
        let counts: Vec<String> = self.effects.iter().map(u64::to_string).collect();
        let (number, inputs, hash) = (self.number, self.inputs, self.hash.0);
        _ = writeln!(self.lines, "{number} {inputs} {hash:016x} {}", counts.join(" "));
    }

    fn schedule_answer(&mut self, effect: Effect) {
        match effect {
            Effect::Dial { session, server, .. } => {
                let dial = self.sessions.get(&session).map_or(0, |state| state.dial + 1);
                self.sessions.insert(session, SessionState { server, dial, established: false });
                let is_slow = self.condition == Condition::OneSlow && server == 2;
                let after = (if is_slow { 350 } else { 1 + self.below(40) }) * MILLISECOND;
                self.schedule(after, ScheduledEvent::DialOutcome { session, dial });
            }
            Effect::Reject { session, .. } | Effect::TearDown { session } => {
                self.sessions.remove(&session);
                if self.random_percent(40) {
                    let after = (200 + self.below(1_500)) * MILLISECOND;
                    let input = self.request(true);
                    self.schedule(after, ScheduledEvent::Input(input));
                }
            }
            Effect::Migrate { session } => {
                let after = (1 + self.below(60)) * MILLISECOND;
                self.schedule(after, ScheduledEvent::SessionEnd { session });
                let input = self.request(true);
                self.schedule(after + 3 * MILLISECOND, ScheduledEvent::Input(input));
            }
            Effect::Probe { server } => {
                let after = (1 + self.below(30)) * MILLISECOND;
                self.schedule(after, ScheduledEvent::ProbeAnswer { server });
            }
            Effect::SetTimer { after, label } => {
                self.schedule(after, ScheduledEvent::Input(Input::TimerExpired { label }))
            }
            Effect::WatchEndpoints => {
                let update =
                    if self.random_percent(60) { ListUpdate::WatchFailed } else { ListUpdate::Snapshot };
                let after = (20 + self.below(400)) * MILLISECOND;
                let endpoints = match update {
                    ListUpdate::Snapshot => self.backends.values().map(|backend| backend.entry).collect(),
                    _ => Vec::new(),
                };
                self.schedule(after, ScheduledEvent::Input(Input::EndpointList { update, endpoints }));
            }
        }
    }

    fn request(&mut self, returned: bool) -> Input {
        self.last_session += 1;
        let request = AdmissionRequest {
            listener: self.below(7) as usize,
            key: self.below(1000),
            group: if self.random_percent(50) { 1 + self.below(9) } else { 0 },
            returned,
            time_remaining: [0, 150, 400, 1_000, 1_000, 2_000, 2_000, 2_000, 2_000, 2_000]
                [self.below(10) as usize]
                * MILLISECOND,
        };
        Input::SessionRequested { session: self.last_session, request }
    }

    fn process_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Input(input) => self.step(input),
            ScheduledEvent::DialOutcome { session, dial } => self.process_dial_outcome(session, dial),
            ScheduledEvent::ProbeAnswer { server } => {
                let report = self.report(server);
                let is_unresponsive = self.condition == Condition::Unresponsive && server.is_multiple_of(2);
                let end = match report {
                    _ if is_unresponsive && self.random_percent(60) => DialEnd::Timeout,
                    None => DialEnd::Unconnected,
                    Some(_) if self.random_percent(3) => DialEnd::NotSent,
                    Some(_) if self.random_percent(3) => DialEnd::Full,
                    Some(_) => DialEnd::Ok,
                };
                self.step(Input::ProbeEnded { server, end, report });
            }
            ScheduledEvent::SessionEnd { session } => {
                if let Some(state) = self.sessions.remove(&session) {
                    self.close_session(state.server);
                    self.step(Input::SessionEnded { session });
                }
            }
        }
    }

    fn close_session(&mut self, server: ServerId) {
        if let Some(backend) = self.backends.get_mut(&server) {
            backend.open = backend.open.saturating_sub(1);
        }
    }

    fn process_dial_outcome(&mut self, session: SessionId, dial: u32) {
        let Some(state) =
            self.sessions.get(&session).filter(|state| state.dial == dial && !state.established)
        else {
            return;
        };
        let server = state.server;
        let failure_percent = match self.condition {
            Condition::FailingDials if server % 3 == 1 => 70,
            Condition::FailingDials => 10,
            Condition::Unresponsive if server.is_multiple_of(2) => 60,
            Condition::MostSlow => 25,
            _ => 8,
        };
        if self.random_percent(1) {
            self.sessions.entry(session).and_modify(|state| state.dial = dial.wrapping_sub(1));
            if dial == 0 {
                self.sessions.remove(&session);
            }
            return self.step(Input::DialNotStarted { session, dial });
        }
        let report = if self.random_percent(30) { self.report(server) } else { None };
        if self.random_percent(failure_percent) {
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
            return self.step(Input::DialEnded { session, dial, end, settled: false, report });
        }
        if self.random_percent(15) {
            self.sessions.remove(&session);
            return self.step(Input::DialEnded { session, dial, end: DialEnd::Ok, settled: true, report });
        }
        self.sessions.entry(session).and_modify(|state| state.established = true);
        if let Some(backend) = self.backends.get_mut(&server) {
            backend.open += 1;
        }
        let duration = (500 + self.below(15_000)) * MILLISECOND;
        self.schedule(duration, ScheduledEvent::SessionEnd { session });
        self.step(Input::SessionEstablished { session, dial });
    }

    /// Returns a random established session and its server.
    fn random_established_session(&mut self) -> Option<(SessionId, ServerId)> {
        let established = self.sessions.iter().filter(|(_, state)| state.established);
        let established: Vec<(SessionId, ServerId)> =
            established.map(|(session, state)| (*session, state.server)).collect();
        let index = self.below(established.len().max(1) as u64) as usize;
        established.get(index).copied()
    }

    /// Passes a random input to the relay. Unlike scheduled inputs, it is not an answer to an effect.
    fn step_random_input(&mut self) {
        match self.below(100) {
            0..50 => {
                let returned =
                    self.random_percent(if self.condition == Condition::ReconnectStorm { 80 } else { 10 });
                let input = self.request(returned);
                self.step(input);
            }
            50..60 => {
                if let Some((session, _)) = self.random_established_session() {
                    let load = 0.2 + self.below(300) as f64 / 100.0;
                    self.step(Input::SessionLoad { session, load });
                }
            }
            60..74 => {
                if let Some((session, server)) = self.random_established_session() {
                    let is_slow = match self.condition {
                        Condition::OneSlow => server == 2,
                        Condition::MostSlow => !server.is_multiple_of(3),
                        _ => false,
                    };
                    let delay = self.below(50) as f64 / 1000.0 + if is_slow { 0.2 } else { 0.0 };
                    self.step(Input::MessageDelay { session, delay });
                }
            }
            74..79 => {
                if let Some((session, server)) = self.random_established_session() {
                    let dial = self.sessions.remove(&session).map_or(0, |state| state.dial);
                    self.close_session(server);
                    let end = [DialEnd::Reset, DialEnd::Ok, DialEnd::Cancelled][self.below(3) as usize];
                    self.step(Input::DialEnded { session, dial, end, settled: true, report: None });
                }
            }
            79..87 => self.change_list(),
            87..90 => {
                self.step(Input::EndpointList { update: ListUpdate::WatchFailed, endpoints: Vec::new() })
            }
            90..93 => {
                self.last_session += 1;
                let (session, listener) = (self.last_session, self.below(6) as usize);
                let server = 1 + self.below(u64::from(self.last_server)) as ServerId;
                let group = self.below(4);
                let request =
                    AdmissionRequest { listener, group, time_remaining: SECOND, ..Default::default() };
                self.sessions.insert(session, SessionState { server, dial: 0, established: true });
                let duration = (500 + self.below(9_000)) * MILLISECOND;
                self.schedule(duration, ScheduledEvent::SessionEnd { session });
                self.step(Input::SessionAdopted { session, server, request });
            }
            93..96 => {
                let (listener, handshake) = (self.below(6) as usize, 150 + self.below(300));
                let mut config = self.config.clone();
                config.listeners[listener].handshake_target = handshake * MILLISECOND;
                config.max_dials = 1 + self.below(5) as u32;
                config.may_probe = self.number != 5 && !self.random_percent(10);
                self.step(Input::Configure(Box::new(config)));
            }
            96..98 => self.restore_snapshot(),
            // No session has the number 1,000,000: the relay must ignore inputs about unknown sessions.
            98 => self.step(Input::SessionEnded { session: 1_000_000 }),
            _ => self.step(Input::SessionEstablished { session: 1_000_000, dial: 0 }),
        }
    }

    fn change_list(&mut self) {
        if self.backends.len() < 12 && self.random_percent(50) {
            let entry = self.add_backend(true);
            return self.step(Input::EndpointList { update: ListUpdate::Delta, endpoints: vec![entry] });
        }
        let index = self.below(self.backends.len() as u64) as usize;
        let server = *self.backends.keys().nth(index).expect("the index is below the number of backends");
        let phases = [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Gone];
        let mut entry = self.backends[&server].entry;
        entry.phase = phases[self.below(4) as usize];
        if self.random_percent(25) {
            entry.started_at = self.now;
        }
        if entry.phase == Phase::Gone && self.backends.len() > 4 {
            self.backends.remove(&server);
        } else {
            self.backends.entry(server).and_modify(|backend| backend.entry = entry);
        }
        let update = if self.random_percent(20) { ListUpdate::Snapshot } else { ListUpdate::Delta };
        let endpoints = match update {
            ListUpdate::Snapshot => self.backends.values().map(|backend| backend.entry).collect(),
            _ => vec![entry],
        };
        self.step(Input::EndpointList { update, endpoints });
    }

    fn restore_snapshot(&mut self) {
        let mut servers = Vec::new();
        for server in 1..=self.last_server {
            if self.random_percent(40) {
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

    /// Runs the site for `INPUTS_PER_SITE` inputs, and returns its lines of the trace.
    pub fn run(mut self) -> String {
        for _ in 0..(5 + self.number % 4) {
            self.add_backend(false);
        }
        let endpoints = self.backends.values().map(|backend| backend.entry).collect();
        self.step(Input::EndpointList { update: ListUpdate::Snapshot, endpoints });
        while self.inputs < INPUTS_PER_SITE {
            if self.now >= self.condition_ends {
                self.condition = CONDITIONS[self.below(7) as usize];
                self.condition_ends = self.now + (1_500 + self.below(3_000)) * MILLISECOND;
            }
            // In a site with many relays, each relay has few sessions.
            let normal_mean = 90 + 3 * u64::from(self.config.relay_count.min(300));
            let mean =
                if self.condition == Condition::ReconnectStorm { normal_mean / 8 } else { normal_mean };
            let next = self.now + 1 + self.below(2 * mean * MILLISECOND);
            while let Some((&key, _)) = self.schedule.first_key_value().filter(|(key, _)| key.0 <= next) {
                let event = self.schedule.remove(&key).expect("the first scheduled event exists");
                self.now = self.now.max(key.0);
                self.process_event(event);
            }
            self.now = next;
            self.step_random_input();
        }
        let line_count = INPUTS_PER_SITE / INPUTS_PER_LINE;
        self.lines.lines().take(line_count as usize).map(|line| format!("{line}\n")).collect()
    }
}
