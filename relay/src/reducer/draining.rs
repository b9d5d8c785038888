//! How a drain or a stop empties this process: sessions are migrated in batches, so that the backends do
//! not get all of them at once, and whoever still waits at the end is answered.
use super::lifecycle::Lifecycle;
use super::sessions::final_answer;
use super::{Effect, Reducer, SessionStage, Timer};
use hallrelay_balancer::types::{Micros, SessionId};

/// The pause between two batches.
const BATCH_INTERVAL: Micros = 50_000;
/// A session in thousandths, the unit in which parts of a session are saved up for later batches.
const THOUSANDTHS: usize = 1000;

impl Reducer {
    /// A drain or a stop counts from now. The first batch moves at least one session.
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

    /// Whether a drain has not yet had its time. Clients that still come past the front afterwards are
    /// rejected.
    pub(super) fn accepts_sessions(&self) -> bool {
        self.draining_since().is_none_or(|since| self.now < since + self.node.limits.drain_admission_time)
    }

    /// Whether the time of a stop is over: who still comes is rejected at once, and delays the stop no
    /// further.
    pub(super) fn is_past_stop_deadline(&self) -> bool {
        let end = self.lifecycle.migration_schedule(&self.node.limits).end;
        self.is_stopping() && self.now >= self.lifecycle_since + end
    }

    /// Moves the next batch of sessions, or ends the process.
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
        // With few sessions most batches move none.
        self.migration_credit += open.len() * THOUSANDTHS / batches_left as usize;
        let count = self.migration_credit / THOUSANDTHS;
        self.migration_credit %= THOUSANDTHS;
        open.into_iter().take(count).for_each(|session_id| self.migrate_session(session_id, out));
        let timer = Timer::MigrateBatch(self.migration_round);
        out.push(Effect::StartTimer { after: BATCH_INTERVAL, timer });
    }

    /// Ends a process that stops and is empty, or has had its time; whether it ends.
    fn try_to_exit(&mut self, out: &mut Vec<Effect>) -> bool {
        let limits = self.node.limits;
        let elapsed = self.now - self.lifecycle_since;
        let is_replaced = self.lifecycle == Lifecycle::HandedOverStopping;
        if is_replaced {
            self.stop_watching(out);
        }
        // Connections without a session, clients in the middle of their first line among them, are not
        // waited for: they are rejected, and have a moment to read that.
        let idle_connections_are_done =
            self.idle_connections.is_empty() || elapsed >= limits.stop_end_delay + BATCH_INTERVAL;
        if elapsed >= limits.stop_end_delay {
            let idle = self.idle_connections.drain(..);
            out.extend(idle.map(|idle| Effect::ShedConnection { connection_id: idle.connection_id }));
        }
        let is_empty = self.sessions.is_empty() && idle_connections_are_done;
        // Shortly before the process may be killed: every client got an answer or `MOVE` by then.
        let is_out_of_time = elapsed >= limits.stop_end_delay + 2 * BATCH_INTERVAL;
        if is_out_of_time || is_empty && (elapsed >= limits.min_stop_delay || is_replaced) {
            self.leave_fleet(out);
            out.push(Effect::Exit);
            return true;
        }
        false
    }

    /// Answers the sessions that still wait as a drain or a stop ends, whose dial timeout may be of older
    /// settings: a rejection where nothing was sent, else a failure.
    fn answer_waiting(&mut self, out: &mut Vec<Effect>) {
        let waiting = self.sessions.iter().filter(|(_, session)| session.stage.awaits_answer());
        let answers: Vec<(SessionId, Effect)> =
            waiting.map(|(id, session)| (*id, final_answer(*id, session.dials))).collect();
        for (session_id, answer) in answers {
            self.answer_waiting_session(session_id, answer, out);
        }
    }
}
