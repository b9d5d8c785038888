//! What operators are told in numbers: counted where the state changes, read as a whole.
use super::{MembershipMetrics, Reducer};
use crate::net::dial_permit::Denials;
use hallrelay_store::writer::WriterHealth;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What became of one listener's sessions. Each that is taken ends in exactly one of the others, or waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    pub taken: u64,
    /// Brought up, refused, and given any other answer, or none in time.
    pub passed: u64,
    pub dropped: u64,
    pub failed: u64,
    /// The client left, or spoilt it, before its answer.
    pub abandoned: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// By the listener's name; what a listener counted stays when it is dropped.
    pub listeners: BTreeMap<Rc<str>, Outcomes>,
    /// Dials whose line was written whole.
    pub tries: u64,
    /// Configurations used and not used, after the first.
    pub loads: u64,
    pub load_errors: u64,
    /// Dials that were not begun, since a rule did not hold any more as they were to begin.
    pub denials: Denials,
    /// Of this moment: sessions, those without an answer, servers that the list names, those avoided.
    pub in_progress: usize,
    pub waiting: usize,
    pub known: usize,
    pub avoided: usize,
    /// Of the other relays; none where this one is told of none.
    pub membership: Option<Box<MembershipMetrics>>,
    /// Of the store; none where nothing is kept.
    pub store: Option<Box<WriterHealth>>,
}

impl Figures {
    pub(super) fn of(listeners: &[String]) -> Figures {
        let mut figures = Figures::default();
        figures.name(listeners);
        figures
    }

    /// Listeners that have no session yet count as well.
    pub(super) fn name(&mut self, listeners: &[String]) {
        for name in listeners {
            self.listeners.entry(name.as_str().into()).or_default();
        }
    }

    pub(super) fn of_listener(&mut self, name: &Rc<str>) -> &mut Outcomes {
        self.listeners.entry(name.clone()).or_default()
    }
}

impl Reducer {
    /// The figures as they are now.
    pub fn figures(&self) -> Figures {
        let listed =
            self.servers.iter().filter(|(_, v)| v.instance.phase != hallrelay_balancer::types::Phase::Gone);
        Figures {
            in_progress: self.sessions.len(),
            waiting: self.sessions.values().filter(|s| s.stage.awaits_answer()).count(),
            known: listed.clone().count(),
            avoided: listed.filter(|(&server, _)| self.balancer.avoids(self.now, server)).count(),
            membership: self.membership_metrics(),
            store: self.store_health.clone(),
            ..self.metrics.clone()
        }
    }
}
