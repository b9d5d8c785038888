//! Rollouts across several relays under load. An item of a rollout is one relay or backend; it is due when
//! the leader requests its update. The tests act as the deployment system, which replaces relays and updates
//! backends. An operator and a bad build halt rollouts, and the leader is killed during one.
mod common;

use common::coordination::{lease_row, leases, post, run_command, Fleet};
use common::load::Load;
use common::wait_until;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Response of the leader to `GET /v1/release`; none if there is no leader or no rollout.
fn release_status(fleet: &Fleet) -> Option<Value> {
    let relay = fleet.relay(fleet.leader()?);
    let (code, text) = relay.request("GET", "/v1/release");
    (code == 200).then(|| serde_json::from_str(text.split("\r\n\r\n").nth(1)?).ok())?
}

/// Name of the rollout's phase in the status; empty if there is none.
fn phase(fleet: &Fleet) -> String {
    release_status(fleet).map_or(String::new(), |status| status["phase"].as_str().unwrap_or("").to_string())
}

/// Items of the rollout that are due to be updated.
fn due_items(fleet: &Fleet) -> Vec<Value> {
    release_status(fleet).and_then(|status| status["due"].as_array().cloned()).unwrap_or_default()
}

/// Reports an item as updated and waits until the report is committed.
fn mark_done(fleet: &Fleet, due: &Value) {
    let body =
        json!({due["kind"].as_str().expect("the item has a kind"): due["name"], "grant": due["grant"]});
    wait_until("the report is committed", || {
        let Some(leader) = fleet.leader() else { return false };
        let (code, text) = post(fleet.relay(leader), "/v1/release/did", &body);
        // This text means that an earlier report was committed, but its response was lost with a leader.
        code == 200 || text.contains("not possible in the current state of the lease or rollout")
    });
}

/// Replaces the process of a relay by a hot restart, which migrates no session.
fn replace_relay(fleet: &mut Fleet, name: &str) {
    let i: usize = name[1..].parse().expect("the relay's name ends with its index");
    let new = fleet.configs[i].start();
    wait_until("the new process is ready", || new.is_ready());
    let old = fleet.relays[i].replace(new).expect("the relay is running");
    old.signal("TERM");
    let mut old = old;
    wait_until("the old process exits", || old.has_exited());
}

fn write_plan(fleet: &Fleet, text: &str) -> PathBuf {
    let path = fleet.configs[0].directory.join("plan.toml");
    std::fs::write(&path, text).expect("write the plan");
    path
}

/// Runs `hallrelay release start` with the given plan; returns its exit status and output.
fn start_release(fleet: &Fleet, text: &str) -> (Option<i32>, String) {
    let path = write_plan(fleet, text);
    run_command(
        fleet.relay(fleet.wait_for_leader()),
        "release",
        &["start", path.to_str().expect("the path is UTF-8")],
    )
}

fn listen_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.configs.iter().map(|config| config.listen_address).collect()
}

/// Four relays are updated one after another. After the second, the rollout is halted and the leader is
/// killed.
#[test]
fn rollout_of_relays_continues_after_halt_and_killed_leader() {
    let budgets = json!([{"of": "relay", "scope": "fleet", "count": 1}]);
    let mut fleet = Fleet::start_in_service("waves", 4, 3, &budgets);
    let (code, text) =
        start_release(&fleet, "build = \"b2\"\nof = \"relay\"\nby = \"ann\"\n[[wave]]\nname = [\"r3\"]\n");
    assert!(code == Some(2) && text.contains("plan.toml") && text.contains("name"), "{text}");
    let waves =
        "build = \"b2\"\nof = \"relay\"\nby = \"ann\"\n[judge]\nsessions = 20\nworse = 0.2\nwithin_s = 60\n\
        [[wave]]\nnames = [\"r3\"]\n[[wave]]\nshare = 1\n";
    let (code, text) = start_release(&fleet, &waves.replace("r3", "r9"));
    assert!(code == Some(1) && text.contains("no such relay or backend is known to the leader"), "{text}");
    let load = Load::start(listen_addresses(&fleet));
    let (code, text) = start_release(&fleet, waves);
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(start_release(&fleet, waves).0, Some(1), "a second rollout must be rejected");
    let (mut done, mut halted) = (Vec::new(), false);
    while phase(&fleet) != "finished" {
        let due = due_items(&fleet);
        assert!(due.len() <= 1, "at most one relay may be due: {due:?}");
        if let Some(item) = due.first() {
            assert_eq!(item["build"], "b2", "{item}");
            let name = item["name"].as_str().expect("the item has a name").to_string();
            replace_relay(&mut fleet, &name);
            mark_done(&fleet, item);
            done.push(name);
        }
        if done.len() == 2 && !halted {
            halted = true;
            let leader = fleet.wait_for_leader();
            assert_eq!(run_command(fleet.relay(leader), "release", &["halt", "--why", "lunch"]).0, Some(0));
            fleet.kill(leader);
            let other = fleet.wait_for_leader();
            assert_eq!(phase(&fleet), "halted", "phase at the new leader r{other}");
            fleet.start_relay(leader);
            // This relay may be the one that is due, and a hot restart needs a running process.
            fleet.relay(leader).wait_until_ready();
            // An item in progress is completed, but no further item begins.
            if let Some(item) = due_items(&fleet).first() {
                let name = item["name"].as_str().expect("the item has a name").to_string();
                replace_relay(&mut fleet, &name);
                mark_done(&fleet, item);
                done.push(name);
            }
            std::thread::sleep(Duration::from_millis(2_500));
            assert_eq!((phase(&fleet).as_str(), due_items(&fleet).len()), ("halted", 0));
            let now = fleet.wait_for_leader();
            assert!(
                now != leader || other != leader,
                "leaders after r{leader} was killed: r{other}, then r{now}"
            );
            assert_eq!(run_command(fleet.relay(now), "release", &["resume"]).0, Some(0));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut all = done.clone();
    all.sort();
    assert_eq!(
        (done[0].as_str(), all.join(" ").as_str()),
        ("r3", "r0 r1 r2 r3"),
        "each relay must be updated once, the canary first"
    );
    fleet.wait_until_all_in_service(4);
    // Clients of the killed relay are refused until it has restarted.
    let (opened, failed) = (load.opened.load(Ordering::SeqCst), load.failed());
    assert!(opened > 200 && failed < opened / 3, "{failed} failed, {opened} opened");
}

/// A build drops every session: the analysis halts the rollout, which is then rolled back, and no other
/// backend gets the build.
#[test]
fn bad_backend_build_halts_rollout_and_is_rolled_back() {
    let budgets = json!([{"of": "backend", "scope": "fleet", "count": 1}]);
    let fleet = Fleet::start_in_service("bad", 3, 3, &budgets);
    let load = Load::start(listen_addresses(&fleet));
    let text = "build = \"b2\"\nof = \"backend\"\nby = \"ann\"\n[judge]\nsessions = 12\n\
        worse = 0.1\nwithin_s = 60\n\
        [[wave]]\nnames = [\"b-1\"]\n[[wave]]\nshare = 1\n";
    let (code, text) = start_release(&fleet, text);
    assert_eq!(code, Some(0), "{text}");
    wait_until("the first backend is due", || !due_items(&fleet).is_empty());
    let item = due_items(&fleet).remove(0);
    assert_eq!((&item["name"], &item["build"]), (&json!("b-1"), &json!("b2")));
    let before = fleet.backends[1].opened();
    fleet.backends[1].failing.store(true, Ordering::SeqCst);
    mark_done(&fleet, &item);
    wait_until("the analysis halts the rollout", || phase(&fleet) == "halted");
    let affected = fleet.backends[1].opened() - before;
    let why = release_status(&fleet).expect("the leader reports the rollout")["why"].to_string();
    assert!(why.contains("failed sessions at the new build"), "{why}");
    assert!((3..=30).contains(&affected), "{affected} sessions reached the bad build");
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(due_items(&fleet).is_empty(), "no item may begin after the halt");
    let leader = fleet.wait_for_leader();
    assert_eq!(run_command(fleet.relay(leader), "release", &["back"]).0, Some(0));
    wait_until("the backend is due to be rolled back", || !due_items(&fleet).is_empty());
    let item = due_items(&fleet).remove(0);
    assert_eq!((&item["name"], &item["build"]), (&json!("b-1"), &Value::Null));
    fleet.backends[1].failing.store(false, Ordering::SeqCst);
    mark_done(&fleet, &item);
    // `back` is the phase of a rollout that was rolled back.
    wait_until("the rollout is rolled back", || phase(&fleet) == "back");
    assert!(lease_row(fleet.relay(leader), "backend b-0").is_none() && leases(fleet.relay(leader)).is_some());
    // Dropped sessions were retried at another backend because they are idempotent.
    assert_eq!(load.failed(), 0, "sessions that failed at all backends");
}
