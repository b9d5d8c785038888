//! A watch is a request to discovery whose response stays open and sends each change of the endpoint list. If
//! a watch stops sending after a long healthy period, the relay applies the missed changes within 6 s. A full
//! list in place of changes removes the backends that it omits.
use crate::backend::{Backend, Behaviour};
use crate::common::{wait_until, wait_until_within, Client, RelayConfig};
use crate::scripted_discovery::{
    endpoint, full_list, list_changes, ListRequest, RequestKind, ScriptedDiscovery,
};
use hallrelay_config::node::{self, Node, Overrides};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time limit for applying missed changes, from when the watch stopped sending.
const MISSED_CHANGE_DEADLINE: Duration = Duration::from_secs(6);
/// Interval at which an idle watch sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Duration for which a watch is healthy before it stops sending.
const HEALTHY_FOR: Duration = Duration::from_secs(13);
/// Divisor of all times, including the relay's watch timeouts, in the tests of a long healthy watch.
const TIME_SCALE: u32 = 3;

/// Three backends: one that the missed list removes or drains, one that stays, and one that the list adds.
struct Backends([Backend; 3]);

impl Backends {
    fn start() -> Backends {
        Backends(std::array::from_fn(|_| Backend::start(Behaviour::Serve)))
    }

    fn endpoint(&self, i: usize, lifecycle: &str) -> Value {
        endpoint(&format!("s-{i}"), self.0[i].address, lifecycle)
    }

    fn relay_config(&self, name: &str, service: &ScriptedDiscovery) -> RelayConfig {
        let mut config = RelayConfig::new(&format!("short-{name}"));
        config.json["discovery"] = json!(service.address().to_string());
        config.json["known"] = full_list(1, &[self.endpoint(0, "up"), self.endpoint(1, "up")]);
        config
    }

    fn changes_with_first_draining(&self) -> Value {
        list_changes(2, &[self.endpoint(0, "draining"), self.endpoint(2, "up")])
    }

    fn full_list_without_first(&self) -> Value {
        full_list(2, &[self.endpoint(1, "up"), self.endpoint(2, "up")])
    }

    /// Checks that the added backend gets a session within `time` and the first backend no new session
    /// after that.
    fn check_first_unused(&self, listen_address: SocketAddr, time: Duration) {
        wait_until_within(time, "the relay has applied the missed list", || {
            assert!(Client::open(listen_address, "low").is_ok(), "the relay must serve throughout");
            !self.0[2].first_lines().is_empty()
        });
        let before = self.0[0].first_lines().len();
        for _ in 0..40 {
            assert!(Client::open(listen_address, "low").is_ok(), "the relay must serve throughout");
        }
        assert_eq!(self.0[0].first_lines().len(), before, "the removed or draining backend got new sessions");
    }
}

/// Runs the relay in a thread of the test process, with its watch timeouts divided by `TIME_SCALE`. The
/// thread runs until the test process exits.
fn serve_with_scaled_timeouts(config: &RelayConfig) {
    let mut node: Node = node::parse(config.json.to_string().as_bytes(), &Overrides::default())
        .expect("parse the configuration");
    node.operator = None;
    node.limits.discovery_watch_timeout /= u64::from(TIME_SCALE);
    node.limits.discovery_answer_timeout /= u64::from(TIME_SCALE);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let reread = || Err("the test does not reload the configuration".to_string());
        let served = hallrelay_relay::net::serve::run(node, reread, log);
        tokio::task::LocalSet::new()
            .block_on(&runtime.expect("build the runtime"), served)
            .expect("run the relay");
    });
}

/// Accepts the first watch and begins the response to it.
fn answer_first_watch(service: &ScriptedDiscovery) -> ListRequest {
    let mut watch = service.next_request();
    assert_eq!(watch.kind, RequestKind::ChangesSince(1));
    watch.begin_response();
    watch
}

/// Checks with scaled times that the `missed` list is applied in time if a watch that was healthy for
/// `HEALTHY_FOR` becomes silent.
fn check_late_silent_watch(name: &str, missed: impl Fn(&Backends) -> Value) {
    let (service, backends) = (ScriptedDiscovery::start(), Backends::start());
    let config = backends.relay_config(name, &service);
    serve_with_scaled_timeouts(&config);
    let mut watch = answer_first_watch(&service);
    wait_until("the relay answers a ping", || Client::ping(config.listen_address).is_ok());
    wait_until("the backend that is to be removed has a session", || {
        Client::open(config.listen_address, "low").is_ok() && !backends.0[0].first_lines().is_empty()
    });
    let started_at = Instant::now();
    watch.send_empty_line();
    while started_at.elapsed() < HEALTHY_FOR / TIME_SCALE {
        let other = service.request_within(HEARTBEAT_INTERVAL / TIME_SCALE);
        assert!(other.is_none(), "the relay must not replace a healthy watch");
        watch.send_empty_line();
    }
    let silent_since = Instant::now();
    let mut next = service
        .request_within(MISSED_CHANGE_DEADLINE / TIME_SCALE)
        .expect("the relay replaces the silent watch");
    assert_eq!(next.kind, RequestKind::ChangesSince(1));
    next.begin_response();
    next.send_list(&missed(&backends));
    let remaining = (MISSED_CHANGE_DEADLINE / TIME_SCALE).saturating_sub(silent_since.elapsed());
    backends.check_first_unused(config.listen_address, remaining);
    drop(watch);
}

#[test]
fn changes_missed_by_silent_watch_are_applied_in_time() {
    check_late_silent_watch("late", Backends::changes_with_first_draining);
}

#[test]
fn full_list_after_late_silent_watch_removes_omitted_backends() {
    check_late_silent_watch("late-full", Backends::full_list_without_first);
}

/// Checks the deadline with the relay's unscaled timeouts, for a watch that sends nothing after its start.
#[test]
fn missed_changes_are_applied_in_time_with_unscaled_timeouts() {
    let (service, backends) = (ScriptedDiscovery::start(), Backends::start());
    let mut config = backends.relay_config("silent", &service);
    let relay = config.start();
    let mut watch = answer_first_watch(&service);
    watch.send_empty_line();
    let silent_since = Instant::now();
    relay.wait_until_ready();
    let mut next =
        service.request_within(MISSED_CHANGE_DEADLINE).expect("the relay replaces the silent watch");
    next.begin_response();
    next.send_list(&backends.changes_with_first_draining());
    backends.check_first_unused(
        config.listen_address,
        MISSED_CHANGE_DEADLINE.saturating_sub(silent_since.elapsed()),
    );
}

/// A healthy watch sends a full list in place of changes.
#[test]
fn full_list_on_healthy_watch_removes_omitted_backends() {
    let (service, backends) = (ScriptedDiscovery::start(), Backends::start());
    let mut config = backends.relay_config("reset", &service);
    let relay = config.start();
    let mut watch = answer_first_watch(&service);
    relay.wait_until_ready();
    watch.send_list(&list_changes(1, &[]));
    watch.send_list(&backends.full_list_without_first());
    backends.check_first_unused(config.listen_address, MISSED_CHANGE_DEADLINE);
    assert_eq!(
        relay.metric("known_backends"),
        Some(2),
        "the relay must remove backends that the full list omits"
    );
    // The next change applies to the full list.
    watch.send_list(&list_changes(3, &[backends.endpoint(1, "draining")]));
    wait_until("only the added backend gets sessions", || {
        let before = backends.0[1].first_lines().len();
        (0..20).all(|_| Client::open(config.listen_address, "low").is_ok())
            && backends.0[1].first_lines().len() == before
    });
}
