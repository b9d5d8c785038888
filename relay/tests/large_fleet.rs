//! Sixteen relays, of which five are voters, and 48 backends. Operators take backends out of service one
//! after another under load while the leader is killed and a voter stalls. The test counts the backends out
//! of service by the responses that operators get.
mod common;

use common::coordination::Fleet;
use common::load::Load;
use serde_json::{json, Value};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const RELAYS: usize = 16;
const VOTERS: usize = 5;
const BACKENDS: usize = 48;
/// Number of backends that may be out of service at the same time.
const BUDGET: usize = 6;
/// Number of backends that are taken out of service if `WIDE_TURNS` is not set. All 48 take several minutes.
const DEFAULT_DRAIN_COUNT: usize = 12;
/// Time limit for observing all targets and for granting one lease on a busy machine.
const LONG_WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn wait_until(condition_name: &str, condition: impl FnMut() -> bool) {
    common::wait_until_within(LONG_WAIT_TIMEOUT, condition_name, condition);
}

/// Backends that are currently out of service, their highest count so far, and the duration of each granted
/// request.
#[derive(Default)]
struct OutOfService {
    now: BTreeSet<usize>,
    peak: usize,
    grant_durations: Vec<Duration>,
}

/// Runs one operator, who takes the next backend, requests its drain until this is granted, and returns the
/// backend to service after 3 s.
fn operate(operator_addresses: &[SocketAddr], pending: &Mutex<VecDeque<usize>>, out: &Mutex<OutOfService>) {
    let send = |i: usize, path: &str, body: &Value| {
        let text = body.to_string();
        let head = format!("POST {path} HTTP/1.1\r\nhost: relay\r\ncontent-length: {}\r\n\r\n", text.len());
        common::send_request(operator_addresses[i % operator_addresses.len()], (head + &text).as_bytes())
    };
    let next = || pending.lock().expect("the mutex is not poisoned").pop_front();
    while let Some(backend) = next() {
        let name = format!("b-{backend}");
        let mut attempts = backend;
        wait_until("the drain is granted", || {
            let requested_at = Instant::now();
            attempts += 1;
            let body = json!({"backend": name, "by": "ann", "why": "release"});
            let granted = send(attempts, "/v1/backend/drain", &body).0 == 200;
            if granted {
                let mut out = out.lock().expect("the mutex is not poisoned");
                out.now.insert(backend);
                out.peak = out.peak.max(out.now.len());
                out.grant_durations.push(requested_at.elapsed());
            }
            granted
        });
        // Time for the backend's sessions to migrate and for the maintenance.
        std::thread::sleep(Duration::from_secs(3));
        out.lock().expect("the mutex is not poisoned").now.remove(&backend);
        wait_until("the backend is returned to service", || {
            attempts += 1;
            let (code, text) = send(attempts, "/v1/backend/back", &json!({"backend": name}));
            // This text means that an earlier request was committed, but its response was lost.
            code == 200 || text.contains("not possible in the current state of the lease or rollout")
        });
    }
}

#[test]
fn drains_under_load_in_large_fleet_stay_within_budget() {
    let drain_count =
        std::env::var("WIDE_TURNS").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_DRAIN_COUNT);
    let budgets = json!([{"of": "backend", "scope": "fleet", "count": BUDGET}]);
    let started_at = Instant::now();
    let mut fleet = Fleet::start("wide", RELAYS, VOTERS, BACKENDS, &budgets);
    wait_until("all targets are observed and in service", || {
        let status = fleet.leader().and_then(|i| common::coordination::leases(fleet.relay(i)));
        status.is_some_and(|t| t["known"] == RELAYS + BACKENDS && t["things"] == json!([]))
    });
    println!("all {RELAYS} relays and {BACKENDS} backends are observed after {:?}", started_at.elapsed());
    // Clients and operators use the relays that are not voters, because these are not killed.
    let addresses: Vec<SocketAddr> =
        fleet.configs[VOTERS..].iter().map(|config| config.listen_address).collect();
    let operator_addresses: Vec<SocketAddr> =
        fleet.relays[VOTERS..].iter().flatten().map(|r| r.operator_address).collect();
    let baseline_load = Load::start(addresses.clone());
    std::thread::sleep(Duration::from_secs(5));
    let (opened, failed) = (baseline_load.opened.load(Ordering::SeqCst), baseline_load.failed());
    println!("no backend out of service: {opened} sessions opened in 5 s, {failed} failed");
    drop(baseline_load);

    let load = Load::start(addresses);
    let (pending, out) =
        (Mutex::new((0..drain_count).collect::<VecDeque<_>>()), Mutex::new(OutOfService::default()));
    let started_at = Instant::now();
    let mut failover = Duration::ZERO;
    std::thread::scope(|scope| {
        // Start more operators than the budget allows drains at the same time, so that some must wait.
        let operators: Vec<_> =
            (0..BUDGET + 4).map(|_| scope.spawn(|| operate(&operator_addresses, &pending, &out))).collect();
        std::thread::sleep(Duration::from_secs(4));
        let leader = fleet.leader().expect("exactly one relay leads");
        let killed = Instant::now();
        fleet.kill(leader);
        wait_until("another relay leads", || fleet.leader().is_some_and(|now| now != leader));
        failover = killed.elapsed();
        fleet.start_relay(leader);
        let stalled = (0..VOTERS)
            .find(|i| *i != leader && fleet.leader() != Some(*i))
            .expect("a voter follows the new leader");
        fleet.relay(stalled).signal("STOP");
        std::thread::sleep(Duration::from_secs(3));
        fleet.relay(stalled).signal("CONT");
        operators.into_iter().for_each(|operator| operator.join().expect("join the operator's thread"));
    });
    let (took, out) = (started_at.elapsed(), out.into_inner().expect("the mutex is not poisoned"));
    let mut grant_durations = out.grant_durations.clone();
    grant_durations.sort();
    let (opened, failed) = (load.opened.load(Ordering::SeqCst), load.failed());
    println!(
        "{drain_count} drains in {took:?}, at most {} at the same time, another leader after {failover:?}",
        out.peak
    );
    println!(
        "requests until granted: median {:?}, maximum {:?}",
        grant_durations[grant_durations.len() / 2],
        grant_durations[grant_durations.len() - 1]
    );
    println!("during the drains: {opened} sessions opened, {failed} failed");
    assert_eq!(grant_durations.len(), drain_count, "each requested drain must be granted once");
    assert!(out.peak <= BUDGET, "{} backends were out of service at the same time", out.peak);
    assert!(out.peak > 1, "at most {} backend was out of service at a time, wanted several", out.peak);
    assert!(opened > 100 && failed * 50 <= opened, "{failed} sessions failed, {opened} opened");
    wait_until("all targets are in service", || {
        let status = fleet.leader().and_then(|i| common::coordination::leases(fleet.relay(i)));
        status.is_some_and(|t| t["things"] == json!([]))
    });
}
