//! The front: which relays it distributes clients to.
use super::{Clients, Event};
use hallrelay_balancer::types::Micros;

/// What the front knows of each relay.
pub(super) struct Front {
    is_serving: Vec<bool>,
    /// How often each relay has started to serve.
    starts: Vec<u32>,
}

impl Front {
    pub(super) fn new(relay_count: usize) -> Front {
        Front { is_serving: vec![false; relay_count], starts: vec![0; relay_count] }
    }

    /// The relays that it distributes clients to.
    pub(super) fn serving(&self) -> Vec<usize> {
        (0..self.is_serving.len()).filter(|&relay| self.is_serving[relay]).collect()
    }

    pub(super) fn set_serving(&mut self, relay: usize) {
        self.is_serving[relay] = true;
    }

    /// The front learns whether a relay serves, unless the relay has started again since.
    pub(super) fn update(&mut self, relay: usize, is_serving: bool, starts: u32) {
        if starts == self.starts[relay] {
            self.is_serving[relay] = is_serving;
        }
    }
}

impl Clients {
    /// A relay answers `PING`, or has ended. The front learns of a start at once and of an end some time
    /// later.
    pub fn set_relay_serving(&mut self, now: Micros, relay: usize, is_serving: bool) {
        self.now = self.now.max(now);
        let notice = self.scenario.clients.front_notice_s.map(|s| s.us());
        let after = if is_serving { 0 } else { self.random.between(notice) };
        self.front.starts[relay] += u32::from(is_serving);
        let starts = self.front.starts[relay];
        self.events.schedule(self.now + after, Event::FrontUpdate { relay, is_serving, starts });
    }
}
