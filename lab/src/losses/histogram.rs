//! Histogram of integers, for medians and percentiles without storing each value.
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Histogram {
    counts: BTreeMap<u32, u64>,
    total: u64,
}

impl Histogram {
    pub fn add(&mut self, value: u32) {
        *self.counts.entry(value).or_default() += 1;
        self.total += 1;
    }

    pub fn merge(&mut self, other: &Histogram) {
        for (value, count) in &other.counts {
            *self.counts.entry(*value).or_default() += count;
        }
        self.total += other.total;
    }

    /// The smallest added value for which at least the given fraction (0 to 1) of all values is not larger;
    /// `None` if there are no values.
    pub fn quantile(&self, fraction: f64) -> Option<u32> {
        let rank = ((self.total as f64 * fraction).ceil() as u64).max(1);
        let mut before = 0;
        self.counts.iter().find_map(|(value, count)| {
            before += count;
            (before >= rank).then_some(*value)
        })
    }

    pub fn largest(&self) -> Option<u32> {
        self.counts.last_key_value().map(|(value, _)| *value)
    }
}
