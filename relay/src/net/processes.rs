//! Channels to other processes of this relay during a hot restart, and the handover of one session through
//! them.
use super::Hub;
use hallrelay_hot_restart::{encode, Message, ProcessId, SessionState};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

/// What the task of another process's connection is to do.
pub enum ProcessCommand {
    /// Sends a message.
    Send(Message),
    /// Sends a session with its sockets.
    HandOver(SessionHandover),
}

/// A session that is being sent to another process.
pub struct SessionHandover {
    /// The encoded message.
    pub message: Vec<u8>,
    /// Its sockets.
    pub sockets: SessionSockets,
    /// Whether the other process has it; the sockets come back where it could not be sent.
    pub result: oneshot::Sender<Result<(), SessionSockets>>,
}

/// The two connections of an open session.
pub struct SessionSockets {
    /// The client's.
    pub client: TcpStream,
    /// The backend's.
    pub backend: TcpStream,
}

/// Hands a session over to another process.
///
/// # Errors
/// The sockets, where that process is gone or the session cannot be encoded; none where they are lost with
/// its connection.
pub async fn hand_over_session(
    process: ProcessId,
    session: Box<SessionState>,
    sockets: SessionSockets,
    hub: &Hub,
) -> Result<(), Option<SessionSockets>> {
    let channel = hub.processes.borrow().get(&process).cloned();
    let Some(channel) = channel else { return Err(Some(sockets)) };
    let Ok(message) = encode(&Message::Session(session)) else { return Err(Some(sockets)) };
    let (result, handed_over) = oneshot::channel();
    let handover = SessionHandover { message, sockets, result };
    match channel.send(ProcessCommand::HandOver(handover)).await {
        Ok(()) => handed_over.await.map_err(|_| None)?.map_err(Some),
        Err(mpsc::error::SendError(ProcessCommand::HandOver(unsent))) => Err(Some(unsent.sockets)),
        Err(mpsc::error::SendError(ProcessCommand::Send(_))) => Err(None),
    }
}
