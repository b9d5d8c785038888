//! What the reducer knows of one session.
use hallrelay_balancer::types::{AdmissionRequest, Micros, ServerId};
use std::rc::Rc;

/// Where a session stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SessionStage {
    /// The balancer decides where it goes, or lets it wait.
    AwaitingPlacement,
    /// A dial is out for it.
    Dialing,
    /// Open: lines are proxied both ways.
    Proxying,
    /// Its client got `MOVE`; it ends with its backend's connection.
    Migrating,
    /// It is being handed over to another process.
    HandingOver,
}

impl SessionStage {
    /// Whether its client still waits for the final answer.
    pub fn awaits_answer(self) -> bool {
        matches!(self, SessionStage::AwaitingPlacement | SessionStage::Dialing)
    }
}

/// One session, from its request to its end.
pub(super) struct Session {
    /// The id that its client gave it.
    pub client_session_id: u64,
    /// The name of its listener when it was requested.
    pub listener: Rc<str>,
    pub request: AdmissionRequest,
    pub stage: SessionStage,
    /// Where it was dialled last, or is open.
    pub server: Option<ServerId>,
    /// Dials so far.
    pub dials: u32,
    /// When its final answer is due.
    pub deadline: Micros,
    /// When its backend reported a load last.
    pub last_load_at: Option<Micros>,
    /// It was open at its backend before this process started and is to be resumed there. The balancer learns
    /// of it once it is open again.
    pub is_resuming: bool,
}
