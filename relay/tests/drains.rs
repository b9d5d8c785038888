//! Drains that several relay processes coordinate while voters are killed, are stalled, lose their
//! disk, are reduced to a minority or all lose power. The tests check which relays drain and which
//! backends get sessions. A lease is the leader's grant that a relay or backend may be out of service.
mod common;

use common::coordination::{lease_row, leases, post, run_command, Fleet};
use common::{wait_until, Client, RelayProcess};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

fn run_drain_command(relay: &RelayProcess, arguments: &[&str]) -> (Option<i32>, String) {
    run_command(relay, "drain", arguments)
}

fn request_drain(relay: &RelayProcess) -> (u16, String) {
    post(relay, "/v1/relay/drain", &json!({"by": "ann", "why": "new disks"}))
}

fn is_draining(relay: &RelayProcess) -> bool {
    relay.request("GET", "/v1/readyz").1.contains("draining")
}

/// Returns budgets that allow one relay and one backend out of service at a time.
fn one_of_each_kind() -> Value {
    json!([{"of": "relay", "scope": "fleet", "count": 1}, {"of": "backend", "scope": "fleet", "count": 1}])
}

#[test]
fn concurrent_drain_requests_are_granted_to_one_relay() {
    let fleet = Fleet::start_in_service("one", 4, 3, &one_of_each_kind());
    // The drains of all four relays are requested at the same time.
    let codes: Vec<u16> = std::thread::scope(|scope| {
        let requests: Vec<_> = fleet.running().map(|relay| scope.spawn(|| request_drain(relay).0)).collect();
        requests.into_iter().map(|request| request.join().expect("join the drain request")).collect()
    });
    assert_eq!(
        (codes.iter().filter(|c| **c == 200).count(), codes.iter().filter(|c| **c == 409).count()),
        (1, 3)
    );
    let out = codes.iter().position(|code| *code == 200).expect("one request is granted");
    let drained: Vec<usize> = (0..4).filter(|i| is_draining(fleet.relay(*i))).collect();
    assert_eq!(drained, [out], "only the relay whose request was granted may drain");
    let next = (out + 1) % 4;
    let (code, why) = request_drain(fleet.relay(next));
    assert!(
        code == 409 && why.contains("at most 1 relay of the fleet") && why.contains(&format!("relay r{out}")),
        "the request of r{next} must be denied because of r{out}, got {code}: {why}"
    );
    // A forced drain exceeds the budgets, and is reported as forced.
    let (code, text) =
        run_drain_command(fleet.relay(next), &["relay", "--force", "--by", "bo", "--why", "on fire"]);
    assert_eq!(code, Some(0), "{text}");
    fleet.wait_for_lease_state(&format!("relay r{next}"), "out");
    let leader = fleet.wait_for_leader();
    let forced = lease_row(fleet.relay(leader), &format!("relay r{next}"))
        .expect("the leader lists the drained relay");
    assert!(forced["forced"] == true && forced["by"] == "bo" && forced["why"] == "on fire", "{forced}");
    for i in [out, next] {
        assert_eq!(fleet.relay(i).request("POST", "/v1/relay/activate").0, 200);
    }
    fleet.wait_until_all_in_service(4);
    let third = (out + 2) % 4;
    assert_eq!(request_drain(fleet.relay(third)).0, 200);
}

/// The leader is killed while a relay is out of service. That relay still uses the budget, and leases survive
/// the leader and a power loss.
#[test]
fn leases_survive_killed_leader_and_power_loss() {
    let mut fleet = Fleet::start_in_service("dead", 4, 3, &one_of_each_kind());
    assert_eq!(request_drain(fleet.relay(3)).0, 200);
    let leader = fleet.wait_for_leader();
    fleet.kill(leader);
    let other = fleet.wait_for_leader();
    assert_ne!(other, leader);
    fleet.wait_for_lease_state("relay r3", "out");
    let next = (0..3).find(|i| *i != leader && *i != other).expect("the fleet has a third voter");
    assert_eq!(request_drain(fleet.relay(next)).0, 409);
    fleet.start_relay(leader);
    // All relays lose power.
    (0..4).for_each(|i| fleet.kill(i));
    (0..4).for_each(|i| fleet.start_relay(i));
    fleet.wait_for_leader();
    // The drained relay has restarted and serves, so its drain has ended.
    fleet.wait_until_all_in_service(4);
    assert_eq!(request_drain(fleet.relay(next)).0, 200);
    assert_eq!(request_drain(fleet.relay(leader)).0, 409);
}

/// A minority of voters serves but grants no lease; a stalled leader steps down when it resumes.
#[test]
fn minority_serves_and_grants_no_lease() {
    let mut fleet = Fleet::start_in_service("minority", 4, 3, &one_of_each_kind());
    let leader = fleet.wait_for_leader();
    fleet.relay(leader).signal("STOP");
    let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
    let leads = |i: &usize| leases(fleet.relay(*i)).is_some_and(|t| t["leads"] == true);
    wait_until("another relay leads", || others.iter().any(leads));
    let (code, why) = request_drain(fleet.relay(3));
    assert!(
        code == 409 && why.contains(&format!("relay r{leader} (not up)")),
        "the stalled relay must count as unavailable: {why}"
    );
    fleet.relay(leader).signal("CONT");
    wait_until("the former leader follows", || {
        leases(fleet.relay(leader)).is_some_and(|t| t["leads"] == false && t["role"] == "following")
    });
    fleet.wait_until_all_in_service(4);
    others.iter().for_each(|i| fleet.kill(*i));
    let (code, why) = request_drain(fleet.relay(3));
    assert_eq!(code, 409, "{why}");
    assert!(!is_draining(fleet.relay(3)), "r3 drains without a lease");
    for i in [leader, 3] {
        let mut client = Client::open(fleet.configs[i].listen_address, "low").expect("open a session");
        assert!(client.echoes(), "r{i} must serve without a quorum");
    }
    fleet.start_relay(others[0]);
    fleet.wait_for_leader();
}

/// A voter that lost its disk does not vote until the other voters have added its new incarnation.
#[test]
fn voter_that_lost_its_disk_is_added_again() {
    let mut fleet =
        Fleet::start_in_service("disk", 3, 3, &json!([{"of": "relay", "scope": "fleet", "count": 2}]));
    assert_eq!(request_drain(fleet.relay(2)).0, 200);
    let leader = fleet.wait_for_leader();
    // A voter that neither leads nor drains, if there is one.
    let lost = (0..3).find(|i| *i != leader && *i != 2).unwrap_or((leader + 1) % 3);
    fleet.kill(lost);
    std::fs::remove_dir_all(fleet.configs[lost].directory.join("state")).expect("remove the voter's store");
    fleet.start_relay(lost);
    wait_until("the new incarnation is a voter", || {
        leases(fleet.relay(lost))
            .is_some_and(|t| t["role"] == "following" && t["voters"] == 3 && t["index"] != 0)
    });
    // The vote of the new incarnation counts: it forms a quorum with one other voter.
    let killed = (0..3)
        .find(|i| *i != lost && *i != 2)
        .expect("the fleet has a voter that is neither lost nor drained");
    fleet.kill(killed);
    fleet.wait_for_leader();
    fleet.wait_for_lease_state("relay r2", if lost == 2 { "in" } else { "out" });
}

/// A backend drains for all relays of the fleet: it gets no new sessions, its sessions are migrated, and the
/// drain of a second backend is denied.
#[test]
fn backend_drains_for_all_relays() {
    let fleet = Fleet::start_in_service("backend", 3, 3, &one_of_each_kind());
    let mut clients: Vec<Client> = (0..30)
        .map(|i| Client::open(fleet.configs[i % 3].listen_address, "low").expect("open a session"))
        .collect();
    assert!(clients.iter_mut().all(Client::echoes), "all sessions must echo before the drain");
    let at_drained = fleet.backends[1].opened();
    assert!(at_drained > 0, "the backend that is to drain must have sessions");
    let (code, text) =
        run_drain_command(fleet.relay(0), &["backend", "b-1", "--by", "ann", "--why", "new disks"]);
    assert_eq!((code, text.trim()), (Some(0), "backend b-1 is draining"));
    let (code, text) = run_drain_command(fleet.relay(1), &["backend", "b-0"]);
    assert!(
        code == Some(1) && text.contains("at most 1 backend of the fleet; unavailable: backend b-1 (out)"),
        "{text}"
    );
    // All relays, including followers, apply the drain within 2.5 s.
    std::thread::sleep(Duration::from_millis(2_500));
    let before = fleet.backends[1].opened();
    for i in 0..60 {
        Client::open(fleet.configs[i % 3].listen_address, "low").expect("open a session");
    }
    assert_eq!(fleet.backends[1].opened(), before, "the draining backend must get no new session");
    let leader = fleet.wait_for_leader();
    wait_until("the drained backend has no sessions", || {
        lease_row(fleet.relay(leader), "backend b-1").is_some_and(|r| r["left"] == 0)
    });
    let migrated = clients.iter_mut().filter_map(Client::receive_now).filter(|line| line == "MOVE").count();
    assert_eq!(migrated as u64, at_drained, "exactly the sessions of the drained backend must be migrated");
    assert_eq!(run_drain_command(fleet.relay(2), &["back", "b-1"]).0, Some(0));
    wait_until("the returned backend gets a session", || {
        Client::open(fleet.configs[0].listen_address, "low").expect("open a session");
        fleet.backends[1].opened() > before
    });
    fleet.wait_until_all_in_service(3);
    let (code, text) = run_drain_command(fleet.relay(2), &["backend", "b-9"]);
    assert!(code == Some(1) && text.contains("the leader has not observed this target yet"), "{text}");
}

/// A relay that is killed while out of service counts as out until its lease is reclaimed, and as down
/// until it is up again.
#[test]
fn lease_of_relay_killed_while_out_is_reclaimed() {
    let mut fleet = Fleet::start_in_service("freed", 4, 3, &one_of_each_kind());
    assert_eq!(request_drain(fleet.relay(3)).0, 200);
    fleet.kill(3);
    let leader = fleet.wait_for_leader();
    wait_until("the killed relay is down", || {
        lease_row(fleet.relay(leader), "relay r3").is_some_and(|r| r["condition"] == "down")
    });
    let row = lease_row(fleet.relay(leader), "relay r3").expect("the leader lists the killed relay");
    assert_eq!(row["stage"], "out", "{row}");
    let started_at = Instant::now();
    assert_eq!(run_drain_command(fleet.relay(0), &["free", "relay", "r3", "--by", "bo"]).0, Some(0));
    assert_eq!(
        lease_row(fleet.relay(leader), "relay r3").expect("the leader lists the killed relay")["stage"],
        "in"
    );
    assert_eq!(
        request_drain(fleet.relay(1)).0,
        409,
        "a relay that is reclaimed and down must still use the budget"
    );
    fleet.start_relay(3);
    fleet.wait_until_all_in_service(4);
    assert_eq!(request_drain(fleet.relay(1)).0, 200);
    assert!(started_at.elapsed() < Duration::from_secs(20), "took {:?}", started_at.elapsed());
}

/// The new process of a hot restart is killed immediately: the old process votes again and applies each log
/// entry once.
#[test]
fn voter_after_failed_hot_restart_matches_other_voters() {
    let mut fleet = Fleet::start_in_service("back", 3, 3, &one_of_each_kind());
    assert_eq!(request_drain(fleet.relay(2)).0, 200);
    assert_eq!(fleet.relay(2).request("POST", "/v1/relay/activate").0, 200);
    fleet.wait_until_all_in_service(3);
    let mut new = fleet.configs[1].start();
    new.wait_until_ready();
    new.child.kill().expect("kill the relay process");
    wait_until("the old process votes again", || {
        leases(fleet.relay(1)).is_some_and(|t| t["role"] != "no voter" && t["index"] != 0)
    });
    fleet.wait_until_all_in_service(3);
    assert_eq!(request_drain(fleet.relay(2)).0, 200);
    let lease_id = |i: usize| lease_row(fleet.relay(i), "relay r2").map(|r| r["grant"].clone());
    wait_until("both relays list the lease", || lease_id(0).is_some() && lease_id(1).is_some());
    assert_eq!(lease_id(0), lease_id(1), "the same log must give the same lease IDs");
}

/// Guards an excluded backend (one that operators drain for the fleet) against every way in which the next
/// process of a relay begins, while no other relay can notify it: the others are stopped.
#[test]
fn excluded_backend_outlasts_every_beginning_of_a_process() {
    for begin in ["restart", "hot restart", "failed hot restart"] {
        let mut fleet = Fleet::start_in_service(&begin.replace(' ', "-"), 3, 3, &one_of_each_kind());
        // The successor that will fail is there when the backend is drained, and learns of the drain alone.
        let successor = (begin == "failed hot restart").then(|| {
            let successor = fleet.configs[2].start();
            successor.wait_until_ready();
            successor
        });
        wait_until("the backend is drained", || {
            post(fleet.relay(0), "/v1/backend/drain", &json!({"backend": "b-1", "by": "ann", "why": "disks"}))
                .0
                == 200
        });
        let address = fleet.configs[2].listen_address;
        let sessions_at_excluded = |fleet: &Fleet| {
            let before = fleet.backends[1].opened();
            let established = (0..20).filter(|_| Client::open(address, "low").is_ok()).count();
            assert!(established > 10, "{begin}: only {established} sessions were established");
            fleet.backends[1].opened() - before
        };
        wait_until("the relay heeds the drain", || sessions_at_excluded(&fleet) == 0);
        (0..2).for_each(|i| fleet.relay(i).signal("STOP"));
        let newest = match (begin, successor) {
            (_, Some(mut successor)) => {
                successor.child.kill().expect("kill the successor");
                wait_until("the old process serves again", || fleet.relay(2).is_ready());
                None
            }
            ("restart", None) => {
                fleet.kill(2);
                fleet.start_relay(2);
                fleet.relay(2).wait_until_ready();
                None
            }
            _ => Some(fleet.configs[2].start()).inspect(RelayProcess::wait_until_ready),
        };
        assert_eq!(sessions_at_excluded(&fleet), 0, "sessions at the excluded backend after a {begin}");
        drop(newest);
    }
}
