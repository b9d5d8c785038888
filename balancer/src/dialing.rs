//! Dials: how a session is dialled or waits for load reports, what the result of a dial shows about the
//! server, and how sessions are counted.

use crate::balancer::{Balancer, GroupKey, REPORTS_TIMER, SECOND};
use crate::retry::PossibleRun;
use crate::session::{Event, State};
use crate::slow_start::SlotWait;
use crate::types::{DialEnd, Effect, LoadReport, Micros, ServerId, SessionId};

impl Balancer {
    /// Dials the server on which a session was placed. A session has at most one dial in flight.
    pub(crate) fn dial(&mut self, id: SessionId, effects: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let server_id = session.server;
        session.dials += 1;
        session.dialled_at = self.now;
        session.weight = 1.0;
        session.dialled_servers.push(server_id);
        let timeout = session.dial_timeout(self.now);
        let send_within = session.send_within(self.now);
        effects.push(Effect::Dial { session: id, server: server_id, timeout, send_within });
        self.count_session(id, 1);
        self.last_dial_at = self.now;
        let server = self.servers.get_mut(&server_id).expect("a session is placed only on a listed server");
        server.slot_wait = SlotWait { since: self.now, interval_fraction: 1.0 };
        server.dials.add(self.now, 1.0);
    }

    /// Makes a session wait for reports, and probes the servers whose reports it needs.
    pub(crate) fn await_reports(&mut self, id: SessionId, effects: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let after = session.report_deadline - self.now;
        let awaited = session.awaited_reports.clone();
        effects.push(Effect::SetTimer { after, label: REPORTS_TIMER });
        self.awaiting_reports.push(id);
        for server in awaited {
            self.probe(server, effects);
        }
    }

    /// Evaluates each waiting session again that has all of its awaited reports or whose report deadline has
    /// passed. `answered` is the server whose probe ended, or `None` if a timer expired.
    pub(crate) fn reevaluate_waiting(&mut self, answered: Option<ServerId>, effects: &mut Vec<Effect>) {
        let mut due = Vec::new();
        self.awaiting_reports.retain(|&id| {
            let Some(session) = self.sessions.get_mut(&id) else { return false };
            session.awaited_reports.retain(|server| Some(*server) != answered);
            let is_due = session.awaited_reports.is_empty() || self.now >= session.report_deadline;
            if is_due {
                due.push(id);
            }
            !is_due
        });
        for id in due {
            self.advance(id, Event::EvaluationDue, effects);
        }
    }

    /// Records how a session's last dial, or the session established by it, ended: the server's report and
    /// faults, and whether the request may have run.
    pub(crate) fn record_dial_end(&mut self, id: SessionId, end: DialEnd, report: Option<LoadReport>) {
        let may_have_run = end.may_have_run();
        if may_have_run {
            self.count_dial(id, end == DialEnd::Ok);
        }
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let Some(server) = self.servers.get_mut(&session.server) else { return };
        let is_fault = matches!(end, DialEnd::Error | DialEnd::Reset | DialEnd::Timeout);
        if is_fault {
            // The client retries immediately, which puts the same load on the fleet again. With weight 0 the
            // end of this session does not lower the estimated load.
            session.weight = 0.0;
        }
        if may_have_run {
            let endpoint = &server.endpoint;
            let run = PossibleRun { since: session.dialled_at, zone: endpoint.zone, cell: endpoint.cell };
            session.may_have_run.get_or_insert(run);
            server.faults.add(self.now, f64::from(is_fault));
        } else if end == DialEnd::Unconnected {
            server.misses += 1;
        }
        server.record_report(self.now, report);
    }

    /// Counts a session as placed on its server (`change` is 1) or as ended there (`change` is -1), in all
    /// sums that correct the last load reports until newer reports arrive.
    pub(crate) fn count_session(&mut self, id: SessionId, change: i32) {
        let session = &self.sessions[&id];
        let group_key = GroupKey { server: session.server, group: session.request.group };
        let returned = change > 0 && session.request.returned;
        // The load of an adopted session is already included in the reports.
        let is_reported = change > 0 && session.state == State::Established;
        let weight = if is_reported { 0.0 } else { session.weight };
        let load_change = f64::from(change) * weight;

        self.own_sessions = self.own_sessions.saturating_add_signed(change);
        let is_from_other_relay = returned && !self.has_missing_sessions();
        self.count_disconnect(change, returned && !is_from_other_relay);
        let fleet_change = if is_from_other_relay { 0.0 } else { load_change };
        self.net_sessions.add(self.now, fleet_change);
        self.estimate.busy += fleet_change * self.estimate.fleet_factor * self.estimate.session_load;
        self.count_group_member(group_key, change);
        if let Some(server) = self.servers.get_mut(&group_key.server) {
            server.net_sessions.add(self.now, load_change);
        }
    }

    /// Whether sessions of this relay that ended in the last 8 s may still return. If no such session is
    /// missing, a returned session comes from another relay, and the load reports already include its load.
    fn has_missing_sessions(&self) -> bool {
        const WINDOW: Micros = 8 * SECOND;
        /// The number by which returned sessions may exceed ended ones at random, as a fraction of this
        /// relay's sessions.
        const CHANCE_RATIO: f64 = 0.2;
        self.disconnects.sum(self.now, WINDOW) >= -CHANCE_RATIO * f64::from(self.own_sessions)
    }

    fn count_disconnect(&mut self, change: i32, is_return: bool) {
        let is_counted = change < 0 || is_return;
        self.disconnects.add(self.now, f64::from(-change * i32::from(is_counted)));
    }

    fn count_group_member(&mut self, key: GroupKey, change: i32) {
        let members = self.group_sessions.entry(key).or_insert(0);
        *members = members.saturating_add_signed(change);
        let is_ungrouped = key.group == 0;
        if *members == 0 || is_ungrouped {
            self.group_sessions.remove(&key);
        }
    }
}
