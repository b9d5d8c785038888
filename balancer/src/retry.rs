//! Retries: where a session may be dialled again after a dial that may have run, for how long a dial may
//! wait, and when the relay gives up (rules 1 and 2).

use crate::session::{Event, Session};
use crate::types::{Endpoint, Idempotency, KeyScope, Micros};

/// The first dial that may have run, and where.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    pub(crate) since: Micros,
    pub(crate) zone: u8,
    pub(crate) cell: u16,
}

impl Session {
    /// Whether no further dial is allowed: its client's time is up, or it has had all its dials.
    pub(crate) fn is_exhausted(&self, now: Micros) -> bool {
        now >= self.deadline || self.dials >= self.policy.max_dials
    }

    /// Whether the session may be dialled at a server (rule 2). Once a dial may have run, only an idempotent
    /// session may be dialled again, or one with an idempotency key within the key's window and scope.
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

    /// How to give up. A rejection says that trying again is harmless, which is so only where nothing may
    /// have run, or where a repeat is harmless anywhere.
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

    /// How long the dial that begins now may take: its handshake objective, doubled with each dial; all that
    /// is left of the client's time where it is the last one.
    pub(crate) fn dial_timeout(&self, now: Micros) -> Micros {
        let remaining = self.deadline - now;
        let listener = &self.policy.listener;
        let is_last = self.dials >= self.policy.max_dials || listener.idempotency != Idempotency::Idempotent;
        if is_last {
            remaining
        } else {
            remaining.min(listener.handshake_target << self.dials.min(8))
        }
    }

    /// Within which a further dial must be sent: what is left of its idempotency key's window.
    pub(crate) fn send_within(&self, now: Micros) -> Option<Micros> {
        match (self.may_have_run, self.policy.listener.idempotency) {
            (Some(run), Idempotency::Keyed { window, .. }) => Some(run.since + window - now),
            _ => None,
        }
    }
}
