//! Counts of sessions by target, as all relays report them, and those since the present wave of a rollout
//! began.
use hallrelay_balancer::types::Micros;
use hallrelay_disruption::{ItemState, Rollout, RolloutPhase, SessionCounts, Target};
use std::collections::BTreeMap;

/// What was reported since this process started, and where the present wave's count began.
#[derive(Default)]
pub(super) struct OutcomeCounts {
    total: BTreeMap<Target, SessionCounts>,
    baseline: Option<WaveBaseline>,
}

/// The totals when a wave's first target had the new build.
struct WaveBaseline {
    wave: usize,
    since: Micros,
    total: BTreeMap<Target, SessionCounts>,
}

/// The present wave's sessions at the new build, and those at the old one meanwhile.
pub(super) struct WaveCounts {
    pub new: SessionCounts,
    pub old: SessionCounts,
}

impl OutcomeCounts {
    pub fn add(&mut self, target: Target, counts: SessionCounts) {
        self.total.entry(target).or_default().add(counts);
    }

    /// Follows the rollout's wave: since when its sessions are counted, or none where that begins now, or
    /// nothing is to be counted.
    pub fn follow_wave(&mut self, rollout: &Rollout, now: Micros) -> Option<Micros> {
        if !matches!(rollout.phase, RolloutPhase::Running | RolloutPhase::Analyzing) {
            self.baseline = None;
            return None;
        }
        if let Some(baseline) = self.baseline.as_ref().filter(|baseline| baseline.wave == rollout.wave) {
            return Some(baseline.since);
        }
        let is_updated =
            rollout.items.iter().any(|item| item.wave == rollout.wave && has_new_build(item.state));
        self.baseline =
            is_updated.then(|| WaveBaseline { wave: rollout.wave, since: now, total: self.total.clone() });
        None
    }

    /// Targets of earlier waves have the new build too, and count for neither side.
    pub fn of_wave(&self, rollout: &Rollout) -> WaveCounts {
        let mut counts = WaveCounts { new: SessionCounts::default(), old: SessionCounts::default() };
        for target in self.total.keys().filter(|target| target.kind() == rollout.plan.target_kind) {
            match rollout.item(target).filter(|item| has_new_build(item.state)) {
                Some(item) if item.wave == rollout.wave => counts.new.add(self.since_baseline(target)),
                Some(_) => {}
                None => counts.old.add(self.since_baseline(target)),
            }
        }
        counts
    }

    fn since_baseline(&self, target: &Target) -> SessionCounts {
        let total = self.total.get(target).copied().unwrap_or_default();
        let baseline = self.baseline.as_ref().and_then(|baseline| baseline.total.get(target));
        total.since(baseline.copied().unwrap_or_default())
    }
}

fn has_new_build(state: ItemState) -> bool {
    matches!(state, ItemState::Updated | ItemState::Complete)
}
