//! Adds up attempts, ends and the state of the fleet by seconds of the day.
use super::attempt::{Attempt, End, Gap, Moment, Origin};
use super::backends::Backends;
use super::histogram::Histogram;
use super::open::{Open, Stay};
use super::rows::{Attempts, Ends, Fleet, Losses, Probes, Second, Sessions, Wait};
use hallrelay_balancer::types::{DialEnd, LoadReport, Micros};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Work on a backend, in seconds, beyond which it counts as piled up.
const PILED_SECONDS: f64 = 0.1;

/// What was counted in one second, or in all.
#[derive(Clone, Debug, Default)]
struct Counted {
    attempts: Attempts,
    sessions: Sessions,
    ends: Ends,
    /// Milliseconds.
    wait: Histogram,
    probes_answered: u64,
    probes_failed: u64,
    /// Thousandths.
    load: Histogram,
    piled_reported: u64,
    piled_over: u64,
}

impl Counted {
    fn add(&mut self, other: &Counted) {
        self.attempts.add(&other.attempts);
        self.sessions.add(&other.sessions);
        self.ends.add(&other.ends);
        self.wait.merge(&other.wait);
        self.probes_answered += other.probes_answered;
        self.probes_failed += other.probes_failed;
        self.load.merge(&other.load);
        self.piled_reported += other.piled_reported;
        self.piled_over += other.piled_over;
    }

    fn row(&self, second: u32, fleet: Fleet) -> Second {
        let load = |part: f64| Some(f64::from(self.load.quantile(part)?) / 1e3);
        let piled = || self.piled_over as f64 / self.piled_reported as f64;
        Second {
            second,
            attempts: self.attempts.clone(),
            sessions: self.sessions.clone(),
            wait: Wait { median_ms: self.wait.quantile(0.5), worst_ms: self.wait.largest() },
            ends: self.ends.clone(),
            probes: Probes {
                answered: self.probes_answered,
                failed: self.probes_failed,
                load_median: load(0.5),
                load_p90: load(0.9),
                piled_part: (self.piled_reported > 0).then(piled),
            },
            fleet,
        }
    }
}

/// All that is known of the day so far; logs may be read in any order.
#[derive(Debug, Default)]
pub struct Account {
    pub backends: Backends,
    seconds: BTreeMap<u32, Counted>,
    stays: Vec<Stay>,
    /// Numbers of backends, by address or name.
    numbers: HashMap<String, u32>,
    gaps: BTreeMap<Gap, u64>,
}

impl Account {
    /// Takes an attempt whose end is known.
    pub fn attempt(&mut self, attempt: &Attempt) {
        if let Some(gap) = attempt.gap() {
            *self.gaps.entry(gap).or_default() += 1;
        }
        match attempt.origin {
            Origin::Client => self.opened(attempt),
            Origin::Process(_) => self.at(attempt.opened).sessions.taken_over += 1,
            Origin::Missing => {}
        }
        if let Some(placed) = attempt.placed {
            self.stayed(attempt, placed);
        }
    }

    pub fn probed(&mut self, at: Moment, end: DialEnd, report: LoadReport) {
        let second = self.at(at);
        if end != DialEnd::Ok {
            second.probes_failed += 1;
            return;
        }
        second.probes_answered += 1;
        if let Some(load) = report.load {
            second.load.add((load.clamp(0.0, 1e6) * 1e3).round() as u32);
        }
        if let Some(piled) = report.queue_delay {
            second.piled_reported += 1;
            second.piled_over += u64::from(piled > PILED_SECONDS);
        }
    }

    /// The whole of it, by seconds up to the last moment of the day.
    pub fn finish(mut self, day_end: Micros) -> Losses {
        self.backends.finish();
        let last = (day_end / 1_000_000) as u32;
        let addresses = self.addresses();
        let mut open = Open::new(std::mem::take(&mut self.stays), addresses);
        let (mut seconds, mut sum) = (Vec::new(), Counted::default());
        for second in 0..=last {
            let counted = self.seconds.remove(&second).unwrap_or_default();
            open.advance(second);
            sum.add(&counted);
            let until = (Micros::from(second) + 1) * 1_000_000 - 1;
            seconds.push(counted.row(second, open.fleet(until, &self.backends)));
        }
        let fleet = seconds.last().map(|last: &Second| last.fleet.clone()).unwrap_or_default();
        Losses { sum: sum.row(last, fleet), seconds, unaccounted: self.gaps, ..Losses::default() }
    }

    /// Addresses of backends by their numbers; none where only a name is known that no list gives. A backend
    /// that is known both by its name and by its address has one number from here on.
    fn addresses(&mut self) -> Vec<Option<SocketAddr>> {
        let mut addresses = Vec::new();
        let mut number_of: HashMap<String, u32> = HashMap::new();
        let mut renumbered: HashMap<u32, u32> = HashMap::new();
        for (name, number) in &self.numbers {
            let address = name.parse().ok().or_else(|| self.backends.address(name));
            let key = address.map_or(name.clone(), |address: SocketAddr| address.to_string());
            let next = addresses.len() as u32;
            let new = *number_of.entry(key).or_insert(next);
            if new == next {
                addresses.push(address);
            }
            renumbered.insert(*number, new);
        }
        for stay in &mut self.stays {
            stay.backend = renumbered[&stay.backend];
        }
        addresses
    }

    fn at(&mut self, at: Moment) -> &mut Counted {
        self.seconds.entry(at.second()).or_default()
    }

    fn opened(&mut self, attempt: &Attempt) {
        let attempts = &mut self.at(attempt.opened).attempts;
        attempts.opened += 1;
        attempts.returned += u64::from(attempt.opening.returned);
        attempts.dials += attempt.dials.len() as u64;
        for (_, end) in attempt.dials.iter().filter_map(|dial| dial.end) {
            *attempts.dial_ends.of(end) += 1;
        }
        attempts.count(&attempt.fate);
    }

    fn stayed(&mut self, attempt: &Attempt, placed: Moment) {
        if attempt.origin == Origin::Client {
            let second = self.at(placed);
            second.sessions.came_up += 1;
            let waited = placed.clock.saturating_sub(attempt.opened.clock) / 1_000;
            second.wait.add(u32::try_from(waited).unwrap_or(u32::MAX));
        }
        let end = attempt.end.unwrap_or(End::StillOpen);
        // A log whose times go back ends no session before it came up.
        let over = if attempt.over.day < placed.day { placed } else { attempt.over };
        self.at(over).ends.count(end);
        let to = (end != End::StillOpen).then_some(over.second());
        let next = self.numbers.len() as u32;
        let backend = *self.numbers.entry(attempt.backend().to_string()).or_insert(next);
        self.stays.push(Stay { from: placed.second(), to, group: attempt.opening.group, backend });
    }
}
