//! Membership of several relay processes that are killed, stalled, replaced and restarted, and that receive
//! unexpected traffic at their membership port. The tests check each relay's final view (its status of all
//! members) and metrics: `fleet_buried` counts members that this relay declared dead, `fleet_accused`
//! suspicions that started with its failed probes, `fleet_late` timer expiries that show a stall of its
//! process, and `fleet_refuted` suspicions of this relay that it refuted.
mod common;

use common::{free_address, wait_until, Client, RelayConfig, RelayProcess};
use hallrelay_membership::status::{MemberStatus, Status};
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;

/// Relays of one fleet, each with its own configuration and membership address.
struct Fleet {
    configs: Vec<RelayConfig>,
    addresses: Vec<SocketAddr>,
    relays: Vec<RelayProcess>,
}

impl Fleet {
    /// Starts a fleet in which each relay's peer list contains the addresses of all relays.
    fn start(name: &str, count: usize) -> Fleet {
        let addresses: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let peers = json!(addresses.iter().map(ToString::to_string).collect::<Vec<_>>());
        Fleet::with_peers(name, addresses, &peers)
    }

    fn with_peers(name: &str, addresses: Vec<SocketAddr>, peers: &Value) -> Fleet {
        let config = |(i, address): (usize, &SocketAddr)| {
            let mut config = RelayConfig::new(&format!("fleet-{name}-{i}"));
            config.json["name"] = json!(format!("r{i}"));
            config.json["settings"]["Instances"] = json!(addresses.len());
            config.json["settings"]["SlotNo"] = json!(i);
            config.json["fleet"] = json!({"name": name, "listen": address.to_string(), "peers": peers});
            config
        };
        let mut configs: Vec<RelayConfig> = addresses.iter().enumerate().map(config).collect();
        let relays = configs.iter_mut().map(RelayConfig::start).collect();
        Fleet { configs, addresses, relays }
    }

    /// Waits until each running relay can reach the complete fleet.
    fn wait_until_complete(&self) {
        for relay in &self.relays {
            wait_until("each relay has a complete view", || status(relay).is_some_and(|s| s.is_whole()));
        }
    }
}

/// Response to `GET /v1/fleet`; none if the relay does not answer with status 200.
fn status(relay: &RelayProcess) -> Option<Status> {
    std::net::TcpStream::connect(relay.operator_address).ok()?;
    let (code, text) = relay.request("GET", "/v1/fleet");
    (code == 200).then(|| serde_json::from_str(text.split("\r\n\r\n").nth(1)?).ok())?
}

/// Returns a relay's view of a member.
fn member(relay: &RelayProcess, name: &str) -> Option<MemberStatus> {
    status(relay)?.members.into_iter().find(|m| m.name == name)
}

fn member_state(relay: &RelayProcess, name: &str) -> String {
    member(relay, name).map_or("unknown".to_string(), |m| m.state)
}

/// Runs `hallrelay fleet status`; returns its exit status and stdout.
fn run_status_command(operator_address: SocketAddr, arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
    let output = common::run_to_end(
        command.args(["fleet", "status", "--at", &operator_address.to_string()]).args(arguments),
    );
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

#[test]
fn killed_relay_is_reported_and_returns_with_later_start() {
    let mut fleet = Fleet::start("killed", 3);
    fleet.wait_until_complete();
    let (code, text) = run_status_command(fleet.relays[0].operator_address, &[]);
    assert_eq!(code, Some(0), "{text}");
    let summary = "as seen by r0: whole; 3 of 3 configured relays are reachable";
    assert!(text.contains(summary) && text.contains("r2 "), "{text}");
    let first = member(&fleet.relays[0], "r2").expect("the member is known");
    assert_eq!((first.lifecycle.as_str(), first.version.as_str()), ("serving", env!("CARGO_PKG_VERSION")));
    assert_eq!(
        first.settings_digest,
        status(&fleet.relays[0]).expect("the relay reports its status").members[0].settings_digest
    );

    fleet.relays.pop().expect("the fleet has three relays");
    for relay in &fleet.relays {
        wait_until("the killed relay is gone", || member_state(relay, "r2") == "gone");
    }
    let (code, text) = run_status_command(fleet.relays[0].operator_address, &["--json"]);
    let reported: Status = serde_json::from_str(&text).expect("parse the status");
    assert_eq!((code, reported.view.as_str(), reported.reachable_relays), (Some(1), "parts missing", 2));

    let restarted = fleet.configs[2].start();
    fleet.relays.push(restarted);
    fleet.wait_until_complete();
    let last = member(&fleet.relays[0], "r2").expect("the member is known");
    assert!(
        last.start > first.start,
        "start {} must be after the killed process's {}",
        last.start,
        first.start
    );
    let unreachable = run_status_command(free_address(), &[]);
    assert_eq!(
        unreachable,
        (Some(2), String::new()),
        "an unused address must give exit status 2 and no output"
    );
}

#[test]
fn leaving_relay_is_not_suspected_and_drain_is_gossiped() {
    let mut fleet = Fleet::start("leaves", 3);
    fleet.wait_until_complete();
    assert_eq!(fleet.relays[1].request("POST", "/v1/relay/drain").0, 200);
    for relay in &fleet.relays {
        wait_until("the drain is gossiped", || {
            member(relay, "r1").is_some_and(|m| m.lifecycle == "draining")
        });
    }
    fleet.relays[2].signal("TERM");
    let mut leaving = fleet.relays.pop().expect("the fleet has three relays");
    wait_until("the leaving relay exits", || leaving.has_exited());
    for relay in &fleet.relays {
        wait_until("the relay has left", || member_state(relay, "r2") == "left");
        assert_eq!(relay.metric("fleet_buried"), Some(0));
    }
}

/// A stalled relay resumes when the replies to all its probes are overdue. It must not suspect any member
/// because of these overdue replies, and it refutes the other members' report that it is dead.
#[test]
fn stalled_relay_resumes_without_suspecting_other_members() {
    let fleet = Fleet::start("stalls", 4);
    fleet.wait_until_complete();
    fleet.relays[3].signal("STOP");
    for relay in &fleet.relays[..3] {
        wait_until("the stalled relay is gone", || member_state(relay, "r3") == "gone");
    }
    let before = fleet.relays[3].metric("fleet_accused");
    assert_eq!(before, None, "a stalled process must not answer");
    fleet.relays[3].signal("CONT");
    fleet.wait_until_complete();
    let resumed = &fleet.relays[3];
    assert_eq!(resumed.metric("fleet_buried"), Some(0));
    let (stalls, refutations) = (resumed.metric("fleet_late"), resumed.metric("fleet_refuted"));
    assert!(
        stalls.is_some_and(|n| n > 0) && refutations > Some(0),
        "the resumed relay must count a stall and a refutation: {stalls:?}, {refutations:?}"
    );
}

#[test]
fn replaced_process_is_the_same_member() {
    let mut fleet = Fleet::start("replaced", 3);
    fleet.wait_until_complete();
    let first = member(&fleet.relays[0], "r1").expect("the member is known");
    for _ in 0..3 {
        let new = fleet.configs[1].start();
        new.wait_until_ready();
        let mut old = std::mem::replace(&mut fleet.relays[1], new);
        wait_until("the old process is silent", || status(&old).is_some_and(|s| s.view == "silent"));
        fleet.wait_until_complete();
        old.signal("TERM");
        wait_until("the old process exits", || old.has_exited());
    }
    // The new process is killed: the old process resumes its membership.
    let mut new = fleet.configs[1].start();
    new.wait_until_ready();
    new.child.kill().expect("kill the relay process");
    wait_until("the old process has a complete view", || {
        status(&fleet.relays[1]).is_some_and(|s| s.is_whole())
    });
    let last = member(&fleet.relays[0], "r1").expect("the member is known");
    assert_eq!((last.start, last.state.as_str()), (first.start, "alive"));
    assert!(last.since_ms >= first.since_ms, "the member's state must not have changed meanwhile");
    for other in [0, 2] {
        assert_eq!(fleet.relays[other].metric("fleet_buried"), Some(0));
    }
}

/// The peer list contains useless seeds: a relay's own address, an unused port, a relay of another fleet, and
/// later a killed relay.
#[test]
fn fleet_forms_despite_faulty_seeds_and_another_fleet() {
    let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let other = Fleet::start("other", 1);
    // A seed is an address of `peers`. The only useful one is the address of the relay that is started last.
    let peers = json!([addresses[2].to_string(), free_address().to_string(), other.addresses[0].to_string()]);
    let mut fleet = Fleet::with_peers("seeds", addresses, &peers);
    fleet.wait_until_complete();
    let status_of_other = status(&other.relays[0]);
    assert!(
        status_of_other.as_ref().is_some_and(|s| s.is_whole() && s.members.len() == 1),
        "the other fleet must have only its own relay: {status_of_other:?}"
    );
    wait_until("packets of the other fleet are counted as dropped", || {
        other.relays[0].metric("fleet_dropped.other_fleet") > Some(0)
    });
    // Members that know each other need no seed.
    drop(fleet.relays.pop());
    for relay in &fleet.relays {
        wait_until("the seed is gone", || member_state(relay, "r2") == "gone");
        assert_eq!(
            member_state(
                relay,
                if relay.operator_address == fleet.relays[0].operator_address { "r1" } else { "r0" }
            ),
            "alive"
        );
    }
    // A reload applies a new peer list, but not a new fleet name.
    let relay = &fleet.relays[0];
    let mut text: Value =
        serde_json::from_slice(&std::fs::read(&relay.config_path).expect("read the configuration file"))
            .expect("parse it as JSON");
    text["fleet"]["peers"] = json!([]);
    text["fleet"]["name"] = json!("renamed");
    std::fs::write(&relay.config_path, text.to_string()).expect("write the configuration file");
    relay.signal("HUP");
    wait_until("the configuration is reloaded", || relay.metric("loads") == Some(1));
    assert_eq!(status(relay).expect("the relay reports its status").fleet, "seeds");
}

/// Two processes have the same name at two addresses: both report the conflict, neither exits, and the
/// process started later holds the name.
#[test]
fn two_relays_with_one_name_report_the_conflict() {
    let mut fleet = Fleet::start("twins", 2);
    fleet.wait_until_complete();
    let mut config = RelayConfig::new("fleet-twins-again");
    config.json = fleet.configs[1].json.clone();
    config.json["listen"] = json!(free_address().to_string());
    let address = free_address();
    config.json["fleet"]["listen"] = json!(address.to_string());
    let mut later = config.start();
    wait_until("the later process is ready", || later.is_ready());
    wait_until("the later process holds the name", || {
        member(&fleet.relays[0], "r1").is_some_and(|m| m.addr == address.to_string())
    });
    wait_until("the first process reports the conflict", || {
        status(&fleet.relays[1])
            .and_then(|s| s.name_conflict)
            .is_some_and(|t| t.holds_name && t.addr == address.to_string())
    });
    wait_until("the later process reports the conflict", || {
        status(&later)
            .and_then(|s| s.name_conflict)
            .is_some_and(|t| !t.holds_name && t.addr == fleet.addresses[1].to_string())
    });
    assert!(!later.has_exited() && !fleet.relays[1].has_exited(), "neither process may exit");
    assert!(run_status_command(fleet.relays[1].operator_address, &[])
        .1
        .contains("has the same name; that relay holds the name"));
}

/// Malformed datagrams flood the membership port while clients are served.
#[test]
fn malformed_packets_are_counted_while_clients_are_served() {
    let fleet = Fleet::start("garbage", 2);
    fleet.wait_until_complete();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a loopback port");
    let mut damaged = vec![1, 0, 0, 0, 0];
    damaged.extend([7; 300]);
    let datagrams = [vec![9; 40], vec![], vec![1; 1400], damaged];
    let listen_address = fleet.configs[0].listen_address;
    let mut client = Client::open(listen_address, "low").expect("open a session");
    for round in 0..40 {
        for _ in 0..250 {
            datagrams.iter().for_each(|bytes| _ = socket.send_to(bytes, fleet.addresses[0]));
        }
        assert!(client.echoes(), "round {round}");
        assert!(Client::open(listen_address, "low").expect("open a session").echoes(), "round {round}");
    }
    // A malformed stream is closed, and the relay does not wait for a frame with an excessive length.
    for bytes in [&[0xff_u8; 64][..], &[0, 0, 0, 4, 1, 2, 3, 4], b"GET / HTTP/1.1\r\n\r\n"] {
        use std::io::{Read, Write};
        let mut stream =
            std::net::TcpStream::connect(fleet.addresses[0]).expect("connect to the membership port");
        _ = stream.write_all(bytes);
        let read = stream.read(&mut [0; 8]);
        assert!(matches!(read, Ok(0) | Err(_)), "{bytes:?} must not be answered: {read:?}");
    }
    wait_until("dropped packets are counted", || {
        let dropped = |reason: &str| fleet.relays[0].metric(&format!("fleet_dropped.{reason}")).unwrap_or(0);
        dropped("damaged") > 100 && dropped("version") > 100
    });
    fleet.wait_until_complete();
}

#[test]
fn missing_fleet_is_reported_and_invalid_keys_are_named() {
    let (mut config, relay) = RelayConfig::start_ready("fleet-off");
    assert_eq!(relay.request("GET", "/v1/fleet").0, 404);
    assert_eq!(relay.metric("fleet_alive"), None);
    let (code, text) = run_status_command(relay.operator_address, &[]);
    assert_eq!((code, text.as_str()), (Some(2), ""));
    let valid_fleet = json!({"name": "f", "listen": "127.0.0.1:9", "peers": []});
    let with = |key: &str, value: Value| {
        let mut fleet = valid_fleet.clone();
        fleet[key] = value;
        fleet
    };
    let cases = [
        (with("peers", json!(["nowhere"])), "fleet.peers[0] is \"nowhere\", wanted an address with a port"),
        (with("listen", json!(7)), "fleet.listen is 7, wanted a string"),
        (with("listen", json!("0.0.0.0:9")), "at which other relays reach this one"),
        (with("name", json!("")), "fleet.name is \"\", wanted a name of 1 to 64 bytes"),
        (with("seeds", json!([])), "fleet.seeds is an unknown key, wanted one of"),
        (json!([]), "fleet is [], wanted a table"),
        (json!({"name": "f", "listen": "127.0.0.1:9"}), "fleet.peers is missing"),
    ];
    let check = |text: &Value| {
        let path = config.directory.join("faulty.json");
        std::fs::write(&path, text.to_string()).expect("write the configuration file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
        let output = common::run_to_end(command.arg("check").arg("--config").arg(&path));
        (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    for (fleet, wanted) in cases {
        let mut text = config.json.clone();
        text["fleet"] = fleet;
        let (valid, why) = check(&text);
        assert!(!valid && why.contains(wanted), "{wanted}: {why}");
    }
    config.json["fleet"] = valid_fleet;
    let (valid, why) = check(&config.json);
    assert!(valid, "{why}");
    config.json["settings"]["Ceilings"]["PeerMessages"] = json!(false);
    let (valid, why) = check(&config.json);
    assert!(!valid && why.contains("fleet is given, but settings.Ceilings.PeerMessages is false"), "{why}");
}
