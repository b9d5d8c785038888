//! The states of a replacement, played as text: `EVENT` lines and what must come of them behind `=>`. And
//! the messages: what is read back, and what is refused.
use hallrelay_hot_restart::message::{decode, encode, LONGEST, VERSION};
use hallrelay_hot_restart::place::{Act, Event, Place};
use hallrelay_hot_restart::{Message, Server, State};

fn message(word: &str) -> Message {
    match word {
        "hello" => Message::Hello { version: VERSION, name: "n1".into(), listen: "a:1".into() },
        "other-name" => Message::Hello { version: VERSION, name: "n2".into(), listen: "a:1".into() },
        "other-place" => Message::Hello { version: VERSION, name: "n1".into(), listen: "a:2".into() },
        "ready" => Message::Ready {},
        "yours" => Message::Yours(Box::new(State { connections: 3, ..State::default() })),
        "no" => Message::No { why: "why".into() },
        "holds" => Message::Holds { connections: 2, sessions: 1 },
        "listed" => Message::Listed { list: serde_json::json!({"generation": 2}) },
        other => panic!("unknown message {other}"),
    }
}

fn shown(act: &Act) -> String {
    match act {
        Act::Tell { peer, message: Message::No { why } } => format!("no to {peer}: {why}"),
        Act::Tell { peer, message: Message::Offer { .. } } => format!("offer to {peer}"),
        Act::Tell { peer, message: Message::Holds { connections, sessions } } => {
            format!("holds to {peer}: {connections} {sessions}")
        }
        Act::Tell { peer, message: Message::Listed { .. } } => format!("listed to {peer}"),
        Act::Tell { peer, message } => format!("{message:?} to {peer}"),
        Act::Part { peer } => format!("part from {peer}"),
        Act::Wait { peer } => format!("wait for {peer}"),
        Act::Yield { peer } => format!("yield to {peer}"),
        Act::Return => "return".into(),
        Act::Take(Some(_)) => "take all".into(),
        Act::Take(None) => "take alone".into(),
        Act::GiveUp(why) => format!("give up: {why}"),
        Act::Shares { connections, sessions } => format!("shares {connections} {sessions}"),
        Act::Listed(list) => format!("listed {list}"),
        Act::Note(_) => "note".into(),
    }
}

fn play(before: Option<u32>, text: &str) {
    let mut place = Place::new("n1", "a:1", before);
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
            "left" => Event::Left { peer },
            "due" => Event::Due { peer },
            "hears" => Event::Listed { list: serde_json::json!({"generation": 2}) },
            "here" => Event::Holds { connections: 5, sessions: 4 },
            word => Event::Said { peer, message: message(word) },
        };
        let mut acts = Vec::new();
        place.step(event, &mut acts);
        got = acts.iter().map(shown).collect();
    }
    assert_eq!(got, Vec::<String>::new());
}

#[test]
fn a_place_is_offered_given_and_shared() {
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
fn before_the_one_step_the_old_process_goes_on_whatever_happens() {
    for end in ["left 1\n=> note", "due 1\n=> note\n=> no to 1: not ready in time\n=> part from 1"] {
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
        other-place 2
        => no to 2: this relay listens elsewhere
        => part from 2
        yours 3
        => note
        => no to 3: out of turn
        => part from 3
        ready 4
        => note
        => no to 4: out of turn
        => part from 4",
    );
}

#[test]
fn the_new_process_takes_the_place_or_ends() {
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
    play(Some(0), "no 0\n=> give up: why");
    // Who died with the place leaves it to this one; a second word of it changes nothing.
    play(Some(0), "left 0\n=> take alone\nleft 0\nhello 1\n=> offer to 1\n=> wait for 1");
}

fn state() -> State {
    let server = Server {
        name: "s-1".into(),
        report: Some((5, 0.5, 0.0, 3.0)),
        misses: 1,
        placed: -2.0,
        turn: (7, 0.25),
    };
    State {
        servers: vec![server],
        step: 0.02,
        draining: Some(9),
        open: vec![u64::MAX],
        connections: 4,
        ..State::default()
    }
}

#[test]
fn messages_come_back_as_they_went() {
    for word in ["hello", "ready", "yours", "no", "holds", "listed"] {
        let line = encode(&message(word)).expect("it is short");
        assert_eq!(decode(line.trim_ascii_end()), Ok(message(word)));
    }
    let whole = Message::Yours(Box::new(state()));
    let line = encode(&whole).expect("it is short");
    assert_eq!(decode(line.trim_ascii_end()), Ok(whole));
    // Cut anywhere it is no message.
    for cut in 0..line.len() - 2 {
        assert!(decode(&line[..cut]).is_err(), "cut at {cut}");
    }
}

#[test]
fn what_cannot_be_is_refused_with_what_is_wrong() {
    let later = Message::Hello { version: VERSION + 1, name: "n1".into(), listen: "a:1".into() };
    let why = decode(encode(&later).expect("short").trim_ascii_end()).expect_err("another version");
    assert!(
        why.contains(&format!("version {}", VERSION + 1)) && why.contains(&format!("wanted {VERSION}")),
        "{why}"
    );
    let long = Message::Hello { version: VERSION, name: "n".repeat(300), listen: "a:1".into() };
    assert!(decode(encode(&long).expect("short").trim_ascii_end()).is_err());
    for change in [
        |s: &mut State| s.step = -1.0,
        |s: &mut State| s.servers[0].placed = 1e12,
        |s: &mut State| s.servers[0].turn.1 = 1e12,
        |s: &mut State| s.servers[0].report = Some((0, -0.1, 0.0, 0.0)),
    ] {
        let mut state = state();
        change(&mut state);
        let line = encode(&Message::Yours(Box::new(state))).expect("short");
        assert!(decode(line.trim_ascii_end()).is_err());
    }
    assert!(decode(b"{\"ready\":{},\"more\":1}").is_err());
    assert!(decode(&vec![b' '; LONGEST + 1]).is_err());
    let huge = Message::No { why: "x".repeat(LONGEST) };
    assert!(encode(&huge).is_err());
}

#[test]
fn what_discovery_tells_the_old_process_goes_to_the_new_one_and_to_nobody_else() {
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
