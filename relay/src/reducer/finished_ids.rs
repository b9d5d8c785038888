//! The ids of ended sessions that must not run twice. A client that has left may come again with its id, to
//! this process or to the other one of a hot restart: such a session is not placed.
use super::{log, Effect, Reducer, Session, SessionStage};
use hallrelay_balancer::types::{Idempotency, KeyScope};
use std::collections::{HashSet, VecDeque};

/// Largest number of recorded ids. Beyond it, the oldest one is evicted.
const MAX_IDS: usize = 16_384;

/// A bounded set of ids.
#[derive(Default)]
pub(super) struct FinishedIds {
    ids: HashSet<u64>,
    /// The ids, the oldest one first.
    order: VecDeque<u64>,
    /// Number of ids that were evicted.
    evicted: u64,
    /// Number of evicted ids from which on the next line is logged.
    next_report: u64,
}

impl FinishedIds {
    pub fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// The ids, the oldest one first.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.order.iter().copied()
    }

    /// Adds an id. The oldest one is evicted if there are too many.
    fn add(&mut self, id: u64) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() <= MAX_IDS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.ids.remove(&oldest);
            self.evicted += 1;
        }
    }
}

impl Reducer {
    /// Whether a second run of a listener's session would not be dropped by whichever server gets it.
    pub(super) fn must_not_repeat(&self, listener: usize) -> bool {
        let listener = self.node.site.facts.listeners.get(listener);
        !matches!(
            listener.map(|listener| listener.idempotency),
            Some(Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. })
        )
    }

    /// Records the id of a session that is removed, if the session must not repeat and may have run.
    pub(super) fn record_finished(&mut self, session: &Session) {
        let may_have_run = session.may_have_run || session.stage != SessionStage::AwaitingPlacement;
        if session.must_not_repeat && may_have_run {
            self.finished_ids.add(session.client_session_id);
        }
    }

    /// Records ids of the other process.
    pub(super) fn record_ids(&mut self, ids: impl IntoIterator<Item = u64>) {
        for id in ids {
            self.finished_ids.add(id);
        }
    }

    /// Logs that ids were evicted: at the first one, and each time that all have been replaced.
    pub(super) fn log_evicted_ids(&mut self, out: &mut Vec<Effect>) {
        let evicted = self.finished_ids.evicted;
        if evicted > self.finished_ids.next_report {
            self.finished_ids.next_report += MAX_IDS as u64;
            log(format!("{evicted} ids of ended sessions were evicted; the last {MAX_IDS} are kept"), out);
        }
    }
}
