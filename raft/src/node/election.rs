//! Leader election: the election timeout, the pre-vote, the vote, and check quorum.
//!
//! Invariant "election safety" (figure 3): at most one leader is elected in a term. This holds because a
//! voter votes once per term, its vote is durable before the response is sent, and two quorums overlap.
use super::role::Trigger;
use super::{Effect, Node, Role, Timer};
use crate::{Index, MessageBody, Payload, Term, Voter};
use std::collections::BTreeSet;

impl Node {
    /// A leader checks that a quorum responds. Any other server that may campaign starts to (section 5.2).
    pub(super) fn handle_election_timeout(&mut self, effects: &mut Vec<Effect>) {
        self.leader_timed_out = true;
        effects.push(Effect::SetTimer(Timer::ElectionTimeout));
        if self.role == Role::Leader {
            return self.check_quorum(effects);
        }
        self.leader = None;
        if self.role != Role::Uninitialized && !self.is_voter() {
            // This server was removed from the configuration, or has not been added yet.
            return self.announce(effects);
        }
        self.transition(Trigger::ElectionTimeout, effects);
    }

    /// A leader steps down if no quorum has responded since the last election timeout (thesis, section 6.2).
    fn check_quorum(&mut self, effects: &mut Vec<Effect>) {
        let is_active = |voter: &Voter| {
            *voter == self.own || self.progress.get(voter).is_some_and(|progress| progress.recently_active)
        };
        let has_quorum = self.has_quorum(is_active);
        for progress in self.progress.values_mut() {
            progress.recently_active = false;
        }
        if !has_quorum {
            self.leader = None;
            self.transition(Trigger::QuorumLost, effects);
        }
    }

    /// Requests pre-votes from all voters without entering a new term.
    pub(super) fn start_pre_vote(&mut self, effects: &mut Vec<Effect>) {
        self.votes_granted = BTreeSet::from([self.own]);
        let request = MessageBody::RequestPreVote {
            last_log_index: self.log.last_index(),
            last_log_term: self.log.last_term(),
        };
        for voter in self.other_voters() {
            effects.push(Effect::Send(self.message(voter, self.term + 1, request.clone())));
        }
        self.check_votes(effects);
    }

    /// Figure 2, "candidates": increments the term, votes for itself and requests votes.
    pub(super) fn start_election(&mut self, effects: &mut Vec<Effect>) {
        self.term += 1;
        self.voted_for = Some(self.own);
        self.leader = None;
        // The candidate's own vote counts once it is durable, see `count_own_vote`.
        self.votes_granted = BTreeSet::new();
        self.persist_vote(effects);
        let request = MessageBody::RequestVote {
            last_log_index: self.log.last_index(),
            last_log_term: self.log.last_term(),
        };
        for voter in self.other_voters() {
            self.send_when_durable(voter, request.clone(), effects);
        }
        effects.push(Effect::SetTimer(Timer::ElectionTimeout));
    }

    /// Grants the pre-vote if no leader is active and the candidate's log is up-to-date. A denial carries
    /// this voter's term, so that a candidate with an older term enters this term.
    pub(super) fn handle_request_pre_vote(
        &mut self,
        from: Voter,
        term: Term,
        last_log_index: Index,
        last_log_term: Term,
        effects: &mut Vec<Effect>,
    ) {
        let lacks_leader = self.leader_timed_out && self.role != Role::Leader;
        let is_up_to_date = self.log.is_candidate_up_to_date(last_log_index, last_log_term);
        let granted = term > self.term && lacks_leader && is_up_to_date;
        let response_term = if granted { term } else { self.term };
        let response = MessageBody::PreVoteResponse { granted };
        effects.push(Effect::Send(self.message(from, response_term, response)));
    }

    pub(super) fn handle_pre_vote_response(
        &mut self,
        from: Voter,
        term: Term,
        granted: bool,
        effects: &mut Vec<Effect>,
    ) {
        if self.role == Role::PreCandidate && term == self.term + 1 && granted {
            self.votes_granted.insert(from);
            self.check_votes(effects);
        }
    }

    /// RequestVote of figure 2: one vote per term, for a candidate whose log is up-to-date (section 5.4.1).
    pub(super) fn handle_request_vote(
        &mut self,
        from: Voter,
        term: Term,
        last_log_index: Index,
        last_log_term: Term,
        effects: &mut Vec<Effect>,
    ) {
        let may_vote = self.voted_for.is_none_or(|voted_for| voted_for == from);
        let is_up_to_date = self.log.is_candidate_up_to_date(last_log_index, last_log_term);
        let granted = term == self.term && may_vote && is_up_to_date;
        if granted && self.voted_for.is_none() {
            self.voted_for = Some(from);
            self.persist_vote(effects);
        }
        self.send_when_durable(from, MessageBody::VoteResponse { granted }, effects);
    }

    pub(super) fn handle_vote_response(
        &mut self,
        from: Voter,
        term: Term,
        granted: bool,
        effects: &mut Vec<Effect>,
    ) {
        if self.role == Role::Candidate && term == self.term && granted {
            self.votes_granted.insert(from);
            self.count_own_vote(effects);
        }
    }

    /// Counts a candidate's own vote once it is durable, as for any other vote. The election is not decided
    /// before that.
    pub(super) fn count_own_vote(&mut self, effects: &mut Vec<Effect>) {
        if self.role == Role::Candidate && self.pending_writes.is_empty() {
            self.votes_granted.insert(self.own);
            self.check_votes(effects);
        }
    }

    fn check_votes(&mut self, effects: &mut Vec<Effect>) {
        if self.has_quorum(|voter| self.votes_granted.contains(voter)) {
            self.transition(Trigger::VotesGranted, effects);
        }
    }

    /// A new leader appends an entry of its term. Committing it commits the entries before it (section 8).
    pub(super) fn become_leader(&mut self, effects: &mut Vec<Effect>) {
        self.leader = Some(self.own.id);
        effects.push(Effect::LeadershipChanged { is_leader: true, term: self.term });
        effects.push(Effect::SetTimer(Timer::HeartbeatTimeout));
        self.append_entry(Payload::Noop, effects);
    }

    /// Clears the leader's volatile state. A later leader may still commit the pending proposals.
    pub(super) fn abandon_leadership(&mut self, effects: &mut Vec<Effect>) {
        self.progress.clear();
        for proposal_id in std::mem::take(&mut self.proposals).into_values() {
            effects.push(Effect::ProposalOutcomeUnknown { proposal_id });
        }
        effects.push(Effect::LeadershipChanged { is_leader: false, term: self.term });
    }
}
