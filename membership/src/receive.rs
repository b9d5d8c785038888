//! Handling of packets from other relays.
use crate::events::Effect;
use crate::message::{DropReason, MessageBody, Packet, MAX_FRAME_BYTES};
use crate::Membership;
use std::net::SocketAddr;

impl Membership {
    /// Handles a datagram. It is accepted only from configured addresses and addresses of members, and only
    /// if the sender reports the address that it came from.
    pub(crate) fn receive_datagram(&mut self, from: SocketAddr, packet: Packet, out: &mut Vec<Effect>) {
        self.counters.packets_received += 1;
        let Packet { sender, body, updates, .. } = packet;
        if sender.name == self.local.name {
            // This relay sent the datagram to itself, because its own address is in the configured list, or
            // another process uses its name.
            return self.apply_update_about_self(&sender, out);
        }
        let is_known = self.members.is_member_addr(from) || self.local.peers.contains(&from);
        if !is_known || sender.addr != from {
            self.counters.count_dropped(DropReason::UnknownSender, 1);
            return self.schedule_push_pull_for_unknown_sender();
        }
        let name = sender.name.clone();
        self.apply_update_of_sender(sender, out);
        for update in updates {
            self.apply_update(update, Some(&name), out);
        }
        match body {
            MessageBody::Ping { sequence } => {
                self.send_message(from, Some(&name), MessageBody::Ack { sequence }, out);
            }
            MessageBody::Ack { sequence } => self.receive_ack(sequence, &name, out),
            MessageBody::PingRequest { sequence, target, addr } => {
                self.receive_ping_request(from, sequence, &target, addr, out);
            }
            MessageBody::Nack { sequence } => self.receive_nack(sequence),
            MessageBody::User { bytes } => out.push(Effect::UserMessageReceived { from: name, bytes }),
            MessageBody::Gossip => {}
            // These bodies are valid on streams only.
            MessageBody::PushPullRequest
            | MessageBody::PushPullResponse
            | MessageBody::EndpointListRequest
            | MessageBody::EndpointListResponse { .. } => {}
        }
    }

    /// Handles a frame on a stream that another relay opened. It makes a new relay a member, since the
    /// connection proves that the relay is at the address that it reports.
    pub(crate) fn receive_request(
        &mut self,
        stream: u64,
        from: SocketAddr,
        packet: Packet,
        out: &mut Vec<Effect>,
    ) {
        let Packet { sender, body, updates, .. } = packet;
        if sender.addr.ip() != from.ip() {
            return self.reject_request(stream, out);
        }
        let name = sender.name.clone();
        let is_member = name != self.local.name && self.members.contains(&name);
        match body {
            MessageBody::PushPullRequest => {
                self.merge_table(sender, updates, out);
                let bytes = self.encode_table(MessageBody::PushPullResponse);
                self.reply(stream, Some(bytes), out);
            }
            MessageBody::EndpointListRequest => {
                self.merge_table(sender, updates, out);
                // Only members receive the list. A new relay requests the member table first.
                if is_member {
                    out.push(Effect::EndpointListRequested { stream });
                } else {
                    self.reply(stream, None, out);
                }
            }
            MessageBody::User { bytes } => {
                self.merge_table(sender, updates, out);
                if is_member {
                    out.push(Effect::UserMessageReceived { from: name, bytes });
                }
                self.reply(stream, None, out);
            }
            _ => self.reject_request(stream, out),
        }
    }

    fn reject_request(&mut self, stream: u64, out: &mut Vec<Effect>) {
        self.counters.count_dropped(DropReason::UnknownSender, 1);
        self.reply(stream, None, out);
    }

    fn reply(&mut self, stream: u64, bytes: Option<Vec<u8>>, out: &mut Vec<Effect>) {
        self.counters.bytes_sent += bytes.as_ref().map_or(0, Vec::len) as u64;
        out.push(Effect::ReplyOnStream { stream, bytes });
    }

    /// Handles the response on a stream that this relay opened.
    pub(crate) fn receive_response(&mut self, packet: Packet, out: &mut Vec<Effect>) {
        let Packet { sender, body, updates, .. } = packet;
        match body {
            MessageBody::PushPullResponse => self.merge_table(sender, updates, out),
            MessageBody::EndpointListResponse { bytes } => {
                let from = sender.name.clone();
                if self.members.contains(&from) {
                    self.apply_update_of_sender(sender, out);
                    out.push(Effect::EndpointListReceived { from, bytes });
                }
            }
            _ => {}
        }
    }

    /// Requests the endpoint list of a random live member.
    pub(crate) fn poll_endpoint_list(&mut self, out: &mut Vec<Effect>) {
        let Some(to) = self.random_live_addr() else { return };
        let bytes = self.encode_alone(MessageBody::EndpointListRequest);
        self.counters.bytes_sent += bytes.len() as u64;
        out.push(Effect::OpenStream { to, bytes });
    }

    /// Answers a request for the endpoint list. A list that does not fit into a frame is not sent.
    pub(crate) fn reply_endpoint_list(&mut self, stream: u64, list: Option<Vec<u8>>, out: &mut Vec<Effect>) {
        let frame = list.map(|bytes| self.encode_alone(MessageBody::EndpointListResponse { bytes }));
        let frame = frame.filter(|frame| frame.len() <= MAX_FRAME_BYTES);
        self.reply(stream, frame, out);
    }
}
