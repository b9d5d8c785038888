//! Load and latency within open sessions: the values that backends report, and the time from each message to
//! its answer.
use super::{Effect, LatencyReport, Reducer};
use hallrelay_balancer::types::{Input, Micros, SessionId};

/// Interval at which a backend reports the message delay of a session. Loads come at irregular times.
const DELAY_REPORT_INTERVAL: Micros = 1_000_000;

/// Largest deviation from that interval at which a value still counts as a delay. Of 87 values that came a
/// second apart to within 10 ms, 84 were a second apart to the millisecond. The tolerance allows for a busy
/// relay that reads a little late; with a larger one, more loads would count as delays.
const DELAY_REPORT_TOLERANCE: Micros = 5_000;

/// Shortest interval between reports of a server's message latency to the balancer.
const LATENCY_REPORT_INTERVAL: Micros = 1_000_000;

/// The latency objective if no listener has one.
const DEFAULT_MESSAGE_TARGET: Micros = 1_000_000;

/// Latency below this fraction (a third) of the smallest objective is not reported: no client notices it.
const LATENCY_OBJECTIVE_DIVISOR: Micros = 3;

impl Reducer {
    /// Handles a value that a backend reported within a session. Backends use the same word for the session's
    /// load and for its message delay in milliseconds: a value that comes one interval after the last one is
    /// a delay. A delay misread as a load would make a slow backend look like one with light sessions.
    pub(super) fn load_reported(&mut self, session_id: SessionId, load: f64, out: &mut Vec<Effect>) {
        if !self.is_proxying(session_id) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let last = session.last_load_at.replace(self.now);
        let is_periodic = last
            .is_some_and(|last| (self.now - last).abs_diff(DELAY_REPORT_INTERVAL) <= DELAY_REPORT_TOLERANCE);
        let delay = load / 1e3;
        // A message that takes longer counts as lost, not as late.
        let max_delay = self.node.limits.silence_timeout as f64 / 1e6;
        let input = if self.node.site.tells_delay && is_periodic && delay <= max_delay {
            Input::MessageDelay { session: session_id, delay }
        } else {
            Input::SessionLoad { session: session_id, load }
        };
        self.step_balancer(input, out);
    }

    /// Handles the time that a message of a session took to be answered. The balancer is notified while a
    /// server's messages are slow, and once more when they no longer are.
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
