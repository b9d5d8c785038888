//! Application of updates to the member table, and refutation of updates about this relay.
use crate::events::Effect;
use crate::members::{Member, MAX_MEMBERS};
use crate::message::DropReason;
use crate::suspicion::MIN_SUSPICION_TIMEOUT;
use crate::update::{merge, Incarnation, MemberState, MergeOutcome, Precedence, Update};
use crate::Membership;
use std::rc::Rc;

impl Membership {
    /// Applies a member's statement about itself that was received from its own address.
    pub(crate) fn apply_update_of_sender(&mut self, update: Update, out: &mut Vec<Effect>) {
        let name = update.name.clone();
        let incarnation = update.incarnation;
        let addr = update.addr;
        let was_dead = self.members.get(&name).is_some_and(|member| member.state() == MemberState::Dead);
        self.apply_update(update, None, out);
        let Some(member) = self.members.get_mut(&name) else { return };
        if member.update.incarnation != incarnation || member.update.addr != addr {
            return;
        }
        member.last_received = Some(self.now);
        member.source = None;
        if was_dead && member.state().is_live() {
            self.push_pull_after_heal(addr, out);
        }
    }

    /// Applies an update about any member. `source` is the member that sent it; it is `None` if the member
    /// sent the update itself or this relay concluded it.
    pub(crate) fn apply_update(
        &mut self,
        mut update: Update,
        source: Option<&Rc<str>>,
        out: &mut Vec<Effect>,
    ) {
        if update.name == self.local.name {
            return self.apply_update_about_self(&update, out);
        }
        let Some(held) = self.members.get_mut(&update.name) else {
            return self.add_member(update, source, out);
        };
        let precedence = update.precedence_over(&held.update);
        // If this relay received from the member a moment ago, a reported death is treated as a suspicion,
        // which the member can refute.
        let received_recently = held.last_received.is_some_and(|at| self.now < at + MIN_SUSPICION_TIMEOUT);
        let is_reported_death = update.state == MemberState::Dead && precedence == Precedence::Same;
        if is_reported_death && received_recently && source.is_some() {
            update.state = MemberState::Suspect;
        }
        let outcome = merge(held.state(), update.state, precedence);
        match outcome {
            MergeOutcome::Ignore => return,
            MergeOutcome::RefreshMetadata => {
                if source.is_none() && update.state == MemberState::Alive {
                    held.update.metadata = update.metadata;
                }
                return;
            }
            _ => {}
        }
        if source.is_some() {
            held.source = source.cloned();
        }
        if outcome == MergeOutcome::ConfirmSuspicion {
            return self.confirm_suspicion(&update);
        }
        if precedence == Precedence::Same {
            // The stored metadata is kept. It came from the member itself or on a shorter path than the
            // reporter's copy.
            update.metadata = held.update.metadata.clone();
        }
        self.replace_update(update, outcome, out);
    }

    /// Replaces the stored update with one of higher precedence.
    fn replace_update(&mut self, update: Update, outcome: MergeOutcome, out: &mut Vec<Effect>) {
        let name = update.name.clone();
        let Some(previous) = self.members.replace(&update, self.now) else { return };
        self.suspicions.remove(&name);
        let was_live = previous.state.is_live();
        let is_live = update.state.is_live();
        if is_live && !was_live {
            self.add_live_member(&name);
        } else if was_live && !is_live {
            self.members.remove_live(&name);
            self.detector.cancel_probes_of(&name);
        }
        self.disseminate(&update);
        if outcome == MergeOutcome::StartSuspicion {
            return self.start_suspicion(update, out);
        }
        let restarted = previous.incarnation.start != update.incarnation.start;
        if !was_live || !is_live || restarted {
            let Update { state, reporter, .. } = update;
            out.push(Effect::MemberChanged { name, state, reporter, restarted });
        }
    }

    /// Adds a member with an unknown name if it is live and the table is not full.
    fn add_member(&mut self, update: Update, source: Option<&Rc<str>>, out: &mut Vec<Effect>) {
        if !update.state.is_live() {
            return;
        }
        if self.members.len() >= MAX_MEMBERS {
            return self.counters.count_dropped(DropReason::TableFull, 1);
        }
        let name = update.name.clone();
        self.members.insert(Member {
            update: update.clone(),
            since: self.now,
            last_received: None,
            source: source.cloned(),
            reached_through: None,
        });
        self.add_live_member(&name);
        self.disseminate(&update);
        let state = MemberState::Alive;
        out.push(Effect::MemberChanged { name, state, reporter: None, restarted: false });
        if update.state == MemberState::Suspect {
            self.start_suspicion(update, out);
        }
    }

    /// Refutes suspicions and deaths of this relay (SWIM section 4.2) by raising its incarnation above the
    /// reported one.
    pub(crate) fn apply_update_about_self(&mut self, update: &Update, out: &mut Vec<Effect>) {
        if update.addr != self.local.addr {
            if update.state.is_live() {
                self.record_name_conflict(update, out);
            }
            return;
        }
        if self.left {
            return;
        }
        let Incarnation { start, counter } = update.incarnation;
        let is_later_start = start > self.incarnation.start;
        let is_same_start = start == self.incarnation.start;
        let is_not_older = is_same_start && counter >= self.incarnation.counter;
        let is_refutable = is_not_older && update.state != MemberState::Alive;
        // A counter above this process's own came from another process that represented this relay.
        let is_ahead = is_same_start && counter > self.incarnation.counter;
        if is_later_start {
            // An earlier process started with a clock that was ahead. The start of this process must still be
            // later.
            self.incarnation = Incarnation { start: start + 1, counter: 0 };
        } else if is_refutable || is_ahead {
            self.incarnation.counter = counter + 1;
        } else {
            return;
        }
        if is_refutable {
            // Another member received no answer from this relay, so this relay may be slow (Lifeguard).
            self.counters.refutations += 1;
            self.detector.local_health.degrade(1);
        }
        self.disseminate_own_update();
    }
}
