//! The front, a load balancer before the relays: selects the relays to which it distributes clients.
use super::{Clients, Event};
use hallrelay_balancer::types::Micros;

/// The front's state of each relay.
pub(super) struct Front {
    is_serving: Vec<bool>,
    /// Number of times that each relay has started to serve.
    starts: Vec<u32>,
}

impl Front {
    pub(super) fn new(relay_count: usize) -> Front {
        Front { is_serving: vec![false; relay_count], starts: vec![0; relay_count] }
    }

    /// The relays to which the front distributes clients.
    pub(super) fn serving(&self) -> Vec<usize> {
        (0..self.is_serving.len()).filter(|&relay| self.is_serving[relay]).collect()
    }

    pub(super) fn set_serving(&mut self, relay: usize) {
        self.is_serving[relay] = true;
    }

    /// Applies a notice that a relay serves or has ended. `starts` is the number of starts when the notice
    /// was scheduled: if the relay has started again since, the notice is outdated and ignored.
    pub(super) fn update(&mut self, relay: usize, is_serving: bool, starts: u32) {
        if starts == self.starts[relay] {
            self.is_serving[relay] = is_serving;
        }
    }
}

impl Clients {
    /// A relay answers `PING`, or has ended. The front learns of a start immediately, and of an end after a
    /// delay.
    pub fn set_relay_serving(&mut self, now: Micros, relay: usize, is_serving: bool) {
        self.now = self.now.max(now);
        let notice = self.scenario.clients.front_notice_s.map(|s| s.us());
        let after = if is_serving { 0 } else { self.random.between(notice) };
        self.front.starts[relay] += u32::from(is_serving);
        let starts = self.front.starts[relay];
        self.events.schedule(self.now + after, Event::FrontUpdate { relay, is_serving, starts });
    }
}
