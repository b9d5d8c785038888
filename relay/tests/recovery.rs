//! Relays that are killed and restart from their store while discovery is unavailable, or with a store
//! that is damaged, belongs to another relay or cannot be written. The tests check the sessions that
//! each backend gets, and metrics.
mod common;

use common::discovery::{endpoint, Discovery};
use common::{
    free_address, listener_settings, wait_until, Client, CountingBackend, RelayConfig, RelayProcess,
};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// A relay's configuration with a store, two backends and a discovery service.
struct Fixture {
    config: RelayConfig,
    state: PathBuf,
    backends: [CountingBackend; 2],
    discovery: Discovery,
}

fn start_fixture(name: &str) -> Fixture {
    let mut config = RelayConfig::new(&format!("recovery-{name}"));
    let backends = [CountingBackend::start(), CountingBackend::start()];
    let up = vec![endpoint("s-0", &backends[0], "up", 0), endpoint("s-1", &backends[1], "up", 0)];
    let discovery = Discovery::start(up.clone());
    let state = config.directory.join("state");
    config.json["discovery"] = json!(discovery.address.to_string());
    config.json["known"] = json!({"generation": 1, "reset": true, "instances": up});
    config.json["settings"]["Listeners"] = json!([listener_settings("low", 1.0, "retryable")]);
    config.json["settings"]["Listeners"][0]["DialTimeout"] = json!(300);
    config.json["state"] = json!(state.display().to_string());
    Fixture { config, state, backends, discovery }
}

/// Opens sessions one after another and closes each immediately; returns how many were established.
fn open_sessions(listen_address: SocketAddr, count: usize) -> usize {
    (0..count).filter(|_| Client::open(listen_address, "low").is_ok()).count()
}

fn run_store_command(subcommand: &str, state: &Path) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
    let output = common::run_to_end(command.args(["store", subcommand]).arg(state));
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

fn store_contains(state: &Path, text: &str) -> bool {
    run_store_command("export", state).1.contains(text)
}

fn kill(mut relay: RelayProcess) {
    relay.child.kill().expect("kill the relay process");
    relay.child.wait().expect("wait for the relay process");
}

/// Starts a relay that stores the drain of `s-0`, kills it and makes discovery unavailable.
fn store_drain_and_kill(fixture: &mut Fixture) {
    let relay = fixture.config.start();
    relay.wait_until_ready();
    let draining = vec![
        endpoint("s-0", &fixture.backends[0], "draining", 0),
        endpoint("s-1", &fixture.backends[1], "up", 0),
    ];
    fixture.discovery.publish(draining);
    wait_until("the drain is stored", || store_contains(&fixture.state, "\"draining\""));
    kill(relay);
    fixture.discovery.stop_answering();
}

/// Guards rule 3, by which a draining backend gets no new session: the configuration's endpoint list is from
/// before the drain, and while discovery is unavailable the relay is not notified of the drain again.
#[test]
fn drain_before_kill_is_kept_while_discovery_is_unavailable() {
    let mut fixture = start_fixture("drain");
    store_drain_and_kill(&mut fixture);
    let before = fixture.backends.each_ref().map(CountingBackend::opened);
    let relay = fixture.config.start();
    relay.wait_until_ready();
    assert_eq!(open_sessions(fixture.config.listen_address, 30), 30);
    let after = fixture.backends.each_ref().map(CountingBackend::opened);
    assert_eq!(
        (after[0] - before[0], after[1] - before[1]),
        (0, 30),
        "the draining backend must get no new session"
    );
    kill(relay);
    // Without its store the relay uses the configuration's list and dials both backends, which shows that the
    // store prevented the dials to the draining backend.
    fixture.config.json.as_object_mut().expect("the configuration is an object").remove("state");
    let relay = fixture.config.start();
    relay.wait_until_ready();
    open_sessions(fixture.config.listen_address, 30);
    assert!(
        fixture.backends[0].opened() > after[0],
        "a relay without a store must dial the draining backend"
    );
    drop(relay);
}

/// Guards rule 4: a relay that crashes repeatedly must not spend a slow-start slot of a backend with each
/// start. A slot is one dial that the relay may make to a recently started backend.
#[test]
fn crash_loop_does_not_spend_slot_per_start() {
    let sessions_by_start = |name: &str, with_store: bool| {
        let mut fixture = start_fixture(name);
        // Slow start has a slot every 2.9 s at first and every 2.3 s at the end of the test, the first one of
        // a process after half of that time. Each process runs for longer than half, but shorter than the
        // whole.
        fixture.config.json["settings"]["Rules"]["Cold"] = json!(100_000);
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .expect("the clock is after the Unix epoch");
        let started = now.as_millis() as u64 - 10_000;
        let slow_starting = vec![endpoint("s-0", &fixture.backends[0], "up", started)];
        fixture.discovery.publish(slow_starting.clone());
        fixture.config.json["known"]["instances"] = json!(slow_starting);
        if !with_store {
            fixture.config.json.as_object_mut().expect("the configuration is an object").remove("state");
        }
        let mut opened = Vec::new();
        for _ in 0..5 {
            let before = fixture.backends[0].opened();
            let relay = fixture.config.start();
            relay.wait_until_ready();
            let kill_at = std::time::Instant::now() + Duration::from_millis(1_700);
            while std::time::Instant::now() < kill_at {
                open_sessions(fixture.config.listen_address, 1);
                std::thread::sleep(Duration::from_millis(10));
            }
            kill(relay);
            opened.push(fixture.backends[0].opened() - before);
        }
        opened
    };
    let without_store = std::thread::spawn(move || sessions_by_start("loop-without", false));
    let (with, without) =
        (sessions_by_start("loop", true), without_store.join().expect("join the relay without a store"));
    println!("sessions per start: {with:?} with a store, {without:?} without");
    let sum = |all: &[u64]| all.iter().sum::<u64>();
    assert!(
        sum(&with) >= 1 && sum(&with) < sum(&without),
        "sessions per start: {with:?} with a store, {without:?} without"
    );
}

/// A relay that starts while discovery is unavailable requests a peer's list. It avoids backends that are
/// draining in that list, and may try a backend that it never received itself. A backend that the relay was
/// notified to avoid is not brought back by what a peer reports.
#[test]
fn peer_provides_list_while_discovery_is_unavailable() {
    let (mut fixture, mut second) = (start_fixture("peer-list"), start_fixture("peer-list-second"));
    let third = CountingBackend::start();
    let addresses = [free_address(), free_address()];
    let peers = json!(addresses.map(|address| address.to_string()));
    for (i, config) in [&mut fixture.config, &mut second.config].into_iter().enumerate() {
        config.json["name"] = json!(format!("r{i}"));
        config.json["fleet"] = json!({"name": "f", "listen": addresses[i].to_string(), "peers": peers});
        config.json["discovery"] = json!(fixture.discovery.address.to_string());
        config.json["known"]["instances"] = json!([
            endpoint("s-0", &fixture.backends[0], "up", 0),
            endpoint("s-1", &fixture.backends[1], "up", 0)
        ]);
    }
    second.config.json.as_object_mut().expect("the configuration is an object").remove("state");
    let first = fixture.config.start();
    first.wait_until_ready();
    fixture.discovery.publish(vec![
        endpoint("s-0", &fixture.backends[0], "draining", 0),
        endpoint("s-1", &fixture.backends[1], "up", 0),
        endpoint("s-2", &third, "up", 0),
    ]);
    wait_until("the first relay has applied the list", || first.metric("known_backends") == Some(3));
    fixture.discovery.stop_answering();
    let other = second.config.start();
    other.wait_until_ready();
    wait_until("the other relay has the list of the first", || other.metric("known_backends") == Some(3));
    let is_in_stage =
        |stage: &str| other.request("GET", "/v1/fleet").1.contains(&format!("\"returning\":\"{stage}\""));
    // In the stage `asking` the relay's list is from a peer and not yet from discovery.
    assert!(is_in_stage("asking"), "the relay must report that its list is from a peer");
    let before = [fixture.backends[0].opened(), third.opened()];
    assert_eq!(open_sessions(second.config.listen_address, 60), 60);
    assert_eq!(fixture.backends[0].opened(), before[0], "the draining backend must get no new session");
    assert!(third.opened() > before[1], "the backend known only from the peer must be tried");
    // The first relay is notified that s-2 is removed, and restarts while its peer still lists it.
    kill(first);
    kill(other);
    fixture.discovery.restart_at(2);
    let first = fixture.config.start();
    first.wait_until_ready();
    let removed = vec![endpoint("s-1", &fixture.backends[1], "up", 0), endpoint("s-2", &third, "removed", 0)];
    fixture.discovery.publish(removed);
    wait_until("the removal is stored", || store_contains(&fixture.state, "\"removed\""));
    fixture.discovery.stop_answering();
    kill(first);
    second.config.json["known"]["instances"] =
        json!([endpoint("s-1", &fixture.backends[1], "up", 0), endpoint("s-2", &third, "up", 0)]);
    let other = second.config.start();
    other.wait_until_ready();
    let first = fixture.config.start();
    first.wait_until_ready();
    wait_until("the first relay has accepted the other's list", || first.metric("fleet_hearsay") > Some(0));
    let before = third.opened();
    open_sessions(fixture.config.listen_address, 30);
    assert_eq!(third.opened(), before, "a removed backend must not return because a peer lists it");
    drop(other);
}

/// A faulty store does not interrupt service, is reported by a metric and can be used again after the fault.
#[test]
fn faulty_store_does_not_interrupt_service() {
    let mut fixture = start_fixture("faulty-store");
    // A file is in the place of the store's directory.
    std::fs::write(&fixture.state, "not a directory").expect("write the file");
    let relay = fixture.config.start();
    relay.wait_until_ready();
    assert_eq!(open_sessions(fixture.config.listen_address, 5), 5);
    assert_eq!(relay.metric("store_failing"), Some(1));
    std::fs::remove_file(&fixture.state).expect("remove the file");
    wait_until("the store no longer fails", || relay.metric("store_failing") == Some(0));
    fixture.discovery.publish(vec![
        endpoint("s-0", &fixture.backends[0], "up", 0),
        endpoint("s-1", &fixture.backends[1], "up", 0),
    ]);
    wait_until("the list is stored", || {
        run_store_command("inspect", &fixture.state).1.contains("list: 1 live records")
    });
    kill(relay);
    // The log is damaged in the middle: the records before the damage are used.
    let log = fixture.state.join("log");
    let mut bytes = std::fs::read(&log).expect("read the store's log");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x55;
    std::fs::write(&log, &bytes).expect("write the damaged log");
    assert_eq!(run_store_command("verify", &fixture.state).0, Some(1));
    let relay = fixture.config.start();
    relay.wait_until_ready();
    assert_eq!(
        (open_sessions(fixture.config.listen_address, 5), relay.metric("store_failing")),
        (5, Some(0))
    );
    wait_until("the log is rewritten without damage", || {
        run_store_command("verify", &fixture.state).0 == Some(0)
    });
    kill(relay);
    // The store belongs to another relay: no record of it is used, and it is replaced by this relay's store.
    fixture.config.json["name"] = json!("another");
    let relay = fixture.config.start();
    relay.wait_until_ready();
    assert_eq!(open_sessions(fixture.config.listen_address, 5), 5);
    wait_until("the store belongs to this relay", || store_contains(&fixture.state, "\"name\":\"another\""));
    // A second relay with the same store directory serves and reports that its store fails.
    let mut second = start_fixture("faulty-store-second");
    second.config.json["state"] = fixture.config.json["state"].clone();
    let other = second.config.start();
    other.wait_until_ready();
    assert_eq!((open_sessions(second.config.listen_address, 5), other.metric("store_failing")), (5, Some(1)));
    assert_eq!(
        run_store_command("compact", &fixture.state).0,
        Some(2),
        "a store in use must not be compacted"
    );
    kill(relay);
    wait_until("the second relay has the store's lock", || other.metric("store_failing") == Some(0));
    kill(other);
    assert_eq!(run_store_command("compact", &fixture.state).0, Some(0));
    assert_eq!(
        run_store_command("verify", &second.config.directory).0,
        Some(2),
        "a directory without a store must be reported"
    );
}

/// In a hot restart the store is handed over together with the listening socket, and returned with it.
#[test]
fn store_is_handed_over_with_listening_socket() {
    let mut fixture = start_fixture("hand-over");
    let old = fixture.config.start();
    old.wait_until_ready();
    wait_until("the old process writes to the store", || old.metric("store_batches") > Some(0));
    let mut new = fixture.config.start();
    new.wait_until_ready();
    let draining = vec![endpoint("s-0", &fixture.backends[0], "draining", 0)];
    fixture.discovery.publish(draining);
    wait_until("the new process writes to the store", || store_contains(&fixture.state, "\"draining\""));
    assert_eq!((new.metric("store_failing"), new.metric("store_batches") > Some(0)), (Some(0), true));
    new.child.kill().expect("kill the relay process");
    wait_until("the old process serves again", || old.is_ready());
    let again = vec![
        endpoint("s-1", &fixture.backends[1], "draining", 0),
        endpoint("s-0", &fixture.backends[0], "up", 5),
    ];
    fixture.discovery.publish(again);
    wait_until("the old process writes to the store again", || {
        store_contains(&fixture.state, "\"startedAtMs\":5")
    });
    kill(old);
}

/// A store that has grown to a gigabyte and a disk that blocks do not delay a start beyond its limit, and the
/// records before the growth are used.
#[test]
fn huge_store_and_blocked_disk_do_not_delay_start() {
    const GIGABYTE: u64 = 1 << 30;
    /// Limit of a start for opening the store, 2 s, and a margin of 1.5 s for a busy machine.
    const START_LIMIT: Duration = Duration::from_millis(2_000 + 1_500);
    let mut fixture = start_fixture("huge");
    store_drain_and_kill(&mut fixture);
    let log = fixture.state.join("log");
    let file = std::fs::OpenOptions::new().write(true).open(&log).expect("open the store's log");
    file.set_len(GIGABYTE).expect("extend the store's log");
    drop(file);
    let before = fixture.backends[0].opened();
    let (started_at, relay) = (std::time::Instant::now(), fixture.config.start());
    relay.wait_until_ready();
    let took = started_at.elapsed();
    assert!(took < START_LIMIT, "ready after {took:?}");
    assert_eq!(
        (open_sessions(fixture.config.listen_address, 30), fixture.backends[0].opened()),
        (30, before),
        "the drain before the growth must be kept"
    );
    wait_until("the log has shrunk again", || {
        std::fs::metadata(&log).expect("read the log's metadata").len() < GIGABYTE / 100
    });
    let status = std::fs::read_to_string(format!("/proc/{}/status", relay.child.id()))
        .expect("read the process status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the status has VmHWM");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("VmHWM is a number of kB");
    println!("a store of 1 GB: ready after {took:?}, peak memory {peak} kB");
    // The limit is twice the maximum size of a store.
    assert!(peak < 160 * 1024, "peak memory {peak} kB");
    kill(relay);
    // A named pipe in place of the log blocks a process that opens it.
    std::fs::remove_file(&log).expect("remove the store's log");
    let made = common::run_to_end(Command::new("mkfifo").arg(&log)).status;
    assert!(made.success(), "mkfifo {}: {made}", log.display());
    let (started_at, mut relay) = (std::time::Instant::now(), fixture.config.start());
    relay.wait_until_ready();
    let took = started_at.elapsed();
    println!("a blocked disk: ready after {took:?}");
    assert!(took < START_LIMIT, "ready after {took:?}");
    assert_eq!(open_sessions(fixture.config.listen_address, 30), 30);
    relay.signal("TERM");
    wait_until("the relay exits", || relay.has_exited());
    let exit = relay.child.wait().expect("wait for the relay process");
    assert!(exit.success(), "the relay's exit status: {exit}");
}
