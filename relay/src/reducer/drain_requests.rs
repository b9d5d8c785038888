//! Operators' requests that need a commit: drains, returns, and commands of a rollout. A request is proposed
//! to the leader repeatedly until it is answered or times out. A drain needs a lease, the permission to take
//! its target out of service. Once the lease is granted, the drain's beginning is proposed, and the drain
//! begins only when that is committed. Times in microseconds.
use super::lifecycle::{LifecycleEvent, LifecycleStatus};
use super::{Effect, OperatorReply, Reducer, Timer};
use crate::control_message::{ControlMessage, ProposalResult};
use hallrelay_balancer::types::Micros;
use hallrelay_disruption::{Command, CommandError, Outcome, Target};

/// A request that is not granted within this time is answered as blocked. An operator's call may take at most
/// 2 s in all.
const REQUEST_TIMEOUT: Micros = 1_500_000;
/// Delay between proposals of a request. The answer to one takes a round trip to the leader and a write to
/// the disks of most voters.
const RETRY_INTERVAL: Micros = 200_000;

/// A drain that an operator requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainRequest {
    /// The backend to drain for the entire fleet; `None` to drain this relay.
    pub backend: Option<String>,
    /// The operator, by name.
    pub requested_by: String,
    /// The operator's reason.
    pub reason: String,
    /// Whether to ignore the disruption budgets.
    pub force: bool,
}

/// The event for which a pending request waits.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestStep {
    /// The grant of a lease for this target.
    Lease(Target),
    /// The commit of the drain's beginning.
    Begin(Target),
    /// The commit of a command that needs no lease.
    Commit,
}

/// A request that has not been answered yet.
pub(super) struct PendingRequest {
    /// The id with which the current step is proposed.
    request_id: u64,
    /// The name of the request in answers to operators: the target, or the confirmation of a command.
    description: String,
    step: RequestStep,
    command: Command,
    deadline: Micros,
    /// Why the request is not granted yet, in answers to operators.
    blocked_by: String,
}

impl PendingRequest {
    fn new(
        request_id: u64,
        step: RequestStep,
        command: Command,
        description: String,
        now: Micros,
    ) -> PendingRequest {
        let blocked_by = "no voter is leader, or no voter is reachable".to_string();
        let deadline = now + REQUEST_TIMEOUT;
        PendingRequest { request_id, description, step, command, deadline, blocked_by }
    }
}

impl Reducer {
    /// Whether drains are coordinated across the fleet.
    pub(super) fn is_coordinated(&self) -> bool {
        self.coordination.is_some()
    }

    pub(super) fn request_drain(&mut self, call: u32, request: DrainRequest, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        let own = Target::Relay(self.node.name.clone());
        let target = request.backend.map_or(own, Target::Backend);
        let request_id = coordination.next_request_id();
        let command = Command::Request {
            target: target.clone(),
            request_id,
            requested_by: request.requested_by,
            reason: request.reason,
            force: request.force,
        };
        let description = target.to_string();
        let step = RequestStep::Lease(target);
        let request = PendingRequest::new(request_id, step, command, description, self.now);
        self.add_request(call, request, out);
    }

    /// Proposes one command that needs no lease. `description` is part of the answer to the operator.
    pub(super) fn request_commit(
        &mut self,
        call: u32,
        command: Command,
        description: String,
        out: &mut Vec<Effect>,
    ) {
        let Some(coordination) = &mut self.coordination else { return };
        let request_id = coordination.next_request_id();
        let request = PendingRequest::new(request_id, RequestStep::Commit, command, description, self.now);
        self.add_request(call, request, out);
    }

    fn add_request(&mut self, call: u32, request: PendingRequest, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        coordination.requests.insert(call, request);
        self.retry_request(call, out);
    }

    /// Proposes a request once more, or answers it if it has timed out.
    pub(super) fn retry_request(&mut self, call: u32, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(coordination) = &mut self.coordination else { return };
        let Some(request) = coordination.requests.get(&call) else { return };
        if now >= request.deadline {
            let Some(request) = coordination.requests.remove(&call) else { return };
            return self.give_up_request(call, request, out);
        }
        self.propose_request(call, out);
        out.push(Effect::StartTimer { after: RETRY_INTERVAL, timer: Timer::PendingRequest(call) });
    }

    fn propose_request(&mut self, call: u32, out: &mut Vec<Effect>) {
        let request = self.coordination.as_ref().and_then(|coordination| coordination.requests.get(&call));
        let Some((request_id, command)) = request.map(|r| (r.request_id, r.command.encode())) else { return };
        self.propose_to_leader(request_id, command, out);
    }

    fn propose_to_leader(&mut self, request_id: u64, command: Vec<u8>, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        let Some(to) = coordination.proposal_recipient() else { return };
        if to == coordination.own_name {
            return self.propose(&to, request_id, command, out);
        }
        self.send_control(&to, &ControlMessage::Propose { request_id, command }, out);
    }

    /// Answers a request that has timed out. If it requested a lease, that request is withdrawn; if the
    /// withdrawal is lost, a lease that is granted later expires.
    fn give_up_request(&mut self, call: u32, request: PendingRequest, out: &mut Vec<Effect>) {
        if let RequestStep::Lease(target) = request.step {
            let withdrawal = Command::Withdraw { target, request_id: request.request_id }.encode();
            let Some(coordination) = &mut self.coordination else { return };
            let request_id = coordination.next_request_id();
            self.propose_to_leader(request_id, withdrawal, out);
        }
        let reason = format!("{}: not granted in time: {}", request.description, request.blocked_by);
        out.push(Effect::Reply { call, reply: OperatorReply::Blocked(reason) });
    }

    /// Handles the result of a proposal, from the leader or from a voter that is not the leader.
    pub(super) fn request_answered(
        &mut self,
        request_id: u64,
        result: ProposalResult,
        out: &mut Vec<Effect>,
    ) {
        let Some(coordination) = &mut self.coordination else { return };
        let pending = coordination.requests.iter_mut().find(|(_, request)| request.request_id == request_id);
        let Some((&call, request)) = pending else { return };
        match result {
            ProposalResult::NotLeader(None) => request.blocked_by = "no voter is leader".to_string(),
            ProposalResult::NotLeader(Some(leader)) => {
                coordination.leader =
                    Some(leader.as_str().into()).filter(|leader| *leader != coordination.own_name);
            }
            // The request is proposed again with the same id, by which the log recognizes a repetition.
            ProposalResult::Unknown => {}
            ProposalResult::Applied(outcome) => self.request_applied(call, outcome, out),
        }
    }

    fn request_applied(&mut self, call: u32, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        let Some(request) = coordination.requests.get_mut(&call) else { return };
        let reply = match (outcome, &request.step) {
            (
                Outcome::Granted { lease_id } | Outcome::AlreadyOut { lease_id },
                RequestStep::Lease(target),
            ) => {
                let target = target.clone();
                return self.begin_granted(call, target, lease_id, out);
            }
            (Outcome::Waiting { blocked_by, unavailable }, _) => {
                request.blocked_by = match unavailable.as_slice() {
                    [] => blocked_by,
                    names => format!("{blocked_by}; unavailable: {}", names.join(", ")),
                };
                return;
            }
            (Outcome::Rejected(CommandError::UnknownTarget), RequestStep::Lease(_)) => {
                // The leader reviews the fleet once a second, so it may observe the target before the
                // timeout.
                request.blocked_by = "the leader has not observed this target yet".to_string();
                return;
            }
            (Outcome::Done, RequestStep::Begin(target)) => {
                let target = target.clone();
                coordination.requests.remove(&call);
                let reply = self.begin_drain(&target, out);
                return out.push(Effect::Reply { call, reply });
            }
            (Outcome::Done, RequestStep::Commit) => {
                OperatorReply::Committed(format!("committed: {}", request.description))
            }
            (Outcome::RequestedByAnother { requested_by, reason }, _) => {
                let description = &request.description;
                OperatorReply::Blocked(format!(
                    "{description} has already been requested by {requested_by}: {reason}"
                ))
            }
            (Outcome::Rejected(error), _) => {
                OperatorReply::Blocked(format!("{}: {error}", request.description))
            }
            (Outcome::Done | Outcome::Granted { .. } | Outcome::AlreadyOut { .. }, _) => return,
        };
        coordination.requests.remove(&call);
        out.push(Effect::Reply { call, reply });
    }

    /// The lease is granted: proposes the drain's beginning, with a new request id.
    fn begin_granted(&mut self, call: u32, target: Target, lease_id: u64, out: &mut Vec<Effect>) {
        let Some(coordination) = &mut self.coordination else { return };
        let request_id = coordination.next_request_id();
        let Some(request) = coordination.requests.get_mut(&call) else { return };
        request.request_id = request_id;
        request.command = Command::Begin { target: target.clone(), lease_id };
        request.step = RequestStep::Begin(target);
        self.propose_request(call, out);
    }

    /// The drain's beginning is committed: the target is out of service from now on.
    fn begin_drain(&mut self, target: &Target, out: &mut Vec<Effect>) -> OperatorReply {
        match target {
            Target::Relay(_) => {
                self.apply_lifecycle_event(LifecycleEvent::Drain, out);
                OperatorReply::Accepted(LifecycleStatus::Draining)
            }
            Target::Backend(id) => OperatorReply::Committed(format!("backend {id} is draining")),
        }
    }
}
