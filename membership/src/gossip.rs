//! Dissemination (SWIM section 4.1): updates ride on every datagram, and on gossip of their own while they
//! are new.
use crate::events::Effect;
use crate::message::{
    encode, encode_update, EncodedPacket, MessageBody, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES,
};
use crate::update::{MemberState, Update};
use crate::{Membership, Micros, MILLISECOND};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Interval of gossip while there is anything to disseminate.
const GOSSIP_INTERVAL: Micros = 100 * MILLISECOND;
/// Members that gossip goes to in each interval.
const GOSSIP_FANOUT: usize = 3;
/// SWIM's lambda: each member sends an update so many times the decimal logarithm of the members, rounded up.
const RETRANSMIT_MULTIPLIER: u32 = 4;
/// Least retransmit limit: in a small fleet half of the transmissions of a member that bridges two partitions
/// go to the wrong side. It rules up to a thousand members.
const MIN_RETRANSMIT_LIMIT: u32 = 12;

/// An update that is being disseminated.
struct Broadcast {
    encoded: Vec<u8>,
    transmits: u32,
    /// Order in which updates were queued.
    id: u64,
}

/// Updates that are being disseminated, the newest about each member.
pub(crate) struct BroadcastQueue {
    broadcasts: BTreeMap<Rc<str>, Broadcast>,
    last_id: u64,
    next_gossip: Micros,
    last_gossip: Micros,
}

impl BroadcastQueue {
    pub(crate) fn new() -> BroadcastQueue {
        BroadcastQueue { broadcasts: BTreeMap::new(), last_id: 0, next_gossip: Micros::MAX, last_gossip: 0 }
    }

    pub(crate) fn next_deadline(&self) -> Micros {
        self.next_gossip
    }

    pub(crate) fn gossip_at(&mut self, at: Micros) {
        self.next_gossip = at;
    }

    /// Replaces what was queued about the same member, and gossips at once unless it just did.
    fn push(&mut self, update: &Update, now: Micros) {
        self.last_id += 1;
        let broadcast = Broadcast { encoded: encode_update(update), transmits: 0, id: self.last_id };
        self.broadcasts.insert(update.name.clone(), broadcast);
        let earliest = now.max(self.last_gossip + GOSSIP_INTERVAL);
        self.next_gossip = self.next_gossip.min(earliest);
    }

    /// Those sent least often first, the newest of these before the others.
    fn in_order(&self) -> Vec<(&Rc<str>, &Broadcast)> {
        let mut order: Vec<(&Rc<str>, &Broadcast)> = self.broadcasts.iter().collect();
        order.sort_by_key(|(_, broadcast)| (broadcast.transmits, Reverse(broadcast.id)));
        order
    }

    /// Counts a transmission, and ends the dissemination at the limit.
    fn count_transmits(&mut self, names: &[Rc<str>], limit: u32) {
        for name in names {
            let Some(broadcast) = self.broadcasts.get_mut(name) else { continue };
            broadcast.transmits += 1;
            if broadcast.transmits >= limit {
                self.broadcasts.remove(name);
            }
        }
    }
}

impl Membership {
    /// SWIM's lambda log n. While few members are known the configured number counts.
    fn retransmit_limit(&self) -> u32 {
        let members = (self.members.live().len() + 2).max(self.local.configured_relays);
        let log_members = (members as f64).log10().ceil() as u32;
        (RETRANSMIT_MULTIPLIER * log_members).max(MIN_RETRANSMIT_LIMIT)
    }

    /// Starts the dissemination of an update.
    pub(crate) fn disseminate(&mut self, update: &Update) {
        self.broadcasts.push(update, self.now);
    }

    /// Sends a message with as many updates as fit. What is held against the receiver itself comes first, so
    /// that it can refute (Lifeguard's buddy system).
    pub(crate) fn send_message(
        &mut self,
        to: SocketAddr,
        receiver: Option<&Rc<str>>,
        body: MessageBody,
        out: &mut Vec<Effect>,
    ) {
        let held = receiver.and_then(|name| self.members.get(name)).map(|member| &member.update);
        let about_receiver =
            held.filter(|update| update.state != MemberState::Alive || update.addr != to).map(encode_update);
        let order = self.broadcasts.in_order();
        let queued = order.iter().map(|(_, broadcast)| broadcast.encoded.as_slice());
        let updates = about_receiver.iter().map(Vec::as_slice).chain(queued);
        let packet = encode(&self.local.fleet, &self.own_update(), body, updates, MAX_DATAGRAM_BYTES);
        let sent = packet.update_count.saturating_sub(usize::from(about_receiver.is_some()));
        let sent: Vec<Rc<str>> = order[..sent].iter().map(|(name, _)| (*name).clone()).collect();
        let limit = self.retransmit_limit();
        self.broadcasts.count_transmits(&sent, limit);
        self.send_datagram(to, packet.bytes, out);
    }

    fn send_datagram(&mut self, to: SocketAddr, bytes: Vec<u8>, out: &mut Vec<Effect>) {
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        out.push(Effect::SendDatagram { to, bytes });
    }

    /// Gossips to some live members.
    fn gossip_to(&mut self, fanout: usize, out: &mut Vec<Effect>) {
        for name in self.random_live_members(fanout, None) {
            if let Some(addr) = self.members.addr_of(&name) {
                self.send_message(addr, Some(&name), MessageBody::Gossip, out);
            }
        }
    }

    /// One round of gossip. With nobody live the queue waits for the next message to somebody.
    pub(crate) fn run_gossip(&mut self, out: &mut Vec<Effect>) {
        self.broadcasts.last_gossip = self.now;
        if !self.broadcasts.broadcasts.is_empty() {
            self.gossip_to(GOSSIP_FANOUT, out);
        }
        let goes_on = !self.broadcasts.broadcasts.is_empty() && !self.members.live().is_empty();
        self.broadcasts.next_gossip = if goes_on { self.now + GOSSIP_INTERVAL } else { Micros::MAX };
    }

    /// The last round, to twice as many: nothing is sent again after it.
    pub(crate) fn run_last_gossip(&mut self, out: &mut Vec<Effect>) {
        self.gossip_to(2 * GOSSIP_FANOUT, out);
    }

    /// Encodes a message without updates; it may be longer than a frame.
    pub(crate) fn encode_alone(&self, body: MessageBody) -> Vec<u8> {
        let no_updates = std::iter::empty();
        let EncodedPacket { bytes, .. } =
            encode(&self.local.fleet, &self.own_update(), body, no_updates, MAX_FRAME_BYTES);
        bytes
    }

    /// Sends a message of the user to one member, or to all that are live: by datagram, or by stream where it
    /// is longer. It is lost where the member is unknown, or the message longer than a frame.
    pub(crate) fn send_user_message(&mut self, to: Option<Rc<str>>, bytes: &[u8], out: &mut Vec<Effect>) {
        let names = to.map_or_else(|| self.members.live().to_vec(), |name| vec![name]);
        for name in names {
            let Some(to) = self.members.addr_of(&name) else { continue };
            let bytes = self.encode_alone(MessageBody::User { bytes: bytes.to_vec() });
            self.counters.bytes_sent += bytes.len() as u64;
            if bytes.len() <= MAX_DATAGRAM_BYTES {
                out.push(Effect::SendDatagram { to, bytes });
            } else if bytes.len() <= MAX_FRAME_BYTES {
                out.push(Effect::OpenStream { to, bytes });
            }
        }
    }
}
