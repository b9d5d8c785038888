//! The bytes between relays: a version, a checksum, a postcard head, then claims to the end. A datagram holds
//! as many as fit; a stream's frame holds the whole table.
use crate::member::Claim;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// Counted up with each change that an older relay would misread; others are dropped and counted.
pub const VERSION: u8 = 1;
/// Bytes of a datagram at most: within the least packet that every path takes whole (1,280 of IPv6, less
/// 40 and 8 of head).
pub const DATAGRAM: usize = 1_200;
/// Bytes of a stream's frame at most: some thousand members.
pub const FRAME: usize = 256 << 10;
/// Bytes of a name, of a relay or of a fleet, and of a version.
pub const NAME: usize = 64;
/// Listeners whose sessions a relay tells of; further ones count in the sum alone.
pub const LISTENERS: usize = 16;
/// Version and checksum.
const HEAD: usize = 5;

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Wants an `Ack` of the same number.
    Ping {
        seq: u32,
    },
    Ack {
        seq: u32,
    },
    /// Wants another member pinged, as the sender had no answer, and an `Ack` or a `Nack` for it.
    Ask {
        seq: u32,
        name: Rc<str>,
        addr: SocketAddr,
    },
    /// The one that was asked for does not answer here either: the way to the asker is whole.
    Nack {
        seq: u32,
    },
    /// News alone.
    Gossip,
    /// All that the sender holds; wants the same back.
    Exchange,
    Exchanged,
    /// Wants what the other holds of the list of servers; the users' own bytes, of which nothing here is
    /// read.
    Recall,
    Recalled {
        told: Vec<u8>,
    },
    /// The users' own bytes for this member alone; nothing comes back.
    Word {
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    fleet: Rc<str>,
    own: Claim,
    body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    pub fleet: Rc<str>,
    /// The sender, of its own word.
    pub own: Claim,
    pub body: Body,
    pub news: Vec<Claim>,
}

/// Why bytes are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Another version of the messages.
    Version,
    /// Too long, too short, a wrong checksum, or what no sender writes.
    Damaged,
    OtherFleet,
    /// From an address that is neither configured nor a member's.
    Stranger,
    /// More than is read in a second.
    Flood,
    /// A member too many.
    Full,
}

impl Fault {
    pub const ALL: [Fault; 6] =
        [Fault::Version, Fault::Damaged, Fault::OtherFleet, Fault::Stranger, Fault::Flood, Fault::Full];

    pub fn word(self) -> &'static str {
        match self {
            Fault::Version => "version",
            Fault::Damaged => "damaged",
            Fault::OtherFleet => "other_fleet",
            Fault::Stranger => "stranger",
            Fault::Flood => "flood",
            Fault::Full => "full",
        }
    }
}

/// A claim as it stands in messages; empty where it can't be written, which no sender's claim comes to.
pub fn written(claim: &Claim) -> Vec<u8> {
    postcard::to_stdvec(claim).unwrap_or_default()
}

/// Writes a head and as many written claims, in their order, as fit into `most` bytes; how many did.
pub fn encode<'a>(
    fleet: &Rc<str>,
    own: &Claim,
    body: Body,
    news: impl Iterator<Item = &'a [u8]>,
    most: usize,
) -> (Vec<u8>, usize) {
    let head = Head { fleet: fleet.clone(), own: own.clone(), body };
    let start = vec![VERSION, 0, 0, 0, 0];
    // Writing to memory can't go wrong for these types; what has no head is dropped where it comes.
    let mut bytes = postcard::to_extend(&head, start.clone()).unwrap_or(start);
    let mut fit = 0;
    for claim in news {
        if bytes.len() + claim.len() > most {
            break;
        }
        bytes.extend_from_slice(claim);
        fit += 1;
    }
    let sum = crc32fast::hash(&bytes[HEAD..]);
    bytes[1..HEAD].copy_from_slice(&sum.to_le_bytes());
    (bytes, fit)
}

/// Reads what `encode` wrote, for a fleet's name; anything else is a fault, and costs no more than its bytes.
pub fn decode(fleet: &str, bytes: &[u8], most: usize) -> Result<Packet, Fault> {
    if bytes.len() < HEAD || bytes.len() > most {
        return Err(Fault::Damaged);
    }
    let (start, rest) = bytes.split_at(HEAD);
    if start[0] != VERSION {
        return Err(Fault::Version);
    }
    if crc32fast::hash(rest).to_le_bytes() != start[1..] {
        return Err(Fault::Damaged);
    }
    let (head, mut rest) = postcard::take_from_bytes::<Head>(rest).map_err(|_| Fault::Damaged)?;
    if *head.fleet != *fleet {
        return Err(Fault::OtherFleet);
    }
    let mut news = Vec::new();
    while !rest.is_empty() {
        let (claim, left) = postcard::take_from_bytes::<Claim>(rest).map_err(|_| Fault::Damaged)?;
        news.push(claim);
        rest = left;
    }
    let asked = match &head.body {
        Body::Ask { name, .. } => name.len(),
        _ => 1,
    };
    if !news.iter().chain([&head.own]).all(sound) || asked > NAME {
        return Err(Fault::Damaged);
    }
    Ok(Packet { fleet: head.fleet, own: head.own, body: head.body, news })
}

/// What a sound sender may say: bounded names, an address that can be sent to.
fn sound(claim: &Claim) -> bool {
    let named = |name: &str| !name.is_empty() && name.len() <= NAME;
    let by = claim.by.as_deref().is_none_or(named);
    let about = claim.about.version.len() <= NAME && claim.about.load.len() <= LISTENERS;
    named(&claim.name) && by && about && claim.addr.port() != 0 && !claim.addr.ip().is_unspecified()
}
