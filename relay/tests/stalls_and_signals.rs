//! Race conditions that are forced in a relay process. The relay is stopped by SIGSTOP while bytes, closed
//! connections and signals queue up, and resumes with all of them ready at the same time. Further tests send
//! signals right after the relay starts; a named pipe in place of its configuration prolongs the start.
mod common;

use common::{
    bind_listening_socket, wait_until, Client, CountingBackend, RelayConfig, RelayProcess, SessionError,
};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

/// Margin of a supervisor: after SIGTERM it waits at least for the longest dial timeout, but at most 3 s of
/// it, and then for this time before it kills the process.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Starts a relay whose only backend is played by the test; `dial_timeout` is in ms.
fn start_with_backend(name: &str, backend: &TcpListener, dial_timeout: u64) -> (RelayConfig, RelayProcess) {
    let mut config = RelayConfig::new(name);
    let address = backend.local_addr().expect("read the local address").to_string();
    config.json["known"]["instances"] =
        json!([{"instanceId": "s-0", "hostPort": address, "lifecycle": "up"}]);
    for listener in config.json["settings"]["Listeners"].as_array_mut().expect("Listeners is an array") {
        listener["DialTimeout"] = json!(dial_timeout);
    }
    let relay = config.start();
    relay.wait_until_ready();
    (config, relay)
}

/// Stops the process with SIGSTOP and waits until it is stopped.
fn pause(relay: &RelayProcess) {
    relay.signal("STOP");
    let stat = format!("/proc/{}/stat", relay.child.id());
    wait_until("the process is stopped", || {
        let stat = std::fs::read_to_string(&stat).expect("read the process state");
        stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
    });
}

/// Returns the first line of a session with a deadline in ms.
fn format_open_line(id: u64, listener: &str, deadline_ms: u64) -> String {
    format!("OPEN {id:016x} {id:016x} c={listener},d={deadline_ms}")
}

/// Accepts a dial at the backend and reads its first line.
fn accept_dial(backend: &TcpListener) -> (BufReader<TcpStream>, String) {
    let (stream, _) = backend.accept().expect("accept a dial");
    stream.set_read_timeout(Some(common::WAIT_TIMEOUT)).expect("set the read timeout");
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    lines.read_line(&mut line).expect("read the first line");
    (lines, line)
}

/// The client's deadline passes while the relay is stopped and has not read the backend's answer. The client
/// still gets one final answer, and the session at the backend is closed.
#[test]
fn client_gets_one_final_answer_after_stall() {
    let backend = bind_listening_socket();
    let (config, relay) = start_with_backend("stall", &backend, 300);
    let mut client = Client::connect(config.listen_address).expect("connect to the relay");
    client.send_line(&format_open_line(1, "once", 300));
    let (mut server, line) = accept_dial(&backend);
    assert!(line.starts_with("OPEN "), "the backend received {line:?}");
    pause(&relay);
    server.get_mut().write_all(b"UP r1\r\n").expect("send the backend's answer");
    std::thread::sleep(Duration::from_millis(330));
    relay.signal("CONT");
    assert_eq!(client.receive(), Ok("FAIL".to_string()));
    assert_eq!(client.receive(), Err(SessionError::Closed));
    let mut rest = Vec::new();
    _ = server.read_to_end(&mut rest);
    assert!(rest.is_empty(), "bytes sent to the backend after its answer: {rest:?}");
}

/// Sessions whose clients closed their sending direction while the relay was stopped are not forwarded. The
/// session of a client that waits is forwarded.
#[test]
fn session_half_closed_during_stall_is_not_forwarded() {
    let backend = CountingBackend::start();
    let mut config = RelayConfig::new("half-closed");
    config.json["known"]["instances"] =
        json!([{"instanceId": "s-0", "hostPort": backend.address.to_string(), "lifecycle": "up"}]);
    let relay = config.start();
    relay.wait_until_ready();
    pause(&relay);
    let half_closed: Vec<Client> = (0..20)
        .map(|i| {
            let mut client = Client::connect(config.listen_address).expect("connect to the relay");
            client.send_line(&format_open_line(100 + i, if i % 2 == 0 { "low" } else { "once" }, 1900));
            client.shutdown_write();
            client
        })
        .collect();
    relay.signal("CONT");
    // A client that closed only its sending direction still gets its final answer.
    for mut client in half_closed {
        let received = client.receive();
        assert!(
            matches!(received.as_deref(), Ok("BUSY" | "FAIL")),
            "a half-closed client must get a final answer, got {received:?}"
        );
    }
    assert!(Client::open(config.listen_address, "low").is_ok(), "the relay must serve after the stall");
    assert_eq!(backend.opened(), 1, "only the session of the client that waits may be forwarded");
}

/// Stops a relay by signals that it receives together with a new session and half a first line while other
/// sessions are open or waiting. All sessions, and the relay itself, must end in time; `dial_timeout` is in
/// ms.
fn stop_with_signals(name: &str, dial_timeout: u64, signals: &[&str]) {
    let backend = CountingBackend::start();
    let silent = bind_listening_socket();
    let mut config = RelayConfig::new(name);
    let endpoint =
        |id: &str, at: SocketAddr| json!({"instanceId": id, "hostPort": at.to_string(), "lifecycle": "up"});
    let silent_address = silent.local_addr().expect("read the local address");
    config.json["known"]["instances"] =
        json!([endpoint("s-0", backend.address), endpoint("s-1", silent_address)]);
    for listener in config.json["settings"]["Listeners"].as_array_mut().expect("Listeners is an array") {
        listener["DialTimeout"] = json!(dial_timeout);
    }
    let mut relay = config.start();
    relay.wait_until_ready();
    let mut open = Vec::new();
    let mut waiting = Vec::new();
    // Some sessions are established, and some wait for a backend that never answers.
    wait_until("some sessions are open and some wait", || {
        let mut client = Client::connect(config.listen_address).expect("connect to the relay");
        client.send_line(&format_open_line(1000 + (open.len() + waiting.len()) as u64, "once", dial_timeout));
        match client.receive_now().as_deref() {
            Some("UP r1") => open.push(client),
            None => waiting.push(client),
            Some(other) => panic!("unexpected reply: {other}"),
        }
        open.len() >= 3 && waiting.len() >= 2
    });
    pause(&relay);
    let mut late = Client::connect(config.listen_address).expect("connect to the relay");
    late.send_line(&format_open_line(2000, "low", dial_timeout));
    let mut partial = Client::connect(config.listen_address).expect("connect to the relay");
    partial.send_partial("OPEN 00000000000007d1 ");
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
        other => panic!("unexpected reply: {other:?}"),
    }
    late.shutdown_write();
    // Either final answer is valid: the session was not served, and its connection was not cut off.
    let received = partial.receive();
    assert!(
        matches!(received, Ok(ref line) if line == "BUSY" || line == "ERR"),
        "the client with half a first line must get a final answer, got {received:?}"
    );
    wait_until("the relay exits", || relay.has_exited());
    assert!(
        Instant::now() < end,
        "the relay exited {:?} after a supervisor would have killed it",
        Instant::now() - end
    );
    assert!(relay.child.wait().expect("wait for the relay process").success());
}

#[test]
fn stop_ends_in_time_with_long_dial_timeouts() {
    stop_with_signals("long", 4800, &["TERM"]);
}

#[test]
fn stop_ends_in_time_with_short_dial_timeouts() {
    stop_with_signals("short", 150, &["TERM"]);
}

#[test]
fn stop_with_reload_and_second_stop_ends_in_time() {
    stop_with_signals("reloaded", 900, &["HUP", "TERM", "TERM", "INT"]);
}

/// Starts a relay that gets a signal before it has installed its signal handlers. A named pipe in place of
/// the configuration blocks the relay until the signal is sent.
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
        config.json["operator"].as_str().and_then(|at| at.parse().ok()).expect("the operator address is set");
    let relay = RelayProcess { child, config_path: pipe.clone(), operator_address };
    // Opening returns when the relay opens the pipe: the relay has started by then and handles no
    // signals yet.
    let mut write = std::fs::OpenOptions::new().write(true).open(&pipe).expect("open the pipe");
    relay.signal(signal);
    // A reload must read a regular file.
    let text = config.json.to_string();
    let file = config.directory.join("text");
    std::fs::write(&file, &text).expect("write the configuration file");
    std::fs::rename(&file, &pipe).expect("replace the pipe by the file");
    write.write_all(text.as_bytes()).expect("write the configuration to the pipe");
    (config, relay)
}

#[test]
fn reload_in_first_milliseconds_does_not_end_relay() {
    let (config, relay) = start_from_pipe("early-reload", "HUP");
    relay.wait_until_ready();
    wait_until("the reload is counted", || relay.metric("loads").is_some_and(|reloads| reloads > 0));
    assert!(Client::open(config.listen_address, "low").is_ok());
}

#[test]
fn stop_in_first_milliseconds_is_graceful() {
    let (_config, mut relay) = start_from_pipe("early-stop", "TERM");
    wait_until("the relay exits", || relay.has_exited());
    assert!(relay.child.wait().expect("wait for the relay process").success());
}
