//! The state machine of a hot restart, played as text: lines of events, and the actions that must follow
//! behind `=>`. And the messages: what is read back, and what is rejected.
use hallrelay_hot_restart::codec::MAX_MESSAGE_BYTES;
use hallrelay_hot_restart::message::VERSION;
use hallrelay_hot_restart::{
    decode, encode, LoadReport, Message, OwnershipAction, OwnershipEvent, RelayState, ServerState,
    SlowStartSlot, SocketOwnership,
};

fn message(word: &str) -> Message {
    match word {
        "hello" => Message::Hello { version: VERSION, name: "n1".into(), listen: "a:1".into() },
        "other-name" => Message::Hello { version: VERSION, name: "n2".into(), listen: "a:1".into() },
        "other-address" => Message::Hello { version: VERSION, name: "n1".into(), listen: "a:2".into() },
        "ready" => Message::Ready {},
        "yours" => Message::TakeOver(Box::new(RelayState { connections: 3, ..RelayState::default() })),
        "no" => Message::Rejected { reason: "why".into() },
        "holds" => Message::Remaining { connections: 2, sessions: 1 },
        "listed" => Message::EndpointList { list: serde_json::json!({"generation": 2}) },
        other => panic!("unknown message {other}"),
    }
}

fn shown(action: &OwnershipAction) -> String {
    match action {
        OwnershipAction::Send { process, message: Message::Rejected { reason } } => {
            format!("no to {process}: {reason}")
        }
        OwnershipAction::Send { process, message: Message::Offer { .. } } => format!("offer to {process}"),
        OwnershipAction::Send { process, message: Message::Remaining { connections, sessions } } => {
            format!("holds to {process}: {connections} {sessions}")
        }
        OwnershipAction::Send { process, message: Message::EndpointList { .. } } => {
            format!("listed to {process}")
        }
        OwnershipAction::Send { process, message } => format!("{message:?} to {process}"),
        OwnershipAction::Disconnect { process } => format!("part from {process}"),
        OwnershipAction::StartReadyTimer { process } => format!("wait for {process}"),
        OwnershipAction::HandOver { process } => format!("yield to {process}"),
        OwnershipAction::Resume => "return".into(),
        OwnershipAction::TakeOver(Some(_)) => "take all".into(),
        OwnershipAction::TakeOver(None) => "take alone".into(),
        OwnershipAction::Abort { reason } => format!("abort: {reason}"),
        OwnershipAction::PredecessorRemaining { connections, sessions } => {
            format!("shares {connections} {sessions}")
        }
        OwnershipAction::PredecessorList(list) => format!("listed {list}"),
        OwnershipAction::Log(_) => "log".into(),
    }
}

fn play(predecessor: Option<u32>, text: &str) {
    let mut ownership = SocketOwnership::new("n1", "a:1", predecessor);
    let mut got: Vec<String> = Vec::new();
    for line in text.lines().map(str::trim).filter(|line| !line.is_empty()) {
        if let Some(wanted) = line.strip_prefix("=> ") {
            assert!(!got.is_empty(), "nothing came where '{wanted}' was wanted");
            assert_eq!(got.remove(0), wanted);
            continue;
        }
        assert_eq!(got, Vec::<String>::new(), "before '{line}'");
        let words: Vec<&str> = line.split(' ').collect();
        let peer = words.get(1).and_then(|w| w.parse().ok()).unwrap_or(0);
        let event = match words[0] {
            "left" => OwnershipEvent::Disconnected { peer },
            "due" => OwnershipEvent::ReadyTimeout { peer },
            "hears" => OwnershipEvent::ListReceived { list: serde_json::json!({"generation": 2}) },
            "here" => OwnershipEvent::RemainingChanged { connections: 5, sessions: 4 },
            word => OwnershipEvent::Received { peer, message: message(word) },
        };
        let mut actions = Vec::new();
        ownership.step(event, &mut actions);
        got = actions.iter().map(shown).collect();
    }
    assert_eq!(got, Vec::<String>::new());
}

#[test]
fn a_listener_is_offered_handed_over_and_shared() {
    play(
        None,
        "here
        hello 1
        => offer to 1
        => wait for 1
        hello 2
        => no to 2: another replacement is under way
        => part from 2
        left 2
        ready 1
        => yield to 1
        due 1
        hello 3
        => no to 3: this process is replaced already
        => part from 3
        here
        => holds to 1: 5 4
        left 1
        => return
        hello 4
        => offer to 4
        => wait for 4",
    );
}

#[test]
fn until_the_handover_the_old_process_goes_on_whatever_happens() {
    for end in ["left 1\n=> log", "due 1\n=> log\n=> no to 1: not ready in time\n=> part from 1"] {
        play(
            None,
            &format!("hello 1\n=> offer to 1\n=> wait for 1\n{end}\nhello 2\n=> offer to 2\n=> wait for 2"),
        );
    }
    play(
        None,
        "other-name 1
        => no to 1: this relay has another name
        => part from 1
        other-address 2
        => no to 2: this relay listens elsewhere
        => part from 2
        yours 3
        => log
        => no to 3: out of turn
        => part from 3
        ready 4
        => log
        => no to 4: out of turn
        => part from 4",
    );
}

#[test]
fn the_new_process_takes_over_or_ends() {
    play(
        Some(0),
        "hello 1
        => no to 1: this process has not taken over yet
        => part from 1
        yours 0
        => take all
        => shares 3 0
        holds 0
        => shares 2 1
        hello 2
        => no to 2: the last replacement is not over yet
        => part from 2
        left 0
        => shares 0 0
        hello 3
        => offer to 3
        => wait for 3",
    );
    play(Some(0), "no 0\n=> abort: why");
    // An owner that died leaves the listening socket to this process; a second disconnect changes nothing.
    play(Some(0), "left 0\n=> take alone\nleft 0\nhello 1\n=> offer to 1\n=> wait for 1");
}

fn state() -> RelayState {
    let server = ServerState {
        name: "s-1".into(),
        report: Some(LoadReport { age: 5, load: 0.5, queue_delay: 0.0, sessions: 3.0 }),
        consecutive_failures: 1,
        recently_placed: -2.0,
        slow_start_slot: SlowStartSlot { age: 7, interval_fraction: 0.25 },
    };
    RelayState {
        servers: vec![server],
        session_load: 0.02,
        draining_age: Some(9),
        session_ids: vec![u64::MAX],
        connections: 4,
        ..RelayState::default()
    }
}

#[test]
fn messages_are_decoded_as_encoded() {
    for word in ["hello", "ready", "yours", "no", "holds", "listed"] {
        let line = encode(&message(word)).expect("it is short");
        assert_eq!(decode(line.trim_ascii_end()).expect("a message"), message(word));
    }
    let whole = Message::TakeOver(Box::new(state()));
    let line = encode(&whole).expect("it is short");
    assert_eq!(decode(line.trim_ascii_end()).expect("a message"), whole);
    // Cut anywhere it is no message.
    for cut in 0..line.len() - 2 {
        assert!(decode(&line[..cut]).is_err(), "cut at {cut}");
    }
}

#[test]
fn invalid_messages_are_rejected_with_the_reason() {
    let later = Message::Hello { version: VERSION + 1, name: "n1".into(), listen: "a:1".into() };
    let why =
        decode(encode(&later).expect("short").trim_ascii_end()).expect_err("another version").to_string();
    assert!(
        why.contains(&format!("version {}", VERSION + 1)) && why.contains(&format!("wanted {VERSION}")),
        "{why}"
    );
    let long = Message::Hello { version: VERSION, name: "n".repeat(300), listen: "a:1".into() };
    assert!(decode(encode(&long).expect("short").trim_ascii_end()).is_err());
    for change in [
        |s: &mut RelayState| s.session_load = -1.0,
        |s: &mut RelayState| s.servers[0].recently_placed = 1e12,
        |s: &mut RelayState| s.servers[0].slow_start_slot.interval_fraction = 1e12,
        |s: &mut RelayState| s.servers[0].report = Some(LoadReport { load: -0.1, ..LoadReport::default() }),
    ] {
        let mut state = state();
        change(&mut state);
        let line = encode(&Message::TakeOver(Box::new(state))).expect("short");
        assert!(decode(line.trim_ascii_end()).is_err());
    }
    assert!(decode(b"{\"ready\":{},\"more\":1}").is_err());
    assert!(decode(&vec![b' '; MAX_MESSAGE_BYTES + 1]).is_err());
    let huge = Message::Rejected { reason: "x".repeat(MAX_MESSAGE_BYTES) };
    assert!(encode(&huge).is_err());
}

#[test]
fn what_discovery_tells_the_old_process_goes_to_its_successor_alone() {
    play(None, "hears");
    play(
        None,
        "hello 1
        => offer to 1
        => wait for 1
        hears
        ready 1
        => yield to 1
        hears
        => listed to 1",
    );
    play(
        Some(0),
        "yours 0
        => take all
        => shares 3 0
        listed 0
        => listed {\"generation\":2}",
    );
}
