//! What goes to another process of this relay, and how a session's task sends it there.
use super::Hub;
use hallrelay_hot_restart::{encode, Message, PeerId, SessionState};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

/// What goes to another process.
pub enum Out {
    Say(Message),
    /// A session, as a message with its sockets; whether these are gone, or come back.
    Pass(Vec<u8>, Sockets, oneshot::Sender<Result<(), Sockets>>),
}

/// An open session's client and backend.
pub struct Sockets {
    pub client: TcpStream,
    pub backend: TcpStream,
}

/// Passes a session on to another process; where that is not there any more, its sockets come back.
pub async fn pass(
    peer: PeerId,
    session: Box<SessionState>,
    sockets: Sockets,
    hub: &Hub,
) -> Result<(), Option<Sockets>> {
    let way = hub.peers.borrow().get(&peer).cloned();
    let Some(way) = way else { return Err(Some(sockets)) };
    let Ok(line) = encode(&Message::Session(session)) else { return Err(Some(sockets)) };
    let (told, gone) = oneshot::channel();
    match way.send(Out::Pass(line, sockets, told)).await {
        Ok(()) => gone.await.map_err(|_| None)?.map_err(Some),
        Err(mpsc::error::SendError(Out::Pass(_, sockets, _))) => Err(Some(sockets)),
        Err(_) => Err(None),
    }
}
