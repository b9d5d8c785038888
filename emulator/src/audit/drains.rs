//! Rule 3: a relay must not send sessions to a backend after the list service notified the relay that the
//! backend drains. A relay that polls too rarely to be notified is treated as notified.
use super::dials::DialReceived;
use super::Audit;
use hallrelay_balancer::types::{Micros, Phase};

/// Notifications that a relay received at most this long before its process ended may be missing from the
/// relay's store, so that a later process may not know them.
const STORE_DELAY: Micros = 1_000_000;
/// Number of poll intervals that a relay may take for its next poll after a failed call to the list service.
const FAILED_CALL_ALLOWANCE: Micros = 4;

impl Audit {
    /// Records a breach of rule 3 if a relay dials a backend too long after the notification of its drain.
    pub(super) fn check_drain(&mut self, now: Micros, dial: &DialReceived, is_pre_existing: bool) {
        let relay = &self.relays[dial.relay];
        let backend = &self.backends[dial.backend];
        let allowed = self.rules.drain_grace + self.rules.slack;
        // A relay that has not polled within its allowance is treated as notified.
        let deemed_notified_at = backend
            .draining_since
            .map(|since| since.max(relay.started_at) + self.rules.poll_within * relay.poll_allowance);
        let earlier = relay.notified_earlier[dial.backend];
        let remembered = earlier.filter(|_| self.relays_have_stores);
        let notified =
            [relay.notified[dial.backend], deemed_notified_at, remembered].into_iter().flatten().min();
        if is_pre_existing {
            return;
        }
        if earlier.is_some_and(|at| dial.first_byte_at > at + allowed) {
            self.stale_dials += 1;
        }
        let Some(notified) = notified.filter(|at| dial.first_byte_at > at + allowed) else { return };
        let after_ms = (dial.first_byte_at - notified) as f64 / 1e3;
        let relay = dial.relay;
        let name = &backend.name;
        let details =
            format!("{name} dialled {after_ms:.1} ms after relay {relay} was notified of its drain");
        self.record_breach(3, now, dial.mark, details);
    }

    /// The list service has notified a relay of a backend's phase.
    pub fn endpoint_notified(&mut self, now: Micros, relay: usize, backend: usize, phase: Phase) {
        let relay = &mut self.relays[relay];
        let notified = &mut relay.notified[backend];
        if phase == Phase::Ready {
            *notified = None;
            relay.notified_earlier[backend] = None;
        } else {
            *notified = notified.or(Some(now));
        }
        relay.poll_allowance = 1;
    }

    /// The list service now lists a backend in this phase.
    pub fn endpoint_listed(&mut self, now: Micros, backend: usize, phase: Phase) {
        let draining_since = &mut self.backends[backend].draining_since;
        *draining_since = if phase == Phase::Ready { None } else { draining_since.or(Some(now)) };
    }

    /// A relay's call to the list service failed.
    pub fn list_call_failed(&mut self, relay: usize) {
        self.relays[relay].poll_allowance = FAILED_CALL_ALLOWANCE;
    }

    /// A relay's process has started.
    pub fn relay_started(&mut self, now: Micros, relay: usize) {
        let relay = &mut self.relays[relay];
        relay.is_up = true;
        relay.is_stalled = false;
        relay.started_at = now;
        relay.poll_allowance = 1;
        let ended_at = relay.ended_at;
        for (notified, earlier) in relay.notified.iter_mut().zip(&mut relay.notified_earlier) {
            let stored = notified.take().filter(|at| at + STORE_DELAY < ended_at);
            *earlier = stored.or(*earlier);
        }
    }

    /// A relay's process has resumed after a stall. Notifications sent during the stall count from now.
    pub fn relay_woke(&mut self, now: Micros, relay: usize) {
        self.check_deadlines(now);
        let relay = &mut self.relays[relay];
        relay.is_stalled = false;
        relay.started_at = now;
        for notified in relay.notified.iter_mut().flatten() {
            *notified = now;
        }
    }
}
