//! Rollouts over several relays under load: the test plays the deployment system, which replaces relays and
//! updates backends when they are due. Rollouts are halted by an operator and by a bad build, and the leader
//! is killed meanwhile.
mod common;

use common::coordination::{lease_row, leases, post, run_command, Fleet};
use common::load::Load;
use common::wait_until;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The leader's response to `GET /v1/release`; none while there is no leader or no rollout.
fn release_status(fleet: &Fleet) -> Option<Value> {
    let relay = fleet.relay(fleet.leader()?);
    let (code, text) = relay.request("GET", "/v1/release");
    (code == 200).then(|| serde_json::from_str(text.split("\r\n\r\n").nth(1)?).ok())?
}

/// The rollout's phase by its name in the status; empty where there is none.
fn phase(fleet: &Fleet) -> String {
    release_status(fleet).map_or(String::new(), |status| status["phase"].as_str().unwrap_or("").to_string())
}

/// The targets that are to be updated now.
fn due_items(fleet: &Fleet) -> Vec<Value> {
    release_status(fleet).and_then(|status| status["due"].as_array().cloned()).unwrap_or_default()
}

/// Reports an item as updated, and waits until that is committed.
fn mark_done(fleet: &Fleet, due: &Value) {
    let body = json!({due["kind"].as_str().expect("a kind"): due["name"], "grant": due["grant"]});
    wait_until("what was done is agreed", || {
        let Some(leader) = fleet.leader() else { return false };
        let (code, text) = post(fleet.relay(leader), "/v1/release/did", &body);
        // Committed before, but the response was lost with a leader.
        code == 200 || text.contains("not possible in the current state of the lease or rollout")
    });
}

/// Replaces one relay's process by a hot restart, in which no session is migrated.
fn replace_relay(fleet: &mut Fleet, name: &str) {
    let i: usize = name[1..].parse().expect("a number");
    let new = fleet.configs[i].start();
    wait_until("the new one is ready", || new.is_ready());
    let old = fleet.relays[i].replace(new).expect("it runs");
    old.signal("TERM");
    let mut old = old;
    wait_until("the old one ends", || old.has_exited());
}

fn write_plan(fleet: &Fleet, text: &str) -> PathBuf {
    let path = fleet.configs[0].directory.join("plan.toml");
    std::fs::write(&path, text).expect("a plan");
    path
}

/// Runs `hallrelay release start` with this plan; returns its exit status and output.
fn start_release(fleet: &Fleet, text: &str) -> (Option<i32>, String) {
    let path = write_plan(fleet, text);
    run_command(fleet.relay(fleet.wait_for_leader()), "release", &["start", path.to_str().expect("a path")])
}

fn listen_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.configs.iter().map(|config| config.listen_address).collect()
}

/// Four relays are updated one after another, with a halt after the second, in which the leader is killed.
#[test]
fn relays_are_replaced_in_waves_through_a_halt_and_a_dead_leader() {
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
    assert_eq!(start_release(&fleet, waves).0, Some(1), "one is under way");
    let (mut done, mut halted) = (Vec::new(), false);
    while phase(&fleet) != "finished" {
        let due = due_items(&fleet);
        assert!(due.len() <= 1, "one at a time: {due:?}");
        if let Some(item) = due.first() {
            assert_eq!(item["build"], "b2");
            let name = item["name"].as_str().expect("a name").to_string();
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
            assert_eq!(phase(&fleet), "halted");
            fleet.start_relay(leader);
            // It may be the one that is due, and a hot restart needs a running process.
            fleet.relay(leader).wait_until_ready();
            // An item in progress is completed; no further one begins.
            if let Some(item) = due_items(&fleet).first() {
                let name = item["name"].as_str().expect("a name").to_string();
                replace_relay(&mut fleet, &name);
                mark_done(&fleet, item);
                done.push(name);
            }
            std::thread::sleep(Duration::from_millis(2_500));
            assert_eq!((phase(&fleet).as_str(), due_items(&fleet).len()), ("halted", 0));
            let now = fleet.wait_for_leader();
            assert!(now != leader || other != leader);
            assert_eq!(run_command(fleet.relay(now), "release", &["resume"]).0, Some(0));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut all = done.clone();
    all.sort();
    assert_eq!(
        (done[0].as_str(), all.join(" ").as_str()),
        ("r3", "r0 r1 r2 r3"),
        "each once, the canary first"
    );
    fleet.wait_until_all_in_service(4);
    // Clients of the relay that was killed are refused for a moment.
    let (opened, failed) = (load.opened.load(Ordering::SeqCst), load.failed());
    assert!(opened > 200 && failed < opened / 3, "{failed} of {opened}");
}

/// A build that drops every session: the analysis halts the rollout, which is then rolled back; no other
/// backend gets the build.
#[test]
fn a_bad_build_of_a_backend_halts_and_goes_back() {
    let budgets = json!([{"of": "backend", "scope": "fleet", "count": 1}]);
    let fleet = Fleet::start_in_service("bad", 3, 3, &budgets);
    let load = Load::start(listen_addresses(&fleet));
    let text = "build = \"b2\"\nof = \"backend\"\nby = \"ann\"\n[judge]\nsessions = 12\n\
        worse = 0.1\nwithin_s = 60\n\
        [[wave]]\nnames = [\"b-1\"]\n[[wave]]\nshare = 1\n";
    let (code, text) = start_release(&fleet, text);
    assert_eq!(code, Some(0), "{text}");
    wait_until("the first is empty", || !due_items(&fleet).is_empty());
    let item = due_items(&fleet).remove(0);
    assert_eq!((&item["name"], &item["build"]), (&json!("b-1"), &json!("b2")));
    let before = fleet.backends[1].opened();
    fleet.backends[1].failing.store(true, Ordering::SeqCst);
    mark_done(&fleet, &item);
    wait_until("it halts by itself", || phase(&fleet) == "halted");
    let affected = fleet.backends[1].opened() - before;
    let why = release_status(&fleet).expect("a release")["why"].to_string();
    assert!(why.contains("failed sessions at the new build"), "{why}");
    assert!((3..=30).contains(&affected), "{affected} sessions met it");
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(due_items(&fleet).is_empty(), "nothing begins after it");
    let leader = fleet.wait_for_leader();
    assert_eq!(run_command(fleet.relay(leader), "release", &["back"]).0, Some(0));
    wait_until("it is to go back", || !due_items(&fleet).is_empty());
    let item = due_items(&fleet).remove(0);
    assert_eq!((&item["name"], &item["build"]), (&json!("b-1"), &Value::Null));
    fleet.backends[1].failing.store(false, Ordering::SeqCst);
    mark_done(&fleet, &item);
    wait_until("all is back", || phase(&fleet) == "back");
    assert!(lease_row(fleet.relay(leader), "backend b-0").is_none() && leases(fleet.relay(leader)).is_some());
    // Dropped sessions were retried at another backend, as they are idempotent.
    assert_eq!(load.failed(), 0);
}
