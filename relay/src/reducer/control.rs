//! Sends and receives control messages between relays. What the replicated log has committed is accepted from
//! voters only.
use super::coordination::PeerReport;
use super::{Effect, Reducer};
use crate::control_message::{ControlMessage, ProposalResult, RelayStatus};
use hallrelay_membership::Event as MembershipEvent;
use hallrelay_raft::Event;
use std::rc::Rc;

impl Reducer {
    pub(super) fn send_control(&mut self, to: &Rc<str>, message: &ControlMessage, out: &mut Vec<Effect>) {
        let event = MembershipEvent::SendUserMessage { to: Some(to.clone()), bytes: message.encode() };
        self.step_membership(event, out);
    }

    pub(super) fn broadcast_control(&mut self, message: &ControlMessage, out: &mut Vec<Effect>) {
        let event = MembershipEvent::SendUserMessage { to: None, bytes: message.encode() };
        self.step_membership(event, out);
    }

    /// Handles a member's message.
    pub(super) fn receive_control(&mut self, from: &Rc<str>, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        let Some(message) = ControlMessage::decode(bytes) else { return };
        let is_voter = coordination.is_voter_name(from);
        match message {
            ControlMessage::Raft(message) if coordination.voter_names.get(&message.from.id) == Some(from) => {
                self.step_raft(Event::MessageReceived(message), out);
            }
            ControlMessage::Propose { request_id, command } => self.propose(from, request_id, command, out),
            ControlMessage::Proposed { request_id, result } if is_voter => {
                coordination.leader = match &result {
                    ProposalResult::NotLeader(leader) => leader.as_deref().map(Rc::from),
                    ProposalResult::Applied(_) | ProposalResult::Unknown => Some(from.clone()),
                };
                self.request_answered(request_id, result, out);
            }
            ControlMessage::Status(status) => self.receive_status(from.clone(), status),
            ControlMessage::Excluded { index, backends, moves_per_s } if is_voter => {
                coordination.leader = Some(from.clone());
                coordination.moves_per_s = moves_per_s;
                self.exclude_backends(index, backends.into_iter().collect(), out);
            }
            ControlMessage::Raft(_) | ControlMessage::Proposed { .. } | ControlMessage::Excluded { .. } => {}
        }
    }

    /// Handles a relay's report on itself, including this relay's own.
    pub(super) fn receive_status(&mut self, from: Rc<str>, status: RelayStatus) {
        let received_at = self.now;
        let Some(coordination) = &mut self.coordination else { return };
        for reported in status.session_counts {
            coordination.outcome_counts.add(reported.target, reported.counts);
        }
        let RelayStatus { domain, serving, remaining_sessions, .. } = status;
        coordination.reports.insert(from, PeerReport { received_at, domain, serving, remaining_sessions });
    }
}
