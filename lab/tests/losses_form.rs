//! Tests that `hallrelay-lab losses` reads logs in the format in which the relay's types and the relay
//! program write them, so that a change on either side is detected.
use hallrelay_balancer::types::{DialEnd, LoadReport, Phase};
use hallrelay_config::list::{Instance, List};
use hallrelay_lab::losses::parse::{line, Entry, Line, Opening};
use hallrelay_relay::lines::SessionRequest;
use hallrelay_relay::reducer::{Effect, Event};
use std::fmt::Debug;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Parses the log line for an event or an effect.
fn parsed(kind: &str, what: &dyn Debug) -> Entry {
    match line(&format!("Mar 04 12:00:00.001 TRCE {kind}, what: {what:?}")) {
        Line::Logged { entry, .. } => entry,
        other => panic!("{what:?}: {other:?}"),
    }
}

fn event(event: Event) -> Entry {
    parsed("event", &event)
}

fn effect(effect: Effect) -> Entry {
    parsed("effect", &effect)
}

fn open(at: Option<&str>) -> SessionRequest {
    SessionRequest {
        id: 11,
        listener: "a \"b } key: 9".to_string(),
        key: 22,
        group: 33,
        returned: true,
        wait_ms: 44,
        wait_at: 5..7,
        at: at.map(str::to_string),
    }
}

#[test]
fn openings_are_parsed_from_logged_events() {
    for (at, pre_existing) in [(None, false), (Some("oak"), true)] {
        let opening = Opening { id: 11, key: 22, group: 33, returned: true, pre_existing };
        let entry = event(Event::SessionRequested { session_id: 7, open: open(at), time_remaining: 5 });
        assert_eq!(entry, Entry::SessionRequested { session_id: 7, opening });
    }
    let mut adopted = Event::SessionAdopted { session_id: 8, state: Default::default() };
    if let Event::SessionAdopted { state: session, .. } = &mut adopted {
        (session.id, session.key, session.group, session.returned) = (11, 22, 33, true);
        session.server = "oak".to_string();
    }
    let opening = Opening { id: 11, key: 22, group: 33, returned: true, pre_existing: false };
    assert_eq!(event(adopted), Entry::SessionAdopted { session_id: 8, opening, backend: "oak".to_string() });
}

#[test]
fn session_events_are_parsed_from_logged_events() {
    use DialEnd::{Cancelled, Error, Full, NotSent, Ok, Reset, Timeout, Unconnected};
    for end in [Ok, Error, Full, Timeout, Unconnected, Reset, Cancelled, NotSent] {
        let report = Some(LoadReport { load: Some(0.5), queue_delay: None, sessions: Some(3.0) });
        let entry = event(Event::DialEnded { session_id: 1, dial: 2, end, report });
        assert_eq!(entry, Entry::DialEnded { session_id: 1, dial: 2, end });
        assert_eq!(
            event(Event::SessionEnded { session_id: 1, end, report: None }),
            Entry::SessionEnded { session_id: 1, end }
        );
    }
    assert_eq!(
        event(Event::ClientConnected { connection_id: 1 }),
        Entry::ClientConnected { connection_id: 1 }
    );
    assert_eq!(event(Event::ClientHalfClosed { session_id: 1 }), Entry::ClientHalfClosed { session_id: 1 });
    assert_eq!(
        event(Event::ClientDisconnected { session_id: 1 }),
        Entry::ClientDisconnected { session_id: 1 }
    );
    assert_eq!(event(Event::SessionHandedOver { session_id: 1 }), Entry::SessionHandedOver { session_id: 1 });
    for other in [
        Event::FirstLineForwarded,
        Event::StopRequested,
        Event::ConfigurationRejected,
        Event::MessageLatency { session_id: 1, time: 2 },
    ] {
        assert_eq!(event(other), Entry::OtherEvent);
    }
}

#[test]
fn effects_are_parsed_from_logged_effects() {
    let addr = "127.0.1.1:8000".parse().expect("parse the address");
    let dial = Effect::Dial { session_id: 1, dial: 2, server: Some(9), addr, timeout: 3, start_within: 4 };
    assert_eq!(effect(dial), Entry::Dial { session_id: 1, addr });
    assert_eq!(effect(Effect::StartProxying { session_id: 1 }), Entry::StartProxying { session_id: 1 });
    assert_eq!(effect(Effect::Reject { session_id: 1, retry_after: 2 }), Entry::Reject { session_id: 1 });
    assert_eq!(effect(Effect::TearDown { session_id: 1 }), Entry::TearDown { session_id: 1 });
    assert_eq!(
        effect(Effect::ReportProtocolError { connection_id: 1 }),
        Entry::ReportProtocolError { session_id: 1 }
    );
    assert_eq!(effect(Effect::CloseClient { session_id: 1 }), Entry::CloseClient { session_id: 1 });
    assert_eq!(effect(Effect::Migrate { session_id: 1 }), Entry::Migrate { session_id: 1 });
    assert_eq!(effect(Effect::HealthCheck { server: 9, addr }), Entry::HealthCheck { addr });
    assert_eq!(effect(Effect::Exit), Entry::Exit);
    let changes =
        [("serving", "stopping", true), ("draining", "serving", false), ("serving", "draining", true)];
    for (from, to, migrates_sessions) in changes {
        let message = format!("from {from} to {to}");
        assert_eq!(effect(Effect::Log { message }), Entry::Lifecycle { migrates_sessions });
    }
    assert_eq!(effect(Effect::Log { message: "something else".to_string() }), Entry::OtherEvent);
}

#[test]
fn health_checks_and_lists_are_parsed_from_logged_events() {
    let report = LoadReport { load: Some(0.005), queue_delay: Some(1.0), sessions: None };
    let check_ended = Event::HealthCheckEnded { server: 1, end: DialEnd::Ok, report: Some(report) };
    assert_eq!(event(check_ended), Entry::HealthCheckEnded { end: DialEnd::Ok, report });
    let check_ended = Event::HealthCheckEnded { server: 1, end: DialEnd::Timeout, report: None };
    assert_eq!(
        event(check_ended),
        Entry::HealthCheckEnded { end: DialEnd::Timeout, report: LoadReport::default() }
    );
    let instance = |id: &str, phase, started_at| Instance {
        id: id.to_string(),
        addr: "127.0.1.1:8000".parse().expect("parse the address"),
        zone: "north, phase: Gone".to_string(),
        cell: 3,
        phase,
        started_at,
    };
    let instances = vec![
        instance("oak", Phase::Ready, 0),
        instance("elm", Phase::Draining, 17),
        instance("ash", Phase::Gone, 18),
    ];
    for instances in [instances, Vec::new()] {
        let list = List { generation: 5, is_complete: true, instances, unreadable: Vec::new() };
        assert_eq!(
            event(Event::EndpointListReceived { watch: 2, list: list.clone() }),
            Entry::EndpointList(list)
        );
    }
}

#[test]
fn line_truncated_anywhere_is_not_an_entry() {
    let what = Event::SessionRequested { session_id: 7, open: open(Some("oak")), time_remaining: 5 };
    let text = format!("Mar 04 12:00:00.001 TRCE event, what: {what:?}");
    let from = text.find("what: ").expect("find the event") + "what: ".len();
    for end in from..text.len() {
        assert_eq!(line(&text[..end]), Line::Cut, "{}", &text[..end]);
    }
}

/// Starts a backend that accepts one session and completes it. Returns its address.
fn backend() -> (String, std::thread::JoinHandle<()>) {
    let listening_socket = TcpListener::bind("127.0.0.1:0").expect("bind the backend's port");
    let addr = listening_socket.local_addr().expect("read the backend's address").to_string();
    let serve = move || {
        // The configuration disables probes, so that the first connection is that of the session.
        let (mut stream, _) = listening_socket.accept().expect("accept the relay's connection");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set the read timeout");
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("read the first line");
        assert!(line.starts_with("OPEN "), "first line of the session: {line}");
        stream.write_all(b"UP\r\n").expect("send UP");
        std::thread::sleep(Duration::from_millis(50));
        stream.write_all(b"BYE\r\n").expect("send BYE");
    };
    (addr, std::thread::spawn(serve))
}

/// The configuration of a relay that knows one backend.
fn configuration(backend: &str) -> String {
    let example = include_str!("../../deploy/example/relay.json");
    let mut value: serde_json::Value = serde_json::from_str(example).expect("parse the example");
    value["known"]["instances"] = serde_json::json!([{"instanceId": "oak", "hostPort": backend,
        "zone": "here", "cell": 0, "lifecycle": "up", "startedAtMs": 0}]);
    value["settings"]["Ceilings"]["MayProbe"] = false.into();
    value.to_string()
}

/// Requests a session when the relay accepts connections. Returns everything that the relay sends.
fn request_session(addr: &str, line: &str) -> String {
    let deadline = Instant::now() + Duration::from_secs(10);
    let mut stream = loop {
        match TcpStream::connect(addr) {
            Ok(stream) => break stream,
            Err(e) => assert!(Instant::now() < deadline, "cannot connect to {addr} within 10 s: {e}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set the read timeout");
    stream.write_all(line.as_bytes()).expect("send the first line");
    let mut received = String::new();
    std::io::Read::read_to_string(&mut stream, &mut received).expect("read until the relay closes");
    received
}

/// A relay process. Dropping this value kills it, also when the test fails.
struct RelayProcess(std::process::Child);

impl RelayProcess {
    /// Requests the process to stop and waits for its end.
    fn stop(&mut self) {
        // SAFETY: this test has started the process and has not waited for it yet.
        unsafe { libc::kill(self.0.id() as i32, libc::SIGTERM) };
        self.0.wait().expect("wait for the relay's end");
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

#[test]
fn log_of_relay_process_is_fully_accounted_for() {
    let folder = std::env::temp_dir().join(format!("hallrelay-losses-form-{}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("create the test directory");
    let (backend, serving) = backend();
    std::fs::write(folder.join("relay.json"), configuration(&backend)).expect("write the configuration");
    let log = std::fs::File::create(folder.join("west.log")).expect("create the log");
    let free_port = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let addr = free_port.local_addr().expect("read the bound address").to_string();
    drop(free_port);
    let child = Command::new(env!("CARGO_BIN_EXE_hallrelay-lab"))
        .args(["relay", "serve", "-vv", "--config"])
        .arg(folder.join("relay.json"))
        .args(["--listen", &addr, "--discovery", "127.0.0.1:1"])
        .env("TMPDIR", &folder)
        .stdin(Stdio::null())
        .stderr(log)
        .spawn();
    let mut relay = RelayProcess(child.expect("start the relay"));
    let placed =
        request_session(&addr, "OPEN 000000000000000a 000000000000004d c=schedule-view,d=1800,g=7\r\n");
    let unknown = request_session(&addr, "OPEN 000000000000000b 000000000000004e c=no-such,d=1800\r\n");
    relay.stop();
    serving.join().expect("join the backend");
    let losses = hallrelay_lab::losses::read(&folder).expect("read the log");
    _ = std::fs::remove_dir_all(&folder);
    assert_eq!((placed.as_str(), unknown.as_str()), ("UP\r\nBYE\r\n", "ERR\r\n"));
    let sum = &losses.sum;
    assert_eq!((losses.read.processes, sum.attempts.opened), (1, 2), "{losses:?}");
    assert_eq!((sum.attempts.outcomes.placed, sum.attempts.outcomes.not_protocol), (1, 1), "{losses:?}");
    assert_eq!((sum.ends.complete, sum.sessions.established, sum.fleet.open), (1, 1, 0), "{losses:?}");
    assert_eq!((sum.fleet.ready, losses.unaccounted_total()), (1, 0), "{losses:?}");
    assert_eq!((losses.read.cut, losses.read.unknown), (0, 0), "lines cut and unknown: {:?}", losses.read);
}
