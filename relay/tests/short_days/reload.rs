//! A reload (SIGHUP) to a new discovery address is followed immediately by a drain: no matter which service
//! announces the drain, the draining backend gets no new session after the grace period.
use crate::backend::{bind_small_backlog, fill_backlog, Backend, Behaviour};
use crate::common::{load::Load, wait_until, wait_until_within, Client, RelayConfig, RelayProcess};
use crate::scripted_discovery::{
    endpoint, full_list, list_changes, ListRequest, RequestKind, ScriptedDiscovery,
};
use crate::sockets::has_pending_connect_to;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Grace period of the drain, long enough for the relay to apply the list within it on a busy machine.
const GRACE: Duration = Duration::from_millis(2_000);
const SESSIONS_AFTER_GRACE: usize = 40;

/// A relay that watches one discovery service and is to be reloaded to use another one.
struct ReloadScenario {
    config: RelayConfig,
    relay: RelayProcess,
    old_service: ScriptedDiscovery,
    old_watch: ListRequest,
    new_service: ScriptedDiscovery,
}

fn start_scenario(name: &str, known: &[Value], grace: Duration) -> ReloadScenario {
    // Exceeds the grace period, so that only the grace period limits a connect.
    const CONNECT_TIMEOUT_MS: u64 = 4_000;
    let (old_service, new_service) = (ScriptedDiscovery::start(), ScriptedDiscovery::start());
    let mut config = RelayConfig::new(&format!("short-{name}"));
    config.json["discovery"] = json!(old_service.address().to_string());
    config.json["known"] = full_list(1, known);
    config.json["settings"]["Rules"]["DrainGrace"] = json!(grace.as_millis() as u64);
    config.json["settings"]["Ceilings"]["ConnectTimeout"] = json!(CONNECT_TIMEOUT_MS);
    let relay = config.start();
    let mut old_watch = old_service.next_request();
    assert_eq!(old_watch.kind, RequestKind::ChangesSince(1));
    old_watch.begin_response();
    old_watch.send_empty_line();
    relay.wait_until_ready();
    ReloadScenario { config, relay, old_service, old_watch, new_service }
}

impl ReloadScenario {
    /// Writes a configuration with the new service's address, stops the process by SIGSTOP and sends SIGHUP.
    /// At `resume`, the process receives this signal together with all events that occurred meanwhile.
    fn pause_with_reload_pending(&self) {
        let mut json = self.config.json.clone();
        json["discovery"] = json!(self.new_service.address().to_string());
        std::fs::write(&self.relay.config_path, json.to_string()).expect("write the configuration file");
        self.relay.signal("STOP");
        let stat = format!("/proc/{}/stat", self.relay.child.id());
        wait_until("the process is stopped", || {
            let stat = std::fs::read_to_string(&stat).expect("read the process state");
            stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        });
        self.relay.signal("HUP");
    }

    fn resume(&self) {
        self.relay.signal("CONT");
    }

    /// Waits until the drain is applied. The drain is published together with an additional backend, so it is
    /// applied when the relay knows `backends` backends.
    fn wait_until_applied(&self, notified_at: Instant, backends: u64) {
        let grace = GRACE.saturating_sub(notified_at.elapsed());
        wait_until_within(grace, "the relay has applied the drain", || {
            self.relay.metric("known_backends") == Some(backends)
        });
    }
}

/// Three backends: one that is to drain, one that stays, and one that is added together with the drain.
struct Backends([Backend; 3]);

impl Backends {
    fn start() -> Backends {
        Backends(std::array::from_fn(|_| Backend::start(Behaviour::Serve)))
    }

    fn endpoint(&self, i: usize, lifecycle: &str) -> Value {
        endpoint(&format!("s-{i}"), self.0[i].address, lifecycle)
    }

    fn initial_list(&self) -> [Value; 2] {
        [self.endpoint(0, "up"), self.endpoint(1, "up")]
    }

    fn drained_list(&self) -> [Value; 3] {
        [self.endpoint(0, "draining"), self.endpoint(1, "up"), self.endpoint(2, "up")]
    }
}

/// The discovery service that announces the drain, and the message that does.
#[derive(Clone, Copy, PartialEq)]
enum DrainSource {
    /// The old service, while the new one does not answer.
    OldService,
    /// The new service, in its initial list.
    NewServiceInitialList,
    /// The new service, as the first change after its initial list.
    NewServiceFirstChange,
}

fn check_drain_right_after_reload(name: &str, source: DrainSource) {
    let backends = Backends::start();
    let mut scenario = start_scenario(name, &backends.initial_list(), GRACE);
    let load = Load::start(vec![scenario.config.listen_address]);
    wait_until("the backend that is to drain has a session", || !backends.0[0].first_lines().is_empty());
    scenario.pause_with_reload_pending();
    if source == DrainSource::OldService {
        scenario.old_watch.send_list(&list_changes(2, &backends.drained_list()));
    }
    let mut notified_at = Instant::now();
    scenario.resume();
    // Requests to the new service, kept open until the end of the test.
    let mut requests = vec![scenario.new_service.next_request()];
    assert_eq!(requests[0].kind, RequestKind::FullList);
    if source != DrainSource::OldService {
        requests[0].begin_response();
        let drained_initially = source == DrainSource::NewServiceInitialList;
        notified_at = Instant::now();
        match drained_initially {
            true => requests[0].send_list(&full_list(7, &backends.drained_list())),
            false => requests[0].send_list(&full_list(7, &backends.initial_list())),
        }
        requests.remove(0);
        let mut watch = scenario.new_service.next_request();
        assert_eq!(watch.kind, RequestKind::ChangesSince(7));
        watch.begin_response();
        if drained_initially {
            watch.send_empty_line();
        } else {
            notified_at = Instant::now();
            watch.send_list(&list_changes(8, &backends.drained_list()));
        }
        requests.push(watch);
    }
    scenario.wait_until_applied(notified_at, 3);
    std::thread::sleep(GRACE.saturating_sub(notified_at.elapsed()));
    let [draining, staying, added] = &backends.0;
    let (before_draining, before_staying) = (draining.first_lines().len(), staying.first_lines().len());
    let before_both = before_staying + added.first_lines().len();
    let opened = load.opened.load(std::sync::atomic::Ordering::SeqCst);
    for _ in 0..SESSIONS_AFTER_GRACE {
        assert!(
            Client::open(scenario.config.listen_address, "low").is_ok(),
            "the relay must serve throughout"
        );
    }
    let accepted = staying.first_lines().len() + added.first_lines().len() - before_both;
    assert!(
        accepted >= SESSIONS_AFTER_GRACE,
        "the other backends must get all {SESSIONS_AFTER_GRACE} sessions, got {accepted}"
    );
    // Placement divides the sessions between the two backends and may prefer the new one for a long time.
    wait_until("the staying backend gets a session, too", || {
        assert!(
            Client::open(scenario.config.listen_address, "low").is_ok(),
            "the relay must serve throughout"
        );
        staying.first_lines().len() > before_staying
    });
    drop(load);
    assert_eq!(
        draining.first_lines().len(),
        before_draining,
        "the draining backend got sessions after the grace period; {opened} opened before"
    );
    drop(requests);
    drop(scenario.old_service);
}

#[test]
fn drain_from_old_service_after_reload_is_kept() {
    check_drain_right_after_reload("old", DrainSource::OldService);
}

#[test]
fn drain_in_new_services_initial_list_is_kept() {
    check_drain_right_after_reload("new-full", DrainSource::NewServiceInitialList);
}

#[test]
fn drain_as_new_services_first_change_is_kept() {
    check_drain_right_after_reload("new-change", DrainSource::NewServiceFirstChange);
}

/// Time within which a connect to a full backlog may still succeed: the kernel retries the SYN after 1 s and
/// 3 s.
const CONNECT_RETRY_TIME: Duration = Duration::from_millis(3_300);

/// A connect that is pending when the drain is announced and succeeds only after the grace period must not
/// carry a first line.
#[test]
fn connect_pending_at_drain_carries_no_session_after_grace() {
    const SHORT_GRACE: Duration = Duration::from_millis(500);
    let (draining, healthy) = (bind_small_backlog(), Backend::start(Behaviour::Serve));
    let address: SocketAddr = draining.local_addr().expect("read the local address");
    let filling = fill_backlog(address);
    let mut scenario = start_scenario("connect", &[endpoint("s-0", address, "up")], SHORT_GRACE);
    scenario.pause_with_reload_pending();
    scenario.resume();
    let full_list_request = scenario.new_service.next_request();
    let mut client = Client::connect(scenario.config.listen_address).expect("connect to the relay");
    // The dial may take all of the remaining time, independent of the handshake target.
    client.send_line("OPEN 00000000000000a1 00000000000000a1 c=once,d=1900");
    wait_until("the dial's connect is pending", || has_pending_connect_to(address));
    let notified_at = Instant::now();
    let drained = [endpoint("s-0", address, "draining"), endpoint("s-1", healthy.address, "up")];
    scenario.old_watch.send_list(&list_changes(2, &drained));
    scenario.wait_until_applied(notified_at, 2);
    std::thread::sleep(SHORT_GRACE.saturating_sub(notified_at.elapsed()));
    // Empty the backlog so that pending connects succeed.
    draining.set_nonblocking(true).expect("set the blocking mode");
    let mut late = Vec::new();
    while notified_at.elapsed() < SHORT_GRACE + CONNECT_RETRY_TIME {
        late.extend(draining.accept().map(|(stream, _)| stream));
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(filling);
    for stream in late {
        stream.set_nonblocking(false).expect("set the blocking mode");
        stream.set_read_timeout(Some(Duration::from_millis(50))).expect("set the read timeout");
        let mut line = String::new();
        _ = BufReader::new(stream).read_line(&mut line);
        assert_eq!(line, "", "the draining backend got a first line after the grace period");
    }
    assert_eq!(client.receive(), Ok("UP r1".to_string()), "the other backend must accept the session");
    assert_eq!(healthy.attempts_of(0xa1), 1, "dials of the session at the other backend");
    drop(full_list_request);
}
