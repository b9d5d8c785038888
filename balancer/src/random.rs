//! Seeded random numbers, and a hash with uniformly distributed output.

/// A seeded generator. The same seed produces the same sequence of numbers.
#[derive(Clone, Copy)]
pub(crate) struct Random(oorandom::Rand64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(oorandom::Rand64::new(u128::from(seed)))
    }

    /// Returns a number uniformly distributed over all 64 bits.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// Returns a number from 0 up to but excluding `end`.
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.0.rand_range(0..end)
    }

    /// Returns true with the given probability, which is rounded up to a multiple of 0.001. Always returns
    /// true if the probability is at least 1.
    pub(crate) fn random_bool(&mut self, probability: f64) -> bool {
        (self.below(1000) as f64) < probability * 1000.0
    }
}

impl Default for Random {
    fn default() -> Random {
        Random::new(0)
    }
}

/// Maps numbers to uniformly distributed 64-bit values (the finalizer of splitmix64).
pub(crate) fn hash(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
