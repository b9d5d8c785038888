//! Races that are forced on a relay process: it is stopped by SIGSTOP while bytes, closed connections and
//! signals queue up, and resumes with all of them ready at once. And signals in its first milliseconds, which
//! are prolonged by a named pipe in place of its configuration.
mod common;

use common::{bind_listener, wait_until, Client, CountingBackend, RelayConfig, RelayProcess, SessionError};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

/// A supervisor kills the process no sooner than this long after SIGTERM plus the longest dial timeout (at
/// most 3 s).
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Starts a relay with one backend that the test plays; `dial_timeout` is in ms.
fn start_with_backend(name: &str, backend: &TcpListener, dial_timeout: u64) -> (RelayConfig, RelayProcess) {
    let mut config = RelayConfig::new(name);
    let address = backend.local_addr().expect("its address").to_string();
    config.json["known"]["instances"] =
        json!([{"instanceId": "s-0", "hostPort": address, "lifecycle": "up"}]);
    for listener in config.json["settings"]["Listeners"].as_array_mut().expect("listeners") {
        listener["DialTimeout"] = json!(dial_timeout);
    }
    let relay = config.start();
    relay.wait_until_ready();
    (config, relay)
}

/// Stops the process with SIGSTOP, and waits until it is stopped.
fn pause(relay: &RelayProcess) {
    relay.signal("STOP");
    let stat = format!("/proc/{}/stat", relay.child.id());
    wait_until("it stands still", || {
        let stat = std::fs::read_to_string(&stat).expect("it is there");
        stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
    });
}

/// The first line of a session with a deadline in ms.
fn format_open_line(id: u64, listener: &str, deadline_ms: u64) -> String {
    format!("OPEN {id:016x} {id:016x} c={listener},d={deadline_ms}")
}

/// Accepts a dial at the backend and reads its first line.
fn accept_dial(backend: &TcpListener) -> (BufReader<TcpStream>, String) {
    let (stream, _) = backend.accept().expect("a dial");
    stream.set_read_timeout(Some(common::WAIT_TIMEOUT)).expect("a timeout");
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    lines.read_line(&mut line).expect("a line");
    (lines, line)
}

/// The client's deadline passes while the relay is stopped with its backend's answer unread: the client still
/// gets one final answer, and the backend's session is closed.
#[test]
fn a_client_gets_a_final_answer_after_a_stall() {
    let backend = bind_listener();
    let (config, relay) = start_with_backend("standstill", &backend, 300);
    let mut client = Client::connect(config.listen_address).expect("it listens");
    client.send_line(&format_open_line(1, "once", 300));
    let (mut server, line) = accept_dial(&backend);
    assert!(line.starts_with("OPEN "));
    pause(&relay);
    server.get_mut().write_all(b"UP r1\r\n").expect("it goes");
    std::thread::sleep(Duration::from_millis(330));
    relay.signal("CONT");
    assert_eq!(client.receive(), Ok("FAIL".to_string()));
    assert_eq!(client.receive(), Err(SessionError::Closed));
    let mut rest = Vec::new();
    _ = server.read_to_end(&mut rest);
    assert!(rest.is_empty());
}

/// Sessions whose clients have closed their sending direction while the relay was stopped are not forwarded;
/// one of a client that waits is.
#[test]
fn a_client_that_left_during_a_stall_is_not_forwarded() {
    let backend = CountingBackend::start();
    let mut config = RelayConfig::new("left");
    config.json["known"]["instances"] =
        json!([{"instanceId": "s-0", "hostPort": backend.address.to_string(), "lifecycle": "up"}]);
    let relay = config.start();
    relay.wait_until_ready();
    pause(&relay);
    let left: Vec<Client> = (0..20)
        .map(|i| {
            let mut client = Client::connect(config.listen_address).expect("it listens");
            client.send_line(&format_open_line(100 + i, if i % 2 == 0 { "low" } else { "once" }, 1900));
            client.shutdown_write();
            client
        })
        .collect();
    relay.signal("CONT");
    // A client that closed only its sending direction still gets its final answer.
    for mut client in left {
        assert!(matches!(client.receive().as_deref(), Ok("BUSY" | "FAIL")));
    }
    assert!(Client::open(config.listen_address, "low").is_ok());
    assert_eq!(backend.opened(), 1);
}

/// Stops a relay by signals that it receives together with a new session and half a first line, while other
/// sessions are open or waiting; all of them must end in time.
fn stop_with_signals(name: &str, dial_timeout: u64, signals: &[&str]) {
    let backend = CountingBackend::start();
    let silent = bind_listener();
    let mut config = RelayConfig::new(name);
    let endpoint =
        |id: &str, at: SocketAddr| json!({"instanceId": id, "hostPort": at.to_string(), "lifecycle": "up"});
    let quiet = silent.local_addr().expect("its address");
    config.json["known"]["instances"] = json!([endpoint("s-0", backend.address), endpoint("s-1", quiet)]);
    for listener in config.json["settings"]["Listeners"].as_array_mut().expect("listeners") {
        listener["DialTimeout"] = json!(dial_timeout);
    }
    let mut relay = config.start();
    relay.wait_until_ready();
    let mut open = Vec::new();
    let mut waiting = Vec::new();
    // Some are established, some wait for a backend that never answers.
    wait_until("some stand and some wait", || {
        let mut client = Client::connect(config.listen_address).expect("it listens");
        client.send_line(&format_open_line(1000 + (open.len() + waiting.len()) as u64, "once", dial_timeout));
        match client.receive_now().as_deref() {
            Some("UP r1") => open.push(client),
            None => waiting.push(client),
            Some(other) => panic!("{other}"),
        }
        open.len() >= 3 && waiting.len() >= 2
    });
    pause(&relay);
    let mut late = Client::connect(config.listen_address).expect("it listens");
    late.send_line(&format_open_line(2000, "low", dial_timeout));
    let mut half = Client::connect(config.listen_address).expect("it listens");
    half.send_partial("OPEN 00000000000007d1 ");
    signals.iter().for_each(|signal| relay.signal(signal));
    relay.signal("CONT");
    let signalled_at = Instant::now();
    let end = signalled_at + Duration::from_millis(dial_timeout.min(3000)) + KILL_MARGIN;
    for client in &mut open {
        assert_eq!(client.receive(), Ok("MOVE".to_string()));
        assert_eq!(client.receive(), Err(SessionError::Closed));
        client.shutdown_write();
    }
    for client in &mut waiting {
        assert_eq!(client.receive(), Ok("FAIL".to_string()));
        client.shutdown_write();
    }
    match late.receive().as_deref() {
        Ok("UP r1") => assert_eq!(late.receive(), Ok("MOVE".to_string())),
        Ok("FAIL" | "BUSY") => {}
        other => panic!("{other:?}"),
    }
    late.shutdown_write();
    // Any final answer: it was not served, and its connection was not cut off.
    assert!(matches!(half.receive(), Ok(ref line) if line == "BUSY" || line == "ERR"), "who was half way");
    wait_until("it ends", || relay.has_exited());
    assert!(Instant::now() < end, "it would have been killed: {:?} too late", Instant::now() - end);
    assert!(relay.child.wait().expect("a child").success());
}

#[test]
fn a_stop_ends_in_time_with_long_dial_timeouts() {
    stop_with_signals("long", 4800, &["TERM"]);
}

#[test]
fn a_stop_ends_in_time_with_short_dial_timeouts() {
    stop_with_signals("short", 150, &["TERM"]);
}

#[test]
fn a_stop_with_a_reload_and_another_stop_ends_in_time() {
    stop_with_signals("reloaded", 900, &["HUP", "TERM", "TERM", "INT"]);
}

/// Starts a relay that gets a signal before it has installed its signal handlers: a named pipe in place of
/// the configuration blocks it until then.
fn start_from_pipe(name: &str, signal: &str) -> (RelayConfig, RelayProcess) {
    let mut config = RelayConfig::new(name);
    let relay = config.start();
    relay.wait_until_ready();
    drop(relay);
    let pipe = config.directory.join("pipe");
    assert!(common::run_to_end(Command::new("mkfifo").arg(&pipe)).status.success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
    command.arg("serve").arg("--config").arg(&pipe).env("TMPDIR", &config.directory);
    command.stderr(std::process::Stdio::null());
    let child = common::spawn_process(&mut command);
    let operator_address =
        config.json["operator"].as_str().and_then(|at| at.parse().ok()).expect("an address");
    let relay = RelayProcess { child, config_path: pipe.clone(), operator_address };
    // Opening returns once the relay opens the pipe: it is started by then, and handles no signals yet.
    let mut write = std::fs::OpenOptions::new().write(true).open(&pipe).expect("a pipe");
    relay.signal(signal);
    // A reload reads an ordinary file.
    let text = config.json.to_string();
    let file = config.directory.join("text");
    std::fs::write(&file, &text).expect("a file");
    std::fs::rename(&file, &pipe).expect("in its place");
    write.write_all(text.as_bytes()).expect("it is read");
    (config, relay)
}

#[test]
fn a_reload_in_the_first_milliseconds_ends_nothing() {
    let (config, relay) = start_from_pipe("early-reload", "HUP");
    relay.wait_until_ready();
    wait_until("the reload is seen", || relay.metric("loads").is_some_and(|reloads| reloads > 0));
    assert!(Client::open(config.listen_address, "low").is_ok());
}

#[test]
fn a_stop_in_the_first_milliseconds_is_graceful() {
    let (_config, mut relay) = start_from_pipe("early-stop", "TERM");
    wait_until("it ends", || relay.has_exited());
    assert!(relay.child.wait().expect("a child").success());
}
