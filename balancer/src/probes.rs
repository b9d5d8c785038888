//! Probes for load reports: how many are paid for, which server is probed next, and what an answer changes.
//!
//! There is no fixed interval. Each session earns some probes, in proportion to the price of a probe; those
//! are spent first on the pools of sessions that wait for reports, and what is left on the server that was
//! probed longest ago.

use crate::placement::POOL_SIZE;
use crate::relay::{Relay, PROBE_TIMER, SECOND};
use crate::types::{DialEnd, Effect, LoadReport, Micros, ServerId};

/// The part of a session's value that its probes may cost.
const PROBE_SPENDING: f64 = 0.008;
/// Pools of reports that one session earns at most, where probes cost next to nothing.
const MAX_POOLS_EARNED: f64 = 4.0;
/// What a returned session earns of that.
const RETURNED_SHARE: f64 = 0.5;
/// Probes of each server that can be saved up.
const MAX_SAVED_ROUNDS: f64 = 8.0;
/// Sessions whose pools must be paid for before other servers are probed.
const RESERVED_SESSIONS: f64 = 6.0;
/// The time over which what is saved up beyond that is spent.
const SPENDING_TIME: Micros = 8 * SECOND;
/// The slowest pace is that of so many probes saved up.
const MIN_PACED_PROBES: f64 = 4.0;
/// Two probes of one server are no closer than this, in the mean.
const MIN_PROBE_INTERVAL: Micros = SECOND / 2;

impl Relay {
    /// Counts what a new session earns.
    pub(crate) fn earn_probes(&mut self, returned: bool) {
        let affordable = PROBE_SPENDING / self.site.probe_cost.max(1e-6);
        let earned = affordable.min(MAX_POOLS_EARNED * POOL_SIZE as f64);
        let paid = earned * if returned { RETURNED_SHARE } else { 1.0 };
        let limit = MAX_SAVED_ROUNDS * self.servers.len().max(POOL_SIZE) as f64;
        self.probe_credit = (self.probe_credit + paid).min(limit);
    }

    /// Probes a server, unless a probe is in flight there.
    pub(crate) fn probe(&mut self, server_id: ServerId, out: &mut Vec<Effect>) {
        let Some(server) = self.servers.get_mut(&server_id).filter(|server| !server.probe_pending) else {
            return;
        };
        server.last_probe_at = self.now;
        server.probe_pending = true;
        self.probe_credit -= 1.0;
        out.push(Effect::Probe { server: server_id });
    }

    /// Probes the server that was probed longest ago, where more is saved up than waiting sessions need, and
    /// sets the timer for the next one.
    pub(crate) fn probe_tick(&mut self, out: &mut Vec<Effect>) {
        if !self.site.may_probe {
            return;
        }
        let spare = self.probe_credit - RESERVED_SESSIONS * POOL_SIZE as f64;
        let shortest = MIN_PROBE_INTERVAL as f64 / self.servers.len().max(1) as f64;
        let interval = (SPENDING_TIME as f64 / spare.max(MIN_PACED_PROBES)).max(shortest);
        out.push(Effect::SetTimer { after: interval as Micros, label: PROBE_TIMER });
        if spare < 1.0 {
            return;
        }
        let idle = self.servers.values().filter(|server| server.endpoint.ready() && !server.probe_pending);
        let longest_ago = idle.min_by_key(|server| server.last_probe_at);
        if let Some(server_id) = longest_ago.map(|server| server.endpoint.server) {
            self.probe(server_id, out);
        }
    }

    /// Takes in how a probe ended. The fleet is estimated anew with it.
    pub(crate) fn record_probe_end(&mut self, server_id: ServerId, end: DialEnd, report: Option<LoadReport>) {
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.probe_pending = false;
        match end {
            DialEnd::Ok => {
                server.misses = 0;
                server.record_report(self.now, report);
            }
            // A full server lives; one that was not asked tells nothing.
            DialEnd::Full | DialEnd::NotSent => {}
            _ => server.misses += 1,
        }
        self.estimate.valid_until = self.now;
    }
}
