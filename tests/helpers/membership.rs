//! `MembershipSubject` is the membership of relay `a`, with start number 5. Each relay has a letter as
//! its name and an address of its own. Keys of a site line: `peers=b,c` and `relay_count=N`. Inputs
//! (with `stalled` at the end, no timer expires before the input):
//!   `activate`, `deactivate`, `leave`, `metadata-changed draining`, `advance`, which only lets time
//!   pass; `datagram NAME ping|ack|nack|gossip [UPDATE ..]`, `datagram NAME ping-request TARGET`: a
//!   datagram from relay NAME; an ack or nack has the sequence number of the last ping;
//!   `push-pull-request NAME [UPDATE ..]`, `push-pull-response NAME [UPDATE ..]`: a frame on a stream
//!   from relay NAME; `incarnation=START.COUNTER`, `addr=NAME` (the address of another relay),
//!   `name=NAME` (the name of another relay) change the sender.
//! An update is `NAME:STATE@START.COUNTER[/REPORTER]`, whose state `gone` is called dead in the papers.
//! Effects: `ack NAME`, `nack NAME`, `ping-request NAME for TARGET`, `push-pull-response`,
//! `close-stream` (without a response), `start-listening`, `stop-listening`, `stall` (a stall was
//! counted), `name-conflict at NAME`; `NAME is STATE` and `incarnation START.COUNTER` when these have
//! changed; `ping NAME`, `push-pull-request NAME` and `gossip` only if a line expects them.
use crate::{option, parse_number, Fault, Subject};
use hallrelay_balancer::types::Micros;
use hallrelay_membership::message::{decode, MessageBody, Packet, MAX_DATAGRAM_BYTES};
use hallrelay_membership::{
    Effect, Event, Incarnation, LocalMember, MemberMetadata, MemberState, Membership, ReportedLifecycle,
    Update,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const FLEET: &str = "f";

fn addr_of(name: &str) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, name.bytes().next().unwrap_or(b'?')], 7946))
}

fn name_of(addr: SocketAddr) -> String {
    match addr {
        SocketAddr::V4(addr) => char::from(addr.ip().octets()[3]).to_string(),
        SocketAddr::V6(_) => "?".to_string(),
    }
}

fn parse_incarnation(word: &str) -> Result<Incarnation, Fault> {
    let (start, counter) = word.split_once('.').ok_or(format!("'{word}' is not START.COUNTER"))?;
    Ok(Incarnation { start: parse_number(start)?, counter: parse_number(counter)? })
}

fn parse_update(word: &str) -> Result<Update, Fault> {
    let invalid = || format!("'{word}' is not NAME:STATE@START.COUNTER[/REPORTER]");
    let (name, rest) = word.split_once(':').ok_or_else(invalid)?;
    let (state, rest) = rest.split_once('@').ok_or_else(invalid)?;
    let (at, reporter) = rest.split_once('/').map_or((rest, None), |(at, by)| (at, Some(by.into())));
    let state = MemberState::ALL.into_iter().find(|s| s.as_str() == state).ok_or_else(invalid)?;
    Ok(Update {
        name: name.into(),
        addr: addr_of(name),
        incarnation: parse_incarnation(at)?,
        state,
        reporter,
        metadata: MemberMetadata::default(),
    })
}

pub struct MembershipSubject {
    local: LocalMember,
    membership: Option<Membership>,
    timers: BTreeMap<(Micros, usize), ()>,
    effects: Vec<String>,
    /// The sequence number of the last ping that was sent.
    last_ping: u32,
    /// The last printed state of each member, by its name. The text of each printed name conflict is an entry
    /// too.
    printed: BTreeMap<String, MemberState>,
    incarnation: Incarnation,
}

impl Default for MembershipSubject {
    fn default() -> MembershipSubject {
        MembershipSubject {
            local: LocalMember {
                fleet: FLEET.into(),
                name: "a".into(),
                addr: addr_of("a"),
                start: 5,
                metadata: MemberMetadata::default(),
                peers: vec![addr_of("b")],
                configured_relays: 5,
                random_seed: 7,
            },
            membership: None,
            timers: BTreeMap::new(),
            effects: Vec::new(),
            last_ping: 0,
            printed: BTreeMap::new(),
            incarnation: Incarnation { start: 5, counter: 0 },
        }
    }
}

impl MembershipSubject {
    fn step(&mut self, now: Micros, event: Event) {
        let membership = self.membership.get_or_insert_with(|| Membership::new(self.local.clone()));
        let mut effects = Vec::new();
        let stalls_before = membership.counters.stalls;
        membership.step(now, event, &mut effects);
        if membership.counters.stalls > stalls_before {
            self.effects.push("stall".to_string());
        }
        self.print_changes();
        for effect in effects {
            self.print_effect(now, effect);
        }
    }

    fn print_effect(&mut self, now: Micros, effect: Effect) {
        let text = match effect {
            Effect::SetTimer { after } => {
                self.timers.insert((now + after, self.timers.len()), ());
                return;
            }
            Effect::SendDatagram { to, bytes } => self.datagram_text(to, &bytes),
            Effect::OpenStream { to, .. } => format!("push-pull-request {}", name_of(to)),
            Effect::ReplyOnStream { bytes: Some(_), .. } => "push-pull-response".to_string(),
            Effect::ReplyOnStream { bytes: None, .. } => "close-stream".to_string(),
            Effect::SetListening { enabled: true } => "start-listening".to_string(),
            Effect::SetListening { enabled: false } => "stop-listening".to_string(),
            Effect::EndpointListRequested { .. } => "endpoint-list-requested".to_string(),
            Effect::EndpointListReceived { from, .. } => format!("endpoint-list of {from}"),
            Effect::UserMessageReceived { from, .. } => format!("user-message of {from}"),
            Effect::MemberChanged { .. } | Effect::Log { .. } => return,
        };
        self.effects.push(text);
    }

    fn datagram_text(&mut self, to: SocketAddr, bytes: &[u8]) -> String {
        let packet =
            decode(FLEET, bytes, MAX_DATAGRAM_BYTES).expect("decode a datagram that membership sent");
        let to = name_of(to);
        match packet.body {
            MessageBody::Ping { sequence } => {
                self.last_ping = sequence;
                format!("ping {to}")
            }
            MessageBody::Ack { .. } => format!("ack {to}"),
            MessageBody::Nack { .. } => format!("nack {to}"),
            MessageBody::PingRequest { target, .. } => format!("ping-request {to} for {target}"),
            MessageBody::Gossip => "gossip".to_string(),
            _ => "unexpected datagram".to_string(),
        }
    }

    /// Prints changed states of members, a changed incarnation of this relay and a new name conflict.
    fn print_changes(&mut self) {
        let Some(membership) = &self.membership else { return };
        for member in membership.members() {
            let name = member.name().to_string();
            let state = member.state();
            if self.printed.insert(name.clone(), state) != Some(state) {
                self.effects.push(format!("{name} is {}", state.as_str()));
            }
        }
        if membership.incarnation() != self.incarnation {
            self.incarnation = membership.incarnation();
            let Incarnation { start, counter } = self.incarnation;
            self.effects.push(format!("incarnation {start}.{counter}"));
        }
        if let Some(conflict) = membership.name_conflict() {
            let text = format!("name-conflict at {}", name_of(conflict.addr));
            if !self.printed.contains_key(&text) {
                self.printed.insert(text.clone(), MemberState::Alive);
                self.effects.push(text);
            }
        }
    }

    fn packet(&self, words: &[&str], body: MessageBody) -> Result<(SocketAddr, Box<Packet>), Fault> {
        let name = words.get(1).copied().ok_or("the line lacks the sender's name")?;
        let addr = addr_of(option(words, "addr").unwrap_or(name));
        let first = Incarnation { start: 1, counter: 0 };
        let sender = Update {
            name: option(words, "name").unwrap_or(name).into(),
            addr,
            incarnation: option(words, "incarnation").map_or(Ok(first), parse_incarnation)?,
            state: MemberState::Alive,
            reporter: None,
            metadata: MemberMetadata::default(),
        };
        let updates =
            words.iter().filter(|w| w.contains('@')).map(|w| parse_update(w)).collect::<Result<_, _>>()?;
        Ok((addr, Box::new(Packet { fleet: FLEET.into(), sender, body, updates })))
    }

    fn event(&self, words: &[&str]) -> Result<Option<Event>, Fault> {
        let word = |i: usize| words.get(i).copied().unwrap_or("");
        Ok(Some(match word(0) {
            "advance" => return Ok(None),
            "activate" => Event::Activate,
            "deactivate" => Event::Deactivate,
            "leave" => Event::Leave,
            "metadata-changed" if word(1) == "draining" => {
                let lifecycle = ReportedLifecycle::Draining;
                Event::MetadataChanged { metadata: MemberMetadata { lifecycle, ..MemberMetadata::default() } }
            }
            "datagram" => {
                let (from, packet) = self.packet(words, self.body(word(2), word(3))?)?;
                Event::DatagramReceived { from, packet }
            }
            "push-pull-request" => {
                let (from, packet) = self.packet(words, MessageBody::PushPullRequest)?;
                Event::StreamRequest { stream: 1, from, packet }
            }
            "push-pull-response" => {
                Event::StreamResponse { packet: self.packet(words, MessageBody::PushPullResponse)?.1 }
            }
            other => return Err(format!("unknown input '{other}'")),
        }))
    }

    /// The body of the input `datagram NAME KIND [TARGET]`.
    fn body(&self, kind: &str, target: &str) -> Result<MessageBody, Fault> {
        let sequence = self.last_ping;
        match kind {
            "ping" => Ok(MessageBody::Ping { sequence: 900 }),
            "ack" => Ok(MessageBody::Ack { sequence }),
            "nack" => Ok(MessageBody::Nack { sequence }),
            "ping-request" => {
                Ok(MessageBody::PingRequest { sequence: 901, target: target.into(), addr: addr_of(target) })
            }
            "gossip" => Ok(MessageBody::Gossip),
            unknown => Err(format!("unknown kind of datagram '{unknown}'")),
        }
    }
}

impl Subject for MembershipSubject {
    fn set_site(&mut self, words: &[&str]) -> Result<(), Fault> {
        if let Some(peers) = option(words, "peers") {
            self.local.peers = peers.split(',').map(addr_of).collect();
        }
        if let Some(relays) = option(words, "relay_count") {
            self.local.configured_relays = parse_number(relays)?;
        }
        Ok(())
    }

    fn input(&mut self, now: Micros, words: &[&str]) -> Result<(), Fault> {
        self.effects.clear();
        let stalled = words.last() == Some(&"stalled");
        while let Some((&key, ())) = self.timers.first_key_value().filter(|(k, ())| k.0 < now && !stalled) {
            self.timers.remove(&key);
            self.step(key.0, Event::TimerExpired);
        }
        if let Some(event) = self.event(words)? {
            self.step(now, event);
        }
        Ok(())
    }

    fn effects(&mut self) -> Vec<String> {
        self.effects.clone()
    }
}
