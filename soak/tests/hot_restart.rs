//! Hot restarts, starts and logging of a relay while system calls fail.
use hallrelay_soak::discovery::Discovery;
use hallrelay_soak::faults::SystemFault;
use hallrelay_soak::observations::Recorder;
use hallrelay_soak::process::RelayProcess;
use serde_json::{json, Value};
use std::io::Read;
use std::os::unix::fs::OpenOptionsExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hallrelay-soak");
/// Duration of a temporary fault.
const FAULT_DURATION: Duration = Duration::from_millis(300);
/// Time within which a process that cannot start has exited.
const START_TIMEOUT: Duration = Duration::from_secs(3);

fn prepare_relay(name: &str) -> (RelayProcess, std::path::PathBuf) {
    let folder = std::env::temp_dir().join(format!("hallrelay-soak-{}-{name}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("create the folder of the test");
    let recorder = Recorder::default();
    let discovery = Discovery::start(1, &recorder);
    let backend = hallrelay_soak::backend::Backend::start(0, recorder.clone());
    discovery.list_backend(0, backend.address, false, 0);
    let text = include_str!("../../deploy/example/relay.json");
    let mut config: Value = serde_json::from_str(text).expect("parse deploy/example/relay.json");
    config["known"] = discovery.complete_list();
    config["discovery"] = json!(discovery.addresses[0].to_string());
    let mut relay = RelayProcess::new(0, Path::new(PROGRAM), &folder, config, recorder);
    relay.config["operator"] = json!(hallrelay_soak::unused_address().to_string());
    (relay, folder)
}

fn start_relay(name: &str) -> (RelayProcess, std::path::PathBuf) {
    let (mut relay, folder) = prepare_relay(name);
    relay.start();
    assert!(relay.wait_until_ready(), "relay not ready; its log is {}", relay.log_path().display());
    (relay, folder)
}

/// Every write to this device fails with ENOSPC.
const FULL_DEVICE: &str = "/dev/full";

#[test]
fn relay_serves_when_log_device_is_full() {
    let (mut relay, folder) = prepare_relay("full-log");
    relay.log = Some(FULL_DEVICE.into());
    relay.start();
    assert!(relay.wait_until_ready(), "relay not ready with a full log device");
    for _ in 0..20 {
        assert!(
            relay.wait_until_ready() && relay.is_running(),
            "relay stopped serving with a full log device"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(relay);
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn hot_restart_succeeds_after_temporary_accept_failure() {
    let (mut relay, folder) = start_relay("restart-socket");
    relay.control.set(SystemFault::Accept, 1_000);
    // A connection to the hot restart socket arrives while `accept4` fails.
    let socket = folder.join("relay-0/hallrelay-relay-0.sock");
    let connection = UnixStream::connect(&socket).expect("connect to the hot restart socket");
    std::thread::sleep(FAULT_DURATION);
    relay.control.set(SystemFault::Accept, 0);
    std::thread::sleep(FAULT_DURATION);
    drop(connection);
    let predecessor = relay.start_successor();
    std::thread::sleep(START_TIMEOUT);
    let is_running = relay.is_running();
    let log = std::fs::read_to_string(relay.log_path()).unwrap_or_default();
    let last_lines: Vec<&str> = log.lines().rev().take(3).collect();
    predecessor.into_iter().for_each(|predecessor| predecessor.stop(START_TIMEOUT));
    assert!(is_running, "the new process did not start; last log lines: {last_lines:?}");
    assert!(relay.wait_until_ready(), "the new process does not serve");
    drop(relay);
    _ = std::fs::remove_dir_all(folder);
}

/// Opens a named pipe for reading without waiting for a writer.
fn open_reader(pipe: &Path) -> std::fs::File {
    let mut options = std::fs::OpenOptions::new();
    options.read(true).custom_flags(libc::O_NONBLOCK).open(pipe).expect("open the named pipe for reading")
}

#[test]
fn logging_resumes_when_log_is_writable_again() {
    let (mut relay, folder) = prepare_relay("pipe-log");
    let pipe = folder.join("pipe");
    let status = std::process::Command::new("mkfifo").arg(&pipe).status().expect("run mkfifo");
    assert!(status.success(), "mkfifo failed: {status}");
    let first = open_reader(&pipe);
    relay.log = Some(pipe.clone());
    relay.start();
    assert!(relay.wait_until_ready(), "relay not ready while its log is readable");
    // Without a reader, writes to the log fail with EPIPE.
    drop(first);
    std::thread::sleep(FAULT_DURATION);
    assert!(
        relay.wait_until_ready() && relay.is_running(),
        "relay stopped serving while its log could not be written"
    );
    std::thread::sleep(FAULT_DURATION);
    let mut second = open_reader(&pipe);
    assert!(relay.wait_until_ready(), "relay stopped serving after the pipe had a reader again");
    std::thread::sleep(FAULT_DURATION);
    let mut bytes = [0; 4096];
    let count = second.read(&mut bytes).unwrap_or(0);
    assert!(count > 0, "no log line was written after the pipe had a reader again");
    drop(relay);
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn relay_starts_after_temporary_socket_failure() {
    let (mut relay, folder) = prepare_relay("no-sockets");
    relay.control.set(SystemFault::Socket, 1_000);
    relay.start();
    std::thread::sleep(FAULT_DURATION);
    relay.control.set(SystemFault::Socket, 0);
    assert!(relay.wait_until_ready(), "relay not ready after `socket` had stopped failing");
    drop(relay);
    _ = std::fs::remove_dir_all(folder);
}
