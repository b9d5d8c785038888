//! A simulated fleet in virtual time: one balancer per relay, and modelled backends. All random values come
//! from one seed, so a simulation gives the same result each time. A cold backend is one that warms up after
//! its start; a warm backend has its full capacity.
use hallrelay_balancer::types::*;
use hallrelay_balancer::Balancer;
use std::collections::{BTreeMap, HashMap};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Time from the start of a dial or probe to the backend's answer.
const ROUND_TRIP: Micros = 2 * MILLISECOND;

/// Timeout of each client's session request.
const REQUEST_TIMEOUT: Micros = 2 * SECOND;

/// A site of relays that may probe, with two idempotent listeners of low and high priority, and a slow start
/// of ten seconds.
pub fn two_listeners(relays: u32) -> SiteConfig {
    let listener = |priority_weight| Listener {
        priority_weight,
        idempotency: Idempotency::Idempotent,
        handshake_target: 300 * MILLISECOND,
        message_target: 60 * MILLISECOND,
    };
    SiteConfig {
        listeners: vec![listener(1.0), listener(5.0)],
        relay_count: relays,
        may_probe: true,
        max_dials: 4,
        max_sessions: 1_000_000,
        warm_up: 10 * SECOND,
        initial_capacity: 0.2,
        overload_multiple: 3.0,
        overload_window: 2 * SECOND,
        ..SiteConfig::default()
    }
}

/// A modelled backend.
#[derive(Default)]
pub struct Backend {
    pub endpoint: Endpoint,
    /// Number of sessions that saturate the backend once it is warm.
    pub capacity: f64,
    /// Number of sessions at the backend, including those that are being established.
    pub open: u32,
    /// Load that does not come from sessions, as a fraction of the backend's capacity.
    pub other_load: f64,
    /// The start of each dial to the backend, in order.
    pub dials: Vec<Micros>,
}

impl Backend {
    /// The fraction of its capacity that the backend has at `now`.
    fn capacity_fraction(&self, now: Micros, site: &SiteConfig) -> f64 {
        if self.endpoint.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.endpoint.started_at) as f64 / site.warm_up as f64;
        site.initial_capacity + (1.0 - site.initial_capacity) * age.min(1.0)
    }

    fn report(&self, now: Micros, site: &SiteConfig) -> LoadReport {
        let load =
            self.other_load + f64::from(self.open) / (self.capacity * self.capacity_fraction(now, site));
        LoadReport { load: Some(load), queue_delay: Some(0.0), sessions: Some(f64::from(self.open)) }
    }

    /// Number of sessions that a cold backend can take within one overload window without failing, at its
    /// capacity at `now`. `docs/design.md` calls this number N.
    pub fn cold_budget(&self, now: Micros, site: &SiteConfig) -> f64 {
        let rate =
            site.overload_multiple * self.capacity_fraction(now, site) * self.capacity / site.warm_up as f64;
        rate * site.overload_window as f64
    }

    /// Number of dials to the backend since its start within the overload window that ends at `now`.
    pub fn dials_in_overload_window(&self, now: Micros, site: &SiteConfig) -> usize {
        let in_window = |at: &&Micros| {
            **at <= now && **at + site.overload_window > now && **at >= self.endpoint.started_at
        };
        self.dials.iter().filter(in_window).count()
    }
}

/// A relay's decision for a session, in the two classes that the tests distinguish.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The relay dialled a backend for the session.
    Dialled,
    /// The relay rejected the session or tore it down.
    Rejected,
}

/// An event of the simulation.
enum ScheduledEvent {
    Input { relay: usize, input: Input },
    ClientConnects { relay: usize, returned: bool },
    SessionEnds { relay: usize, session: SessionId, server: ServerId },
    ProbeReachesBackend { relay: usize, server: ServerId },
}

/// An open session.
struct OpenSession {
    server: ServerId,
}

pub struct Fleet {
    pub site: SiteConfig,
    pub backends: BTreeMap<ServerId, Backend>,
    pub now: Micros,
    /// The decisions of each relay with their times, in order. The index is the relay's index.
    pub decisions: Vec<Vec<(Micros, Decision)>>,
    /// The mean duration of a session.
    pub mean_session_time: Micros,
    relays: Vec<Balancer>,
    open_sessions: Vec<HashMap<SessionId, OpenSession>>,
    events: BTreeMap<(Micros, u64), ScheduledEvent>,
    event_count: u64,
    last_session: SessionId,
    random: oorandom::Rand64,
}

impl Fleet {
    /// Creates a fleet of `site.relay_count` relays without backends. Each relay gets its own `relay_index`.
    pub fn new(site: SiteConfig, seed: u64) -> Fleet {
        let relay = |relay_index: u32| {
            let site = SiteConfig { relay_index, ..site.clone() };
            Balancer::new(site, seed.wrapping_mul(1_000).wrapping_add(u64::from(relay_index)))
        };
        let count = site.relay_count as usize;
        Fleet {
            relays: (0..site.relay_count).map(relay).collect(),
            site,
            backends: BTreeMap::new(),
            now: 0,
            decisions: vec![Vec::new(); count],
            mean_session_time: SECOND,
            open_sessions: (0..count).map(|_| HashMap::new()).collect(),
            events: BTreeMap::new(),
            event_count: 0,
            last_session: 0,
            random: oorandom::Rand64::new(u128::from(seed)),
        }
    }

    /// A random number from 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.random.rand_float()
    }

    /// A random time with an exponential distribution. `mean` is in microseconds.
    pub fn draw_time(&mut self, mean: f64) -> Micros {
        (-mean * (1.0 - self.draw()).ln()) as Micros
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    pub fn add_warm_backend(&mut self, server: ServerId, capacity: f64) {
        let endpoint = Endpoint { server, phase: Phase::Ready, ..Endpoint::default() };
        self.backends.insert(server, Backend { endpoint, capacity, ..Backend::default() });
    }

    /// Starts a cold backend, and immediately notifies all relays of it.
    pub fn start_cold_backend(&mut self, server: ServerId, capacity: f64) {
        let endpoint = Endpoint { server, phase: Phase::Ready, started_at: self.now, ..Endpoint::default() };
        let dials = Vec::new();
        self.backends.insert(server, Backend { endpoint, capacity, dials, ..Backend::default() });
        self.send_list(ListUpdate::Delta, vec![endpoint]);
    }

    /// Resets all sessions of a backend, and removes the backend from the endpoint list of all relays. Each
    /// client returns to its relay at a random time within `return_within`.
    pub fn crash_backend(&mut self, server: ServerId, return_within: Micros) {
        for relay in 0..self.relays.len() {
            let sessions = self.open_sessions[relay].iter().filter(|(_, open)| open.server == server);
            let mut sessions: Vec<SessionId> = sessions.map(|(session, _)| *session).collect();
            sessions.sort_unstable();
            for session in sessions {
                self.open_sessions[relay].remove(&session);
                let end = DialEnd::Reset;
                let input = Input::DialEnded { session, dial: 0, end, settled: true, report: None };
                self.step(relay, input);
                let at = self.now + (self.draw() * return_within as f64) as Micros;
                self.schedule(at, ScheduledEvent::ClientConnects { relay, returned: true });
            }
        }
        let endpoint = Endpoint { server, phase: Phase::Gone, ..Endpoint::default() };
        self.backends.remove(&server);
        self.send_list(ListUpdate::Delta, vec![endpoint]);
    }

    pub fn send_list_snapshot(&mut self) {
        let endpoints = self.backends.values().map(|backend| backend.endpoint).collect();
        self.send_list(ListUpdate::Snapshot, endpoints);
    }

    fn send_list(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        for relay in 0..self.relays.len() {
            self.step(relay, Input::EndpointList { update, endpoints: endpoints.clone() });
        }
    }

    /// Schedules new clients at each relay, at random times from `from` to `until`. `per_second` is the mean
    /// rate of each relay.
    pub fn schedule_clients(&mut self, from: Micros, until: Micros, per_second: f64) {
        for relay in 0..self.relays.len() {
            let mut at = from;
            loop {
                at += self.draw_time(SECOND as f64 / per_second).max(1);
                if at >= until {
                    break;
                }
                self.schedule(at, ScheduledEvent::ClientConnects { relay, returned: false });
            }
        }
    }

    /// Schedules `per_relay` returning clients at each relay, at uniformly random times within `span`. They
    /// lost sessions that are not part of the simulation.
    pub fn schedule_reconnect_storm(&mut self, from: Micros, span: Micros, per_relay: u32) {
        for relay in 0..self.relays.len() {
            for _ in 0..per_relay {
                let at = from + (self.draw() * span as f64) as Micros;
                self.schedule(at, ScheduledEvent::ClientConnects { relay, returned: true });
            }
        }
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some((&key, _)) = self.events.first_key_value().filter(|(key, _)| key.0 <= end) {
            let event = self.events.remove(&key).expect("take the event that was just found");
            self.now = key.0;
            self.run_event(event);
        }
        self.now = end;
    }

    fn run_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Input { relay, input } => self.step(relay, input),
            ScheduledEvent::ClientConnects { relay, returned } => {
                self.last_session += 1;
                let request = AdmissionRequest {
                    returned,
                    time_remaining: REQUEST_TIMEOUT,
                    ..AdmissionRequest::default()
                };
                self.step(relay, Input::SessionRequested { session: self.last_session, request });
            }
            ScheduledEvent::SessionEnds { relay, session, server } => {
                // The session is missing if it has already ended, by a crash of its backend or a migration.
                if self.open_sessions[relay].remove(&session).is_some() {
                    if let Some(backend) = self.backends.get_mut(&server) {
                        backend.open -= 1;
                    }
                    self.step(relay, Input::SessionEnded { session });
                }
            }
            ScheduledEvent::ProbeReachesBackend { relay, server } => {
                let report = self.backends.get(&server).map(|b| b.report(self.now, &self.site));
                let end = if report.is_some() { DialEnd::Ok } else { DialEnd::Unconnected };
                self.step(relay, Input::ProbeEnded { server, end, report });
            }
        }
    }

    fn step(&mut self, relay: usize, input: Input) {
        let mut effects = Vec::new();
        self.relays[relay].step(self.now, input, &mut effects);
        for effect in effects {
            self.apply_effect(relay, effect);
        }
    }

    fn apply_effect(&mut self, relay: usize, effect: Effect) {
        match effect {
            Effect::Dial { session, server, .. } => self.dial(relay, session, server),
            Effect::Reject { .. } | Effect::TearDown { .. } => {
                self.decisions[relay].push((self.now, Decision::Rejected));
            }
            Effect::Migrate { session } => {
                let open = self.open_sessions[relay].get(&session);
                let open = open.unwrap_or_else(|| {
                    panic!("relay {relay} migrated session {session} at {} us: not open", self.now)
                });
                let server = open.server;
                self.run_event(ScheduledEvent::SessionEnds { relay, session, server });
                self.schedule(
                    self.now + ROUND_TRIP,
                    ScheduledEvent::ClientConnects { relay, returned: true },
                );
            }
            Effect::Probe { server } => {
                self.schedule(self.now + ROUND_TRIP, ScheduledEvent::ProbeReachesBackend { relay, server });
            }
            Effect::SetTimer { after, label } => {
                let input = Input::TimerExpired { label };
                self.schedule(self.now + after, ScheduledEvent::Input { relay, input });
            }
            Effect::WatchEndpoints => {}
        }
    }

    fn dial(&mut self, relay: usize, session: SessionId, server: ServerId) {
        self.decisions[relay].push((self.now, Decision::Dialled));
        let now = self.now;
        let backend = self.backends.get_mut(&server);
        let backend = backend.unwrap_or_else(|| {
            panic!("relay {relay} dialled backend {server} for session {session} at {now} us: not listed")
        });
        backend.dials.push(self.now);
        backend.open += 1;
        self.open_sessions[relay].insert(session, OpenSession { server });
        let established = Input::SessionEstablished { session, dial: 0 };
        self.schedule(self.now + ROUND_TRIP, ScheduledEvent::Input { relay, input: established });
        let duration = ROUND_TRIP + 1 + self.draw_time(self.mean_session_time as f64);
        self.schedule(self.now + duration, ScheduledEvent::SessionEnds { relay, session, server });
    }
}
