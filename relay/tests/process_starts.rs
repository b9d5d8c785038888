//! A backend that a relay was notified to drain gets no new session, however the next process of the relay
//! begins: cold, by a hot restart, by a hot restart that fails, or after discovery has moved. Discovery
//! answers no further call in these tests, so that only what the earlier process received can keep the drain.
mod common;

use common::discovery::{endpoint, Discovery};
use common::{
    free_address, listener_settings, wait_until, Client, CountingBackend, RelayConfig, RelayProcess,
};
use serde_json::{json, Value};
use std::net::TcpStream;
use std::process::Command;

/// Number of sessions by which a test sees whether a backend gets any.
const SESSIONS: usize = 20;

/// A relay's configuration, whose list is from before the drain of `s-0`.
struct Fixture {
    config: RelayConfig,
    backends: [CountingBackend; 2],
    discovery: Discovery,
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let mut config = RelayConfig::new(&format!("starts-{name}"));
        let backends = [CountingBackend::start(), CountingBackend::start()];
        let up = vec![endpoint("s-0", &backends[0], "up", 0), endpoint("s-1", &backends[1], "up", 0)];
        let discovery = Discovery::start(up.clone());
        config.json["discovery"] = json!(discovery.address.to_string());
        config.json["known"] = json!({"generation": 1, "reset": true, "instances": up});
        config.json["settings"]["Listeners"] = json!([listener_settings("low", 1.0, "retryable")]);
        config.json["settings"]["Listeners"][0]["DialTimeout"] = json!(300);
        Fixture { config, backends, discovery }
    }

    fn with_store(name: &str) -> Fixture {
        let mut fixture = Fixture::new(name);
        fixture.add_store();
        fixture
    }

    fn add_store(&mut self) {
        self.config.json["state"] = json!(self.config.directory.join("state").display().to_string());
    }

    fn start(&mut self) -> RelayProcess {
        let relay = self.config.start();
        relay.wait_until_ready();
        relay
    }

    /// Number of sessions that a batch of new sessions brings to the drained backend.
    fn sessions_at_drained(&self) -> u64 {
        let before = self.backends.each_ref().map(CountingBackend::opened);
        let established =
            (0..SESSIONS).filter(|_| Client::open(self.config.listen_address, "low").is_ok()).count();
        assert_eq!(established, SESSIONS, "all sessions must be established");
        assert!(self.backends[1].opened() > before[1], "the backend that stays must get sessions");
        self.backends[0].opened() - before[0]
    }

    /// Entries by which `s-0` drains.
    fn drained(&self) -> Vec<Value> {
        let [first, second] = &self.backends;
        vec![endpoint("s-0", first, "draining", 0), endpoint("s-1", second, "up", 0)]
    }

    /// Publishes entries that end new sessions at `s-0`, waits until the relay heeds them, and stops
    /// discovery.
    fn publish_and_stop(&self, entries: Vec<Value>) {
        self.discovery.publish(entries);
        wait_until("the relay heeds the drain", || self.sessions_at_drained() == 0);
        self.discovery.stop_answering();
    }

    /// Moves a running process to an address at which no discovery service answers.
    fn move_discovery(&mut self, relay: &RelayProcess) {
        self.config.json["discovery"] = json!(free_address().to_string());
        std::fs::write(&relay.config_path, self.config.json.to_string()).expect("write the configuration");
        relay.signal("HUP");
        wait_until("the file is loaded", || relay.metric("loads") == Some(1));
    }

    /// Number of sessions that a batch of new sessions brings to each backend.
    fn sessions_by_backend(&self) -> [u64; 2] {
        let before = self.backends.each_ref().map(CountingBackend::opened);
        (0..SESSIONS).for_each(|_| _ = Client::open(self.config.listen_address, "low"));
        [0, 1].map(|i| self.backends[i].opened() - before[i])
    }

    /// Waits until the store has the entry of `s-0` in this state. A kill before that may lose the entry.
    fn wait_until_stored(&self, lifecycle: &str) {
        let export = || {
            let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
            let output = common::run_to_end(
                command.args(["store", "export"]).arg(self.config.directory.join("state")),
            );
            String::from_utf8_lossy(&output.stdout).into_owned()
        };
        wait_until("the entry is stored", || export().contains(&format!("\"lifecycle\":\"{lifecycle}\"")));
    }

    fn assert_drain_holds(&self, begin: &str) {
        assert_eq!(self.sessions_at_drained(), 0, "the drained backend must get no session after {begin}");
    }
}

fn kill(mut relay: RelayProcess) {
    relay.child.kill().expect("kill the relay process");
    relay.child.wait().expect("wait for the relay process");
}

/// Guards a drain against a hot restart while discovery does not answer.
#[test]
fn drain_outlasts_hot_restart() {
    let mut fixture = Fixture::new("hot-restart");
    let old = fixture.start();
    fixture.publish_and_stop(fixture.drained());
    let new = fixture.start();
    fixture.assert_drain_holds("the hot restart");
    drop((old, new));
}

/// Guards a drain against a hot restart after discovery moved to an address that has not answered yet: the
/// list was not handed over then.
#[test]
fn drain_outlasts_hot_restart_after_move_of_discovery() {
    let mut fixture = Fixture::new("moved-hot-restart");
    let old = fixture.start();
    fixture.publish_and_stop(fixture.drained());
    fixture.move_discovery(&old);
    fixture.assert_drain_holds("the move");
    let new = fixture.start();
    fixture.assert_drain_holds("the hot restart");
    drop((old, new));
}

/// Guards a drain against a restart after discovery moved, with discovery's new address in the configuration.
#[test]
fn drain_outlasts_kill_after_move_of_discovery() {
    let mut fixture = Fixture::with_store("moved-kill");
    let old = fixture.start();
    fixture.publish_and_stop(fixture.drained());
    fixture.wait_until_stored("draining");
    fixture.move_discovery(&old);
    kill(old);
    let new = fixture.start();
    fixture.assert_drain_holds("the restart");
    drop(new);
}

/// Guards a drain that only the successor received, from its own discovery, against the successor's death:
/// the old process serves again.
fn drain_outlasts_failed_hot_restart(mut fixture: Fixture) {
    let old_discovery = Discovery::start(fixture.drained());
    old_discovery.stop_answering();
    let new_discovery = std::mem::replace(&mut fixture.config.json["discovery"], json!(null));
    fixture.config.json["discovery"] = json!(old_discovery.address.to_string());
    let old = fixture.start();
    fixture.config.json["discovery"] = new_discovery;
    let new = fixture.start();
    fixture.publish_and_stop(fixture.drained());
    kill(new);
    wait_until("the old process serves again", || old.is_ready());
    fixture.assert_drain_holds("the failed hot restart");
    drop(old);
}

#[test]
fn drain_outlasts_failed_hot_restart_with_store() {
    drain_outlasts_failed_hot_restart(Fixture::with_store("failed-with-store"));
}

#[test]
fn drain_outlasts_failed_hot_restart_without_store() {
    drain_outlasts_failed_hot_restart(Fixture::new("failed"));
}

/// Guards an operator's drain of the relay, given to the successor, against the successor's death.
#[test]
fn drain_of_relay_outlasts_failed_hot_restart() {
    let mut fixture = Fixture::new("relay-drain");
    let old = fixture.start();
    let new = fixture.start();
    assert_eq!(new.request("POST", "/v1/relay/drain").0, 200);
    // The successor notifies its predecessor immediately.
    std::thread::sleep(std::time::Duration::from_millis(200));
    kill(new);
    wait_until("the old process owns the socket", || {
        Client::ping(fixture.config.listen_address) == Ok("BUSY".to_string())
    });
    assert!(!old.is_ready(), "the relay must still drain");
    assert_eq!(old.request("POST", "/v1/relay/activate").0, 200);
    wait_until("the relay serves again", || old.is_ready());
}

/// Guards an entry that cannot be read, which ends new sessions at its backend, against a restart: the store
/// kept the older entry with the newer version.
#[test]
fn unreadable_entry_outlasts_kill() {
    let mut fixture = Fixture::with_store("unreadable");
    let old = fixture.start();
    let mut entries = fixture.drained();
    entries[0]["lifecycle"] = json!(7);
    fixture.publish_and_stop(entries);
    fixture.wait_until_stored("draining");
    kill(old);
    let new = fixture.start();
    fixture.assert_drain_holds("the restart");
    drop(new);
}

/// Completes a hot restart, kills the successor, and checks that the next process heeds the drain.
fn drain_outlasts_kill_of_successor(fixture: &mut Fixture, mut old: RelayProcess, new: RelayProcess) {
    old.signal("TERM");
    wait_until("the old process exits", || old.has_exited());
    fixture.wait_until_stored("draining");
    kill(new);
    let newest = fixture.start();
    fixture.assert_drain_holds("the restart");
    drop(newest);
}

/// Guards a drain in a store that a hot restart created, against the next start: the store had no identity,
/// so its records were discarded.
#[test]
fn drain_outlasts_kill_with_store_created_by_hot_restart() {
    let mut fixture = Fixture::new("new-store");
    let old = fixture.start();
    fixture.add_store();
    let new = fixture.start();
    fixture.publish_and_stop(fixture.drained());
    drain_outlasts_kill_of_successor(&mut fixture, old, new);
}

/// Guards a drain of before a hot restart that created the store: only later changes were stored.
#[test]
fn handed_over_drain_outlasts_kill_of_successor_with_new_store() {
    let mut fixture = Fixture::new("handed-over");
    let old = fixture.start();
    fixture.publish_and_stop(fixture.drained());
    fixture.add_store();
    let new = fixture.start();
    drain_outlasts_kill_of_successor(&mut fixture, old, new);
}

/// Guards a drain of before the start of a process, where lists are pushed, against a discovery service that
/// turns the first calls away: the relay must not serve by its older list.
#[test]
fn drain_before_start_holds_where_lists_are_pushed() {
    let mut fixture = Fixture::new("pushed");
    fixture.config.json["settings"]["Discovery"] = json!("automatic");
    fixture.discovery.stop_answering();
    let relay = fixture.config.start();
    wait_until("the operators' address is open", || TcpStream::connect(relay.operator_address).is_ok());
    std::thread::sleep(std::time::Duration::from_millis(1_000));
    assert!(!relay.is_ready(), "the relay must not be ready before discovery's first answer");
    fixture.discovery.publish(fixture.drained());
    relay.wait_until_ready();
    fixture.assert_drain_holds("the start");
}

/// A way in which the process that serves next begins.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Begin {
    Restart,
    HotRestart,
    FailedHotRestart,
    Reload,
    ReloadThenHotRestart,
    ReloadThenRestart,
}

const ALL_BEGINS: [Begin; 6] = [
    Begin::Restart,
    Begin::HotRestart,
    Begin::FailedHotRestart,
    Begin::Reload,
    Begin::ReloadThenHotRestart,
    Begin::ReloadThenRestart,
];

/// Tells a relay that `s-0` is in the given state and that `s-1`, unknown before, is up; then lets the next
/// process begin, with discovery answering or not, and checks which backends get sessions.
fn list_outlasts(begin: Begin, lifecycle: &str, discovery_answers: bool) {
    let name = format!("{begin:?}-{lifecycle}-{discovery_answers}");
    let mut fixture = Fixture::with_store(&name);
    let instances = fixture.config.json["known"]["instances"].as_array_mut().expect("the list is an array");
    instances.truncate(1);
    let first = vec![endpoint("s-0", &fixture.backends[0], "up", 0)];
    fixture.discovery.publish(first);
    let old = fixture.start();
    let mut processes = vec![old];
    if begin == Begin::FailedHotRestart {
        processes.push(fixture.start());
    }
    fixture.discovery.publish(vec![
        endpoint("s-0", &fixture.backends[0], lifecycle, 0),
        endpoint("s-1", &fixture.backends[1], "up", 0),
    ]);
    wait_until("the relay heeds the list", || {
        let [first, second] = fixture.sessions_by_backend();
        first == 0 && second > 0
    });
    fixture.wait_until_stored(lifecycle);
    if !discovery_answers {
        fixture.discovery.stop_answering();
    }
    if matches!(begin, Begin::Reload | Begin::ReloadThenHotRestart | Begin::ReloadThenRestart) {
        fixture.move_discovery(&processes[0]);
    }
    let last = processes.pop().expect("a process runs");
    match begin {
        Begin::Reload => processes.push(last),
        Begin::HotRestart | Begin::ReloadThenHotRestart => processes.extend([last, fixture.start()]),
        Begin::Restart | Begin::ReloadThenRestart => {
            kill(last);
            processes.push(fixture.start());
        }
        Begin::FailedHotRestart => {
            kill(last);
            wait_until("the old process serves again", || processes[0].is_ready());
        }
    }
    let [first, second] = fixture.sessions_by_backend();
    assert!(first == 0 && second > 0, "{name}: {first} sessions at s-0, {second} at s-1");
}

/// Guards the list that a relay has received (a drain, a removal, a new backend) against every way in which
/// the next process begins, with and without discovery.
#[test]
fn list_outlasts_every_beginning_of_a_process() {
    for begin in ALL_BEGINS {
        for lifecycle in ["draining", "removed"] {
            for discovery_answers in [true, false] {
                list_outlasts(begin, lifecycle, discovery_answers);
            }
        }
    }
}
