//! Retries and giving up (rules 1 and 2): where a session may be dialled again after a dial that may have
//! run, how long a dial may take, and how a session without a further dial ends.

use crate::session::{Event, Session};
use crate::types::{Endpoint, Idempotency, KeyScope, Micros};

/// The first dial that may have run, and where.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    /// When that dial started.
    pub(crate) since: Micros,
    pub(crate) zone: u8,
    pub(crate) cell: u16,
}

impl Session {
    /// Whether no further dial is allowed: its client's deadline has passed, or it has had `max_dials` dials.
    pub(crate) fn is_exhausted(&self, now: Micros) -> bool {
        now >= self.deadline || self.dials >= self.policy.max_dials
    }

    /// Whether the session may be dialled at a server without running twice. Once a dial may have run, only
    /// an idempotent session may be dialled again, or one with an idempotency key within the key's window and
    /// scope.
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

    /// How to give up. A rejection announces that a retry is harmless: that holds where no dial may have
    /// run, or where servers anywhere tolerate or drop a repeat. Otherwise the session is torn down.
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

    /// How long the dial that starts now may take, in microseconds. `dials` includes it. An idempotent
    /// session gets the handshake objective, doubled with each dial up to 256 times it, to leave time for a
    /// retry; the last dial, and any of another session, gets all the time until the client's deadline.
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

    /// Within which a retry must be sent, in microseconds: the rest of its idempotency key's window. None
    /// where no key bounds it.
    pub(crate) fn send_within(&self, now: Micros) -> Option<Micros> {
        match (self.may_have_run, self.policy.listener.idempotency) {
            (Some(run), Idempotency::Keyed { window, .. }) => Some(run.since + window - now),
            _ => None,
        }
    }
}
