//! What operators do with a running relay, with its process on loopback: each test is bounded to seconds.
mod common;

use common::{Client, Miss, Site, SOON};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

#[test]
fn the_second_address_answers_what_is_a_call_and_survives_what_is_none() {
    let (_site, mut relay) = Site::served("calls");
    assert_eq!(relay.call("GET", "/v1/nothing").0, 404);
    let (status, answer) = relay.call("GET", "/v1/relay/drain");
    assert_eq!(status, 405);
    assert!(answer.to_lowercase().contains("allow: post"), "{answer}");
    assert!(relay.call("POST", "/v1/readyz").1.to_lowercase().contains("allow: get"));
    assert_eq!(relay.say(b"\x16\x03\x01 what\r\n\r\n").0, 400);
    let long = format!("GET /v1/readyz HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(20_000));
    assert_eq!(relay.say(long.as_bytes()).0, 431);
    let head = "POST /v1/relay/activate HTTP/1.1\r\nhost: relay\r\ncontent-length: 100000\r\n\r\n";
    assert_eq!(relay.say(format!("{head}{}", "x".repeat(8000)).as_bytes()).0, 413);
    // A call to a connection: a second one behind the first is not heard.
    let two = "GET /v1/readyz HTTP/1.1\r\nhost: relay\r\n\r\n".repeat(2);
    assert_eq!(relay.say(two.as_bytes()).1.matches("HTTP/1.1").count(), 1);
    let (status, figures) = relay.call("GET", "/v1/metrics");
    assert_eq!(status, 200);
    for line in ["node.passed.low:0|c", "node.dropped.once:0|c", "node.in_progress:0|g", "node.loads:0|c"] {
        assert!(figures.contains(line), "{line} in {figures}");
    }
    assert!(!relay.has_ended());
}

/// Guards good callers against those that hold their connections with no whole call.
#[test]
fn callers_that_say_nothing_whole_delay_nobody() {
    let (site, relay) = Site::served("slow-callers");
    let half = |i: usize| {
        let mut stream = TcpStream::connect(relay.operator).expect("it listens");
        let part: &[u8] = if i.is_multiple_of(2) { b"GET /v1/re" } else { b"" };
        stream.write_all(part).expect("it takes bytes");
        stream
    };
    let mut held = Vec::new();
    for round in 0..5 {
        held.extend((0..20).map(half));
        let started = Instant::now();
        assert_eq!(relay.call("GET", "/v1/readyz").0, 200, "round {round}");
        assert!(started.elapsed() < Duration::from_millis(900), "round {round}: {:?}", started.elapsed());
    }
    // Clients have places of their own.
    assert!(Client::open(site.listen, "low").expect("a session").echoes());
}

#[test]
fn a_drain_moves_everybody_and_a_second_call_ends_it() {
    let (site, relay) = Site::served("drain");
    let mut clients: Vec<Client> =
        (0..5).map(|_| Client::open(site.listen, "low").expect("a session")).collect();
    assert!(clients.iter_mut().all(Client::echoes));
    let begun = Instant::now();
    assert_eq!(relay.call("POST", "/v1/relay/drain").0, 200);
    assert_eq!(Client::ping(site.listen), Ok("BUSY".to_string()));
    assert_eq!(relay.call("GET", "/v1/readyz").0, 503);
    // The front still sends for a while.
    clients.push(Client::open(site.listen, "once").expect("a session"));
    for client in &mut clients {
        assert_eq!(client.hear(), Ok("MOVE".to_string()));
        assert_eq!(client.hear(), Err(Miss::Ended));
    }
    assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
    assert!(matches!(Client::open(site.listen, "low"), Err(Miss::Said(word)) if word.starts_with("BUSY")));
    assert_eq!(relay.call("POST", "/v1/relay/activate").0, 200);
    assert_eq!(Client::ping(site.listen), Ok("PONG".to_string()));
    assert!(Client::open(site.listen, "low").expect("a session").echoes());
    let counts = ["passed.low", "passed.once", "dropped.low", "upstream_tries", "in_progress"];
    let wanted = [6, 1, 1, 7, 0];
    common::until("sessions that ended are in no figure", || relay.figure("in_progress") == Some(0));
    for (name, wanted) in counts.iter().zip(wanted) {
        assert_eq!(relay.figure(name), Some(wanted), "{name}");
    }
    assert!(begun.elapsed() < SOON);
}

#[test]
fn files_read_at_sighup_are_counted_as_used_or_not() {
    let (site, relay) = Site::served("loads");
    relay.signal("HUP");
    common::until("a sound file is a load", || relay.figure("loads") == Some(1));
    std::fs::write(&relay.path, "").expect("a file");
    relay.signal("HUP");
    common::until("an empty one is an error", || relay.figure("load_errors") == Some(1));
    assert_eq!(relay.figure("loads"), Some(1));
    assert!(Client::open(site.listen, "low").expect("a session").echoes());
}

/// Clients that come one after another till told to stop, and what became of them: sessions, and misses.
fn come_and_go(place: std::net::SocketAddr) -> (Arc<AtomicBool>, JoinHandle<(u32, Vec<Miss>)>) {
    let stop = Arc::new(AtomicBool::new(false));
    let told = stop.clone();
    let clients = std::thread::spawn(move || {
        let (mut up, mut missed) = (0, Vec::new());
        while !told.load(Ordering::Relaxed) {
            match Client::open(place, "low") {
                Ok(_) => up += 1,
                Err(why) => missed.push(why),
            }
        }
        (up, missed)
    });
    (stop, clients)
}

/// Replacements in a row under load, a broken build among them: no connection is refused, reset or unread,
/// and a session that is open all the while sees nothing of it, half a line of its client's included.
#[test]
fn processes_follow_each_other_and_no_connection_is_lost() {
    let (mut site, mut old) = Site::served("upgrades");
    let coming: Vec<_> = (0..3).map(|_| come_and_go(site.listen)).collect();
    let mut held = Client::open(site.listen, "low").expect("a session");
    for round in 0..4 {
        if round == 1 {
            // A build that ends at its start leaves the running process as it is.
            let good = site.text["seed"].take();
            let mut broken = site.start();
            common::until("the broken one ends", || broken.has_ended());
            site.text["seed"] = good;
            assert!(old.ready() && held.echoes());
        }
        held.say_part("half a l");
        let new = site.start();
        new.until_ready();
        held.say("ine");
        assert_eq!(held.hear(), Ok("half a line".to_string()));
        assert_eq!(old.call("GET", "/v1/readyz").0, 503, "round {round}");
        old.signal("TERM");
        common::until("the old process leaves", || old.has_ended());
        assert!(held.echoes(), "round {round}: an open session goes on in the new process");
        assert!(new.figure("in_progress").is_some_and(|n| n >= 1));
        old = new;
    }
    let mut ups = 0;
    for (stop, clients) in coming {
        stop.store(true, Ordering::Relaxed);
        let (up, missed) = clients.join().expect("clients");
        assert_eq!(missed, Vec::<Miss>::new());
        ups += up;
    }
    assert!(ups > 100, "only {ups} sessions came about");
    assert!(!old.has_ended());
}

#[test]
fn a_new_process_that_dies_gives_the_place_back_and_a_third_is_refused() {
    let (mut site, mut old) = Site::served("dies");
    let mut new = site.start();
    new.until_ready();
    // The old process is still there: a third one is told so and ends.
    let mut third = site.start();
    common::until("the third ends", || third.has_ended());
    assert!(new.ready());
    new.child.kill().expect("it lives");
    common::until("the old process serves again", || old.ready());
    assert!(Client::open(site.listen, "low").expect("a session").echoes());
    // And it can be replaced still.
    let newest = site.start();
    newest.until_ready();
    assert_eq!(old.call("GET", "/v1/readyz").0, 503);
    assert!(!old.has_ended());
}

/// What a crash leaves behind is no process: the start is an ordinary one.
#[test]
fn a_socket_that_nobody_answers_at_is_replaced() {
    let (mut site, mut old) = Site::served("stale");
    old.child.kill().expect("it lives");
    old.child.wait().expect("it ends");
    assert!(std::fs::read_dir(&site.folder)
        .expect("a folder")
        .flatten()
        .any(|f| { f.file_name().to_string_lossy().ends_with(".sock") }));
    let new = site.start();
    new.until_ready();
    assert!(Client::open(site.listen, "low").expect("a session").echoes());
}

/// New settings under open sessions; what is wrong in a file keeps all of it from being used.
#[test]
fn settings_are_retuned_whole_or_not_at_all() {
    let (site, relay) = Site::served("retune");
    let mut old = Client::open(site.listen, "low").expect("a session");
    let mut text = site.text.clone();
    text["settings"]["Listeners"] = serde_json::json!([
        common::listener("once", 5.0, "retryable"),
        common::listener("new", 1.0, "fragile")
    ]);
    let whole = text.to_string();
    let (mut late, mut dials, mut short) = (text.clone(), text.clone(), text.clone());
    late["settings"]["Listeners"][0]["DialTimeout"] = serde_json::json!(-5);
    dials["settings"]["Ceilings"]["MostDials"] = serde_json::json!(0);
    short["settings"].as_object_mut().expect("settings").remove("Rules");
    // A new place of discovery in a file with a bad key does not hold either.
    short["discovery"] = serde_json::json!("127.0.0.1:1");
    let broken = [
        String::new(),
        whole[..whole.len() / 2].to_string(),
        late.to_string(),
        dials.to_string(),
        short.to_string(),
    ];
    for (i, text) in broken.iter().enumerate() {
        std::fs::write(&relay.path, text).expect("a file");
        relay.signal("HUP");
        common::until("it is counted", || relay.figure("load_errors") == Some(i as u64 + 1));
        assert!(matches!(Client::open(site.listen, "new"), Err(Miss::Said(word)) if word == "ERR"), "{text}");
        assert!(Client::open(site.listen, "low").expect("a session").echoes());
    }
    std::fs::write(&relay.path, &whole).expect("a file");
    relay.signal("HUP");
    common::until("it is used", || relay.figure("loads") == Some(1));
    assert!(Client::open(site.listen, "new").expect("a session").echoes());
    assert!(matches!(Client::open(site.listen, "low"), Err(Miss::Said(word)) if word == "ERR"));
    assert!(old.echoes());
    assert_eq!(relay.figure("passed.new"), Some(1));
    assert_eq!(relay.figure("passed.low"), Some(6));
}

/// Guards clients that are slow among crowds that say nothing or stop half way, and the end owed to those.
#[test]
fn a_line_that_comes_bit_by_bit_is_served_and_silence_is_not() {
    let (site, _relay) = Site::served("slow-lines");
    let begun = Instant::now();
    let mut silent = Client::connect(site.listen).expect("it listens");
    let mut half = Client::connect(site.listen).expect("it listens");
    half.say_part("OPEN 00");
    let line = "OPEN 00000000000000aa 00000000000000ab c=low,d=1900\r\n";
    let mut slow = Client::connect(site.listen).expect("it listens");
    let mut crowd = Vec::new();
    for part in line.as_bytes().chunks(line.len().div_ceil(11)) {
        slow.say_part(std::str::from_utf8(part).expect("ascii"));
        // More than there are places.
        crowd.extend((0..20).filter_map(|_| Client::connect(site.listen).ok()));
        std::thread::sleep(Duration::from_millis(200));
    }
    assert!(begun.elapsed() > Duration::from_millis(2_000));
    assert_eq!(slow.hear(), Ok("UP r1".to_string()));
    assert!(slow.echoes());
    for other in [&mut silent, &mut half] {
        assert!(matches!(other.hear().as_deref(), Ok("ERR" | "BUSY") | Err(Miss::Ended | Miss::Reset)));
    }
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}
