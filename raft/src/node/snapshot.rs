//! Log compaction and the installation of a leader's snapshot (section 7).
//!
//! Invariant: a snapshot covers only committed and applied entries, so replacing the log up to it loses no
//! entry.
use super::role::Trigger;
use super::{Effect, Node};
use crate::{Index, MessageBody, Snapshot, Term, Voter, Write};

impl Node {
    /// Replaces the log up to an applied entry with the state of the state machine after that entry.
    pub(super) fn compact(&mut self, index: Index, state: Vec<u8>, effects: &mut Vec<Effect>) {
        if index <= self.last_applied && self.log.compact(index, state) {
            self.persist_snapshot(effects);
        }
    }

    /// InstallSnapshot of figure 13. A snapshot that ends at or before the commit index is acknowledged but
    /// not installed.
    pub(super) fn handle_install_snapshot(
        &mut self,
        from: Voter,
        term: Term,
        snapshot: Snapshot,
        effects: &mut Vec<Effect>,
    ) {
        if term < self.term {
            return self.reject_stale_leader(from, effects);
        }
        self.follow(from, effects);
        if snapshot.index > self.commit_index {
            self.commit_index = snapshot.index;
            self.last_applied = snapshot.index;
            self.log.install_snapshot(snapshot.clone());
            self.persist_snapshot(effects);
            effects.push(Effect::RestoreSnapshot { snapshot });
            self.transition(Trigger::Bootstrapped, effects);
        }
        let index = self.commit_index;
        self.send_when_durable(from, MessageBody::AppendResponse { success: true, index }, effects);
    }

    fn persist_snapshot(&mut self, effects: &mut Vec<Effect>) {
        let snapshot = self.log.snapshot().clone();
        let entries = self.log.entries().to_vec();
        self.persist(Write::Snapshot { snapshot, entries }, effects);
    }
}
