//! Several processes of the program that know each other, killed, stalled, replaced, restarted, and what is
//! at their port that should not be. Verdicts are by what each believes in the end, and by counts.
mod common;

use common::{free, until, Client, Relay, Site};
use hallrelay_membership::status::{MemberStatus, Status};
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;

/// Relays of one fleet, each with a site of its own; the first `seeds` of them are in everybody's list.
struct Fleet {
    sites: Vec<Site>,
    places: Vec<SocketAddr>,
    relays: Vec<Relay>,
}

impl Fleet {
    fn started(name: &str, count: usize) -> Fleet {
        let places: Vec<SocketAddr> = (0..count).map(|_| free()).collect();
        let peers = json!(places.iter().map(ToString::to_string).collect::<Vec<_>>());
        Fleet::with_peers(name, places, &peers)
    }

    fn with_peers(name: &str, places: Vec<SocketAddr>, peers: &Value) -> Fleet {
        let site = |(i, place): (usize, &SocketAddr)| {
            let mut site = Site::new(&format!("fleet-{name}-{i}"));
            site.text["name"] = json!(format!("r{i}"));
            site.text["settings"]["Instances"] = json!(places.len());
            site.text["settings"]["SlotNo"] = json!(i);
            site.text["fleet"] = json!({"name": name, "listen": place.to_string(), "peers": peers});
            site
        };
        let mut sites: Vec<Site> = places.iter().enumerate().map(site).collect();
        let relays = sites.iter_mut().map(Site::start).collect();
        Fleet { sites, places, relays }
    }

    /// The relays that still run all believe that the fleet is whole.
    fn until_whole(&self) {
        for relay in &self.relays {
            until("all see all", || status(relay).is_some_and(|s| s.is_whole()));
        }
    }
}

fn status(relay: &Relay) -> Option<Status> {
    std::net::TcpStream::connect(relay.operator).ok()?;
    let (code, text) = relay.call("GET", "/v1/fleet");
    (code == 200).then(|| serde_json::from_str(text.split("\r\n\r\n").nth(1)?).ok())?
}

fn of(relay: &Relay, name: &str) -> Option<MemberStatus> {
    status(relay)?.members.into_iter().find(|m| m.name == name)
}

fn state(relay: &Relay, name: &str) -> String {
    of(relay, name).map_or("unknown".to_string(), |m| m.state)
}

/// The command's exit status and what it prints.
fn said(at: SocketAddr, more: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
    let output = common::output(command.args(["fleet", "status", "--at", &at.to_string()]).args(more));
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn one_is_killed_and_told_and_returns_under_a_later_start() {
    let mut fleet = Fleet::started("killed", 3);
    fleet.until_whole();
    let (code, text) = said(fleet.relays[0].operator, &[]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("as r0 believes: whole; it hears 3 of 3") && text.contains("r2 "), "{text}");
    let first = of(&fleet.relays[0], "r2").expect("a member");
    assert_eq!((first.lifecycle.as_str(), first.version.as_str()), ("serving", env!("CARGO_PKG_VERSION")));
    assert_eq!(first.settings_digest, status(&fleet.relays[0]).expect("a status").members[0].settings_digest);

    fleet.relays.pop().expect("three");
    for relay in &fleet.relays {
        until("the dead one is gone", || state(relay, "r2") == "gone");
    }
    let (code, text) = said(fleet.relays[0].operator, &["--json"]);
    let told: Status = serde_json::from_str(&text).expect("a status");
    assert_eq!((code, told.view.as_str(), told.reachable_relays), (Some(1), "parts missing", 2));

    let again = fleet.sites[2].start();
    fleet.relays.push(again);
    fleet.until_whole();
    assert!(of(&fleet.relays[0], "r2").expect("a member").start > first.start);
    let gone = said(free(), &[]);
    assert_eq!(gone, (Some(2), String::new()), "nobody answers there");
}

#[test]
fn who_leaves_on_purpose_is_accused_by_nobody_and_a_drain_is_told() {
    let mut fleet = Fleet::started("leaves", 3);
    fleet.until_whole();
    assert_eq!(fleet.relays[1].call("POST", "/v1/relay/drain").0, 200);
    for relay in &fleet.relays {
        until("the drain is told", || of(relay, "r1").is_some_and(|m| m.lifecycle == "draining"));
    }
    fleet.relays[2].signal("TERM");
    let mut leaving = fleet.relays.pop().expect("three");
    until("it ends", || leaving.has_ended());
    for relay in &fleet.relays {
        until("its word is out", || state(relay, "r2") == "left");
        assert_eq!(relay.figure("fleet_buried"), Some(0));
    }
}

/// A stalled process wakes with all its answers missed: it accuses nobody of that, and says that it is back.
#[test]
fn a_stalled_relay_wakes_and_accuses_nobody() {
    let fleet = Fleet::started("stalls", 4);
    fleet.until_whole();
    fleet.relays[3].signal("STOP");
    for relay in &fleet.relays[..3] {
        until("it is gone", || state(relay, "r3") == "gone");
    }
    let before = fleet.relays[3].figure("fleet_accused");
    assert_eq!(before, None, "a stalled process answers nobody");
    fleet.relays[3].signal("CONT");
    fleet.until_whole();
    let woken = &fleet.relays[3];
    assert_eq!(woken.figure("fleet_buried"), Some(0));
    assert!(woken.figure("fleet_late").is_some_and(|n| n > 0) && woken.figure("fleet_refuted") > Some(0));
}

#[test]
fn a_replaced_process_is_the_same_member() {
    let mut fleet = Fleet::started("replaced", 3);
    fleet.until_whole();
    let first = of(&fleet.relays[0], "r1").expect("a member");
    for _ in 0..3 {
        let new = fleet.sites[1].start();
        new.until_ready();
        let mut old = std::mem::replace(&mut fleet.relays[1], new);
        until("the old one is silent", || status(&old).is_some_and(|s| s.view == "silent"));
        fleet.until_whole();
        old.signal("TERM");
        until("the old one leaves", || old.has_ended());
    }
    // A new process that dies: the old one speaks again.
    let mut new = fleet.sites[1].start();
    new.until_ready();
    new.child.kill().expect("it lives");
    until("the old one speaks", || status(&fleet.relays[1]).is_some_and(|s| s.is_whole()));
    let last = of(&fleet.relays[0], "r1").expect("a member");
    assert_eq!((last.start, last.state.as_str()), (first.start, "alive"));
    assert!(last.since_ms >= first.since_ms, "it was never anything else meanwhile");
    for other in [0, 2] {
        assert_eq!(fleet.relays[other].figure("fleet_buried"), Some(0));
    }
}

/// Seeds that do not help: its own address, a port at which nobody is, another fleet's relay, a dead one.
#[test]
fn faulty_seeds_and_another_fleet_do_no_harm() {
    let places: Vec<SocketAddr> = (0..3).map(|_| free()).collect();
    let other = Fleet::started("other", 1);
    // The only one who is everybody's seed starts last.
    let peers = json!([places[2].to_string(), free().to_string(), other.places[0].to_string()]);
    let mut fleet = Fleet::with_peers("seeds", places, &peers);
    fleet.until_whole();
    assert!(status(&other.relays[0]).is_some_and(|s| s.is_whole() && s.members.len() == 1));
    until("it is counted", || other.relays[0].figure("fleet_dropped.other_fleet") > Some(0));
    // Once met, the others need no seed.
    drop(fleet.relays.pop());
    for relay in &fleet.relays {
        until("the seed is gone", || state(relay, "r2") == "gone");
        assert_eq!(
            state(relay, if relay.operator == fleet.relays[0].operator { "r1" } else { "r0" }),
            "alive"
        );
    }
    // A new list of peers holds at SIGHUP; the fleet's name does not.
    let relay = &fleet.relays[0];
    let mut text: Value = serde_json::from_slice(&std::fs::read(&relay.path).expect("a file")).expect("JSON");
    text["fleet"]["peers"] = json!([]);
    text["fleet"]["name"] = json!("renamed");
    std::fs::write(&relay.path, text.to_string()).expect("a file");
    relay.signal("HUP");
    until("it is read", || relay.figure("loads") == Some(1));
    assert_eq!(status(relay).expect("a status").fleet, "seeds");
}

/// Two processes with one name at two addresses: both are told, neither ends, the later start holds.
#[test]
fn two_of_one_name() {
    let mut fleet = Fleet::started("twins", 2);
    fleet.until_whole();
    let mut site = Site::new("fleet-twins-again");
    site.text = fleet.sites[1].text.clone();
    site.text["listen"] = json!(free().to_string());
    let place = free();
    site.text["fleet"]["listen"] = json!(place.to_string());
    let mut later = site.start();
    until("it serves", || later.ready());
    until("the later one holds", || of(&fleet.relays[0], "r1").is_some_and(|m| m.addr == place.to_string()));
    until("the first is told", || {
        status(&fleet.relays[1])
            .and_then(|s| s.name_conflict)
            .is_some_and(|t| t.holds_name && t.addr == place.to_string())
    });
    until("the later is told", || {
        status(&later)
            .and_then(|s| s.name_conflict)
            .is_some_and(|t| !t.holds_name && t.addr == fleet.places[1].to_string())
    });
    assert!(!later.has_ended() && !fleet.relays[1].has_ended());
    assert!(said(fleet.relays[1].operator, &[]).1.contains("has this one's name; that one holds the name"));
}

/// A flood of garbage at the fleet's port, while clients are there.
#[test]
fn garbage_is_dropped_and_counted_and_clients_are_served() {
    let fleet = Fleet::started("garbage", 2);
    fleet.until_whole();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut sound = vec![1, 0, 0, 0, 0];
    sound.extend([7; 300]);
    let others = [vec![9; 40], vec![], vec![1; 1400], sound];
    let listen = fleet.sites[0].listen;
    let mut client = Client::open(listen, "low").expect("a session");
    for round in 0..40 {
        for _ in 0..250 {
            others.iter().for_each(|bytes| _ = socket.send_to(bytes, fleet.places[0]));
        }
        assert!(client.echoes(), "round {round}");
        assert!(Client::open(listen, "low").expect("a session").echoes(), "round {round}");
    }
    // A stream that says nothing of use ends, and a huge frame is not waited for.
    for bytes in [&[0xff_u8; 64][..], &[0, 0, 0, 4, 1, 2, 3, 4], b"GET / HTTP/1.1\r\n\r\n"] {
        use std::io::{Read, Write};
        let mut stream = std::net::TcpStream::connect(fleet.places[0]).expect("it listens");
        _ = stream.write_all(bytes);
        assert!(matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_)));
    }
    until("it is counted", || {
        let n = |what: &str| fleet.relays[0].figure(&format!("fleet_dropped.{what}")).unwrap_or(0);
        n("damaged") > 100 && n("version") > 100
    });
    fleet.until_whole();
}

#[test]
fn a_relay_without_a_fleet_says_so_and_faulty_keys_are_named() {
    let (mut site, relay) = Site::served("fleet-off");
    assert_eq!(relay.call("GET", "/v1/fleet").0, 404);
    assert_eq!(relay.figure("fleet_alive"), None);
    let (code, text) = said(relay.operator, &[]);
    assert_eq!((code, text.as_str()), (Some(2), ""));
    let sound = json!({"name": "f", "listen": "127.0.0.1:9", "peers": []});
    let with = |key: &str, value: Value| {
        let mut fleet = sound.clone();
        fleet[key] = value;
        fleet
    };
    let cases = [
        (with("peers", json!(["nowhere"])), "fleet.peers[0] is \"nowhere\", wanted an address with a port"),
        (with("listen", json!(7)), "fleet.listen is 7, wanted a text"),
        (with("listen", json!("0.0.0.0:9")), "at which others reach this relay"),
        (with("name", json!("")), "fleet.name is \"\", wanted a name of 1 to 64 bytes"),
        (with("seeds", json!([])), "fleet.seeds is no key, wanted one of"),
        (json!([]), "fleet is [], wanted a table"),
        (json!({"name": "f", "listen": "127.0.0.1:9"}), "fleet.peers is missing"),
    ];
    let check = |text: &Value| {
        let path = site.folder.join("faulty.json");
        std::fs::write(&path, text.to_string()).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
        let output = common::output(command.arg("check").arg("--config").arg(&path));
        (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    for (fleet, wanted) in cases {
        let mut text = site.text.clone();
        text["fleet"] = fleet;
        let (well, why) = check(&text);
        assert!(!well && why.contains(wanted), "{wanted}: {why}");
    }
    site.text["fleet"] = sound;
    assert!(check(&site.text).0);
    site.text["settings"]["Ceilings"]["PeerMessages"] = json!(false);
    let (well, why) = check(&site.text);
    assert!(!well && why.contains("fleet is given, and settings.Ceilings.PeerMessages is false"), "{why}");
}
