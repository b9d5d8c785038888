//! Channels to other processes of this relay during a hot restart, and the handover of a session through such
//! a channel.
use super::Hub;
use hallrelay_hot_restart::{encode, Message, ProcessId, SessionState};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

/// A command for the task that is connected to another process.
pub enum ProcessCommand {
    /// Sends a message.
    Send(Message),
    /// Sends a session with its sockets.
    HandOver(SessionHandover),
}

/// A session to send to another process.
pub struct SessionHandover {
    /// The encoded message.
    pub message: Vec<u8>,
    /// The session's sockets.
    pub sockets: SessionSockets,
    /// Receives `Ok` once the session is sent, or its sockets if it could not be sent.
    pub result: oneshot::Sender<Result<(), SessionSockets>>,
}

/// The two connections of an open session.
pub struct SessionSockets {
    /// The connection to the client.
    pub client: TcpStream,
    /// The connection to the backend.
    pub backend: TcpStream,
}

/// Hands a session over to another process.
///
/// # Errors
/// Returns the sockets if that process has disconnected, or the session cannot be encoded or sent. Returns
/// `None` if the sockets were lost with the connection to that process.
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
