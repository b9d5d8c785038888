//! Sixteen relays, five of them voters, with 48 backends that are taken out of service in turn under load
//! while the leader is killed and a voter stalls. How many are out is counted by the responses that
//! operators get.
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
const BUDGET: usize = 6;
/// How many backends are taken out, unless `WIDE_TURNS` is set. All 48 take some minutes.
const DEFAULT_TURNS: usize = 12;
/// Bound for all targets to be observed, and for one lease, on a busy machine.
const LONG_WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn wait_until(condition_name: &str, condition: impl FnMut() -> bool) {
    common::wait_until_within(LONG_WAIT_TIMEOUT, condition_name, condition);
}

/// The backends that are out now, the highest count so far, and how long each granted request took.
#[derive(Default)]
struct OutOfService {
    now: BTreeSet<usize>,
    peak: usize,
    grant_durations: Vec<Duration>,
}

/// One operator: takes the next backend, requests its drain until granted, returns it after 3 s.
fn operate(operator_addresses: &[SocketAddr], pending: &Mutex<VecDeque<usize>>, out: &Mutex<OutOfService>) {
    let send = |i: usize, path: &str, body: &Value| {
        let text = body.to_string();
        let head = format!("POST {path} HTTP/1.1\r\nhost: relay\r\ncontent-length: {}\r\n\r\n", text.len());
        common::send_request(operator_addresses[i % operator_addresses.len()], (head + &text).as_bytes())
    };
    let next = || pending.lock().expect("no panic").pop_front();
    while let Some(backend) = next() {
        let name = format!("b-{backend}");
        let mut attempts = backend;
        wait_until("its turn comes", || {
            let requested_at = Instant::now();
            attempts += 1;
            let body = json!({"backend": name, "by": "ann", "why": "release"});
            let granted = send(attempts, "/v1/backend/drain", &body).0 == 200;
            if granted {
                let mut out = out.lock().expect("no panic");
                out.now.insert(backend);
                out.peak = out.peak.max(out.now.len());
                out.grant_durations.push(requested_at.elapsed());
            }
            granted
        });
        // Time for its sessions to migrate and for the maintenance itself.
        std::thread::sleep(Duration::from_secs(3));
        out.lock().expect("no panic").now.remove(&backend);
        wait_until("it is back", || {
            attempts += 1;
            let (code, text) = send(attempts, "/v1/backend/back", &json!({"backend": name}));
            code == 200 || text.contains("not possible in the current state of the lease or rollout")
        });
    }
}

#[test]
fn backends_are_released_under_load_by_sixteen_processes() {
    let turns = std::env::var("WIDE_TURNS").ok().and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_TURNS);
    let budgets = json!([{"of": "backend", "scope": "fleet", "count": BUDGET}]);
    let started_at = Instant::now();
    let mut fleet = Fleet::start("wide", RELAYS, VOTERS, BACKENDS, &budgets);
    wait_until("all are seen and in", || {
        let status = fleet.leader().and_then(|i| common::coordination::leases(fleet.relay(i)));
        status.is_some_and(|t| t["known"] == RELAYS + BACKENDS && t["things"] == json!([]))
    });
    println!("all of {RELAYS} and {BACKENDS} are seen after {:?}", started_at.elapsed());
    // Clients and operators use the relays that do not vote, as those are not killed.
    let addresses: Vec<SocketAddr> =
        fleet.configs[VOTERS..].iter().map(|config| config.listen_address).collect();
    let operator_addresses: Vec<SocketAddr> =
        fleet.relays[VOTERS..].iter().flatten().map(|r| r.operator_address).collect();
    let baseline_load = Load::start(addresses.clone());
    std::thread::sleep(Duration::from_secs(5));
    let (opened, failed) = (baseline_load.opened.load(Ordering::SeqCst), baseline_load.failed());
    println!("none out: {opened} sessions in 5 s, {failed} missed");
    drop(baseline_load);

    let load = Load::start(addresses);
    let (left, out) = (Mutex::new((0..turns).collect::<VecDeque<_>>()), Mutex::new(OutOfService::default()));
    let started_at = Instant::now();
    let mut failover = Duration::ZERO;
    std::thread::scope(|scope| {
        // More operators than the budget allows at once.
        let all: Vec<_> =
            (0..BUDGET + 4).map(|_| scope.spawn(|| operate(&operator_addresses, &left, &out))).collect();
        std::thread::sleep(Duration::from_secs(4));
        let leader = fleet.leader().expect("one leads");
        let killed = Instant::now();
        fleet.kill(leader);
        wait_until("another leads", || fleet.leader().is_some_and(|now| now != leader));
        failover = killed.elapsed();
        fleet.start_relay(leader);
        let stalled = (0..VOTERS).find(|i| *i != leader && fleet.leader() != Some(*i)).expect("some follow");
        fleet.relay(stalled).signal("STOP");
        std::thread::sleep(Duration::from_secs(3));
        fleet.relay(stalled).signal("CONT");
        all.into_iter().for_each(|operator| operator.join().expect("it ends"));
    });
    let (took, out) = (started_at.elapsed(), out.into_inner().expect("no panic"));
    let mut grant_durations = out.grant_durations.clone();
    grant_durations.sort();
    let (opened, failed) = (load.opened.load(Ordering::SeqCst), load.failed());
    println!("{turns} turns in {took:?}, {} out at most, another leader after {failover:?}", out.peak);
    println!(
        "a grant took {:?} in the median, {:?} at most",
        grant_durations[grant_durations.len() / 2],
        grant_durations[grant_durations.len() - 1]
    );
    println!("meanwhile {opened} sessions, {failed} missed");
    assert_eq!(grant_durations.len(), turns);
    assert!(out.peak <= BUDGET, "{} were out at a time", out.peak);
    assert!(out.peak > 1, "some at a time");
    assert!(opened > 100 && failed * 50 <= opened, "{failed} of {opened} sessions missed");
    wait_until("all are in", || {
        let status = fleet.leader().and_then(|i| common::coordination::leases(fleet.relay(i)));
        status.is_some_and(|t| t["things"] == json!([]))
    });
}
