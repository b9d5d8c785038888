//! The Unix socket over which a process gives its place to the next one: in `$TMPDIR`, open to its owner
//! alone, a line of JSON a message, the listening socket beside the offer.
use super::processes::{ProcessCommand, SessionHandover, SessionSockets};
use super::{accept, proxy, Hub};
use crate::clock::span;
use crate::lines::sanitize;
use crate::reducer::Event;
use crate::socket::uninterrupted;
use hallrelay_config::node::Node;
use hallrelay_hot_restart::message::{decode, encode, LONGEST, VERSION};
use hallrelay_hot_restart::place::{Event as Heard, Peer};
use hallrelay_hot_restart::Message;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener as Listener;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::UnixStream as Stream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::timeout;

/// The process before this one, as the reducer knows it; those after it are counted from here.
const BEFORE: Peer = 0;
/// The most sockets beside one message: a session's client and its backend.
const SOCKETS: usize = 2;

/// Where processes of one relay meet; none where there is no place for it, with the reason.
pub fn door(node: &Node) -> Result<PathBuf, &'static str> {
    // What the system has room for in an address, with its end.
    const LONGEST_PATH: usize = 107;
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty()).ok_or("TMPDIR is not set")?;
    let path = Path::new(&folder).join(format!("hallrelay-{:.64}.sock", sanitize(&node.name)));
    if path.as_os_str().len() > LONGEST_PATH {
        return Err("the path of TMPDIR is too long");
    }
    Ok(path)
}

/// What a running process offers.
pub struct Offer {
    pub talk: Stream,
    pub listener: Listener,
}

/// Asks a running process for its place; none where there is no such process, or it says nothing.
pub fn ask(path: &Path, node: &Node) -> Result<Option<Offer>, String> {
    let talk = match uninterrupted(|| Stream::connect(path)) {
        Ok(talk) => talk,
        // Nobody listens there, or nobody ever did.
        Err(_) => return Ok(None),
    };
    let told = |e: io::Error| format!("{}: {e}", path.display());
    talk.set_read_timeout(Some(span(node.limits.offer))).map_err(told)?;
    let (name, listen) = (node.name.clone(), node.listen.to_string());
    let hello = encode(&Message::Hello { version: VERSION, name, listen })?;
    if io::Write::write_all(&mut &talk, &hello).is_err() {
        return Ok(None);
    }
    let (mut line, mut passed) = (Vec::new(), VecDeque::new());
    while !line.ends_with(b"\n") {
        match receive(talk.as_fd(), &mut line, &mut passed) {
            Ok(1..) if line.len() <= LONGEST => {}
            Ok(1..) => return Err("the running process says too much".to_string()),
            // It is dead or stands still: this is an ordinary start, which fails where the address is taken.
            _ => return Ok(None),
        }
    }
    match decode(line.trim_ascii_end())? {
        Message::No { why } => Err(format!("the running process keeps its place: {why}")),
        Message::Offer { .. } => {
            let listener = Listener::from(passed.pop_front().ok_or("the offer came without a socket")?);
            match listener.local_addr() {
                Ok(at) if at == node.listen => Ok(Some(Offer { talk, listener })),
                _ => Err(format!("the running process does not listen on {}", node.listen)),
            }
        }
        other => Err(format!("the running process answers {other:?}")),
    }
}

/// Reads once, and keeps the sockets that came beside the bytes, in their order.
fn receive(from: BorrowedFd, line: &mut Vec<u8>, passed: &mut VecDeque<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS))];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = [0; 16_384];
    let got = uninterrupted(|| {
        let parts = &mut [IoSliceMut::new(&mut bytes)];
        Ok(recvmsg(from, parts, &mut beside, RecvFlags::CMSG_CLOEXEC)?)
    })?;
    for message in beside.drain() {
        if let RecvAncillaryMessage::ScmRights(sockets) = message {
            passed.extend(sockets);
        }
    }
    line.extend_from_slice(&bytes[..got.bytes]);
    Ok(got.bytes)
}

/// Writes once; the sockets go with the first byte.
fn send(to: BorrowedFd, line: &[u8], sockets: &[BorrowedFd]) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(SOCKETS))];
    let mut beside = SendAncillaryBuffer::new(&mut space);
    beside.push(SendAncillaryMessage::ScmRights(sockets));
    uninterrupted(|| Ok(sendmsg(to, &[IoSlice::new(line)], &mut beside, SendFlags::NOSIGNAL)?))
}

/// Says a line whole, within the time in which a process must listen.
async fn say(stream: &UnixStream, line: &[u8], sockets: &[BorrowedFd<'_>], hub: &Hub) -> bool {
    let all = async {
        let mut from = 0;
        while from < line.len() {
            stream.writable().await?;
            let beside = if from == 0 { sockets } else { &[] };
            let wrote = stream.try_io(Interest::WRITABLE, || match beside {
                [] => uninterrupted(|| Ok(rustix::io::write(stream, &line[from..])?)),
                _ => send(stream.as_fd(), line, beside),
            });
            match wrote {
                Ok(count) => from += count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    };
    matches!(timeout(span(hub.limits().offer), all).await, Ok(Ok(())))
}

/// Waits at the door for other processes, till it is dropped.
pub async fn wait(path: PathBuf, listener: Rc<TcpListener>, hub: Hub) {
    let door = match open(&path) {
        Ok(door) => door,
        Err(e) => {
            slog::warn!(hub.log, "no other process can take this one's place"; "error" => %e);
            return;
        }
    };
    let room = Arc::new(Semaphore::new(hub.limits().visitors));
    let mut last = BEFORE;
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let stream = match door.accept().await {
            Ok((stream, _)) => stream,
            // For a moment: the door stays for whoever comes next.
            Err(e) => {
                slog::warn!(hub.log, "a process at the door was not let in"; "error" => %e);
                tokio::time::sleep(accept::ACCEPT_BACKOFF).await;
                continue;
            }
        };
        // SAFETY: geteuid reads a number and can't fail.
        let own = unsafe { libc::geteuid() };
        if !stream.peer_cred().is_ok_and(|peer| peer.uid() == own) {
            slog::warn!(hub.log, "a stranger is at the door");
            continue;
        }
        last = last.wrapping_add(1).max(BEFORE + 1);
        let talk = talk(last, stream, Some(listener.clone()), hub.clone());
        tokio::task::spawn_local(async move {
            talk.await;
            drop(permit);
        });
    }
}

fn open(path: &Path) -> io::Result<UnixListener> {
    match std::fs::symlink_metadata(path) {
        // One that nobody answers at, or whose process has given its place away.
        Ok(there) if there.file_type().is_socket() => std::fs::remove_file(path)?,
        Ok(_) => return Err(io::Error::other(format!("{} is no socket", path.display()))),
        Err(_) => {}
    }
    let door = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(door)
}

/// Carries messages both ways till either side ends it; from now on what is said to the other is heard.
fn talk(
    peer: Peer,
    stream: UnixStream,
    listener: Option<Rc<TcpListener>>,
    hub: Hub,
) -> impl Future<Output = ()> {
    let (to, said) = mpsc::channel(hub.limits().passing);
    hub.processes.borrow_mut().insert(peer, to);
    carry(peer, stream, said, listener, hub)
}

async fn carry(
    peer: Peer,
    stream: UnixStream,
    mut said: mpsc::Receiver<ProcessCommand>,
    listener: Option<Rc<TcpListener>>,
    hub: Hub,
) {
    let (mut line, mut passed) = (Vec::new(), VecDeque::new());
    loop {
        tokio::select! {
            biased;
            // What the other process says may change what is said to it.
            ready = stream.readable() => {
                let got = ready.and_then(|()| {
                    stream.try_io(Interest::READABLE, || receive(stream.as_fd(), &mut line, &mut passed))
                });
                match got {
                    Ok(1..) => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                    _ => break,
                }
                if let Err(why) = heard(peer, &mut line, &mut passed, &hub).await {
                    slog::warn!(hub.log, "another process is not understood"; "why" => &why);
                    let no = encode(&Message::No { why }).unwrap_or_default();
                    say(&stream, &no, &[], &hub).await;
                    break;
                }
            }
            out = said.recv() => match out {
                None => break,
                Some(ProcessCommand::Send(message)) => {
                    let Ok(bytes) = encode(&message) else { break };
                    let offered = listener.as_ref().filter(|_| matches!(message, Message::Offer { .. }));
                    let beside: Vec<BorrowedFd> = offered.iter().map(|listener| listener.as_fd()).collect();
                    if !say(&stream, &bytes, &beside, &hub).await {
                        break;
                    }
                }
                Some(ProcessCommand::HandOver(SessionHandover { message, sockets, result })) => {
                    let beside = [sockets.client.as_fd(), sockets.backend.as_fd()];
                    let gone = say(&stream, &message, &beside, &hub).await;
                    // Who waits for it is a task of this process, and lives.
                    _ = result.send(if gone { Ok(()) } else { Err(sockets) });
                    if !gone {
                        break;
                    }
                }
            }
        }
    }
    hub.processes.borrow_mut().remove(&peer);
    // Sessions that were still to pass come back to their tasks.
    said.close();
    while let Some(out) = said.recv().await {
        if let ProcessCommand::HandOver(SessionHandover { sockets, result, .. }) = out {
            _ = result.send(Err(sockets));
        }
    }
    hub.tell(Event::HotRestart(Heard::Left { peer })).await;
}

/// Tells of the whole lines that have come.
async fn heard(
    peer: Peer,
    line: &mut Vec<u8>,
    passed: &mut VecDeque<OwnedFd>,
    hub: &Hub,
) -> Result<(), String> {
    while let Some(end) = line.iter().position(|b| *b == b'\n') {
        let message = decode(&line[..end])?;
        line.drain(..=end);
        match message {
            Message::Session(session) if peer == BEFORE => {
                let mut socket = || -> Result<TcpStream, String> {
                    let one = passed.pop_front().ok_or("a session came without its sockets")?;
                    let one = std::net::TcpStream::from(one);
                    let one = one.set_nonblocking(true).and_then(|()| TcpStream::from_std(one));
                    one.map_err(|e| format!("a session's socket: {e}"))
                };
                let sockets = SessionSockets { client: socket()?, backend: socket()? };
                let hub = hub.clone();
                tokio::task::spawn_local(async move {
                    let (conn, commands) = hub.register();
                    proxy::resume(conn, session, sockets, commands, &hub).await;
                    hub.conns.borrow_mut().remove(&conn);
                    hub.tell(Event::ClientDisconnected { sess: conn }).await;
                });
            }
            message => hub.tell(Event::HotRestart(Heard::Said { peer, message })).await,
        }
    }
    if line.len() > LONGEST {
        return Err(format!("a message is over {LONGEST} bytes"));
    }
    Ok(())
}

/// The process before this one, spoken to from now on like any other.
pub fn begin(talk_to: Stream, hub: &Hub) -> io::Result<Peer> {
    talk_to.set_nonblocking(true)?;
    let stream = UnixStream::from_std(talk_to)?;
    tokio::task::spawn_local(talk(BEFORE, stream, None, hub.clone()));
    Ok(BEFORE)
}
