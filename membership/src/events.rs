//! Inputs and outputs of [`Membership::step`](crate::Membership::step).
use crate::message::{DropReason, Packet};
use crate::update::{MemberMetadata, MemberState};
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The local relay and its configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalMember {
    /// Name of the fleet. Packets of other fleets are dropped.
    pub fleet: Rc<str>,
    /// Name of this relay, unique in the fleet.
    pub name: Rc<str>,
    /// Address at which other members reach this relay.
    pub addr: SocketAddr,
    /// Start of the process, in microseconds of Unix time.
    pub start: u64,
    /// What this relay reports about itself.
    pub metadata: MemberMetadata,
    /// Configured addresses of other relays. The list may contain this relay's own address, which is skipped.
    pub peers: Vec<SocketAddr>,
    /// Configured number of relays, including this one. Gossip never changes it.
    pub configured_relays: usize,
    /// Seed of the random number generator.
    pub random_seed: u64,
}

/// An input of the step function.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This process represents the relay from now on.
    Activate,
    /// Another process of the same relay represents it from now on.
    Deactivate,
    /// A datagram was received and decoded.
    DatagramReceived {
        /// Address of the sender.
        from: SocketAddr,
        /// The decoded datagram.
        packet: Box<Packet>,
    },
    /// A frame was received on a stream that another relay opened. [`Effect::ReplyOnStream`] answers it.
    StreamRequest {
        /// Number of the stream.
        stream: u64,
        /// Address of the sender.
        from: SocketAddr,
        /// The decoded frame.
        packet: Box<Packet>,
    },
    /// The response on a stream that this relay opened was received.
    StreamResponse {
        /// The decoded frame.
        packet: Box<Packet>,
    },
    /// The relay needs the endpoint list of another member.
    PollEndpointList,
    /// The relay's answer to [`Effect::EndpointListRequested`].
    EndpointListReply {
        /// Number of the stream with the request.
        stream: u64,
        /// The endpoint list; `None` if the relay has none.
        bytes: Option<Vec<u8>>,
    },
    /// The relay sends an application message to one member or to all live members.
    SendUserMessage {
        /// Name of the receiver; `None` for all live members.
        to: Option<Rc<str>>,
        /// The content of the message.
        bytes: Vec<u8>,
    },
    /// Packets were dropped before they were passed to `step`, since the last such report.
    PacketsDropped {
        /// The reason for dropping them.
        reason: DropReason,
        /// Number of dropped packets.
        count: u64,
    },
    /// The relay's report about itself changed.
    MetadataChanged {
        /// The complete new report.
        metadata: MemberMetadata,
    },
    /// The configured addresses of other relays changed.
    PeersChanged {
        /// The complete new list.
        peers: Vec<SocketAddr>,
    },
    /// The timer that was set last expired.
    TimerExpired,
    /// The relay shuts down as planned.
    Leave,
}

/// An output of the step function.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open the UDP and TCP sockets, or close them because another process takes over.
    SetListening {
        /// Whether the sockets must be open.
        enabled: bool,
    },
    /// Send a datagram.
    SendDatagram {
        /// Address of the receiver.
        to: SocketAddr,
        /// At most [`MAX_DATAGRAM_BYTES`](crate::message::MAX_DATAGRAM_BYTES) long.
        bytes: Vec<u8>,
    },
    /// Send a frame on a new stream. A response is reported as [`Event::StreamResponse`].
    OpenStream {
        /// Address of the receiver.
        to: SocketAddr,
        /// At most [`MAX_FRAME_BYTES`](crate::message::MAX_FRAME_BYTES) long.
        bytes: Vec<u8>,
    },
    /// Close a stream that another relay opened.
    ReplyOnStream {
        /// Number of the stream.
        stream: u64,
        /// The response to send before closing; `None` to close without a response.
        bytes: Option<Vec<u8>>,
    },
    /// Report [`Event::TimerExpired`] after a delay.
    SetTimer {
        /// Time until the timer expires.
        after: Micros,
    },
    /// A member became live, restarted, died or left.
    MemberChanged {
        /// Name of the member.
        name: Rc<str>,
        /// The member's new state.
        state: MemberState,
        /// The member that declared it dead, if any.
        reporter: Option<Rc<str>>,
        /// Whether a new process of the member replaced the earlier one.
        restarted: bool,
    },
    /// A member requests this relay's endpoint list. [`Event::EndpointListReply`] answers the request.
    EndpointListRequested {
        /// Number of the stream with the request.
        stream: u64,
    },
    /// The endpoint list of another member was received.
    EndpointListReceived {
        /// Name of the member.
        from: Rc<str>,
        /// The encoded list.
        bytes: Vec<u8>,
    },
    /// An application message was received.
    UserMessageReceived {
        /// Name of the sender.
        from: Rc<str>,
        /// The content of the message.
        bytes: Vec<u8>,
    },
    /// Write a line about an unusual condition to the log.
    Log {
        /// The text of the line.
        message: String,
    },
}

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent in datagrams and on streams.
    pub bytes_sent: u64,
    /// Packets received in datagrams and on streams.
    pub packets_received: u64,
    /// Probes started.
    pub probes: u64,
    /// Suspicions that started with a failed probe by this relay.
    pub suspicions: u64,
    /// Members that this relay declared dead because their suspicion timeout expired.
    pub declared_dead: u64,
    /// Suspicions of this relay that it refuted.
    pub refutations: u64,
    /// Timer expiries that were late enough to show a stall of the process.
    pub stalls: u64,
    /// Dropped packets and updates by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

impl Counters {
    pub(crate) fn count_dropped(&mut self, reason: DropReason, count: u64) {
        *self.dropped.entry(reason).or_default() += count;
    }
}
