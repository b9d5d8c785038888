//! Hosts this relay's Raft voter: starts it with the state on disk, applies its effects, and applies
//! committed commands. A proposal is answered once its command is applied.
use super::coordination::Coordination;
use super::servers::server_id;
use super::voter::Proposer;
use super::{log, Effect, Reducer, Timer};
use crate::control_message::{ControlMessage, ProposalResult};
use hallrelay_disruption::{Command, CommandError, Outcome, State};
use hallrelay_raft::{self as raft, Event, Index, Voter};
use hallrelay_recovery::{Record, StoredState};
use std::rc::Rc;

impl Reducer {
    /// This relay's state of the coordination; `None` if no voters are configured.
    pub(super) fn configured_coordination(&self) -> Option<Box<Coordination>> {
        let config = self.node.fleet.as_ref()?.coordination.as_ref()?;
        Some(Box::new(Coordination::new(&self.node.name, config, self.node.seed, self.now)))
    }

    /// Starts the voter with the stored state, at the relay's start or when this process takes the store
    /// over.
    pub(super) fn start_voter(&mut self, stored: Option<&StoredState>, out: &mut Vec<Effect>) {
        let now = self.now;
        let own = stored.filter(|stored| stored.belongs_to(&self.node.name));
        if let Some(stored) = own {
            let exclusions = &stored.exclusions;
            self.exclude_backends(exclusions.log_index, exclusions.backends.clone(), out);
        }
        let Some(coordination) = &mut self.coordination else { return };
        // Without readable stored state, this relay does not know its earlier votes, so it must not vote.
        if stored.is_none() || !coordination.is_voter() || coordination.voter.is_running() {
            return;
        }
        let known = own.and_then(|own| Some((own.incarnation?, own.raft.clone())));
        let (incarnation, log) = known.unwrap_or_else(|| {
            log("the store has no vote of this relay: it joins as a new voter and votes once admitted", out);
            // A new incarnation, which identifies the disk. It is never 0, which stands for any disk.
            (self.node.seed ^ now.rotate_left(20) | 1, raft::PersistentState::default())
        });
        // The incarnation is written before the first vote, since one that is not on disk would differ after
        // a restart.
        out.push(Effect::Persist {
            record: Record::vote(incarnation, log.term, log.voted_for),
            before: None,
        });
        // A process that owns the listening socket again applies the log from the beginning.
        coordination.state = State::default();
        coordination.applied_index = 0;
        let voter = Voter { id: server_id(&coordination.own_name), incarnation };
        let voters = coordination.voter_names.keys().copied().collect();
        let effects = coordination.voter.start(voter, voters, log);
        self.apply_raft_effects(effects, out);
    }

    /// Stops the voter, since another process owns the store, or this build can't read the log.
    pub(super) fn stop_voter(&mut self) {
        if let Some(coordination) = &mut self.coordination {
            coordination.voter.stop();
        }
    }

    pub(super) fn step_raft(&mut self, event: Event, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        let effects = coordination.voter.step(event);
        self.apply_raft_effects(effects, out);
    }

    /// Notifies the voter that its writes up to `number` are durable. Those of an earlier start of the voter
    /// are ignored.
    pub(super) fn raft_written(&mut self, start: u32, number: u64, out: &mut Vec<Effect>) {
        if self.coordination.as_ref().is_some_and(|coordination| coordination.voter.starts() == start) {
            self.step_raft(Event::WritesDurable(number), out);
        }
    }

    pub(super) fn raft_timer(&mut self, timer: raft::Timer, round: u32, out: &mut Vec<Effect>) {
        if self
            .coordination
            .as_ref()
            .is_some_and(|coordination| coordination.voter.is_current_timer(timer, round))
        {
            self.step_raft(Event::TimerExpired(timer), out);
        }
    }

    fn apply_raft_effects(&mut self, effects: Vec<raft::Effect>, out: &mut Vec<Effect>) {
        effects.into_iter().for_each(|effect| self.apply_raft_effect(effect, out));
    }

    fn apply_raft_effect(&mut self, effect: raft::Effect, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        match effect {
            raft::Effect::Send(message) => {
                let Some(name) = coordination.voter_names.get(&message.to.id).cloned() else { return };
                self.send_control(&name, &ControlMessage::Raft(message), out);
            }
            raft::Effect::Write { number, write } => {
                let (voter_start, records) = (coordination.voter.starts(), coordination.voter.records(write));
                out.push(Effect::PersistVoterWrites { voter_start, number, records });
            }
            raft::Effect::SetTimer(timer) => {
                let next = coordination.voter.set_timer(timer);
                out.push(Effect::StartTimer { after: next.after, timer: Timer::Voter(timer, next.round) });
            }
            raft::Effect::Apply { index, command, proposal_id } => {
                self.apply_committed(index, &command, proposal_id, out);
            }
            raft::Effect::RestoreSnapshot { snapshot } => match State::decode(&snapshot.state) {
                Ok(state) => {
                    coordination.state = state;
                    coordination.applied_index = snapshot.index;
                }
                Err(_) => self.stop_outdated_voter("a snapshot", out),
            },
            raft::Effect::ProposalRejected { proposal_id, leader } => {
                let leader = leader.and_then(|id| coordination.voter_names.get(&id)).map(ToString::to_string);
                self.answer_proposal(Some(proposal_id), ProposalResult::NotLeader(leader), out);
            }
            raft::Effect::ProposalOutcomeUnknown { proposal_id } => {
                self.answer_proposal(Some(proposal_id), ProposalResult::Unknown, out);
            }
            raft::Effect::LeadershipChanged { is_leader, term } => {
                self.leadership_changed(is_leader, term, out);
            }
        }
    }

    fn leadership_changed(&mut self, is_leader: bool, term: u64, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        // A new leader counts the time of each lease from when it first sees the lease.
        coordination.leases_seen.clear();
        if is_leader {
            coordination.leader = Some(coordination.own_name.clone());
        }
        let change = if is_leader { "is now the" } else { "is no longer the" };
        log(format!("this relay {change} leader of the replicated log, term {term}"), out);
    }

    /// Stops the voter of this older build, which would apply the log differently from voters of later
    /// builds.
    fn stop_outdated_voter(&mut self, what: &str, out: &mut Vec<Effect>) {
        log(format!("{what} in the replicated log is from a later build: this relay stops voting"), out);
        self.stop_voter();
    }

    fn apply_committed(
        &mut self,
        index: Index,
        command: &[u8],
        proposal: Option<u64>,
        out: &mut Vec<Effect>,
    ) {
        let now = self.now;
        let Some(coordination) = &mut self.coordination else { return };
        coordination.applied_index = index;
        let outcome = match Command::decode(command) {
            Ok(command) => {
                let outcome = coordination.state.apply(&command);
                log_forced_drain(&command, out);
                outcome
            }
            Err(CommandError::UnsupportedVersion) => return self.stop_outdated_voter("a command", out),
            Err(error) => Outcome::Rejected(error),
        };
        coordination.track_leases(now);
        let is_long = coordination.voter.has_long_log();
        self.answer_proposal(proposal, ProposalResult::Applied(outcome), out);
        self.exclude_by_own_state(out);
        if is_long {
            let Some(state) = self.coordination.as_ref().map(|coordination| coordination.state.encode())
            else {
                return;
            };
            self.step_raft(Event::Compact { index, state }, out);
        }
    }

    /// Handles a proposal of this relay or another one: appends its command to the log if this relay is the
    /// leader, else answers with the leader's name.
    pub(super) fn propose(
        &mut self,
        relay: &Rc<str>,
        request_id: u64,
        command: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        let Some(coordination) = &mut self.coordination else { return };
        let proposer = Proposer { relay: relay.clone(), request_id };
        if !coordination.voter.accepts_proposals() {
            let leader = coordination.other_leader().map(|leader| leader.to_string());
            return self.answer_proposer(&proposer, ProposalResult::NotLeader(leader), out);
        }
        let proposal_id = coordination.voter.add_proposal(proposer);
        self.step_raft(Event::Propose { proposal_id, command }, out);
    }

    fn answer_proposal(&mut self, id: Option<u64>, result: ProposalResult, out: &mut Vec<Effect>) {
        let proposer = id.and_then(|id| self.coordination.as_mut()?.voter.take_proposal(id));
        if let Some(proposer) = proposer {
            self.answer_proposer(&proposer, result, out);
        }
    }

    fn answer_proposer(&mut self, proposer: &Proposer, result: ProposalResult, out: &mut Vec<Effect>) {
        let request_id = proposer.request_id;
        if self.coordination.as_ref().is_some_and(|coordination| coordination.own_name == proposer.relay) {
            return self.request_answered(request_id, result, out);
        }
        self.send_control(&proposer.relay, &ControlMessage::Proposed { request_id, result }, out);
    }
}

fn log_forced_drain(command: &Command, out: &mut Vec<Effect>) {
    if let Command::Request { force: true, target, requested_by, reason, .. } = command {
        log(format!("drain of {target} forced past the budgets by {requested_by}: {reason}"), out);
    }
}
