//! What goes into and comes out of [`Membership::step`](crate::Membership::step).
use crate::message::{DropReason, Packet};
use crate::update::{MemberMetadata, MemberState};
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The local relay, as it is configured.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalMember {
    /// Name of the fleet; packets of others are dropped.
    pub fleet: Rc<str>,
    /// Name of this relay, unique in the fleet.
    pub name: Rc<str>,
    /// Address at which others reach this relay.
    pub addr: SocketAddr,
    /// Start of the process, in microseconds of Unix time.
    pub start: u64,
    /// What this relay reports of itself.
    pub metadata: MemberMetadata,
    /// Addresses at which other relays may be found; this relay's own address among them does no harm.
    pub peers: Vec<SocketAddr>,
    /// Number of relays by configuration, this one included. Gossip never changes it.
    pub configured_relays: usize,
    /// Seed of all randomness.
    pub random_seed: u64,
}

/// An input.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This process speaks for the relay from now on.
    Activate,
    /// Another process of the same relay speaks for it from now on.
    Deactivate,
    /// A decoded datagram.
    DatagramReceived {
        /// Address that it came from.
        from: SocketAddr,
        /// The datagram.
        packet: Box<Packet>,
    },
    /// A decoded frame on a stream that another relay opened; [`Effect::ReplyOnStream`] answers it.
    StreamRequest {
        /// Number of the stream.
        stream: u64,
        /// Address that it came from.
        from: SocketAddr,
        /// The frame.
        packet: Box<Packet>,
    },
    /// The decoded answer on a stream that this relay opened.
    StreamResponse {
        /// The frame.
        packet: Box<Packet>,
    },
    /// One member is to be asked for its endpoint list.
    PollEndpointList,
    /// Answer to [`Effect::EndpointListRequested`].
    EndpointListReply {
        /// Number of the stream that asked.
        stream: u64,
        /// The list; none where there is none to give.
        bytes: Option<Vec<u8>>,
    },
    /// A message of the user for one member, or for all that are live.
    SendUserMessage {
        /// Name of the member; none for all.
        to: Option<Rc<str>>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Packets that were dropped before they came here, since this was last reported.
    PacketsDropped {
        /// Why.
        reason: DropReason,
        /// How many.
        count: u64,
    },
    /// What this relay reports of itself, as it is now.
    MetadataChanged {
        /// All of it.
        metadata: MemberMetadata,
    },
    /// The configured addresses of other relays have changed.
    PeersChanged {
        /// All of them.
        peers: Vec<SocketAddr>,
    },
    /// The timer set last has expired.
    TimerExpired,
    /// The relay ends, on purpose.
    Leave,
}

/// An output.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Opens both sockets, or closes them for another process.
    SetListening {
        /// Whether they are to be open.
        enabled: bool,
    },
    /// Sends a datagram.
    SendDatagram {
        /// Address of the receiver.
        to: SocketAddr,
        /// At most [`MAX_DATAGRAM_BYTES`](crate::message::MAX_DATAGRAM_BYTES).
        bytes: Vec<u8>,
    },
    /// Sends a frame on a new stream; its answer, if any, comes back as [`Event::StreamResponse`].
    OpenStream {
        /// Address of the receiver.
        to: SocketAddr,
        /// At most [`MAX_FRAME_BYTES`](crate::message::MAX_FRAME_BYTES).
        bytes: Vec<u8>,
    },
    /// Ends a stream that another relay opened.
    ReplyOnStream {
        /// Number of the stream.
        stream: u64,
        /// The answer; none where the stream is closed without one.
        bytes: Option<Vec<u8>>,
    },
    /// Wants [`Event::TimerExpired`].
    SetTimer {
        /// After this time.
        after: Micros,
    },
    /// A member has become live, died or left.
    MemberChanged {
        /// Name of the member.
        name: Rc<str>,
        /// Its state.
        state: MemberState,
        /// Who reported it dead, where somebody did.
        reporter: Option<Rc<str>>,
        /// Whether its process has started anew.
        restarted: bool,
    },
    /// A member asks for this relay's endpoint list; [`Event::EndpointListReply`] answers it.
    EndpointListRequested {
        /// Number of the stream.
        stream: u64,
    },
    /// A member's endpoint list.
    EndpointListReceived {
        /// Name of the member.
        from: Rc<str>,
        /// The list.
        bytes: Vec<u8>,
    },
    /// A message for the user.
    UserMessageReceived {
        /// Name of the member that sent it.
        from: Rc<str>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A line for the log, of something out of the ordinary.
    Log {
        /// The line.
        message: String,
    },
}

/// Counted since the process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent, in datagrams and on streams.
    pub bytes_sent: u64,
    /// Packets received, by datagram and on streams.
    pub packets_received: u64,
    /// Probes started.
    pub probes: u64,
    /// Suspicions that started with a failed probe of this relay.
    pub suspicions: u64,
    /// Members that this relay declared dead, as a suspicion timeout of its own was over.
    pub declared_dead: u64,
    /// Suspicions of this relay that it refuted.
    pub refutations: u64,
    /// Times at which the timer came so late that the process must have stalled.
    pub stalls: u64,
    /// What was dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
}

impl Counters {
    pub(crate) fn count_dropped(&mut self, reason: DropReason, count: u64) {
        *self.dropped.entry(reason).or_default() += count;
    }
}
