//! Full-state exchange: two members exchange their complete member tables on a stream (memberlist's
//! push/pull). It delivers updates that a member missed in gossip, and the first table of a new relay.
use crate::events::Effect;
use crate::message::{encode, encode_update, MessageBody, MAX_FRAME_BYTES};
use crate::update::{MemberState, Update};
use crate::{Membership, Micros, MILLISECOND};
use std::net::SocketAddr;

/// Mean interval between exchanges per live member. The bytes that exchanges cost per second therefore do not
/// grow with the fleet.
const INTERVAL_PER_MEMBER: Micros = 1_000 * MILLISECOND;
/// Shortest mean interval between exchanges.
const MIN_INTERVAL: Micros = 10_000 * MILLISECOND;
/// Shortest interval between exchanges caused by unknown senders, regardless of their number.
const UNKNOWN_SENDER_INTERVAL: Micros = 1_000 * MILLISECOND;
/// Shortest interval between exchanges with members that were dead and returned.
const HEAL_INTERVAL: Micros = 2_000 * MILLISECOND;

/// Times of the next regular exchange and of the last ones with a special cause.
pub(crate) struct PushPullSchedule {
    next: Micros,
    last_heal: Option<Micros>,
    last_unknown_sender: Option<Micros>,
}

impl PushPullSchedule {
    pub(crate) fn new() -> PushPullSchedule {
        PushPullSchedule { next: Micros::MAX, last_heal: None, last_unknown_sender: None }
    }

    pub(crate) fn next_deadline(&self) -> Micros {
        self.next
    }
}

impl Membership {
    pub(crate) fn start_push_pulls(&mut self) {
        self.push_pull.next = self.now + MIN_INTERVAL / 2 + self.random_time(MIN_INTERVAL);
    }

    /// Starts the regular exchange with a random live member.
    pub(crate) fn run_push_pull(&mut self, out: &mut Vec<Effect>) {
        let interval = MIN_INTERVAL.max(INTERVAL_PER_MEMBER * self.members.live().len() as Micros);
        self.push_pull.next = self.now + interval / 2 + self.random_time(interval);
        if let Some(addr) = self.random_live_addr() {
            self.start_push_pull(addr, out);
        }
    }

    pub(crate) fn start_push_pull(&mut self, to: SocketAddr, out: &mut Vec<Effect>) {
        let bytes = self.encode_table(MessageBody::PushPullRequest);
        self.counters.bytes_sent += bytes.len() as u64;
        out.push(Effect::OpenStream { to, bytes });
    }

    /// Handles a datagram of an unknown sender. This relay may have missed that the sender joined, so it
    /// starts an exchange with a known member. Invariant: a relay never becomes a member through its own
    /// datagram.
    pub(crate) fn schedule_push_pull_for_unknown_sender(&mut self) {
        let last = self.push_pull.last_unknown_sender;
        let is_due = last.is_none_or(|at| self.now >= at + UNKNOWN_SENDER_INTERVAL);
        if is_due && !self.members.live().is_empty() {
            self.push_pull.last_unknown_sender = Some(self.now);
            self.push_pull.next = self.push_pull.next.min(self.now);
        }
    }

    /// Starts an exchange with a dead member that returned: its table may be that of the other side of a
    /// partition.
    pub(crate) fn push_pull_after_heal(&mut self, addr: SocketAddr, out: &mut Vec<Effect>) {
        let last = self.push_pull.last_heal;
        if last.is_none_or(|at| self.now >= at + HEAL_INTERVAL) {
            self.push_pull.last_heal = Some(self.now);
            self.start_push_pull(addr, out);
        }
    }

    /// Encodes the complete member table as one frame.
    pub(crate) fn encode_table(&self, body: MessageBody) -> Vec<u8> {
        let updates: Vec<Vec<u8>> = self.members.iter().map(|member| encode_update(&member.update)).collect();
        let updates = updates.iter().map(Vec::as_slice);
        encode(&self.local.fleet, &self.own_update(), body, updates, MAX_FRAME_BYTES).bytes
    }

    /// Applies another member's table. The table may come from the other side of a partition. A member that
    /// is live here and dead there therefore becomes suspect, so that it can refute its death.
    pub(crate) fn merge_table(&mut self, sender: Update, updates: Vec<Update>, out: &mut Vec<Effect>) {
        self.counters.packets_received += 1;
        if sender.name == self.local.name {
            return self.apply_update_about_self(&sender, out);
        }
        let source = sender.name.clone();
        self.apply_update_of_sender(sender, out);
        for mut update in updates {
            if update.state == MemberState::Dead && self.members.is_live(&update.name) {
                update.state = MemberState::Suspect;
                update.reporter = Some(source.clone());
            }
            self.apply_update(update, Some(&source), out);
        }
    }
}
