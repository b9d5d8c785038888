//! Lifeguard's local health multiplier: how much this relay doubts its own timeliness.

/// Lifeguard's bound: all timeouts are up to nine times as long.
const MAX_SCORE: u32 = 8;

/// 0 is healthy. Invariant: the score stays within 0 to [`MAX_SCORE`].
#[derive(Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// Factor of the probe's timeouts (Lifeguard's LHA-Probe).
    pub(crate) fn multiplier(&self) -> u32 {
        self.score + 1
    }

    /// Evidence that this relay is late: a missed nack, a refuted suspicion of itself, a late timer.
    pub(crate) fn degrade(&mut self, by: u32) {
        self.score = self.score.saturating_add(by).min(MAX_SCORE);
    }

    /// A probe was answered in time.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }
}
