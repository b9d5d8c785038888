//! Fleets of relay processes that share their backends and coordinate which targets (relays and backends) are
//! out of service. The leader, elected by the voters, grants a lease to each target that may be taken out.
use super::discovery::endpoint;
use super::{free_address, wait_until, CountingBackend, RelayConfig, RelayProcess};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::process::Command;

/// The relays r0, r1, ... of one fleet, of which the first are voters, and their backends b-0, b-1, ...
pub struct Fleet {
    pub configs: Vec<RelayConfig>,
    pub relays: Vec<Option<RelayProcess>>,
    pub backends: Vec<CountingBackend>,
}

impl Fleet {
    /// Starts a fleet with three backends and waits until all targets are in service.
    pub fn start_in_service(name: &str, count: usize, voters: usize, budgets: &Value) -> Fleet {
        let fleet = Fleet::start(name, count, voters, 3, budgets);
        fleet.wait_until_all_in_service(count);
        fleet
    }

    /// Starts a fleet in which the first `voters` relays vote; does not wait until the relays are ready. The
    /// budgets limit how many targets may be out of service at the same time.
    pub fn start(name: &str, count: usize, voters: usize, backends: usize, budgets: &Value) -> Fleet {
        let addresses: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
        let peers: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let voters: Vec<String> = (0..voters).map(|i| format!("r{i}")).collect();
        let backends: Vec<CountingBackend> = (0..backends).map(|_| CountingBackend::start()).collect();
        let endpoint_of = |(i, b): (usize, &CountingBackend)| endpoint(&format!("b-{i}"), b, "up", 0);
        let known: Vec<Value> = backends.iter().enumerate().map(endpoint_of).collect();
        let config_of = |(i, address): (usize, &SocketAddr)| {
            let mut config = RelayConfig::new(&format!("grants-{name}-{i}"));
            config.json["name"] = json!(format!("r{i}"));
            config.json["known"]["instances"] = json!(known);
            config.json["settings"]["Instances"] = json!(count);
            config.json["settings"]["SlotNo"] = json!(i);
            config.json["state"] = json!(config.directory.join("state"));
            config.json["fleet"] = json!({"name": name, "listen": address.to_string(), "peers": peers,
                "voters": voters, "budgets": budgets, "begin_within": 2, "moves_per_s": 30});
            config
        };
        let mut configs: Vec<RelayConfig> = addresses.iter().enumerate().map(config_of).collect();
        let relays = configs.iter_mut().map(|config| Some(config.start())).collect();
        Fleet { configs, relays, backends }
    }

    pub fn relay(&self, i: usize) -> &RelayProcess {
        self.relays[i].as_ref().expect("the relay is running")
    }

    /// Kills a relay with SIGKILL.
    pub fn kill(&mut self, i: usize) {
        self.relays[i] = None;
    }

    /// Restarts a relay with its configuration and its store.
    pub fn start_relay(&mut self, i: usize) {
        self.relays[i] = Some(self.configs[i].start());
    }

    pub fn running(&self) -> impl Iterator<Item = &RelayProcess> {
        self.relays.iter().flatten()
    }

    /// Index of the relay that reports itself as leader; none if no relay or more than one does.
    pub fn leader(&self) -> Option<usize> {
        let leads =
            |(i, r): (usize, &Option<RelayProcess>)| (leases(r.as_ref()?)?["leads"] == true).then_some(i);
        let all: Vec<usize> = self.relays.iter().enumerate().filter_map(leads).collect();
        (all.len() == 1).then(|| all[0])
    }

    /// Waits until exactly one relay leads; returns its index.
    pub fn wait_for_leader(&self) -> usize {
        wait_until("exactly one relay leads", || self.leader().is_some());
        self.leader().expect("exactly one relay leads")
    }

    /// Waits until the leader has observed all relays and backends and reports all of them in service.
    pub fn wait_until_all_in_service(&self, relays: usize) {
        wait_until("all targets are observed and in service", || {
            let status = self.leader().and_then(|i| leases(self.relay(i)));
            let all = relays + self.backends.len();
            status.is_some_and(|s| s["known"] == all && s["things"] == json!([]))
        });
    }

    /// Waits until the leader reports a target's lease in the state with this name in the status.
    pub fn wait_for_lease_state(&self, target: &str, state: &str) {
        wait_until(&format!("the lease of {target} is {state}"), || {
            self.leader()
                .and_then(|i| lease_row(self.relay(i), target))
                .is_some_and(|row| row["stage"] == state)
        });
    }
}

/// Response to `GET /v1/grants`, the status of the leases; none if the relay does not answer with status 200.
/// `leads`: this relay is the leader; `known`: number of observed targets; `things`: rows of the targets
/// that are not in service or not up.
pub fn leases(relay: &RelayProcess) -> Option<Value> {
    let (code, text) = std::net::TcpStream::connect(relay.operator_address)
        .ok()
        .map(|_| relay.request("GET", "/v1/grants"))?;
    (code == 200).then(|| serde_json::from_str(text.split("\r\n\r\n").nth(1)?).ok())?
}

/// Row of a target in the response to `GET /v1/grants`; none for a target that is in service and up, because
/// such targets are not listed.
pub fn lease_row(relay: &RelayProcess, target: &str) -> Option<Value> {
    let status = leases(relay)?;
    status["things"].as_array()?.iter().find(|row| row["what"] == target).cloned()
}

/// Sends a POST request with a JSON body; returns the status code and the complete response.
pub fn post(relay: &RelayProcess, path: &str, body: &Value) -> (u16, String) {
    let body = body.to_string();
    let head = format!("POST {path} HTTP/1.1\r\nhost: relay\r\ncontent-length: {}\r\n\r\n", body.len());
    relay.send_request((head + &body).as_bytes())
}

/// Runs a subcommand of `hallrelay` against a relay; returns its exit status, and stdout followed by stderr.
pub fn run_command(relay: &RelayProcess, subcommand: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
    let address = relay.operator_address.to_string();
    let output = super::run_to_end(command.arg(subcommand).args(arguments).args(["--at", &address]));
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}
