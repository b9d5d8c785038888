//! Probes: which server is asked for a report next, and what its answer changes.

use super::*;

impl Relay {
    /// Asks a server for a report, unless an answer is awaited.
    pub(super) fn probe(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let Some(v) = self.servers.get_mut(&server).filter(|v| !v.probe_pending) else { return };
        (v.last_probe, v.probe_pending) = (self.now, true);
        self.probe_credit -= 1.0;
        out.push(Effect::Probe { server });
    }

    /// One probe, where more is saved up than six sessions need (1, 3, 12 tried), and the next tick.
    pub(super) fn probe_tick(&mut self, out: &mut Vec<Effect>) {
        if !self.site.may_probe {
            return;
        }
        let spare = self.probe_credit - 6.0 * POOL as f64;
        // What is saved up is spent over some eight seconds, no faster than twice a second on each server.
        let least = SECOND as f64 / 2.0 / self.servers.len().max(1) as f64;
        let after = (8.0 * SECOND as f64 / spare.max(4.0)).max(least) as Micros;
        out.push(Effect::Alarm { after, label: PROBE });
        let idle = self.servers.values().filter(|v| v.entry.ready() && !v.probe_pending && spare >= 1.0);
        if let Some(server) = idle.min_by_key(|v| v.last_probe).map(|v| v.entry.server) {
            self.probe(server, out);
        }
    }

    /// Takes in a probe's answer; the estimate is read again with it.
    pub(super) fn probe_ended(&mut self, server: ServerId, end: DialEnd, report: Option<Report>) {
        let Some(v) = self.servers.get_mut(&server) else { return };
        v.probe_pending = false;
        if end == DialEnd::Ok {
            v.misses = 0;
            v.record_report(self.now, report);
        } else if !matches!(end, DialEnd::Full | DialEnd::Moot) {
            v.misses += 1; // a full one lives; of one that was not asked nothing is learnt
        }
        self.estimate.valid_until = self.now;
    }
}

impl Server {
    /// Keeps a report that has a load.
    pub(super) fn record_report(&mut self, now: Micros, report: Option<Report>) {
        if let Some(Report { load: Some(load), piled, held }) = report {
            (self.last_report, self.load) = (Some(now), load);
            (self.queue_delay, self.sessions) = (piled.unwrap_or(0.0), held.unwrap_or(0.0));
        }
    }
}
