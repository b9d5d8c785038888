//! The messages of a hot restart as version 0.4.0 wrote them: the same values are read from the same bytes
//! and written to them, what was refused is refused with the same text, and both sides of a whole hot restart
//! say the same.
use hallrelay_hot_restart::message::{decode, encode, VERSION};
use hallrelay_hot_restart::place::{Act, Event, Place};
use hallrelay_hot_restart::{Message, Server, Session, State};
use serde_json::json;

fn hello() -> Message {
    Message::Hello { version: VERSION, name: "relay-1".into(), listen: "10.0.0.1:7000".into() }
}

fn state() -> State {
    let instance = json!({"instanceId": "s-1", "hostPort": "10.0.0.9:80", "zone": "east", "cell": 2,
        "lifecycle": "READY", "startedAtMs": 1.5});
    let warm = Server {
        name: "s-1".into(),
        report: Some((1_500, 0.25, 1.5, 12.0)),
        misses: 2,
        placed: -3.5,
        turn: (7_000_000, 0.75),
    };
    let unknown = Server { name: "s-2".into(), ..Server::default() };
    State {
        list: Some(json!({"generation": 9, "reset": true, "instances": [instance]})),
        servers: vec![warm, unknown],
        step: 0.02,
        draining: Some(9_000_000),
        open: vec![1, u64::MAX],
        connections: 4,
        fleet: Some(vec![0, 127, 255]),
        shut: Some((12, vec!["s-2".into(), "s-7".into()])),
    }
}

fn session() -> Session {
    Session {
        mark: u64::MAX,
        listener: "public".into(),
        server: "s-1".into(),
        key: 17,
        group: 3,
        returned: true,
        up: b"half a line".to_vec(),
        down: b"\x00\xff".to_vec(),
        unanswered: vec![1_500, 0],
    }
}

/// In the order of the lines of `fixtures/messages.txt`.
fn messages() -> Vec<Message> {
    vec![
        hello(),
        Message::Offer { version: VERSION },
        Message::No { why: "this relay has another name".into() },
        Message::Ready {},
        Message::Yours(Box::default()),
        Message::Yours(Box::new(state())),
        Message::Session(Box::default()),
        Message::Session(Box::new(session())),
        Message::Holds { connections: 5, sessions: 4 },
        Message::Listed { list: json!({"generation": 10, "reset": false, "instances": []}) },
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
fn sent(side: &str, acts: &[Act], transcript: &mut Vec<String>) -> Vec<Message> {
    let mut messages = Vec::new();
    for act in acts {
        if let Act::Tell { message, .. } = act {
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
    let mut old = Place::new("relay-1", "10.0.0.1:7000", None);
    let mut new = Place::new("relay-1", "10.0.0.1:7000", Some(0));
    let step = |place: &mut Place, event| {
        let mut acts = Vec::new();
        place.step(event, &mut acts);
        acts
    };
    let say = |side: &str, message: Message, transcript: &mut Vec<String>| {
        transcript.push(format!("{side}> {}", shown(&message)));
        let line = transcript.last().expect("a line")[5..].to_string();
        Event::Said {
            peer: if side == "new" { 1 } else { 0 },
            message: decode(line.as_bytes()).expect("one"),
        }
    };

    let acts = step(&mut old, say("new", hello(), &mut transcript));
    let offer = sent("old", &acts, &mut transcript);
    assert_eq!(offer, [Message::Offer { version: VERSION }]);
    assert_eq!(acts[1], Act::Wait { peer: 1 });

    let acts = step(&mut old, say("new", Message::Ready {}, &mut transcript));
    assert_eq!(acts, [Act::Yield { peer: 1 }]);
    let acts = step(&mut new, say("old", Message::Yours(Box::new(state())), &mut transcript));
    let shares = Act::Shares { connections: 4, sessions: 2 };
    assert_eq!(acts, [Act::Take(Some(Box::new(state()))), shares]);

    // A session goes past the two state machines, with its sockets.
    say("old", Message::Session(Box::new(session())), &mut transcript);
    let acts = step(&mut old, Event::Holds { connections: 3, sessions: 1 });
    for message in sent("old", &acts, &mut transcript) {
        let shares = Act::Shares { connections: 3, sessions: 1 };
        assert_eq!(step(&mut new, Event::Said { peer: 0, message }), [shares]);
    }
    let list = json!({"generation": 10, "reset": true, "instances": []});
    let acts = step(&mut old, Event::Listed { list: list.clone() });
    for message in sent("old", &acts, &mut transcript) {
        assert_eq!(step(&mut new, Event::Said { peer: 0, message }), [Act::Listed(list.clone())]);
    }

    // A third process is refused by both.
    let acts = step(&mut old, Event::Said { peer: 2, message: hello() });
    assert_eq!(acts[1], Act::Part { peer: 2 });
    sent("old", &acts, &mut transcript);
    let acts = step(&mut new, Event::Said { peer: 1, message: hello() });
    sent("new", &acts, &mut transcript);
    let text = include_str!("fixtures/hot_restart.txt");
    assert_eq!(transcript, text.lines().collect::<Vec<_>>());
}
