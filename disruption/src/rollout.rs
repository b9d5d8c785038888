//! A rollout: waves of relays or backends that are taken out of service, updated by whoever deploys, and
//! taken back. It advances by commands alone and is part of the replicated state: the death of a relay loses
//! no step, and after a halt is committed nothing begins.
use crate::error::CommandError;
use crate::plan::{RolloutPlan, Wave};
use crate::target::Target;
use serde::{Deserialize, Serialize};

/// How far one target is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemState {
    /// Not begun.
    #[default]
    Pending,
    /// Its lease is requested, and it is updated once that is granted.
    Updating,
    /// It has the new build, and was not yet observed to be up.
    Updated,
    /// It has the new build and is in service.
    Complete,
    /// Its lease is requested to go back to the old build.
    RollingBack,
    /// It has the old build again, and was not yet observed to be up.
    Reverted,
    /// It has the old build again and is in service.
    RolledBack,
}

impl ItemState {
    /// The word in answers to operators.
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

/// The phase of the whole rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// A wave is updated.
    #[default]
    Running,
    /// All of the wave is updated and in service; its analysis is awaited.
    Analyzing,
    /// Halted by a person, a failed update or a failed analysis.
    Halted,
    /// Back to the old build, the latest wave first.
    RollingBack,
    /// Halted while rolling back.
    RollbackHalted,
    /// All waves are updated and passed.
    Finished,
    /// All targets have the old build again.
    RolledBack,
}

impl RolloutPhase {
    /// The word in answers to operators.
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

    /// Whether another rollout may start.
    pub fn is_over(self) -> bool {
        matches!(self, RolloutPhase::Finished | RolloutPhase::RolledBack)
    }
}

/// What changes a rollout's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RolloutEvent {
    /// All of the wave is updated and in service.
    WaveUpdated,
    /// The wave passed its analysis, and is not the last.
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

/// Phase, event, next phase. An event that is not listed for a phase is rejected.
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
    /// What is updated.
    pub target: Target,
    /// Its wave, from 0.
    pub wave: usize,
    /// How far it is.
    pub state: ItemState,
}

/// The rollout in progress, or the last one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rollout {
    /// The plan as it was submitted.
    pub plan: RolloutPlan,
    /// The phase of the whole.
    pub phase: RolloutPhase,
    /// The wave that is updated or rolled back, from 0.
    pub wave: usize,
    /// Why it was halted last.
    pub reason: String,
    /// All targets of all waves, in the order in which they are updated.
    pub items: Vec<RolloutItem>,
}

impl Rollout {
    /// Expands the plan over the known targets, in the order of their names. A target that no wave selects is
    /// left alone.
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

    /// Names in the plan that no known target has.
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

    /// The items of the present wave.
    pub(crate) fn current_wave_mut(&mut self) -> impl DoubleEndedIterator<Item = &mut RolloutItem> {
        let wave = self.wave;
        self.items.iter_mut().filter(move |item| item.wave == wave)
    }

    /// Moves to the next phase. `Stale` where the event does not apply in this phase.
    pub(crate) fn apply(&mut self, event: RolloutEvent) -> Result<(), CommandError> {
        let applies =
            |row: &&(RolloutPhase, RolloutEvent, RolloutPhase)| (row.0, row.1) == (self.phase, event);
        let &(_, _, next) = TRANSITIONS.iter().find(applies).ok_or(CommandError::Stale)?;
        self.phase = next;
        Ok(())
    }
}

/// The targets of one wave, without those of the waves before it.
fn select(plan: &RolloutPlan, wave: &Wave, known: &[Target], before: &[RolloutItem]) -> Vec<Target> {
    let by_share = (known.len() * wave.share_ppm as usize).div_ceil(1_000_000);
    let further = wave.count as usize + by_share;
    let available = |target: &&Target| before.iter().all(|item| item.target != **target);
    let named_here = |target: &&Target| wave.names.iter().any(|name| name == target.name());
    let named = known.iter().filter(named_here).filter(available);
    let unnamed = known.iter().filter(|target| !plan.is_named(target.name())).filter(available);
    named.chain(unnamed.take(further)).cloned().collect()
}
