//! Counts attempts, ends of sessions and the state of the fleet for each second of the day.
use super::attempt::{Attempt, End, Gap, Moment, Origin};
use super::backends::Backends;
use super::histogram::Histogram;
use super::open::{OpenSessions, PlacedSession};
use super::rows::{Attempts, Ends, Fleet, Losses, Probes, Second, Sessions, Wait};
use hallrelay_balancer::types::{DialEnd, LoadReport, Micros};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Queue delay in seconds above which a load report counts as queued.
const QUEUED_FROM_S: f64 = 0.1;

/// Counts of one second, or of all seconds.
#[derive(Clone, Debug, Default)]
struct Counted {
    attempts: Attempts,
    sessions: Sessions,
    ends: Ends,
    /// Time to `UP`, in milliseconds.
    wait: Histogram,
    checks_answered: u64,
    checks_failed: u64,
    /// Load over capacity, in thousandths.
    load: Histogram,
    /// Number of load reports that state a queue delay.
    queue_reports: u64,
    /// Number of load reports with a queue delay above [`QUEUED_FROM_S`].
    queued_reports: u64,
}

impl Counted {
    fn add(&mut self, other: &Counted) {
        self.attempts.add(&other.attempts);
        self.sessions.add(&other.sessions);
        self.ends.add(&other.ends);
        self.wait.merge(&other.wait);
        self.checks_answered += other.checks_answered;
        self.checks_failed += other.checks_failed;
        self.load.merge(&other.load);
        self.queue_reports += other.queue_reports;
        self.queued_reports += other.queued_reports;
    }

    fn row(&self, second: u32, fleet: Fleet) -> Second {
        let load = |fraction: f64| Some(f64::from(self.load.quantile(fraction)?) / 1e3);
        let queued_part = || self.queued_reports as f64 / self.queue_reports as f64;
        Second {
            second,
            attempts: self.attempts.clone(),
            sessions: self.sessions.clone(),
            wait: Wait { median_ms: self.wait.quantile(0.5), worst_ms: self.wait.largest() },
            ends: self.ends.clone(),
            probes: Probes {
                answered: self.checks_answered,
                failed: self.checks_failed,
                load_median: load(0.5),
                load_p90: load(0.9),
                queued_part: (self.queue_reports > 0).then(queued_part),
            },
            fleet,
        }
    }
}

/// Everything counted so far. Logs may be read in any order.
#[derive(Debug, Default)]
pub struct Account {
    /// The backends as the lists state them.
    pub backends: Backends,
    seconds: BTreeMap<u32, Counted>,
    placed_sessions: Vec<PlacedSession>,
    /// Numbers assigned to backends, by address, or by name if only that is known.
    numbers: HashMap<String, u32>,
    gaps: BTreeMap<Gap, u64>,
}

impl Account {
    /// Counts an attempt whose end is known.
    pub fn attempt(&mut self, attempt: &Attempt) {
        if let Some(gap) = attempt.gap() {
            *self.gaps.entry(gap).or_default() += 1;
        }
        match attempt.origin {
            Origin::Client => self.count_opened(attempt),
            Origin::Process(_) => self.at(attempt.opened).sessions.adopted += 1,
            Origin::Missing => {}
        }
        if let Some(placed) = attempt.placed {
            self.count_session(attempt, placed);
        }
    }

    /// Counts the end of a health check.
    pub fn health_checked(&mut self, at: Moment, end: DialEnd, report: LoadReport) {
        let second = self.at(at);
        if end != DialEnd::Ok {
            second.checks_failed += 1;
            return;
        }
        second.checks_answered += 1;
        if let Some(load) = report.load {
            second.load.add((load.clamp(0.0, 1e6) * 1e3).round() as u32);
        }
        if let Some(queue_delay) = report.queue_delay {
            second.queue_reports += 1;
            second.queued_reports += u64::from(queue_delay > QUEUED_FROM_S);
        }
    }

    /// Returns the complete result, with all seconds up to the end of the day.
    pub fn finish(mut self, day_end: Micros) -> Losses {
        self.backends.finish();
        let last = (day_end / 1_000_000) as u32;
        let addresses = self.addresses();
        let mut open = OpenSessions::new(std::mem::take(&mut self.placed_sessions), addresses);
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

    /// Addresses of backends by their numbers; `None` if only a name is known that is in no list. Backends
    /// are renumbered, so that one known by both its name and its address has a single number.
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
        for session in &mut self.placed_sessions {
            session.backend = renumbered[&session.backend];
        }
        addresses
    }

    fn at(&mut self, at: Moment) -> &mut Counted {
        self.seconds.entry(at.second()).or_default()
    }

    fn count_opened(&mut self, attempt: &Attempt) {
        let attempts = &mut self.at(attempt.opened).attempts;
        attempts.opened += 1;
        attempts.returned += u64::from(attempt.opening.returned);
        attempts.dials += attempt.dials.len() as u64;
        for end in attempt.dials.iter().filter_map(|dial| dial.end) {
            *attempts.dial_ends.of(end) += 1;
        }
        attempts.count(&attempt.outcome);
    }

    fn count_session(&mut self, attempt: &Attempt, placed: Moment) {
        if attempt.origin == Origin::Client {
            let second = self.at(placed);
            second.sessions.established += 1;
            let waited = placed.clock.saturating_sub(attempt.opened.clock) / 1_000;
            second.wait.add(u32::try_from(waited).unwrap_or(u32::MAX));
        }
        let end = attempt.end.unwrap_or(End::StillOpen);
        // The times in a log may go back. A session that seems to end before its placement ends with it.
        let ended_at = if attempt.ended_at.day < placed.day { placed } else { attempt.ended_at };
        self.at(ended_at).ends.count(end);
        let to = (end != End::StillOpen).then_some(ended_at.second());
        let next = self.numbers.len() as u32;
        let backend = *self.numbers.entry(attempt.backend().to_string()).or_insert(next);
        self.placed_sessions.push(PlacedSession {
            from: placed.second(),
            to,
            group: attempt.opening.group,
            backend,
        });
    }
}
