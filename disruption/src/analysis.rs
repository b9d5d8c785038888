//! Analysis of a rollout's wave: sessions at the new build compared with those at the old build meanwhile.
use serde::{Deserialize, Serialize};

/// How far above the bound the failure rate must be, in standard errors, to end an analysis early.
const EARLY_STANDARD_ERRORS: f64 = 3.0;
/// An analysis may end early once the wanted sessions over this are there.
const EARLY_DIVISOR: u64 = 4;
/// The failure rate from which the standard error is taken stays inside these bounds.
const ESTIMATE_BOUNDS: (f64, f64) = (0.01, 0.99);

/// Sessions, and the failed ones among them: refused, failed, or reset after they were established.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionCounts {
    /// Sessions that got a final answer, or ended after they were established.
    pub sessions: u64,
    /// The failed ones among them.
    pub failed: u64,
}

impl SessionCounts {
    /// Adds other sessions.
    pub fn add(&mut self, other: SessionCounts) {
        self.sessions += other.sessions;
        self.failed += other.failed;
    }

    /// The sessions since an earlier count.
    pub fn since(self, earlier: SessionCounts) -> SessionCounts {
        SessionCounts {
            sessions: self.sessions.saturating_sub(earlier.sessions),
            failed: self.failed.saturating_sub(earlier.failed),
        }
    }

    fn failure_rate(self) -> f64 {
        self.failed as f64 / self.sessions.max(1) as f64
    }
}

/// When a wave passes: its failure rate is at most the old build's plus a margin, over enough sessions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AnalysisPolicy {
    /// Sessions at the new build that an analysis needs.
    #[serde(rename = "sessions")]
    pub min_sessions: u32,
    /// The margin over the old build's failure rate, in millionths.
    #[serde(rename = "worse")]
    pub margin_ppm: u32,
    /// Seconds, by the leader's clock, after which a wave with fewer sessions fails.
    #[serde(rename = "within_s")]
    pub deadline_s: u32,
}

/// The result of an analysis.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the rollout may go on.
    pub passed: bool,
    /// The counts, for operators.
    pub reason: String,
}

/// Compares the counts of the new and the old build; `elapsed_s` seconds have passed since counting began.
/// None while there are too few sessions to tell. A new build that is worse beyond chance fails from a
/// quarter of the sessions on: waiting for the rest would expose more clients to it. A wave without enough
/// sessions by the deadline fails, and a person decides whether to resume.
pub fn analyze(
    policy: &AnalysisPolicy,
    new: SessionCounts,
    old: SessionCounts,
    elapsed_s: u64,
) -> Option<Verdict> {
    let margin = f64::from(policy.margin_ppm) / 1e6;
    let new_rate = new.failure_rate();
    let excess = new_rate - old.failure_rate() - margin;
    let rate = new_rate.clamp(ESTIMATE_BOUNDS.0, ESTIMATE_BOUNDS.1);
    let standard_error = (rate * (1.0 - rate) / new.sessions.max(1) as f64).sqrt();
    let min_sessions = u64::from(policy.min_sessions);
    if new.sessions >= min_sessions {
        return Some(Verdict { passed: excess <= 0.0, reason: describe(new, old) });
    }
    if new.sessions * EARLY_DIVISOR >= min_sessions && excess > EARLY_STANDARD_ERRORS * standard_error {
        return Some(Verdict { passed: false, reason: describe(new, old) });
    }
    if elapsed_s >= u64::from(policy.deadline_s) {
        let counts = describe(new, old);
        let reason = format!("{} sessions in {elapsed_s} s, too few to judge: {counts}", new.sessions);
        return Some(Verdict { passed: false, reason });
    }
    None
}

fn describe(new: SessionCounts, old: SessionCounts) -> String {
    let part = |counts: SessionCounts| format!("{} of {}", counts.failed, counts.sessions);
    format!("bad at the new build {}, at the old {}", part(new), part(old))
}
