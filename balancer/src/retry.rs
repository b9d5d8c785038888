//! Retries and final answers (rules 1 and 2): at which servers a session may be dialled again after a dial
//! that may have run, how long a dial may take, and how a session ends when no further dial is possible. A
//! dial "may have run" if a server may have executed the request that it sent.

use crate::session::{Event, Session};
use crate::types::{Endpoint, Idempotency, KeyScope, Micros};

/// The first dial of a session that may have run, and the location of its server.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    /// When that dial started.
    pub(crate) since: Micros,
    pub(crate) zone: u8,
    pub(crate) cell: u16,
}

impl Session {
    /// Whether no further dial is allowed, because the client's deadline has passed or the session has used
    /// all of its `max_dials` dials.
    pub(crate) fn is_exhausted(&self, now: Micros) -> bool {
        now >= self.deadline || self.dials >= self.policy.max_dials
    }

    /// Whether the session may be dialled at a server without the harm of running twice. After a dial that
    /// may have run, only two kinds of session may be dialled again: idempotent sessions, and sessions with
    /// an idempotency key. The latter may be dialled only within the key's window and scope.
    pub(crate) fn may_be_dialled_at(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let Some(run) = self.may_have_run else { return true };
        match self.policy.listener.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { window, .. } if now >= run.since + window => false,
            Idempotency::Keyed { scope: KeyScope::All, .. } => true,
            Idempotency::Keyed { scope: KeyScope::Zone, .. } => run.zone == endpoint.zone,
            Idempotency::Keyed { scope: KeyScope::Cell, .. } => run.cell == endpoint.cell,
        }
    }

    /// The event that ends the session if it cannot be placed. A rejection signals to the client that a retry
    /// is harmless. A retry is harmless if no dial may have run, or if all servers tolerate repeated requests
    /// (idempotent) or drop them (keyed for all servers). Otherwise the session is torn down without a
    /// rejection.
    pub(crate) fn give_up_event(&self) -> Event {
        let is_harmless = matches!(
            self.policy.listener.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. }
        );
        if is_harmless || self.may_have_run.is_none() {
            Event::Rejected
        } else {
            Event::Aborted
        }
    }

    /// The timeout of the dial that starts now, in microseconds. `dials` already includes this dial. For an
    /// idempotent session the timeout is twice the handshake objective, doubled with each further dial up to
    /// a factor of 256, which leaves time for a retry. The last dial of an idempotent session, and every dial
    /// of any other session, gets all the time until the client's deadline.
    pub(crate) fn dial_timeout(&self, now: Micros) -> Micros {
        let remaining = self.deadline - now;
        let listener = &self.policy.listener;
        let gets_all_remaining_time =
            self.dials >= self.policy.max_dials || listener.idempotency != Idempotency::Idempotent;
        if gets_all_remaining_time {
            remaining
        } else {
            remaining.min(listener.handshake_target << self.dials.min(8))
        }
    }

    /// The time within which a retry must be sent, in microseconds: the rest of its idempotency key's window.
    /// `None` if no key limits it.
    pub(crate) fn send_within(&self, now: Micros) -> Option<Micros> {
        match (self.may_have_run, self.policy.listener.idempotency) {
            (Some(run), Idempotency::Keyed { window, .. }) => Some(run.since + window - now),
            _ => None,
        }
    }
}
