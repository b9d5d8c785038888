//! All relays of a fleet lose power twice: they are killed together while discovery is unavailable, one store
//! is damaged and one relay is partitioned. The second loss occurs before recovery from the first is
//! complete. The test checks the sessions that reach a draining backend.
mod common;

use common::discovery::{endpoint, Discovery};
use common::{free_address, wait_until, Client, CountingBackend, RelayConfig, RelayProcess};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const RELAYS: usize = 6;
/// Index of the relay whose store is damaged.
const DAMAGED: usize = 1;
/// Index of the relay that is partitioned.
const PARTITIONED: usize = 2;

struct Fleet {
    configs: Vec<RelayConfig>,
    states: Vec<PathBuf>,
    relays: Vec<Option<RelayProcess>>,
    backends: [CountingBackend; 3],
    discovery: Discovery,
}

/// Configures all relays and starts their backends and discovery, but no relay.
fn prepare_fleet() -> Fleet {
    let backends = [CountingBackend::start(), CountingBackend::start(), CountingBackend::start()];
    let discovery = Discovery::start(endpoints(&backends, "up"));
    let addresses: Vec<String> = (0..RELAYS).map(|_| free_address().to_string()).collect();
    let config = |i: usize| {
        let mut config = RelayConfig::new(&format!("power-{i}"));
        config.json["name"] = json!(format!("r{i}"));
        config.json["discovery"] = json!(discovery.address.to_string());
        config.json["known"] =
            json!({"generation": 1, "reset": true, "instances": endpoints(&backends, "up")});
        config.json["settings"]["Instances"] = json!(RELAYS);
        config.json["settings"]["SlotNo"] = json!(i);
        config.json["state"] = json!(config.directory.join("state"));
        config.json["fleet"] = json!({"name": "power", "listen": addresses[i], "peers": addresses});
        config
    };
    let configs: Vec<RelayConfig> = (0..RELAYS).map(config).collect();
    let states = configs.iter().map(|config| config.directory.join("state")).collect();
    Fleet { configs, states, relays: (0..RELAYS).map(|_| None).collect(), backends, discovery }
}

/// Returns the endpoint list with the given lifecycle for the first backend and `up` for the others.
fn endpoints(backends: &[CountingBackend; 3], first_lifecycle: &str) -> Vec<Value> {
    let lifecycle = |i: usize| if i == 0 { first_lifecycle } else { "up" };
    backends.iter().enumerate().map(|(i, b)| endpoint(&format!("b-{i}"), b, lifecycle(i), 0)).collect()
}

impl Fleet {
    fn start(&mut self, i: usize) {
        self.relays[i] = Some(self.configs[i].start());
    }

    fn relay(&self, i: usize) -> &RelayProcess {
        self.relays[i].as_ref().expect("the relay is running")
    }

    /// Kills all relays at the same time, as a power loss does.
    fn kill_all(&mut self) {
        for relay in self.relays.iter_mut().flatten() {
            relay.child.kill().expect("kill the relay process");
        }
        self.relays.iter_mut().for_each(|relay| *relay = None);
    }

    fn store_contains(&self, i: usize, text: &str) -> bool {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_hallrelay"));
        let output = common::run_to_end(command.args(["store", "export"]).arg(&self.states[i]));
        String::from_utf8_lossy(&output.stdout).contains(text)
    }

    /// Opens sessions at a relay and closes each immediately; returns how many were established.
    fn open_sessions(&self, i: usize, count: usize) -> usize {
        (0..count).filter(|_| Client::open(self.configs[i].listen_address, "low").is_ok()).count()
    }
}

#[test]
fn drain_is_kept_after_two_power_losses() {
    let mut fleet = prepare_fleet();
    (0..RELAYS).for_each(|i| fleet.start(i));
    (0..RELAYS).for_each(|i| fleet.relay(i).wait_until_ready());
    fleet.discovery.publish(endpoints(&fleet.backends, "draining"));
    wait_until("all relays have stored the drain", || {
        (0..RELAYS).all(|i| fleet.store_contains(i, "\"draining\""))
    });
    let open_sessions: Vec<Client> = (0..RELAYS)
        .map(|i| Client::open(fleet.configs[i].listen_address, "once").expect("open a session"))
        .collect();
    fleet.kill_all();
    fleet.discovery.stop_answering();
    drop(open_sessions);
    // Damage the log of this relay from its first record on.
    let log = fleet.states[DAMAGED].join("log");
    let mut bytes = std::fs::read(&log).expect("read the store's log");
    let from = bytes.len().min(24);
    bytes[from..].iter_mut().for_each(|byte| *byte ^= 0x55);
    std::fs::write(&log, &bytes).expect("write the damaged log");
    assert!(!fleet.store_contains(DAMAGED, "\"draining\""), "the damaged store must have lost the drain");
    // Partition this relay: it has no peers, and no peer can reach it.
    let unused_address = free_address().to_string();
    fleet.configs[PARTITIONED].json["fleet"] =
        json!({"name": "power", "listen": unused_address, "peers": [unused_address]});
    let before = fleet.backends[0].opened();

    // Power fails again when half of the relays have restarted; then all start one after another.
    (0..RELAYS / 2).for_each(|i| fleet.start(i));
    fleet.relay(0).wait_until_ready();
    assert_eq!(fleet.open_sessions(0, 10), 10, "r0 must serve all sessions");
    fleet.kill_all();
    let started_at = Instant::now();
    for i in (0..RELAYS).rev() {
        fleet.start(i);
        std::thread::sleep(Duration::from_millis(60));
    }
    for i in (0..RELAYS).filter(|i| *i != DAMAGED) {
        fleet.relay(i).wait_until_ready();
        assert_eq!(fleet.open_sessions(i, 20), 20, "r{i} must serve all sessions");
    }
    assert_eq!(
        fleet.backends[0].opened(),
        before,
        "the stores must keep sessions away from the draining backend"
    );
    println!("five of {RELAYS} relays serve {:?} after power is restored", started_at.elapsed());
    // The relay with the damaged store depends on the lists of its peers.
    fleet.relay(DAMAGED).wait_until_ready();
    // The metric `fleet_hearsay` counts the accepted lists of peers.
    wait_until("the relay with the damaged store has accepted a peer's list", || {
        fleet.relay(DAMAGED).metric("fleet_hearsay") > Some(0)
    });
    println!("the relay with the damaged store has a peer's list after {:?}", started_at.elapsed());
    let before = fleet.backends[0].opened();
    assert_eq!(fleet.open_sessions(DAMAGED, 40), 40, "r{DAMAGED} must serve all sessions");
    assert_eq!(
        fleet.backends[0].opened(),
        before,
        "a peer's list must keep sessions away from the draining backend"
    );
    assert_eq!(
        fleet.relay(DAMAGED).metric("store_failing"),
        Some(0),
        "the damaged store must be usable again"
    );

    // Discovery is available again. With its list all relays, including the partitioned one, use the backend.
    fleet.discovery.restart_at(9);
    fleet.discovery.publish(endpoints(&fleet.backends, "up"));
    for i in 0..RELAYS {
        wait_until("the relay dials the backend again", || {
            let before = fleet.backends[0].opened();
            assert_eq!(fleet.open_sessions(i, 5), 5, "r{i} must serve all sessions");
            fleet.backends[0].opened() > before
        });
    }
}
