//! What the decisions are written with: sums over time, chance and a hash. Nothing here decides.

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
