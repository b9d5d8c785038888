//! A sum over the last seconds, in a ring of buckets of fixed width.

use crate::types::Micros;

/// A sum over at most the last 8 s (16 buckets of 0.5 s). That is long enough to measure rates, and short
/// enough for a fault that has ended to lose its effect soon.
#[derive(Default)]
pub(crate) struct RollingSum {
    /// The number of the newest bucket, counted from time 0. Its index in `buckets` is the remainder of the
    /// division by `BUCKETS`.
    newest: u64,
    buckets: [f32; RollingSum::BUCKETS as usize],
}

impl RollingSum {
    const BUCKETS: u64 = 16;
    const BUCKET_WIDTH: Micros = 500_000;

    /// Adds a value to the bucket that contains `now`.
    pub(crate) fn add(&mut self, now: Micros, value: f64) {
        let bucket = now / RollingSum::BUCKET_WIDTH;
        for passed in self.newest.max(bucket.saturating_sub(RollingSum::BUCKETS)) + 1..=bucket {
            self.buckets[RollingSum::index(passed)] = 0.0;
        }
        self.newest = self.newest.max(bucket);
        self.buckets[RollingSum::index(bucket)] += value as f32;
    }

    /// Returns the sum from the start of the bucket that contains `now - age` until now. The sum covers at
    /// most the last `BUCKETS` buckets, including the one that contains `now`.
    pub(crate) fn sum(&self, now: Micros, age: Micros) -> f64 {
        let first_bucket = (now / RollingSum::BUCKET_WIDTH + 1).saturating_sub(RollingSum::BUCKETS);
        let oldest = (now.saturating_sub(age) / RollingSum::BUCKET_WIDTH).max(first_bucket);
        (oldest..=self.newest).map(|bucket| f64::from(self.buckets[RollingSum::index(bucket)])).sum()
    }

    fn index(bucket: u64) -> usize {
        (bucket % RollingSum::BUCKETS) as usize
    }
}
