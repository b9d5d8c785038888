//! Hosts this relay's Raft voter: starts it with what its disk holds, carries out its effects, and applies
//! what is committed. A proposal is answered once its command is applied.
use super::coordination::{Coordination, ExcludedBackends};
use super::servers::server_id;
use super::voter::Proposer;
use super::{log, Effect, Reducer, Timer};
use crate::control_message::{ControlMessage, ProposalResult};
use hallrelay_disruption::{Command, CommandError, Outcome, State};
use hallrelay_raft::{self as raft, Event, Index, Voter};
use hallrelay_recovery::{Record, StoredState};
use std::rc::Rc;

impl Reducer {
    /// The coordination of this relay, where voters are configured.
    pub(super) fn configured_coordination(&self) -> Option<Box<Coordination>> {
        let config = self.node.fleet.as_ref()?.coordination.as_ref()?;
        Some(Box::new(Coordination::new(&self.node.name, config, self.node.seed, self.now)))
    }

    /// Starts the voter with what the store holds: before this relay's start, or as it takes the store over.
    pub(super) fn start_voter(&mut self, stored: Option<&StoredState>, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(coordination) = &mut self.coordination else { return };
        let own = stored
            .filter(|stored| stored.relay_name.as_deref().is_none_or(|name| *name == *coordination.own_name));
        if let Some(stored) = own.filter(|stored| stored.exclusions.log_index >= coordination.excluded.index)
        {
            coordination.excluded = ExcludedBackends {
                index: stored.exclusions.log_index,
                ids: stored.exclusions.backends.clone(),
            };
        }
        // A voter whose disk can't be read does not know what it voted for.
        if stored.is_none() || !coordination.is_voter() || coordination.voter.is_running() {
            return;
        }
        let known = own.and_then(|own| Some((own.incarnation?, own.raft.clone())));
        let (incarnation, log) = known.unwrap_or_else(|| {
            log("this relay's disk holds no promise: it votes as a new voter, once it is let in", out);
            (self.node.seed ^ now.rotate_left(20) | 1, raft::PersistentState::default())
        });
        // Written before the first vote: an incarnation that is not on the disk is another after a restart.
        out.push(Effect::Persist {
            record: Record::vote(incarnation, log.term, log.voted_for),
            before: None,
        });
        // A process that has its place back applies the log from the beginning.
        coordination.state = State::default();
        coordination.applied_index = 0;
        let voter = Voter { id: server_id(&coordination.own_name), incarnation };
        let voters = coordination.voter_names.keys().copied().collect();
        let effects = coordination.voter.start(voter, voters, log);
        self.carry_raft(effects, out);
    }

    /// Another process has the place, and the disk.
    pub(super) fn stop_voter(&mut self) {
        if let Some(coordination) = &mut self.coordination {
            coordination.voter.stop();
        }
    }

    pub(super) fn step_raft(&mut self, event: Event, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        let effects = coordination.voter.step(event);
        self.carry_raft(effects, out);
    }

    /// What a start of the voter was to write is on the disk, up to a number.
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

    fn carry_raft(&mut self, effects: Vec<raft::Effect>, out: &mut Vec<Effect>) {
        effects.into_iter().for_each(|effect| self.carry_raft_effect(effect, out));
    }

    fn carry_raft_effect(&mut self, effect: raft::Effect, out: &mut Vec<Effect>) {
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
                let set = coordination.voter.set_timer(timer);
                out.push(Effect::StartTimer { after: set.after, timer: Timer::Voter(timer, set.round) });
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
        coordination.leases_seen.clear();
        if is_leader {
            coordination.leader = Some(coordination.own_name.clone());
        }
        let verb = if is_leader { "leads" } else { "leads no more" };
        log(format!("this relay {verb} what is agreed, term {term}"), out);
    }

    /// A voter of an older build would apply otherwise than the others: it votes no more.
    fn stop_outdated_voter(&mut self, what: &str, out: &mut Vec<Effect>) {
        log(format!("{what} of the agreed log is of a later version: this relay is no voter any more"), out);
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
                note_forced(&command, out);
                outcome
            }
            Err(CommandError::UnsupportedVersion) => return self.stop_outdated_voter("a command", out),
            Err(error) => Outcome::Rejected(error),
        };
        coordination.note_leases(now);
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

    /// A command of this relay or another goes into the log, where this one leads.
    pub(super) fn propose(
        &mut self,
        relay: &Rc<str>,
        request_id: u64,
        command: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        let Some(coordination) = &mut self.coordination else { return };
        let proposer = Proposer { relay: relay.clone(), request_id };
        if !coordination.voter.takes_proposals() {
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

fn note_forced(command: &Command, out: &mut Vec<Effect>) {
    if let Command::Request { force: true, target, requested_by, reason, .. } = command {
        log(format!("{target} is let out past the budgets by {requested_by}: {reason}"), out);
    }
}
