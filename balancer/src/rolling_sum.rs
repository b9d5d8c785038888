//! A sum over the last seconds, in a ring of buckets of fixed width.

use crate::types::Micros;

/// A sum over the last eight seconds at most: long enough for rates, short enough to forget a fault that is
/// over.
#[derive(Default)]
pub(crate) struct RollingSum {
    /// The number of the newest bucket, counted from time 0.
    newest: u64,
    buckets: [f32; RollingSum::BUCKETS as usize],
}

impl RollingSum {
    const BUCKETS: u64 = 16;
    const BUCKET_WIDTH: Micros = 500_000;

    /// Adds a value to the bucket of `now`.
    pub(crate) fn add(&mut self, now: Micros, value: f64) {
        let bucket = now / RollingSum::BUCKET_WIDTH;
        for passed in self.newest.max(bucket.saturating_sub(RollingSum::BUCKETS)) + 1..=bucket {
            self.buckets[RollingSum::index(passed)] = 0.0;
        }
        self.newest = self.newest.max(bucket);
        self.buckets[RollingSum::index(bucket)] += value as f32;
    }

    /// The sum from `age` ago until now, from the start of that bucket on, and over the last `BUCKETS`
    /// buckets at most.
    pub(crate) fn sum(&self, now: Micros, age: Micros) -> f64 {
        let first_bucket = (now / RollingSum::BUCKET_WIDTH + 1).saturating_sub(RollingSum::BUCKETS);
        let oldest = (now.saturating_sub(age) / RollingSum::BUCKET_WIDTH).max(first_bucket);
        (oldest..=self.newest).map(|bucket| f64::from(self.buckets[RollingSum::index(bucket)])).sum()
    }

    fn index(bucket: u64) -> usize {
        (bucket % RollingSum::BUCKETS) as usize
    }
}
