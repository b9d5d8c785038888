//! A rollout takes waves of relays or backends out of service, waits for the deployer to update them, and
//! returns them to service. The deployer installs the builds and reports each result with the command
//! `MarkDone`. The rollout is part of the replicated state and advances only by commands. Therefore the crash
//! of a relay loses no step, and no disruption begins after a halt is committed.
use crate::error::CommandError;
use crate::plan::{RolloutPlan, Wave};
use crate::target::Target;
use serde::{Deserialize, Serialize};

/// The progress of one target of a rollout. In the descriptions, "it" is the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemState {
    /// Its update has not begun.
    #[default]
    Pending,
    /// Its lease is requested. The deployer updates it once the lease is granted.
    Updating,
    /// It has the new build but has not been observed to be up yet.
    Updated,
    /// It has the new build and is in service.
    Complete,
    /// Its lease is requested for the rollback. The deployer installs the old build once the lease is
    /// granted.
    RollingBack,
    /// It has the old build again but has not been observed to be up yet.
    Reverted,
    /// It has the old build again and is in service.
    RolledBack,
}

impl ItemState {
    /// The name of the state in responses to operators.
    pub fn word(self) -> &'static str {
        match self {
            ItemState::Pending => "to do",
            ItemState::Updating => "going",
            ItemState::Updated => "changed",
            ItemState::Complete => "done",
            ItemState::RollingBack => "going back",
            ItemState::Reverted => "changed back",
            ItemState::RolledBack => "back",
        }
    }
}

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The targets of a wave are being updated.
    #[default]
    Running,
    /// All targets of the wave are updated and in service; the verdict of its analysis is pending.
    Analyzing,
    /// The rollout was halted by an operator, a failed update or a failed analysis.
    Halted,
    /// Targets return to the old build, the latest wave first.
    RollingBack,
    /// The rollback was halted.
    RollbackHalted,
    /// All waves are updated and have passed their analysis.
    Finished,
    /// All targets have the old build again.
    RolledBack,
}

impl RolloutPhase {
    /// The name of the phase in responses to operators.
    pub fn word(self) -> &'static str {
        match self {
            RolloutPhase::Running => "running",
            RolloutPhase::Analyzing => "judging",
            RolloutPhase::Halted => "halted",
            RolloutPhase::RollingBack => "returning",
            RolloutPhase::RollbackHalted => "halted on the way back",
            RolloutPhase::Finished => "finished",
            RolloutPhase::RolledBack => "back",
        }
    }

    /// Returns whether the rollout has ended, so that another may start.
    pub fn is_over(self) -> bool {
        matches!(self, RolloutPhase::Finished | RolloutPhase::RolledBack)
    }
}

/// An event that changes a rollout's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RolloutEvent {
    /// All targets of the wave are updated and in service.
    WaveUpdated,
    /// A wave other than the last passed its analysis.
    WavePassed,
    /// The last wave passed its analysis.
    LastWavePassed,
    /// An update or an analysis failed.
    Failed,
    Halt,
    Resume,
    RollBack,
    /// No target has the new build any more.
    AllReverted,
}

/// Rows of phase, event and next phase. An event that is not listed for a phase is rejected.
const TRANSITIONS: &[(RolloutPhase, RolloutEvent, RolloutPhase)] = &[
    (RolloutPhase::Running, RolloutEvent::WaveUpdated, RolloutPhase::Analyzing),
    (RolloutPhase::Running, RolloutEvent::Failed, RolloutPhase::Halted),
    (RolloutPhase::Running, RolloutEvent::Halt, RolloutPhase::Halted),
    (RolloutPhase::Running, RolloutEvent::RollBack, RolloutPhase::RollingBack),
    (RolloutPhase::Analyzing, RolloutEvent::WavePassed, RolloutPhase::Running),
    (RolloutPhase::Analyzing, RolloutEvent::LastWavePassed, RolloutPhase::Finished),
    (RolloutPhase::Analyzing, RolloutEvent::Failed, RolloutPhase::Halted),
    (RolloutPhase::Analyzing, RolloutEvent::Halt, RolloutPhase::Halted),
    (RolloutPhase::Analyzing, RolloutEvent::RollBack, RolloutPhase::RollingBack),
    (RolloutPhase::Halted, RolloutEvent::Halt, RolloutPhase::Halted),
    (RolloutPhase::Halted, RolloutEvent::Resume, RolloutPhase::Running),
    (RolloutPhase::Halted, RolloutEvent::RollBack, RolloutPhase::RollingBack),
    (RolloutPhase::RollingBack, RolloutEvent::Halt, RolloutPhase::RollbackHalted),
    (RolloutPhase::RollingBack, RolloutEvent::RollBack, RolloutPhase::RollingBack),
    (RolloutPhase::RollingBack, RolloutEvent::AllReverted, RolloutPhase::RolledBack),
    (RolloutPhase::RollbackHalted, RolloutEvent::Halt, RolloutPhase::RollbackHalted),
    (RolloutPhase::RollbackHalted, RolloutEvent::Resume, RolloutPhase::RollingBack),
    (RolloutPhase::RollbackHalted, RolloutEvent::RollBack, RolloutPhase::RollingBack),
];

/// One target of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RolloutItem {
    /// The target to update.
    pub target: Target,
    /// Its wave, from 0.
    pub wave: usize,
    /// Its progress.
    pub state: ItemState,
}

/// The rollout in progress, or the last one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rollout {
    /// The plan as submitted.
    pub plan: RolloutPlan,
    /// The current phase.
    pub phase: RolloutPhase,
    /// The wave that is being updated or rolled back, from 0.
    pub wave: usize,
    /// The reason of the last halt or rollback.
    pub reason: String,
    /// All targets of all waves, in the order in which they are updated.
    pub items: Vec<RolloutItem>,
}

impl Rollout {
    /// Expands the plan over the known targets in the order of their names. A target that no wave selects is
    /// not updated.
    pub fn new(plan: RolloutPlan, known: &[Target]) -> Rollout {
        let mut items: Vec<RolloutItem> = Vec::new();
        for (wave, selection) in plan.waves.iter().enumerate() {
            let selected = select(&plan, selection, known, &items);
            items.extend(selected.into_iter().map(|target| RolloutItem {
                target,
                wave,
                state: ItemState::Pending,
            }));
        }
        Rollout { plan, phase: RolloutPhase::Running, wave: 0, reason: String::new(), items }
    }

    /// Names in the plan that do not belong to a known target.
    pub fn unknown_names(&self) -> Vec<&str> {
        let named = self.plan.waves.iter().flat_map(|wave| &wave.names);
        let known = |name: &&String| self.items.iter().any(|item| item.target.name() == *name);
        named.filter(|name| !known(name)).map(String::as_str).collect()
    }

    /// The item of a target.
    pub fn item(&self, target: &Target) -> Option<&RolloutItem> {
        self.items.iter().find(|item| item.target == *target)
    }

    pub(crate) fn item_mut(&mut self, target: &Target) -> Option<&mut RolloutItem> {
        self.items.iter_mut().find(|item| item.target == *target)
    }

    /// The items of the current wave.
    pub(crate) fn current_wave_mut(&mut self) -> impl DoubleEndedIterator<Item = &mut RolloutItem> {
        let wave = self.wave;
        self.items.iter_mut().filter(move |item| item.wave == wave)
    }

    /// Moves to the next phase. Fails with `Stale` if the event does not apply in the current phase.
    pub(crate) fn apply(&mut self, event: RolloutEvent) -> Result<(), CommandError> {
        let applies =
            |row: &&(RolloutPhase, RolloutEvent, RolloutPhase)| (row.0, row.1) == (self.phase, event);
        let &(_, _, next) = TRANSITIONS.iter().find(applies).ok_or(CommandError::Stale)?;
        self.phase = next;
        Ok(())
    }
}

/// Selects the targets of one wave among those that no earlier wave has selected.
fn select(plan: &RolloutPlan, wave: &Wave, known: &[Target], selected: &[RolloutItem]) -> Vec<Target> {
    let by_share = (known.len() * wave.share_ppm as usize).div_ceil(1_000_000);
    let further = wave.count as usize + by_share;
    let available = |target: &&Target| selected.iter().all(|item| item.target != **target);
    let is_named = |target: &&Target| wave.names.iter().any(|name| name == target.name());
    let named = known.iter().filter(is_named).filter(available);
    let unnamed = known.iter().filter(|target| !plan.is_named(target.name())).filter(available);
    named.chain(unnamed.take(further)).cloned().collect()
}
