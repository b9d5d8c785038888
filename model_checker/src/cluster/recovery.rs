//! Liveness: once no fault occurs any more, a leader is elected and grants a lease, from any state.
use super::execution::is_leader;
use super::initial::request_lease;
use super::state::{ClusterState, Holder};
use super::{holder_name, ClusterModel};
use hallrelay_disruption::{Command, FailureDomain, HealthState};
use hallrelay_raft::{Event, Timer};

/// Maximum number of election timeouts, one server after another, before a cluster counts as stuck.
const MAX_ROUNDS: usize = 24;
/// The id of the request that must be granted at the end. It is above all other request ids.
const FINAL_REQUEST: u64 = 1 << 40;

impl ClusterModel {
    /// Lets the servers time out one after another, with all messages delivered and all writes durable, until
    /// a leader grants a lease. Returns whether one was granted within `MAX_ROUNDS` timeouts.
    pub(super) fn recovers(&self, state: &ClusterState) -> bool {
        let mut state = state.clone();
        state.in_flight.clear();
        state.delayed.clear();
        for round in 0..MAX_ROUNDS {
            if self.leader_grants(&mut state) {
                return true;
            }
            self.step(&mut state, round % self.voter_count, Event::TimerExpired(Timer::ElectionTimeout));
            self.settle(&mut state);
        }
        false
    }

    /// Returns whether there is a leader that is still leader after a heartbeat and grants a lease.
    fn leader_grants(&self, state: &mut ClusterState) -> bool {
        let leader = (0..self.voter_count).find(|server| state.node(*server).is_some_and(is_leader));
        let Some(leader) = leader else { return false };
        self.step(state, leader, Event::TimerExpired(Timer::HeartbeatTimeout));
        self.settle(state);
        state.node(leader).is_some_and(is_leader) && self.grants_lease(state, leader)
    }

    /// Ends all disruptions and requests a lease. Returns whether it is granted.
    fn grants_lease(&self, state: &mut ClusterState, leader: usize) -> bool {
        for holder in 0..self.holder_count {
            state.holders[holder] = Holder::default();
            let target = holder_name(holder);
            let is_up =
                Command::Observe { target, domain: FailureDomain::default(), health: HealthState::Up };
            self.propose(state, leader, holder, &is_up);
            self.settle(state);
            let reclaim =
                Command::Reclaim { target: holder_name(holder), requested_by: "a person".to_string() };
            self.propose(state, leader, holder, &reclaim);
            self.settle(state);
        }
        self.propose(state, leader, 0, &request_lease(0, FINAL_REQUEST));
        self.settle(state);
        state.holders[0].lease_id > 0
    }
}
