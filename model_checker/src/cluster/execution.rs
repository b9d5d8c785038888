//! Carries out the effects of the voters: messages, writes and committed commands.
use super::initial::request_lease;
use super::state::{Channel, ClusterState, GrantOwner, MessageKind, PendingWrite};
use super::{id_of, position_of, ClusterModel, Mutation};
use hallrelay_disruption::{Command, HealthState, Outcome, State as StateMachine};
use hallrelay_raft::{Effect, Event, Id, Message, MessageBody, Node, Role, Snapshot, Term, Voter, Write};

/// Maximum number of holders. A proposal id is `request * MAX_HOLDERS + holder`, so that the holder follows
/// from the id.
const MAX_HOLDERS: u64 = 8;
/// Maximum number of messages and writes that are handled until none is pending.
const MAX_SETTLE_STEPS: usize = 400;

/// Returns whether a voter is the leader.
pub(super) fn is_leader(node: &Node) -> bool {
    node.role() == Role::Leader
}

impl ClusterModel {
    /// Starts a process from its disk.
    pub(super) fn start_server(&self, state: &mut ClusterState, position: usize) {
        let server = state.server_mut(position);
        let is_restart = server.node.is_some();
        let state_machine_before = std::mem::take(&mut server.state_machine);
        let own = Voter { id: id_of(position), incarnation: server.incarnation };
        let mut effects = Vec::new();
        server.pending_writes.clear();
        server.node = Some(Node::new(own, self.ids(), server.disk.clone(), &mut effects));
        self.carry_out(state, position, effects);
        if is_restart && self.mutation == Mutation::AppliesTwice {
            state.server_mut(position).state_machine = state_machine_before;
        }
    }

    /// Lets a voter handle an event.
    pub(super) fn step(&self, state: &mut ClusterState, position: usize, event: Event) {
        let Some(node) = &mut state.server_mut(position).node else { return };
        let mut effects = Vec::new();
        node.step(event, &mut effects);
        self.carry_out(state, position, effects);
    }

    fn carry_out(&self, state: &mut ClusterState, position: usize, effects: Vec<Effect>) {
        let mut has_writes = false;
        for effect in effects {
            match effect {
                Effect::Send(message) => {
                    state.in_flight.insert(Channel::of(&message), message);
                }
                Effect::Write { number, write } => {
                    let pending = PendingWrite { number, write };
                    state.server_mut(position).pending_writes.push_back(pending);
                    has_writes = true;
                }
                Effect::Apply { command, proposal_id, .. } => {
                    self.apply(state, position, &command, proposal_id);
                }
                Effect::RestoreSnapshot { snapshot } => restore_snapshot(state, position, &snapshot),
                Effect::LeadershipChanged { is_leader: true, term } => {
                    record_leader(state, id_of(position), term);
                }
                // The search decides when a timer expires, so the model sets none. A rejected proposal has no
                // effect in the model.
                Effect::LeadershipChanged { .. }
                | Effect::SetTimer(_)
                | Effect::ProposalRejected { .. }
                | Effect::ProposalOutcomeUnknown { .. } => {}
            }
        }
        while has_writes && !self.slow_disks && !state.servers[position].pending_writes.is_empty() {
            self.complete_write(state, position);
        }
    }

    /// Makes the oldest pending write of a server durable.
    pub(super) fn complete_write(&self, state: &mut ClusterState, position: usize) {
        let server = state.server_mut(position);
        let Some(PendingWrite { number, write }) = server.pending_writes.pop_front() else { return };
        let is_lost = match write {
            Write::Vote { .. } => self.mutation == Mutation::VoteNotSynced,
            Write::Log { .. } => self.mutation == Mutation::LogNotSynced,
            Write::Snapshot { .. } => false,
        };
        if !is_lost {
            server.disk.apply(write);
        }
        self.step(state, position, Event::WritesDurable(number));
    }

    /// Applies a committed command. If the command was proposed at this server, the holder gets its outcome.
    fn apply(&self, state: &mut ClusterState, position: usize, command: &[u8], proposal_id: Option<u64>) {
        let Ok(command) = Command::decode(command) else { return };
        let committed_health = committed_health(&command);
        let command = self.mutated_command(command);
        let outcome = state.server_mut(position).state_machine.apply(&command);
        let holder = proposal_id.map(|proposal_id| (proposal_id % MAX_HOLDERS) as usize);
        let Some(holder) = holder.filter(|holder| *holder < state.holders.len()) else { return };
        match committed_health {
            Some(HealthState::Up) => {
                state.unhealthy_holders.remove(&holder);
            }
            Some(_) => {
                state.unhealthy_holders.insert(holder);
            }
            None => {}
        }
        match (command, outcome) {
            (Command::Request { request_id, .. }, Outcome::Granted { lease_id }) => {
                self.record_grant(state, lease_id, GrantOwner { holder, request: request_id });
            }
            (Command::Begin { lease_id, .. }, Outcome::Done) => {
                state.holders[holder].is_out |= state.holders[holder].lease_id == lease_id;
            }
            _ => {}
        }
    }

    /// A command as changed by the mutation.
    fn mutated_command(&self, command: Command) -> Command {
        match (self.mutation, command) {
            (Mutation::ExpiresWhileOut, Command::Expire { target, .. }) => {
                Command::Reclaim { target, requested_by: "time".to_string() }
            }
            (
                Mutation::WarmingCountsAsUp,
                Command::Observe { target, domain, health: HealthState::WarmingUp },
            ) => Command::Observe { target, domain, health: HealthState::Up },
            (_, command) => command,
        }
    }

    fn record_grant(&self, state: &mut ClusterState, lease_id: u64, owner: GrantOwner) {
        // A repeated request receives the same grant again.
        let is_new = !state.grants.contains_key(&lease_id);
        if is_new && state.unhealthy_holders.iter().any(|other| *other != owner.holder) {
            state.violate("holders that are not up count as disrupted");
        }
        let holder = &mut state.holders[owner.holder];
        holder.lease_id = lease_id;
        if self.mutation == Mutation::BeginsUncommitted {
            holder.is_out = true;
        }
        if state.grants.insert(lease_id, owner).is_some_and(|previous| previous != owner) {
            state.violate("unique lease ids");
        }
    }

    /// Proposes a command at a voter on behalf of a holder.
    pub(super) fn propose(
        &self,
        state: &mut ClusterState,
        position: usize,
        holder: usize,
        command: &Command,
    ) {
        state.last_request += 1;
        let proposal_id = state.last_request * MAX_HOLDERS + holder as u64;
        self.step(state, position, Event::Propose { proposal_id, command: command.encode() });
    }

    /// A message as changed by the mutation.
    fn mutated_message(&self, message: &Message) -> Message {
        let mut message = message.clone();
        match (self.mutation, &mut message.body) {
            (
                Mutation::LogNotCompared,
                MessageBody::RequestVote { last_log_index, .. }
                | MessageBody::RequestPreVote { last_log_index, .. },
            ) => *last_log_index += 9,
            (Mutation::AcknowledgesAhead, MessageBody::AppendResponse { success: true, index }) => {
                *index += 1
            }
            _ => {}
        }
        message
    }

    /// Delivers a message and the response to it.
    pub(super) fn deliver(&self, state: &mut ClusterState, message: &Message) {
        let message = self.mutated_message(message);
        let (from, to) = (message.from.id, message.to.id);
        let response_kind = MessageKind::of(&message.body).immediate_response();
        let response_channel = response_kind.map(|kind| Channel { from: to, to: from, kind });
        let previous = response_channel.and_then(|channel| state.in_flight.remove(&channel));
        self.step(state, position_of(to), Event::MessageReceived(message));
        let Some(channel) = response_channel else { return };
        if let Some(response) = state.in_flight.remove(&channel) {
            let response = self.mutated_message(&response);
            self.step(state, position_of(from), Event::MessageReceived(response));
        } else if let Some(previous) = previous {
            state.in_flight.insert(channel, previous);
        }
    }

    /// Delivers messages and completes writes until none is pending.
    pub(super) fn settle(&self, state: &mut ClusterState) {
        for _ in 0..MAX_SETTLE_STEPS {
            let writing =
                (0..self.voter_count).find(|server| !state.servers[*server].pending_writes.is_empty());
            if let Some(server) = writing {
                self.complete_write(state, server);
                continue;
            }
            let Some((channel, message)) = state.in_flight.pop_first() else { return };
            self.step(state, position_of(channel.to), Event::MessageReceived(message));
        }
    }

    /// Lets a leader grant a request from its own state without the log (`Mutation::GrantsWithoutLog`).
    pub(super) fn grant_without_log(&self, state: &mut ClusterState, position: usize, holder: usize) {
        let request = request_lease(holder, state.holders[holder].request);
        let mut state_machine = state.servers[position].state_machine.clone();
        if let Outcome::Granted { lease_id } = state_machine.apply(&request) {
            state.holders[holder].lease_id = lease_id;
            state.holders[holder].is_out = true;
        }
    }
}

fn restore_snapshot(state: &mut ClusterState, position: usize, snapshot: &Snapshot) {
    if let Ok(state_machine) = StateMachine::decode(&snapshot.state) {
        state.server_mut(position).state_machine = state_machine;
    }
}

fn record_leader(state: &mut ClusterState, id: Id, term: Term) {
    if state.leaders.insert(term, id).is_some_and(|previous| previous != id) {
        state.violate("election safety");
    }
}

/// The health that a command commits, if any.
fn committed_health(command: &Command) -> Option<HealthState> {
    match command {
        Command::Observe { health, .. } => Some(*health),
        _ => None,
    }
}
