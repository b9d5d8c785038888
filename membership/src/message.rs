//! The wire format between relays: a version byte, a CRC-32, a postcard header, then updates up to the end. A
//! datagram carries as many updates as fit; a frame on a stream carries the whole member table.
use crate::update::Update;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// Raised with each change that an older relay would misread; packets of other versions are dropped and
/// counted.
pub const PROTOCOL_VERSION: u8 = 1;
/// Largest datagram in bytes: IPv6's minimum MTU of 1,280 bytes less 48 bytes of headers, rounded down.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest frame on a stream in bytes: some thousand members.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// Longest name of a relay, and longest version, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Listeners whose sessions are reported one by one; further ones are in the sum alone.
pub const MAX_LISTENERS: usize = 16;
/// Bytes of the version and the checksum.
const PREFIX_BYTES: usize = 5;

/// The body of a packet. Variants are encoded by their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// SWIM's direct probe; answered with an `Ack` of the same sequence number.
    Ping {
        /// Sequence number of the sender's probe.
        sequence: u32,
    },
    /// Answer to a `Ping`, or to a `PingRequest` whose target answered.
    Ack {
        /// Sequence number of the probe that is answered.
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
    /// Lifeguard's nack: the target of a `PingRequest` has not answered yet. It shows that the way between
    /// the two that talk works.
    Nack {
        /// Sequence number of the probe that is answered.
        sequence: u32,
    },
    /// Carries updates alone.
    Gossip,
    /// Anti-entropy: carries the sender's member table, and asks for the receiver's. On streams.
    PushPullRequest,
    /// The receiver's member table.
    PushPullResponse,
    /// Asks for the receiver's endpoint list. On streams.
    EndpointListRequest,
    /// The endpoint list.
    EndpointListResponse {
        /// The user's bytes; membership does not read them.
        bytes: Vec<u8>,
    },
    /// A message of membership's user to one member, on a datagram or a stream; nothing comes back.
    User {
        /// The user's bytes; membership does not read them.
        bytes: Vec<u8>,
    },
}

/// What stands before the updates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    fleet: Rc<str>,
    sender: Update,
    body: MessageBody,
}

/// One decoded datagram or frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Name of the sender's fleet.
    pub fleet: Rc<str>,
    /// The sender's own statement about itself.
    pub sender: Update,
    /// The message.
    pub body: MessageBody,
    /// Piggybacked updates, or the sender's member table.
    pub updates: Vec<Update>,
}

/// Why bytes are no packet of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Another version of the protocol.
    #[error("unsupported protocol version")]
    UnsupportedVersion,
    /// Too long, too short, a wrong checksum, or out of bounds.
    #[error("malformed packet")]
    Malformed,
    /// Of another fleet.
    #[error("packet of another fleet")]
    WrongFleet,
}

/// Why something that was received is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// [`DecodeError::UnsupportedVersion`].
    UnsupportedVersion,
    /// [`DecodeError::Malformed`].
    Malformed,
    /// [`DecodeError::WrongFleet`].
    WrongFleet,
    /// From an address that is neither configured nor a member's.
    UnknownSender,
    /// More datagrams than are read in a second.
    RateLimited,
    /// An update about one member more than the table holds.
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

    /// The word of status answers and metrics.
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

/// The bytes of an update within a packet; empty if it cannot be encoded, which no update of ours comes to.
pub fn encode_update(update: &Update) -> Vec<u8> {
    postcard::to_stdvec(update).unwrap_or_default()
}

/// An encoded packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedPacket {
    /// The whole packet.
    pub bytes: Vec<u8>,
    /// How many of the updates fitted, from the first on.
    pub update_count: usize,
}

/// Encodes a packet with as many of the encoded updates, in their order, as fit into `max_bytes`. The header
/// is always written whole, so a long body may exceed `max_bytes`.
pub fn encode<'a>(
    fleet: &Rc<str>,
    sender: &Update,
    body: MessageBody,
    updates: impl Iterator<Item = &'a [u8]>,
    max_bytes: usize,
) -> EncodedPacket {
    let header = Header { fleet: fleet.clone(), sender: sender.clone(), body };
    let prefix = vec![PROTOCOL_VERSION, 0, 0, 0, 0];
    // Encoding these types to memory cannot fail; a packet without a header is dropped where it arrives.
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

/// Decodes what [`encode`] wrote for a fleet.
///
/// # Errors
/// [`DecodeError`] for anything else, whatever the bytes are; memory used stays within a multiple of their
/// length.
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

/// Whether names are within their bounds, and the address can be sent to.
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
