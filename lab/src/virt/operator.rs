//! An operator who requests drains of relays and retries until each is granted. Counts, independently of the
//! relays, how many relays are unavailable at the same time.
use super::events::QueuedEvent;
use super::VirtualDay;
use hallrelay_balancer::types::Micros;
use hallrelay_emulator::service::LeaseFigures;
use hallrelay_relay::reducer::{DrainRequest, Event, OperatorReply, OperatorRequest};
use std::collections::{BTreeMap, BTreeSet};

/// Delay before a request that was not granted is retried.
const RETRY_INTERVAL: Micros = 1_000_000;
/// Call number of requests for a drain. Other calls have another number.
const DRAIN_CALL: u32 = 1;

/// Drains requested and granted during the day. The outcome calls a granted drain a lease.
#[derive(Default)]
pub(super) struct DrainCounts {
    /// Relays for which a drain was requested.
    requested: BTreeSet<usize>,
    /// Duration of the drain of each relay.
    durations: BTreeMap<usize, Micros>,
    /// Relays that drain now.
    draining: BTreeSet<usize>,
    /// Relays whose drain has ended.
    returned: BTreeSet<usize>,
    first_request_at: Option<Micros>,
    last_return_at: Micros,
    counts: LeaseFigures,
}

impl DrainCounts {
    /// Counts of the day; `None` if no drain was requested.
    pub(super) fn outcome(&self) -> Option<LeaseFigures> {
        let first_request_at = self.first_request_at?;
        let is_complete = self.returned.len() == self.requested.len();
        let duration_s =
            if is_complete { (self.last_return_at - first_request_at) as f64 / 1e6 } else { 0.0 };
        Some(LeaseFigures { requested: self.requested.len(), duration_s, ..self.counts.clone() })
    }

    /// Counts a granted drain. `unavailable` is the number of relays, including this one, that are draining
    /// or not running; `allowed` is the number of relays that may drain at the same time.
    fn granted(&mut self, relay: usize, unavailable: usize, allowed: usize) {
        self.draining.insert(relay);
        let draining = self.draining.len();
        self.counts.granted += 1;
        self.counts.max_draining = self.counts.max_draining.max(draining);
        self.counts.max_unavailable = self.counts.max_unavailable.max(unavailable);
        self.counts.over += u64::from(draining > allowed);
    }
}

impl VirtualDay<'_> {
    /// Requests a drain for the given duration. If the relay is not running, the request is repeated later.
    pub(super) fn request_drain(&mut self, relay: usize, duration: Micros) {
        self.drains.first_request_at.get_or_insert(self.now);
        self.drains.requested.insert(relay);
        self.drains.durations.insert(relay, duration);
        if !self.is_running(relay) {
            return self.schedule_after(RETRY_INTERVAL, QueuedEvent::RequestDrain { relay, duration });
        }
        let (requested_by, reason) = ("ann".to_string(), "a day out".to_string());
        let drain = DrainRequest { requested_by, reason, ..DrainRequest::default() };
        let request = OperatorRequest::Drain(Box::new(drain));
        self.step(relay, Event::OperatorCall { call: DRAIN_CALL, request });
    }

    /// A relay answers a call. If the drain is granted, it begins; otherwise it is requested again later.
    pub(super) fn operator_reply(&mut self, relay: usize, call: u32, reply: &OperatorReply) {
        let duration = self.drains.durations.get(&relay).copied().filter(|_| call == DRAIN_CALL);
        let Some(duration) = duration else { return };
        if !matches!(reply, OperatorReply::Accepted(_)) {
            self.drains.counts.deferred += 1;
            return self.schedule_after(RETRY_INTERVAL, QueuedEvent::RequestDrain { relay, duration });
        }
        let is_unavailable = |other: usize| !self.is_running(other) || self.drains.draining.contains(&other);
        let others = (0..self.relays.len()).filter(|&other| other != relay);
        let unavailable = others.filter(|&other| is_unavailable(other)).count() + 1;
        self.drains.granted(relay, unavailable, self.day.scenario.relays.out as usize);
        // The clients' load balancer notices that the relay no longer serves.
        self.day.clients.set_relay_serving(self.now, relay, false);
        self.schedule_after(duration, QueuedEvent::Activate { relay });
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

    /// Whether a relay's process is running and not stalled.
    fn is_running(&self, relay: usize) -> bool {
        self.relays[relay].state_machine.is_some() && self.relays[relay].stalled.is_none()
    }
}
