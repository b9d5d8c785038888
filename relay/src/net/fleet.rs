//! The links to other relays: one UDP socket for what is small, streams on the same port for whole tables.
//! What is no message of this fleet is dropped here and counted, so that it never stands in the way of
//! sessions; what is read in a second is bounded.
use super::{accept, Hub};
use crate::clock::span;
use crate::reducer::Event;
use crate::socket::{self, RetryingStream};
use hallrelay_config::fleet::Fleet;
use hallrelay_membership::membership::Event as Heard;
use hallrelay_membership::message::{decode, Fault, Packet, DATAGRAM, FRAME};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{oneshot, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Other relays' streams that wait to be accepted.
const BACKLOG: u32 = 64;
/// The process before this one leaves the port within moments of giving its place.
const AGAIN: Duration = Duration::from_millis(20);

/// Both sockets at one port.
pub struct Bound {
    datagrams: UdpSocket,
    streams: TcpListener,
}

pub async fn bind(at: SocketAddr) -> io::Result<Bound> {
    let named = |e: io::Error| io::Error::new(e.kind(), format!("fleet.listen {at}: {e}"));
    let datagrams = socket::retry_without_resources(|| UdpSocket::bind(at)).await.map_err(named)?;
    let streams = super::serve::listen(at, BACKLOG).await.map_err(named)?;
    Ok(Bound { datagrams, streams })
}

type Answers = Rc<RefCell<BTreeMap<u64, oneshot::Sender<Option<Vec<u8>>>>>>;

/// Carries out what membership asks for.
pub struct Links {
    fleet: Rc<Fleet>,
    hub: Hub,
    /// Bound at the start; where another process has the port still, it is bound when that leaves it.
    bound: Option<Bound>,
    socket: Rc<RefCell<Option<Rc<UdpSocket>>>>,
    task: Option<AbortHandle>,
    answers: Answers,
    /// Streams that this relay opens.
    visits: Arc<Semaphore>,
}

impl Links {
    pub fn new(fleet: Fleet, bound: Option<Bound>, hub: Hub) -> Links {
        let visits = Arc::new(Semaphore::new(hub.limits().fleet_streams));
        let fleet = Rc::new(fleet);
        Links { fleet, hub, bound, socket: Rc::default(), task: None, answers: Rc::default(), visits }
    }

    pub fn open(&mut self, on: bool) {
        self.task.take().inspect(AbortHandle::abort);
        self.socket.borrow_mut().take();
        if on {
            let open = open(
                self.bound.take(),
                self.fleet.clone(),
                self.socket.clone(),
                self.answers.clone(),
                self.hub.clone(),
            );
            self.task = Some(tokio::task::spawn_local(open).abort_handle());
        }
    }

    /// A datagram that can't go at once is as good as lost on its way.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            if let Err(e) = socket.try_send_to(bytes, to) {
                slog::debug!(self.hub.log, "a datagram did not go"; "to" => %to, "error" => %e);
            }
        }
    }

    pub fn visit(&self, to: SocketAddr, bytes: Vec<u8>) {
        let Ok(permit) = self.visits.clone().try_acquire_owned() else { return };
        let (fleet, hub) = (self.fleet.clone(), self.hub.clone());
        tokio::task::spawn_local(async move {
            let limit = span(hub.limits().fleet_stream);
            match timeout(limit, visit(&fleet, to, bytes)).await {
                Ok(Ok(Ok(packet))) => hub.tell(Event::Membership(Heard::Returned { packet })).await,
                Ok(Ok(Err(what))) => dropped(&hub, what, 1).await,
                Ok(Err(e)) => slog::debug!(hub.log, "a relay is not reached"; "at" => %to, "error" => %e),
                Err(_) => slog::debug!(hub.log, "a relay does not answer"; "at" => %to),
            }
            drop(permit);
        });
    }

    pub fn answer(&self, stream: u64, bytes: Option<Vec<u8>>) {
        if let Some(to) = self.answers.borrow_mut().remove(&stream) {
            _ = to.send(bytes);
        }
    }
}

async fn dropped(hub: &Hub, what: Fault, count: u64) {
    hub.tell(Event::Membership(Heard::Dropped { what, count })).await;
}

async fn open(
    bound: Option<Bound>,
    fleet: Rc<Fleet>,
    socket: Rc<RefCell<Option<Rc<UdpSocket>>>>,
    answers: Answers,
    hub: Hub,
) {
    let mut told = false;
    let bound = match bound {
        Some(bound) => bound,
        None => loop {
            match bind(fleet.listen).await {
                Ok(bound) => break bound,
                Err(e) if !told => {
                    told = true;
                    slog::info!(hub.log, "waiting for the fleet's port"; "error" => %e);
                }
                Err(_) => {}
            }
            tokio::time::sleep(AGAIN).await;
        },
    };
    let datagrams = Rc::new(bound.datagrams);
    *socket.borrow_mut() = Some(datagrams.clone());
    tokio::join!(read(datagrams, &fleet, &hub), take(bound.streams, &fleet, answers, &hub));
}

/// Reads datagrams, so many in a part of a second, and tells what was dropped once a second.
async fn read(socket: Rc<UdpSocket>, fleet: &Fleet, hub: &Hub) {
    // A flood stops reading for the rest of a slot at most; others' pings wait or go out again after 100 ms.
    const SLOTS: u32 = 20;
    let mut slot = tokio::time::interval(Duration::from_secs(1) / SLOTS);
    let mut bytes = [0; DATAGRAM + 1];
    let (mut left, mut slots, mut faults) = (0u32, 0u32, BTreeMap::<Fault, u64>::new());
    loop {
        tokio::select! {
            biased;
            _ = slot.tick() => {
                left = hub.limits().fleet_datagrams / SLOTS;
                slots += 1;
                if slots.is_multiple_of(SLOTS) {
                    for (what, count) in std::mem::take(&mut faults) {
                        dropped(hub, what, count).await;
                    }
                }
            }
            got = socket.recv_from(&mut bytes), if left > 0 => {
                // An error here is of a datagram that was sent; the next one may do better.
                let Ok((len, from)) = got else { continue };
                left -= 1;
                if left == 0 {
                    *faults.entry(Fault::Flood).or_default() += 1;
                }
                match decode(&fleet.name, &bytes[..len], DATAGRAM) {
                    Ok(packet) => {
                        let packet = Box::new(packet);
                        hub.tell(Event::Membership(Heard::Heard { from, packet })).await;
                    }
                    Err(what) => *faults.entry(what).or_default() += 1,
                }
            }
        }
    }
}

/// Takes other relays' streams: a frame comes, one goes back.
async fn take(listener: TcpListener, fleet: &Fleet, answers: Answers, hub: &Hub) {
    let room = Arc::new(Semaphore::new(hub.limits().fleet_streams));
    let mut last = 0;
    loop {
        let stream = accept::next(&listener, "another relay's stream", hub).await;
        // One too many is let go at once: it asks again.
        let Ok(permit) = room.clone().try_acquire_owned() else { continue };
        last += 1;
        let (name, answers, hub) = (fleet.name.clone(), answers.clone(), hub.clone());
        tokio::task::spawn_local(async move {
            let limit = span(hub.limits().fleet_stream);
            if timeout(limit, visited(last, stream, &name, &answers, &hub)).await.is_err() {
                slog::debug!(hub.log, "another relay's stream was not whole in time");
            }
            answers.borrow_mut().remove(&last);
            drop(permit);
        });
    }
}

async fn visited(id: u64, stream: TcpStream, name: &str, answers: &Answers, hub: &Hub) {
    let Ok(from) = stream.peer_addr() else { return };
    let mut stream = RetryingStream(stream);
    let packet = match read_frame(&mut stream).await.map(|frame| decode(name, &frame, FRAME)) {
        Ok(Ok(packet)) => Box::new(packet),
        Ok(Err(what)) => return dropped(hub, what, 1).await,
        Err(_) => return dropped(hub, Fault::Damaged, 1).await,
    };
    let (to, answer) = oneshot::channel();
    answers.borrow_mut().insert(id, to);
    hub.tell(Event::Membership(Heard::Visited { stream: id, from, packet })).await;
    if let Ok(Some(bytes)) = answer.await {
        _ = write_frame(&mut stream, bytes).await;
    }
}

/// From the address that this relay listens on: others know it by that.
async fn visit(fleet: &Fleet, to: SocketAddr, bytes: Vec<u8>) -> io::Result<Result<Box<Packet>, Fault>> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let own = fleet.listen.ip();
    if !own.is_unspecified() && own.is_ipv4() == to.is_ipv4() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    let mut stream = RetryingStream(socket.connect(to).await?);
    write_frame(&mut stream, bytes).await?;
    let frame = read_frame(&mut stream).await?;
    Ok(decode(&fleet.name, &frame, FRAME).map(Box::new))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME).new_codec()
}

fn write_frame(stream: &mut RetryingStream, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>> + '_ {
    let mut framed = BytesMut::new();
    let coded = codec().encode(Bytes::from(bytes), &mut framed);
    async move {
        coded?;
        stream.write_all(&framed).await
    }
}

async fn read_frame(stream: &mut RetryingStream) -> io::Result<BytesMut> {
    let (mut codec, mut buffer) = (codec(), BytesMut::new());
    loop {
        if let Some(frame) = codec.decode(&mut buffer)? {
            return Ok(frame);
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
