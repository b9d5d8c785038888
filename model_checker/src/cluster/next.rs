//! Takes transitions of the cluster model.
use super::initial::request_lease;
use super::state::{Channel, ClusterState, Health, Holder};
use super::{holder_name, ClusterModel, Mutation, Transition};
use hallrelay_disruption::{Command, FailureDomain, HealthState, State as StateMachine};
use hallrelay_raft::{Event, Message, PersistentState, Timer};

impl ClusterModel {
    /// Changes a state by a transition that is enabled in it.
    pub(super) fn take(&self, state: &mut ClusterState, transition: &Transition) {
        match transition {
            Transition::ElectionTimeout(server) => {
                state.limits.election_timeouts -= 1;
                state.timed_out |= 1 << *server;
                self.step(state, *server, Event::TimerExpired(Timer::ElectionTimeout));
            }
            Transition::HeartbeatTimeout(server) => {
                state.limits.heartbeats -= 1;
                self.step(state, *server, Event::TimerExpired(Timer::HeartbeatTimeout));
            }
            Transition::WriteDurable(server) => self.complete_write(state, *server),
            Transition::Crash(server) => {
                state.limits.crashes -= 1;
                self.start_server(state, *server);
            }
            Transition::DiskLoss(server) => self.lose_disk(state, *server),
            Transition::Compact(server) => self.compact(state, *server),
            Transition::Deliver(_)
            | Transition::DeliverTwice(_)
            | Transition::Delay(_)
            | Transition::DeliverDelayed(_) => self.take_message_transition(state, transition),
            _ => self.take_holder_transition(state, transition),
        }
    }

    fn lose_disk(&self, state: &mut ClusterState, position: usize) {
        state.limits.disk_losses -= 1;
        let server = state.server_mut(position);
        server.disk = PersistentState::default();
        server.state_machine = StateMachine::default();
        if self.mutation != Mutation::DiskLossUnreported {
            server.incarnation += 1;
        }
        self.start_server(state, position);
    }

    fn compact(&self, state: &mut ClusterState, position: usize) {
        state.limits.compactions -= 1;
        let Some(index) = state.node(position).map(|node| node.commit_index()) else { return };
        let encoded = state.servers[position].state_machine.encode();
        self.step(state, position, Event::Compact { index, state: encoded });
    }

    fn take_message_transition(&self, state: &mut ClusterState, transition: &Transition) {
        match transition {
            Transition::Deliver(message) => {
                state.in_flight.remove(&Channel::of(message));
                self.deliver(state, message);
            }
            Transition::DeliverTwice(message) => {
                state.limits.duplicates -= 1;
                hold_for_later(state, message);
                self.deliver(state, message);
            }
            Transition::Delay(message) => {
                state.limits.delays -= 1;
                hold_for_later(state, message);
            }
            Transition::DeliverDelayed(message) => {
                state.delayed.remove(message);
                self.deliver(state, message);
            }
            _ => {}
        }
    }

    fn take_holder_transition(&self, state: &mut ClusterState, transition: &Transition) {
        match *transition {
            Transition::RequestLease { holder, leader } => self.request_lease(state, holder, leader),
            Transition::BeginDisruption { holder, leader } => {
                state.limits.requests -= 1;
                let lease_id = state.holders[holder].lease_id;
                let command = Command::Begin { target: holder_name(holder), lease_id };
                self.propose(state, leader, holder, &command);
            }
            Transition::EndDisruption { holder, leader } => {
                let Holder { health, reported_health, .. } = state.holders[holder];
                state.holders[holder] = Holder { health, reported_health, ..Holder::default() };
                self.propose(state, leader, holder, &Command::Return { target: holder_name(holder) });
            }
            Transition::ExpireLease { holder, leader } => self.expire_lease(state, holder, leader),
            Transition::HolderFails(holder) => {
                state.limits.holder_failures -= 1;
                state.holders[holder].health = Health::Down;
            }
            Transition::HolderStarts(holder) => state.holders[holder].health = Health::WarmingUp,
            Transition::HolderWarmedUp(holder) => state.holders[holder].health = Health::Up,
            Transition::ObserveHealth { holder, leader } => self.observe_health(state, holder, leader),
            _ => {}
        }
    }

    fn request_lease(&self, state: &mut ClusterState, holder: usize, leader: usize) {
        state.limits.requests -= 1;
        if state.holders[holder].request == 0 {
            state.last_request += 1;
            state.holders[holder].request = state.last_request;
        }
        if self.mutation == Mutation::GrantsWithoutLog {
            self.grant_without_log(state, leader, holder);
        }
        let command = request_lease(holder, state.holders[holder].request);
        self.propose(state, leader, holder, &command);
    }

    fn expire_lease(&self, state: &mut ClusterState, holder: usize, leader: usize) {
        state.limits.expirations -= 1;
        let target = holder_name(holder);
        let lease_id = state.servers[leader].state_machine.lease(&target).map_or(0, |lease| lease.lease_id);
        self.propose(state, leader, holder, &Command::Expire { target, lease_id });
    }

    fn observe_health(&self, state: &mut ClusterState, holder: usize, leader: usize) {
        let health = state.holders[holder].health;
        state.holders[holder].reported_health = health;
        let health = match health {
            Health::Up => HealthState::Up,
            Health::Down => HealthState::Down,
            Health::WarmingUp => HealthState::WarmingUp,
        };
        let command =
            Command::Observe { target: holder_name(holder), domain: FailureDomain::default(), health };
        self.propose(state, leader, holder, &command);
    }
}

/// Moves a message from its channel to the delayed messages.
fn hold_for_later(state: &mut ClusterState, message: &Message) {
    state.in_flight.remove(&Channel::of(message));
    state.delayed.insert(message.clone());
}
