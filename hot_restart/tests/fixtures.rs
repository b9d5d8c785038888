//! The messages of a hot restart as version 0.4.0 wrote them: the same values are read from the same bytes
//! and written to them, what was refused is refused with the same text, and both sides of a whole hot restart
//! say the same.
use hallrelay_hot_restart::message::VERSION;
use hallrelay_hot_restart::{
    decode, encode, ExclusionList, LoadReport, Message, OwnershipAction, OwnershipEvent, RelayState,
    ServerState, SessionState, SlowStartSlot, SocketOwnership,
};
use serde_json::json;

fn hello() -> Message {
    Message::Hello { version: VERSION, name: "relay-1".into(), listen: "10.0.0.1:7000".into() }
}

fn state() -> RelayState {
    let instance = json!({"instanceId": "s-1", "hostPort": "10.0.0.9:80", "zone": "east", "cell": 2,
        "lifecycle": "READY", "startedAtMs": 1.5});
    let warm = ServerState {
        name: "s-1".into(),
        report: Some(LoadReport { age: 1_500, load: 0.25, queue_delay: 1.5, sessions: 12.0 }),
        consecutive_failures: 2,
        recently_placed: -3.5,
        slow_start_slot: SlowStartSlot { age: 7_000_000, interval_fraction: 0.75 },
    };
    let unknown = ServerState { name: "s-2".into(), ..ServerState::default() };
    RelayState {
        endpoint_list: Some(json!({"generation": 9, "reset": true, "instances": [instance]})),
        servers: vec![warm, unknown],
        session_load: 0.02,
        draining_age: Some(9_000_000),
        session_ids: vec![1, u64::MAX],
        connections: 4,
        membership: Some(vec![0, 127, 255]),
        exclusions: Some(ExclusionList { log_index: 12, backends: vec!["s-2".into(), "s-7".into()] }),
    }
}

fn session() -> SessionState {
    SessionState {
        id: u64::MAX,
        listener: "public".into(),
        server: "s-1".into(),
        key: 17,
        group: 3,
        returned: true,
        to_backend: b"half a line".to_vec(),
        to_client: b"\x00\xff".to_vec(),
        unanswered_ages: vec![1_500, 0],
    }
}

/// In the order of the lines of `fixtures/messages.txt`.
fn messages() -> Vec<Message> {
    vec![
        hello(),
        Message::Offer { version: VERSION },
        Message::Rejected { reason: "this relay has another name".into() },
        Message::Ready {},
        Message::TakeOver(Box::default()),
        Message::TakeOver(Box::new(state())),
        Message::Session(Box::default()),
        Message::Session(Box::new(session())),
        Message::Remaining { connections: 5, sessions: 4 },
        Message::EndpointList { list: json!({"generation": 10, "reset": false, "instances": []}) },
    ]
}

fn shown(message: &Message) -> String {
    let line = encode(message).expect("a short message");
    String::from_utf8(line).expect("JSON").strip_suffix('\n').expect("a line").to_string()
}

#[test]
fn each_message_has_its_bytes() {
    let text = include_str!("fixtures/messages.txt");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(messages().iter().map(shown).collect::<Vec<_>>(), lines);
    for (message, line) in messages().into_iter().zip(lines) {
        assert_eq!(decode(line.as_bytes()).map_err(|e| e.to_string()), Ok(message));
    }
}

/// A line, and behind `=> ` why it is refused.
#[test]
fn what_was_refused_is_refused_with_the_same_text() {
    let text = include_str!("fixtures/refused.txt");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len() % 2, 0);
    for pair in lines.chunks(2) {
        let why = decode(pair[0].as_bytes()).map_err(|e| format!("=> {e}"));
        assert_eq!(why, Err(pair[1].to_string()), "{}", pair[0]);
    }
}

/// What a process sends, with `old> ` or `new> ` before it.
fn sent(side: &str, acts: &[OwnershipAction], transcript: &mut Vec<String>) -> Vec<Message> {
    let mut messages = Vec::new();
    for act in acts {
        if let OwnershipAction::Send { message, .. } = act {
            transcript.push(format!("{side}> {}", shown(message)));
            messages.push(message.clone());
        }
    }
    messages
}

/// Both processes play a whole hot restart: hello, offer, ready, state, a session, what is left, a list.
#[test]
fn a_whole_hot_restart_says_the_same() {
    let mut transcript = Vec::new();
    let mut old = SocketOwnership::new("relay-1", "10.0.0.1:7000", None);
    let mut new = SocketOwnership::new("relay-1", "10.0.0.1:7000", Some(0));
    let step = |ownership: &mut SocketOwnership, event| {
        let mut acts = Vec::new();
        ownership.step(event, &mut acts);
        acts
    };
    let say = |side: &str, message: Message, transcript: &mut Vec<String>| {
        transcript.push(format!("{side}> {}", shown(&message)));
        let line = transcript.last().expect("a line")[5..].to_string();
        OwnershipEvent::Received {
            peer: if side == "new" { 1 } else { 0 },
            message: decode(line.as_bytes()).expect("one"),
        }
    };

    let acts = step(&mut old, say("new", hello(), &mut transcript));
    let offer = sent("old", &acts, &mut transcript);
    assert_eq!(offer, [Message::Offer { version: VERSION }]);
    assert_eq!(acts[1], OwnershipAction::StartReadyTimer { process: 1 });

    let acts = step(&mut old, say("new", Message::Ready {}, &mut transcript));
    assert_eq!(acts, [OwnershipAction::HandOver { process: 1 }]);
    let acts = step(&mut new, say("old", Message::TakeOver(Box::new(state())), &mut transcript));
    let shares = OwnershipAction::PredecessorRemaining { connections: 4, sessions: 2 };
    assert_eq!(acts, [OwnershipAction::TakeOver(Some(Box::new(state()))), shares]);

    // A session goes past the two state machines, with its sockets.
    say("old", Message::Session(Box::new(session())), &mut transcript);
    let acts = step(&mut old, OwnershipEvent::RemainingChanged { connections: 3, sessions: 1 });
    for message in sent("old", &acts, &mut transcript) {
        let shares = OwnershipAction::PredecessorRemaining { connections: 3, sessions: 1 };
        assert_eq!(step(&mut new, OwnershipEvent::Received { peer: 0, message }), [shares]);
    }
    let list = json!({"generation": 10, "reset": true, "instances": []});
    let acts = step(&mut old, OwnershipEvent::ListReceived { list: list.clone() });
    for message in sent("old", &acts, &mut transcript) {
        assert_eq!(
            step(&mut new, OwnershipEvent::Received { peer: 0, message }),
            [OwnershipAction::PredecessorList(list.clone())]
        );
    }

    // A third process is refused by both.
    let acts = step(&mut old, OwnershipEvent::Received { peer: 2, message: hello() });
    assert_eq!(acts[1], OwnershipAction::Disconnect { process: 2 });
    sent("old", &acts, &mut transcript);
    let acts = step(&mut new, OwnershipEvent::Received { peer: 1, message: hello() });
    sent("new", &acts, &mut transcript);
    let text = include_str!("fixtures/hot_restart.txt");
    assert_eq!(transcript, text.lines().collect::<Vec<_>>());
}
