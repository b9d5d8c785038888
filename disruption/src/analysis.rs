//! Analysis of a wave of a rollout: compares sessions at the new build with those at the old build during the
//! same time.
use serde::{Deserialize, Serialize};

/// Number of standard errors by which the new build's failure rate must exceed the allowed rate for an early
/// failure. The allowed rate is that of the old build plus the margin of the policy.
const EARLY_STANDARD_ERRORS: f64 = 3.0;
/// An analysis may fail early once it has this fraction (1/4) of the required sessions.
const EARLY_DIVISOR: u64 = 4;
/// Bounds of the failure rate in the estimate of the standard error, which would be 0 at a rate of 0 or 1.
const ESTIMATE_BOUNDS: (f64, f64) = (0.01, 0.99);

/// Numbers of all sessions and of the failed ones. A failed session was refused, failed, or was reset after
/// it was established.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionCounts {
    /// Sessions that received a final response, or ended after they were established.
    pub sessions: u64,
    /// The failed sessions among them.
    pub failed: u64,
}

impl SessionCounts {
    /// Adds the counts of other sessions.
    pub fn add(&mut self, other: SessionCounts) {
        self.sessions += other.sessions;
        self.failed += other.failed;
    }

    /// The difference between these counts and earlier ones.
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

/// The conditions under which a wave passes: over enough sessions, its failure rate exceeds that of the old
/// build by at most a margin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AnalysisPolicy {
    /// Minimum number of sessions at the new build for an analysis.
    #[serde(rename = "sessions")]
    pub min_sessions: u32,
    /// Allowed margin over the old build's failure rate, in millionths.
    #[serde(rename = "worse")]
    pub margin_ppm: u32,
    /// Seconds, by the leader's clock, after which a wave with fewer sessions fails.
    #[serde(rename = "within_s")]
    pub deadline_s: u32,
}

/// The result of an analysis.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the rollout may continue.
    pub passed: bool,
    /// The reason of the verdict, for operators: the numbers of all and of failed sessions.
    pub reason: String,
}

/// Compares the counts of the new and the old build, `elapsed_s` seconds after counting began. Returns `None`
/// while there are too few sessions for a verdict. A new build that is significantly worse fails from a
/// quarter of the required sessions on, because waiting for the rest would expose more clients to it. A wave
/// without enough sessions by the deadline fails, and a person decides whether to resume.
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
        let sessions = new.sessions;
        let reason = format!("only {sessions} of {min_sessions} sessions after {elapsed_s} s; {counts}");
        return Some(Verdict { passed: false, reason });
    }
    None
}

fn describe(new: SessionCounts, old: SessionCounts) -> String {
    let share = |counts: SessionCounts| format!("{} of {}", counts.failed, counts.sessions);
    format!("failed sessions at the new build: {}, at the old build: {}", share(new), share(old))
}
