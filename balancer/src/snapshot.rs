//! The state that a process hands over to its successor in a hot restart. Both processes are the same relay
//! and have one common share of each slow-start budget, so the waits for slots are handed over too.

use crate::balancer::Balancer;
use crate::estimate::{clamp, SESSION_LOAD, SLOT_SESSION_LOAD};
use crate::server::Server;
use crate::slow_start::SlotWait;
use crate::types::{LoadReport, Micros, PastReport, ServerId, ServerSnapshot, SlotSnapshot, Snapshot};

/// The window of the placed sessions that are handed over, in microseconds: the full window of a rolling sum.
const RECENT_SESSIONS_WINDOW: Micros = 8_000_000;

impl Balancer {
    /// Returns the state to hand over to the successor of this process.
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        let servers = self.servers.iter().map(|(&id, server)| server.snapshot(id, now)).collect();
        Snapshot { session_load: self.estimate.slot_session_load, servers }
    }

    /// Restores the state of the predecessor. If this process has a newer report of a server, it keeps the
    /// newer report. Servers that this process does not know are skipped.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.estimate.session_load = clamp(snapshot.session_load, &SESSION_LOAD);
        self.estimate.slot_session_load = clamp(snapshot.session_load, &SLOT_SESSION_LOAD);
        for server in snapshot.servers {
            self.restore_server(server);
        }
        self.estimate.valid_until = self.now;
    }

    fn restore_server(&mut self, snapshot: ServerSnapshot) {
        let Some(server) = self.servers.get_mut(&snapshot.server) else { return };
        if let Some(PastReport { age, report }) = snapshot.report {
            let reported_at = self.now.saturating_sub(age);
            if server.last_report_at.is_none_or(|own| own < reported_at) {
                server.record_report(reported_at, Some(report));
                server.misses = snapshot.misses;
            }
        }
        let SlotSnapshot { age, interval_fraction } = snapshot.slot;
        server.slot_wait = SlotWait { since: self.now.saturating_sub(age), interval_fraction };
        server.net_sessions.add(self.now, snapshot.recent_sessions);
        self.net_sessions.add(self.now, snapshot.recent_sessions);
    }
}

impl Server {
    fn snapshot(&self, id: ServerId, now: Micros) -> ServerSnapshot {
        let report = LoadReport {
            load: Some(self.load),
            queue_delay: Some(self.queue_delay),
            sessions: Some(self.sessions),
        };
        let age = |then: Micros| now.saturating_sub(then);
        let recent_sessions = self.net_sessions.sum(now, RECENT_SESSIONS_WINDOW);
        ServerSnapshot {
            server: id,
            report: self.last_report_at.map(|then| PastReport { age: age(then), report }),
            misses: self.misses,
            recent_sessions,
            slot: SlotSnapshot {
                age: age(self.slot_wait.since),
                interval_fraction: self.slot_wait.interval_fraction,
            },
        }
    }
}
