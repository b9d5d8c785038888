//! `Members` is membership alone, of relay `a`, started as number 5; relays have a letter each and are
//! reached at addresses of their own. A site line may say `peers=b,c`, `relays=N`. Inputs, each with
//! `stalled` behind it where no alarm could go off before it:
//!   `begin`, `yield`, `leave`, `drains`, `run`,
//!   `says NAME ping|ack|nack|gossip [CLAIM ..]`, `says NAME ask OTHER`: an ack or nack is of the last ping,
//!   `visits NAME [CLAIM ..]`, `returns NAME [CLAIM ..]`: whole tables by stream;
//!   `rank=START.INCARNATION`, `at=NAME` (another's address), `name=NAME` (another's name) change who speaks.
//! A claim is `NAME:STATE@START.INCARNATION[/ACCUSER]`.
//! Effects: `ack NAME`, `nack NAME`, `asks NAME of OTHER`, `answers`, `answers nothing`, `open`, `shut`,
//! `NAME is STATE` and `rank START.INCARNATION` where these have changed, `late`, `twin at NAME`; `ping
//! NAME`,
//! `visit NAME` and `gossip` only where a line asks for them.
use crate::{num, option, Fault, Subject};
use hallrelay_balancer::types::Micros;
use hallrelay_membership::message::{decode, Body, Packet, DATAGRAM};
use hallrelay_membership::{About, Claim, Duty, Effect, Event, Membership, Own, Rank, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn addr(name: &str) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, name.bytes().next().unwrap_or(b'?')], 7946))
}

fn letter(at: SocketAddr) -> String {
    match at {
        SocketAddr::V4(a) => char::from(a.ip().octets()[3]).to_string(),
        SocketAddr::V6(_) => "?".to_string(),
    }
}

fn rank(word: &str) -> Result<Rank, Fault> {
    let (start, incarnation) = word.split_once('.').ok_or(format!("'{word}' is not START.INCARNATION"))?;
    Ok(Rank { start: num(start)?, incarnation: num(incarnation)? })
}

fn claim(word: &str) -> Result<Claim, Fault> {
    let odd = || format!("'{word}' is no claim");
    let (name, rest) = word.split_once(':').ok_or_else(odd)?;
    let (state, rest) = rest.split_once('@').ok_or_else(odd)?;
    let (at, by) = rest.split_once('/').map_or((rest, None), |(at, by)| (at, Some(by.into())));
    let state = State::ALL.into_iter().find(|s| s.word() == state).ok_or_else(odd)?;
    Ok(Claim { name: name.into(), addr: addr(name), rank: rank(at)?, state, by, about: About::default() })
}

pub struct Members {
    own: Own,
    members: Option<Membership>,
    alarms: BTreeMap<(Micros, usize), ()>,
    told: Vec<String>,
    /// The number of the last ping that went out.
    seq: u32,
    held: BTreeMap<String, State>,
    rank: Rank,
}

impl Default for Members {
    fn default() -> Members {
        let own = Own {
            fleet: "f".into(),
            name: "a".into(),
            addr: addr("a"),
            start: 5,
            about: About::default(),
            peers: vec![addr("b")],
            configured: 5,
            seed: 7,
        };
        let rank = Rank { start: 5, incarnation: 0 };
        let (alarms, told, held) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        Members { own, members: None, alarms, told, seq: 0, held, rank }
    }
}

impl Members {
    fn step(&mut self, now: Micros, event: Event) {
        let members = self.members.get_or_insert_with(|| Membership::new(self.own.clone()));
        let (mut out, late) = (Vec::new(), members.counts.late);
        members.step(now, event, &mut out);
        if members.counts.late > late {
            self.told.push("late".to_string());
        }
        self.changes();
        for effect in out {
            match effect {
                Effect::Alarm { after } => _ = self.alarms.insert((now + after, self.alarms.len()), ()),
                Effect::Send { to, bytes } => {
                    let packet = decode("f", &bytes, DATAGRAM).expect("a sound datagram");
                    let to = letter(to);
                    self.told.push(match packet.body {
                        Body::Ping { seq } => {
                            self.seq = seq;
                            format!("ping {to}")
                        }
                        Body::Ack { .. } => format!("ack {to}"),
                        Body::Nack { .. } => format!("nack {to}"),
                        Body::Ask { name, .. } => format!("asks {to} of {name}"),
                        Body::Gossip => "gossip".to_string(),
                        _ => "a table by datagram".to_string(),
                    });
                }
                Effect::Visit { to, .. } => self.told.push(format!("visit {}", letter(to))),
                Effect::Answer { bytes, .. } => {
                    let what = if bytes.is_some() { "answers" } else { "answers nothing" };
                    self.told.push(what.to_string());
                }
                Effect::Open { on } => self.told.push(if on { "open" } else { "shut" }.to_string()),
                Effect::Asked { .. } => self.told.push("asked".to_string()),
                Effect::Recalled { name, .. } => self.told.push(format!("recalled by {name}")),
                Effect::Said { name, .. } => self.told.push(format!("said by {name}")),
                Effect::Found { .. } | Effect::Note { .. } => {}
            }
        }
    }

    /// What it holds of others and of itself, where that is new.
    fn changes(&mut self) {
        let Some(members) = &self.members else { return };
        for m in members.members() {
            let (name, state) = (m.claim.name.to_string(), m.claim.state);
            if self.held.insert(name.clone(), state) != Some(state) {
                self.told.push(format!("{name} is {}", state.word()));
            }
        }
        if members.rank() != self.rank {
            self.rank = members.rank();
            self.told.push(format!("rank {}.{}", self.rank.start, self.rank.incarnation));
        }
        if let Some((at, _)) = members.twin() {
            let what = format!("twin at {}", letter(at));
            if !self.held.contains_key(&what) {
                self.held.insert(what.clone(), State::Alive);
                self.told.push(what);
            }
        }
    }

    fn packet(&self, words: &[&str], body: Body) -> Result<(SocketAddr, Box<Packet>), Fault> {
        let name = words.get(1).copied().ok_or("who speaks?")?;
        let at = addr(option(words, "at").unwrap_or(name));
        let own = Claim {
            name: option(words, "name").unwrap_or(name).into(),
            addr: at,
            rank: option(words, "rank").map_or(Ok(Rank { start: 1, incarnation: 0 }), rank)?,
            state: State::Alive,
            by: None,
            about: About::default(),
        };
        let news = words.iter().filter(|w| w.contains('@')).map(|w| claim(w)).collect::<Result<_, _>>()?;
        let fleet = "f".into();
        Ok((at, Box::new(Packet { fleet, own, body, news })))
    }

    fn event(&self, words: &[&str]) -> Result<Option<Event>, Fault> {
        let word = |i: usize| words.get(i).copied().unwrap_or("");
        let seq = self.seq;
        Ok(Some(match word(0) {
            "run" => return Ok(None),
            "begin" => Event::Begin,
            "yield" => Event::Yield,
            "leave" => Event::Leave,
            "drains" => Event::Turned { about: About { duty: Duty::Draining, ..About::default() } },
            "says" => {
                let body = match word(2) {
                    "ping" => Body::Ping { seq: 900 },
                    "ack" => Body::Ack { seq },
                    "nack" => Body::Nack { seq },
                    "ask" => Body::Ask { seq: 901, name: word(3).into(), addr: addr(word(3)) },
                    "gossip" => Body::Gossip,
                    other => return Err(format!("nobody says '{other}'")),
                };
                let (from, packet) = self.packet(words, body)?;
                Event::Heard { from, packet }
            }
            "visits" => {
                let (from, packet) = self.packet(words, Body::Exchange)?;
                Event::Visited { stream: 1, from, packet }
            }
            "returns" => Event::Returned { packet: self.packet(words, Body::Exchanged)?.1 },
            other => return Err(format!("unknown input '{other}'")),
        }))
    }
}

impl Subject for Members {
    fn site(&mut self, words: &[&str]) -> Result<(), Fault> {
        if let Some(peers) = option(words, "peers") {
            self.own.peers = peers.split(',').map(addr).collect();
        }
        if let Some(relays) = option(words, "relays") {
            self.own.configured = num(relays)?;
        }
        Ok(())
    }

    fn input(&mut self, now: Micros, words: &[&str]) -> Result<(), Fault> {
        self.told.clear();
        let stalled = words.last() == Some(&"stalled");
        while let Some((&key, ())) = self.alarms.first_key_value().filter(|(k, ())| k.0 < now && !stalled) {
            self.alarms.remove(&key);
            self.step(key.0, Event::Alarm);
        }
        if let Some(event) = self.event(words)? {
            self.step(now, event);
        }
        Ok(())
    }

    fn effects(&mut self) -> Vec<String> {
        self.told.clone()
    }
}
