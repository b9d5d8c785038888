//! What the decisions are written with: sums over time, the least few of many, chance and a hash. Nothing
//! here decides.

use crate::types::Micros;

/// Sums over the last moments, in fixed buckets of time that are used again in a ring.
#[derive(Default)]
pub struct Ring {
    last: u64,
    slots: [f32; Ring::SLOTS as usize],
}

impl Ring {
    /// Eight seconds in all: long enough for rates, short enough to forget a trouble that is over.
    const SLOTS: u64 = 16;
    const WIDTH: Micros = 500_000;

    pub fn add(&mut self, now: Micros, x: f64) {
        let bucket = now / Ring::WIDTH;
        for b in self.last.max(bucket.saturating_sub(Ring::SLOTS)) + 1..=bucket {
            self.slots[(b % Ring::SLOTS) as usize] = 0.0;
        }
        self.last = self.last.max(bucket);
        self.slots[(bucket % Ring::SLOTS) as usize] += x as f32;
    }

    /// The sum since `back` ago, to the bucket, and no further back than the ring reaches.
    pub fn sum(&self, now: Micros, back: Micros) -> f64 {
        let first = (now / Ring::WIDTH + 1).saturating_sub(Ring::SLOTS);
        let oldest = (now.saturating_sub(back) / Ring::WIDTH).max(first);
        (oldest..=self.last).map(|b| f64::from(self.slots[(b % Ring::SLOTS) as usize])).sum()
    }
}

/// A running mean of the time between arrivals.
pub struct Arrivals {
    last: Option<Micros>,
    mean_gap: f64,
}

impl Arrivals {
    /// Microseconds, taken for the mean at the start: that of a relay of few sessions. Tried 8 s and 10 s:
    /// the second session of a relay was refused its turn (`cold-past-thresholds.txt`).
    const START_GAP: f64 = 12e6;
    /// What the newest gap counts for: enough to follow a burst, and steady to a quarter. Tried 1/16.
    const NEWEST: f64 = 1.0 / 8.0;

    /// Takes in an arrival, unless it is of a kind that does not count.
    pub fn add(&mut self, now: Micros, counts: bool) {
        if !counts {
            return;
        }
        if let Some(last) = self.last.replace(now) {
            self.mean_gap += (now.saturating_sub(last) as f64 - self.mean_gap) * Arrivals::NEWEST;
        }
    }

    /// In microseconds.
    pub fn mean_gap(&self) -> f64 {
        self.mean_gap
    }
}

impl Default for Arrivals {
    fn default() -> Arrivals {
        Arrivals { last: None, mean_gap: Arrivals::START_GAP }
    }
}

/// What lately went to a server: sessions in less sessions out, dials, and faults among them.
#[derive(Default)]
pub struct Flow {
    pub net: Ring,
    pub dials: Ring,
    pub faults: Ring,
}

impl Flow {
    /// Whether there were so many faults in the last eight seconds, and they are such a part of the dials.
    pub fn faulty(&self, now: Micros, least: f64, part: f64) -> bool {
        const BACK: Micros = 8_000_000;
        let faults = self.faults.sum(now, BACK);
        faults >= least && faults >= part * self.dials.sum(now, BACK)
    }
}

/// Keeps the least few of what it is given, in order.
pub struct Least<T>(Vec<T>, usize);

impl<T: PartialOrd> Least<T> {
    pub fn new(most: usize) -> Least<T> {
        Least(Vec::with_capacity(most + 1), most)
    }

    pub fn takes(&self, item: &T) -> bool {
        self.0.len() < self.1 || self.0.last().is_some_and(|most| item < most)
    }

    pub fn add(&mut self, item: T) {
        let at = self.0.partition_point(|kept| *kept < item);
        self.0.insert(at, item);
        self.0.truncate(self.1);
    }
}

impl<T> IntoIterator for Least<T> {
    type Item = T;
    type IntoIter = std::vec::IntoIter<T>;
    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

/// Chance from the instance's seed.
#[derive(Clone, Copy)]
pub struct Chance(oorandom::Rand64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(oorandom::Rand64::new(u128::from(seed)))
    }

    /// Any number, all alike.
    pub fn draw(&mut self) -> u64 {
        self.0.rand_u64()
    }

    pub fn below(&mut self, end: u64) -> u64 {
        self.0.rand_range(0..end)
    }

    /// Yes in this part of all cases, to a thousandth; always from 1 on.
    pub fn hits(&mut self, part: f64) -> bool {
        (self.below(1000) as f64) < part * 1000.0
    }
}

impl Default for Chance {
    fn default() -> Chance {
        Chance::new(0)
    }
}

/// Spreads ids evenly (the finaliser of splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
