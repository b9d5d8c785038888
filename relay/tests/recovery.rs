//! Processes that are killed outright and start again with what they kept, with the list service dark, with a
//! store that is damaged, another relay's, or can't be written. Verdicts by what reaches which backend, and
//! by counts.
mod common;

use common::discovery::{instance, Discovery};
use common::{free, listener, until, Client, Counted, Relay, Site};
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

struct Fixture {
    site: Site,
    state: PathBuf,
    servers: [Counted; 2],
    discovery: Discovery,
}

fn fixture(name: &str) -> Fixture {
    let mut site = Site::new(&format!("recovery-{name}"));
    let servers = [Counted::begin(), Counted::begin()];
    let up = vec![instance("s-0", &servers[0], "up", 0), instance("s-1", &servers[1], "up", 0)];
    let discovery = Discovery::begin(up.clone());
    let state = site.folder.join("state");
    site.text["discovery"] = json!(discovery.at.to_string());
    site.text["known"] = json!({"generation": 1, "reset": true, "instances": up});
    site.text["settings"]["Listeners"] = json!([listener("low", 1.0, "retryable")]);
    site.text["settings"]["Listeners"][0]["DialTimeout"] = json!(300);
    site.text["state"] = json!(state.display().to_string());
    Fixture { site, state, servers, discovery }
}

/// Opens sessions one after the other, and leaves; how many came about.
fn sessions(listen: SocketAddr, count: usize) -> usize {
    (0..count).filter(|_| Client::open(listen, "low").is_ok()).count()
}

fn shelf(what: &str, state: &Path) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
    let output = common::output(command.args(["store", what]).arg(state));
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

fn kept(state: &Path, text: &str) -> bool {
    shelf("export", state).1.contains(text)
}

fn killed(mut relay: Relay) {
    relay.child.kill().expect("it lives");
    relay.child.wait().expect("it ends");
}

/// A relay is told that one server drains, keeps it, and is killed; nobody tells the list from then on.
fn drain_kept(f: &mut Fixture) {
    let relay = f.site.start();
    relay.until_ready();
    let draining =
        vec![instance("s-0", &f.servers[0], "draining", 0), instance("s-1", &f.servers[1], "up", 0)];
    f.discovery.tell(draining);
    until("it is kept", || kept(&f.state, "\"draining\""));
    killed(relay);
    f.discovery.goes_dark();
}

/// Guards rule 3: the configuration's list is from before the drain, and nobody is there to tell of it again.
#[test]
fn a_drain_told_before_a_kill_holds_with_the_list_service_dark() {
    let mut f = fixture("drain");
    drain_kept(&mut f);
    let before = f.servers.each_ref().map(Counted::opened);
    let relay = f.site.start();
    relay.until_ready();
    assert_eq!(sessions(f.site.listen, 30), 30);
    let after = f.servers.each_ref().map(Counted::opened);
    assert_eq!((after[0] - before[0], after[1] - before[1]), (0, 30), "nothing new to one that drains");
    killed(relay);
    // Without what it kept it goes by the configuration, and dials both: the store is what held it back.
    f.site.text.as_object_mut().expect("a table").remove("state");
    let relay = f.site.start();
    relay.until_ready();
    sessions(f.site.listen, 30);
    assert!(f.servers[0].opened() > after[0], "a relay that knows nothing dials it");
    drop(relay);
}

/// Guards rule 4: a relay that crashes again and again does not spend a turn at a cold server with each life.
#[test]
fn a_crash_loop_spends_no_turn_twice() {
    let lives = |name: &str, keeps: bool| {
        let mut f = fixture(name);
        // A turn each 2.1 s by the warm-up, the first one after half of that; a life is a little longer than
        // this half.
        f.site.text["settings"]["Rules"]["Cold"] = json!(100_000);
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
        let started = now.as_millis() as u64 - 10_000;
        let cold = vec![instance("s-0", &f.servers[0], "up", started)];
        f.discovery.tell(cold.clone());
        f.site.text["known"]["instances"] = json!(cold);
        if !keeps {
            f.site.text.as_object_mut().expect("a table").remove("state");
        }
        let mut opened = Vec::new();
        for _ in 0..5 {
            let before = f.servers[0].opened();
            let relay = f.site.start();
            relay.until_ready();
            let until = std::time::Instant::now() + Duration::from_millis(1_250);
            while std::time::Instant::now() < until {
                sessions(f.site.listen, 1);
                std::thread::sleep(Duration::from_millis(10));
            }
            killed(relay);
            opened.push(f.servers[0].opened() - before);
        }
        opened
    };
    let both = std::thread::spawn(move || lives("loop-without", false));
    let (with, without) = (lives("loop", true), both.join().expect("lives"));
    println!("{with:?} beside {without:?}");
    let sum = |all: &[u64]| all.iter().sum::<u64>();
    assert!(sum(&with) >= 1 && sum(&with) < sum(&without), "{with:?} beside {without:?}");
}

/// A relay that starts while the list service is dark asks another one: whom that calls draining it leaves, a
/// server that it never heard of it tries, and whom it was told to leave itself nobody's word brings back.
#[test]
fn another_relay_tells_the_list_while_its_service_is_dark() {
    let (mut f, mut second) = (fixture("hearsay"), fixture("hearsay-second"));
    let third = Counted::begin();
    let places = [free(), free()];
    let peers = json!(places.map(|place| place.to_string()));
    for (i, site) in [&mut f.site, &mut second.site].into_iter().enumerate() {
        site.text["name"] = json!(format!("r{i}"));
        site.text["fleet"] = json!({"name": "f", "listen": places[i].to_string(), "peers": peers});
        site.text["discovery"] = json!(f.discovery.at.to_string());
        site.text["known"]["instances"] =
            json!([instance("s-0", &f.servers[0], "up", 0), instance("s-1", &f.servers[1], "up", 0)]);
    }
    second.site.text.as_object_mut().expect("a table").remove("state");
    let first = f.site.start();
    first.until_ready();
    f.discovery.tell(vec![
        instance("s-0", &f.servers[0], "draining", 0),
        instance("s-1", &f.servers[1], "up", 0),
        instance("s-2", &third, "up", 0),
    ]);
    until("the first one heard it", || first.figure("known_backends") == Some(3));
    f.discovery.goes_dark();
    let other = second.site.start();
    other.until_ready();
    until("the other one heard of it", || other.figure("known_backends") == Some(3));
    let returning =
        |word: &str| other.call("GET", "/v1/fleet").1.contains(&format!("\"returning\":\"{word}\""));
    assert!(returning("asking"), "it says by whose word it goes");
    let before = [f.servers[0].opened(), third.opened()];
    assert_eq!(sessions(second.site.listen, 60), 60);
    assert_eq!(f.servers[0].opened(), before[0], "nothing new to one that drains");
    assert!(third.opened() > before[1], "one that it never heard of is tried");
    // The first one is told that s-2 is gone, and starts again beside one that believes in it.
    killed(first);
    killed(other);
    f.discovery.begins_anew(2);
    let first = f.site.start();
    first.until_ready();
    let gone = vec![instance("s-1", &f.servers[1], "up", 0), instance("s-2", &third, "removed", 0)];
    f.discovery.tell(gone);
    until("it is kept", || kept(&f.state, "\"removed\""));
    f.discovery.goes_dark();
    killed(first);
    second.site.text["known"]["instances"] =
        json!([instance("s-1", &f.servers[1], "up", 0), instance("s-2", &third, "up", 0)]);
    let other = second.site.start();
    other.until_ready();
    let first = f.site.start();
    first.until_ready();
    until("it asked the other one", || first.figure("fleet_hearsay") > Some(0));
    let before = third.opened();
    sessions(f.site.listen, 30);
    assert_eq!(third.opened(), before, "whom it was told to leave nobody's word brings back");
    drop(other);
}

/// What is wrong with the store costs no service, is said, and heals.
#[test]
fn a_store_that_is_of_no_use_stops_nobody() {
    let mut f = fixture("useless");
    // A file where the folder should be.
    std::fs::write(&f.state, "in the way").expect("a file");
    let relay = f.site.start();
    relay.until_ready();
    assert_eq!(sessions(f.site.listen, 5), 5);
    assert_eq!(relay.figure("store_failing"), Some(1));
    std::fs::remove_file(&f.state).expect("it is there");
    until("it heals", || relay.figure("store_failing") == Some(0));
    f.discovery.tell(vec![instance("s-0", &f.servers[0], "up", 0), instance("s-1", &f.servers[1], "up", 0)]);
    until("it writes", || shelf("inspect", &f.state).1.contains("list: 1 facts"));
    killed(relay);
    // Damaged in the middle: what stands before that is used, and it goes on.
    let log = f.state.join("log");
    let mut bytes = std::fs::read(&log).expect("a log");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x55;
    std::fs::write(&log, &bytes).expect("a log");
    assert_eq!(shelf("verify", &f.state).0, Some(1));
    let relay = f.site.start();
    relay.until_ready();
    assert_eq!((sessions(f.site.listen, 5), relay.figure("store_failing")), (5, Some(0)));
    until("it is written anew", || shelf("verify", &f.state).0 == Some(0));
    killed(relay);
    // Another relay's: nothing of it is used, and from now on it is this one's.
    f.site.text["name"] = json!("another");
    let relay = f.site.start();
    relay.until_ready();
    assert_eq!(sessions(f.site.listen, 5), 5);
    until("it is its own", || kept(&f.state, "\"name\":\"another\""));
    // A second relay with the same folder serves, and says that it keeps nothing.
    let mut second = fixture("useless-second");
    second.site.text["state"] = f.site.text["state"].clone();
    let other = second.site.start();
    other.until_ready();
    assert_eq!((sessions(second.site.listen, 5), other.figure("store_failing")), (5, Some(1)));
    assert_eq!(shelf("compact", &f.state).0, Some(2), "a relay uses it");
    killed(relay);
    until("the lock is free", || other.figure("store_failing") == Some(0));
    killed(other);
    assert_eq!(shelf("compact", &f.state).0, Some(0));
    assert_eq!(shelf("verify", &second.site.folder).0, Some(2), "no store is there");
}

/// Old and new process at one address: the store goes with the place, and comes back with it.
#[test]
fn the_store_goes_with_the_place() {
    let mut f = fixture("place");
    let old = f.site.start();
    old.until_ready();
    until("it keeps", || old.figure("store_batches") > Some(0));
    let mut new = f.site.start();
    new.until_ready();
    let draining = vec![instance("s-0", &f.servers[0], "draining", 0)];
    f.discovery.tell(draining);
    until("the new one keeps", || kept(&f.state, "\"draining\""));
    assert_eq!((new.figure("store_failing"), new.figure("store_batches") > Some(0)), (Some(0), true));
    new.child.kill().expect("it lives");
    until("the old one serves again", || old.ready());
    let again = vec![instance("s-1", &f.servers[1], "draining", 0), instance("s-0", &f.servers[0], "up", 5)];
    f.discovery.tell(again);
    until("the old one keeps again", || kept(&f.state, "\"startedAtMs\":5"));
    killed(old);
}

/// A store that has grown to a gigabyte, and a disk that stands still: a start waits for neither beyond its
/// time, and what stands before the growth holds.
#[test]
fn a_huge_store_and_a_disk_that_stands_still_hold_up_nobody() {
    const GIGABYTE: u64 = 1 << 30;
    /// What a start may wait for the store, and what a busy machine adds.
    const WAIT: Duration = Duration::from_millis(2_000 + 1_500);
    let mut f = fixture("huge");
    drain_kept(&mut f);
    let log = f.state.join("log");
    let file = std::fs::OpenOptions::new().write(true).open(&log).expect("a log");
    file.set_len(GIGABYTE).expect("it grows");
    drop(file);
    let before = f.servers[0].opened();
    let (began, relay) = (std::time::Instant::now(), f.site.start());
    relay.until_ready();
    let took = began.elapsed();
    assert!(took < WAIT, "{took:?}");
    assert_eq!((sessions(f.site.listen, 30), f.servers[0].opened()), (30, before), "what it kept holds");
    until("it is of its size again", || std::fs::metadata(&log).expect("a log").len() < GIGABYTE / 100);
    let status = std::fs::read_to_string(format!("/proc/{}/status", relay.child.id())).expect("it lives");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a figure");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    println!("a store of 1 GB: ready after {took:?}, {peak} kB at most");
    // Twice what a store may hold.
    assert!(peak < 160 * 1024, "{peak} kB");
    killed(relay);
    // A pipe in place of the log: whoever opens it stands still.
    std::fs::remove_file(&log).expect("a log");
    assert!(common::output(Command::new("mkfifo").arg(&log)).status.success());
    let (began, mut relay) = (std::time::Instant::now(), f.site.start());
    relay.until_ready();
    let took = began.elapsed();
    println!("a disk that stands still: ready after {took:?}");
    assert!(took < WAIT, "{took:?}");
    assert_eq!(sessions(f.site.listen, 30), 30);
    relay.signal("TERM");
    until("it ends", || relay.has_ended());
    assert!(relay.child.wait().expect("a child").success());
}
