//! The metrics of this process. Each counter is incremented where the state changes.
use super::{MembershipMetrics, Reducer};
use crate::net::dial_permit::Denials;
use hallrelay_store::writer::WriterHealth;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Outcomes of one listener's sessions. Each requested session ends in exactly one of the other outcomes, or
/// still waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// All valid requests, whatever their outcome.
    pub requested: u64,
    /// Sessions that a backend accepted.
    pub established: u64,
    /// Sessions that this relay rejected.
    pub rejected: u64,
    /// Sessions that failed, or were not answered in time.
    pub failed: u64,
    /// Sessions whose client left, or violated the protocol, before its answer.
    pub abandoned: u64,
}

/// The metrics of `/v1/metrics`: counters since the start of this process, and gauges.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Outcomes by listener name. They are kept when a listener is removed.
    pub listeners: BTreeMap<Rc<str>, Outcomes>,
    /// Dials whose first line was written.
    pub dials: u64,
    /// Successful reloads of the configuration.
    pub reloads: u64,
    /// Reloads whose configuration was invalid.
    pub reload_errors: u64,
    /// Dials that were not started, since a condition for them no longer held.
    pub denials: Denials,
    /// Current number of sessions.
    pub in_progress: usize,
    /// Current number of sessions that wait for their final answer.
    pub waiting: usize,
    /// Current number of backends in the endpoint list.
    pub known_backends: usize,
    /// Number of those backends that get sessions only if no other backend is available.
    pub avoided_backends: usize,
    /// Metrics of membership; `None` if no fleet is configured.
    pub membership: Option<Box<MembershipMetrics>>,
    /// Metrics of the store; `None` without a store, and until its first report.
    pub store: Option<Box<WriterHealth>>,
}

impl Metrics {
    /// Metrics with zero counts for these listeners.
    pub(super) fn with_listeners(listeners: &[String]) -> Metrics {
        let mut metrics = Metrics::default();
        metrics.add_listeners(listeners);
        metrics
    }

    /// Adds listeners with zero counts, so that they are shown before their first session.
    pub(super) fn add_listeners(&mut self, listeners: &[String]) {
        for name in listeners {
            self.listeners.entry(name.as_str().into()).or_default();
        }
    }

    /// The outcomes of one listener, to be incremented.
    pub(super) fn of_listener(&mut self, name: &Rc<str>) -> &mut Outcomes {
        self.listeners.entry(name.clone()).or_default()
    }
}

impl Reducer {
    /// The current metrics.
    pub fn metrics(&self) -> Metrics {
        let listed = self
            .servers
            .iter()
            .filter(|(_, server)| server.instance.phase != hallrelay_balancer::types::Phase::Gone);
        Metrics {
            in_progress: self.sessions.len(),
            waiting: self.sessions.values().filter(|session| session.stage.awaits_answer()).count(),
            known_backends: listed.clone().count(),
            avoided_backends: listed.filter(|(&server, _)| self.balancer.avoids(self.now, server)).count(),
            membership: self.membership_metrics(),
            store: self.store_health.clone(),
            ..self.metrics.clone()
        }
    }
}
