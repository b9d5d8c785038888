//! The initial state: a bootstrapped cluster whose state machine contains the budget and all holders.
use super::state::{ClusterState, GrantOwner, Holder, Server};
use super::{holder_name, ClusterModel, Mutation, BUDGET};
use hallrelay_disruption::{
    Budget, Command, FailureDomain, HealthState, Scope, State as StateMachine, TargetKind,
};
use hallrelay_raft::{Event, PersistentState, Snapshot, Timer};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl ClusterModel {
    pub(super) fn initial(&self) -> ClusterState {
        let mut state = self.stopped_cluster();
        for server in 0..self.voter_count {
            self.start_server(&mut state, server);
        }
        if self.starts_with_leader {
            self.elect_first(&mut state);
        } else {
            // An election timeout has expired at each server, so that each one may grant a pre-vote.
            for server in 0..self.voter_count {
                self.step(&mut state, server, Event::TimerExpired(Timer::ElectionTimeout));
            }
            state.in_flight.clear();
        }
        self.make_canonical(&mut state);
        state
    }

    /// A cluster of servers that are not started. All disks have the same snapshot, that of the initial state
    /// machine.
    fn stopped_cluster(&self) -> ClusterState {
        let mut holders = vec![Holder::default(); self.holder_count];
        let mut grants = BTreeMap::new();
        if self.starts_disrupted {
            holders[0] = Holder { request: 1, lease_id: 1, is_out: true, ..Holder::default() };
            grants.insert(1, GrantOwner { holder: 0, request: 1 });
        }
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            voters: self.first_voters(),
            state: self.initial_state_machine().encode(),
        };
        let disk = PersistentState { term: 1, snapshot, ..PersistentState::default() };
        let server = Server { disk, incarnation: 1, ..Server::default() };
        ClusterState {
            servers: (0..self.voter_count).map(|_| Arc::new(server.clone())).collect(),
            in_flight: BTreeMap::new(),
            delayed: BTreeSet::new(),
            holders,
            limits: self.limits,
            leaders: BTreeMap::new(),
            grants,
            unhealthy_holders: BTreeSet::new(),
            timed_out: 0,
            last_request: 1,
            violated: None,
        }
    }

    fn initial_state_machine(&self) -> StateMachine {
        let budget = Budget {
            target_kind: TargetKind::Relay,
            scope: Scope::Fleet,
            max_count: Some(BUDGET),
            max_share_ppm: None,
        };
        let mut state_machine = StateMachine::default();
        state_machine.apply(&Command::SetBudgets(vec![budget]));
        for holder in 0..self.holder_count {
            state_machine.apply(&Command::Observe {
                target: holder_name(holder),
                domain: FailureDomain::default(),
                health: HealthState::Up,
            });
        }
        if self.starts_disrupted {
            state_machine.apply(&request_lease(0, 1));
            state_machine.apply(&Command::Begin { target: holder_name(0), lease_id: 1 });
        }
        match self.mutation {
            Mutation::GrantNumbersForgotten => {
                without_grants(&state_machine, state_machine.budgets().to_vec())
            }
            Mutation::BudgetsForgotten => without_grants(&state_machine, Vec::new()),
            _ => state_machine,
        }
    }

    /// Elects the first server and delivers all messages.
    fn elect_first(&self, state: &mut ClusterState) {
        // A voter grants a pre-vote once its own election timeout has expired.
        for server in (0..self.voter_count).rev() {
            self.step(state, server, Event::TimerExpired(Timer::ElectionTimeout));
            state.in_flight.clear();
        }
        self.step(state, 0, Event::TimerExpired(Timer::ElectionTimeout));
        self.settle(state);
    }
}

/// The command that requests a lease for a holder.
pub(super) fn request_lease(holder: usize, request: u64) -> Command {
    Command::Request {
        target: holder_name(holder),
        request_id: request,
        requested_by: String::new(),
        reason: String::new(),
        force: false,
    }
}

/// A state machine with the same targets and health, the given budgets, and no record of grants.
fn without_grants(state_machine: &StateMachine, budgets: Vec<Budget>) -> StateMachine {
    let mut fresh = StateMachine::default();
    fresh.apply(&Command::SetBudgets(budgets));
    for (target, lease) in state_machine.leases() {
        fresh.apply(&Command::Observe {
            target: target.clone(),
            domain: lease.domain.clone(),
            health: lease.health,
        });
    }
    fresh
}
