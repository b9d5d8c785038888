//! The JSON answers of `GET /v1/grants` and `GET /v1/release`. The first has the leases, the budgets and this
//! relay's role as a voter; the second has the rollout and the targets that are due for an update. The JSON
//! keys keep older terms for operators' tools: grants are leases, a release is a rollout, and things are
//! targets. The attribute `rename` sets such a key.
use super::coordination::Coordination;
use super::leader_review::EXCLUSION_DELAY;
use super::Reducer;
use hallrelay_balancer::types::Micros;
use hallrelay_disruption::{
    Budget, HealthState, ItemState, Lease, LeaseState, Rollout, RolloutItem, Target, TargetKind,
};
use serde::Serialize;

#[derive(Serialize)]
struct LeasesAnswer<'a> {
    leader: Option<&'a str>,
    #[serde(rename = "leads")]
    is_leader: bool,
    role: &'a str,
    term: u64,
    #[serde(rename = "index")]
    applied_index: u64,
    voters: usize,
    budgets: Vec<String>,
    /// Targets that are out of service, waiting for a lease, or not up.
    #[serde(rename = "things")]
    targets: Vec<LeaseRow<'a>>,
    /// Number of all targets in the replicated state, including those in service.
    #[serde(rename = "known")]
    known_targets: usize,
}

#[derive(Serialize)]
struct LeaseRow<'a> {
    #[serde(rename = "what")]
    target: String,
    #[serde(rename = "stage")]
    lease_state: &'static str,
    #[serde(rename = "condition")]
    health: &'static str,
    #[serde(rename = "grant")]
    lease_id: u64,
    #[serde(rename = "by")]
    requested_by: &'a str,
    #[serde(rename = "why")]
    reason: &'a str,
    forced: bool,
    /// Sessions that relays reported there; only for backends that are out of service.
    #[serde(rename = "left")]
    remaining_sessions: Option<u32>,
    #[serde(rename = "held_by")]
    blocked_by: Option<String>,
}

#[derive(Serialize)]
struct RolloutAnswer<'a> {
    build: &'a str,
    #[serde(rename = "of")]
    target_kind: &'static str,
    #[serde(rename = "by")]
    requested_by: &'a str,
    phase: &'static str,
    #[serde(rename = "why")]
    reason: &'a str,
    /// Number of the wave, from 1.
    wave: usize,
    waves: usize,
    /// All sessions and failed sessions during the wave so far, at the new build and at the old build.
    new: [u64; 2],
    old: [u64; 2],
    items: Vec<ItemRow>,
    /// Targets that are out of service, have no sessions, and are to be updated now.
    due: Vec<DueRow<'a>>,
}

#[derive(Serialize)]
struct ItemRow {
    #[serde(rename = "what")]
    target: String,
    /// Number of the wave, from 1.
    wave: usize,
    #[serde(rename = "step")]
    item_state: &'static str,
    #[serde(rename = "stage")]
    lease_state: &'static str,
    /// The budget that blocks the lease, while it waits.
    #[serde(rename = "held_by")]
    blocked_by: Option<String>,
}

#[derive(Serialize)]
struct DueRow<'a> {
    kind: &'static str,
    name: &'a str,
    /// The build to install; `None` for the build that the target had before the rollout.
    build: Option<&'a str>,
    #[serde(rename = "grant")]
    lease_id: u64,
}

impl Reducer {
    /// Leases and budgets as JSON; `None` if no voters are configured.
    pub(super) fn leases_answer(&self) -> Option<String> {
        let coordination = self.coordination.as_ref()?;
        let node = coordination.voter.node();
        let is_listed =
            |lease: &Lease| lease.state != LeaseState::InService || lease.health != HealthState::Up;
        let listed = coordination.state.leases().filter(|(_, lease)| is_listed(lease));
        let answer = LeasesAnswer {
            leader: coordination.leader.as_deref(),
            is_leader: coordination.is_leader(),
            role: node.map_or("no voter", |node| node.role().as_str()),
            term: node.map_or(0, |node| node.term()),
            applied_index: coordination.applied_index,
            voters: node.map_or(0, |node| node.voters().len()),
            budgets: coordination.state.budgets().iter().map(budget_text).collect(),
            targets: listed.map(|(target, lease)| lease_row(coordination, target, lease)).collect(),
            known_targets: coordination.state.leases().count(),
        };
        serde_json::to_string(&answer).ok()
    }

    /// The rollout as JSON; `None` if there is none, or no voters are configured.
    pub(super) fn rollout_answer(&self) -> Option<String> {
        let coordination = self.coordination.as_ref()?;
        let rollout = coordination.state.rollout()?;
        let counts = coordination.outcome_counts.of_wave(rollout);
        let due = rollout.items.iter().filter_map(|item| due_row(coordination, rollout, item, self.now));
        let answer = RolloutAnswer {
            build: &rollout.plan.build,
            target_kind: rollout.plan.target_kind.word(),
            requested_by: &rollout.plan.requested_by,
            phase: rollout.phase.word(),
            reason: &rollout.reason,
            wave: rollout.wave + 1,
            waves: rollout.plan.waves.len(),
            new: [counts.new.sessions, counts.new.failed],
            old: [counts.old.sessions, counts.old.failed],
            items: rollout.items.iter().map(|item| item_row(coordination, item)).collect(),
            due: due.collect(),
        };
        serde_json::to_string(&answer).ok()
    }
}

/// A budget as text: `backend zone: 2 50 in 100` has a count of 2 and a share of 50 percent.
fn budget_text(budget: &Budget) -> String {
    let count = budget.max_count.map(|count| format!(" {count}")).unwrap_or_default();
    let percent = |ppm: u32| format!(" {} in 100", f64::from(ppm) / 1e4);
    let share = budget.max_share_ppm.map(percent).unwrap_or_default();
    format!("{} {}:{count}{share}", budget.target_kind.word(), budget.scope.word())
}

fn lease_row<'a>(coordination: &Coordination, target: &Target, lease: &'a Lease) -> LeaseRow<'a> {
    let is_backend_out = target.kind() == TargetKind::Backend && lease.state == LeaseState::Out;
    LeaseRow {
        target: target.to_string(),
        lease_state: lease.state.word(),
        health: lease.health.word(),
        lease_id: lease.lease_id,
        requested_by: &lease.requested_by,
        reason: &lease.reason,
        forced: lease.forced,
        remaining_sessions: is_backend_out.then(|| coordination.remaining_sessions(target.name())),
        blocked_by: blocking_budget(coordination, target, lease),
    }
}

/// The budget without capacity that blocks a waiting lease.
fn blocking_budget(coordination: &Coordination, target: &Target, lease: &Lease) -> Option<String> {
    let blocked_by =
        (lease.state == LeaseState::Waiting).then(|| coordination.state.blocked_by(target, lease));
    blocked_by.flatten().map(|blocked_by| blocked_by.limit)
}

fn item_row(coordination: &Coordination, item: &RolloutItem) -> ItemRow {
    let lease = coordination.state.lease(&item.target);
    ItemRow {
        target: item.target.to_string(),
        wave: item.wave + 1,
        item_state: item.state.word(),
        lease_state: lease.map_or("unknown", |lease| lease.state.word()),
        blocked_by: lease.and_then(|lease| blocking_budget(coordination, &item.target, lease)),
    }
}

/// The row of a target that is to be updated now: it is out of service, and a backend has no sessions left.
fn due_row<'a>(
    coordination: &Coordination,
    rollout: &'a Rollout,
    item: &'a RolloutItem,
    now: Micros,
) -> Option<DueRow<'a>> {
    let build = match item.state {
        ItemState::Updating => Some(rollout.plan.build.as_str()),
        ItemState::RollingBack => None,
        _ => return None,
    };
    let lease = coordination.state.lease(&item.target).filter(|lease| lease.state == LeaseState::Out)?;
    let (kind, name) = (item.target.kind(), item.target.name());
    let is_reported = now >= coordination.granted_since(&item.target, now) + EXCLUSION_DELAY;
    let is_empty = kind == TargetKind::Relay || (is_reported && coordination.remaining_sessions(name) == 0);
    is_empty.then_some(DueRow { kind: kind.word(), name, build, lease_id: lease.lease_id })
}
