//! Sixteen processes, five of which vote, before 48 backends that are released under load, some at a time,
//! while the leader is killed and a voter stalls. How many are out is counted from outside, by what operators
//! were told.
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
/// Backends that have their turn; all of them where `WIDE_TURNS` says so, which takes some minutes.
const TURNS: usize = 12;
/// For all to be seen, and for one turn, on a machine that does much else.
const LONG: Duration = Duration::from_secs(60);

fn until(what: &str, holds: impl FnMut() -> bool) {
    common::within(LONG, what, holds);
}

/// What is out now, and the most that ever was.
#[derive(Default)]
struct Out {
    now: BTreeSet<usize>,
    most: usize,
    grants: Vec<Duration>,
}

/// One operator: takes the next backend, asks till it may go, has it out for 3 s, brings it back.
fn operate(ask: &[SocketAddr], turns: &Mutex<VecDeque<usize>>, out: &Mutex<Out>) {
    let said = |i: usize, path: &str, body: &Value| {
        let text = body.to_string();
        let head = format!("POST {path} HTTP/1.1\r\nhost: relay\r\ncontent-length: {}\r\n\r\n", text.len());
        common::say(ask[i % ask.len()], (head + &text).as_bytes())
    };
    let next = || turns.lock().expect("no panic").pop_front();
    while let Some(one) = next() {
        let name = format!("b-{one}");
        let mut tries = one;
        until("its turn comes", || {
            let asked = Instant::now();
            tries += 1;
            let body = json!({"backend": name, "by": "ann", "why": "release"});
            let granted = said(tries, "/v1/backend/drain", &body).0 == 200;
            if granted {
                let mut out = out.lock().expect("no panic");
                out.now.insert(one);
                out.most = out.most.max(out.now.len());
                out.grants.push(asked.elapsed());
            }
            granted
        });
        // Its sessions are moved meanwhile, and whoever changes it takes a moment.
        std::thread::sleep(Duration::from_secs(3));
        out.lock().expect("no panic").now.remove(&one);
        until("it is back", || {
            tries += 1;
            let (code, text) = said(tries, "/v1/backend/back", &json!({"backend": name}));
            code == 200 || text.contains("that means nothing as it stands now")
        });
    }
}

#[test]
fn backends_are_released_under_load_by_sixteen_processes() {
    let turns = std::env::var("WIDE_TURNS").ok().and_then(|n| n.parse().ok()).unwrap_or(TURNS);
    let budgets = json!([{"of": "backend", "scope": "fleet", "count": BUDGET}]);
    let began = Instant::now();
    let mut fleet = Fleet::start("wide", RELAYS, VOTERS, BACKENDS, &budgets);
    until("all are seen and in", || {
        let told = fleet.leader().and_then(|i| common::coordination::leases(fleet.relay(i)));
        told.is_some_and(|t| t["known"] == RELAYS + BACKENDS && t["things"] == json!([]))
    });
    println!("all of {RELAYS} and {BACKENDS} are seen after {:?}", began.elapsed());
    // Clients and operators come to those that do not vote: these live on.
    let places: Vec<SocketAddr> = fleet.sites[VOTERS..].iter().map(|site| site.listen).collect();
    let ask: Vec<SocketAddr> = fleet.relays[VOTERS..].iter().flatten().map(|r| r.operator).collect();
    let alone = Load::begin(places.clone());
    std::thread::sleep(Duration::from_secs(5));
    let (opened, missed) = (alone.opened.load(Ordering::SeqCst), alone.missed());
    println!("none out: {opened} sessions in 5 s, {missed} missed");
    drop(alone);

    let load = Load::begin(places);
    let (left, out) = (Mutex::new((0..turns).collect::<VecDeque<_>>()), Mutex::new(Out::default()));
    let began = Instant::now();
    let mut failover = Duration::ZERO;
    std::thread::scope(|scope| {
        // More operators than may have something out.
        let all: Vec<_> = (0..BUDGET + 4).map(|_| scope.spawn(|| operate(&ask, &left, &out))).collect();
        std::thread::sleep(Duration::from_secs(4));
        let leader = fleet.leader().expect("one leads");
        let killed = Instant::now();
        fleet.kill(leader);
        until("another leads", || fleet.leader().is_some_and(|now| now != leader));
        failover = killed.elapsed();
        fleet.start_relay(leader);
        let stalled = (0..VOTERS).find(|i| *i != leader && fleet.leader() != Some(*i)).expect("some follow");
        fleet.relay(stalled).signal("STOP");
        std::thread::sleep(Duration::from_secs(3));
        fleet.relay(stalled).signal("CONT");
        all.into_iter().for_each(|one| one.join().expect("it ends"));
    });
    let (took, out) = (began.elapsed(), out.into_inner().expect("no panic"));
    let mut grants = out.grants.clone();
    grants.sort();
    let (opened, missed) = (load.opened.load(Ordering::SeqCst), load.missed());
    println!("{turns} turns in {took:?}, {} out at most, another leader after {failover:?}", out.most);
    println!(
        "a grant took {:?} in the median, {:?} at most",
        grants[grants.len() / 2],
        grants[grants.len() - 1]
    );
    println!("meanwhile {opened} sessions, {missed} missed");
    assert_eq!(grants.len(), turns);
    assert!(out.most <= BUDGET, "{} were out at a time", out.most);
    assert!(out.most > 1, "some at a time");
    assert!(opened > 100 && missed * 50 <= opened, "{missed} of {opened} sessions missed");
    until("all are in", || {
        let told = fleet.leader().and_then(|i| common::coordination::leases(fleet.relay(i)));
        told.is_some_and(|t| t["things"] == json!([]))
    });
}
