//! The messages of a hot restart as written by version 0.4.0. Each message must encode to and decode from the
//! stored bytes, invalid messages must be rejected with the stored text, and a complete hot restart must
//! exchange the stored messages.
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

/// The messages in the order of the lines of `fixtures/messages.txt`.
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

fn encoded(message: &Message) -> String {
    let line = encode(message).expect("encode the message");
    let line = String::from_utf8(line).expect("the encoded message must be UTF-8");
    line.strip_suffix('\n').expect("the encoded message must end with a newline").to_string()
}

#[test]
fn each_message_matches_its_fixture() {
    let text = include_str!("fixtures/messages.txt");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(messages().iter().map(encoded).collect::<Vec<_>>(), lines);
    for (message, line) in messages().into_iter().zip(lines) {
        assert_eq!(decode(line.as_bytes()).map_err(|e| e.to_string()), Ok(message));
    }
}

/// Each pair of lines in the fixture is a message and, after `=> `, the reason of its rejection.
#[test]
fn invalid_messages_are_rejected_with_the_stored_text() {
    let text = include_str!("fixtures/refused.txt");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len() % 2, 0);
    for pair in lines.chunks(2) {
        let error = decode(pair[0].as_bytes()).map_err(|e| format!("=> {e}"));
        assert_eq!(error, Err(pair[1].to_string()), "{}", pair[0]);
    }
}

/// Records the messages among the actions of a process, prefixed with `old> ` or `new> `, and returns them.
fn record_sent(side: &str, actions: &[OwnershipAction], transcript: &mut Vec<String>) -> Vec<Message> {
    let mut messages = Vec::new();
    for action in actions {
        if let OwnershipAction::Send { message, .. } = action {
            transcript.push(format!("{side}> {}", encoded(message)));
            messages.push(message.clone());
        }
    }
    messages
}

/// Runs a complete hot restart: hello, offer, ready, state, a session, the remaining sessions, an endpoint
/// list.
#[test]
fn complete_hot_restart_matches_its_fixture() {
    let mut transcript = Vec::new();
    let mut old = SocketOwnership::new("relay-1", "10.0.0.1:7000", None);
    let mut new = SocketOwnership::new("relay-1", "10.0.0.1:7000", Some(0));
    let step = |ownership: &mut SocketOwnership, event| {
        let mut actions = Vec::new();
        ownership.step(event, &mut actions);
        actions
    };
    let send = |side: &str, message: Message, transcript: &mut Vec<String>| {
        transcript.push(format!("{side}> {}", encoded(&message)));
        let line = transcript.last().expect("the transcript must have a line")[5..].to_string();
        OwnershipEvent::Received {
            peer: if side == "new" { 1 } else { 0 },
            message: decode(line.as_bytes()).expect("decode the message"),
        }
    };

    let actions = step(&mut old, send("new", hello(), &mut transcript));
    let offer = record_sent("old", &actions, &mut transcript);
    assert_eq!(offer, [Message::Offer { version: VERSION }]);
    assert_eq!(actions[1], OwnershipAction::StartReadyTimer { process: 1 });

    let actions = step(&mut old, send("new", Message::Ready {}, &mut transcript));
    assert_eq!(actions, [OwnershipAction::HandOver { process: 1 }]);
    let actions = step(&mut new, send("old", Message::TakeOver(Box::new(state())), &mut transcript));
    let remaining = OwnershipAction::PredecessorRemaining { connections: 4, sessions: 2 };
    assert_eq!(actions, [OwnershipAction::TakeOver(Some(Box::new(state()))), remaining]);

    // Sessions are passed with their sockets by the caller, not by the state machines.
    send("old", Message::Session(Box::new(session())), &mut transcript);
    let actions = step(&mut old, OwnershipEvent::RemainingChanged { connections: 3, sessions: 1 });
    for message in record_sent("old", &actions, &mut transcript) {
        let remaining = OwnershipAction::PredecessorRemaining { connections: 3, sessions: 1 };
        assert_eq!(step(&mut new, OwnershipEvent::Received { peer: 0, message }), [remaining]);
    }
    let list = json!({"generation": 10, "reset": true, "instances": []});
    let actions = step(&mut old, OwnershipEvent::ListReceived { list: list.clone() });
    for message in record_sent("old", &actions, &mut transcript) {
        assert_eq!(
            step(&mut new, OwnershipEvent::Received { peer: 0, message }),
            [OwnershipAction::PredecessorList(list.clone())]
        );
    }

    // Both processes reject a third one.
    let actions = step(&mut old, OwnershipEvent::Received { peer: 2, message: hello() });
    assert_eq!(actions[1], OwnershipAction::Disconnect { process: 2 });
    record_sent("old", &actions, &mut transcript);
    let actions = step(&mut new, OwnershipEvent::Received { peer: 1, message: hello() });
    record_sent("new", &actions, &mut transcript);
    let text = include_str!("fixtures/hot_restart.txt");
    assert_eq!(transcript, text.lines().collect::<Vec<_>>());
}
