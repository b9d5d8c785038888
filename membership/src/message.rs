//! The wire format between relays: a version byte, a CRC-32, a postcard header, and updates up to the end of
//! the packet. A datagram carries as many updates as fit; a frame on a stream carries the full member table.
use crate::update::Update;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// Version of the wire format, to be raised with each change that an earlier relay would misread. Packets of
/// other versions are dropped and counted.
pub const PROTOCOL_VERSION: u8 = 1;
/// Largest datagram in bytes: the minimum MTU of IPv6 (1,280 bytes) less 48 bytes of headers, rounded down.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest frame on a stream in bytes, enough for a thousand members.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// Longest name of a relay and longest program version, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Number of listeners whose sessions are reported separately; the sessions of others count in the sum only.
pub const MAX_LISTENERS: usize = 16;
/// Length of the version and the checksum in bytes.
const PREFIX_BYTES: usize = 5;

/// The body of a packet. The encoding identifies variants by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// SWIM's direct probe, answered with an `Ack` that has the same sequence number.
    Ping {
        /// Sequence number of the sender's probe.
        sequence: u32,
    },
    /// Answer to a `Ping`, or to a `PingRequest` whose target answered.
    Ack {
        /// Sequence number of the answered probe.
        sequence: u32,
    },
    /// SWIM's indirect probe: asks the receiver to ping another member on the sender's behalf.
    PingRequest {
        /// Sequence number of the sender's probe.
        sequence: u32,
        /// Name of the member to ping.
        target: Rc<str>,
        /// Address of the member to ping.
        addr: SocketAddr,
    },
    /// Lifeguard's nack: the target of a `PingRequest` has not answered yet. The nack shows that the path
    /// between its sender and the requester works.
    Nack {
        /// Sequence number of the requester's probe.
        sequence: u32,
    },
    /// Carries only updates.
    Gossip,
    /// Full-state exchange: carries the sender's member table and requests the receiver's. Sent on streams.
    PushPullRequest,
    /// Answer to a `PushPullRequest`: carries the receiver's member table.
    PushPullResponse,
    /// Requests the receiver's endpoint list. Sent on streams.
    EndpointListRequest,
    /// Answer to an `EndpointListRequest`.
    EndpointListResponse {
        /// The encoded list, which membership does not interpret.
        bytes: Vec<u8>,
    },
    /// A message of the application to one member, sent as a datagram or on a stream. It is not answered.
    User {
        /// The content, which membership does not interpret.
        bytes: Vec<u8>,
    },
}

/// The part of a packet that precedes the updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    fleet: Rc<str>,
    sender: Update,
    body: MessageBody,
}

/// A decoded datagram or frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Name of the sender's fleet.
    pub fleet: Rc<str>,
    /// The sender's statement about itself.
    pub sender: Update,
    /// The body of the packet.
    pub body: MessageBody,
    /// Updates that are piggybacked on the message, or the sender's member table.
    pub updates: Vec<Update>,
}

/// Why bytes are not a valid packet of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The packet has another protocol version.
    #[error("unsupported protocol version, wanted {PROTOCOL_VERSION}")]
    UnsupportedVersion,
    /// The packet is too long or too short, has a wrong checksum, or contains a value out of bounds.
    #[error("malformed packet")]
    Malformed,
    /// The packet belongs to another fleet.
    #[error("packet of another fleet")]
    WrongFleet,
}

/// Why a packet or an update was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// [`DecodeError::UnsupportedVersion`].
    UnsupportedVersion,
    /// [`DecodeError::Malformed`].
    Malformed,
    /// [`DecodeError::WrongFleet`].
    WrongFleet,
    /// The sender's address is neither configured nor that of a member, or is not the one that the sender
    /// reports. Stream requests with an invalid body count too.
    UnknownSender,
    /// More datagrams arrived within a second than are processed.
    RateLimited,
    /// The update is about a new member, and the member table is full.
    TableFull,
}

impl DropReason {
    /// All reasons, in the order of the metrics.
    pub const ALL: [DropReason; 6] = [
        DropReason::UnsupportedVersion,
        DropReason::Malformed,
        DropReason::WrongFleet,
        DropReason::UnknownSender,
        DropReason::RateLimited,
        DropReason::TableFull,
    ];

    /// The word for this reason in status responses and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::UnsupportedVersion => "version",
            DropReason::Malformed => "damaged",
            DropReason::WrongFleet => "other_fleet",
            DropReason::UnknownSender => "stranger",
            DropReason::RateLimited => "flood",
            DropReason::TableFull => "full",
        }
    }
}

impl From<DecodeError> for DropReason {
    fn from(error: DecodeError) -> DropReason {
        match error {
            DecodeError::UnsupportedVersion => DropReason::UnsupportedVersion,
            DecodeError::Malformed => DropReason::Malformed,
            DecodeError::WrongFleet => DropReason::WrongFleet,
        }
    }
}

/// Encodes an update for a packet. The result is empty if encoding fails, which no valid update causes.
pub fn encode_update(update: &Update) -> Vec<u8> {
    postcard::to_stdvec(update).unwrap_or_default()
}

/// An encoded packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedPacket {
    /// The complete packet.
    pub bytes: Vec<u8>,
    /// Number of updates that fitted, counted from the first one.
    pub update_count: usize,
}

/// Encodes a packet with as many of the encoded updates, in the given order, as fit into `max_bytes`. The
/// header is never shortened, so that a packet with a long body may exceed `max_bytes`.
pub fn encode<'a>(
    fleet: &Rc<str>,
    sender: &Update,
    body: MessageBody,
    updates: impl Iterator<Item = &'a [u8]>,
    max_bytes: usize,
) -> EncodedPacket {
    let header = Header { fleet: fleet.clone(), sender: sender.clone(), body };
    let prefix = vec![PROTOCOL_VERSION, 0, 0, 0, 0];
    // Encoding these types to memory cannot fail; a packet without a header would be dropped by its receiver.
    let mut bytes = postcard::to_extend(&header, prefix.clone()).unwrap_or(prefix);
    let mut update_count = 0;
    for update in updates {
        if bytes.len() + update.len() > max_bytes {
            break;
        }
        bytes.extend_from_slice(update);
        update_count += 1;
    }
    let checksum = crc32fast::hash(&bytes[PREFIX_BYTES..]);
    bytes[1..PREFIX_BYTES].copy_from_slice(&checksum.to_le_bytes());
    EncodedPacket { bytes, update_count }
}

/// Decodes a packet that [`encode`] wrote for this fleet.
///
/// # Errors
/// [`DecodeError`] for any other bytes. The memory used is at most a constant multiple of their length.
pub fn decode(fleet: &str, bytes: &[u8], max_bytes: usize) -> Result<Packet, DecodeError> {
    if bytes.len() < PREFIX_BYTES || bytes.len() > max_bytes {
        return Err(DecodeError::Malformed);
    }
    let (prefix, payload) = bytes.split_at(PREFIX_BYTES);
    if prefix[0] != PROTOCOL_VERSION {
        return Err(DecodeError::UnsupportedVersion);
    }
    if crc32fast::hash(payload).to_le_bytes() != prefix[1..] {
        return Err(DecodeError::Malformed);
    }
    let (header, rest) = postcard::take_from_bytes::<Header>(payload).map_err(|_| DecodeError::Malformed)?;
    if *header.fleet != *fleet {
        return Err(DecodeError::WrongFleet);
    }
    let updates = decode_updates(rest)?;
    let target_fits = match &header.body {
        MessageBody::PingRequest { target, .. } => target.len() <= MAX_NAME_BYTES,
        _ => true,
    };
    if !target_fits || !updates.iter().chain([&header.sender]).all(is_valid) {
        return Err(DecodeError::Malformed);
    }
    Ok(Packet { fleet: header.fleet, sender: header.sender, body: header.body, updates })
}

fn decode_updates(mut bytes: &[u8]) -> Result<Vec<Update>, DecodeError> {
    let mut updates = Vec::new();
    while !bytes.is_empty() {
        let (update, rest) =
            postcard::take_from_bytes::<Update>(bytes).map_err(|_| DecodeError::Malformed)?;
        updates.push(update);
        bytes = rest;
    }
    Ok(updates)
}

/// Whether names and lists are within their bounds and the address is a valid destination.
fn is_valid(update: &Update) -> bool {
    let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    let metadata = &update.metadata;
    is_name(&update.name)
        && update.reporter.as_deref().is_none_or(is_name)
        && metadata.version.len() <= MAX_NAME_BYTES
        && metadata.listener_sessions.len() <= MAX_LISTENERS
        && update.addr.port() != 0
        && !update.addr.ip().is_unspecified()
}
