//! Rollouts over several processes under load: a stand-in for whoever deploys replaces relays and updates
//! backends as they are due. Halted by a person and by a bad build, with the leader killed meanwhile.
mod common;

use common::coordination::{lease_row, leases, post, run_command, Fleet};
use common::load::Load;
use common::until;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

fn release(fleet: &Fleet) -> Option<Value> {
    let relay = fleet.relay(fleet.leader()?);
    let (code, text) = relay.call("GET", "/v1/release");
    (code == 200).then(|| serde_json::from_str(text.split("\r\n\r\n").nth(1)?).ok())?
}

fn phase(fleet: &Fleet) -> String {
    release(fleet).map_or(String::new(), |told| told["phase"].as_str().unwrap_or("").to_string())
}

fn due(fleet: &Fleet) -> Vec<Value> {
    release(fleet).and_then(|told| told["due"].as_array().cloned()).unwrap_or_default()
}

fn mark_done(fleet: &Fleet, due: &Value) {
    let body = json!({due["kind"].as_str().expect("a kind"): due["name"], "grant": due["grant"]});
    until("what was done is agreed", || {
        let Some(leader) = fleet.leader() else { return false };
        let (code, text) = post(fleet.relay(leader), "/v1/release/did", &body);
        // Agreed before, and its answer was lost with a leader.
        code == 200 || text.contains("that means nothing as it stands now")
    });
}

/// Replaces the process of one relay, as whoever deploys would: no session is moved.
fn replace(fleet: &mut Fleet, name: &str) {
    let i: usize = name[1..].parse().expect("a number");
    let new = fleet.sites[i].start();
    until("the new one is ready", || new.ready());
    let old = fleet.relays[i].replace(new).expect("it runs");
    old.signal("TERM");
    let mut old = old;
    until("the old one ends", || old.has_ended());
}

fn plan(fleet: &Fleet, text: &str) -> PathBuf {
    let path = fleet.sites[0].folder.join("plan.toml");
    std::fs::write(&path, text).expect("a plan");
    path
}

fn start(fleet: &Fleet, text: &str) -> (Option<i32>, String) {
    let path = plan(fleet, text);
    run_command(fleet.relay(fleet.until_leader()), "release", &["start", path.to_str().expect("a path")])
}

fn listens(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.sites.iter().map(|site| site.listen).collect()
}

/// Four relays, one after another; halted after the first, the leader killed meanwhile, and on to the end.
#[test]
fn relays_are_replaced_in_waves_through_a_halt_and_a_dead_leader() {
    let budgets = json!([{"of": "relay", "scope": "fleet", "count": 1}]);
    let mut fleet = Fleet::start_in_service("waves", 4, 3, &budgets);
    let (code, text) =
        start(&fleet, "build = \"b2\"\nof = \"relay\"\nby = \"ann\"\n[[wave]]\nname = [\"r3\"]\n");
    assert!(code == Some(2) && text.contains("plan.toml") && text.contains("name"), "{text}");
    let waves =
        "build = \"b2\"\nof = \"relay\"\nby = \"ann\"\n[judge]\nsessions = 20\nworse = 0.2\nwithin_s = 60\n\
        [[wave]]\nnames = [\"r3\"]\n[[wave]]\nshare = 1\n";
    let (code, text) = start(&fleet, &waves.replace("r3", "r9"));
    assert!(code == Some(1) && text.contains("nobody knows it"), "{text}");
    let load = Load::begin(listens(&fleet));
    let (code, text) = start(&fleet, waves);
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(start(&fleet, waves).0, Some(1), "one is under way");
    let (mut done, mut halted) = (Vec::new(), false);
    while phase(&fleet) != "finished" {
        let now = due(&fleet);
        assert!(now.len() <= 1, "one at a time: {now:?}");
        if let Some(one) = now.first() {
            assert_eq!(one["build"], "b2");
            let name = one["name"].as_str().expect("a name").to_string();
            replace(&mut fleet, &name);
            mark_done(&fleet, one);
            done.push(name);
        }
        if done.len() == 2 && !halted {
            halted = true;
            let leader = fleet.until_leader();
            assert_eq!(run_command(fleet.relay(leader), "release", &["halt", "--why", "lunch"]).0, Some(0));
            fleet.kill(leader);
            let other = fleet.until_leader();
            assert_eq!(phase(&fleet), "halted");
            fleet.start_relay(leader);
            // It may be the one that is due: nobody can take the place of a process that is not there yet.
            fleet.relay(leader).until_ready();
            // What had begun by then goes to its end; nothing begins after it.
            if let Some(one) = due(&fleet).first() {
                let name = one["name"].as_str().expect("a name").to_string();
                replace(&mut fleet, &name);
                mark_done(&fleet, one);
                done.push(name);
            }
            std::thread::sleep(Duration::from_millis(2_500));
            assert_eq!((phase(&fleet).as_str(), due(&fleet).len()), ("halted", 0));
            let now = fleet.until_leader();
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
    fleet.until_all_in_service(4);
    // One was killed outright for the halt: its clients find nobody there for a moment.
    let (opened, missed) = (load.opened.load(Ordering::SeqCst), load.missed());
    assert!(opened > 200 && missed < opened / 3, "{missed} of {opened}");
}

/// A build that drops every session: halted by what relays count, and brought back; the rest never met it.
#[test]
fn a_bad_build_of_a_backend_halts_and_goes_back() {
    let budgets = json!([{"of": "backend", "scope": "fleet", "count": 1}]);
    let fleet = Fleet::start_in_service("bad", 3, 3, &budgets);
    let load = Load::begin(listens(&fleet));
    let text = "build = \"b2\"\nof = \"backend\"\nby = \"ann\"\n[judge]\nsessions = 12\n\
        worse = 0.1\nwithin_s = 60\n\
        [[wave]]\nnames = [\"b-1\"]\n[[wave]]\nshare = 1\n";
    let (code, text) = start(&fleet, text);
    assert_eq!(code, Some(0), "{text}");
    until("the first is empty", || !due(&fleet).is_empty());
    let one = due(&fleet).remove(0);
    assert_eq!((&one["name"], &one["build"]), (&json!("b-1"), &json!("b2")));
    let before = fleet.backends[1].opened();
    fleet.backends[1].bad.store(true, Ordering::SeqCst);
    mark_done(&fleet, &one);
    until("it halts by itself", || phase(&fleet) == "halted");
    let met = fleet.backends[1].opened() - before;
    let why = release(&fleet).expect("a release")["why"].to_string();
    assert!(why.contains("bad at the new build"), "{why}");
    assert!((3..=30).contains(&met), "{met} sessions met it");
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(due(&fleet).is_empty(), "nothing begins after it");
    let leader = fleet.until_leader();
    assert_eq!(run_command(fleet.relay(leader), "release", &["back"]).0, Some(0));
    until("it is to go back", || !due(&fleet).is_empty());
    let one = due(&fleet).remove(0);
    assert_eq!((&one["name"], &one["build"]), (&json!("b-1"), &Value::Null));
    fleet.backends[1].bad.store(false, Ordering::SeqCst);
    mark_done(&fleet, &one);
    until("all is back", || phase(&fleet) == "back");
    assert!(lease_row(fleet.relay(leader), "backend b-0").is_none() && leases(fleet.relay(leader)).is_some());
    // Whom it dropped was dialled elsewhere: these are repeatable.
    assert_eq!(load.missed(), 0);
}
