//! A watch that falls silent after a long healthy time: changes it missed are applied within 6 s. And a
//! complete list in place of changes: backends that it omits are removed.
use crate::backend::{Backend, Behaviour};
use crate::common::{wait_until, wait_until_within, Client, RelayConfig};
use crate::scripted_discovery::{
    endpoint, full_list, list_changes, ListRequest, RequestKind, ScriptedDiscovery,
};
use hallrelay_config::node::{self, Node, Overrides};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// By when after a watch fell silent the changes that it missed must be applied.
const MISSED_CHANGE_DEADLINE: Duration = Duration::from_secs(6);
/// How often an idle watch sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a watch stays healthy before it falls silent.
const HEALTHY_FOR: Duration = Duration::from_secs(13);
/// Divides all times in tests of a long healthy watch, the relay's own timeouts included.
const TIME_SCALE: u32 = 3;

/// Three backends: one that the missed list removes or drains, one that stays, and one that it adds.
struct Backends([Backend; 3]);

impl Backends {
    fn start() -> Backends {
        Backends(std::array::from_fn(|_| Backend::start(Behaviour::Serve)))
    }

    fn endpoint(&self, at: usize, lifecycle: &str) -> Value {
        endpoint(&format!("s-{at}"), self.0[at].address, lifecycle)
    }

    fn relay_config(&self, name: &str, service: &ScriptedDiscovery) -> RelayConfig {
        let mut config = RelayConfig::new(&format!("short-{name}"));
        config.json["discovery"] = json!(service.address().to_string());
        config.json["known"] = full_list(1, &[self.endpoint(0, "up"), self.endpoint(1, "up")]);
        config
    }

    fn first_draining(&self) -> Value {
        list_changes(2, &[self.endpoint(0, "draining"), self.endpoint(2, "up")])
    }

    fn first_omitted(&self) -> Value {
        full_list(2, &[self.endpoint(1, "up"), self.endpoint(2, "up")])
    }

    /// Checks that the added backend is used in time, and that the first one gets no new session after that.
    fn check_first_unused(&self, listen_address: SocketAddr, time: Duration) {
        wait_until_within(time, "the list that was missed is taken in", || {
            assert!(Client::open(listen_address, "low").is_ok(), "it serves all the while");
            !self.0[2].first_lines().is_empty()
        });
        let before = self.0[0].first_lines().len();
        for _ in 0..40 {
            assert!(Client::open(listen_address, "low").is_ok(), "it serves all the while");
        }
        assert_eq!(self.0[0].first_lines().len(), before, "new sessions to one that was taken away");
    }
}

/// Runs the relay in a thread of the test with its watch timeouts divided by `TIME_SCALE`. It ends with the
/// test process.
fn serve_with_scaled_timeouts(config: &RelayConfig) {
    let mut node: Node =
        node::parse(config.json.to_string().as_bytes(), &Overrides::default()).expect("it is sound");
    node.operator = None;
    node.limits.discovery_watch_timeout /= u64::from(TIME_SCALE);
    node.limits.discovery_answer_timeout /= u64::from(TIME_SCALE);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let reread = || Err("nobody asks for that".to_string());
        let served = hallrelay_relay::net::serve::run(node, reread, log);
        tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), served).expect("it serves");
    });
}

/// Accepts the first watch and begins its response.
fn answer_first_watch(service: &ScriptedDiscovery) -> ListRequest {
    let mut watch = service.next_request();
    assert_eq!(watch.kind, RequestKind::ChangesSince(1));
    watch.begin_answer();
    watch
}

fn check_late_silent_watch(name: &str, missed: impl Fn(&Backends) -> Value) {
    let (service, backends) = (ScriptedDiscovery::start(), Backends::start());
    let config = backends.relay_config(name, &service);
    serve_with_scaled_timeouts(&config);
    let mut watch = answer_first_watch(&service);
    wait_until("it listens", || Client::ping(config.listen_address).is_ok());
    wait_until("the one that is taken away is used", || {
        Client::open(config.listen_address, "low").is_ok() && !backends.0[0].first_lines().is_empty()
    });
    let started_at = Instant::now();
    watch.send_empty_line();
    while started_at.elapsed() < HEALTHY_FOR / TIME_SCALE {
        let other = service.request_within(HEARTBEAT_INTERVAL / TIME_SCALE);
        assert!(other.is_none(), "a sound watch is doubted");
        watch.send_empty_line();
    }
    let silent_since = Instant::now();
    let mut next =
        service.request_within(MISSED_CHANGE_DEADLINE / TIME_SCALE).expect("the silent watch is opened anew");
    assert_eq!(next.kind, RequestKind::ChangesSince(1));
    next.begin_answer();
    next.send_list(&missed(&backends));
    let remaining = (MISSED_CHANGE_DEADLINE / TIME_SCALE).saturating_sub(silent_since.elapsed());
    backends.check_first_unused(config.listen_address, remaining);
    drop(watch);
}

#[test]
fn changes_that_a_late_silent_watch_missed_are_applied_in_time() {
    check_late_silent_watch("late", Backends::first_draining);
}

#[test]
fn a_full_list_after_a_late_silent_watch_removes_omitted_backends() {
    check_late_silent_watch("late-whole", Backends::first_omitted);
}

/// The same with the relay's real timeouts, for a watch that is silent from the start.
#[test]
fn changes_that_a_silent_watch_missed_are_applied_in_time_with_real_timeouts() {
    let (service, backends) = (ScriptedDiscovery::start(), Backends::start());
    let mut config = backends.relay_config("silent", &service);
    let relay = config.start();
    let mut watch = answer_first_watch(&service);
    watch.send_empty_line();
    let silent_since = Instant::now();
    relay.wait_until_ready();
    let mut next = service.request_within(MISSED_CHANGE_DEADLINE).expect("the silent watch is opened anew");
    next.begin_answer();
    next.send_list(&backends.first_draining());
    backends.check_first_unused(
        config.listen_address,
        MISSED_CHANGE_DEADLINE.saturating_sub(silent_since.elapsed()),
    );
}

/// A healthy watch sends a complete list in place of a change.
#[test]
fn a_full_list_in_place_of_changes_on_a_healthy_watch_removes_omitted_backends() {
    let (service, backends) = (ScriptedDiscovery::start(), Backends::start());
    let mut config = backends.relay_config("reset", &service);
    let relay = config.start();
    let mut watch = answer_first_watch(&service);
    relay.wait_until_ready();
    watch.send_list(&list_changes(1, &[]));
    watch.send_list(&backends.first_omitted());
    backends.check_first_unused(config.listen_address, MISSED_CHANGE_DEADLINE);
    assert_eq!(relay.metric("known_backends"), Some(2), "what is left out is forgotten");
    // The next change applies to that list.
    watch.send_list(&list_changes(3, &[backends.endpoint(1, "draining")]));
    wait_until("only the last one is used", || {
        let before = backends.0[1].first_lines().len();
        (0..20).all(|_| Client::open(config.listen_address, "low").is_ok())
            && backends.0[1].first_lines().len() == before
    });
}
