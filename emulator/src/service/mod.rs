//! The service figure of a day: session time requested and well served, samples, the log, and the outcome.
//! Session time is well served while the session is open and its server's message delay is within the latency
//! objective of the listener. The utility of session time is its length multiplied by the listener's weight.
mod outcome;

pub use outcome::{
    FaultFigures, LeaseFigures, ListenerFigures, LogLine, MalformedClientFigures, Outcome, RelayFigures,
    Sample,
};

use crate::audit::Audit;
use crate::clients::Clients;
use crate::script;
use crate::servers::{ServerEvent, Servers};
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::Scenario;

/// Interval at which served sessions are counted, in microseconds.
pub const TICK: Micros = 100_000;
/// Number of samples taken per day, regardless of its length.
const SAMPLE_COUNT: Micros = 300;
/// Maximum number of lines recorded in the log.
const MAX_LOG_LINES: usize = 20_000;
/// Length in seconds of the window whose worst service is reported. A shorter day is a single window.
const WINDOW_S: usize = 10;

/// Utility of session time: the time in seconds multiplied by the listener's priority weight.
#[derive(Clone, Copy, Default)]
struct Utility {
    requested: f64,
    served: f64,
}

impl Utility {
    fn add(&mut self, requested: f64, served: f64) {
        self.requested += requested;
        self.served += served;
    }

    /// Fraction well served, from 0 to 1; 1 if nothing was requested.
    fn fraction(self) -> f64 {
        fraction(self.served, self.requested)
    }
}

fn fraction(served: f64, requested: f64) -> f64 {
    if requested > 0.0 {
        served / requested
    } else {
        1.0
    }
}

/// Counts the session time that was requested and well served.
pub struct Service {
    begin: Micros,
    counted_until: Micros,
    sample_interval: Micros,
    next_sample_at: Micros,
    /// By listener: seconds of session time requested.
    requested: Vec<f64>,
    /// By listener: seconds of session time served within the latency objective.
    served: Vec<f64>,
    /// By second of the day: the utility of all listeners.
    seconds: Vec<Utility>,
    /// By listener: priority weight.
    weights: Vec<f64>,
    /// By listener: latency objective of messages.
    objectives: Vec<Micros>,
    /// Samples taken so far.
    pub samples: Vec<Sample>,
    /// The first `MAX_LOG_LINES` lines of the log.
    pub log: Vec<LogLine>,
    /// Maximum number of sessions open at the same time.
    max_open: u32,
    /// Utility since the last sample.
    since_sample: Utility,
}

impl Service {
    /// Creates an empty count for a day that begins at `begin`.
    pub fn new(scenario: &Scenario, begin: Micros) -> Service {
        let listeners = &scenario.listeners;
        let sample_interval = (scenario.length_s.us() / SAMPLE_COUNT).max(TICK) / TICK * TICK;
        Service {
            begin,
            counted_until: begin,
            sample_interval,
            next_sample_at: begin,
            requested: vec![0.0; listeners.len()],
            served: vec![0.0; listeners.len()],
            seconds: Vec::new(),
            weights: listeners.iter().map(|listener| listener.utility.0).collect(),
            objectives: listeners.iter().map(|listener| listener.message_target_ms.us()).collect(),
            samples: Vec::new(),
            log: Vec::new(),
            max_open: 0,
            since_sample: Utility::default(),
        }
    }

    /// When `tick` is due next.
    pub fn next_at(&self) -> Micros {
        self.counted_until + TICK
    }

    /// Adds a line to the log; lines beyond the maximum are dropped.
    pub fn log_event(&mut self, now: Micros, text: String) {
        if self.log.len() < MAX_LOG_LINES {
            self.log.push(LogLine { at: (now - self.begin.min(now)) as f64 / 1e6, text });
        }
    }

    /// Counts the session time since the last tick, and takes a sample if one is due.
    pub fn tick(
        &mut self,
        now: Micros,
        servers: &mut Servers,
        clients: &Clients,
        out: &mut Vec<ServerEvent>,
    ) {
        if now <= self.counted_until {
            return;
        }
        let elapsed_s = (now - self.counted_until) as f64 / 1e6;
        self.counted_until = now;
        let served_sessions = self.count_served(now, servers, out);
        self.count_second(now, elapsed_s, &served_sessions, clients);
        self.max_open = self.max_open.max(clients.open);
        if now >= self.next_sample_at {
            self.next_sample_at = now + self.sample_interval;
            self.sample(now, servers, clients);
        }
    }

    /// By listener: the number of open sessions at servers whose message delay is within the latency
    /// objective.
    fn count_served(&self, now: Micros, servers: &mut Servers, out: &mut Vec<ServerEvent>) -> Vec<u32> {
        let mut served = vec![0u32; self.objectives.len()];
        for server in 0..servers.len() {
            let (delay, open_by_listener) = servers.open_sessions(now, server, out);
            let Some(delay) = delay else { continue };
            for (listener, &objective) in self.objectives.iter().enumerate() {
                served[listener] += if delay <= objective { open_by_listener[listener] } else { 0 };
            }
        }
        served
    }

    fn count_second(&mut self, now: Micros, elapsed_s: f64, served_sessions: &[u32], clients: &Clients) {
        let second = ((now - 1 - self.begin) / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Utility::default());
        }
        for (listener, &sessions) in served_sessions.iter().enumerate() {
            let requested = f64::from(clients.wanted[listener]) * elapsed_s;
            // A session may stay open briefly after its client's lifetime; that time does not count.
            let served = (f64::from(sessions) * elapsed_s).min(requested);
            self.requested[listener] += requested;
            self.served[listener] += served;
            let weight = self.weights[listener];
            self.seconds[second].add(requested * weight, served * weight);
            self.since_sample.add(requested * weight, served * weight);
        }
    }

    fn sample(&mut self, now: Micros, servers: &Servers, clients: &Clients) {
        let service = std::mem::take(&mut self.since_sample).fraction();
        let failed = |counts: &crate::clients::Counts| counts.failed + counts.closed + counts.unanswered;
        self.samples.push(Sample {
            at: (now - self.begin) as f64 / 1e6,
            requesting: clients.requesting,
            open: clients.open,
            waiting: clients.waiting,
            wanted: clients.wanted.iter().sum(),
            service,
            rejected: clients.counts.iter().map(|counts| counts.rejected).collect(),
            failed: clients.counts.iter().map(failed).sum(),
            moves: clients.moves,
            breaks: clients.breaks,
            loads: (0..servers.len()).map(|server| servers.load(server) as f32).collect(),
        });
    }

    /// The outcome so far. Fields that only the driver knows, such as `relays`, keep their defaults.
    pub fn outcome(
        &self,
        scenario: &Scenario,
        seed: u64,
        servers: &Servers,
        clients: &Clients,
        audit: &Audit,
    ) -> Outcome {
        let wasted = servers.counts.wasted as f64 / (servers.total_work() as f64).max(1.0);
        let outcome = Outcome {
            name: scenario.name.clone(),
            seed,
            length_s: (self.counted_until - self.begin) as f64 / 1e6,
            whole: fraction(self.weighted(&self.served), self.weighted(&self.requested)),
            worst_window: self.worst_window(),
            worst_listener: self.listener_service().fold(1.0, f64::min),
            listeners: self.listener_figures(scenario, clients),
            moves: clients.moves,
            breaks: clients.breaks,
            dials: servers.counts.dials,
            probes: servers.counts.probes,
            wasted,
            max_open: self.max_open,
            stale_dials: audit.stale_dials,
            overloads: audit.overloads,
            breaches: audit.breaches.clone(),
            breach_count: audit.breach_count(),
            sessions_seen: audit.sessions_seen,
            faults: fault_figures(scenario),
            log: self.log.clone(),
            samples: self.samples.clone(),
            servers: servers.endpoints.identities.iter().map(|identity| identity.id.clone()).collect(),
            ..Outcome::default()
        };
        with_figure(scenario, clients, outcome)
    }

    /// Sum over listeners, with each value multiplied by the listener's priority weight.
    fn weighted(&self, by_listener: &[f64]) -> f64 {
        by_listener.iter().zip(&self.weights).map(|(value, weight)| value * weight).sum::<f64>()
    }

    fn worst_window(&self) -> f64 {
        let length = WINDOW_S.min(self.seconds.len().max(1));
        let service = |window: &[Utility]| {
            let served = window.iter().map(|second| second.served).sum();
            fraction(served, window.iter().map(|second| second.requested).sum())
        };
        self.seconds.windows(length).map(service).fold(1.0, f64::min)
    }

    /// By listener: the fraction of the requested session time that was well served.
    fn listener_service(&self) -> impl Iterator<Item = f64> + '_ {
        self.served.iter().zip(&self.requested).map(|(served, requested)| fraction(*served, *requested))
    }

    fn listener_figures(&self, scenario: &Scenario, clients: &Clients) -> Vec<ListenerFigures> {
        let listeners = scenario.listeners.iter().enumerate().zip(self.listener_service());
        let figures = listeners.map(|((index, listener), service)| {
            let counts = &clients.counts[index];
            let waits = &clients.waits[index];
            let wait_ms = |quantile: f64| waits.value_at_quantile(quantile) as f64 / 1e3;
            ListenerFigures {
                name: listener.name.clone(),
                service,
                first_attempts: counts.first_attempts,
                attempts: counts.attempts,
                established: counts.established,
                rejected: counts.rejected,
                failed: counts.failed,
                closed: counts.closed,
                unreachable: counts.unreachable,
                unanswered: counts.unanswered,
                given_up: counts.given_up,
                within_target: counts.within_target,
                wait_ms: [wait_ms(0.5), wait_ms(0.99), wait_ms(0.999), waits.max() as f64 / 1e3],
            }
        });
        figures.collect()
    }
}

/// Completes an outcome with the prices and the service figure. The scenario's goal sets the weights of both.
fn with_figure(scenario: &Scenario, clients: &Clients, outcome: Outcome) -> Outcome {
    let goal = &scenario.goal;
    let arrivals: u64 = clients.counts.iter().map(|counts| counts.first_attempts).sum();
    let per_arrival = |count: u64| count as f64 / arrivals.max(1) as f64;
    let prices = goal.price_move.0 * per_arrival(outcome.moves)
        + goal.price_probe.0 * per_arrival(outcome.probes)
        + goal.price_handshake.0 * per_arrival(outcome.dials)
        + goal.price_waste.0 * outcome.wasted;
    let parts = [
        goal.whole.0 * outcome.whole,
        goal.worst_window.0 * outcome.worst_window,
        goal.worst_listener.0 * outcome.worst_listener,
    ];
    Outcome { figure: parts.iter().sum::<f64>() - prices, prices, ..outcome }
}

fn fault_figures(scenario: &Scenario) -> Vec<FaultFigures> {
    let periods = script::fault_periods(scenario).into_iter();
    let figures = periods.map(|period| FaultFigures {
        kind: period.kind,
        from: period.from as f64 / 1e6,
        to: period.to as f64 / 1e6,
    });
    figures.collect()
}
