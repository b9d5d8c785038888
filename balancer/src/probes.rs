//! Probes for load reports: the probe credit, the choice of the server to probe, and the handling of results.
//!
//! A probe is a small request to a server for a load report. Probes have no fixed interval. Each session adds
//! credit for a number of probes, which is larger if a probe costs less. The credit is spent first on the
//! pools of sessions that wait for reports. The rest is spent on the servers whose last probe is the oldest.

use crate::balancer::{Balancer, PROBE_TIMER, SECOND};
use crate::placement::POOL_SIZE;
use crate::types::{DialEnd, Effect, LoadReport, Micros, ServerId};

/// Maximum cost of the probes per session, as a fraction of the session's value.
const PROBE_SPENDING: f64 = 0.008;
/// Maximum credit that one session adds, as a number of probes for each server of a full pool.
const MAX_POOLS_PER_SESSION: f64 = 4.0;
/// Credit that a returned session adds, as a fraction of a new session's credit.
const RETURNED_SHARE: f64 = 0.5;
/// Maximum credit, as a number of probes for each server.
const MAX_CREDIT_ROUNDS: f64 = 8.0;
/// Number of sessions for whose pools the credit must suffice before other servers are probed.
const RESERVED_SESSIONS: f64 = 6.0;
/// The time over which the spare credit is spent: the credit above the reserve for `RESERVED_SESSIONS`.
const SPENDING_TIME: Micros = 8 * SECOND;
/// Minimum spare credit, in probes, from which the interval between probes is computed. It limits that
/// interval to `SPENDING_TIME` divided by this number.
const MIN_PACED_PROBES: f64 = 4.0;
/// Minimum mean interval between two probes of the same server.
const MIN_PROBE_INTERVAL: Micros = SECOND / 2;

impl Balancer {
    /// Adds the credit of a new session, in probes: `PROBE_SPENDING` divided by the cost of a probe, within
    /// the limits above.
    pub(crate) fn add_probe_credit(&mut self, returned: bool) {
        let affordable_probes = PROBE_SPENDING / self.site.probe_cost.max(1e-6);
        let credit = affordable_probes.min(MAX_POOLS_PER_SESSION * POOL_SIZE as f64);
        let credit = credit * if returned { RETURNED_SHARE } else { 1.0 };
        let limit = MAX_CREDIT_ROUNDS * self.servers.len().max(POOL_SIZE) as f64;
        self.probe_credit = (self.probe_credit + credit).min(limit);
    }

    /// Probes a server and deducts one probe from the credit, unless a probe of the server is in flight.
    pub(crate) fn probe(&mut self, server_id: ServerId, effects: &mut Vec<Effect>) {
        let Some(server) = self.servers.get_mut(&server_id).filter(|server| !server.probe_pending) else {
            return;
        };
        server.last_probe_at = self.now;
        server.probe_pending = true;
        self.probe_credit -= 1.0;
        effects.push(Effect::Probe { server: server_id });
    }

    /// Sets the timer for the next probe. If the spare credit is at least one probe, probes the server whose
    /// last probe is the oldest.
    pub(crate) fn probe_tick(&mut self, effects: &mut Vec<Effect>) {
        if !self.site.may_probe {
            return;
        }
        let spare = self.probe_credit - RESERVED_SESSIONS * POOL_SIZE as f64;
        let shortest = MIN_PROBE_INTERVAL as f64 / self.servers.len().max(1) as f64;
        let interval = (SPENDING_TIME as f64 / spare.max(MIN_PACED_PROBES)).max(shortest);
        effects.push(Effect::SetTimer { after: interval as Micros, label: PROBE_TIMER });
        if spare < 1.0 {
            return;
        }
        let idle = self.servers.values().filter(|server| server.endpoint.ready() && !server.probe_pending);
        let longest_ago = idle.min_by_key(|server| server.last_probe_at);
        if let Some(server_id) = longest_ago.map(|server| server.endpoint.server) {
            self.probe(server_id, effects);
        }
    }

    /// Records the result of a probe and invalidates the estimate of the fleet.
    pub(crate) fn record_probe_end(&mut self, server_id: ServerId, end: DialEnd, report: Option<LoadReport>) {
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.probe_pending = false;
        match end {
            DialEnd::Ok => {
                server.misses = 0;
                server.record_report(self.now, report);
            }
            // A full server did answer, and an unsent probe shows nothing about the server.
            DialEnd::Full | DialEnd::NotSent => {}
            _ => server.misses += 1,
        }
        self.estimate.valid_until = self.now;
    }
}
