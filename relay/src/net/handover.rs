//! The Unix socket over which a process gives its place to the next one: in `$TMPDIR`, open to its owner alone,
//! a line of JSON a message, the listening socket beside the offer.
use super::Hub;
use crate::clock::span;
use crate::reducer::Event;
use hallrelay_config::limits::Limits;
use hallrelay_config::node::Node;
use hallrelay_handover::message::{decode, encode, LONGEST, VERSION};
use hallrelay_handover::place::{Event as Heard, Peer};
use hallrelay_handover::Message;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener as Listener;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::UnixStream as Stream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{mpsc, Semaphore};

/// The process before this one, as the reducer knows it; those after it are counted from here.
pub const BEFORE: Peer = 0;

/// Where processes of one relay meet; none where there is no place for it, with the reason.
pub fn door(node: &Node) -> Result<PathBuf, &'static str> {
    // What the system has room for in an address, with its end.
    const LONGEST_PATH: usize = 107;
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty()).ok_or("TMPDIR is not set")?;
    let plain = |c: char| if c.is_ascii_alphanumeric() || "-_".contains(c) { c } else { '_' };
    let name: String = node.name.chars().take(64).map(plain).collect();
    let path = Path::new(&folder).join(format!("hallrelay-{name}.sock"));
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
    let talk = match Stream::connect(path) {
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
    let (mut line, mut passed) = (Vec::new(), None);
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
            let listener = Listener::from(passed.ok_or("the offer came without a socket")?);
            match listener.local_addr() {
                Ok(at) if at == node.listen => Ok(Some(Offer { talk, listener })),
                _ => Err(format!("the running process does not listen on {}", node.listen)),
            }
        }
        other => Err(format!("the running process answers {other:?}")),
    }
}

fn receive(from: BorrowedFd, line: &mut Vec<u8>, passed: &mut Option<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = [0; 4096];
    let got = recvmsg(from, &mut [IoSliceMut::new(&mut bytes)], &mut beside, RecvFlags::CMSG_CLOEXEC)?;
    for message in beside.drain() {
        if let RecvAncillaryMessage::ScmRights(mut sockets) = message {
            *passed = sockets.next();
        }
    }
    line.extend_from_slice(&bytes[..got.bytes]);
    Ok(got.bytes)
}

fn send(to: BorrowedFd, line: &[u8], socket: BorrowedFd) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket];
    beside.push(SendAncillaryMessage::ScmRights(&sockets));
    Ok(sendmsg(to, &[IoSlice::new(line)], &mut beside, SendFlags::NOSIGNAL)?)
}

/// Waits at the door for other processes, till it is dropped.
pub async fn wait(path: PathBuf, listener: Rc<TcpListener>, guests: mpsc::Sender<Guest>, hub: Hub) {
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
        let Ok((stream, _)) = door.accept().await else { return };
        // SAFETY: geteuid reads a number and can't fail.
        let own = unsafe { libc::geteuid() };
        if !stream.peer_cred().is_ok_and(|peer| peer.uid() == own) {
            slog::warn!(hub.log, "a stranger is at the door");
            continue;
        }
        last = last.wrapping_add(1).max(BEFORE + 1);
        let (to, said) = mpsc::channel(hub.limits().commands);
        if guests.send(Guest { peer: last, to }).await.is_err() {
            return;
        }
        let (hub, listener) = (hub.clone(), listener.clone());
        tokio::task::spawn_local(async move {
            talk(last, stream, said, Some(listener), hub).await;
            drop(permit);
        });
    }
}

/// A process that came to the door, and the way to it.
pub struct Guest {
    pub peer: Peer,
    pub to: mpsc::Sender<Message>,
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

/// Carries messages both ways till either side ends it.
pub async fn talk(
    peer: Peer,
    stream: UnixStream,
    mut said: mpsc::Receiver<Message>,
    listener: Option<Rc<TcpListener>>,
    hub: Hub,
) {
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::new(read);
    let mut line = Vec::new();
    loop {
        // Given up in between, what was read of a line stays in it.
        let mut bounded = (&mut read).take((LONGEST + 1 - line.len()) as u64);
        tokio::select! {
            got = bounded.read_until(b'\n', &mut line) => {
                if !matches!(got, Ok(1..)) || line.last() != Some(&b'\n') {
                    break;
                }
                match decode(line.trim_ascii_end()) {
                    Ok(message) => hub.tell(Event::Place(Heard::Said { peer, message })).await,
                    Err(why) => {
                        slog::warn!(hub.log, "another process is not understood"; "why" => &why);
                        let no = encode(&Message::No { why }).unwrap_or_default();
                        _ = tokio::time::timeout(span(hub.limits().end), write.write_all(&no)).await;
                        break;
                    }
                }
                line.clear();
            }
            message = said.recv() => {
                let Some(message) = message else { break };
                let Ok(bytes) = encode(&message) else { break };
                let beside = listener.as_ref().filter(|_| matches!(message, Message::Offer { .. }));
                let sent = match beside {
                    // A short line on an empty socket: it goes out whole or not at all.
                    Some(listener) => send(write.as_ref().as_fd(), &bytes, listener.as_fd()).is_ok(),
                    None => {
                        let all = write.write_all(&bytes);
                        matches!(tokio::time::timeout(span(hub.limits().offer), all).await, Ok(Ok(())))
                    }
                };
                if !sent {
                    break;
                }
            }
        }
    }
    hub.tell(Event::Place(Heard::Left { peer })).await;
}

/// The process before this one, spoken to from now on like any other.
pub fn begin(talk_to: Stream, limits: &Limits, hub: &Hub) -> io::Result<Guest> {
    talk_to.set_nonblocking(true)?;
    let stream = UnixStream::from_std(talk_to)?;
    let (to, said) = mpsc::channel(limits.commands);
    tokio::task::spawn_local(talk(BEFORE, stream, said, None, hub.clone()));
    Ok(Guest { peer: BEFORE, to })
}
