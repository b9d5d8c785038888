//! Random draws from a seed, and an even hash.

/// A seeded generator: the same seed draws the same numbers.
#[derive(Clone, Copy)]
pub(crate) struct Random(oorandom::Rand64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(oorandom::Rand64::new(u128::from(seed)))
    }

    /// Any number, all equally likely.
    pub(crate) fn draw(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// A number from 0 up to `end`, which is excluded.
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.0.rand_range(0..end)
    }

    /// True with a probability, to a thousandth; always where it is 1 or more.
    pub(crate) fn is_drawn(&mut self, probability: f64) -> bool {
        (self.below(1000) as f64) < probability * 1000.0
    }
}

impl Default for Random {
    fn default() -> Random {
        Random::new(0)
    }
}

/// Spreads numbers evenly over all 64 bits (the finalizer of splitmix64).
pub(crate) fn hash(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
