//! Processes that agree on who may be out, before the same backends.
use super::discovery::instance;
use super::{free, until, Counted, Relay, Site};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::process::Command;

/// Relays r0, r1, ... of one fleet, the first of which vote, before the same backends b-0, b-1, ...
pub struct Fleet {
    pub sites: Vec<Site>,
    pub relays: Vec<Option<Relay>>,
    pub backends: Vec<Counted>,
}

impl Fleet {
    pub fn started(name: &str, count: usize, voters: usize, budgets: &Value) -> Fleet {
        let fleet = Fleet::begun(name, count, voters, 3, budgets);
        fleet.until_known(count);
        fleet
    }

    /// The same before so many backends, not waited for.
    pub fn begun(name: &str, count: usize, voters: usize, backends: usize, budgets: &Value) -> Fleet {
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

    pub fn start(&mut self, i: usize) {
        self.relays[i] = Some(self.sites[i].start());
    }

    pub fn running(&self) -> impl Iterator<Item = &Relay> {
        self.relays.iter().flatten()
    }

    /// The one that leads, by its own word; none where that is nobody, or more than one.
    pub fn leader(&self) -> Option<usize> {
        let leads = |(i, r): (usize, &Option<Relay>)| (told(r.as_ref()?)?["leads"] == true).then_some(i);
        let all: Vec<usize> = self.relays.iter().enumerate().filter_map(leads).collect();
        (all.len() == 1).then(|| all[0])
    }

    pub fn until_led(&self) -> usize {
        until("one leads", || self.leader().is_some());
        self.leader().expect("one leads")
    }

    /// A leader has seen all relays and backends, and all that run are in.
    pub fn until_known(&self, relays: usize) {
        until("all are seen and in", || {
            let told = self.leader().and_then(|i| told(self.relay(i)));
            let all = relays + self.backends.len();
            told.is_some_and(|t| t["known"] == all && t["things"] == json!([]))
        });
    }

    pub fn until_stage(&self, what: &str, stage: &str) {
        until(&format!("{what} is {stage}"), || {
            self.leader().and_then(|i| row(self.relay(i), what)).is_some_and(|r| r["stage"] == stage)
        });
    }
}

pub fn told(relay: &Relay) -> Option<Value> {
    let (code, text) =
        std::net::TcpStream::connect(relay.operator).ok().map(|_| relay.call("GET", "/v1/grants"))?;
    (code == 200).then(|| serde_json::from_str(text.split("\r\n\r\n").nth(1)?).ok())?
}

pub fn row(relay: &Relay, what: &str) -> Option<Value> {
    let told = told(relay)?;
    told["things"].as_array()?.iter().find(|row| row["what"] == what).cloned()
}

pub fn post(relay: &Relay, path: &str, body: &Value) -> (u16, String) {
    let body = body.to_string();
    let head = format!("POST {path} HTTP/1.1\r\nhost: relay\r\ncontent-length: {}\r\n\r\n", body.len());
    relay.say((head + &body).as_bytes())
}

/// The command's exit status and all that it says.
pub fn said(relay: &Relay, what: &str, words: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
    let at = relay.operator.to_string();
    let output = super::output(command.arg(what).args(words).args(["--at", &at]));
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}
