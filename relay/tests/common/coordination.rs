//! Fleets of relay processes that coordinate disruptions, with backends that all of them serve.
use super::discovery::instance;
use super::{free, until, Counted, Relay, Site};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::process::Command;

/// Relays r0, r1, ... of one fleet, the first of which are voters, and their backends b-0, b-1, ...
pub struct Fleet {
    pub sites: Vec<Site>,
    pub relays: Vec<Option<Relay>>,
    pub backends: Vec<Counted>,
}

impl Fleet {
    pub fn start_in_service(name: &str, count: usize, voters: usize, budgets: &Value) -> Fleet {
        let fleet = Fleet::start(name, count, voters, 3, budgets);
        fleet.until_all_in_service(count);
        fleet
    }

    /// Starts a fleet with so many backends, and waits for nothing.
    pub fn start(name: &str, count: usize, voters: usize, backends: usize, budgets: &Value) -> Fleet {
        let places: Vec<SocketAddr> = (0..count).map(|_| free()).collect();
        let peers: Vec<String> = places.iter().map(ToString::to_string).collect();
        let voters: Vec<String> = (0..voters).map(|i| format!("r{i}")).collect();
        let backends: Vec<Counted> = (0..backends).map(|_| Counted::begin()).collect();
        let known = |(i, b): (usize, &Counted)| instance(&format!("b-{i}"), b, "up", 0);
        let known: Vec<Value> = backends.iter().enumerate().map(known).collect();
        let site = |(i, place): (usize, &SocketAddr)| {
            let mut site = Site::new(&format!("grants-{name}-{i}"));
            site.text["name"] = json!(format!("r{i}"));
            site.text["known"]["instances"] = json!(known);
            site.text["settings"]["Instances"] = json!(count);
            site.text["settings"]["SlotNo"] = json!(i);
            site.text["state"] = json!(site.folder.join("state"));
            site.text["fleet"] = json!({"name": name, "listen": place.to_string(), "peers": peers,
                "voters": voters, "budgets": budgets, "begin_within": 2, "moves_per_s": 30});
            site
        };
        let mut sites: Vec<Site> = places.iter().enumerate().map(site).collect();
        let relays = sites.iter_mut().map(|site| Some(site.start())).collect();
        Fleet { sites, relays, backends }
    }

    pub fn relay(&self, i: usize) -> &Relay {
        self.relays[i].as_ref().expect("it runs")
    }

    pub fn kill(&mut self, i: usize) {
        self.relays[i] = None;
    }

    pub fn start_relay(&mut self, i: usize) {
        self.relays[i] = Some(self.sites[i].start());
    }

    pub fn running(&self) -> impl Iterator<Item = &Relay> {
        self.relays.iter().flatten()
    }

    /// The leader by its own status; none where no relay leads, or more than one.
    pub fn leader(&self) -> Option<usize> {
        let leads = |(i, r): (usize, &Option<Relay>)| (leases(r.as_ref()?)?["leads"] == true).then_some(i);
        let all: Vec<usize> = self.relays.iter().enumerate().filter_map(leads).collect();
        (all.len() == 1).then(|| all[0])
    }

    pub fn until_leader(&self) -> usize {
        until("there is a leader", || self.leader().is_some());
        self.leader().expect("there is a leader")
    }

    /// The leader has observed all relays and backends, and all of them are in service.
    pub fn until_all_in_service(&self, relays: usize) {
        until("all are observed and in service", || {
            let status = self.leader().and_then(|i| leases(self.relay(i)));
            let all = relays + self.backends.len();
            status.is_some_and(|s| s["known"] == all && s["things"] == json!([]))
        });
    }

    pub fn until_lease_state(&self, target: &str, state: &str) {
        until(&format!("{target} is {state}"), || {
            self.leader()
                .and_then(|i| lease_row(self.relay(i), target))
                .is_some_and(|row| row["stage"] == state)
        });
    }
}

/// The answer of `/v1/grants`.
pub fn leases(relay: &Relay) -> Option<Value> {
    let (code, text) =
        std::net::TcpStream::connect(relay.operator).ok().map(|_| relay.call("GET", "/v1/grants"))?;
    (code == 200).then(|| serde_json::from_str(text.split("\r\n\r\n").nth(1)?).ok())?
}

/// A target's row of that answer: one that is not in service, or not up.
pub fn lease_row(relay: &Relay, target: &str) -> Option<Value> {
    let status = leases(relay)?;
    status["things"].as_array()?.iter().find(|row| row["what"] == target).cloned()
}

pub fn post(relay: &Relay, path: &str, body: &Value) -> (u16, String) {
    let body = body.to_string();
    let head = format!("POST {path} HTTP/1.1\r\nhost: relay\r\ncontent-length: {}\r\n\r\n", body.len());
    relay.say((head + &body).as_bytes())
}

/// Runs a subcommand of `hallrelay` at a relay: its exit status, and its output on both streams.
pub fn run_command(relay: &Relay, subcommand: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
    let at = relay.operator.to_string();
    let output = super::output(command.arg(subcommand).args(arguments).args(["--at", &at]));
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}
