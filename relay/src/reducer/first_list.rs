//! The first endpoint list of a process, where lists are pushed. What discovery has counts as known to the
//! relay from the first moment of the process, but the list of the store or the configuration may be older.
//! The process therefore serves only after discovery's first answer, and until then neither says that it is
//! ready nor places a session.
use super::{log, Effect, Reducer, SessionStage, Timer};
use hallrelay_balancer::types::{AdmissionRequest, Input, Micros, SessionId};

/// Longest wait for the first answer. A relay must be ready within 10 s of its start, also if discovery does
/// not answer.
const FIRST_LIST_TIMEOUT: Micros = 8_000_000;

impl Reducer {
    /// Waits for discovery's first answer, if lists are pushed and it has not answered yet.
    pub(super) fn await_first_list(&mut self, out: &mut Vec<Effect>) {
        let is_pushed = !self.node.site.facts.must_watch;
        if is_pushed && self.last_discovery_answer_at.is_none() {
            self.awaits_first_list = true;
            out.push(Effect::StartTimer { after: FIRST_LIST_TIMEOUT, timer: Timer::FirstListTimeout });
        }
    }

    pub(super) fn first_list_timed_out(&mut self, out: &mut Vec<Effect>) {
        if self.awaits_first_list {
            log("discovery has not answered since the start: serving by the known list", out);
            self.end_wait_for_list(out);
        }
    }

    /// Serves from now on, if that waits for discovery's first answer.
    pub(super) fn end_wait_for_list(&mut self, out: &mut Vec<Effect>) {
        if !std::mem::take(&mut self.awaits_first_list) {
            return;
        }
        self.refresh_metadata(out);
        self.answer_pings(out);
        for session_id in self.held_sessions() {
            self.place_held_session(session_id, out);
        }
    }

    /// The sessions that the balancer has not got, since this process does not place any yet. Those that are
    /// resumed do not wait for the list.
    fn held_sessions(&self) -> Vec<SessionId> {
        let is_held = |session: &super::Session| {
            session.stage == SessionStage::AwaitingPlacement && !session.is_resuming
        };
        self.sessions.iter().filter(|(_, session)| is_held(session)).map(|(id, _)| *id).collect()
    }

    fn place_held_session(&mut self, session_id: SessionId, out: &mut Vec<Effect>) {
        let Some(session) = self.sessions.get_mut(&session_id) else { return };
        let time_remaining = session.deadline.saturating_sub(self.now);
        session.request = AdmissionRequest { time_remaining, ..session.request };
        let request = session.request;
        self.step_balancer(Input::SessionRequested { session: session_id, request }, out);
    }
}
