//! Lifeguard's local health multiplier: lengthens the timeouts of a relay that may be slow itself.

/// Highest score. Lifeguard lets timeouts grow to at most nine times their length.
const MAX_SCORE: u32 = 8;

/// The local health score; 0 is healthy. Invariant: the score is from 0 to [`MAX_SCORE`].
#[derive(Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// Multiplier of the timeouts of probes (Lifeguard's LHA-Probe).
    pub(crate) fn multiplier(&self) -> u32 {
        self.score + 1
    }

    /// Records evidence that this relay is slow: a missing nack, a refuted suspicion of itself, a late timer.
    pub(crate) fn degrade(&mut self, by: u32) {
        self.score = self.score.saturating_add(by).min(MAX_SCORE);
    }

    /// Records that a probe was answered in time.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }
}
