//! Seeded random numbers, and a hash that spreads evenly.

/// A seeded generator: the same seed draws the same numbers.
#[derive(Clone, Copy)]
pub(crate) struct Random(oorandom::Rand64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(oorandom::Rand64::new(u128::from(seed)))
    }

    /// A number of all 64 bits, evenly distributed.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// A number from 0 up to `end`, which is excluded.
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.0.rand_range(0..end)
    }

    /// True with a probability, in steps of a thousandth; always where it is 1 or more.
    pub(crate) fn random_bool(&mut self, probability: f64) -> bool {
        (self.below(1000) as f64) < probability * 1000.0
    }
}

impl Default for Random {
    fn default() -> Random {
        Random::new(0)
    }
}

/// Spreads numbers evenly over all 64 bits (the finalizer of splitmix64).
pub(crate) fn hash(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
