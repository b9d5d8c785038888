//! `MembershipSubject` is membership alone, of relay `a`, started as number 5; relays have a letter each and
//! are reached at addresses of their own. A site line may say `peers=b,c`, `relays=N`. Inputs, each with
//! `stalled` behind it where no timer could expire before it:
//!   `begin`, `yield`, `leave`, `drains`, `run`: activate, deactivate, leave, report to be draining, nothing;
//!   `says NAME ping|ack|nack|gossip [UPDATE ..]`, `says NAME ask OTHER`: a datagram, where an ack or nack is
//!   of the last ping, and `ask` is a ping request;
//!   `visits NAME [UPDATE ..]`, `returns NAME [UPDATE ..]`: push/pull request and response;
//!   `rank=START.INCARNATION`, `at=NAME` (another's address), `name=NAME` (another's name) change the sender.
//! An update is `NAME:STATE@START.INCARNATION[/REPORTER]`, where the state `gone` is dead. Effects: `ack
//! NAME`, `nack NAME`, `asks NAME of OTHER` (ping request), `answers`, `answers nothing`, `open`, `shut`,
//! `NAME is STATE` and `rank START.INCARNATION` where these have changed, `late` (stalled), `twin at NAME`
//! (name conflict); `ping NAME`, `visit NAME` (push/pull request) and `gossip` only where a line asks for
//! them.
use crate::{num, option, Fault, Subject};
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

fn letter_at(addr: SocketAddr) -> String {
    match addr {
        SocketAddr::V4(addr) => char::from(addr.ip().octets()[3]).to_string(),
        SocketAddr::V6(_) => "?".to_string(),
    }
}

fn incarnation(word: &str) -> Result<Incarnation, Fault> {
    let (start, counter) = word.split_once('.').ok_or(format!("'{word}' is not START.INCARNATION"))?;
    Ok(Incarnation { start: num(start)?, counter: num(counter)? })
}

fn update(word: &str) -> Result<Update, Fault> {
    let odd = || format!("'{word}' is no update");
    let (name, rest) = word.split_once(':').ok_or_else(odd)?;
    let (state, rest) = rest.split_once('@').ok_or_else(odd)?;
    let (at, reporter) = rest.split_once('/').map_or((rest, None), |(at, by)| (at, Some(by.into())));
    let state = MemberState::ALL.into_iter().find(|s| s.as_str() == state).ok_or_else(odd)?;
    Ok(Update {
        name: name.into(),
        addr: addr_of(name),
        incarnation: incarnation(at)?,
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
    /// By name, what was last printed of a member; name conflicts that were printed are among them.
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
            self.effects.push("late".to_string());
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
            Effect::OpenStream { to, .. } => format!("visit {}", letter_at(to)),
            Effect::ReplyOnStream { bytes: Some(_), .. } => "answers".to_string(),
            Effect::ReplyOnStream { bytes: None, .. } => "answers nothing".to_string(),
            Effect::SetListening { enabled: true } => "open".to_string(),
            Effect::SetListening { enabled: false } => "shut".to_string(),
            Effect::EndpointListRequested { .. } => "asked".to_string(),
            Effect::EndpointListReceived { from, .. } => format!("recalled by {from}"),
            Effect::UserMessageReceived { from, .. } => format!("said by {from}"),
            Effect::MemberChanged { .. } | Effect::Log { .. } => return,
        };
        self.effects.push(text);
    }

    fn datagram_text(&mut self, to: SocketAddr, bytes: &[u8]) -> String {
        let packet = decode(FLEET, bytes, MAX_DATAGRAM_BYTES).expect("a sound datagram");
        let to = letter_at(to);
        match packet.body {
            MessageBody::Ping { sequence } => {
                self.last_ping = sequence;
                format!("ping {to}")
            }
            MessageBody::Ack { .. } => format!("ack {to}"),
            MessageBody::Nack { .. } => format!("nack {to}"),
            MessageBody::PingRequest { target, .. } => format!("asks {to} of {target}"),
            MessageBody::Gossip => "gossip".to_string(),
            _ => "a table by datagram".to_string(),
        }
    }

    /// What it holds of others and of itself, where that is new.
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
            self.effects.push(format!("rank {start}.{counter}"));
        }
        if let Some(conflict) = membership.name_conflict() {
            let text = format!("twin at {}", letter_at(conflict.addr));
            if !self.printed.contains_key(&text) {
                self.printed.insert(text.clone(), MemberState::Alive);
                self.effects.push(text);
            }
        }
    }

    fn packet(&self, words: &[&str], body: MessageBody) -> Result<(SocketAddr, Box<Packet>), Fault> {
        let name = words.get(1).copied().ok_or("who speaks?")?;
        let addr = addr_of(option(words, "at").unwrap_or(name));
        let first = Incarnation { start: 1, counter: 0 };
        let sender = Update {
            name: option(words, "name").unwrap_or(name).into(),
            addr,
            incarnation: option(words, "rank").map_or(Ok(first), incarnation)?,
            state: MemberState::Alive,
            reporter: None,
            metadata: MemberMetadata::default(),
        };
        let updates =
            words.iter().filter(|w| w.contains('@')).map(|w| update(w)).collect::<Result<_, _>>()?;
        Ok((addr, Box::new(Packet { fleet: FLEET.into(), sender, body, updates })))
    }

    fn event(&self, words: &[&str]) -> Result<Option<Event>, Fault> {
        let word = |i: usize| words.get(i).copied().unwrap_or("");
        Ok(Some(match word(0) {
            "run" => return Ok(None),
            "begin" => Event::Activate,
            "yield" => Event::Deactivate,
            "leave" => Event::Leave,
            "drains" => {
                let lifecycle = ReportedLifecycle::Draining;
                Event::MetadataChanged { metadata: MemberMetadata { lifecycle, ..MemberMetadata::default() } }
            }
            "says" => {
                let (from, packet) = self.packet(words, self.body(word(2), word(3))?)?;
                Event::DatagramReceived { from, packet }
            }
            "visits" => {
                let (from, packet) = self.packet(words, MessageBody::PushPullRequest)?;
                Event::StreamRequest { stream: 1, from, packet }
            }
            "returns" => {
                Event::StreamResponse { packet: self.packet(words, MessageBody::PushPullResponse)?.1 }
            }
            other => return Err(format!("unknown input '{other}'")),
        }))
    }

    /// What a line `says NAME WORD [OTHER]` sends.
    fn body(&self, word: &str, other: &str) -> Result<MessageBody, Fault> {
        let sequence = self.last_ping;
        match word {
            "ping" => Ok(MessageBody::Ping { sequence: 900 }),
            "ack" => Ok(MessageBody::Ack { sequence }),
            "nack" => Ok(MessageBody::Nack { sequence }),
            "ask" => {
                Ok(MessageBody::PingRequest { sequence: 901, target: other.into(), addr: addr_of(other) })
            }
            "gossip" => Ok(MessageBody::Gossip),
            unknown => Err(format!("nobody says '{unknown}'")),
        }
    }
}

impl Subject for MembershipSubject {
    fn site(&mut self, words: &[&str]) -> Result<(), Fault> {
        if let Some(peers) = option(words, "peers") {
            self.local.peers = peers.split(',').map(addr_of).collect();
        }
        if let Some(relays) = option(words, "relays") {
            self.local.configured_relays = num(relays)?;
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
