//! An operator who requests drains of relays and retries until each is granted, and the count, from outside,
//! of relays that are out at once.
use super::events::QueuedEvent;
use super::VirtualDay;
use hallrelay_balancer::types::Micros;
use hallrelay_emulator::service::LeaseFigures;
use hallrelay_relay::reducer::{DrainRequest, Event, OperatorReply, OperatorRequest};
use std::collections::{BTreeMap, BTreeSet};

/// Backoff of an operator whose request was not granted.
const RETRY_INTERVAL: Micros = 1_000_000;
/// Number of calls that request a drain; other calls have another one.
const DRAIN_CALL: u32 = 1;

/// Drains requested and granted, over the day.
#[derive(Default)]
pub(super) struct DrainCounts {
    requested: BTreeSet<usize>,
    /// How long each relay is to be out.
    stays: BTreeMap<usize, Micros>,
    draining: BTreeSet<usize>,
    returned: BTreeSet<usize>,
    first_request_at: Option<Micros>,
    last_return_at: Micros,
    counts: LeaseFigures,
}

impl DrainCounts {
    /// Counts of the day; none where no drain was requested.
    pub(super) fn outcome(&self) -> Option<LeaseFigures> {
        let first_request_at = self.first_request_at?;
        let is_complete = self.returned.len() == self.requested.len();
        let duration_s =
            if is_complete { (self.last_return_at - first_request_at) as f64 / 1e6 } else { 0.0 };
        Some(LeaseFigures { requested: self.requested.len(), duration_s, ..self.counts.clone() })
    }

    /// Counts a drain that was granted while so many relays were out, this one included.
    fn granted(&mut self, relay: usize, out: usize, allowed: usize) {
        self.draining.insert(relay);
        let draining = self.draining.len();
        self.counts.granted += 1;
        self.counts.max_draining = self.counts.max_draining.max(draining);
        self.counts.max_unavailable = self.counts.max_unavailable.max(out);
        self.counts.over += u64::from(draining > allowed);
    }
}

impl VirtualDay<'_> {
    /// Requests a drain of `stay`, or retries later where the relay can't answer.
    pub(super) fn request_drain(&mut self, relay: usize, stay: Micros) {
        self.drains.first_request_at.get_or_insert(self.now);
        self.drains.requested.insert(relay);
        self.drains.stays.insert(relay, stay);
        if !self.is_running(relay) {
            return self.schedule_after(RETRY_INTERVAL, QueuedEvent::RequestDrain { relay, stay });
        }
        let (requested_by, reason) = ("ann".to_string(), "a day out".to_string());
        let drain = DrainRequest { requested_by, reason, ..DrainRequest::default() };
        let request = OperatorRequest::Drain(Box::new(drain));
        self.step(relay, Event::OperatorCall { call: DRAIN_CALL, request });
    }

    /// A relay answers a call: a granted drain begins, another one is requested again later.
    pub(super) fn operator_reply(&mut self, relay: usize, call: u32, reply: &OperatorReply) {
        let Some(&stay) = self.drains.stays.get(&relay).filter(|_| call == DRAIN_CALL) else { return };
        if !matches!(reply, OperatorReply::Accepted(_)) {
            self.drains.counts.deferred += 1;
            return self.schedule_after(RETRY_INTERVAL, QueuedEvent::RequestDrain { relay, stay });
        }
        let is_out = |other: usize| !self.is_running(other) || self.drains.draining.contains(&other);
        let others = (0..self.relays.len()).filter(|&other| other != relay);
        let out = others.filter(|&other| is_out(other)).count() + 1;
        self.drains.granted(relay, out, self.day.scenario.relays.out as usize);
        // The clients' front end sees that it serves no more.
        self.day.clients.set_relay_serving(self.now, relay, false);
        self.schedule_after(stay, QueuedEvent::Activate { relay });
    }

    /// Ends a drain.
    pub(super) fn activate(&mut self, relay: usize) {
        self.drains.draining.remove(&relay);
        self.drains.returned.insert(relay);
        self.drains.last_return_at = self.now;
        if self.relays[relay].state_machine.is_some() {
            self.day.clients.set_relay_serving(self.now, relay, true);
            self.step(relay, Event::OperatorCall { call: 0, request: OperatorRequest::Activate });
        }
    }

    /// Whether a relay's process runs and does not stall.
    fn is_running(&self, relay: usize) -> bool {
        self.relays[relay].state_machine.is_some() && self.relays[relay].stalled.is_none()
    }
}
