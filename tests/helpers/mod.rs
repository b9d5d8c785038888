//! The subjects (tested systems) of the scripts in `tests/relay/`, `tests/fleet/` and `tests/loopback/`.
//!
//! `ReducerSubject` is the reducer (the relay's state machine) without sockets. Backends have the names of
//! the endpoint list. Keys of a site line: `known=NAME,NAME` (the list that the relay starts with),
//! `timeout=MS` (dial timeout of all listeners), `successor` (another process owns the listening socket),
//! `pushed` (the endpoint list is sent without a request), `probes` (the relay may probe), `persistent` (the
//! relay writes its state to a store). Inputs (with `stalled` at the end, no timer expires before the input):
//!   `client-connected CONNECTIONS`, `first-line-started CONNECTIONS`, `ping CONNECTION`,
//!   `protocol-violation CONNECTION`, `client-disconnected SESSION`, `client-half-closed SESSION`,
//!   `session-requested SESSION LISTENER [time_remaining=MS] [at=NAME] [id=ID]`,
//!   `session-established SESSION DIAL`, `session-ended SESSION END`, `dial-ended SESSION DIAL END`,
//!   `session-adopted SESSION LISTENER SERVER`, `session-handed-over SESSION`,
//!   `session-handover-failed SESSION`, `message-latency SESSION MS`, `load-reported SESSION X`,
//!   `first-line-forwarded`, `probe-ended NAME END|load=X [queue_delay=X]`,
//!   `process NUMBER hello|ready|disconnected`, `process NUMBER take-over [draining_age=MS] [id=ID]`,
//!   `process NUMBER endpoint-list VERSION NAME[:LIFECYCLE] ..`, `process NUMBER slot-used NAME`,
//!   `endpoint-list snapshot|delta VERSION NAME[:draining|:removed|:up@STARTED_MS] ..`,
//!   `store-reopened VERSION NAME[:LIFECYCLE] .. [owner=RELAY]` (the store, opened by this process, with this
//!   list),
//!   `endpoint-list watch-failed` (of the newest watch or of `watch=WATCH`; with `refused` at the end, a
//!   connect to discovery was refused), `endpoint-list unchanged`,
//!   `operator-call NUMBER readiness|metrics|drain|activate`, `configuration-reloaded PORT [KEY=VALUE]`
//!   (discovery is at this port), `tuning-reloaded LISTENER:EFFECT .. [dials=N] [timeout=MS]`,
//!   `configuration-rejected`, `stop-requested`, `advance`.
//! Effects with more than the numbers of their subjects: `dial SESSION at NAME for MS`,
//! `reply NUMBER REPLY ..`, `send PROCESS MESSAGE ..`, `hand-over SESSION to PROCESS`,
//! `watch since VERSION`, and `fetch-and-watch PORT` if no version is known at this address of
//! discovery.
//! Three inputs call a parser and have its result as their effect: `parse-first-line LINE`,
//! `parse-backend-reply LINE`, and `parse-configuration KEY .. [=VALUE]`, which parses a valid
//! configuration after the key at this path was removed or set to the value.
mod loopback;
mod membership;
mod reply;
mod stored;

pub use loopback::LoopbackSubject;
pub use membership::MembershipSubject;

use crate::{
    option, parse_dial_end, parse_millis, parse_number, parse_probe_end, parse_range, Fault, Subject,
};
use hallrelay_balancer::types::Micros;
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::node::{self, Node, Overrides};
use hallrelay_hot_restart::message::VERSION;
use hallrelay_hot_restart::{ListExtension, Message, OwnershipEvent, RelayState, RelayUpdate, SessionState};
use hallrelay_relay::lines;
use hallrelay_relay::reducer::{Effect, Event, OperatorRequest, Reducer, WatchFailure};
use reply::reply_text;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use stored::stored_state;

fn listener_json(name: &str, utility: f64, effect: &str) -> Value {
    json!({"Name": name, "Utility": utility, "Effect": effect, "Group": "all", "Window": 1000,
        "HandshakeTarget": 300, "DialTimeout": 2000})
}

/// A relay's configuration as JSON. `backends` contains the name and the address of each known backend.
fn configuration_json(listen: &str, discovery: &str, backends: &[(String, String)]) -> Value {
    let instance =
        |(id, addr): &(String, String)| json!({"instanceId": id, "hostPort": addr, "lifecycle": "up"});
    let known: Vec<Value> = backends.iter().map(instance).collect();
    json!({"name": "n1", "listen": listen, "discovery": discovery, "seed": "07",
        "limits": {"sockets": 256},
        "known": {"generation": 1, "reset": true, "instances": known},
        "settings": {
            "Listeners": [listener_json("low", 1.0, "retryable"), listener_json("high", 5.0, "retryable"),
                listener_json("once", 5.0, "fragile")],
            "Ceilings": {"MayProbe": false, "MostDials": 4, "MaxOpen": 1000, "RetryAfter": false,
                "ConnectTimeout": 250},
            "Rules": {"Cold": 10000, "ColdFrom": 0.2, "FallMultiple": 3, "DrainGrace": 250,
                "AskWithin": 10000},
            "Charges": {"CrossZone": 0, "Moves": 0, "Probe": 0},
            "FamilyInfo": {"Mode": "proxy", "Groups": true, "TellsDelay": true, "MessageAim": [60, 60, 60]},
            "Report": {"How": "on_probe", "Fields": ["inflight", "x0", "x1"]},
            "Discovery": "subscribe", "FailureDomains": ["here"], "Zone": 0, "Instances": 1, "SlotNo": 0}})
}

fn parse_node(configuration: &Value) -> Result<Node, Fault> {
    node::parse(configuration.to_string().as_bytes(), &Overrides::default()).map_err(|e| e.to_string())
}

/// The address of a backend named `s-NUMBER`. The port is 1000 plus the number.
fn addr_of(name: &str) -> String {
    let number: u16 = name.trim_start_matches("s-").parse().unwrap_or(0);
    format!("127.0.0.1:{}", 1000 + number)
}

#[derive(Default)]
pub struct ReducerSubject {
    known: Vec<(String, String)>,
    pushed: bool,
    timeout: Option<u32>,
    probes: bool,
    persistent: bool,
    successor: bool,
    /// The number of the newest watch of the endpoint list.
    newest_watch: u32,
    reducer: Option<Reducer>,
    timers: BTreeMap<(Micros, usize), hallrelay_relay::reducer::Timer>,
    timer_count: usize,
    effects: Vec<Effect>,
    /// Results of the inputs that call a parser.
    parser_results: Vec<String>,
    /// Server numbers of the probed backends, by name.
    probed_servers: BTreeMap<String, u32>,
}

impl ReducerSubject {
    fn configuration_json(&self, discovery: &str) -> Value {
        let mut configuration = configuration_json("127.0.0.1:1", discovery, &self.known);
        configuration["settings"]["Ceilings"]["MayProbe"] = json!(self.probes);
        if self.persistent {
            configuration["state"] = json!("state");
        }
        if self.pushed {
            configuration["settings"]["Discovery"] = json!("automatic");
        }
        if let (Some(timeout), Some(all)) =
            (self.timeout, configuration["settings"]["Listeners"].as_array_mut())
        {
            all.iter_mut().for_each(|one| one["DialTimeout"] = json!(timeout));
        }
        configuration
    }

    fn ensure_started(&mut self, now: Micros) -> Result<(), Fault> {
        if self.reducer.is_some() {
            return Ok(());
        }
        let (mut reducer, mut out) = (
            Reducer::new(parse_node(&self.configuration_json("127.0.0.1:2"))?, self.successor.then_some(0)),
            Vec::new(),
        );
        reducer.start(now, &mut out);
        self.reducer = Some(reducer);
        // Every relay accepts connections from its start on, so scripts do not list this effect.
        out.retain(|effect| *effect != Effect::SetAccepting { accepting: true });
        self.record(now, out);
        Ok(())
    }

    fn step(&mut self, now: Micros, event: Event) {
        let mut out = Vec::new();
        self.reducer.as_mut().expect("the reducer was started").step(now, event, &mut out);
        self.record(now, out);
    }

    fn record(&mut self, now: Micros, mut out: Vec<Effect>) {
        // In every script, each requested session is counted with one outcome or as waiting.
        if let Some(reducer) = &self.reducer {
            let metrics = reducer.metrics();
            let sums = metrics.listeners.values().fold((0, 0), |sum, n| {
                (sum.0 + n.requested, sum.1 + n.established + n.rejected + n.failed + n.abandoned)
            });
            let (requested, ended, waiting) = (sums.0, sums.1, metrics.waiting as u64);
            assert_eq!(
                requested,
                ended + waiting,
                "requested sessions must be ended or waiting: {metrics:?}"
            );
        }
        for effect in &out {
            if let Effect::StartTimer { after, timer } = *effect {
                self.timer_count += 1;
                self.timers.insert((now + after, self.timer_count), timer);
            }
            if let Effect::WatchEndpoints { watch, .. } = *effect {
                self.newest_watch = watch;
            }
            if let Effect::HealthCheck { server, addr } = effect {
                self.probed_servers.insert(format!("s-{}", addr.port() - 1000), *server);
            }
        }
        self.effects.append(&mut out);
    }

    fn events(&self, words: &[&str]) -> Result<Vec<Event>, Fault> {
        let word = |i: usize| words.get(i).copied().ok_or(format!("'{}' has no word {i}", words.join(" ")));
        let session_id = || parse_number(word(1)?);
        let watch = option(words, "watch").map_or(Ok(self.newest_watch), parse_number)?;
        Ok(vec![match word(0)? {
            "advance" => return Ok(vec![]),
            "stop-requested" => Event::StopRequested,
            "configuration-rejected" => Event::ConfigurationRejected,
            "session-handed-over" => Event::SessionHandedOver { session_id: session_id()? },
            "session-handover-failed" => Event::SessionHandoverFailed { session_id: session_id()? },
            "session-adopted" => {
                let (listener, server) = (word(2)?.to_string(), word(3)?.to_string());
                let id = u64::from(session_id()?);
                let session = SessionState { id, listener, server, ..SessionState::default() };
                Event::SessionAdopted { session_id: session_id()?, state: Box::new(session) }
            }
            "process" => {
                let peer = parse_number(word(1)?)?;
                let message = match word(2)? {
                    "disconnected" => {
                        return Ok(vec![Event::HotRestart(OwnershipEvent::Disconnected { peer })])
                    }
                    "hello" => Message::Hello {
                        version: VERSION,
                        name: "n1".to_string(),
                        listen: "127.0.0.1:1".to_string(),
                    },
                    "ready" => Message::Ready {},
                    "take-over" => {
                        let draining_age = option(words, "draining_age").map(parse_millis).transpose()?;
                        let session_ids = Vec::from_iter(option(words, "id").map(parse_number).transpose()?);
                        let connections = session_ids.len() as u32;
                        Message::TakeOver(Box::new(RelayState {
                            session_load: 0.02,
                            draining_age,
                            session_ids,
                            connections,
                            ..RelayState::default()
                        }))
                    }
                    "endpoint-list" => {
                        let instances = words[4..].iter().map(|word| {
                            let (id, lifecycle) = word.split_once(':').unwrap_or((word, "up"));
                            json!({"instanceId": id, "hostPort": addr_of(id), "lifecycle": lifecycle})
                        });
                        let instances: Vec<Value> = instances.collect();
                        let generation = parse_number::<u64>(word(3)?)?;
                        Message::EndpointList {
                            list: json!({"generation": generation, "reset": false, "instances": instances}),
                        }
                    }
                    "slot-used" => ListExtension::message(RelayUpdate::SlotUsed(word(3)?.to_string())),
                    other => return Err(format!("unknown message '{other}'")),
                };
                Event::HotRestart(OwnershipEvent::Received { peer, message })
            }
            "first-line-forwarded" => Event::FirstLineForwarded,
            "operator-call" => {
                Event::OperatorCall { call: parse_number(word(1)?)?, request: operator_request(word(2)?)? }
            }
            "client-connected" => {
                return Ok(parse_range(word(1)?)?
                    .map(|connection_id| Event::ClientConnected { connection_id })
                    .collect())
            }
            "protocol-violation" => Event::ProtocolViolation { connection_id: session_id()? },
            "first-line-started" => {
                return Ok(parse_range(word(1)?)?
                    .map(|connection_id| Event::FirstLineStarted { connection_id })
                    .collect())
            }
            "ping" => Event::Ping { connection_id: session_id()? },
            "client-disconnected" => Event::ClientDisconnected { session_id: session_id()? },
            "client-half-closed" => Event::ClientHalfClosed { session_id: session_id()? },
            "session-requested" => {
                let time_remaining = option(words, "time_remaining").unwrap_or("2000");
                let at_backend = option(words, "at").map(str::to_string);
                let id = option(words, "id")
                    .map_or(Ok(u64::from(parse_number::<u32>(word(1)?)?)), parse_number)?;
                let listener = word(2)?.to_string();
                let open = lines::SessionRequest {
                    id,
                    listener,
                    at: at_backend,
                    ..lines::SessionRequest::default()
                };
                let time_remaining = parse_millis(time_remaining)?;
                Event::SessionRequested { session_id: session_id()?, open, time_remaining }
            }
            "session-established" => {
                Event::SessionEstablished { session_id: session_id()?, dial: parse_number(word(2)?)? }
            }
            "dial-ended" => {
                let (dial, end) = (parse_number(word(2)?)?, parse_dial_end(word(3)?)?);
                Event::DialEnded { session_id: session_id()?, dial, end, report: None }
            }
            "session-ended" => Event::SessionEnded {
                session_id: session_id()?,
                end: parse_dial_end(word(2)?)?,
                report: None,
            },
            "load-reported" => {
                Event::LoadReported { session_id: session_id()?, load: parse_number(word(2)?)? }
            }
            "message-latency" => {
                Event::MessageLatency { session_id: session_id()?, time: parse_millis(word(2)?)? }
            }
            "probe-ended" => {
                let server = *self
                    .probed_servers
                    .get(word(1)?)
                    .ok_or(format!("the relay has not probed the backend '{}'", words[1]))?;
                let (end, report) = parse_probe_end(words, word(2)?)?;
                Event::HealthCheckEnded { server, end, report }
            }
            "store-reopened" => Event::StoreReopened(Box::new(stored_state(words)?)),
            "endpoint-list" if word(1)? == "watch-failed" => {
                let failure = match words.contains(&"refused") {
                    true => WatchFailure::Refused,
                    false => WatchFailure::Failed,
                };
                Event::EndpointWatchFailed { watch, failure }
            }
            "endpoint-list" if word(1)? == "unchanged" => Event::EndpointListUnchanged { watch },
            "endpoint-list" => {
                let names = words[3..].iter().filter(|word| !word.contains('='));
                let instances = names.map(|word| {
                    let (word, started) = word.split_once('@').unwrap_or((word, "0"));
                    let (id, lifecycle) = word.split_once(':').unwrap_or((word, ""));
                    let lifecycle = if lifecycle.is_empty() { "up" } else { lifecycle };
                    let started = started.parse::<u64>().unwrap_or(0);
                    json!({"instanceId": id, "hostPort": addr_of(id), "lifecycle": lifecycle,
                        "startedAtMs": started})
                });
                let (generation, reset) = (parse_number::<u64>(word(2)?)?, word(1)? == "snapshot");
                let instances: Vec<Value> = instances.collect();
                let list = json!({"generation": generation, "reset": reset, "instances": instances});
                Event::EndpointListReceived {
                    watch,
                    list: hallrelay_config::list::parse(list.to_string().as_bytes())
                        .map_err(|e| e.to_string())?,
                }
            }
            "configuration-reloaded" => {
                let mut configuration = self.configuration_json(&format!("127.0.0.1:{}", word(1)?));
                if let Some((key, value)) = words.get(2).and_then(|word| word.split_once('=')) {
                    configuration[key] = json!(value);
                }
                Event::ConfigurationReloaded(Box::new(parse_node(&configuration)?))
            }
            "tuning-reloaded" => {
                let mut configuration = self.configuration_json("127.0.0.1:2");
                let settings = &mut configuration["settings"];
                let names = words[1..].iter().filter_map(|word| word.split_once(':'));
                let listeners: Vec<Value> =
                    names.map(|(name, effect)| listener_json(name, 1.0, effect)).collect();
                settings["FamilyInfo"]["MessageAim"] = json!(vec![60; listeners.len()]);
                settings["Listeners"] = json!(listeners);
                if let Some(timeout) = option(words, "timeout") {
                    for one in settings["Listeners"].as_array_mut().ok_or("no listeners")? {
                        one["DialTimeout"] = json!(parse_number::<u32>(timeout)?);
                    }
                }
                if let Some(dials) = option(words, "dials") {
                    settings["Ceilings"]["MostDials"] = json!(parse_number::<u32>(dials)?);
                }
                Event::ConfigurationReloaded(Box::new(parse_node(&configuration)?))
            }
            other => return Err(format!("unknown input '{other}'")),
        }])
    }
}

fn operator_request(word: &str) -> Result<OperatorRequest, Fault> {
    let requests = [
        ("readiness", OperatorRequest::Readiness),
        ("metrics", OperatorRequest::Metrics),
        ("drain", OperatorRequest::Drain(Box::default())),
        ("activate", OperatorRequest::Activate),
    ];
    requests
        .into_iter()
        .find(|c| c.0 == word)
        .map(|c| c.1)
        .ok_or(format!("unknown operator request '{word}'"))
}

impl Subject for ReducerSubject {
    fn set_site(&mut self, words: &[&str]) -> Result<(), Fault> {
        let known = option(words, "known").ok_or("the site line lacks known=NAME,NAME")?;
        self.pushed = words.contains(&"pushed");
        self.timeout = option(words, "timeout").map(parse_number).transpose()?;
        self.probes = words.contains(&"probes");
        self.persistent = words.contains(&"persistent");
        self.successor = words.contains(&"successor");
        self.known = known.split(',').map(|name| (name.to_string(), addr_of(name))).collect();
        Ok(())
    }

    fn input(&mut self, now: Micros, words: &[&str]) -> Result<(), Fault> {
        self.effects.clear();
        self.parser_results.clear();
        let order = ReportOrder { load: Some(1), queue_delay: Some(2), sessions: Some(0), by_cores: false };
        match words.first().copied().unwrap_or("") {
            "parse-first-line" => {
                let line = words[1..].join(" ").replace("\\t", "\t");
                let parsed = lines::parse_first_line(line.as_bytes());
                self.parser_results.push(parsed.map_or("malformed".to_string(), |first| match first {
                    lines::FirstLine::Ping => "ping".to_string(),
                    lines::FirstLine::Open(o) => {
                        let forwarded = lines::rewrite_timeout(line.as_bytes(), &o.wait_at, 7);
                        let forwarded = String::from_utf8_lossy(&forwarded);
                        format!("{} forwarded as {}", o.listener, forwarded.trim_end())
                    }
                }));
            }
            "parse-backend-reply" => self
                .parser_results
                .push(format!("{:?}", lines::parse_backend_reply(words[1..].join(" ").as_bytes(), order))),
            "parse-configuration" => {
                let mut configuration = self.configuration_json("127.0.0.1:2");
                let (key, path) = words[1..].split_last().ok_or("the line lacks a key")?;
                let (path, value) = match key.strip_prefix('=') {
                    Some(value) => (&path[..path.len() - 1], Some((path[path.len() - 1], value))),
                    None => (path, None),
                };
                let parent = path.iter().fold(&mut configuration, |at, key| match key.parse::<usize>() {
                    Ok(i) => &mut at[i],
                    Err(_) => &mut at[*key],
                });
                match value {
                    Some((key, value)) => {
                        parent[key] = serde_json::from_str(value).map_err(|e| e.to_string())?;
                    }
                    None => _ = parent.as_object_mut().ok_or("the path leads to no object")?.remove(*key),
                }
                self.parser_results.push(parse_node(&configuration).err().unwrap_or("valid".to_string()));
            }
            _ => {
                self.ensure_started(now)?;
                let stalled = words.contains(&"stalled");
                let due = |k: &(Micros, usize)| k.0 < now && !stalled;
                while let Some((&key, &timer)) = self.timers.first_key_value().filter(|(k, _)| due(k)) {
                    self.timers.remove(&key);
                    self.step(key.0, Event::Timer(timer));
                }
                self.events(words)?.into_iter().for_each(|event| self.step(now, event));
            }
        }
        Ok(())
    }

    fn effects(&mut self) -> Vec<String> {
        let texts = self.effects.iter().map(|effect| match effect {
            Effect::Pong { connection_id } => format!("pong {connection_id}"),
            Effect::RejectPing { connection_id } => format!("reject-ping {connection_id}"),
            Effect::Reply { call, reply } => format!("reply {call} {}", reply_text(reply)),
            Effect::Dial { session_id, addr, timeout, .. } => {
                format!("dial {session_id} at s-{} for {}", addr.port() - 1000, timeout / 1000)
            }
            Effect::StartProxying { session_id } => format!("start-proxying {session_id}"),
            Effect::Reject { session_id, .. } => format!("reject {session_id}"),
            Effect::TearDown { session_id } => format!("tear-down {session_id}"),
            Effect::Migrate { session_id } => format!("migrate {session_id}"),
            Effect::ReportProtocolError { connection_id } => format!("report-protocol-error {connection_id}"),
            Effect::ShedConnection { connection_id } => format!("shed-connection {connection_id}"),
            Effect::SetSuspect { session_id, suspect: true } => format!("suspect {session_id}"),
            Effect::SetSuspect { session_id, .. } => format!("unsuspect {session_id}"),
            Effect::CloseClient { session_id } => format!("close-client {session_id}"),
            Effect::HealthCheck { addr, .. } => format!("probe s-{}", addr.port() - 1000),
            Effect::ForgetServer { .. } => "forget-server".to_string(),
            Effect::WatchEndpoints { since: Some(since), .. } => format!("watch since {since}"),
            Effect::WatchEndpoints { addr, since: None, .. } => {
                format!("fetch-and-watch {}", addr.port())
            }
            Effect::StopWatch { watch } => format!("stop-watch {watch}"),
            Effect::ApplyTuning { .. } => "apply-tuning".to_string(),
            Effect::RestartRequired { key } => format!("restart-required {key}"),
            Effect::StartTimer { .. } => "timer".to_string(),
            Effect::SetAccepting { accepting } => {
                if *accepting { "accept" } else { "stop-accepting" }.to_string()
            }
            Effect::SendToProcess { peer, message } => match message {
                Message::Rejected { reason } => format!("send {peer} rejected, {reason}"),
                Message::TakeOver(state) => {
                    format!(
                        "send {peer} take-over with {} sessions and {} servers",
                        state.session_ids.len(),
                        state.servers.len()
                    )
                }
                Message::Remaining { connections, sessions } => {
                    format!("send {peer} remaining {connections} connections {sessions} sessions")
                }
                Message::EndpointList { list } => {
                    format!("send {peer} endpoint-list {}", list["generation"])
                }
                Message::Session(_) | Message::Hello { .. } => format!("send {peer} unexpected message"),
                Message::Offer { .. } => format!("send {peer} offer"),
                Message::Ready {} => format!("send {peer} ready"),
            },
            Effect::HandOverSession { session_id, peer, .. } => format!("hand-over {session_id} to {peer}"),
            Effect::DisconnectProcess { peer } => format!("disconnect {peer}"),
            Effect::Persist { record, .. } => {
                format!("persist {} {}", record.kind.label(), record.name).trim_end().to_string()
            }
            Effect::PersistVoterWrites { number, .. } => format!("persist-voter-writes {number}"),
            Effect::Membership(effect) => format!("membership {effect:?}"),
            Effect::SetTakeoverListener { .. }
            | Effect::SetStoreOwnership { .. }
            | Effect::SetDraining { .. }
            | Effect::Log { .. } => "unchecked".to_string(),
            Effect::Abort { reason } => format!("abort: {reason}"),
            Effect::Exit => "exit".to_string(),
        });
        self.parser_results.iter().cloned().chain(texts).collect()
    }
}
