//! What the day was: seconds asked for and well served, samples for the page, and the service figure.
use crate::audit::{Audit, Breach};
use crate::clients::Clients;
use crate::membership_audit::MembershipOutcome;
use crate::script;
use crate::servers::{ServerEvent, Servers};
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::Scenario;
use serde::{Deserialize, Serialize};

/// Seconds are counted in steps of this.
pub const TICK: Micros = 100_000;

/// What was going on at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Seconds since the day began.
    pub at: f64,
    pub asking: u32,
    pub open: u32,
    pub away: u32,
    /// Clients that want to be served.
    pub wanted: u32,
    /// The utility well served, as a part of what is asked for.
    pub service: f64,
    pub refused: Vec<u64>,
    pub failed: u64,
    pub moves: u64,
    pub breaks: u64,
    pub loads: Vec<f32>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ListenerFigures {
    pub name: String,
    pub service: f64,
    pub first_tries: u64,
    pub tries: u64,
    pub up: u64,
    pub refused: u64,
    pub failed: u64,
    pub closed: u64,
    pub unreached: u64,
    pub unanswered: u64,
    pub given_up: u64,
    pub in_target: u64,
    /// Milliseconds from the first line to `UP`.
    pub wait_ms: [f64; 4],
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    pub at: f64,
    pub text: String,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BandFigures {
    pub kind: String,
    pub from: f64,
    pub to: f64,
}

/// All that a run leaves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub name: String,
    pub seed: u64,
    /// `sockets` or `virtual`.
    pub way: String,
    pub length_s: f64,
    /// Ended before its time, and why.
    pub partial: Option<String>,
    /// The figure: parts as the scenario's goal weighs them, less prices.
    pub figure: f64,
    pub whole: f64,
    pub worst_window: f64,
    pub worst_listener: f64,
    pub prices: f64,
    pub listeners: Vec<ListenerFigures>,
    pub moves: u64,
    pub breaks: u64,
    pub dials: u64,
    pub probes: u64,
    pub wasted: f64,
    pub most_open: u32,
    pub cold_falls: u32,
    pub breaches: Vec<Breach>,
    pub breaches_in_all: u64,
    pub sessions_seen: u64,
    pub troubles: Vec<BandFigures>,
    pub log: Vec<Mark>,
    pub samples: Vec<Sample>,
    pub servers: Vec<String>,
    /// What the machine had to do with it: relays' CPU seconds and most resident bytes, how late the clock
    /// ran.
    pub relays: Vec<RelayFigures>,
    pub late_ms: f64,
    pub bad_clients: BadFigures,
    /// Dials of a relay to a server that it had been told to leave, in this life of its process or before.
    #[serde(default, skip_serializing_if = "is_none")]
    pub stale_dials: u64,
    /// What the membership audit found, where the relays know each other.
    #[serde(default, rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipOutcome>,
    /// Relays that were let out, where that is agreed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outs: Option<Outs>,
}

/// What an operator saw who wanted relays out, and what was counted from outside.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outs {
    pub wanted: usize,
    pub let_out: usize,
    /// Answers that it is not let out yet.
    pub held: u64,
    /// Draining ones at a time, and those with the dead and the stalled.
    pub most_draining: usize,
    pub most_away: usize,
    /// Moments at which more drained than may, and at which one began while as many were away already.
    pub over: u64,
    /// Seconds from the first wish till the last was back; 0 where not all were.
    pub took_s: f64,
}

fn is_none(count: &u64) -> bool {
    *count == 0
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayFigures {
    pub cpu_s: f64,
    pub resident_mb: f64,
    pub descriptors: u64,
    pub starts: u32,
    /// Ended by itself, though nobody asked it to.
    pub crashed: bool,
}

/// Clients that speak no protocol: how many got their error or end in time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BadFigures {
    pub came: u64,
    pub answered: u64,
    pub left_waiting: u64,
}

pub struct Service {
    begin: Micros,
    at: Micros,
    sample_every: Micros,
    sample_at: Micros,
    asked: Vec<f64>,
    good: Vec<f64>,
    /// By second: utility asked for and well served.
    seconds: Vec<(f64, f64)>,
    utilities: Vec<f64>,
    targets: Vec<Micros>,
    pub samples: Vec<Sample>,
    pub log: Vec<Mark>,
    most_open: u32,
    since_sample: (f64, f64),
}

impl Service {
    pub fn new(s: &Scenario, begin: Micros) -> Service {
        let listeners = s.listeners.len();
        // Some 300 samples whatever the length.
        let sample_every = (s.length_s.us() / 300).max(TICK) / TICK * TICK;
        Service {
            begin,
            at: begin,
            sample_every,
            sample_at: begin,
            asked: vec![0.0; listeners],
            good: vec![0.0; listeners],
            seconds: Vec::new(),
            utilities: s.listeners.iter().map(|l| l.utility.0).collect(),
            targets: s.listeners.iter().map(|l| l.message_target_ms.us()).collect(),
            samples: Vec::new(),
            log: Vec::new(),
            most_open: 0,
            since_sample: (0.0, 0.0),
        }
    }

    pub fn next(&self) -> Micros {
        self.at + TICK
    }

    pub fn log_event(&mut self, now: Micros, text: String) {
        // A day that logs more has told enough.
        const MOST: usize = 20_000;
        if self.log.len() < MOST {
            self.log.push(Mark { at: (now - self.begin.min(now)) as f64 / 1e6, text });
        }
    }

    /// Counts the time since the last tick.
    pub fn tick(
        &mut self,
        now: Micros,
        servers: &mut Servers,
        clients: &Clients,
        out: &mut Vec<ServerEvent>,
    ) {
        if now <= self.at {
            return;
        }
        let time = (now - self.at) as f64 / 1e6;
        self.at = now;
        let listeners = self.asked.len();
        let mut good = vec![0u32; listeners];
        for server in 0..servers.len() {
            let (delay, open) = servers.serves(now, server, out);
            let Some(delay) = delay else { continue };
            for l in 0..listeners {
                good[l] += if delay <= self.targets[l] { open[l] } else { 0 };
            }
        }
        let second = ((now - 1 - self.begin) / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0.0, 0.0));
        }
        for (l, &served) in good.iter().enumerate() {
            let asked = f64::from(clients.wanted[l]) * time;
            // Sessions outlive what was asked for by a moment; that counts for nothing.
            let served = (f64::from(served) * time).min(asked);
            self.asked[l] += asked;
            self.good[l] += served;
            let (asked, served) = (asked * self.utilities[l], served * self.utilities[l]);
            self.seconds[second].0 += asked;
            self.seconds[second].1 += served;
            self.since_sample.0 += asked;
            self.since_sample.1 += served;
        }
        self.most_open = self.most_open.max(clients.open);
        if now >= self.sample_at {
            self.sample_at = now + self.sample_every;
            let (asked, served) = std::mem::take(&mut self.since_sample);
            self.samples.push(Sample {
                at: (now - self.begin) as f64 / 1e6,
                asking: clients.asking,
                open: clients.open,
                away: clients.away,
                wanted: clients.wanted.iter().sum(),
                service: if asked > 0.0 { served / asked } else { 1.0 },
                refused: clients.counts.iter().map(|c| c.busy).collect(),
                failed: clients.counts.iter().map(|c| c.failed + c.closed + c.unanswered).sum(),
                moves: clients.moves,
                breaks: clients.breaks,
                loads: (0..servers.len()).map(|server| servers.load(server) as f32).collect(),
            });
        }
    }

    pub fn outcome(
        &self,
        s: &Scenario,
        seed: u64,
        servers: &Servers,
        clients: &Clients,
        audit: &Audit,
    ) -> Outcome {
        let part = |good: f64, asked: f64| if asked > 0.0 { good / asked } else { 1.0 };
        let utility = |of: &[f64]| of.iter().zip(&self.utilities).map(|(x, u)| x * u).sum::<f64>();
        let whole = part(utility(&self.good), utility(&self.asked));
        // Ten seconds, or all where there are fewer.
        const WINDOW: usize = 10;
        let window = |w: &[(f64, f64)]| part(w.iter().map(|s| s.1).sum(), w.iter().map(|s| s.0).sum());
        let length = WINDOW.min(self.seconds.len().max(1));
        let worst_window = self.seconds.windows(length).map(window).fold(1.0, f64::min);
        let each = self.good.iter().zip(&self.asked).map(|(good, asked)| part(*good, *asked));
        let worst_listener = each.clone().fold(1.0, f64::min);
        let first: u64 = clients.counts.iter().map(|c| c.first_tries).sum();
        let a_try = |count: u64| count as f64 / first.max(1) as f64;
        let wasted = servers.counts.wasted as f64 / (servers.worked() as f64).max(1.0);
        let g = &s.goal;
        let prices = g.price_move.0 * a_try(clients.moves)
            + g.price_probe.0 * a_try(servers.counts.probes)
            + g.price_handshake.0 * a_try(servers.counts.dials)
            + g.price_waste.0 * wasted;
        let parts = [(g.whole, whole), (g.worst_window, worst_window), (g.worst_listener, worst_listener)];
        let listeners = s.listeners.iter().enumerate().zip(each).map(|((l, listener), service)| {
            let (c, waits) = (&clients.counts[l], &clients.waits[l]);
            let at = |quantile: f64| waits.value_at_quantile(quantile) as f64 / 1e3;
            ListenerFigures {
                name: listener.name.clone(),
                service,
                first_tries: c.first_tries,
                tries: c.tries,
                up: c.ups,
                refused: c.busy,
                failed: c.failed,
                closed: c.closed,
                unreached: c.unreached,
                unanswered: c.unanswered,
                given_up: c.lost,
                in_target: c.in_target,
                wait_ms: [at(0.5), at(0.99), at(0.999), waits.max() as f64 / 1e3],
            }
        });
        let bands = script::bands(s).into_iter().map(|b| BandFigures {
            kind: b.kind,
            from: b.from as f64 / 1e6,
            to: b.to as f64 / 1e6,
        });
        Outcome {
            name: s.name.clone(),
            seed,
            length_s: (self.at - self.begin) as f64 / 1e6,
            figure: parts.iter().map(|(weight, x)| weight.0 * x).sum::<f64>() - prices,
            whole,
            worst_window,
            worst_listener,
            prices,
            listeners: listeners.collect(),
            moves: clients.moves,
            breaks: clients.breaks,
            dials: servers.counts.dials,
            probes: servers.counts.probes,
            wasted,
            most_open: self.most_open,
            stale_dials: audit.stale_dials,
            cold_falls: audit.overloads,
            breaches: audit.breaches.clone(),
            breaches_in_all: audit.breach_count(),
            sessions_seen: audit.sessions_seen,
            troubles: bands.collect(),
            log: self.log.clone(),
            samples: self.samples.clone(),
            servers: servers.endpoints.identities.iter().map(|p| p.id.clone()).collect(),
            ..Outcome::default()
        }
    }
}
