//! The whole fleet loses power, twice: relays killed outright together, the list service dark, one store
//! damaged, one relay's links cut, all back one after another and before the first are done. Verdict by what
//! reaches a backend that all were told to leave.
mod common;

use common::discovery::{instance, Discovery};
use common::{free, until, Client, Counted, Relay, Site};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const RELAYS: usize = 6;
/// Whose store is damaged, and whose links are cut.
const DAMAGED: usize = 1;
const CUT: usize = 2;

struct Fleet {
    sites: Vec<Site>,
    states: Vec<PathBuf>,
    relays: Vec<Option<Relay>>,
    servers: [Counted; 3],
    discovery: Discovery,
}

fn fleet() -> Fleet {
    let servers = [Counted::begin(), Counted::begin(), Counted::begin()];
    let discovery = Discovery::begin(listed(&servers, "up"));
    let places: Vec<String> = (0..RELAYS).map(|_| free().to_string()).collect();
    let site = |i: usize| {
        let mut site = Site::new(&format!("power-{i}"));
        site.text["name"] = json!(format!("r{i}"));
        site.text["discovery"] = json!(discovery.at.to_string());
        site.text["known"] = json!({"generation": 1, "reset": true, "instances": listed(&servers, "up")});
        site.text["settings"]["Instances"] = json!(RELAYS);
        site.text["settings"]["SlotNo"] = json!(i);
        site.text["state"] = json!(site.folder.join("state"));
        site.text["fleet"] = json!({"name": "power", "listen": places[i], "peers": places});
        site
    };
    let sites: Vec<Site> = (0..RELAYS).map(site).collect();
    let states = sites.iter().map(|site| site.folder.join("state")).collect();
    Fleet { sites, states, relays: (0..RELAYS).map(|_| None).collect(), servers, discovery }
}

/// The first one as told, the others up.
fn listed(servers: &[Counted; 3], first: &str) -> Vec<Value> {
    let phase = |i: usize| if i == 0 { first } else { "up" };
    servers.iter().enumerate().map(|(i, at)| instance(&format!("b-{i}"), at, phase(i), 0)).collect()
}

impl Fleet {
    fn start(&mut self, i: usize) {
        self.relays[i] = Some(self.sites[i].start());
    }

    fn relay(&self, i: usize) -> &Relay {
        self.relays[i].as_ref().expect("it runs")
    }

    /// All at once, as a power loss does.
    fn loses_power(&mut self) {
        for relay in self.relays.iter_mut().flatten() {
            relay.child.kill().expect("it lives");
        }
        self.relays.iter_mut().for_each(|relay| *relay = None);
    }

    fn kept(&self, i: usize, text: &str) -> bool {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_hallrelay"));
        let output = common::output(command.args(["store", "export"]).arg(&self.states[i]));
        String::from_utf8_lossy(&output.stdout).contains(text)
    }

    /// How many of some sessions at a relay came about; each leaves at once.
    fn sessions(&self, i: usize, count: usize) -> usize {
        (0..count).filter(|_| Client::open(self.sites[i].listen, "low").is_ok()).count()
    }
}

#[test]
fn a_drain_outlives_two_power_losses_a_damaged_store_and_a_cut() {
    let mut fleet = fleet();
    (0..RELAYS).for_each(|i| fleet.start(i));
    (0..RELAYS).for_each(|i| fleet.relay(i).until_ready());
    fleet.discovery.tell(listed(&fleet.servers, "draining"));
    until("all keep it", || (0..RELAYS).all(|i| fleet.kept(i, "\"draining\"")));
    let held: Vec<Client> =
        (0..RELAYS).map(|i| Client::open(fleet.sites[i].listen, "once").expect("it serves")).collect();
    fleet.loses_power();
    fleet.discovery.goes_dark();
    drop(held);
    // Nothing of this one's log is sound from its first record on.
    let log = fleet.states[DAMAGED].join("log");
    let mut bytes = std::fs::read(&log).expect("a log");
    let from = bytes.len().min(24);
    bytes[from..].iter_mut().for_each(|byte| *byte ^= 0x55);
    std::fs::write(&log, &bytes).expect("a log");
    assert!(!fleet.kept(DAMAGED, "\"draining\""));
    // This one meets nobody, and nobody meets it.
    let nowhere = free().to_string();
    fleet.sites[CUT].text["fleet"] = json!({"name": "power", "listen": nowhere, "peers": [nowhere]});
    let before = fleet.servers[0].opened();

    // Half of them are back as the power goes again; then all, one after another.
    (0..RELAYS / 2).for_each(|i| fleet.start(i));
    fleet.relay(0).until_ready();
    assert_eq!(fleet.sessions(0, 10), 10);
    fleet.loses_power();
    let began = Instant::now();
    for i in (0..RELAYS).rev() {
        fleet.start(i);
        std::thread::sleep(Duration::from_millis(60));
    }
    for i in (0..RELAYS).filter(|i| *i != DAMAGED) {
        fleet.relay(i).until_ready();
        assert_eq!(fleet.sessions(i, 20), 20, "r{i} serves");
    }
    assert_eq!(fleet.servers[0].opened(), before, "nothing new to one that drains, by what was kept");
    println!("five of {RELAYS} serve {:?} after power is back", began.elapsed());
    // Whose store is damaged has the others' word.
    fleet.relay(DAMAGED).until_ready();
    until("it asked the others", || fleet.relay(DAMAGED).figure("fleet_hearsay") > Some(0));
    println!("the damaged one has the others' word after {:?}", began.elapsed());
    let before = fleet.servers[0].opened();
    assert_eq!(fleet.sessions(DAMAGED, 40), 40);
    assert_eq!(fleet.servers[0].opened(), before, "nothing new to one that drains, by the others' word");
    assert_eq!(fleet.relay(DAMAGED).figure("store_failing"), Some(0), "its store is of use again");

    // The list service is back, and its word opens it for all, the one that is cut off too.
    fleet.discovery.begins_anew(9);
    fleet.discovery.tell(listed(&fleet.servers, "up"));
    for i in 0..RELAYS {
        until("it is dialled again", || {
            let before = fleet.servers[0].opened();
            assert_eq!(fleet.sessions(i, 5), 5);
            fleet.servers[0].opened() > before
        });
    }
}
