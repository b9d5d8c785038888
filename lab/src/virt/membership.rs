//! Membership in virtual time: datagrams and streams between relays over the emulated links, stalls of relay
//! processes, and polls of the relays' views.
use super::events::QueuedEvent;
use super::VirtualDay;
use hallrelay_balancer::types::Micros;
use hallrelay_emulator::links::Arrival;
use hallrelay_emulator::membership_audit::ProcessState;
use hallrelay_emulator::node::MembershipAddresses;
use hallrelay_membership::message::{decode, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
use hallrelay_membership::{Effect as MembershipEffect, Event as MembershipEvent};
use hallrelay_relay::reducer::{Effect, Event, OperatorReply, OperatorRequest};
use std::net::SocketAddr;

/// The address that a relay advertises to others. Its last two bytes are the number of the relay.
pub(super) fn advertised(relay: usize) -> SocketAddr {
    SocketAddr::from(([127, 10, (relay >> 8) as u8, relay as u8], 7946))
}

/// The address on which a relay listens.
fn listen(relay: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (relay >> 8) as u8, relay as u8], 7946))
}

/// The relay that advertises an address; `None` if it is not one of the first `count` relays.
fn relay_at(addr: SocketAddr, count: usize) -> Option<usize> {
    let SocketAddr::V4(addr) = addr else { return None };
    let [_, net, high, low] = addr.ip().octets();
    let relay = usize::from(high) << 8 | usize::from(low);
    (net == 10 && relay < count).then_some(relay)
}

/// The address on which a relay listens, and the advertised addresses of all relays.
pub(super) fn addresses(relay: usize, count: usize) -> MembershipAddresses {
    MembershipAddresses { listen: listen(relay), advertised: (0..count).map(advertised).collect() }
}

/// Interval between polls of all views: 100 ms for few relays, longer for many to limit the cost.
fn poll_interval(relays: usize) -> Micros {
    match relays {
        0..=16 => 100_000,
        17..=64 => 250_000,
        _ => 1_000_000,
    }
}

/// Data in flight from one relay to another.
pub(super) enum Transmission {
    Datagram(Vec<u8>),
    /// The frame on a stream that the sender opened.
    StreamRequest(Vec<u8>),
    /// The answer on a stream that the receiver opened.
    StreamResponse(Vec<u8>),
}

impl VirtualDay<'_> {
    /// Carries out an effect for the membership sockets.
    pub(super) fn carry_out_membership(&mut self, from: usize, effect: MembershipEffect) {
        let count = self.relays.len();
        match effect {
            MembershipEffect::SendDatagram { to, bytes } => {
                let Some(to) = relay_at(to, count) else { return };
                let mut arrivals = Vec::new();
                self.day.links.send(self.now, from, to, bytes, &mut arrivals);
                self.schedule_arrivals(arrivals);
            }
            MembershipEffect::OpenStream { to, bytes } => {
                let Some(to) = relay_at(to, count) else { return };
                // A round trip to connect, and one way for the frame.
                if let Some(latency) = self.day.links.stream_latency(from, to) {
                    let transmission = Transmission::StreamRequest(bytes);
                    self.schedule_after(3 * latency, QueuedEvent::Transmission { from, to, transmission });
                }
            }
            MembershipEffect::ReplyOnStream { stream, bytes: Some(bytes) } => {
                let to = stream as usize;
                if let Some(latency) = self.day.links.stream_latency(from, to) {
                    let transmission = Transmission::StreamResponse(bytes);
                    self.schedule_after(latency, QueuedEvent::Transmission { from, to, transmission });
                }
            }
            MembershipEffect::ReplyOnStream { bytes: None, .. } | MembershipEffect::SetListening { .. } => {}
            // The reducer has already handled these.
            MembershipEffect::SetTimer { .. }
            | MembershipEffect::Log { .. }
            | MembershipEffect::MemberChanged { .. }
            | MembershipEffect::EndpointListRequested { .. }
            | MembershipEffect::EndpointListReceived { .. }
            | MembershipEffect::UserMessageReceived { .. } => {}
        }
    }

    pub(super) fn schedule_arrivals(&mut self, arrivals: Vec<Arrival>) {
        for Arrival { at, from, to, bytes } in arrivals {
            let transmission = Transmission::Datagram(bytes);
            self.queue.schedule(at, QueuedEvent::Transmission { from, to, transmission });
        }
    }

    /// A relay receives data. As on sockets, data that is not a valid packet of the relay's fleet is dropped.
    pub(super) fn receive_transmission(&mut self, from: usize, to: usize, transmission: Transmission) {
        let (bytes, max_bytes) = match &transmission {
            Transmission::Datagram(bytes) => (bytes, MAX_DATAGRAM_BYTES),
            Transmission::StreamRequest(bytes) | Transmission::StreamResponse(bytes) => {
                (bytes, MAX_FRAME_BYTES)
            }
        };
        let event = match decode(&self.day.scenario.name, bytes, max_bytes) {
            Err(error) => MembershipEvent::PacketsDropped { reason: error.into(), count: 1 },
            Ok(packet) => {
                let packet = Box::new(packet);
                let sender = advertised(from);
                match transmission {
                    Transmission::Datagram(_) => MembershipEvent::DatagramReceived { from: sender, packet },
                    Transmission::StreamRequest(_) => {
                        MembershipEvent::StreamRequest { stream: from as u64, from: sender, packet }
                    }
                    Transmission::StreamResponse(_) => MembershipEvent::StreamResponse { packet },
                }
            }
        };
        self.step(to, Event::Membership(event));
    }

    /// Stalls a relay process. Events that arrive in the meantime are kept.
    pub(super) fn stall(&mut self, relay: usize) {
        if self.relays[relay].state_machine.is_some() && self.relays[relay].stalled.is_none() {
            self.relays[relay].stalled = Some(Vec::new());
            self.day.audit.relay_stalled(relay);
            self.day.membership_audit.process_changed(self.now, relay, ProcessState::Stalled);
        }
    }

    /// Resumes a relay process. Events that arrived in the meantime are due immediately, in order.
    pub(super) fn resume(&mut self, relay: usize) {
        let Some(waiting) = self.relays[relay].stalled.take() else { return };
        self.day.audit.relay_woke(self.now, relay);
        self.day.membership_audit.process_changed(self.now, relay, ProcessState::Up);
        for event in waiting {
            self.queue.schedule(self.now, event);
        }
    }

    /// Polls all relays for their views, and schedules the next poll.
    pub(super) fn poll_views(&mut self) {
        for relay in 0..self.relays.len() {
            if self.relays[relay].stalled.is_some() {
                continue;
            }
            let Some(state_machine) = self.relays[relay].state_machine.as_mut() else { continue };
            let mut effects = Vec::new();
            let request = Event::OperatorCall { call: 0, request: OperatorRequest::Membership };
            state_machine.step(self.now, request, &mut effects);
            for effect in effects {
                if let Effect::Reply { reply: OperatorReply::Membership(Some(status)), .. } = effect {
                    self.day.membership_audit.status_reported(self.now, relay, &status);
                }
            }
        }
        self.schedule_after(poll_interval(self.relays.len()), QueuedEvent::PollViews);
    }
}
