//! Relays that are killed and restart from their store: with discovery unavailable, and with a store that is
//! damaged, belongs to another relay or can't be written. Checked by the sessions that reach each backend
//! and by metrics.
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
    servers: [CountingBackend; 2],
    discovery: Discovery,
}

fn start_fixture(name: &str) -> Fixture {
    let mut config = RelayConfig::new(&format!("recovery-{name}"));
    let servers = [CountingBackend::start(), CountingBackend::start()];
    let up = vec![endpoint("s-0", &servers[0], "up", 0), endpoint("s-1", &servers[1], "up", 0)];
    let discovery = Discovery::start(up.clone());
    let state = config.directory.join("state");
    config.json["discovery"] = json!(discovery.address.to_string());
    config.json["known"] = json!({"generation": 1, "reset": true, "instances": up});
    config.json["settings"]["Listeners"] = json!([listener_settings("low", 1.0, "retryable")]);
    config.json["settings"]["Listeners"][0]["DialTimeout"] = json!(300);
    config.json["state"] = json!(state.display().to_string());
    Fixture { config, state, servers, discovery }
}

/// Opens sessions one after another and closes each at once; returns how many were established.
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
    relay.child.kill().expect("it lives");
    relay.child.wait().expect("it ends");
}

/// Starts a relay that stores the drain of `s-0`, kills it, and makes discovery unavailable.
fn store_drain_and_kill(fixture: &mut Fixture) {
    let relay = fixture.config.start();
    relay.wait_until_ready();
    let draining = vec![
        endpoint("s-0", &fixture.servers[0], "draining", 0),
        endpoint("s-1", &fixture.servers[1], "up", 0),
    ];
    fixture.discovery.publish(draining);
    wait_until("it is kept", || store_contains(&fixture.state, "\"draining\""));
    kill(relay);
    fixture.discovery.stop_answering();
}

/// Rule 3: the configuration's endpoint list is older than the drain, and discovery is unavailable.
#[test]
fn a_drain_before_a_kill_holds_while_discovery_is_unavailable() {
    let mut fixture = start_fixture("drain");
    store_drain_and_kill(&mut fixture);
    let before = fixture.servers.each_ref().map(CountingBackend::opened);
    let relay = fixture.config.start();
    relay.wait_until_ready();
    assert_eq!(open_sessions(fixture.config.listen_address, 30), 30);
    let after = fixture.servers.each_ref().map(CountingBackend::opened);
    assert_eq!((after[0] - before[0], after[1] - before[1]), (0, 30), "nothing new to one that drains");
    kill(relay);
    // Without its store it uses the list of the configuration and dials both: only the store prevented that.
    fixture.config.json.as_object_mut().expect("a table").remove("state");
    let relay = fixture.config.start();
    relay.wait_until_ready();
    open_sessions(fixture.config.listen_address, 30);
    assert!(fixture.servers[0].opened() > after[0], "a relay that knows nothing dials it");
    drop(relay);
}

/// Rule 4: a relay in a crash loop does not use another slow-start slot of a backend after each start.
#[test]
fn a_crash_loop_uses_no_slow_start_slot_twice() {
    let sessions_by_start = |name: &str, with_store: bool| {
        let mut fixture = start_fixture(name);
        // A slot every 2.1 s of slow start, the first one after half of that; each process lives a little
        // longer than this half.
        fixture.config.json["settings"]["Rules"]["Cold"] = json!(100_000);
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
        let started = now.as_millis() as u64 - 10_000;
        let cold = vec![endpoint("s-0", &fixture.servers[0], "up", started)];
        fixture.discovery.publish(cold.clone());
        fixture.config.json["known"]["instances"] = json!(cold);
        if !with_store {
            fixture.config.json.as_object_mut().expect("a table").remove("state");
        }
        let mut opened = Vec::new();
        for _ in 0..5 {
            let before = fixture.servers[0].opened();
            let relay = fixture.config.start();
            relay.wait_until_ready();
            let kill_at = std::time::Instant::now() + Duration::from_millis(1_250);
            while std::time::Instant::now() < kill_at {
                open_sessions(fixture.config.listen_address, 1);
                std::thread::sleep(Duration::from_millis(10));
            }
            kill(relay);
            opened.push(fixture.servers[0].opened() - before);
        }
        opened
    };
    let without_store = std::thread::spawn(move || sessions_by_start("loop-without", false));
    let (with, without) = (sessions_by_start("loop", true), without_store.join().expect("lives"));
    println!("{with:?} beside {without:?}");
    let sum = |all: &[u64]| all.iter().sum::<u64>();
    assert!(sum(&with) >= 1 && sum(&with) < sum(&without), "{with:?} beside {without:?}");
}

/// A relay that starts while discovery is unavailable asks a peer for its list: it avoids backends that drain
/// there and uses backends that it did not know. A removal that it was notified of itself is not overridden.
#[test]
fn a_peer_provides_the_list_while_discovery_is_unavailable() {
    let (mut fixture, mut second) = (start_fixture("hearsay"), start_fixture("hearsay-second"));
    let third = CountingBackend::start();
    let addresses = [free_address(), free_address()];
    let peers = json!(addresses.map(|address| address.to_string()));
    for (i, config) in [&mut fixture.config, &mut second.config].into_iter().enumerate() {
        config.json["name"] = json!(format!("r{i}"));
        config.json["fleet"] = json!({"name": "f", "listen": addresses[i].to_string(), "peers": peers});
        config.json["discovery"] = json!(fixture.discovery.address.to_string());
        config.json["known"]["instances"] = json!([
            endpoint("s-0", &fixture.servers[0], "up", 0),
            endpoint("s-1", &fixture.servers[1], "up", 0)
        ]);
    }
    second.config.json.as_object_mut().expect("a table").remove("state");
    let first = fixture.config.start();
    first.wait_until_ready();
    fixture.discovery.publish(vec![
        endpoint("s-0", &fixture.servers[0], "draining", 0),
        endpoint("s-1", &fixture.servers[1], "up", 0),
        endpoint("s-2", &third, "up", 0),
    ]);
    wait_until("the first one heard it", || first.metric("known_backends") == Some(3));
    fixture.discovery.stop_answering();
    let other = second.config.start();
    other.wait_until_ready();
    wait_until("the other one heard of it", || other.metric("known_backends") == Some(3));
    let returning =
        |word: &str| other.request("GET", "/v1/fleet").1.contains(&format!("\"returning\":\"{word}\""));
    assert!(returning("asking"), "it says by whose word it goes");
    let before = [fixture.servers[0].opened(), third.opened()];
    assert_eq!(open_sessions(second.config.listen_address, 60), 60);
    assert_eq!(fixture.servers[0].opened(), before[0], "nothing new to one that drains");
    assert!(third.opened() > before[1], "one that it never heard of is tried");
    // The first relay is notified that s-2 is removed, and restarts beside a peer that still lists it.
    kill(first);
    kill(other);
    fixture.discovery.restart_at(2);
    let first = fixture.config.start();
    first.wait_until_ready();
    let gone = vec![endpoint("s-1", &fixture.servers[1], "up", 0), endpoint("s-2", &third, "removed", 0)];
    fixture.discovery.publish(gone);
    wait_until("it is kept", || store_contains(&fixture.state, "\"removed\""));
    fixture.discovery.stop_answering();
    kill(first);
    second.config.json["known"]["instances"] =
        json!([endpoint("s-1", &fixture.servers[1], "up", 0), endpoint("s-2", &third, "up", 0)]);
    let other = second.config.start();
    other.wait_until_ready();
    let first = fixture.config.start();
    first.wait_until_ready();
    wait_until("it asked the other one", || first.metric("fleet_hearsay") > Some(0));
    let before = third.opened();
    open_sessions(fixture.config.listen_address, 30);
    assert_eq!(third.opened(), before, "whom it was told to leave nobody's word brings back");
    drop(other);
}

/// A faulty store does not interrupt service, is reported by a metric, and recovers.
#[test]
fn a_faulty_store_does_not_interrupt_service() {
    let mut fixture = start_fixture("useless");
    // A file where the store's directory should be.
    std::fs::write(&fixture.state, "in the way").expect("a file");
    let relay = fixture.config.start();
    relay.wait_until_ready();
    assert_eq!(open_sessions(fixture.config.listen_address, 5), 5);
    assert_eq!(relay.metric("store_failing"), Some(1));
    std::fs::remove_file(&fixture.state).expect("it is there");
    wait_until("it heals", || relay.metric("store_failing") == Some(0));
    fixture.discovery.publish(vec![
        endpoint("s-0", &fixture.servers[0], "up", 0),
        endpoint("s-1", &fixture.servers[1], "up", 0),
    ]);
    wait_until("it writes", || {
        run_store_command("inspect", &fixture.state).1.contains("list: 1 live records")
    });
    kill(relay);
    // Damaged in the middle: the records before the damage are used.
    let log = fixture.state.join("log");
    let mut bytes = std::fs::read(&log).expect("a log");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x55;
    std::fs::write(&log, &bytes).expect("a log");
    assert_eq!(run_store_command("verify", &fixture.state).0, Some(1));
    let relay = fixture.config.start();
    relay.wait_until_ready();
    assert_eq!(
        (open_sessions(fixture.config.listen_address, 5), relay.metric("store_failing")),
        (5, Some(0))
    );
    wait_until("it is written anew", || run_store_command("verify", &fixture.state).0 == Some(0));
    kill(relay);
    // Another relay's store: nothing of it is used, and it is replaced by this relay's.
    fixture.config.json["name"] = json!("another");
    let relay = fixture.config.start();
    relay.wait_until_ready();
    assert_eq!(open_sessions(fixture.config.listen_address, 5), 5);
    wait_until("it is its own", || store_contains(&fixture.state, "\"name\":\"another\""));
    // A second relay with the same directory serves, and reports that its store fails.
    let mut second = start_fixture("useless-second");
    second.config.json["state"] = fixture.config.json["state"].clone();
    let other = second.config.start();
    other.wait_until_ready();
    assert_eq!((open_sessions(second.config.listen_address, 5), other.metric("store_failing")), (5, Some(1)));
    assert_eq!(run_store_command("compact", &fixture.state).0, Some(2), "a relay uses it");
    kill(relay);
    wait_until("the lock is free", || other.metric("store_failing") == Some(0));
    kill(other);
    assert_eq!(run_store_command("compact", &fixture.state).0, Some(0));
    assert_eq!(run_store_command("verify", &second.config.directory).0, Some(2), "no store is there");
}

/// A hot restart: the store is handed over with the listening socket, and returned with it.
#[test]
fn the_store_is_handed_over_with_the_listener() {
    let mut fixture = start_fixture("place");
    let old = fixture.config.start();
    old.wait_until_ready();
    wait_until("it keeps", || old.metric("store_batches") > Some(0));
    let mut new = fixture.config.start();
    new.wait_until_ready();
    let draining = vec![endpoint("s-0", &fixture.servers[0], "draining", 0)];
    fixture.discovery.publish(draining);
    wait_until("the new one keeps", || store_contains(&fixture.state, "\"draining\""));
    assert_eq!((new.metric("store_failing"), new.metric("store_batches") > Some(0)), (Some(0), true));
    new.child.kill().expect("it lives");
    wait_until("the old one serves again", || old.is_ready());
    let again = vec![
        endpoint("s-1", &fixture.servers[1], "draining", 0),
        endpoint("s-0", &fixture.servers[0], "up", 5),
    ];
    fixture.discovery.publish(again);
    wait_until("the old one keeps again", || store_contains(&fixture.state, "\"startedAtMs\":5"));
    kill(old);
}

/// A store that has grown to a gigabyte, and a disk that blocks: neither delays a start beyond its limit, and
/// the records before the growth are used.
#[test]
fn a_huge_store_and_a_blocked_disk_do_not_delay_a_start() {
    const GIGABYTE: u64 = 1 << 30;
    /// A start's limit for opening the store, with a margin for a busy machine.
    const WAIT: Duration = Duration::from_millis(2_000 + 1_500);
    let mut fixture = start_fixture("huge");
    store_drain_and_kill(&mut fixture);
    let log = fixture.state.join("log");
    let file = std::fs::OpenOptions::new().write(true).open(&log).expect("a log");
    file.set_len(GIGABYTE).expect("it grows");
    drop(file);
    let before = fixture.servers[0].opened();
    let (started_at, relay) = (std::time::Instant::now(), fixture.config.start());
    relay.wait_until_ready();
    let took = started_at.elapsed();
    assert!(took < WAIT, "{took:?}");
    assert_eq!(
        (open_sessions(fixture.config.listen_address, 30), fixture.servers[0].opened()),
        (30, before),
        "what it kept holds"
    );
    wait_until("it is of its size again", || std::fs::metadata(&log).expect("a log").len() < GIGABYTE / 100);
    let status = std::fs::read_to_string(format!("/proc/{}/status", relay.child.id())).expect("it lives");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a figure");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    println!("a store of 1 GB: ready after {took:?}, {peak} kB at most");
    // Twice the limit of a store's size.
    assert!(peak < 160 * 1024, "{peak} kB");
    kill(relay);
    // A named pipe in place of the log blocks whoever opens it.
    std::fs::remove_file(&log).expect("a log");
    assert!(common::run_to_end(Command::new("mkfifo").arg(&log)).status.success());
    let (started_at, mut relay) = (std::time::Instant::now(), fixture.config.start());
    relay.wait_until_ready();
    let took = started_at.elapsed();
    println!("a disk that stands still: ready after {took:?}");
    assert!(took < WAIT, "{took:?}");
    assert_eq!(open_sessions(fixture.config.listen_address, 30), 30);
    relay.signal("TERM");
    wait_until("it ends", || relay.has_exited());
    assert!(relay.child.wait().expect("a child").success());
}
