//! Dissemination (SWIM section 4.1): new updates are piggybacked on every datagram and sent in separate
//! gossip messages.
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

/// Interval between rounds of gossip while updates are queued.
const GOSSIP_INTERVAL: Micros = 100 * MILLISECOND;
/// Number of members that receive gossip in each round.
const GOSSIP_FANOUT: usize = 3;
/// SWIM's lambda: a member sends each update this many times the decimal logarithm of the number of members,
/// rounded up.
const RETRANSMIT_MULTIPLIER: u32 = 4;
/// Lower bound of the retransmit limit. If a member connects two partitions of a small fleet, half of its
/// transmissions go to the wrong side. The bound determines the limit in fleets of up to a thousand members.
const MIN_RETRANSMIT_LIMIT: u32 = 12;

/// A queued update.
struct Broadcast {
    encoded: Vec<u8>,
    /// Number of messages that have carried the update.
    transmits: u32,
    /// Position in the order in which updates were queued.
    id: u64,
}

/// Updates that are being disseminated: the latest one about each member.
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

    /// Queues an update in place of an earlier one about the same member. Schedules gossip at once, but not
    /// within [`GOSSIP_INTERVAL`] of the last round.
    fn push(&mut self, update: &Update, now: Micros) {
        self.last_id += 1;
        let broadcast = Broadcast { encoded: encode_update(update), transmits: 0, id: self.last_id };
        self.broadcasts.insert(update.name.clone(), broadcast);
        let earliest = now.max(self.last_gossip + GOSSIP_INTERVAL);
        self.next_gossip = self.next_gossip.min(earliest);
    }

    /// The queue ordered by number of transmissions, with newer updates first among equals.
    fn in_order(&self) -> Vec<(&Rc<str>, &Broadcast)> {
        let mut order: Vec<(&Rc<str>, &Broadcast)> = self.broadcasts.iter().collect();
        order.sort_by_key(|(_, broadcast)| (broadcast.transmits, Reverse(broadcast.id)));
        order
    }

    /// Counts a transmission of the named updates and removes those that reached the limit.
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
    /// Number of messages that carry an update: SWIM's lambda log n. The configured number of relays counts
    /// if fewer members are known. The `+ 2` is for this relay and for memberlist's log (n + 1).
    fn retransmit_limit(&self) -> u32 {
        let members = (self.members.live().len() + 2).max(self.local.configured_relays);
        let log_members = (members as f64).log10().ceil() as u32;
        (RETRANSMIT_MULTIPLIER * log_members).max(MIN_RETRANSMIT_LIMIT)
    }

    /// Starts the dissemination of an update.
    pub(crate) fn disseminate(&mut self, update: &Update) {
        self.broadcasts.push(update, self.now);
    }

    /// Sends a message with as many updates as fit. If the receiver counts as suspect, dead or left here, or
    /// has another address, that update comes first, so that the receiver can refute it (Lifeguard's buddy
    /// system).
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
        // The update about the receiver is not taken from the queue, so it is not counted.
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

    /// Sends gossip to `fanout` random live members.
    fn gossip_to(&mut self, fanout: usize, out: &mut Vec<Effect>) {
        for name in self.random_live_members(fanout, None) {
            if let Some(addr) = self.members.addr_of(&name) {
                self.send_message(addr, Some(&name), MessageBody::Gossip, out);
            }
        }
    }

    /// Runs one round of gossip. Without live members the queue waits for the next message to any member.
    pub(crate) fn run_gossip(&mut self, out: &mut Vec<Effect>) {
        self.broadcasts.last_gossip = self.now;
        if !self.broadcasts.broadcasts.is_empty() {
            self.gossip_to(GOSSIP_FANOUT, out);
        }
        let has_more = !self.broadcasts.broadcasts.is_empty() && !self.members.live().is_empty();
        self.broadcasts.next_gossip = if has_more { self.now + GOSSIP_INTERVAL } else { Micros::MAX };
    }

    /// Runs the last round of gossip, to twice as many members, because nothing is sent after it.
    pub(crate) fn run_last_gossip(&mut self, out: &mut Vec<Effect>) {
        self.gossip_to(2 * GOSSIP_FANOUT, out);
    }

    /// Encodes a message without updates. The result may be longer than a frame.
    pub(crate) fn encode_alone(&self, body: MessageBody) -> Vec<u8> {
        let no_updates = std::iter::empty();
        let EncodedPacket { bytes, .. } =
            encode(&self.local.fleet, &self.own_update(), body, no_updates, MAX_FRAME_BYTES);
        bytes
    }

    /// Sends an application message to one member or to all live members: in a datagram if it fits, otherwise
    /// on a stream. The message is lost if the member is unknown or the message is longer than a frame.
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
