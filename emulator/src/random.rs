//! Seeded random numbers.
use hallrelay_balancer::types::Micros;

/// One random stream of a seed. The streams of one seed are independent of each other.
#[derive(Clone)]
pub struct Random(oorandom::Rand64);

impl Random {
    /// Creates stream `stream` of a seed.
    pub fn new(seed: u64, stream: u64) -> Random {
        Random(oorandom::Rand64::new((u128::from(stream) << 64) | u128::from(seed)))
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// Uniform from 0 (inclusive) to 1 (exclusive).
    pub fn fraction(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// Uniform from 0 (inclusive) to `end` (exclusive); 0 if `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.rand_range(0..end.max(1) as u64) as usize
    }

    /// Uniform time between two bounds, both inclusive.
    pub fn between(&mut self, [min, max]: [Micros; 2]) -> Micros {
        self.0.rand_range(min..max.max(min) + 1)
    }

    /// Exponential distribution with the given mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }

    /// Standard normal distribution (Box-Muller).
    pub fn normal(&mut self) -> f64 {
        let radius = 1.0 - self.fraction();
        let angle = self.fraction();
        (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
    }

    /// Log-normal distribution with mean 1; `sigma` is the standard deviation of the logarithm.
    pub fn log_normal(&mut self, sigma: f64) -> f64 {
        (sigma * self.normal() - sigma * sigma / 2.0).exp()
    }
}
