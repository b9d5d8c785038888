//! Membership in the reducer: the metadata that the relay reports, when this process takes part, and the
//! handling of membership's effects. The balancer gets nothing from here: it uses the configured number of
//! relays, however many are reachable.
use super::lifecycle::Lifecycle;
use super::{log, Effect, Reducer, Timer};
use hallrelay_config::node::Node;
use hallrelay_membership::message::MAX_LISTENERS;
use hallrelay_membership::status::Status;
use hallrelay_membership::{
    Counters, Effect as MembershipEffect, Event as MembershipEvent, LocalMember, MemberMetadata, MemberState,
    Membership, ReportedLifecycle,
};
use std::rc::Rc;

/// Metrics of membership.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipMetrics {
    /// The counters of membership itself.
    pub counters: Counters,
    /// Members in each state, in the order of [`MemberState::ALL`]; this relay itself counts as alive.
    pub members_by_state: [usize; 4],
    /// Number of relays that this one has received from recently, including itself.
    pub reachable_relays: usize,
    /// Endpoint lists accepted from other relays while discovery was unavailable.
    pub peer_lists_accepted: u64,
}

/// The membership of a process that starts; `None` if no fleet is configured. Among the starts of this relay,
/// the latest one has the highest `start_number`.
pub(super) fn new_membership(node: &Node, start_number: u64) -> Option<Membership> {
    let fleet = node.fleet.as_ref()?;
    Some(Membership::new(LocalMember {
        fleet: fleet.name.as_str().into(),
        name: node.name.as_str().into(),
        addr: fleet.advertise,
        start: start_number,
        metadata: MemberMetadata::default(),
        peers: fleet.peers.clone(),
        configured_relays: node.site.facts.relay_count as usize,
        random_seed: node.seed,
    }))
}

impl Reducer {
    /// Steps membership and applies its effects; those for sockets are passed on to the tasks.
    pub(super) fn step_membership(&mut self, event: MembershipEvent, out: &mut Vec<Effect>) {
        let Some(membership) = &mut self.membership else { return };
        let mut effects = Vec::new();
        membership.step(self.now, event, &mut effects);
        for effect in effects {
            self.apply_membership_effect(effect, out);
        }
    }

    fn apply_membership_effect(&mut self, effect: MembershipEffect, out: &mut Vec<Effect>) {
        match effect {
            MembershipEffect::SetTimer { after } => {
                out.push(Effect::StartTimer { after, timer: Timer::Membership })
            }
            MembershipEffect::Log { message } => log(message, out),
            MembershipEffect::MemberChanged { name, state, reporter, restarted } => {
                let details = match (state, &reporter) {
                    (MemberState::Dead, Some(reporter)) => format!(", reported by {reporter}"),
                    _ if restarted => ", restarted".to_string(),
                    _ => String::new(),
                };
                log(format!("relay {name} is {}{details}", state.as_str()), out);
            }
            MembershipEffect::EndpointListRequested { stream } => self.send_list_to_peer(stream, out),
            MembershipEffect::EndpointListReceived { from, bytes } => {
                self.receive_peer_list(&from, &bytes, out)
            }
            MembershipEffect::UserMessageReceived { from, bytes } => self.receive_control(&from, &bytes, out),
            for_sockets => out.push(Effect::Membership(for_sockets)),
        }
    }

    /// Handles membership's timer. This relay's metadata is refreshed first.
    pub(super) fn membership_timer_expired(&mut self, out: &mut Vec<Effect>) {
        self.refresh_metadata(out);
        self.step_membership(MembershipEvent::TimerExpired, out);
    }

    /// Updates the metadata that membership reports for this relay.
    pub(super) fn refresh_metadata(&mut self, out: &mut Vec<Effect>) {
        if self.membership.is_some() {
            let metadata = self.own_metadata();
            self.step_membership(MembershipEvent::MetadataChanged { metadata }, out);
        }
    }

    fn own_metadata(&self) -> MemberMetadata {
        MemberMetadata {
            version: Rc::from(env!("CARGO_PKG_VERSION")),
            settings_digest: self.node.digest,
            lifecycle: self.reported_lifecycle(),
            sessions: self.sessions.len() as u32,
            listener_sessions: self.sessions_by_listener(),
        }
    }

    fn sessions_by_listener(&self) -> Vec<u32> {
        let listeners = &self.node.site.listeners;
        let mut counts = vec![0; listeners.len().min(MAX_LISTENERS)];
        for session in self.sessions.values() {
            // A session whose listener was removed in the meantime counts only in the sum of all sessions.
            let index = listeners.iter().position(|listener| **listener == *session.listener);
            if let Some(count) = index.and_then(|index| counts.get_mut(index)) {
                *count += 1;
            }
        }
        counts
    }

    fn reported_lifecycle(&self) -> ReportedLifecycle {
        match self.lifecycle {
            Lifecycle::AwaitingTakeover => ReportedLifecycle::Starting,
            Lifecycle::Serving if !self.has_servers() => ReportedLifecycle::Starting,
            Lifecycle::Serving | Lifecycle::HandedOver => ReportedLifecycle::Serving,
            Lifecycle::Draining | Lifecycle::HandedOverDraining => ReportedLifecycle::Draining,
            Lifecycle::Stopping | Lifecycle::HandedOverStopping => ReportedLifecycle::Stopping,
        }
    }

    /// Announces that the relay leaves the fleet on purpose. Only the process that owns the listening socket
    /// does so.
    pub(super) fn leave_fleet(&mut self, out: &mut Vec<Effect>) {
        if self.ownership.is_owner() {
            self.step_membership(MembershipEvent::Leave, out);
        }
    }

    /// The answer to `GET /v1/fleet`; `None` if no fleet is configured.
    pub(super) fn fleet_status(&self) -> Option<Box<Status>> {
        let mut status = self.membership.as_ref()?.status(self.now);
        status.recovery_stage = self.recovery_phase().label().to_string();
        Some(Box::new(status))
    }

    /// The metrics of membership; `None` if no fleet is configured.
    pub(super) fn membership_metrics(&self) -> Option<Box<MembershipMetrics>> {
        let membership = self.membership.as_ref()?;
        let count = |state| membership.members().filter(|member| member.state() == state).count();
        let mut members_by_state = MemberState::ALL.map(count);
        // `members` does not include this relay. The first state is alive.
        members_by_state[0] += 1;
        Some(Box::new(MembershipMetrics {
            counters: membership.counters.clone(),
            members_by_state,
            reachable_relays: membership.reachable_count(),
            peer_lists_accepted: self.peer_lists_received.into(),
        }))
    }
}
