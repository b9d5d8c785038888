//! Counts of sessions by target, from the reports of all relays: in total, and during the current wave of a
//! rollout, which is a group of relays or backends that are updated together.
use hallrelay_balancer::types::Micros;
use hallrelay_disruption::{ItemState, Rollout, RolloutPhase, SessionCounts, Target};
use std::collections::BTreeMap;

/// The counts reported since this process started, and the baseline of the current wave.
#[derive(Default)]
pub(super) struct OutcomeCounts {
    total: BTreeMap<Target, SessionCounts>,
    baseline: Option<WaveBaseline>,
}

/// The totals at the time when the first target of a wave had the new build.
struct WaveBaseline {
    wave: usize,
    since: Micros,
    total: BTreeMap<Target, SessionCounts>,
}

/// The sessions during the current wave: at its targets with the new build, and at targets with the old
/// build.
pub(super) struct WaveCounts {
    pub new: SessionCounts,
    pub old: SessionCounts,
}

impl OutcomeCounts {
    pub fn add(&mut self, target: Target, counts: SessionCounts) {
        self.total.entry(target).or_default().add(counts);
    }

    /// Follows the rollout's current wave and returns the time since which its sessions are counted. `None`
    /// if the count begins only now, or if nothing is to be counted.
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

    /// The counts of the current wave. Targets of earlier waves have the new build too, and count for neither
    /// side.
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
