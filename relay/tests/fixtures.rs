//! Compatibility with encodings of earlier builds: messages between relays are decoded and encoded again to
//! the same bytes, and a rollout plan and responses to operators are written as the same text. `messages.hex`
//! has one message per line.
use hallrelay_balancer::types::{DialEnd, Micros};
use hallrelay_config::node::{self, Node, Overrides};
use hallrelay_disruption::{
    AnalysisPolicy, Command, CommandError, FailureDomain, Outcome, RolloutPlan, SessionCounts, Target,
    TargetKind, Wave,
};
use hallrelay_raft::{AppendEntries, Entry, Message, MessageBody, Payload, Snapshot, Voter};
use hallrelay_recovery::StoredState;
use hallrelay_relay::control_message::{
    ControlMessage, ProposalResult, RelayStatus, RemainingSessions, TargetCounts,
};
use hallrelay_relay::lines::SessionRequest;
use hallrelay_relay::reducer::{DrainRequest, Effect, Event, OperatorReply, OperatorRequest, Reducer, Timer};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::Path;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("parse two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn fixture(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(&path).expect("read the fixture")
}

fn text(text: &str) -> String {
    text.to_string()
}

fn backend(name: &str) -> Target {
    Target::Backend(text(name))
}

fn raft(body: MessageBody) -> ControlMessage {
    let (from, to) = (Voter { id: 1, incarnation: 7 }, Voter { id: 70_000, incarnation: 0 });
    ControlMessage::Raft(Message { from, to, term: 3, body })
}

fn applied(outcome: Outcome) -> ControlMessage {
    ControlMessage::Proposed { request_id: 300, result: ProposalResult::Applied(outcome) }
}

fn remaining(backend: &str, sessions: u32) -> RemainingSessions {
    RemainingSessions { backend: text(backend), sessions }
}

fn counts(target: Target, sessions: u64, failed: u64) -> TargetCounts {
    TargetCounts { target, counts: SessionCounts { sessions, failed } }
}

/// Returns each kind of message, with each variant of its contents.
fn messages() -> Vec<ControlMessage> {
    let voters = vec![Voter { id: 1, incarnation: 7 }, Voter { id: 2, incarnation: 9 }];
    let command = Command::Return { target: backend("s1") }.encode();
    let entry = |index, payload| Entry { index, term: 2, payload };
    let entries = vec![
        entry(5, Payload::Noop),
        entry(6, Payload::Command(command.clone())),
        entry(7, Payload::Configuration(voters.clone())),
    ];
    let snapshot = Snapshot { index: 4, term: 2, voters: voters.clone(), state: vec![1, 0, 0, 0, 0, 0] };
    vec![
        raft(MessageBody::Announce { uninitialized: true }),
        raft(MessageBody::Bootstrap { voters }),
        raft(MessageBody::RequestPreVote { last_log_index: 4, last_log_term: 2 }),
        raft(MessageBody::PreVoteResponse { granted: true }),
        raft(MessageBody::RequestVote { last_log_index: 4, last_log_term: 2 }),
        raft(MessageBody::VoteResponse { granted: false }),
        raft(MessageBody::AppendEntries(AppendEntries {
            prev_log_index: 4,
            prev_log_term: 2,
            entries,
            leader_commit: 4,
        })),
        raft(MessageBody::AppendResponse { success: true, index: 7 }),
        raft(MessageBody::InstallSnapshot { snapshot }),
        ControlMessage::Propose { request_id: 300, command },
        applied(Outcome::Done),
        applied(Outcome::Granted { lease_id: 2 }),
        applied(Outcome::AlreadyOut { lease_id: 2 }),
        applied(Outcome::RequestedByAnother { requested_by: text("ann"), reason: text("new disks") }),
        applied(Outcome::Waiting {
            blocked_by: text("at most 1 relay of the fleet"),
            unavailable: vec![text("relay a (out)")],
        }),
        applied(Outcome::Rejected(CommandError::Stale)),
        ControlMessage::Proposed { request_id: 1, result: ProposalResult::NotLeader(None) },
        ControlMessage::Proposed { request_id: 1, result: ProposalResult::NotLeader(Some(text("r1"))) },
        ControlMessage::Proposed { request_id: 1, result: ProposalResult::Unknown },
        ControlMessage::Status(RelayStatus {
            domain: FailureDomain { zone: text("east"), kind: text("large"), group: text("g1") },
            serving: true,
            remaining_sessions: vec![remaining("s1", 4), remaining("s2", 300)],
            session_counts: vec![counts(Target::Relay(text("r1")), 40, 3), counts(backend("s1"), 300, 0)],
        }),
        ControlMessage::Excluded { index: 300, backends: vec![text("s1"), text("s2")], moves_per_s: 20 },
    ]
}

#[test]
fn messages_are_decoded_and_encoded_unchanged() {
    let stored: Vec<String> = fixture("messages.hex").lines().map(text).collect();
    let written: Vec<String> = messages().iter().map(|message| hex(&message.encode())).collect();
    assert_eq!(stored, written);
    for (stored, message) in stored.iter().zip(messages()) {
        assert_eq!(ControlMessage::decode(&bytes(stored)), Some(message));
    }
}

fn plan(waves: Vec<Wave>) -> RolloutPlan {
    let analysis = AnalysisPolicy { min_sessions: 20, margin_ppm: 100_000, deadline_s: 600 };
    RolloutPlan {
        build: text("b2"),
        target_kind: TargetKind::Backend,
        waves,
        analysis,
        requested_by: text("bo"),
    }
}

fn wave_of(name: &str) -> Wave {
    Wave { names: vec![text(name)], count: 0, share_ppm: 0 }
}

#[test]
fn rollout_plan_is_parsed_and_serialized_unchanged() {
    let plan = plan(vec![wave_of("s-1"), Wave { names: vec![], count: 1, share_ppm: 300_000 }]);
    assert_eq!(fixture("plan.json").trim_end(), serde_json::to_string(&plan).expect("serialize the plan"));
    assert_eq!(serde_json::from_str::<RolloutPlan>(&fixture("plan.json")).expect("parse the plan"), plan);
}

/// Returns the configuration of a fleet of one voter with three backends.
fn settings() -> Node {
    let instance = |i: u16| {
        json!({"instanceId": format!("s-{i}"), "hostPort": format!("127.0.0.1:{}", 1000 + i),
            "lifecycle": "up"})
    };
    let known: Vec<Value> = (1..=3).map(instance).collect();
    let budgets = json!([{"of": "relay", "scope": "zone", "count": 0, "share": 0.5},
        {"of": "backend", "scope": "fleet", "count": 2}]);
    let text = json!({"name": "r0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "seed": "07", "state": "state",
        "limits": {"sockets": 256},
        "known": {"generation": 1, "reset": true, "instances": known},
        "fleet": {"name": "f", "listen": "127.0.0.1:3", "peers": [], "voters": ["r0"], "budgets": budgets,
            "kind": "large", "group": "g1"},
        "settings": {
            "Listeners": [{"Name": "low", "Utility": 1.0, "Effect": "retryable", "Group": "all",
                "Window": 1000, "HandshakeTarget": 300, "DialTimeout": 2000}],
            "Ceilings": {"MayProbe": false, "MostDials": 4, "MaxOpen": 1000, "RetryAfter": false,
                "ConnectTimeout": 250},
            "Rules": {"Cold": 10000, "ColdFrom": 0.2, "FallMultiple": 3, "DrainGrace": 250,
                "AskWithin": 10000},
            "Charges": {"CrossZone": 0, "Moves": 0, "Probe": 0},
            "FamilyInfo": {"Mode": "proxy", "Groups": true, "TellsDelay": true, "MessageAim": [60, 60, 60]},
            "Report": {"How": "on_probe", "Fields": ["inflight", "x0", "x1"]},
            "Discovery": "subscribe", "FailureDomains": ["here"], "Zone": 0, "Instances": 1, "SlotNo": 0}});
    node::parse(text.to_string().as_bytes(), &Overrides::default()).expect("parse the configuration")
}

const SECOND: Micros = 1_000_000;

/// Runs a reducer with virtual time, with timers and with a disk that syncs immediately. The transcript
/// records all requests of operators and the reducer's responses.
struct TestHost {
    reducer: Reducer,
    now: Micros,
    timers: BTreeMap<(Micros, usize), Timer>,
    timers_started: usize,
    request_count: u32,
    session_count: u32,
    transcript: String,
}

impl TestHost {
    fn start() -> TestHost {
        let now = 1_800_000_000 * SECOND;
        let reducer = Reducer::new(settings(), None);
        let (timers, transcript) = (BTreeMap::new(), String::new());
        let mut host = TestHost {
            reducer,
            now,
            timers,
            timers_started: 0,
            request_count: 0,
            session_count: 0,
            transcript,
        };
        let mut out = Vec::new();
        host.reducer.load_state(StoredState::default());
        host.reducer.start(now, &mut out);
        host.execute(out);
        host
    }

    fn step(&mut self, event: Event) {
        let mut out = Vec::new();
        self.reducer.step(self.now, event, &mut out);
        self.execute(out);
    }

    fn execute(&mut self, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::StartTimer { after, timer } => {
                    self.timers_started += 1;
                    self.timers.insert((self.now + after, self.timers_started), timer);
                }
                Effect::PersistVoterWrites { voter_start, number, .. } => {
                    self.step(Event::VoterWritesDurable { voter_start, number })
                }
                Effect::Dial { session_id, dial, .. } => {
                    self.step(Event::SessionEstablished { session_id, dial })
                }
                Effect::Migrate { session_id } => self.step(Event::ClientDisconnected { session_id }),
                Effect::Reply { call, reply } => self.reply(call, &reply),
                _ => {}
            }
        }
    }

    fn reply(&mut self, call: u32, reply: &OperatorReply) {
        let line = match reply {
            OperatorReply::Accepted(state) => format!("yes {state}"),
            OperatorReply::Blocked(why) => format!("held {why}"),
            OperatorReply::Committed(what) => format!("said {what}"),
            OperatorReply::Leases(json) => json.clone().unwrap_or_else(|| text("nothing")),
            other => format!("{other:?}"),
        };
        self.transcript += &format!("call {call}: {line}\n");
    }

    fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some((&(at, number), _)) = self.timers.first_key_value().filter(|((at, _), _)| *at <= end) {
            let timer = self.timers.remove(&(at, number)).expect("the first timer exists");
            self.now = self.now.max(at);
            self.step(Event::Timer(timer));
        }
        self.now = end;
    }

    /// Sends a request of an operator and advances the time by 2 s for its response.
    fn request(&mut self, description: &str, request: OperatorRequest) {
        self.request_count += 1;
        self.transcript += &format!("call {}: {description}\n", self.request_count);
        self.step(Event::OperatorCall { call: self.request_count, request });
        self.advance(2 * SECOND);
    }

    fn propose(&mut self, description: &str, command: Command) {
        self.request(
            description,
            OperatorRequest::Propose { command: Box::new(command), confirmation: text(description) },
        );
    }

    fn drain(&mut self, backend: Option<&str>, force: bool) {
        let (requested_by, reason) = (text("ann"), text("new disks"));
        let drain = DrainRequest { backend: backend.map(text), requested_by, reason, force };
        self.request(&format!("drain {backend:?}, force {force}"), OperatorRequest::Drain(Box::new(drain)));
    }

    fn request_status(&mut self) {
        self.request("grants", OperatorRequest::Leases);
        self.request("release", OperatorRequest::Rollout);
    }

    /// Opens sessions at a backend. The last `reset` of them are reset; the clients of the others
    /// disconnect if `disconnect` is set.
    fn run_sessions(&mut self, name: &str, count: u32, reset: u32, disconnect: bool) {
        for i in 0..count {
            self.session_count += 1;
            let session_id = self.session_count;
            let at = Some(text(name));
            let open = SessionRequest {
                id: session_id.into(),
                listener: text("low"),
                at,
                wait_ms: 1000,
                ..SessionRequest::default()
            };
            self.step(Event::ClientConnected { connection_id: session_id });
            self.step(Event::SessionRequested { session_id, open, time_remaining: SECOND });
            if i + reset >= count {
                self.step(Event::SessionEnded { session_id, end: DialEnd::Reset, report: None });
            } else if disconnect {
                self.step(Event::ClientDisconnected { session_id });
            }
        }
    }
}

/// Returns a transcript of drains that are granted, wait and are forced, and of a rollout that starts, fails
/// its analysis, halts and is rolled back.
fn operator_transcript() -> String {
    let mut host = TestHost::start();
    host.request("grants before a leader", OperatorRequest::Leases);
    host.advance(8 * SECOND);
    host.request_status();
    host.run_sessions("s-1", 5, 0, false);
    host.run_sessions("s-2", 3, 0, false);
    host.advance(2 * SECOND);
    host.drain(Some("s-3"), false);
    host.drain(Some("s-9"), false);
    host.propose(
        "release begins",
        Command::StartRollout { plan: plan(vec![wave_of("s-1"), wave_of("s-2")]) },
    );
    host.propose(
        "release begins",
        Command::StartRollout { plan: plan(vec![wave_of("s-1"), wave_of("s-2")]) },
    );
    host.request_status();
    host.drain(Some("s-2"), false);
    let (requested_by, reason) = (text("cy"), text("its turn"));
    host.propose(
        "wanted",
        Command::Request { target: backend("s-2"), request_id: 9, requested_by, reason, force: false },
    );
    host.request_status();
    host.drain(None, false);
    host.advance(5 * SECOND);
    host.request_status();
    let mark_done = |succeeded: bool, lease_id| {
        let reason = if succeeded { String::new() } else { text("the disk is full") };
        Command::MarkDone { target: backend("s-1"), lease_id, succeeded, reason }
    };
    host.propose("s-1 is changed", mark_done(true, 1));
    host.propose("s-1 is changed", mark_done(true, 2));
    host.request_status();
    host.propose("s-2 is dropped", Command::Withdraw { target: backend("s-2"), request_id: 9 });
    host.run_sessions("s-2", 9, 1, true);
    host.run_sessions("s-1", 4, 0, true);
    host.advance(2 * SECOND);
    host.request_status();
    host.run_sessions("s-1", 8, 6, true);
    host.advance(2 * SECOND);
    host.request_status();
    host.run_sessions("s-1", 4, 4, true);
    host.advance(2 * SECOND);
    host.request_status();
    host.propose("goes back", Command::RollBack { requested_by: text("ann") });
    host.advance(5 * SECOND);
    host.request_status();
    host.propose("s-1 is changed", mark_done(false, 4));
    host.request_status();
    host.propose("goes on", Command::Resume { requested_by: text("ann") });
    host.drain(None, true);
    host.propose("s-1 is changed", mark_done(true, 4));
    host.request_status();
    host.propose("s-3 serves again", Command::Return { target: backend("s-3") });
    host.propose("s-9 is freed", Command::Reclaim { target: backend("s-9"), requested_by: text("ann") });
    host.request_status();
    host.transcript
}

#[test]
fn responses_to_operators_are_unchanged() {
    let (stored, current) = (fixture("answers.txt"), operator_transcript());
    for (i, (stored, current)) in stored.lines().zip(current.lines()).enumerate() {
        assert_eq!(stored, current, "line {}", i + 1);
    }
    // `zip` ignores further lines of the longer text.
    assert_eq!(stored, current);
}
