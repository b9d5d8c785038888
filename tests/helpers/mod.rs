//! What relay scenarios are played against.
//! `Program` is the reducer without sockets. Backends are named as in the list; a site line may say
//! `known=NAME,NAME` for the list that the relay starts with, `after` that another process has its place,
//! `told` where the list comes unasked, `timeout=MS` for all dial timeouts, `probes`, `keeps` where what it
//! must know is kept.
//! Inputs, each with `stalled` behind it where no alarm could go off before it:
//!   `came FIRST..LAST`, `part FIRST..LAST`, `ping CONN`, `odd CONN`,
//!   `ask SESS LISTENER [wait=MS] [at=NAME] [mark=ID]`,
//!   `gone SESS`, `departed SESS`, `up SESS DIAL`, `fell SESS DIAL HOW`, `ended SESS HOW`, `took SESS MS`,
//!   `load SESS X`,
//!   `written`, `unfit`, `peer NUMBER hello|ready|yours|left`, `passed SESS`,
//!   `stays SESS`, `inherits SESS LISTENER SERVER`, `call NUMBER ready|figures|drain|activate`,
//!   `list full|changes VERSION NAME[:draining|:gone] ..`,
//!   `list broken` (of the newest watch, or of=WATCH), `reload PORT [KEY=VALUE]`,
//!   `retune LISTENER:EFFECT .. [dials=N] [timeout=MS]`,
//!   `probe NAME HOW|load=X [piled=X]`, `stop`, `run`. `first LINE` and `said LINE` show what a parser makes
//!   of a line, `node KEY..` what is said where that key of the configuration is missing, or is as `=VALUE`
//!   behind it says.
mod loopback;
mod membership;

pub use loopback::Loopback;
pub use membership::MembershipSubject;

use crate::{dial_end, millis, num, option, probe_end, range, Fault, Subject};
use hallrelay_balancer::types::Micros;
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::node::{self, Node, Overrides};
use hallrelay_hot_restart::message::VERSION;
use hallrelay_hot_restart::{Message, OwnershipEvent, RelayState, SessionState};
use hallrelay_relay::lines;
use hallrelay_relay::reducer::{Effect, Event, OperatorReply, OperatorRequest, Reducer};
use serde_json::{json, Value};
use std::collections::BTreeMap;

fn listener(name: &str, utility: f64, kind: &str) -> Value {
    json!({"Name": name, "Utility": utility, "Effect": kind, "Group": "all", "Window": 1000,
        "HandshakeTarget": 300, "DialTimeout": 2000})
}

fn text(listen: &str, discovery: &str, backends: &[(String, String)]) -> Value {
    let instance =
        |(id, addr): &(String, String)| json!({"instanceId": id, "hostPort": addr, "lifecycle": "up"});
    let known: Vec<Value> = backends.iter().map(instance).collect();
    json!({"name": "n1", "listen": listen, "discovery": discovery, "seed": "07",
        "limits": {"sockets": 256},
        "known": {"generation": 1, "reset": true, "instances": known},
        "settings": {
            "Listeners": [listener("low", 1.0, "retryable"), listener("high", 5.0, "retryable"),
                listener("once", 5.0, "fragile")],
            "Ceilings": {"MayProbe": false, "MostDials": 4, "MaxOpen": 1000, "RetryAfter": false,
                "ConnectTimeout": 250},
            "Rules": {"Cold": 10000, "ColdFrom": 0.2, "FallMultiple": 3, "DrainGrace": 250,
                "AskWithin": 10000},
            "Charges": {"CrossZone": 0, "Moves": 0, "Probe": 0},
            "FamilyInfo": {"Mode": "proxy", "Groups": true, "TellsDelay": true, "MessageAim": [60, 60, 60]},
            "Report": {"How": "on_probe", "Fields": ["inflight", "x0", "x1"]},
            "Discovery": "subscribe", "FailureDomains": ["here"], "Zone": 0, "Instances": 1, "SlotNo": 0}})
}

fn node(text: &Value) -> Result<Node, Fault> {
    node::parse(text.to_string().as_bytes(), &Overrides::default()).map_err(|e| e.to_string())
}

/// An address that stands for a backend's name, and back.
fn addr(name: &str) -> String {
    let number: u16 = name.trim_start_matches("s-").parse().unwrap_or(0);
    format!("127.0.0.1:{}", 1000 + number)
}

#[derive(Default)]
pub struct Program {
    known: Vec<(String, String)>,
    told: bool,
    timeout: Option<u32>,
    probes: bool,
    keeps: bool,
    after: bool,
    /// The newest watch.
    watch: u32,
    reducer: Option<Reducer>,
    alarms: BTreeMap<(Micros, usize), hallrelay_relay::reducer::Timer>,
    asked: usize,
    effects: Vec<Effect>,
    said: Vec<String>,
    /// Probes go by server, scenarios by name.
    probed: BTreeMap<String, u32>,
}

impl Program {
    fn text(&self, discovery: &str) -> Value {
        let mut text = text("127.0.0.1:1", discovery, &self.known);
        text["settings"]["Ceilings"]["MayProbe"] = json!(self.probes);
        if self.keeps {
            text["state"] = json!("state");
        }
        if self.told {
            text["settings"]["Discovery"] = json!("automatic");
        }
        if let (Some(timeout), Some(all)) = (self.timeout, text["settings"]["Listeners"].as_array_mut()) {
            all.iter_mut().for_each(|one| one["DialTimeout"] = json!(timeout));
        }
        text
    }

    fn begin(&mut self, now: Micros) -> Result<(), Fault> {
        if self.reducer.is_some() {
            return Ok(());
        }
        let (mut reducer, mut out) =
            (Reducer::new(node(&self.text("127.0.0.1:2"))?, self.after.then_some(0)), Vec::new());
        reducer.start(now, &mut out);
        self.reducer = Some(reducer);
        // Every relay takes connections once it has begun.
        out.retain(|effect| *effect != Effect::SetAccepting { accepting: true });
        self.note(now, out);
        Ok(())
    }

    fn step(&mut self, now: Micros, event: Event) {
        let mut out = Vec::new();
        self.reducer.as_mut().expect("it has begun").step(now, event, &mut out);
        self.note(now, out);
    }

    fn note(&mut self, now: Micros, mut out: Vec<Effect>) {
        // Whatever is played, each session that was taken has one outcome, or waits for it.
        if let Some(reducer) = &self.reducer {
            let figures = reducer.metrics();
            let sums = figures.listeners.values().fold((0, 0), |sum, n| {
                (sum.0 + n.requested, sum.1 + n.established + n.rejected + n.failed + n.abandoned)
            });
            assert_eq!(sums.0, sums.1 + figures.waiting as u64, "{figures:?}");
        }
        for effect in &out {
            if let Effect::StartTimer { after, timer: alarm } = *effect {
                self.asked += 1;
                self.alarms.insert((now + after, self.asked), alarm);
            }
            if let Effect::WatchEndpoints { watch, .. } = *effect {
                self.watch = watch;
            }
            if let Effect::HealthCheck { server, addr } = effect {
                self.probed.insert(format!("s-{}", addr.port() - 1000), *server);
            }
        }
        self.effects.append(&mut out);
    }

    fn events(&self, words: &[&str]) -> Result<Vec<Event>, Fault> {
        let at = |i: usize| words.get(i).copied().ok_or(format!("'{}' is too short", words.join(" ")));
        let session_id = || num(at(1)?);
        let watch = option(words, "of").map_or(Ok(self.watch), num)?;
        Ok(vec![match at(0)? {
            "run" => return Ok(vec![]),
            "stop" => Event::StopRequested,
            "unfit" => Event::ConfigurationRejected,
            "passed" => Event::SessionHandedOver { session_id: session_id()? },
            "stays" => Event::SessionHandoverFailed { session_id: session_id()? },
            "inherits" => {
                let (listener, server) = (at(2)?.to_string(), at(3)?.to_string());
                let id = u64::from(session_id()?);
                let session = SessionState { id, listener, server, ..SessionState::default() };
                Event::SessionAdopted { session_id: session_id()?, state: Box::new(session) }
            }
            "peer" => {
                let peer = num(at(1)?)?;
                let message = match at(2)? {
                    "left" => return Ok(vec![Event::HotRestart(OwnershipEvent::Disconnected { peer })]),
                    "hello" => Message::Hello {
                        version: VERSION,
                        name: "n1".to_string(),
                        listen: "127.0.0.1:1".to_string(),
                    },
                    "ready" => Message::Ready {},
                    "yours" => {
                        let draining_age = option(words, "draining").map(millis).transpose()?;
                        let session_ids = Vec::from_iter(option(words, "mark").map(num).transpose()?);
                        let connections = session_ids.len() as u32;
                        Message::TakeOver(Box::new(RelayState {
                            session_load: 0.02,
                            draining_age,
                            session_ids,
                            connections,
                            ..RelayState::default()
                        }))
                    }
                    "listed" => {
                        let instances = words[4..].iter().map(|word| {
                            let (id, phase) = word.split_once(':').unwrap_or((word, "up"));
                            json!({"instanceId": id, "hostPort": addr(id), "lifecycle": phase})
                        });
                        let instances: Vec<Value> = instances.collect();
                        let generation = num::<u64>(at(3)?)?;
                        Message::EndpointList {
                            list: json!({"generation": generation, "reset": false, "instances": instances}),
                        }
                    }
                    other => return Err(format!("unknown message '{other}'")),
                };
                Event::HotRestart(OwnershipEvent::Received { peer, message })
            }
            "written" => Event::FirstLineForwarded,
            "call" => Event::OperatorCall { call: num(at(1)?)?, request: call(at(2)?)? },
            "came" => {
                return Ok(range(at(1)?)?
                    .map(|connection_id| Event::ClientConnected { connection_id })
                    .collect())
            }
            "odd" => Event::ProtocolViolation { connection_id: session_id()? },
            "part" => {
                return Ok(range(at(1)?)?
                    .map(|connection_id| Event::FirstLineStarted { connection_id })
                    .collect())
            }
            "ping" => Event::Ping { connection_id: session_id()? },
            "gone" => Event::ClientDisconnected { session_id: session_id()? },
            "departed" => Event::ClientHalfClosed { session_id: session_id()? },
            "ask" => {
                let wait = option(words, "wait").unwrap_or("2000");
                let at_backend = option(words, "at").map(str::to_string);
                let id = option(words, "mark").map_or(Ok(u64::from(num::<u32>(at(1)?)?)), num)?;
                let listener = at(2)?.to_string();
                let open = lines::SessionRequest {
                    id,
                    listener,
                    at: at_backend,
                    ..lines::SessionRequest::default()
                };
                Event::SessionRequested { session_id: session_id()?, open, time_remaining: millis(wait)? }
            }
            "up" => Event::SessionEstablished { session_id: session_id()?, dial: num(at(2)?)? },
            "fell" => {
                let (dial, end) = (num(at(2)?)?, dial_end(at(3)?)?);
                Event::DialEnded { session_id: session_id()?, dial, end, report: None }
            }
            "ended" => {
                Event::SessionEnded { session_id: session_id()?, end: dial_end(at(2)?)?, report: None }
            }
            "load" => Event::LoadReported { session_id: session_id()?, load: num(at(2)?)? },
            "took" => Event::MessageLatency { session_id: session_id()?, time: millis(at(2)?)? },
            "probe" => {
                let server = *self.probed.get(at(1)?).ok_or("no probe is out there")?;
                let (end, report) = probe_end(words, at(2)?)?;
                Event::HealthCheckEnded { server, end, report }
            }
            "list" if at(1)? == "broken" => Event::EndpointWatchFailed { watch },
            "list" => {
                let names = words[3..].iter().filter(|word| !word.contains('='));
                let instances = names.map(|word| {
                    let (word, started) = word.split_once('@').unwrap_or((word, "0"));
                    let (id, mark) = word.split_once(':').unwrap_or((word, ""));
                    let phase = match mark {
                        "" => "up",
                        "gone" => "removed",
                        other => other,
                    };
                    let started = started.parse::<u64>().unwrap_or(0);
                    let host_port = addr(id);
                    json!({
                        "instanceId": id, "hostPort": host_port, "lifecycle": phase, "startedAtMs": started
                    })
                });
                let list = json!({"generation": num::<u64>(at(2)?)?, "reset": at(1)? == "full",
                    "instances": instances.collect::<Vec<_>>()});
                Event::EndpointListReceived {
                    watch,
                    list: hallrelay_config::list::parse(list.to_string().as_bytes())
                        .map_err(|e| e.to_string())?,
                }
            }
            "reload" => {
                let mut text = self.text(&format!("127.0.0.1:{}", at(1)?));
                if let Some((key, value)) = words.get(2).and_then(|word| word.split_once('=')) {
                    text[key] = json!(value);
                }
                Event::ConfigurationReloaded(Box::new(node(&text)?))
            }
            "retune" => {
                let mut text = self.text("127.0.0.1:2");
                let settings = &mut text["settings"];
                let names = words[1..].iter().filter_map(|word| word.split_once(':'));
                let listeners: Vec<Value> = names.map(|(name, kind)| listener(name, 1.0, kind)).collect();
                settings["FamilyInfo"]["MessageAim"] = json!(vec![60; listeners.len()]);
                settings["Listeners"] = json!(listeners);
                if let Some(timeout) = option(words, "timeout") {
                    for one in settings["Listeners"].as_array_mut().ok_or("no listeners")? {
                        one["DialTimeout"] = json!(num::<u32>(timeout)?);
                    }
                }
                if let Some(dials) = option(words, "dials") {
                    settings["Ceilings"]["MostDials"] = json!(num::<u32>(dials)?);
                }
                Event::ConfigurationReloaded(Box::new(node(&text)?))
            }
            other => return Err(format!("unknown input '{other}'")),
        }])
    }
}

fn call(word: &str) -> Result<OperatorRequest, Fault> {
    let calls = [
        ("ready", OperatorRequest::Readiness),
        ("figures", OperatorRequest::Metrics),
        ("drain", OperatorRequest::Drain(Box::default())),
        ("activate", OperatorRequest::Activate),
    ];
    calls.into_iter().find(|c| c.0 == word).map(|c| c.1).ok_or(format!("unknown call '{word}'"))
}

/// Figures are shown as their lines on one, those of 0 left out.
fn replied(reply: &OperatorReply) -> String {
    match reply {
        OperatorReply::Accepted(word) => format!("yes {word}"),
        OperatorReply::Unavailable(word) => format!("no {word}"),
        OperatorReply::Conflict(word) => format!("conflict {word}"),
        OperatorReply::Blocked(why) => format!("held {why}"),
        OperatorReply::Committed(what) => format!("said {what}"),
        OperatorReply::Leases(told) => format!("grants {}", told.as_deref().unwrap_or("none")),
        OperatorReply::Membership(status) => {
            format!("fleet {}", status.as_ref().map_or("none", |s| s.view.as_str()))
        }
        OperatorReply::Metrics(figures) => {
            let text = hallrelay_relay::metrics::text(figures);
            let some = text.lines().filter(|line| !line.contains(":0|"));
            some.map(|line| line.trim_start_matches("node.")).collect::<Vec<_>>().join(" ")
        }
    }
}

impl Subject for Program {
    fn site(&mut self, words: &[&str]) -> Result<(), Fault> {
        let known = option(words, "known").ok_or("a site line says known=NAME,NAME")?;
        self.told = words.contains(&"told");
        self.timeout = option(words, "timeout").map(num).transpose()?;
        self.probes = words.contains(&"probes");
        self.keeps = words.contains(&"keeps");
        self.after = words.contains(&"after");
        self.known = known.split(',').map(|name| (name.to_string(), addr(name))).collect();
        Ok(())
    }

    fn input(&mut self, now: Micros, words: &[&str]) -> Result<(), Fault> {
        self.effects.clear();
        self.said.clear();
        let order = ReportOrder { load: Some(1), queue_delay: Some(2), sessions: Some(0), by_cores: false };
        match words.first().copied().unwrap_or("") {
            "first" => {
                let line = words[1..].join(" ").replace("\\t", "\t");
                let read = lines::parse_first_line(line.as_bytes());
                self.said.push(read.map_or("not well formed".to_string(), |first| match first {
                    lines::FirstLine::Ping => "ping".to_string(),
                    lines::FirstLine::Open(o) => {
                        let onward = lines::rewrite_timeout(line.as_bytes(), &o.wait_at, 7);
                        format!("{} goes on as {}", o.listener, String::from_utf8_lossy(&onward).trim_end())
                    }
                }));
            }
            "said" => self
                .said
                .push(format!("{:?}", lines::parse_backend_reply(words[1..].join(" ").as_bytes(), order))),
            "node" => {
                let mut text = self.text("127.0.0.1:2");
                let (key, path) = words[1..].split_last().ok_or("which key?")?;
                let (path, value) = match key.strip_prefix('=') {
                    Some(value) => (&path[..path.len() - 1], Some((path[path.len() - 1], value))),
                    None => (path, None),
                };
                let place = path.iter().fold(&mut text, |at, key| match key.parse::<usize>() {
                    Ok(i) => &mut at[i],
                    Err(_) => &mut at[*key],
                });
                match value {
                    Some((key, value)) => {
                        place[key] = serde_json::from_str(value).map_err(|e| e.to_string())?;
                    }
                    None => _ = place.as_object_mut().ok_or("no such place")?.remove(*key),
                }
                self.said.push(node(&text).err().unwrap_or("nothing".to_string()));
            }
            _ => {
                self.begin(now)?;
                let stalled = words.contains(&"stalled");
                let due = |k: &(Micros, usize)| k.0 < now && !stalled;
                while let Some((&key, &alarm)) = self.alarms.first_key_value().filter(|(k, _)| due(k)) {
                    self.alarms.remove(&key);
                    self.step(key.0, Event::Timer(alarm));
                }
                self.events(words)?.into_iter().for_each(|event| self.step(now, event));
            }
        }
        Ok(())
    }

    fn effects(&mut self) -> Vec<String> {
        let shown = self.effects.iter().map(|effect| match effect {
            Effect::Pong { connection_id } => format!("pong {connection_id}"),
            Effect::RejectPing { connection_id } => format!("deny {connection_id}"),
            Effect::Reply { call, reply } => format!("reply {call} {}", replied(reply)),
            Effect::Dial { session_id, addr, timeout: wait, .. } => {
                format!("dial {session_id} at s-{} for {}", addr.port() - 1000, wait / 1000)
            }
            Effect::StartProxying { session_id } => format!("pass {session_id}"),
            Effect::Reject { session_id, .. } => format!("refuse {session_id}"),
            Effect::TearDown { session_id } => format!("tear down {session_id}"),
            Effect::Migrate { session_id } => format!("move {session_id}"),
            Effect::ReportProtocolError { connection_id } => format!("spurn {connection_id}"),
            Effect::ShedConnection { connection_id } => format!("shed {connection_id}"),
            Effect::SetSuspect { session_id, suspect: true } => format!("doubt {session_id}"),
            Effect::SetSuspect { session_id, .. } => format!("trust {session_id}"),
            Effect::CloseClient { session_id } => format!("close {session_id}"),
            Effect::HealthCheck { addr, .. } => format!("probe s-{}", addr.port() - 1000),
            Effect::ForgetServer { .. } => "forget".to_string(),
            Effect::WatchEndpoints { since: Some(since), .. } => format!("watch since {since}"),
            Effect::WatchEndpoints { addr, since: None, .. } => {
                format!("ask {} for all and watch", addr.port())
            }
            Effect::StopWatch { watch } => format!("unwatch {watch}"),
            Effect::ApplyTuning { .. } => "tuned".to_string(),
            Effect::RestartRequired { key } => format!("kept {key}"),
            Effect::StartTimer { .. } => "alarm".to_string(),
            Effect::SetAccepting { accepting: on } => {
                if *on { "accept" } else { "leave the door" }.to_string()
            }
            Effect::SetTakeoverListener { .. } => "alarm".to_string(),
            Effect::SendToProcess { peer, message } => match message {
                Message::Rejected { reason } => format!("tell {peer} no, {reason}"),
                Message::TakeOver(state) => {
                    format!(
                        "tell {peer} yours, with {} open and {} servers",
                        state.session_ids.len(),
                        state.servers.len()
                    )
                }
                Message::Remaining { connections, sessions } => {
                    format!("tell {peer} {connections} {sessions}")
                }
                Message::EndpointList { list } => {
                    format!("tell {peer} the list of version {}", list["generation"])
                }
                Message::Session(_) | Message::Hello { .. } => format!("tell {peer} what is not asked for"),
                Message::Offer { .. } => format!("tell {peer} offer"),
                Message::Ready {} => format!("tell {peer} ready"),
            },
            Effect::HandOverSession { session_id, peer, .. } => format!("pass {session_id} on to {peer}"),
            Effect::DisconnectProcess { peer } => format!("part from {peer}"),
            Effect::Persist { record, .. } => format!("keep {} {}", record.kind.label(), record.name),
            Effect::PersistVoterWrites { number, .. } => format!("vow {number}"),
            Effect::SetStoreOwnership { .. } => "alarm".to_string(),
            Effect::Membership(effect) => format!("to the fleet {effect:?}"),
            Effect::Log { .. } | Effect::SetDraining { .. } => "alarm".to_string(),
            Effect::Abort { reason: why } => format!("give up: {why}"),
            Effect::Exit => "exit".to_string(),
        });
        self.said.iter().cloned().chain(shown).collect()
    }
}
