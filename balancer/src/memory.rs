//! What a relay's decisions rest on, handed from a process to the one that takes its place. Decides nothing.

use super::estimate::{MOST_SESSION, MOST_TOLD};
use super::Relay;
use crate::types::{Memory, Micros, Report, ServerId};

const PLACED_WITHIN: Micros = 8_000_000;

impl Relay {
    /// What goes on with the process that takes this one's place: the two are one relay, with one budget.
    pub fn memory(&self, now: Micros) -> (f64, Vec<Memory>) {
        let one = |(&server, v): (&ServerId, &super::Server)| {
            let report = Report { load: Some(v.load), piled: Some(v.queue_delay), held: Some(v.sessions) };
            let (report, misses) = (v.last_report.map(|then| (now.saturating_sub(then), report)), v.misses);
            let placed = v.flow.net.sum(now, PLACED_WITHIN);
            let turn = (now.saturating_sub(v.next_slot.0), v.next_slot.1);
            Memory { server, report, misses, placed, turn }
        };
        (self.estimate.slot_load, self.servers.iter().map(one).collect())
    }

    /// Takes up what the process before knew; its own reports and dials are newer.
    pub(super) fn remember(&mut self, step: f64, servers: Vec<Memory>) {
        self.estimate.session_load = step.clamp(0.002, MOST_SESSION);
        self.estimate.slot_load = step.clamp(0.002, MOST_TOLD);
        for m in servers {
            let Some(v) = self.servers.get_mut(&m.server) else { continue };
            let then = |ago| self.now.saturating_sub(ago);
            if let Some((ago, report)) = m.report.filter(|r| v.last_report.is_none_or(|t| t < then(r.0))) {
                v.record_report(then(ago), Some(report));
                v.misses = m.misses;
            }
            v.next_slot = (then(m.turn.0), m.turn.1);
            v.flow.net.add(self.now, m.placed);
            self.net_sessions.add(self.now, m.placed);
        }
        self.estimate.valid_until = self.now;
    }
}
