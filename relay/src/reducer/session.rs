//! The reducer's state of one session.
use hallrelay_balancer::types::{AdmissionRequest, Micros, ServerId};
use std::rc::Rc;

/// The stage of a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SessionStage {
    /// The balancer is choosing a backend, or lets the session wait.
    AwaitingPlacement,
    /// A dial is in progress.
    Dialing,
    /// The session is open: lines are proxied in both directions.
    Proxying,
    /// The client got `MOVE`. The session ends when its backend's connection ends.
    Migrating,
    /// The session is being handed over to another process.
    HandingOver,
}

impl SessionStage {
    /// Whether the client still waits for its final answer.
    pub fn awaits_answer(self) -> bool {
        matches!(self, SessionStage::AwaitingPlacement | SessionStage::Dialing)
    }
}

/// One session, from its request to its end.
pub(super) struct Session {
    /// The id that the client gave the session.
    pub client_session_id: u64,
    /// The name of the listener at the time of the request.
    pub listener: Rc<str>,
    pub request: AdmissionRequest,
    pub stage: SessionStage,
    /// The server that was dialled last, or at which the session is open.
    pub server: Option<ServerId>,
    /// Number of dials so far.
    pub dials: u32,
    /// When the final answer is due, at the latest `answer_margin` before the client's own deadline.
    pub deadline: Micros,
    /// When the backend last reported a load.
    pub last_load_at: Option<Micros>,
    /// Whether a second run of the session would not be dropped by its backend.
    pub must_not_repeat: bool,
    /// Whether a dial that has ended may have run the session.
    pub may_have_run: bool,
    /// Whether the session was open at its backend before this process started and is to be resumed there.
    /// The balancer is notified of it only once it is open again.
    pub is_resuming: bool,
}
