//! Operators' requests. Most are answered immediately; those that need the replicated log are answered once
//! their command is committed. A lease is the log's permission to take a relay or a backend out of service.
use super::lifecycle::{Lifecycle, LifecycleAction, LifecycleEvent, LifecycleStatus};
use super::{Effect, OperatorReply, OperatorRequest, Reducer};

/// The answer to requests that need the replicated log, if the relay has none.
const NO_VOTERS: &str =
    "fleet.voters is not configured on this relay: backends can be drained only in the endpoint list";

impl Reducer {
    pub(super) fn operator_call(&mut self, call: u32, request: OperatorRequest, out: &mut Vec<Effect>) {
        let reply = match request {
            // A relay that does not serve needs no lease to drain.
            OperatorRequest::Drain(drain)
                if self.is_coordinated()
                    && (drain.backend.is_some() || self.lifecycle == Lifecycle::Serving) =>
            {
                return self.request_drain(call, *drain, out);
            }
            OperatorRequest::Propose { command, confirmation } if self.is_coordinated() => {
                return self.request_commit(call, *command, confirmation, out);
            }
            OperatorRequest::Drain(drain) if drain.backend.is_some() => {
                OperatorReply::Blocked(NO_VOTERS.to_string())
            }
            OperatorRequest::Propose { .. } => OperatorReply::Blocked(NO_VOTERS.to_string()),
            OperatorRequest::Leases => OperatorReply::Leases(self.leases_answer()),
            OperatorRequest::Rollout => OperatorReply::Leases(self.rollout_answer()),
            OperatorRequest::Membership => OperatorReply::Membership(self.fleet_status()),
            OperatorRequest::Metrics => OperatorReply::Metrics(Box::new(self.metrics())),
            OperatorRequest::Readiness => self.readiness(),
            OperatorRequest::Drain(_) => self.command(LifecycleEvent::Drain, out),
            OperatorRequest::Activate => self.command(LifecycleEvent::Activate, out),
        };
        out.push(Effect::Reply { call, reply });
    }

    fn readiness(&self) -> OperatorReply {
        match self.lifecycle_status() {
            LifecycleStatus::Serving => OperatorReply::Accepted(LifecycleStatus::Serving),
            status => OperatorReply::Unavailable(status),
        }
    }

    fn command(&mut self, event: LifecycleEvent, out: &mut Vec<Effect>) -> OperatorReply {
        let action = self.apply_lifecycle_event(event, out);
        let status = self.lifecycle_status();
        match action {
            LifecycleAction::Reject => OperatorReply::Conflict(status),
            _ => OperatorReply::Accepted(status),
        }
    }
}
