//! How a drain or a stop empties this process: sessions are migrated in batches, so that the backends do
//! not get all of them at once, and clients that still wait at the end are answered.
use super::lifecycle::Lifecycle;
use super::sessions::final_answer;
use super::{Effect, Reducer, SessionStage, Timer};
use hallrelay_balancer::types::{Micros, SessionId};

/// Interval between batches.
const BATCH_INTERVAL: Micros = 50_000;
/// One session in thousandths, the unit in which fractions of a session are carried over to later batches.
const THOUSANDTHS: usize = 1000;

impl Reducer {
    /// Starts to count the times of a drain or stop from now; timers of an earlier one are ignored. The
    /// initial credit makes the first batch migrate at least one session.
    pub(super) fn begin_migration_round(&mut self) {
        self.lifecycle_since = self.now;
        self.migration_round += 1;
        self.migration_credit = THOUSANDTHS - 1;
    }

    pub(super) fn start_migration(&mut self, out: &mut Vec<Effect>) {
        let after = self.lifecycle.migration_schedule(&self.node.limits).start;
        out.push(Effect::StartTimer { after, timer: Timer::MigrateBatch(self.migration_round) });
        self.answer_pings(out);
    }

    /// Whether new sessions are accepted. A draining relay accepts them for a limited time after the drain
    /// has begun; clients that the front sends here later are rejected.
    pub(super) fn accepts_sessions(&self) -> bool {
        self.draining_since().is_none_or(|since| self.now < since + self.node.limits.drain_admission_time)
    }

    /// Whether the time for migrations in a stop has passed. New clients are then rejected immediately, so
    /// that they do not delay the stop.
    pub(super) fn is_past_stop_deadline(&self) -> bool {
        let end = self.lifecycle.migration_schedule(&self.node.limits).end;
        self.is_stopping() && self.now >= self.lifecycle_since + end
    }

    /// Migrates the next batch of sessions, or ends the process.
    pub(super) fn migrate_batch(&mut self, out: &mut Vec<Effect>) {
        if self.is_stopping() && self.try_to_exit(out) {
            return;
        }
        let elapsed = self.now - self.lifecycle_since;
        let end = self.lifecycle.migration_schedule(&self.node.limits).end;
        if elapsed >= end {
            self.answer_waiting(out);
            if self.draining_since().is_some() && self.sessions.is_empty() && !self.accepts_sessions() {
                return;
            }
        }
        let open: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.stage == SessionStage::Proxying)
            .map(|(id, _)| *id)
            .collect();
        let batches_left = end.saturating_sub(elapsed) / BATCH_INTERVAL + 1;
        // With few sessions, most batches migrate none.
        self.migration_credit += open.len() * THOUSANDTHS / batches_left as usize;
        let count = self.migration_credit / THOUSANDTHS;
        self.migration_credit %= THOUSANDTHS;
        open.into_iter().take(count).for_each(|session_id| self.migrate_session(session_id, out));
        let timer = Timer::MigrateBatch(self.migration_round);
        out.push(Effect::StartTimer { after: BATCH_INTERVAL, timer });
    }

    /// Ends this stopping process if it has no sessions or its time is over. Returns whether the process
    /// ends.
    fn try_to_exit(&mut self, out: &mut Vec<Effect>) -> bool {
        let limits = self.node.limits;
        let elapsed = self.now - self.lifecycle_since;
        let is_replaced = self.lifecycle == Lifecycle::HandedOverStopping;
        if is_replaced {
            self.stop_watching(out);
        }
        // The stop does not wait for connections without a session, even in the middle of their first line.
        // They are rejected, and get one more batch interval to read the answer.
        let idle_connections_are_done =
            self.idle_connections.is_empty() || elapsed >= limits.stop_end_delay + BATCH_INTERVAL;
        if elapsed >= limits.stop_end_delay {
            let idle = self.idle_connections.drain(..);
            out.extend(idle.map(|idle| Effect::ShedConnection { connection_id: idle.connection_id }));
        }
        let is_empty = self.sessions.is_empty() && idle_connections_are_done;
        // The supervisor may kill the process soon after this time. Every client has had an answer or `MOVE`
        // by now.
        let is_out_of_time = elapsed >= limits.stop_end_delay + 2 * BATCH_INTERVAL;
        if is_out_of_time || is_empty && (elapsed >= limits.min_stop_delay || is_replaced) {
            self.leave_fleet(out);
            out.push(Effect::Exit);
            return true;
        }
        false
    }

    /// Answers the sessions that still wait when a drain or a stop ends: with a rejection if nothing was sent
    /// to a backend, else with a failure. Dial timeouts of such sessions may stem from older settings, and so
    /// end later than the drain or stop.
    fn answer_waiting(&mut self, out: &mut Vec<Effect>) {
        let waiting = self.sessions.iter().filter(|(_, session)| session.stage.awaits_answer());
        let answers: Vec<(SessionId, Effect)> =
            waiting.map(|(id, session)| (*id, final_answer(*id, session.dials))).collect();
        for (session_id, answer) in answers {
            self.answer_waiting_session(session_id, answer, out);
        }
    }
}
