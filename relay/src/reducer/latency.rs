//! What backends report and messages show of load and latency within open sessions.
use super::{Effect, LatencyReport, Reducer};
use hallrelay_balancer::types::{Input, Micros, SessionId};

/// Backends report message delays once in this time on a session; loads come at other times.
const DELAY_REPORT_INTERVAL: Micros = 1_000_000;

/// How far a report may be off that interval and still count as a delay: a busy relay reads a little late,
/// and with more load reports would count.
const DELAY_REPORT_TOLERANCE: Micros = 5_000;

/// Message latency is reported to the balancer at most once in this time for each server.
const LATENCY_REPORT_INTERVAL: Micros = 1_000_000;

/// The latency objective where no listener has one.
const DEFAULT_MESSAGE_TARGET: Micros = 1_000_000;

/// Latency below this part of the smallest objective is not reported.
const LATENCY_OBJECTIVE_DIVISOR: Micros = 3;

impl Reducer {
    /// A value that a backend reported within a session. Backends use one word for a session's load and for
    /// its message delay in milliseconds: a value that comes one interval after the last is a delay.
    pub(super) fn load_reported(&mut self, session_id: SessionId, load: f64, out: &mut Vec<Effect>) {
        if !self.is_proxying(session_id) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let last = session.last_load_at.replace(self.now);
        let is_periodic = last
            .is_some_and(|last| (self.now - last).abs_diff(DELAY_REPORT_INTERVAL) <= DELAY_REPORT_TOLERANCE);
        let delay = load / 1e3;
        // A message that takes longer than this counts as lost, not as late.
        let max_delay = self.node.limits.silence_timeout as f64 / 1e6;
        let input = if self.node.site.tells_delay && is_periodic && delay <= max_delay {
            Input::MessageDelay { session: session_id, delay }
        } else {
            Input::SessionLoad { session: session_id, load }
        };
        self.step_balancer(input, out);
    }

    /// A message of a session took this long. The balancer is notified while a server's messages are slow,
    /// and once more when that is over.
    pub(super) fn latency_measured(&mut self, session_id: SessionId, time: Micros, out: &mut Vec<Effect>) {
        if !self.is_proxying(session_id) {
            return;
        }
        let Some(server) = self.sessions[&session_id].server else { return };
        let Some(entry) = self.servers.get_mut(&server) else { return };
        let objectives = self.node.site.facts.listeners.iter().map(|listener| listener.message_target);
        let smallest = objectives.min().unwrap_or(DEFAULT_MESSAGE_TARGET);
        let above_threshold = time > smallest / LATENCY_OBJECTIVE_DIVISOR;
        let last = entry.latency_report.reported_at;
        let is_due = last.is_none_or(|last| self.now >= last + LATENCY_REPORT_INTERVAL);
        if !is_due || (!above_threshold && !entry.latency_report.above_threshold) {
            return;
        }
        entry.latency_report = LatencyReport { reported_at: Some(self.now), above_threshold };
        self.step_balancer(Input::MessageDelay { session: session_id, delay: time as f64 / 1e6 }, out);
    }
}
