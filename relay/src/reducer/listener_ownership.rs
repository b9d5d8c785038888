//! Hot restart in the reducer: this process takes over from its predecessor, or hands over to its successor.
//! The state machine is in the package `hot_restart`; its actions are carried out here.
use super::lifecycle::LifecycleEvent;
use super::{log, Effect, Reducer, Timer};
use hallrelay_balancer::types::{
    self as balancer, Input, Micros, ServerSnapshot, SessionId, SlotSnapshot, Snapshot,
};
use hallrelay_hot_restart::ownership::READY_TIMEOUT;
use hallrelay_hot_restart::{
    ExclusionList, LoadReport, Message, OwnershipAction, OwnershipEvent, ProcessId, RelayState, ServerState,
    SlowStartSlot,
};
use hallrelay_membership::{Event as MembershipEvent, Membership};

/// Connections and sessions that remain in one process of the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Remaining {
    /// Connections of clients, including those with a session.
    pub connections: u32,
    pub sessions: u32,
}

/// Interval of reports to the successor on what remains in this process. The reports are frequent, so that
/// the successor can use the freed capacity before clients return.
const PROGRESS_INTERVAL: Micros = 100_000;

impl Reducer {
    /// Completes the start. Without a predecessor this process owns the listening socket; otherwise it
    /// notifies the predecessor that it is ready to take over.
    pub(super) fn begin_ownership(&mut self, out: &mut Vec<Effect>) {
        match self.ownership.awaited_predecessor() {
            Some(process) => out.push(Effect::SendToProcess { peer: process, message: Message::Ready {} }),
            None => {
                out.push(Effect::SetAccepting { accepting: true });
                out.push(Effect::SetTakeoverListener { open: true });
                self.refresh_metadata(out);
                self.step_membership(MembershipEvent::Activate, out);
            }
        }
    }

    pub(super) fn apply_ownership_event(&mut self, event: OwnershipEvent, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.ownership.step(event, &mut actions);
        for action in actions {
            self.apply_ownership_action(action, out);
        }
    }

    fn apply_ownership_action(&mut self, action: OwnershipAction, out: &mut Vec<Effect>) {
        match action {
            OwnershipAction::Send { process, message } => {
                out.push(Effect::SendToProcess { peer: process, message })
            }
            OwnershipAction::Disconnect { process } => out.push(Effect::DisconnectProcess { peer: process }),
            OwnershipAction::StartReadyTimer { process } => {
                out.push(Effect::StartTimer { after: READY_TIMEOUT, timer: Timer::HandoverOffer(process) });
            }
            OwnershipAction::HandOver { process } => self.hand_over_to(process, out),
            OwnershipAction::Resume => self.resume_ownership(out),
            OwnershipAction::TakeOver(Some(state)) => self.take_over(*state, out),
            OwnershipAction::TakeOver(None) => {
                log(
                    "the predecessor exited before the handover: this process takes over without its state",
                    out,
                );
                self.serve_after_store(LifecycleEvent::TakeOver, out);
            }
            OwnershipAction::Abort { reason } => out.push(Effect::Abort { reason }),
            OwnershipAction::PredecessorRemaining { connections, sessions } => {
                self.predecessor_remaining = Remaining { connections, sessions };
                if connections == 0 {
                    // These sessions have ended at the predecessor, which may have run them.
                    let mut ended: Vec<u64> = self.predecessor_session_ids.drain().collect();
                    ended.sort_unstable();
                    self.record_ids(ended);
                }
            }
            OwnershipAction::PredecessorList(list) => self.receive_from_predecessor(&list, out),
            OwnershipAction::SuccessorList(list) => self.receive_from_successor(&list, out),
            OwnershipAction::Log(text) => log(text, out),
        }
    }

    /// Makes this process the one that owns the store and takes part in membership.
    pub(super) fn acquire_store_and_membership(&mut self, out: &mut Vec<Effect>) {
        out.push(Effect::SetStoreOwnership { owned: true });
        self.step_membership(MembershipEvent::Activate, out);
        self.start_polling_peers(out);
    }

    /// Hands over to the successor in one step: from now on the successor accepts connections, and has the
    /// state of this process.
    fn hand_over_to(&mut self, process: ProcessId, out: &mut Vec<Effect>) {
        let state = Box::new(self.relay_state());
        self.reported_remaining =
            Remaining { connections: state.connections, sessions: state.session_ids.len() as u32 };
        log("the successor takes over from this process", out);
        out.push(Effect::SetTakeoverListener { open: false });
        self.apply_lifecycle_event(LifecycleEvent::HandOver, out);
        // Only one process may take part in membership for the relay: this one stops before the successor
        // starts.
        self.step_membership(MembershipEvent::Deactivate, out);
        self.stop_voter();
        out.push(Effect::SetStoreOwnership { owned: false });
        out.push(Effect::SendToProcess { peer: process, message: Message::TakeOver(state) });
        let open: Vec<SessionId> = self.sessions.keys().copied().collect();
        open.into_iter().for_each(|session_id| self.hand_over_session(session_id, out));
        self.report_remaining(out);
    }

    fn resume_ownership(&mut self, out: &mut Vec<Effect>) {
        log("the successor exited: this process accepts connections again", out);
        self.serve_after_store(LifecycleEvent::SuccessorExited, out);
    }

    /// The state that the successor gets.
    fn relay_state(&self) -> RelayState {
        let Snapshot { session_load, servers } = self.balancer.snapshot(self.now);
        RelayState {
            endpoint_list: Some(self.list_for_successor()),
            servers: servers.into_iter().filter_map(|known| self.server_state(known)).collect(),
            session_load,
            draining_age: self.draining_since().map(|since| self.now - since),
            session_ids: self.sessions.values().map(|session| session.client_session_id).collect(),
            connections: (self.sessions.len() + self.idle_connections.len()) as u32,
            membership: self.membership.as_ref().map(Membership::snapshot),
            exclusions: self.coordination.as_ref().map(|coordination| ExclusionList {
                log_index: coordination.excluded.index,
                backends: coordination.excluded.ids.iter().cloned().collect(),
            }),
        }
    }

    fn server_state(&self, known: ServerSnapshot) -> Option<ServerState> {
        let report = known.report.map(|balancer::PastReport { age, report }| LoadReport {
            age,
            load: report.load.unwrap_or(0.0),
            queue_delay: report.queue_delay.unwrap_or(0.0),
            sessions: report.sessions.unwrap_or(0.0),
        });
        let SlotSnapshot { age, interval_fraction } = known.slot;
        Some(ServerState {
            name: self.servers.get(&known.server)?.instance.id.clone(),
            report,
            consecutive_failures: known.misses,
            recently_placed: known.recent_sessions,
            slow_start_slot: SlowStartSlot { age, interval_fraction },
        })
    }

    /// Takes over: this process owns the listening socket from now on, and continues with the predecessor's
    /// state.
    fn take_over(&mut self, state: RelayState, out: &mut Vec<Effect>) {
        log("this process takes over from its predecessor", out);
        if let Some(list) = &state.endpoint_list {
            self.adopt_predecessor_list(list, out);
        }
        let servers = state.servers.into_iter().filter_map(|server| self.server_snapshot(server)).collect();
        self.step_balancer(Input::Restore(Snapshot { session_load: state.session_load, servers }), out);
        if let (Some(membership), Some(snapshot)) = (&mut self.membership, &state.membership) {
            membership.restore(self.now, snapshot);
        }
        if let Some(exclusions) = state.exclusions {
            self.exclude_backends(exclusions.log_index, exclusions.backends.into_iter().collect(), out);
        }
        self.predecessor_session_ids = state.session_ids.into_iter().collect();
        match state.draining_age {
            None => _ = self.apply_lifecycle_event(LifecycleEvent::TakeOver, out),
            Some(age) => {
                self.apply_lifecycle_event(LifecycleEvent::TakeOverDraining, out);
                self.lifecycle_since = self.now.saturating_sub(age);
            }
        }
        self.acquire_store_and_membership(out);
        out.push(Effect::SetTakeoverListener { open: true });
    }

    fn server_snapshot(&self, state: ServerState) -> Option<ServerSnapshot> {
        let report = state.report.map(|LoadReport { age, load, queue_delay, sessions }| {
            let report = balancer::LoadReport {
                load: Some(load),
                queue_delay: Some(queue_delay),
                sessions: Some(sessions),
            };
            balancer::PastReport { age, report }
        });
        let SlowStartSlot { age, interval_fraction } = state.slow_start_slot;
        Some(ServerSnapshot {
            server: *self.ids.get(&state.name)?,
            report,
            misses: state.consecutive_failures,
            recent_sessions: state.recently_placed,
            slot: SlotSnapshot { age, interval_fraction },
        })
    }

    /// Reports to the successor what remains in this process, if that has changed.
    pub(super) fn report_remaining(&mut self, out: &mut Vec<Effect>) {
        if self.ownership.is_owner() {
            return;
        }
        let sessions = self.sessions.len() as u32;
        let remaining = Remaining { connections: sessions + self.idle_connections.len() as u32, sessions };
        if remaining != self.reported_remaining {
            self.reported_remaining = remaining;
            let Remaining { connections, sessions } = remaining;
            self.apply_ownership_event(OwnershipEvent::RemainingChanged { connections, sessions }, out);
        }
        out.push(Effect::StartTimer { after: PROGRESS_INTERVAL, timer: Timer::HandoverProgress });
    }
}
