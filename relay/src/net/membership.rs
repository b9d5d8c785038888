//! The sockets of membership: a UDP socket for datagrams, and a listening socket on the same port for streams
//! that carry complete tables of members. Input that is not a valid packet of this fleet is dropped and
//! counted, and the number of datagrams read per second is bounded, so that other senders cannot delay
//! sessions.
use super::{accept, listening_socket, Hub};
use crate::clock::span;
use crate::reducer::Event;
use crate::socket::{self, RetryingStream};
use hallrelay_config::fleet::FleetConfig;
use hallrelay_membership::message::{
    decode, DecodeError, DropReason, Packet, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES,
};
use hallrelay_membership::Event as MembershipEvent;
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

/// Streams of other relays that the system queues until they are accepted.
const BACKLOG: u32 = 64;
/// Delay between attempts to bind a port that the predecessor still holds. The predecessor closes the port
/// soon after the handover.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Number of slots per second; each slot has an equal part of the number of datagrams that may be read per
/// second. A flood of datagrams stops reading for at most one slot, which is shorter than the interval after
/// which a ping is repeated.
const SLOTS_PER_SECOND: u32 = 20;

/// Both sockets, on one port.
pub struct BoundSockets {
    datagrams: UdpSocket,
    streams: TcpListener,
}

/// Binds both sockets.
///
/// # Errors
/// The error of the bind that failed, with the address and its configuration key.
pub async fn bind(addr: SocketAddr) -> io::Result<BoundSockets> {
    let with_key = |e: io::Error| io::Error::new(e.kind(), format!("fleet.listen {addr}: {e}"));
    let datagrams = socket::retry_while_out_of_resources(|| UdpSocket::bind(addr)).await.map_err(with_key)?;
    let streams = listening_socket::bind(addr, BACKLOG).await.map_err(with_key)?;
    Ok(BoundSockets { datagrams, streams })
}

/// The socket from which datagrams are sent; `None` while it is closed.
type SharedSocket = Rc<RefCell<Option<Rc<UdpSocket>>>>;

/// Reply channels of streams that other relays opened, by stream number.
type PendingReplies = Rc<RefCell<BTreeMap<u64, oneshot::Sender<Option<Vec<u8>>>>>>;

/// Carries out membership's effects.
pub struct MembershipSockets {
    config: Rc<FleetConfig>,
    hub: Hub,
    /// Sockets that were bound at the start; `None` if another process still holds the port.
    bound: Option<BoundSockets>,
    socket: SharedSocket,
    task: Option<AbortHandle>,
    replies: PendingReplies,
    /// Limits the streams that this relay opens.
    outbound_streams: Arc<Semaphore>,
}

impl MembershipSockets {
    /// Creates closed sockets, which [`MembershipSockets::set_listening`] opens. `bound` are sockets that are
    /// already bound.
    pub fn new(config: FleetConfig, bound: Option<BoundSockets>, hub: Hub) -> MembershipSockets {
        let outbound_streams = Arc::new(Semaphore::new(hub.limits().max_fleet_streams));
        MembershipSockets {
            config: Rc::new(config),
            hub,
            bound,
            socket: Rc::default(),
            task: None,
            replies: Rc::default(),
            outbound_streams,
        }
    }

    /// Opens both sockets, or closes them.
    pub fn set_listening(&mut self, enabled: bool) {
        self.task.take().inspect(AbortHandle::abort);
        self.socket.borrow_mut().take();
        if enabled {
            let task = serve(
                self.bound.take(),
                self.config.clone(),
                self.socket.clone(),
                self.replies.clone(),
                self.hub.clone(),
            );
            self.task = Some(tokio::task::spawn_local(task).abort_handle());
        }
    }

    /// Sends a datagram. It is dropped if the socket does not accept it immediately, as if the network had
    /// lost it.
    pub fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.socket.borrow().as_ref() {
            if let Err(e) = socket.try_send_to(bytes, to) {
                slog::debug!(self.hub.log, "membership datagram not sent"; "to" => %to, "error" => %e);
            }
        }
    }

    /// Sends a frame on a new stream and reports the answer. Nothing is sent if all streams are in use.
    pub fn open_stream(&self, to: SocketAddr, bytes: Vec<u8>) {
        let Ok(permit) = self.outbound_streams.clone().try_acquire_owned() else { return };
        let config = self.config.clone();
        let hub = self.hub.clone();
        tokio::task::spawn_local(async move {
            let limit = span(hub.limits().fleet_stream_timeout);
            match timeout(limit, exchange_frames(&config, to, bytes)).await {
                Ok(Ok(Ok(packet))) => {
                    let packet = Box::new(packet);
                    hub.notify(Event::Membership(MembershipEvent::StreamResponse { packet })).await;
                }
                Ok(Ok(Err(error))) => report_dropped(&hub, error.into(), 1).await,
                Ok(Err(e)) => slog::debug!(hub.log, "membership stream failed"; "at" => %to, "error" => %e),
                Err(_) => {
                    slog::debug!(hub.log, "membership stream: no answer within {:?}", limit; "at" => %to)
                }
            }
            drop(permit);
        });
    }

    /// Ends a stream that another relay opened, with an answer if there is one.
    pub fn reply(&self, stream: u64, bytes: Option<Vec<u8>>) {
        if let Some(reply) = self.replies.borrow_mut().remove(&stream) {
            // The stream may have timed out.
            _ = reply.send(bytes);
        }
    }
}

async fn report_dropped(hub: &Hub, reason: DropReason, count: u64) {
    hub.notify(Event::Membership(MembershipEvent::PacketsDropped { reason, count })).await;
}

/// Binds the sockets if necessary, and reads both until the task is aborted.
async fn serve(
    bound: Option<BoundSockets>,
    config: Rc<FleetConfig>,
    socket: SharedSocket,
    replies: PendingReplies,
    hub: Hub,
) {
    let bound = match bound {
        Some(bound) => bound,
        None => bind_when_free(config.listen, &hub).await,
    };
    let datagrams = Rc::new(bound.datagrams);
    *socket.borrow_mut() = Some(datagrams.clone());
    let read = read_datagrams(datagrams, &config, &hub);
    let accept = accept_streams(bound.streams, &config, replies, &hub);
    tokio::join!(read, accept);
}

/// Retries the bind until the predecessor has closed the port.
async fn bind_when_free(addr: SocketAddr, hub: &Hub) -> BoundSockets {
    let mut logged = false;
    loop {
        match bind(addr).await {
            Ok(bound) => return bound,
            Err(e) if !logged => {
                logged = true;
                slog::info!(hub.log, "cannot bind fleet.listen {} yet; retrying", addr; "error" => %e);
            }
            Err(_) => {}
        }
        tokio::time::sleep(BIND_RETRY_INTERVAL).await;
    }
}

/// Reads at most as many datagrams per slot as the limit allows. Reports dropped packets once per second.
async fn read_datagrams(socket: Rc<UdpSocket>, config: &FleetConfig, hub: &Hub) {
    let mut slot = tokio::time::interval(Duration::from_secs(1) / SLOTS_PER_SECOND);
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut left_in_slot = 0u32;
    let mut slots = 0u32;
    let mut dropped = BTreeMap::<DropReason, u64>::new();
    loop {
        tokio::select! {
            biased;
            _ = slot.tick() => {
                left_in_slot = hub.limits().max_fleet_datagrams_per_s / SLOTS_PER_SECOND;
                slots += 1;
                if slots.is_multiple_of(SLOTS_PER_SECOND) {
                    for (reason, count) in std::mem::take(&mut dropped) {
                        report_dropped(hub, reason, count).await;
                    }
                }
            }
            received = socket.recv_from(&mut buffer), if left_in_slot > 0 => {
                // The system reports here that a datagram sent earlier failed. The next read may succeed.
                let Ok((length, from)) = received else { continue };
                left_in_slot -= 1;
                // Datagrams beyond the limit are not read, so they cannot be counted. One drop is counted for
                // each slot whose limit is reached.
                if left_in_slot == 0 {
                    *dropped.entry(DropReason::RateLimited).or_default() += 1;
                }
                match decode(&config.name, &buffer[..length], MAX_DATAGRAM_BYTES) {
                    Ok(packet) => {
                        let packet = Box::new(packet);
                        let event = MembershipEvent::DatagramReceived { from, packet };
                        hub.notify(Event::Membership(event)).await;
                    }
                    Err(error) => *dropped.entry(error.into()).or_default() += 1,
                }
            }
        }
    }
}

/// Accepts other relays' streams; each is served by its own task.
async fn accept_streams(
    listening_socket: TcpListener,
    config: &FleetConfig,
    replies: PendingReplies,
    hub: &Hub,
) {
    let inbound_streams = Arc::new(Semaphore::new(hub.limits().max_fleet_streams));
    let mut last_number = 0;
    loop {
        let stream = accept::next(&listening_socket, "a membership stream", hub).await;
        // A stream over the limit is closed immediately; the other relay retries.
        let Ok(permit) = inbound_streams.clone().try_acquire_owned() else { continue };
        last_number += 1;
        let number = last_number;
        let fleet = config.name.clone();
        let replies = replies.clone();
        let hub = hub.clone();
        tokio::task::spawn_local(async move {
            let limit = span(hub.limits().fleet_stream_timeout);
            if timeout(limit, serve_stream(number, stream, &fleet, &replies, &hub)).await.is_err() {
                slog::debug!(hub.log, "membership stream {} not served within {:?}", number, limit);
            }
            replies.borrow_mut().remove(&number);
            drop(permit);
        });
    }
}

/// Reads one frame and writes the answer to it.
async fn serve_stream(number: u64, stream: TcpStream, fleet: &str, replies: &PendingReplies, hub: &Hub) {
    let Ok(from) = stream.peer_addr() else { return };
    let mut stream = RetryingStream(stream);
    let frame = read_frame(&mut stream).await.map_err(|_| DecodeError::Malformed);
    let packet = match frame.and_then(|frame| decode(fleet, &frame, MAX_FRAME_BYTES)) {
        Ok(packet) => Box::new(packet),
        Err(error) => return report_dropped(hub, error.into(), 1).await,
    };
    let (reply, replied) = oneshot::channel();
    replies.borrow_mut().insert(number, reply);
    let event = MembershipEvent::StreamRequest { stream: number, from, packet };
    hub.notify(Event::Membership(event)).await;
    if let Ok(Some(bytes)) = replied.await {
        _ = write_frame(&mut stream, bytes).await;
    }
}

/// Sends a frame on a new stream and reads the answer. The stream originates from the address on which this
/// relay listens, because the other relay compares its source with the reported address.
async fn exchange_frames(
    config: &FleetConfig,
    to: SocketAddr,
    bytes: Vec<u8>,
) -> io::Result<Result<Packet, DecodeError>> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    let own = config.listen.ip();
    if !own.is_unspecified() && own.is_ipv4() == to.is_ipv4() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    let mut stream = RetryingStream(socket.connect(to).await?);
    write_frame(&mut stream, bytes).await?;
    let frame = read_frame(&mut stream).await?;
    Ok(decode(&config.name, &frame, MAX_FRAME_BYTES))
}

/// The codec of frames: a length prefix of four bytes, most significant first.
fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

fn write_frame(stream: &mut RetryingStream, bytes: Vec<u8>) -> impl Future<Output = io::Result<()>> + '_ {
    let mut frame = BytesMut::new();
    let encoded = frame_codec().encode(Bytes::from(bytes), &mut frame);
    async move {
        encoded?;
        stream.write_all(&frame).await
    }
}

async fn read_frame(stream: &mut RetryingStream) -> io::Result<BytesMut> {
    let mut codec = frame_codec();
    let mut buffer = BytesMut::new();
    loop {
        if let Some(frame) = codec.decode(&mut buffer)? {
            return Ok(frame);
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
