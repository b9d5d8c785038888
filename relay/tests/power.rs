//! A whole fleet loses power twice: all relays are killed together, discovery is unavailable, one store is
//! damaged and one relay is partitioned. The second loss comes before recovery from the first is complete.
//! Checked by the sessions that reach a backend that drains.
mod common;

use common::discovery::{endpoint, Discovery};
use common::{free_address, wait_until, Client, CountingBackend, RelayConfig, RelayProcess};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const RELAYS: usize = 6;
/// The relay whose store is damaged, and the one that is partitioned.
const DAMAGED: usize = 1;
const PARTITIONED: usize = 2;

struct Fleet {
    configs: Vec<RelayConfig>,
    states: Vec<PathBuf>,
    relays: Vec<Option<RelayProcess>>,
    servers: [CountingBackend; 3],
    discovery: Discovery,
}

/// Configures all relays and starts their backends and discovery, without starting any relay.
fn prepare_fleet() -> Fleet {
    let servers = [CountingBackend::start(), CountingBackend::start(), CountingBackend::start()];
    let discovery = Discovery::start(endpoints(&servers, "up"));
    let addresses: Vec<String> = (0..RELAYS).map(|_| free_address().to_string()).collect();
    let config = |i: usize| {
        let mut config = RelayConfig::new(&format!("power-{i}"));
        config.json["name"] = json!(format!("r{i}"));
        config.json["discovery"] = json!(discovery.address.to_string());
        config.json["known"] =
            json!({"generation": 1, "reset": true, "instances": endpoints(&servers, "up")});
        config.json["settings"]["Instances"] = json!(RELAYS);
        config.json["settings"]["SlotNo"] = json!(i);
        config.json["state"] = json!(config.directory.join("state"));
        config.json["fleet"] = json!({"name": "power", "listen": addresses[i], "peers": addresses});
        config
    };
    let configs: Vec<RelayConfig> = (0..RELAYS).map(config).collect();
    let states = configs.iter().map(|config| config.directory.join("state")).collect();
    Fleet { configs, states, relays: (0..RELAYS).map(|_| None).collect(), servers, discovery }
}

/// The endpoint list with the given lifecycle for the first backend and `up` for the others.
fn endpoints(servers: &[CountingBackend; 3], first: &str) -> Vec<Value> {
    let lifecycle = |i: usize| if i == 0 { first } else { "up" };
    servers.iter().enumerate().map(|(i, at)| endpoint(&format!("b-{i}"), at, lifecycle(i), 0)).collect()
}

impl Fleet {
    fn start(&mut self, i: usize) {
        self.relays[i] = Some(self.configs[i].start());
    }

    fn relay(&self, i: usize) -> &RelayProcess {
        self.relays[i].as_ref().expect("it runs")
    }

    /// Kills all relays at once, as a power loss does.
    fn kill_all(&mut self) {
        for relay in self.relays.iter_mut().flatten() {
            relay.child.kill().expect("it lives");
        }
        self.relays.iter_mut().for_each(|relay| *relay = None);
    }

    fn store_contains(&self, i: usize, text: &str) -> bool {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_hallrelay"));
        let output = common::run_to_end(command.args(["store", "export"]).arg(&self.states[i]));
        String::from_utf8_lossy(&output.stdout).contains(text)
    }

    /// Opens sessions at a relay and closes each at once; returns how many were established.
    fn open_sessions(&self, i: usize, count: usize) -> usize {
        (0..count).filter(|_| Client::open(self.configs[i].listen_address, "low").is_ok()).count()
    }
}

#[test]
fn a_drain_outlives_two_power_losses_a_damaged_store_and_a_partition() {
    let mut fleet = prepare_fleet();
    (0..RELAYS).for_each(|i| fleet.start(i));
    (0..RELAYS).for_each(|i| fleet.relay(i).wait_until_ready());
    fleet.discovery.publish(endpoints(&fleet.servers, "draining"));
    wait_until("all keep it", || (0..RELAYS).all(|i| fleet.store_contains(i, "\"draining\"")));
    let open_sessions: Vec<Client> = (0..RELAYS)
        .map(|i| Client::open(fleet.configs[i].listen_address, "once").expect("it serves"))
        .collect();
    fleet.kill_all();
    fleet.discovery.stop_answering();
    drop(open_sessions);
    // Damage this relay's log from its first record on.
    let log = fleet.states[DAMAGED].join("log");
    let mut bytes = std::fs::read(&log).expect("a log");
    let from = bytes.len().min(24);
    bytes[from..].iter_mut().for_each(|byte| *byte ^= 0x55);
    std::fs::write(&log, &bytes).expect("a log");
    assert!(!fleet.store_contains(DAMAGED, "\"draining\""));
    // Partition this relay: it has no peers, and no peer can reach it.
    let nowhere = free_address().to_string();
    fleet.configs[PARTITIONED].json["fleet"] =
        json!({"name": "power", "listen": nowhere, "peers": [nowhere]});
    let before = fleet.servers[0].opened();

    // Power fails again when half of them are back; then all start, one after another.
    (0..RELAYS / 2).for_each(|i| fleet.start(i));
    fleet.relay(0).wait_until_ready();
    assert_eq!(fleet.open_sessions(0, 10), 10);
    fleet.kill_all();
    let started_at = Instant::now();
    for i in (0..RELAYS).rev() {
        fleet.start(i);
        std::thread::sleep(Duration::from_millis(60));
    }
    for i in (0..RELAYS).filter(|i| *i != DAMAGED) {
        fleet.relay(i).wait_until_ready();
        assert_eq!(fleet.open_sessions(i, 20), 20, "r{i} serves");
    }
    assert_eq!(fleet.servers[0].opened(), before, "nothing new to one that drains, by what was kept");
    println!("five of {RELAYS} serve {:?} after power is back", started_at.elapsed());
    // The relay with the damaged store relies on the lists of its peers.
    fleet.relay(DAMAGED).wait_until_ready();
    wait_until("it asked the others", || fleet.relay(DAMAGED).metric("fleet_hearsay") > Some(0));
    println!("the damaged one has the others' word after {:?}", started_at.elapsed());
    let before = fleet.servers[0].opened();
    assert_eq!(fleet.open_sessions(DAMAGED, 40), 40);
    assert_eq!(fleet.servers[0].opened(), before, "nothing new to one that drains, by the others' word");
    assert_eq!(fleet.relay(DAMAGED).metric("store_failing"), Some(0), "its store is of use again");

    // Discovery is back, and its list lets all relays use the backend, the partitioned one too.
    fleet.discovery.restart_at(9);
    fleet.discovery.publish(endpoints(&fleet.servers, "up"));
    for i in 0..RELAYS {
        wait_until("it is dialled again", || {
            let before = fleet.servers[0].opened();
            assert_eq!(fleet.open_sessions(i, 5), 5);
            fleet.servers[0].opened() > before
        });
    }
}
