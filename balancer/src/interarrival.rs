//! The mean time between arrivals of sessions.

use crate::types::Micros;

/// A running mean of the time between arrivals, in microseconds.
pub(crate) struct MeanInterarrival {
    last: Option<Micros>,
    mean: f64,
}

impl MeanInterarrival {
    /// The mean before the first interval, in microseconds. It is the mean of a relay with few sessions.
    const INITIAL_MEAN: f64 = 12e6;
    /// The weight of the newest interval in the mean. It is large enough for the mean to follow a burst, and
    /// gives the mean a standard deviation of a quarter of its value.
    const NEWEST_WEIGHT: f64 = 1.0 / 8.0;

    /// Records an arrival at `now`.
    pub(crate) fn add(&mut self, now: Micros) {
        if let Some(last) = self.last.replace(now) {
            self.mean += (now.saturating_sub(last) as f64 - self.mean) * MeanInterarrival::NEWEST_WEIGHT;
        }
    }

    /// Returns the running mean, in microseconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }
}

impl Default for MeanInterarrival {
    fn default() -> MeanInterarrival {
        MeanInterarrival { last: None, mean: MeanInterarrival::INITIAL_MEAN }
    }
}
