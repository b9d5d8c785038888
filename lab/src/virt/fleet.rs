//! What goes between relays, and what is done to their processes: datagrams and streams by the rig's ways,
//! stalls, replacements, and a look at what each believes.
use super::*;
use hallrelay_emulator::beliefs::Is;
use hallrelay_emulator::links::Arrival;
use hallrelay_membership::membership::{Effect as Fleet, Event as Heard};
use hallrelay_membership::message::{decode, Fault as Dropped, Packet, DATAGRAM, FRAME};
use hallrelay_relay::reducer::{OperatorReply, OperatorRequest};

/// Where the rig gives a relay out, and where the relay itself listens.
pub(super) fn reached(relay: usize) -> SocketAddr {
    SocketAddr::from(([127, 10, (relay >> 8) as u8, relay as u8], 7946))
}

fn listens(relay: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (relay >> 8) as u8, relay as u8], 7946))
}

fn relay_at(addr: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(a) = addr else { return None };
    let [_, ten, high, low] = a.ip().octets();
    (ten == 10).then_some(usize::from(high) << 8 | usize::from(low))
}

/// Where a relay meets the others, and where all of them are reached.
pub(super) fn places(relay: usize, count: usize) -> (SocketAddr, Vec<SocketAddr>) {
    (listens(relay), (0..count).map(reached).collect())
}

/// What is on its way to a relay from another.
pub(super) enum Way {
    Datagram(Vec<u8>),
    /// A stream's first frame, and the answer to it.
    Visit(Vec<u8>),
    Answer(Vec<u8>),
}

impl Virtual<'_> {
    fn fleet_name(&self) -> &str {
        &self.day.s.name
    }

    pub(super) fn fleet(&mut self, relay: usize, effect: Fleet) {
        match effect {
            Fleet::Send { to, bytes } => {
                let Some(to) = relay_at(to).filter(|to| *to < self.relays.len()) else { return };
                let mut arrivals = Vec::new();
                self.day.links.send(self.now, relay, to, bytes, &mut arrivals);
                self.arrivals(arrivals);
            }
            Fleet::Visit { to, bytes } => {
                let Some(to) = relay_at(to).filter(|to| *to < self.relays.len()) else { return };
                // There and back to connect, and there with the frame.
                if let Some(later) = self.day.links.stream(relay, to) {
                    self.later(3 * later, Ev::Between { from: relay, to, way: Way::Visit(bytes) });
                }
            }
            Fleet::Answer { stream, bytes: Some(bytes) } => {
                let to = stream as usize;
                if let Some(later) = self.day.links.stream(relay, to) {
                    self.later(later, Ev::Between { from: relay, to, way: Way::Answer(bytes) });
                }
            }
            Fleet::Answer { bytes: None, .. } | Fleet::Open { .. } => {}
            // The reducer's own.
            Fleet::Alarm { .. } | Fleet::Note { .. } | Fleet::Found { .. } => {}
            Fleet::Asked { .. } | Fleet::Recalled { .. } | Fleet::Said { .. } => {}
        }
    }

    pub(super) fn arrivals(&mut self, arrivals: Vec<Arrival>) {
        for Arrival { at, from, to, bytes } in arrivals {
            self.queue.at(at, Ev::Between { from, to, way: Way::Datagram(bytes) });
        }
    }

    /// Something comes to a relay, which drops what is no message of its fleet.
    pub(super) fn between(&mut self, from: usize, to: usize, way: Way) {
        let (bytes, most) = match &way {
            Way::Datagram(bytes) => (bytes, DATAGRAM),
            Way::Visit(bytes) | Way::Answer(bytes) => (bytes, FRAME),
        };
        let packet: Result<Packet, Dropped> = decode(self.fleet_name(), bytes, most);
        let at = reached(from);
        let heard = match (packet.map(Box::new), way) {
            (Err(what), _) => Heard::Dropped { what, count: 1 },
            (Ok(packet), Way::Datagram(_)) => Heard::Heard { from: at, packet },
            (Ok(packet), Way::Visit(_)) => Heard::Visited { stream: from as u64, from: at, packet },
            (Ok(packet), Way::Answer(_)) => Heard::Returned { packet },
        };
        self.step(to, Event::Membership(heard));
    }

    pub(super) fn stalls(&mut self, relay: usize) {
        if self.relays[relay].mind.is_some() && self.relays[relay].stalled.is_none() {
            self.relays[relay].stalled = Some(Vec::new());
            self.day.audit.relay_stalls(relay);
            self.day.beliefs.is(self.now, relay, Is::Stalled);
        }
    }

    /// All that came meanwhile is there at once, in its order.
    pub(super) fn wakes(&mut self, relay: usize) {
        let Some(waiting) = self.relays[relay].stalled.take() else { return };
        self.day.audit.relay_wakes(self.now, relay);
        self.day.beliefs.is(self.now, relay, Is::Up);
        waiting.into_iter().for_each(|ev| self.queue.at(self.now, ev));
    }

    /// What each relay says of the fleet.
    pub(super) fn ask_all(&mut self) {
        for relay in 0..self.relays.len() {
            if self.relays[relay].stalled.is_some() {
                continue;
            }
            let Some(mind) = self.relays[relay].mind.as_mut() else { continue };
            let mut out = Vec::new();
            mind.step(self.now, Event::OperatorCall { call: 0, what: OperatorRequest::Membership }, &mut out);
            for effect in out {
                if let Effect::Reply { reply: OperatorReply::Membership(Some(status)), .. } = effect {
                    self.day.beliefs.told(self.now, relay, &status);
                }
            }
        }
        // Often enough to tell tenths of a second where that costs little.
        let every = match self.relays.len() {
            0..=16 => 100_000,
            17..=64 => 250_000,
            _ => 1_000_000,
        };
        self.later(every, Ev::Ask);
    }
}
