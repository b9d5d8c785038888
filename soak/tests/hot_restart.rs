//! Hot restarts, starts and logs during faults of the machine.
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
const MOMENT: Duration = Duration::from_millis(300);
/// By then a process that cannot start has ended.
const START_TIMEOUT: Duration = Duration::from_secs(3);

fn relay(name: &str) -> (RelayProcess, std::path::PathBuf) {
    let folder = std::env::temp_dir().join(format!("hallrelay-soak-{}-{name}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let recorder = Recorder::default();
    let discovery = Discovery::start(1, &recorder);
    let backend = hallrelay_soak::backend::Backend::start(0, recorder.clone());
    discovery.list_backend(0, backend.address, false, 0);
    let text = include_str!("../../deploy/example/relay.json");
    let mut config: Value = serde_json::from_str(text).expect("the example is JSON");
    config["known"] = discovery.complete_list();
    config["discovery"] = json!(discovery.addresses[0].to_string());
    let mut relay = RelayProcess::new(0, Path::new(PROGRAM), &folder, config, recorder);
    relay.config["operator"] = json!(hallrelay_soak::unused_address().to_string());
    (relay, folder)
}

fn started(name: &str) -> (RelayProcess, std::path::PathBuf) {
    let (mut relay, folder) = relay(name);
    relay.start();
    assert!(relay.wait_until_ready(), "{}", relay.log_path().display());
    (relay, folder)
}

/// Every write to this device fails with ENOSPC.
const FULL_DEVICE: &str = "/dev/full";

#[test]
fn a_log_that_can_not_be_written_ends_nothing() {
    let (mut relay, folder) = relay("full-log");
    relay.log = Some(FULL_DEVICE.into());
    relay.start();
    assert!(relay.wait_until_ready(), "it is ready though its log is full");
    for _ in 0..20 {
        assert!(relay.wait_until_ready() && relay.is_running(), "it serves though its log is full");
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(relay);
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_process_is_replaced_after_accepts_failed_for_a_moment() {
    let (mut relay, folder) = started("restart-socket");
    relay.control.set(SystemFault::Accept, 1_000);
    // A connection to the hot restart socket arrives just then.
    let socket = folder.join("relay-0/hallrelay-relay-0.sock");
    let visitor = UnixStream::connect(&socket).expect("the socket is there");
    std::thread::sleep(MOMENT);
    relay.control.set(SystemFault::Accept, 0);
    std::thread::sleep(MOMENT);
    drop(visitor);
    let predecessor = relay.start_successor();
    std::thread::sleep(START_TIMEOUT);
    let runs = relay.is_running();
    let log = std::fs::read_to_string(relay.log_path()).unwrap_or_default();
    let last: Vec<&str> = log.lines().rev().take(3).collect();
    predecessor.into_iter().for_each(|predecessor| predecessor.stop(START_TIMEOUT));
    assert!(runs, "the new process did not start: {last:?}");
    assert!(relay.wait_until_ready(), "it serves");
    drop(relay);
    _ = std::fs::remove_dir_all(folder);
}

/// A reader of a named pipe that does not wait for its writer.
fn reader(pipe: &Path) -> std::fs::File {
    let mut options = std::fs::OpenOptions::new();
    options.read(true).custom_flags(libc::O_NONBLOCK).open(pipe).expect("the pipe is there")
}

#[test]
fn a_log_goes_on_once_it_can_be_written_again() {
    let (mut relay, folder) = relay("pipe-log");
    let pipe = folder.join("pipe");
    let made = std::process::Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs");
    assert!(made.success());
    let first = reader(&pipe);
    relay.log = Some(pipe.clone());
    relay.start();
    assert!(relay.wait_until_ready(), "it is ready");
    // Writes fail with EPIPE for a while.
    drop(first);
    std::thread::sleep(MOMENT);
    assert!(relay.wait_until_ready() && relay.is_running(), "it serves without its log");
    std::thread::sleep(MOMENT);
    let mut second = reader(&pipe);
    assert!(relay.wait_until_ready(), "it serves");
    std::thread::sleep(MOMENT);
    let mut bytes = [0; 4096];
    let count = second.read(&mut bytes).unwrap_or(0);
    assert!(count > 0, "nothing is logged any more");
    drop(relay);
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_start_outlasts_a_moment_without_sockets() {
    let (mut relay, folder) = relay("no-sockets");
    relay.control.set(SystemFault::Socket, 1_000);
    relay.start();
    std::thread::sleep(MOMENT);
    relay.control.set(SystemFault::Socket, 0);
    assert!(relay.wait_until_ready(), "it is ready in time");
    drop(relay);
    _ = std::fs::remove_dir_all(folder);
}
