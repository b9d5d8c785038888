//! The Unix socket over which a process hands over to its successor. It is created in `$TMPDIR` and is
//! accessible only to its owner. A message is a line of JSON. The listening socket is attached to the offer,
//! and the two sockets of a session to the message about the session.
use super::processes::{ProcessCommand, SessionHandover, SessionSockets};
use super::{accept, proxy, Hub};
use crate::clock::span;
use crate::lines::sanitize;
use crate::reducer::Event;
use crate::socket::uninterrupted;
use hallrelay_config::node::Node;
use hallrelay_hot_restart::codec::MAX_MESSAGE_BYTES;
use hallrelay_hot_restart::message::VERSION;
use hallrelay_hot_restart::{decode, encode, Message, MessageError, OwnershipEvent, ProcessId, SessionState};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::timeout;

/// The id of the predecessor. Processes that connect to this one are numbered from the next id.
const PREDECESSOR: ProcessId = 0;
/// Largest number of sockets attached to one message: those of a session's client and of its backend.
const MAX_SOCKETS: usize = 2;
/// The system's limit for the path of a Unix socket, without the terminating zero byte.
const MAX_SOCKET_PATH_BYTES: usize = 107;
/// Size of the buffer for one read, in bytes.
const READ_BYTES: usize = 16_384;

/// Why the takeover socket, the Unix socket at which a process waits for its successor, has no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    #[error("no directory for the takeover socket: TMPDIR is not set or empty")]
    NoDirectory,
    #[error("path of the takeover socket is too long: {bytes} bytes, at most {MAX_SOCKET_PATH_BYTES}")]
    TooLong { bytes: usize },
}

/// Why this process cannot take over from the running process.
#[derive(Debug, thiserror::Error)]
pub enum TakeoverError {
    #[error("set the read timeout of takeover socket {}: {source}", .path.display())]
    Socket { path: PathBuf, source: io::Error },
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error("answer of the running process is too long: {bytes} bytes, at most {MAX_MESSAGE_BYTES}")]
    AnswerTooLong { bytes: usize },
    #[error("the running process refused the takeover and continues to serve: {reason}")]
    Rejected { reason: String },
    #[error("the running process sent its offer without the listening socket")]
    NoSocket,
    /// The listening socket that was offered has another address, or its address cannot be read.
    #[error("the running process does not listen on the configured address {0}")]
    OtherAddress(SocketAddr),
    #[error("the running process sent an unexpected answer, wanted an offer or a rejection: {0:?}")]
    Unexpected(Box<Message>),
}

/// Why input from another process is invalid.
#[derive(Debug, thiserror::Error)]
enum ReceiveError {
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error("session received without its two sockets")]
    NoSockets,
    #[error("use a received socket of a session: {0}")]
    Socket(#[from] io::Error),
}

/// Returns the path of the socket through which processes of one relay connect.
pub fn socket_path(node: &Node) -> Result<PathBuf, PathError> {
    let directory =
        std::env::var_os("TMPDIR").filter(|path| !path.is_empty()).ok_or(PathError::NoDirectory)?;
    let path = Path::new(&directory).join(format!("hallrelay-{:.64}.sock", sanitize(&node.name)));
    if path.as_os_str().len() > MAX_SOCKET_PATH_BYTES {
        return Err(PathError::TooLong { bytes: path.as_os_str().len() });
    }
    Ok(path)
}

/// An offer of the running process: the connection to it, and its listening socket.
pub struct Offer {
    pub stream: std::os::unix::net::UnixStream,
    pub listening_socket: std::net::TcpListener,
}

/// Requests the running process to hand over. Returns `None` if no process runs, or if it does not answer.
pub fn request_takeover(path: &Path, node: &Node) -> Result<Option<Offer>, TakeoverError> {
    // No process listens at the path, or the path does not exist.
    let Ok(stream) = uninterrupted(|| std::os::unix::net::UnixStream::connect(path)) else {
        return Ok(None);
    };
    stream
        .set_read_timeout(Some(span(node.limits.listener_offer_timeout)))
        .map_err(|source| TakeoverError::Socket { path: path.to_path_buf(), source })?;
    let hello = Message::Hello { version: VERSION, name: node.name.clone(), listen: node.listen.to_string() };
    if io::Write::write_all(&mut &stream, &encode(&hello)?).is_err() {
        return Ok(None);
    }
    let mut incoming = Incoming::default();
    while !incoming.bytes.ends_with(b"\n") {
        match incoming.receive(stream.as_fd()) {
            Ok(1..) if incoming.bytes.len() <= MAX_MESSAGE_BYTES => {}
            Ok(1..) => return Err(TakeoverError::AnswerTooLong { bytes: incoming.bytes.len() }),
            // The other process ended or does not respond. This process then starts without a predecessor,
            // which fails if the address is in use.
            _ => return Ok(None),
        }
    }
    match decode(incoming.bytes.trim_ascii_end())? {
        Message::Rejected { reason } => Err(TakeoverError::Rejected { reason }),
        Message::Offer { .. } => {
            let socket = incoming.sockets.pop_front().ok_or(TakeoverError::NoSocket)?;
            let listening_socket = std::net::TcpListener::from(socket);
            match listening_socket.local_addr() {
                Ok(address) if address == node.listen => Ok(Some(Offer { stream, listening_socket })),
                _ => Err(TakeoverError::OtherAddress(node.listen)),
            }
        }
        other => Err(TakeoverError::Unexpected(Box::new(other))),
    }
}

/// Bytes and sockets that were received and not yet used.
#[derive(Default)]
struct Incoming {
    bytes: Vec<u8>,
    /// The received sockets, in order.
    sockets: VecDeque<OwnedFd>,
}

impl Incoming {
    /// Reads once; returns the number of bytes.
    fn receive(&mut self, from: BorrowedFd) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut bytes = [0; READ_BYTES];
        let received = uninterrupted(|| {
            let parts = &mut [IoSliceMut::new(&mut bytes)];
            Ok(recvmsg(from, parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?)
        })?;
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = message {
                self.sockets.extend(sockets);
            }
        }
        self.bytes.extend_from_slice(&bytes[..received.bytes]);
        Ok(received.bytes)
    }

    /// Removes and returns the first message; `None` if it is not complete yet.
    fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') else {
            return match self.bytes.len() {
                0..=MAX_MESSAGE_BYTES => Ok(None),
                _ => Err(MessageError::ReceivedTooLong),
            };
        };
        let message = decode(&self.bytes[..end])?;
        self.bytes.drain(..=end);
        Ok(Some(message))
    }

    fn next_socket(&mut self) -> Result<TcpStream, ReceiveError> {
        let socket = self.sockets.pop_front().ok_or(ReceiveError::NoSockets)?;
        let stream = std::net::TcpStream::from(socket);
        stream.set_nonblocking(true)?;
        Ok(TcpStream::from_std(stream)?)
    }
}

/// Writes once, with the sockets attached to the first byte. Returns the number of bytes written.
fn send_with_sockets(to: BorrowedFd, bytes: &[u8], sockets: &[BorrowedFd]) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    ancillary.push(SendAncillaryMessage::ScmRights(sockets));
    uninterrupted(|| Ok(sendmsg(to, &[IoSlice::new(bytes)], &mut ancillary, SendFlags::NOSIGNAL)?))
}

/// Sends a line within `listener_offer_timeout`. Returns whether the line was sent completely.
async fn send_line(stream: &UnixStream, line: &[u8], sockets: &[BorrowedFd<'_>], hub: &Hub) -> bool {
    let send = async {
        let mut sent = 0;
        while sent < line.len() {
            stream.writable().await?;
            let attached = if sent == 0 { sockets } else { &[] };
            let result = stream.try_io(Interest::WRITABLE, || match attached {
                [] => uninterrupted(|| Ok(rustix::io::write(stream, &line[sent..])?)),
                _ => send_with_sockets(stream.as_fd(), line, attached),
            });
            match result {
                Ok(count) => sent += count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    };
    matches!(timeout(span(hub.limits().listener_offer_timeout), send).await, Ok(Ok(())))
}

/// Accepts connections of processes that request a takeover, until the future is dropped.
pub async fn accept_processes(path: PathBuf, listening_socket: Rc<TcpListener>, hub: Hub) {
    let takeover_listener = match bind(&path) {
        Ok(bound) => bound,
        Err(e) => {
            slog::warn!(
                hub.log, "hot restart unavailable: cannot listen on {}", path.display(); "error" => %e
            );
            return;
        }
    };
    let connections = Arc::new(Semaphore::new(hub.limits().max_takeover_connections));
    let mut last_process = PREDECESSOR;
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let stream = match takeover_listener.accept().await {
            Ok((stream, _)) => stream,
            // The failure may be temporary, so the socket stays open for later connections.
            Err(e) => {
                let delay_ms = accept::ACCEPT_BACKOFF.as_millis();
                slog::warn!(hub.log, "takeover accept failed; retrying in {} ms", delay_ms; "error" => %e);
                tokio::time::sleep(accept::ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if !is_same_user(&stream) {
            slog::warn!(hub.log, "takeover connection closed: the process does not run as the relay's user");
            continue;
        }
        last_process = last_process.wrapping_add(1).max(PREDECESSOR + 1);
        let exchange = exchange(last_process, stream, Some(listening_socket.clone()), hub.clone());
        tokio::task::spawn_local(async move {
            exchange.await;
            drop(permit);
        });
    }
}

fn is_same_user(stream: &UnixStream) -> bool {
    // SAFETY: geteuid has no preconditions and cannot fail.
    let own = unsafe { libc::geteuid() };
    stream.peer_cred().is_ok_and(|process| process.uid() == own)
}

fn bind(path: &Path) -> io::Result<UnixListener> {
    match std::fs::symlink_metadata(path) {
        // The socket was left by a process that crashed or has handed over.
        Ok(existing) if existing.file_type().is_socket() => std::fs::remove_file(path)?,
        Ok(_) => return Err(io::Error::other(format!("{} exists and is not a socket", path.display()))),
        Err(_) => {}
    }
    let unix_listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(unix_listener)
}

/// Exchanges messages with another process until either side disconnects. Messages to that process are queued
/// from this call on, before the future is first polled.
fn exchange(
    process: ProcessId,
    stream: UnixStream,
    listening_socket: Option<Rc<TcpListener>>,
    hub: Hub,
) -> impl Future<Output = ()> {
    let (to_process, outgoing) = mpsc::channel(hub.limits().max_queued_handover_messages);
    hub.processes.borrow_mut().insert(process, to_process);
    Exchange { process, stream, listening_socket, hub }.run(outgoing)
}

struct Exchange {
    process: ProcessId,
    stream: UnixStream,
    /// The socket that is attached to an offer.
    listening_socket: Option<Rc<TcpListener>>,
    hub: Hub,
}

impl Exchange {
    async fn run(self, mut outgoing: mpsc::Receiver<ProcessCommand>) {
        let mut incoming = Incoming::default();
        loop {
            let continues = tokio::select! {
                biased;
                // Reads come first: a message of the other process may change what is to be sent to it.
                ready = self.stream.readable() => self.read(ready, &mut incoming).await,
                command = outgoing.recv() => match command {
                    None => false,
                    Some(ProcessCommand::Send(message)) => self.send(&message).await,
                    Some(ProcessCommand::HandOver(SessionHandover { message, sockets, result })) => {
                        let attached = [sockets.client.as_fd(), sockets.backend.as_fd()];
                        let is_sent = send_line(&self.stream, &message, &attached, &self.hub).await;
                        // The receiver is a task of this process and still runs.
                        _ = result.send(if is_sent { Ok(()) } else { Err(sockets) });
                        is_sent
                    }
                }
            };
            if !continues {
                break;
            }
        }
        self.hub.processes.borrow_mut().remove(&self.process);
        return_sessions(outgoing).await;
        self.hub.notify(Event::HotRestart(OwnershipEvent::Disconnected { peer: self.process })).await;
    }

    /// Reads once and handles the complete messages. Returns false if the exchange is to end.
    async fn read(&self, ready: io::Result<()>, incoming: &mut Incoming) -> bool {
        let received = ready
            .and_then(|()| self.stream.try_io(Interest::READABLE, || incoming.receive(self.stream.as_fd())));
        match received {
            Ok(1..) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
            _ => return false,
        }
        let Err(error) = self.handle_messages(incoming).await else { return true };
        slog::warn!(self.hub.log, "invalid hot restart message"; "peer" => self.process, "error" => %error);
        let rejection = encode(&Message::Rejected { reason: error.to_string() }).unwrap_or_default();
        send_line(&self.stream, &rejection, &[], &self.hub).await;
        false
    }

    async fn handle_messages(&self, incoming: &mut Incoming) -> Result<(), ReceiveError> {
        while let Some(message) = incoming.next_message()? {
            match message {
                Message::Session(session) if self.process == PREDECESSOR => {
                    let client = incoming.next_socket()?;
                    let backend = incoming.next_socket()?;
                    adopt(session, SessionSockets { client, backend }, self.hub.clone());
                }
                message => {
                    let event = OwnershipEvent::Received { peer: self.process, message };
                    self.hub.notify(Event::HotRestart(event)).await;
                }
            }
        }
        Ok(())
    }

    /// Sends a message. Returns false if the exchange is to end.
    async fn send(&self, message: &Message) -> bool {
        let Ok(line) = encode(message) else { return false };
        let is_offer = matches!(message, Message::Offer { .. });
        let offered = self.listening_socket.as_ref().filter(|_| is_offer);
        let attached: Vec<BorrowedFd> =
            offered.iter().map(|listening_socket| listening_socket.as_fd()).collect();
        send_line(&self.stream, &line, &attached, &self.hub).await
    }
}

/// Returns sockets of sessions that were not sent: each session's task gets its own sockets and continues.
async fn return_sessions(mut outgoing: mpsc::Receiver<ProcessCommand>) {
    outgoing.close();
    while let Some(command) = outgoing.recv().await {
        if let ProcessCommand::HandOver(SessionHandover { sockets, result, .. }) = command {
            _ = result.send(Err(sockets));
        }
    }
}

/// Starts a task for a session that the predecessor handed over.
fn adopt(session: Box<SessionState>, sockets: SessionSockets, hub: Hub) {
    tokio::task::spawn_local(async move {
        let (connection_id, commands) = hub.register();
        proxy::resume(connection_id, session, sockets, commands, &hub).await;
        hub.connections.borrow_mut().remove(&connection_id);
        hub.notify(Event::ClientDisconnected { session_id: connection_id }).await;
    });
}

/// Starts the exchange of messages with the predecessor.
pub fn begin(stream: std::os::unix::net::UnixStream, hub: &Hub) -> io::Result<ProcessId> {
    stream.set_nonblocking(true)?;
    let stream = UnixStream::from_std(stream)?;
    tokio::task::spawn_local(exchange(PREDECESSOR, stream, None, hub.clone()));
    Ok(PREDECESSOR)
}
