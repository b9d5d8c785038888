//! Log replication: the leader's progress per voter, AppendEntries on both sides, and the commit index.
//!
//! Invariant "log matching" (figure 3): if two logs hold an entry with the same index and term, they are
//! identical up to that entry. Invariant "leader completeness": every later leader has each committed entry.
use super::role::Trigger;
use super::{Effect, Node, Role, Timer};
use crate::{AppendEntries, Entry, Index, MessageBody, Payload, Term, Voter, Write, MAX_COMMAND_BYTES};

/// The leader's knowledge of another voter's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Progress {
    /// `nextIndex` of figure 2.
    pub next_index: Index,
    /// `matchIndex` of figure 2.
    pub match_index: Index,
    /// The voter has responded since the leader's last quorum check.
    pub recently_active: bool,
}

impl Node {
    pub(super) fn handle_heartbeat_timeout(&mut self, effects: &mut Vec<Effect>) {
        if self.role == Role::Leader {
            effects.push(Effect::SetTimer(Timer::HeartbeatTimeout));
            self.replicate_to_all(effects);
        }
    }

    /// A leader appends a command to its log. Any other voter rejects the proposal.
    pub(super) fn propose(&mut self, proposal_id: u64, command: Vec<u8>, effects: &mut Vec<Effect>) {
        if self.role != Role::Leader || command.len() > MAX_COMMAND_BYTES {
            return effects.push(Effect::ProposalRejected { proposal_id, leader: self.leader });
        }
        let index = self.append_entry(Payload::Command(command), effects);
        self.proposals.insert(index, proposal_id);
    }

    /// A leader appends an entry to its log and sends it to all other voters. Returns the entry's index.
    pub(super) fn append_entry(&mut self, payload: Payload, effects: &mut Vec<Effect>) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.term, payload };
        self.log.append(entry.clone());
        self.persist(Write::Log { from: index, entries: vec![entry] }, effects);
        self.replicate_to_all(effects);
        index
    }

    fn replicate_to_all(&mut self, effects: &mut Vec<Effect>) {
        // `nextIndex` starts at the last entry, which a new leader has just appended.
        let next_index = self.log.last_index();
        for voter in self.other_voters() {
            self.progress.entry(voter).or_insert(Progress { next_index, ..Progress::default() });
            self.replicate_to(voter, effects);
        }
    }

    /// Sends the entries that a voter lacks, or the snapshot if these were compacted.
    fn replicate_to(&self, voter: Voter, effects: &mut Vec<Effect>) {
        let Some(progress) = self.progress.get(&voter) else { return };
        let next_index = progress.next_index.max(1);
        let prev_log_index = next_index - 1;
        let body = match self.log.term(prev_log_index) {
            Some(prev_log_term) => MessageBody::AppendEntries(AppendEntries {
                prev_log_index,
                prev_log_term,
                entries: self.log.batch_from(next_index),
                leader_commit: self.commit_index,
            }),
            None => MessageBody::InstallSnapshot { snapshot: self.log.snapshot().clone() },
        };
        self.send(voter, body, effects);
    }

    /// AppendEntries of figure 2, "receiver implementation".
    pub(super) fn handle_append_entries(
        &mut self,
        from: Voter,
        term: Term,
        request: AppendEntries,
        effects: &mut Vec<Effect>,
    ) {
        if term < self.term {
            return self.reject_stale_leader(from, effects);
        }
        self.follow(from, effects);
        let AppendEntries { prev_log_index, prev_log_term, entries, leader_commit } = request;
        if !self.matches_leader(prev_log_index, prev_log_term) {
            let index = self.log.last_index().min(prev_log_index.saturating_sub(1)).max(self.commit_index);
            let response = MessageBody::AppendResponse { success: false, index };
            return self.send_when_durable(from, response, effects);
        }
        let index = self.store_entries(prev_log_index, entries, effects);
        if leader_commit.min(index) > self.commit_index {
            self.commit_index = leader_commit.min(index);
            self.apply_committed(effects);
        }
        self.send_when_durable(from, MessageBody::AppendResponse { success: true, index }, effects);
    }

    /// Figure 2, step 1: rejects a request of an earlier term. The response carries the current term.
    pub(super) fn reject_stale_leader(&self, from: Voter, effects: &mut Vec<Effect>) {
        self.send(from, MessageBody::AppendResponse { success: false, index: 0 }, effects);
    }

    /// Accepts the sender as the leader of the current term.
    pub(super) fn follow(&mut self, leader: Voter, effects: &mut Vec<Effect>) {
        self.leader = Some(leader.id);
        self.leader_timed_out = false;
        self.transition(Trigger::LeaderContact, effects);
    }

    /// Figure 2, step 2: returns whether the log has the entry that precedes the leader's entries. A snapshot
    /// holds only committed entries, which are the same at each voter.
    fn matches_leader(&self, prev_log_index: Index, prev_log_term: Term) -> bool {
        prev_log_index <= self.log.snapshot().index || self.log.term(prev_log_index) == Some(prev_log_term)
    }

    /// Figure 2, steps 3 and 4: removes entries that conflict with the leader's and appends the new ones.
    /// Returns the index up to which the log matches the leader's.
    fn store_entries(
        &mut self,
        prev_log_index: Index,
        entries: Vec<Entry>,
        effects: &mut Vec<Effect>,
    ) -> Index {
        let mut match_index = prev_log_index;
        let mut added = Vec::new();
        for entry in entries {
            if entry.index != match_index + 1 {
                // A leader sends consecutive entries, so the rest is invalid.
                break;
            }
            match_index = entry.index;
            let stored_term = self.log.term(entry.index);
            if entry.index <= self.log.snapshot().index || stored_term == Some(entry.term) {
                continue;
            }
            if stored_term.is_some() {
                self.log.truncate_from(entry.index);
                self.pending_writes.truncate_log(entry.index);
            }
            if entry.index == self.log.last_index() + 1 {
                self.log.append(entry.clone());
                added.push(entry);
            }
        }
        if let Some(first) = added.first() {
            self.persist(Write::Log { from: first.index, entries: added }, effects);
            self.transition(Trigger::Bootstrapped, effects);
        }
        match_index
    }

    /// Figure 2, "leaders": a success advances the voter's progress, a failure lowers its next index.
    pub(super) fn handle_append_response(
        &mut self,
        from: Voter,
        term: Term,
        success: bool,
        index: Index,
        effects: &mut Vec<Effect>,
    ) {
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.recently_active = true;
        if success {
            self.advance_progress(from, index, effects);
        } else {
            self.lower_next_index(from, index, effects);
        }
    }

    fn advance_progress(&mut self, voter: Voter, index: Index, effects: &mut Vec<Effect>) {
        let last_index = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&voter) else { return };
        progress.match_index = progress.match_index.max(index.min(last_index));
        let next_index = progress.match_index + 1;
        let has_advanced = next_index > progress.next_index;
        progress.next_index = next_index;
        let lacks_entries = has_advanced && next_index <= last_index;
        self.advance_commit_index(effects);
        if lacks_entries && self.role == Role::Leader {
            self.replicate_to(voter, effects);
        }
    }

    fn lower_next_index(&mut self, voter: Voter, index: Index, effects: &mut Vec<Effect>) {
        let Some(progress) = self.progress.get_mut(&voter) else { return };
        let before_current = progress.next_index.saturating_sub(1);
        let next_index = (index + 1).min(before_current).max(progress.match_index + 1);
        if next_index != progress.next_index {
            progress.next_index = next_index;
            self.replicate_to(voter, effects);
        }
    }

    /// Figure 2, "leaders": an entry of the leader's own term is committed, with all entries before it, once
    /// it is durable on a quorum (section 5.4.2).
    pub(super) fn advance_commit_index(&mut self, effects: &mut Vec<Effect>) {
        let quorum_index = self.quorum_index();
        if quorum_index <= self.commit_index || self.log.term(quorum_index) != Some(self.term) {
            return;
        }
        self.commit_index = quorum_index;
        self.apply_committed(effects);
        self.replicate_to_all(effects);
        if self.is_voter() {
            self.reconcile_configuration(effects);
        } else {
            // A leader that has committed its own removal steps down (section 6).
            self.leader = None;
            self.transition(Trigger::QuorumLost, effects);
        }
    }

    /// The highest index, at least the commit index, that is durable on a quorum.
    fn quorum_index(&self) -> Index {
        let durable_index = |voter: &Voter| {
            if *voter == self.own {
                return self.pending_writes.durable_index();
            }
            self.progress.get(voter).map_or(0, |progress| progress.match_index)
        };
        let mut index = self.log.last_index();
        while index > self.commit_index && !self.has_quorum(|voter| durable_index(voter) >= index) {
            index -= 1;
        }
        index
    }

    /// Figure 2, "all servers": applies the committed entries in log order.
    fn apply_committed(&mut self, effects: &mut Vec<Effect>) {
        while self.last_applied < self.commit_index {
            self.last_applied += 1;
            let index = self.last_applied;
            let proposal_id = self.proposals.remove(&index);
            let payload = self.log.entry(index).map(|entry| entry.payload.clone());
            if let Some(Payload::Command(command)) = payload {
                effects.push(Effect::Apply { index, command, proposal_id });
            }
        }
    }
}
