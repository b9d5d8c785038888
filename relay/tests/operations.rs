//! Operator actions on a running relay process: HTTP requests, drains, reloads and hot restarts.
mod common;

use common::{Client, RelayConfig, SessionError, WAIT_TIMEOUT};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

#[test]
fn operator_address_answers_requests_and_rejects_malformed_ones() {
    let (_config, mut relay) = RelayConfig::start_ready("calls");
    assert_eq!(relay.request("GET", "/v1/nothing").0, 404);
    let (status, answer) = relay.request("GET", "/v1/relay/drain");
    assert_eq!(status, 405);
    assert!(answer.to_lowercase().contains("allow: post"), "{answer}");
    let answer = relay.request("POST", "/v1/readyz").1;
    assert!(answer.to_lowercase().contains("allow: get"), "{answer}");
    assert_eq!(relay.send_request(b"\x16\x03\x01 what\r\n\r\n").0, 400);
    let long = format!("GET /v1/readyz HTTP/1.1\r\nx: {}\r\n\r\n", "x".repeat(20_000));
    assert_eq!(relay.send_request(long.as_bytes()).0, 431);
    let head = "POST /v1/relay/activate HTTP/1.1\r\nhost: relay\r\ncontent-length: 100000\r\n\r\n";
    assert_eq!(relay.send_request(format!("{head}{}", "x".repeat(8000)).as_bytes()).0, 413);
    // Each connection carries one request; a second request on it is ignored.
    let two = "GET /v1/readyz HTTP/1.1\r\nhost: relay\r\n\r\n".repeat(2);
    assert_eq!(relay.send_request(two.as_bytes()).1.matches("HTTP/1.1").count(), 1);
    let (status, metrics) = relay.request("GET", "/v1/metrics");
    assert_eq!(status, 200);
    for line in ["node.passed.low:0|c", "node.dropped.once:0|c", "node.in_progress:0|g", "node.loads:0|c"] {
        assert!(metrics.contains(line), "{line} is missing in {metrics}");
    }
    assert!(!relay.has_exited(), "the relay exited after malformed requests");
}

/// Connections of other callers that never complete a request must not delay the valid requests of operators.
#[test]
fn incomplete_requests_do_not_delay_others() {
    let (config, relay) = RelayConfig::start_ready("slow-callers");
    let half = |i: usize| {
        let mut stream = TcpStream::connect(relay.operator_address).expect("connect to the operator address");
        let part: &[u8] = if i.is_multiple_of(2) { b"GET /v1/re" } else { b"" };
        stream.write_all(part).expect("send an incomplete request");
        stream
    };
    let mut open = Vec::new();
    for round in 0..5 {
        open.extend((0..20).map(half));
        let started = Instant::now();
        assert_eq!(relay.request("GET", "/v1/readyz").0, 200, "round {round}");
        assert!(started.elapsed() < Duration::from_millis(900), "round {round}: {:?}", started.elapsed());
    }
    // Client connections have a separate limit, so sessions are served, too.
    assert!(Client::open(config.listen_address, "low").expect("open a session").echoes());
}

#[test]
fn drain_migrates_all_sessions_and_activate_ends_it() {
    let (config, relay) = RelayConfig::start_ready("drain");
    let mut clients: Vec<Client> =
        (0..5).map(|_| Client::open(config.listen_address, "low").expect("open a session")).collect();
    assert!(clients.iter_mut().all(Client::echoes), "all sessions must echo before the drain");
    let started_at = Instant::now();
    assert_eq!(relay.request("POST", "/v1/relay/drain").0, 200);
    assert_eq!(Client::ping(config.listen_address), Ok("BUSY".to_string()));
    assert_eq!(relay.request("GET", "/v1/readyz").0, 503);
    // The load balancer in front of the relay still sends sessions for a while.
    clients.push(Client::open(config.listen_address, "once").expect("open a session"));
    for client in &mut clients {
        assert_eq!(client.receive(), Ok("MOVE".to_string()));
        assert_eq!(client.receive(), Err(SessionError::Closed));
    }
    assert!(started_at.elapsed() < Duration::from_secs(4), "{:?}", started_at.elapsed());
    let attempt = Client::open(config.listen_address, "low");
    let attempt = attempt.err();
    assert!(
        matches!(&attempt, Some(SessionError::Unexpected(reply)) if reply.starts_with("BUSY")),
        "a draining relay must answer BUSY, got {attempt:?}"
    );
    assert_eq!(relay.request("POST", "/v1/relay/activate").0, 200);
    assert_eq!(Client::ping(config.listen_address), Ok("PONG".to_string()));
    assert!(Client::open(config.listen_address, "low").expect("open a session").echoes());
    let counts = ["passed.low", "passed.once", "dropped.low", "upstream_tries", "in_progress"];
    let wanted = [6, 1, 1, 7, 0];
    common::wait_until("ended sessions are not counted as in progress", || {
        relay.metric("in_progress") == Some(0)
    });
    for (name, wanted) in counts.iter().zip(wanted) {
        assert_eq!(relay.metric(name), Some(wanted), "{name}");
    }
    assert!(started_at.elapsed() < WAIT_TIMEOUT, "took {:?}", started_at.elapsed());
}

#[test]
fn reloads_are_counted_as_applied_or_rejected() {
    let (config, relay) = RelayConfig::start_ready("loads");
    relay.signal("HUP");
    common::wait_until("the valid file is counted as a load", || relay.metric("loads") == Some(1));
    std::fs::write(&relay.config_path, "").expect("write an empty file");
    relay.signal("HUP");
    common::wait_until("the empty file is counted as a load error", || {
        relay.metric("load_errors") == Some(1)
    });
    assert_eq!(relay.metric("loads"), Some(1));
    assert!(Client::open(config.listen_address, "low").expect("open a session").echoes());
}

/// Starts a thread that opens sessions one after another until it is stopped; returns the flag that stops it
/// and a handle whose result is the number of established sessions and the errors.
fn open_sessions_until_stopped(
    address: std::net::SocketAddr,
) -> (Arc<AtomicBool>, JoinHandle<(u32, Vec<SessionError>)>) {
    let stop = Arc::new(AtomicBool::new(false));
    let stop_requested = stop.clone();
    let clients = std::thread::spawn(move || {
        let (mut up, mut failed) = (0, Vec::new());
        while !stop_requested.load(Ordering::Relaxed) {
            match Client::open(address, "low") {
                Ok(_) => up += 1,
                Err(why) => failed.push(why),
            }
        }
        (up, failed)
    });
    (stop, clients)
}

/// Performs consecutive hot restarts under load, one of them to a broken build: no connection is
/// refused, reset or left unread, and a session that is open throughout is not disturbed, even in the
/// middle of a line.
#[test]
fn hot_restarts_under_load_lose_no_connection() {
    let (mut config, mut old) = RelayConfig::start_ready("upgrades");
    let load: Vec<_> = (0..3).map(|_| open_sessions_until_stopped(config.listen_address)).collect();
    let mut open = Client::open(config.listen_address, "low").expect("open a session");
    for round in 0..4 {
        if round == 1 {
            // A build that fails at its start, here because its `seed` is null, does not affect the running
            // process.
            let good = config.json["seed"].take();
            let mut broken = config.start();
            common::wait_until("the broken build exits", || broken.has_exited());
            config.json["seed"] = good;
            assert!(old.is_ready() && open.echoes(), "a broken build must not affect the running process");
        }
        open.send_partial("half a l");
        let new = config.start();
        new.wait_until_ready();
        open.send_line("ine");
        assert_eq!(open.receive(), Ok("half a line".to_string()));
        assert_eq!(old.request("GET", "/v1/readyz").0, 503, "round {round}");
        old.signal("TERM");
        common::wait_until("the old process exits", || old.has_exited());
        assert!(open.echoes(), "round {round}: the open session must continue in the new process");
        let in_progress = new.metric("in_progress");
        assert!(in_progress.is_some_and(|n| n >= 1), "round {round}: sessions in progress: {in_progress:?}");
        old = new;
    }
    let mut established = 0;
    for (stop, clients) in load {
        stop.store(true, Ordering::Relaxed);
        let (up, failed) = clients.join().expect("join the clients' thread");
        assert_eq!(failed, Vec::<SessionError>::new());
        established += up;
    }
    assert!(established > 100, "only {established} sessions were established");
    assert!(!old.has_exited(), "the newest process exited");
}

#[test]
fn killed_new_process_returns_socket_and_third_is_rejected() {
    let (mut config, mut old) = RelayConfig::start_ready("killed-new-process");
    let mut new = config.start();
    new.wait_until_ready();
    // The old process still runs, so a third process is rejected and exits.
    let mut third = config.start();
    common::wait_until("the third process exits", || third.has_exited());
    assert!(new.is_ready(), "the rejected third process must not affect the new one");
    new.child.kill().expect("kill the relay process");
    common::wait_until("the old process serves again", || old.is_ready());
    assert!(Client::open(config.listen_address, "low").expect("open a session").echoes());
    // The old process can still be replaced.
    let newest = config.start();
    newest.wait_until_ready();
    assert_eq!(old.request("GET", "/v1/readyz").0, 503);
    assert!(!old.has_exited(), "the replaced process must run until it is stopped");
}

/// A socket file left behind by a crashed process does not prevent a start.
#[test]
fn socket_file_of_crashed_process_is_replaced() {
    let (mut config, mut old) = RelayConfig::start_ready("stale");
    old.child.kill().expect("kill the relay process");
    old.child.wait().expect("wait for the relay process");
    assert!(std::fs::read_dir(&config.directory)
        .expect("list the relay's directory")
        .flatten()
        .any(|entry| { entry.file_name().to_string_lossy().ends_with(".sock") }));
    let new = config.start();
    new.wait_until_ready();
    assert!(Client::open(config.listen_address, "low").expect("open a session").echoes());
}

/// A reload changes settings while sessions are open; a file with an error is rejected completely.
#[test]
fn reload_applies_settings_completely_or_not_at_all() {
    let (config, relay) = RelayConfig::start_ready("retune");
    let mut old = Client::open(config.listen_address, "low").expect("open a session");
    let mut text = config.json.clone();
    text["settings"]["Listeners"] = serde_json::json!([
        common::listener_settings("once", 5.0, "retryable"),
        common::listener_settings("new", 1.0, "fragile")
    ]);
    let valid = text.to_string();
    let (mut negative_timeout, mut zero_dials, mut missing_rules) =
        (text.clone(), text.clone(), text.clone());
    negative_timeout["settings"]["Listeners"][0]["DialTimeout"] = serde_json::json!(-5);
    zero_dials["settings"]["Ceilings"]["MostDials"] = serde_json::json!(0);
    missing_rules["settings"].as_object_mut().expect("settings is an object").remove("Rules");
    // A new discovery address in a file with an error is not applied either.
    missing_rules["discovery"] = serde_json::json!("127.0.0.1:1");
    let broken = [
        String::new(),
        valid[..valid.len() / 2].to_string(),
        negative_timeout.to_string(),
        zero_dials.to_string(),
        missing_rules.to_string(),
    ];
    for (i, text) in broken.iter().enumerate() {
        std::fs::write(&relay.config_path, text).expect("write the configuration file");
        relay.signal("HUP");
        common::wait_until("the file is counted as a load error", || {
            relay.metric("load_errors") == Some(i as u64 + 1)
        });
        let attempt = Client::open(config.listen_address, "new");
        let attempt = attempt.err();
        assert!(
            matches!(&attempt, Some(SessionError::Unexpected(reply)) if reply == "ERR"),
            "a rejected file's new listener must get ERR, got {attempt:?}: {text}"
        );
        assert!(Client::open(config.listen_address, "low").expect("open a session").echoes());
    }
    std::fs::write(&relay.config_path, &valid).expect("write the configuration file");
    relay.signal("HUP");
    common::wait_until("the valid file is counted as a load", || relay.metric("loads") == Some(1));
    assert!(Client::open(config.listen_address, "new").expect("open a session").echoes());
    let attempt = Client::open(config.listen_address, "low");
    let attempt = attempt.err();
    assert!(
        matches!(&attempt, Some(SessionError::Unexpected(reply)) if reply == "ERR"),
        "a session of the removed listener must get ERR, got {attempt:?}"
    );
    assert!(old.echoes(), "the session opened before the reloads must still echo");
    assert_eq!(relay.metric("passed.new"), Some(1));
    assert_eq!(relay.metric("passed.low"), Some(6));
}

/// A client that sends its first line slowly is served although many other clients send nothing or stop
/// halfway through a line. Each of the others gets a final answer, or its connection is closed.
#[test]
fn slow_first_line_is_served_beside_silent_clients() {
    let (config, _relay) = RelayConfig::start_ready("slow-lines");
    let started_at = Instant::now();
    let mut silent = Client::connect(config.listen_address).expect("connect to the relay");
    let mut partial = Client::connect(config.listen_address).expect("connect to the relay");
    partial.send_partial("OPEN 00");
    let line = "OPEN 00000000000000aa 00000000000000ab c=low,d=1900\r\n";
    let mut slow = Client::connect(config.listen_address).expect("connect to the relay");
    let mut idle_clients = Vec::new();
    for part in line.as_bytes().chunks(line.len().div_ceil(11)) {
        slow.send_partial(std::str::from_utf8(part).expect("the line is ASCII"));
        // These are more connections than the limit allows.
        idle_clients.extend((0..20).filter_map(|_| Client::connect(config.listen_address).ok()));
        std::thread::sleep(Duration::from_millis(200));
    }
    assert!(started_at.elapsed() > Duration::from_millis(2_000), "sent in {:?}", started_at.elapsed());
    assert_eq!(slow.receive(), Ok("UP r1".to_string()));
    assert!(slow.echoes(), "the slow client's session must echo");
    for other in [&mut silent, &mut partial] {
        let received = other.receive();
        assert!(
            matches!(
                received.as_deref(),
                Ok("ERR" | "BUSY") | Err(SessionError::Closed | SessionError::Reset)
            ),
            "the silent client and the one with half a line must be rejected or closed, got {received:?}"
        );
    }
    assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
}
