//! Tests of the state machine and the messages of a hot restart. The tests of the state machine are scripts:
//! lines with events, each followed by the expected actions after `=>`.
use hallrelay_hot_restart::codec::MAX_MESSAGE_BYTES;
use hallrelay_hot_restart::message::VERSION;
use hallrelay_hot_restart::{
    decode, encode, ExclusionList, ListExtension, LoadReport, Message, OwnershipAction, OwnershipEvent,
    RelayState, RelayUpdate, RemovedServer, ServerState, SlowStartSlot, SocketOwnership,
};

fn message(word: &str) -> Message {
    match word {
        "hello" => Message::Hello { version: VERSION, name: "n1".into(), listen: "a:1".into() },
        "other-name" => Message::Hello { version: VERSION, name: "n2".into(), listen: "a:1".into() },
        "other-address" => Message::Hello { version: VERSION, name: "n1".into(), listen: "a:2".into() },
        "ready" => Message::Ready {},
        "yours" => Message::TakeOver(Box::new(RelayState { connections: 3, ..RelayState::default() })),
        "yours-accepting-updates" => {
            let mut list = serde_json::json!({"generation": 1, "reset": true, "instances": []});
            ListExtension { accepts_updates: true, ..ListExtension::default() }.attach(&mut list);
            Message::TakeOver(Box::new(RelayState { endpoint_list: Some(list), ..RelayState::default() }))
        }
        "no" => Message::Rejected { reason: "why".into() },
        "holds" => Message::Remaining { connections: 2, sessions: 1 },
        "listed" => Message::EndpointList { list: serde_json::json!({"generation": 2}) },
        other => panic!("unknown message {other}"),
    }
}

fn describe(action: &OwnershipAction) -> String {
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
        OwnershipAction::Disconnect { process } => format!("disconnect {process}"),
        OwnershipAction::StartReadyTimer { process } => format!("start timer for {process}"),
        OwnershipAction::HandOver { process } => format!("hand over to {process}"),
        OwnershipAction::Resume => "resume".into(),
        OwnershipAction::TakeOver(Some(_)) => "take over with state".into(),
        OwnershipAction::TakeOver(None) => "take over without state".into(),
        OwnershipAction::Abort { reason } => format!("abort: {reason}"),
        OwnershipAction::PredecessorRemaining { connections, sessions } => {
            format!("predecessor keeps {connections} {sessions}")
        }
        OwnershipAction::PredecessorList(list) => format!("predecessor list {list}"),
        OwnershipAction::SuccessorList(list) => format!("successor list {list}"),
        OwnershipAction::Log(_) => "log".into(),
    }
}

fn run_script(predecessor: Option<u32>, text: &str) {
    let mut ownership = SocketOwnership::new("n1", "a:1", predecessor);
    let mut actual: Vec<String> = Vec::new();
    for line in text.lines().map(str::trim).filter(|line| !line.is_empty()) {
        if let Some(expected) = line.strip_prefix("=> ") {
            assert!(!actual.is_empty(), "expected '{expected}', but there are no more actions");
            assert_eq!(actual.remove(0), expected);
            continue;
        }
        assert_eq!(actual, Vec::<String>::new(), "unexpected actions before '{line}'");
        let words: Vec<&str> = line.split(' ').collect();
        let peer = words.get(1).and_then(|w| w.parse().ok()).unwrap_or(0);
        let event = match words[0] {
            "disconnected" => OwnershipEvent::Disconnected { peer },
            "timeout" => OwnershipEvent::ReadyTimeout { peer },
            "list" => OwnershipEvent::ListReceived { list: serde_json::json!({"generation": 2}) },
            "updated" => OwnershipEvent::PredecessorUpdated {
                message: ListExtension::message(RelayUpdate::Draining(true)),
            },
            "remaining" => OwnershipEvent::RemainingChanged { connections: 5, sessions: 4 },
            word => OwnershipEvent::Received { peer, message: message(word) },
        };
        let mut actions = Vec::new();
        ownership.step(event, &mut actions);
        actual = actions.iter().map(describe).collect();
    }
    assert_eq!(actual, Vec::<String>::new(), "unexpected actions at the end");
}

#[test]
fn listening_socket_is_handed_over_to_one_process() {
    run_script(
        None,
        "remaining
        hello 1
        => offer to 1
        => start timer for 1
        hello 2
        => no to 2: another replacement is under way
        => disconnect 2
        disconnected 2
        ready 1
        => hand over to 1
        timeout 1
        hello 3
        => no to 3: this process is replaced already
        => disconnect 3
        remaining
        => holds to 1: 5 4
        disconnected 1
        => resume
        hello 4
        => offer to 4
        => start timer for 4",
    );
}

#[test]
fn failed_replacements_leave_old_process_as_owner() {
    let timeout = "timeout 1\n=> log\n=> no to 1: not ready in time\n=> disconnect 1";
    for end in ["disconnected 1\n=> log", timeout] {
        run_script(
            None,
            &format!(
                "hello 1
                => offer to 1
                => start timer for 1
                {end}
                hello 2
                => offer to 2
                => start timer for 2"
            ),
        );
    }
    run_script(
        None,
        "other-name 1
        => no to 1: this relay has another name
        => disconnect 1
        other-address 2
        => no to 2: this relay listens elsewhere
        => disconnect 2
        yours 3
        => log
        => no to 3: out of turn
        => disconnect 3
        ready 4
        => log
        => no to 4: out of turn
        => disconnect 4",
    );
}

#[test]
fn new_process_takes_over_or_aborts() {
    run_script(
        Some(0),
        "hello 1
        => no to 1: this process has not taken over yet
        => disconnect 1
        yours 0
        => take over with state
        => predecessor keeps 3 0
        holds 0
        => predecessor keeps 2 1
        hello 2
        => no to 2: the last replacement is not over yet
        => disconnect 2
        disconnected 0
        => predecessor keeps 0 0
        hello 3
        => offer to 3
        => start timer for 3",
    );
    run_script(Some(0), "no 0\n=> abort: why");
    // If the owner disconnects, this process takes the listening socket. A second disconnect changes nothing.
    run_script(
        Some(0),
        "disconnected 0
        => take over without state
        disconnected 0
        hello 1
        => offer to 1
        => start timer for 1",
    );
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
        let line = encode(&message(word)).expect("encode a short message");
        assert_eq!(decode(line.trim_ascii_end()).expect("decode the message"), message(word));
    }
    let take_over = Message::TakeOver(Box::new(state()));
    let line = encode(&take_over).expect("encode a short message");
    assert_eq!(decode(line.trim_ascii_end()).expect("decode the message"), take_over);
    // The message is invalid if it is truncated at any byte.
    for cut in 0..line.len() - 2 {
        assert!(decode(&line[..cut]).is_err(), "truncated to {cut} bytes");
    }
}

#[test]
fn messages_out_of_bounds_are_rejected() {
    let later = Message::Hello { version: VERSION + 1, name: "n1".into(), listen: "a:1".into() };
    let line = encode(&later).expect("encode a short message");
    let error = decode(line.trim_ascii_end()).expect_err("another version must be rejected").to_string();
    assert!(
        error.contains(&format!("version {}", VERSION + 1)) && error.contains(&format!("wanted {VERSION}")),
        "{error}"
    );
    let long = Message::Hello { version: VERSION, name: "n".repeat(300), listen: "a:1".into() };
    let decoded = decode(encode(&long).expect("encode a short message").trim_ascii_end());
    assert!(decoded.is_err(), "a name of 300 bytes must be rejected: {decoded:?}");
    for change in [
        |s: &mut RelayState| s.session_load = -1.0,
        |s: &mut RelayState| s.servers[0].recently_placed = 1e12,
        |s: &mut RelayState| s.servers[0].slow_start_slot.interval_fraction = 1e12,
        |s: &mut RelayState| s.servers[0].report = Some(LoadReport { load: -0.1, ..LoadReport::default() }),
    ] {
        let mut state = state();
        change(&mut state);
        let line = encode(&Message::TakeOver(Box::new(state))).expect("encode a short message");
        let decoded = decode(line.trim_ascii_end());
        assert!(decoded.is_err(), "a value out of bounds must be rejected: {decoded:?}");
    }
    let decoded = decode(b"{\"ready\":{},\"more\":1}");
    assert!(decoded.is_err(), "an unknown key must be rejected: {decoded:?}");
    let decoded = decode(&vec![b' '; MAX_MESSAGE_BYTES + 1]);
    assert!(decoded.is_err(), "a line over the longest length must be rejected: {decoded:?}");
    let too_long = Message::Rejected { reason: "x".repeat(MAX_MESSAGE_BYTES) };
    let length = encode(&too_long).map(|line| line.len());
    assert!(length.is_err(), "a message over the longest length must be rejected: {length:?}");
}

#[test]
fn lists_of_the_old_process_are_sent_to_its_successor() {
    run_script(None, "list");
    run_script(
        None,
        "hello 1
        => offer to 1
        => start timer for 1
        list
        ready 1
        => hand over to 1
        list
        => listed to 1",
    );
    run_script(
        Some(0),
        "yours 0
        => take over with state
        => predecessor keeps 3 0
        listed 0
        => predecessor list {\"generation\":2}",
    );
}

/// Guards a predecessor of an earlier build, which ends the hot restart at a message that it does not expect.
#[test]
fn only_predecessor_that_accepts_updates_gets_them() {
    run_script(
        Some(0),
        "updated
        yours 0
        => take over with state
        => predecessor keeps 3 0
        updated",
    );
    run_script(
        Some(0),
        "updated
        yours-accepting-updates 0
        => take over with state
        => predecessor keeps 0 0
        updated
        => listed to 0
        disconnected 0
        => predecessor keeps 0 0
        updated",
    );
}

#[test]
fn list_of_successor_is_accepted_after_handover_only() {
    run_script(
        None,
        "hello 1
        => offer to 1
        => start timer for 1
        ready 1
        => hand over to 1
        listed 1
        => successor list {\"generation\":2}",
    );
    run_script(
        None,
        "hello 1
        => offer to 1
        => start timer for 1
        listed 1
        => log
        => no to 1: out of turn
        => disconnect 1
        => log",
    );
}

#[test]
fn list_extension_survives_encoding_and_is_ignored_by_list_parsers() {
    let updates = [
        RelayUpdate::Excluded(ExclusionList { log_index: 7, backends: vec!["s-1".into()] }),
        RelayUpdate::Draining(false),
        RelayUpdate::SlotUsed("s-2".into()),
        RelayUpdate::Dialled(u64::MAX),
    ];
    for update in updates {
        let message = ListExtension::message(update.clone());
        let line = encode(&message).expect("encode the message");
        let decoded = decode(line.trim_ascii_end()).expect("decode the message");
        let Message::EndpointList { list } = decoded else { panic!("not a list: {decoded:?}") };
        assert_eq!(ListExtension::of(&list).update, Some(update));
    }
    let extension = ListExtension {
        source: Some("10.0.0.1:8500".into()),
        removed: vec![RemovedServer { name: "s-9".into(), started_at: 5 }],
        dialled: vec![0, u64::MAX],
        accepts_updates: true,
        update: None,
    };
    let mut list = serde_json::json!({"generation": 1, "reset": true, "instances": []});
    extension.attach(&mut list);
    assert_eq!(ListExtension::of(&list), extension);
    list["hotRestart"] = serde_json::json!("invalid");
    assert_eq!(ListExtension::of(&list), ListExtension::default());
}
