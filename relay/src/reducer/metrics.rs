//! The metrics of this process: counted where the state changes, read as a whole.
use super::{MembershipMetrics, Reducer};
use crate::net::dial_permit::Denials;
use hallrelay_store::writer::WriterHealth;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The outcomes of one listener's sessions. Each that is requested ends in exactly one of the others, or
/// waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Taken in, whatever became of them.
    pub requested: u64,
    /// Accepted by a backend.
    pub established: u64,
    /// Answered with a rejection of this relay.
    pub rejected: u64,
    /// Failed, or not answered in time.
    pub failed: u64,
    /// The client left, or violated the protocol, before its answer.
    pub abandoned: u64,
}

/// What `/v1/metrics` shows: counts since the start of this process, and gauges.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    /// By the listener's name; what a listener counted stays when it is dropped.
    pub listeners: BTreeMap<Rc<str>, Outcomes>,
    /// Dials whose first line was written.
    pub dials: u64,
    /// Reloads of the configuration.
    pub reloads: u64,
    /// Reloads whose configuration was invalid.
    pub reload_errors: u64,
    /// Dials that were not started, since a condition did not hold any more.
    pub denials: Denials,
    /// Sessions now.
    pub in_progress: usize,
    /// Sessions that wait for their final answer now.
    pub waiting: usize,
    /// Backends that the endpoint list names now.
    pub known_backends: usize,
    /// Backends among them that get sessions only where there is no other.
    pub avoided_backends: usize,
    /// Of the other relays; `None` without a fleet in the configuration.
    pub membership: Option<Box<MembershipMetrics>>,
    /// Of the store; `None` until its first report, and without a store.
    pub store: Option<Box<WriterHealth>>,
}

impl Metrics {
    /// Metrics in which these listeners count, without sessions.
    pub(super) fn with_listeners(listeners: &[String]) -> Metrics {
        let mut metrics = Metrics::default();
        metrics.add_listeners(listeners);
        metrics
    }

    /// Listeners that have no session yet count as well.
    pub(super) fn add_listeners(&mut self, listeners: &[String]) {
        for name in listeners {
            self.listeners.entry(name.as_str().into()).or_default();
        }
    }

    /// The outcomes of one listener, to be counted up.
    pub(super) fn of_listener(&mut self, name: &Rc<str>) -> &mut Outcomes {
        self.listeners.entry(name.clone()).or_default()
    }
}

impl Reducer {
    /// The metrics as they are now.
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
