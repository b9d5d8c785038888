//! Each relay reports its status to the voters once a second. The leader then reviews the fleet: it commits
//! its observations of relays and backends, expires granted leases whose drain was not begun, returns relays
//! that serve again, and notifies all relays which backends are excluded. Times in microseconds.
//!
//! A lease permits taking one target, a relay or a backend, out of service. An excluded backend is out of
//! service by its lease: it gets no new sessions.
use super::{Effect, Reducer, Server, Timer};
use crate::control_message::{ControlMessage, RelayStatus};
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_disruption::{Command, FailureDomain, HealthState, ItemState, Lease, LeaseState, Target};
use hallrelay_membership::{MemberState, ReportedLifecycle};

/// Interval between reviews. Within it, a committed drain reaches all relays, and a failed target counts
/// against its budget.
const REVIEW_INTERVAL: Micros = 1_000_000;
/// Largest number of commands per review. After a partition that affects a thousand targets, all commands are
/// committed within a few seconds.
const MAX_COMMANDS: usize = 64;
/// Time after the grant of a relay's lease from which the relay's report that it serves is believed. A relay
/// that began to drain has reported the drain by then.
const SERVING_AGAIN_DELAY: Micros = 3 * REVIEW_INTERVAL;
/// Time after the grant of a backend's lease from which the sessions that relays report there are believed. A
/// report received after this time was sent by a relay that knew that the backend is excluded.
pub(super) const EXCLUSION_DELAY: Micros = 3 * REVIEW_INTERVAL;
/// Number of consecutive health checks or connects without an answer after which a backend is down.
const MAX_MISSES: u32 = 2;
/// Request id of a review's commands. It is never assigned to a request, since none waits for their results.
const NO_REQUEST: u64 = 0;

/// The leader's observation of a target.
struct Observation {
    target: Target,
    domain: FailureDomain,
    health: HealthState,
}

impl Reducer {
    pub(super) fn start_review(&mut self, out: &mut Vec<Effect>) {
        if self.coordination.is_some() {
            out.push(Effect::StartTimer { after: REVIEW_INTERVAL, timer: Timer::LeaderReview });
        }
    }

    pub(super) fn review(&mut self, out: &mut Vec<Effect>) {
        out.push(Effect::StartTimer { after: REVIEW_INTERVAL, timer: Timer::LeaderReview });
        if !self.ownership.is_owner() {
            return;
        }
        self.migrate_excluded(out);
        self.report_status(out);
        self.leader_review(out);
    }

    /// Reports this relay's status to all voters.
    fn report_status(&mut self, out: &mut Vec<Effect>) {
        let remaining_sessions = self.own_remaining_sessions();
        let session_counts = self.take_session_counts();
        let (serving, zone) = (self.is_serving(), self.own_zone());
        let Some(coordination) = &self.coordination else { return };
        let domain = FailureDomain {
            zone,
            kind: coordination.config.kind.clone(),
            group: coordination.config.group.clone(),
        };
        let own_name = coordination.own_name.clone();
        let voters: Vec<_> =
            coordination.voter_names.values().filter(|name| **name != own_name).cloned().collect();
        let status = RelayStatus { domain, serving, remaining_sessions, session_counts };
        self.receive_status(own_name, status.clone());
        let message = ControlMessage::Status(status);
        voters.iter().for_each(|voter| self.send_control(voter, &message, out));
    }

    fn own_zone(&self) -> String {
        let site = &self.node.site;
        site.zones.get(usize::from(site.facts.zone)).cloned().unwrap_or_default()
    }

    fn leader_review(&mut self, out: &mut Vec<Effect>) {
        let Some(coordination) = self.coordination.as_ref().filter(|coordination| coordination.is_leader())
        else {
            return;
        };
        let own_name = coordination.own_name.clone();
        let excluded = ControlMessage::Excluded {
            index: coordination.applied_index,
            backends: coordination.backends_out().into_iter().collect(),
            moves_per_s: coordination.config.moves_per_s,
        };
        self.broadcast_control(&excluded, out);
        let analysis = self.wave_analysis();
        for command in self.review_commands().into_iter().chain(analysis) {
            self.propose(&own_name, NO_REQUEST, command.encode(), out);
        }
    }

    /// The commands for all changes that this leader observes and that the replicated state does not have
    /// yet.
    fn review_commands(&self) -> Vec<Command> {
        let Some(coordination) = &self.coordination else { return Vec::new() };
        let mut commands = Vec::new();
        if coordination.state.budgets() != coordination.config.budgets {
            commands.push(Command::SetBudgets(coordination.config.budgets.clone()));
        }
        let observations = self.observed_relays().into_iter().chain(self.observed_backends());
        commands.extend(observations.filter_map(|observation| self.observation_command(observation)));
        for (target, lease) in coordination.state.leases() {
            commands.extend(self.expiry(target, lease));
            commands.extend(self.relay_return(target, lease));
        }
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// The command for an observation; `None` if the replicated state has it already.
    fn observation_command(&self, observation: Observation) -> Option<Command> {
        let Observation { target, domain, health } = observation;
        let is_new = match self.coordination.as_ref()?.state.lease(&target) {
            Some(lease) => lease.health != health || lease.domain != domain,
            None => health != HealthState::Removed,
        };
        is_new.then_some(Command::Observe { target, domain, health })
    }

    /// The command that expires a granted lease, if its drain was not begun in time.
    fn expiry(&self, target: &Target, lease: &Lease) -> Option<Command> {
        let coordination = self.coordination.as_ref()?;
        let is_late = self.now
            >= coordination.granted_since(target, self.now) + coordination.config.lease_start_timeout;
        (lease.state == LeaseState::Granted && is_late)
            .then(|| Command::Expire { target: target.clone(), lease_id: lease.lease_id })
    }

    /// The command that returns a relay whose lease is out of service, but which reports that it serves: the
    /// relay is back, or never began to drain. Excepted are relays that are out of service for a rollout:
    /// they still serve, and the deployer reports when they are updated.
    fn relay_return(&self, target: &Target, lease: &Lease) -> Option<Command> {
        let coordination = self.coordination.as_ref()?;
        let Target::Relay(name) = target else { return None };
        let valid_from = coordination.granted_since(target, self.now) + SERVING_AGAIN_DELAY;
        let serves = coordination
            .reports
            .get(name.as_str())
            .is_some_and(|report| report.serving && report.received_at > valid_from);
        let item = coordination.state.rollout().and_then(|rollout| rollout.item(target));
        let in_rollout =
            item.is_some_and(|item| matches!(item.state, ItemState::Updating | ItemState::RollingBack));
        (lease.state == LeaseState::Out && serves && !in_rollout)
            .then(|| Command::Return { target: target.clone() })
    }

    /// Observations of the other relays, by membership, and of this one.
    fn observed_relays(&self) -> Vec<Observation> {
        let (Some(coordination), Some(membership)) = (&self.coordination, &self.membership) else {
            return Vec::new();
        };
        let observation = |name: &str, health| Observation {
            target: Target::Relay(name.to_string()),
            domain: coordination.reports.get(name).map(|report| report.domain.clone()).unwrap_or_default(),
            health,
        };
        let reporting =
            membership.members().filter(|member| coordination.reports.contains_key(member.name()));
        let mut observed: Vec<_> = reporting
            .map(|member| {
                let health = member_health(member.state(), member.update.metadata.lifecycle);
                observation(member.name(), health)
            })
            .collect();
        let own = if self.is_serving() { HealthState::Up } else { HealthState::Down };
        observed.push(observation(&coordination.own_name, own));
        observed
    }

    /// Observations of backends, by discovery and this relay's own health checks, and of backends that
    /// discovery removed.
    fn observed_backends(&self) -> Vec<Observation> {
        let listed = self.servers.values().filter(|server| server.instance.phase != Phase::Gone);
        let mut observed: Vec<_> = listed
            .map(|server| Observation {
                target: Target::Backend(server.instance.id.clone()),
                domain: FailureDomain {
                    zone: server.instance.zone.clone(),
                    group: server.instance.cell.to_string(),
                    ..FailureDomain::default()
                },
                health: self.backend_health(server),
            })
            .collect();
        observed.extend(self.removed_backends());
        observed
    }

    fn backend_health(&self, server: &Server) -> HealthState {
        let is_silent =
            server.consecutive_misses >= MAX_MISSES || server.consecutive_connect_failures >= MAX_MISSES;
        match server.instance.phase {
            Phase::Ready if is_silent => HealthState::Down,
            Phase::Ready if server.in_slow_start(self.now, self.node.site.facts.warm_up) => {
                HealthState::WarmingUp
            }
            Phase::Ready => HealthState::Up,
            Phase::Draining | Phase::Gone => HealthState::Down,
        }
    }

    /// Observations of backends in the replicated state that discovery no longer lists. There are none while
    /// discovery has not answered this leader, whose list may then be old.
    fn removed_backends(&self) -> Vec<Observation> {
        let Some(coordination) =
            self.coordination.as_ref().filter(|_| self.last_discovery_answer_at.is_some())
        else {
            return Vec::new();
        };
        let is_listed = |id: &String| {
            let server = self.ids.get(id).and_then(|number| self.servers.get(number));
            server.is_some_and(|server| server.instance.phase != Phase::Gone)
        };
        let removed = coordination.state.leases().filter(|(target, _)| match target {
            Target::Backend(id) => !is_listed(id),
            Target::Relay(_) => false,
        });
        let observation = |(target, lease): (&Target, &Lease)| Observation {
            target: target.clone(),
            domain: lease.domain.clone(),
            health: HealthState::Removed,
        };
        removed.map(observation).collect()
    }
}

fn member_health(state: MemberState, lifecycle: ReportedLifecycle) -> HealthState {
    match (state, lifecycle) {
        (MemberState::Alive | MemberState::Suspect, ReportedLifecycle::Serving) => HealthState::Up,
        (MemberState::Alive | MemberState::Suspect, ReportedLifecycle::Starting) => HealthState::WarmingUp,
        _ => HealthState::Down,
    }
}
