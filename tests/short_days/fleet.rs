//! A fleet in virtual time: instances of the decision module before modelled backends. Everything that is
//! drawn comes from one seed, so a play gives the same result every time.
use hallrelay_balancer::types::*;
use hallrelay_balancer::Balancer;
use std::collections::{BTreeMap, HashMap};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// The way to a backend and back, with its answer.
const ROUND_TRIP: Micros = 2 * MILLISECOND;

/// What a client allows for its dial.
const DIAL_TIMEOUT: Micros = 2 * SECOND;

/// A site of relays that may probe, with a listener of low and one of high utility, both repeatable, and ten
/// seconds of slow start.
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

/// A backend as the model keeps it.
#[derive(Default)]
pub struct Backend {
    pub entry: Endpoint,
    /// Sessions that fill a warm one.
    pub capacity: f64,
    pub open: u32,
    /// Load that others put on it, over its capacity.
    pub other_load: f64,
    /// When each dial came, in order.
    pub dials: Vec<Micros>,
}

impl Backend {
    /// The part of its capacity that it has by then.
    fn warmth(&self, now: Micros, site: &SiteConfig) -> f64 {
        if self.entry.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.entry.started_at) as f64 / site.warm_up as f64;
        site.initial_capacity + (1.0 - site.initial_capacity) * age.min(1.0)
    }

    fn report(&self, now: Micros, site: &SiteConfig) -> LoadReport {
        let load = self.other_load + f64::from(self.open) / (self.capacity * self.warmth(now, site));
        LoadReport { load: Some(load), queue_delay: Some(0.0), sessions: Some(f64::from(self.open)) }
    }

    /// N of `docs/design.md`: the sessions that a cold backend takes within the time in which it may fall.
    pub fn cold_budget(&self, now: Micros, site: &SiteConfig) -> f64 {
        let rate = site.overload_multiple * self.warmth(now, site) * self.capacity / site.warm_up as f64;
        rate * site.overload_window as f64
    }

    /// The dials within the time in which it may fall, up to then.
    pub fn dials_in_fall_window(&self, now: Micros, site: &SiteConfig) -> usize {
        let within =
            |at: &&Micros| **at <= now && **at + site.overload_window > now && **at >= self.entry.started_at;
        self.dials.iter().filter(within).count()
    }
}

/// What a relay did, for the tests' verdicts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    Dialled,
    Refused,
}

/// What is due at some moment.
enum Happening {
    Input { relay: usize, input: Input },
    ClientComes { relay: usize, returned: bool },
    SessionEnds { relay: usize, sess: SessionId, server: ServerId },
    BackendIsProbed { relay: usize, server: ServerId },
}

/// A session that stands.
struct Standing {
    server: ServerId,
}

pub struct Fleet {
    pub site: SiteConfig,
    pub backends: BTreeMap<ServerId, Backend>,
    pub now: Micros,
    /// Per relay what it did, in order.
    pub deeds: Vec<Vec<(Micros, Deed)>>,
    /// The mean life of a session.
    pub session_life: Micros,
    relays: Vec<Balancer>,
    standing: Vec<HashMap<SessionId, Standing>>,
    due: BTreeMap<(Micros, u64), Happening>,
    scheduled: u64,
    last_session: SessionId,
    chance: oorandom::Rand64,
}

impl Fleet {
    /// `site.slot` is set for each relay.
    pub fn new(site: SiteConfig, seed: u64) -> Fleet {
        let relay = |slot: u32| {
            let facts = SiteConfig { relay_index: slot, ..site.clone() };
            Balancer::new(facts, seed.wrapping_mul(1_000).wrapping_add(u64::from(slot)))
        };
        let count = site.relay_count as usize;
        Fleet {
            relays: (0..site.relay_count).map(relay).collect(),
            site,
            backends: BTreeMap::new(),
            now: 0,
            deeds: vec![Vec::new(); count],
            session_life: SECOND,
            standing: (0..count).map(|_| HashMap::new()).collect(),
            due: BTreeMap::new(),
            scheduled: 0,
            last_session: 0,
            chance: oorandom::Rand64::new(u128::from(seed)),
        }
    }

    /// From 0 to 1.
    pub fn draw(&mut self) -> f64 {
        self.chance.rand_float()
    }

    /// A time of the exponential distribution.
    pub fn draw_time(&mut self, mean: f64) -> Micros {
        (-mean * (1.0 - self.draw()).ln()) as Micros
    }

    fn schedule(&mut self, at: Micros, happening: Happening) {
        self.scheduled += 1;
        self.due.insert((at, self.scheduled), happening);
    }

    pub fn add_warm_backend(&mut self, server: ServerId, capacity: f64) {
        let entry = Endpoint { server, phase: Phase::Ready, ..Endpoint::default() };
        self.backends.insert(server, Backend { entry, capacity, ..Backend::default() });
    }

    /// One that starts now, cold. All relays are told at once.
    pub fn start_cold_backend(&mut self, server: ServerId, capacity: f64) {
        let entry = Endpoint { server, phase: Phase::Ready, started_at: self.now, ..Endpoint::default() };
        let dials = Vec::new();
        self.backends.insert(server, Backend { entry, capacity, dials, ..Backend::default() });
        self.tell_all(ListUpdate::Delta, vec![entry]);
    }

    /// Its sessions end, and their clients come again within a time; all relays are told that it is gone.
    pub fn crash_backend(&mut self, server: ServerId, return_within: Micros) {
        for relay in 0..self.relays.len() {
            let there = self.standing[relay].iter().filter(|(_, one)| one.server == server);
            let mut there: Vec<SessionId> = there.map(|(sess, _)| *sess).collect();
            there.sort_unstable();
            for sess in there {
                self.standing[relay].remove(&sess);
                let end = DialEnd::Reset;
                let input = Input::DialEnded { session: sess, dial: 0, end, settled: true, report: None };
                self.step(relay, input);
                let at = self.now + (self.draw() * return_within as f64) as Micros;
                self.schedule(at, Happening::ClientComes { relay, returned: true });
            }
        }
        let entry = Endpoint { server, phase: Phase::Gone, ..Endpoint::default() };
        self.backends.remove(&server);
        self.tell_all(ListUpdate::Delta, vec![entry]);
    }

    pub fn tell_whole_list(&mut self) {
        let entries = self.backends.values().map(|backend| backend.entry).collect();
        self.tell_all(ListUpdate::Snapshot, entries);
    }

    fn tell_all(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        for relay in 0..self.relays.len() {
            self.step(relay, Input::EndpointList { update, endpoints: endpoints.clone() });
        }
    }

    /// Clients come to every relay at a mean rate, each by chance, within a span.
    pub fn schedule_clients(&mut self, from: Micros, till: Micros, per_second: f64) {
        for relay in 0..self.relays.len() {
            let mut at = from;
            loop {
                at += self.draw_time(SECOND as f64 / per_second).max(1);
                if at >= till {
                    break;
                }
                self.schedule(at, Happening::ClientComes { relay, returned: false });
            }
        }
    }

    /// Clients that lost their sessions elsewhere come back to every relay at once, spread evenly over a
    /// span.
    pub fn schedule_reconnect_storm(&mut self, from: Micros, span: Micros, per_relay: u32) {
        for relay in 0..self.relays.len() {
            for _ in 0..per_relay {
                let at = from + (self.draw() * span as f64) as Micros;
                self.schedule(at, Happening::ClientComes { relay, returned: true });
            }
        }
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some((&key, _)) = self.due.first_key_value().filter(|(key, _)| key.0 <= end) {
            let happening = self.due.remove(&key).expect("it was just seen");
            self.now = key.0;
            self.happen(happening);
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Input { relay, input } => self.step(relay, input),
            Happening::ClientComes { relay, returned } => {
                self.last_session += 1;
                let request = AdmissionRequest {
                    returned,
                    time_remaining: DIAL_TIMEOUT,
                    ..AdmissionRequest::default()
                };
                self.step(relay, Input::SessionRequested { session: self.last_session, request });
            }
            Happening::SessionEnds { relay, sess, server } => {
                // One whose backend has crashed is over already.
                if self.standing[relay].remove(&sess).is_some() {
                    if let Some(backend) = self.backends.get_mut(&server) {
                        backend.open -= 1;
                    }
                    self.step(relay, Input::SessionEnded { session: sess });
                }
            }
            Happening::BackendIsProbed { relay, server } => {
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
            self.carry_out(relay, effect);
        }
    }

    fn carry_out(&mut self, relay: usize, effect: Effect) {
        match effect {
            Effect::Dial { session: sess, server, .. } => self.dial(relay, sess, server),
            Effect::Reject { .. } | Effect::TearDown { .. } => {
                self.deeds[relay].push((self.now, Deed::Refused));
            }
            Effect::Migrate { session: sess } => {
                let server = self.standing[relay][&sess].server;
                self.happen(Happening::SessionEnds { relay, sess, server });
                self.schedule(self.now + ROUND_TRIP, Happening::ClientComes { relay, returned: true });
            }
            Effect::Probe { server } => {
                self.schedule(self.now + ROUND_TRIP, Happening::BackendIsProbed { relay, server });
            }
            Effect::SetTimer { after, label } => {
                let input = Input::TimerExpired { label };
                self.schedule(self.now + after, Happening::Input { relay, input });
            }
            Effect::WatchEndpoints => {}
        }
    }

    fn dial(&mut self, relay: usize, sess: SessionId, server: ServerId) {
        self.deeds[relay].push((self.now, Deed::Dialled));
        let backend = self.backends.get_mut(&server).expect("only what is listed is dialled");
        backend.dials.push(self.now);
        backend.open += 1;
        self.standing[relay].insert(sess, Standing { server });
        let answer = Input::SessionEstablished { session: sess, dial: 0 };
        self.schedule(self.now + ROUND_TRIP, Happening::Input { relay, input: answer });
        let life = ROUND_TRIP + 1 + self.draw_time(self.session_life as f64);
        self.schedule(self.now + life, Happening::SessionEnds { relay, sess, server });
    }
}
