//! Membership between real relay processes over emulated links, while links are cut and split, and processes
//! are stalled, killed, restarted in a loop and replaced. The tests check counts and order, but no tight
//! times.
use hallrelay_emulator::service::Outcome;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const LAB: &str = env!("CARGO_BIN_EXE_hallrelay-lab");
const BASE: &str = include_str!("troubles/base.toml");

fn rehearse(name: &str, relays: &str, length_s: u32, faults: &str) -> (Outcome, Option<i32>) {
    let folder = std::env::temp_dir().join(format!("hallrelay-lab-{}-{name}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("create the test directory");
    let text = BASE.replace("count = 2", &format!("{relays}\nfleet = true"));
    let text = text.replace("length_s = 24", &format!("length_s = {length_s}"));
    let path = folder.join("day.toml");
    std::fs::write(&path, text + faults).expect("write the scenario");
    let mut command = Command::new(LAB);
    command.arg("rehearse").arg(&path).arg("--out").arg(folder.join("o")).arg("--json");
    let output = command.stdin(Stdio::null()).output().expect("run the laboratory");
    let stderr = String::from_utf8_lossy(&output.stderr);
    let o = serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {stderr}"));
    _ = std::fs::remove_dir_all(&folder);
    (o, output.status.code())
}

/// Number of relays in whose view the subject was in a state at any time.
fn observer_count(o: &Outcome, subject: &str, state: &str) -> usize {
    let changes = &o.membership.as_ref().expect("the outcome has membership").view_changes;
    let observers: std::collections::BTreeSet<usize> =
        changes.iter().filter(|b| b.subject == subject && b.state == state).map(|b| b.observer).collect();
    observers.len()
}

/// The last state in the lane of each relay.
fn final_states(o: &Outcome) -> Vec<&str> {
    let lanes = &o.membership.as_ref().expect("the outcome has membership").lanes;
    lanes.iter().map(|lane| lane.last().map_or("", |entry| entry.word.as_str())).collect()
}

#[test]
fn stalled_killed_and_stopped_relays_are_distinguished() {
    let faults = r#"
[[trouble]]
kind = "link-cut"
at_s = 1
length_s = 5
from = [0]
to = [1]
one_way = true
[[trouble]]
kind = "relay-stalled"
at_s = 3
length_s = 8
relays = [2]
[[trouble]]
kind = "relay-killed"
at_s = 8
length_s = 8
relays = [3]
[[trouble]]
kind = "relay-replaced"
at_s = 5
relays = [4]
[[trouble]]
kind = "relay-stopped"
at_s = 17
length_s = 30
relays = [1]
"#;
    let (o, code) = rehearse("cuts", "count = 5", 30, faults);
    let membership = o.membership.as_ref().expect("the outcome has membership");
    assert_eq!((&membership.findings, &o.breaches, code), (&vec![], &vec![], Some(0)), "{:?}", o.log);
    // Relay 2 was stalled, relay 3 killed and relay 1 stopped: the relays that could detect it, did.
    assert!(
        observer_count(&o, "relay-2", "gone") >= 3 && observer_count(&o, "relay-3", "gone") >= 3,
        "{:?}",
        membership.view_changes
    );
    assert!(
        observer_count(&o, "relay-1", "left") >= 3 && observer_count(&o, "relay-1", "gone") == 0,
        "{:?}",
        membership.view_changes
    );
    assert_eq!(
        (observer_count(&o, "relay-4", "gone"), observer_count(&o, "relay-0", "gone")),
        (0, 0),
        "{:?}",
        membership.view_changes
    );
    assert!(
        membership.deaths.count >= 3 && membership.returns.count >= 3,
        "deaths {:?}, returns {:?}",
        membership.deaths,
        membership.returns
    );
    assert_eq!(o.relays.iter().map(|r| r.starts).sum::<u32>(), 7, "five, a kill and a replacement");
    assert!(o.relays.iter().all(|r| !r.crashed), "{:?}", o.relays);
}

#[test]
fn split_fleet_reunites_despite_loss_and_restart_loop() {
    let faults = r#"
[[trouble]]
kind = "link-split"
at_s = 4
length_s = 6
groups = [[0, 1, 2], [3, 4, 5]]
[[trouble]]
kind = "link-loss"
at_s = 0
length_s = 32
strength = 0.1
[[trouble]]
kind = "link-damage"
at_s = 0
length_s = 32
strength = 0.1
[[trouble]]
kind = "relay-looping"
at_s = 14
length_s = 5
every_s = 0.8
relays = [5]
"#;
    let (o, code) = rehearse("halves", "count = 6", 36, faults);
    let membership = o.membership.as_ref().expect("the outcome has membership");
    assert_eq!((&membership.findings, &o.breaches, code), (&vec![], &vec![], Some(0)), "{:?}", o.log);
    assert!(
        observer_count(&o, "relay-0", "gone") >= 2 && observer_count(&o, "relay-3", "gone") >= 2,
        "{:?}",
        membership.view_changes
    );
    assert_eq!(final_states(&o), ["whole"; 6], "{:?}", membership.lanes);
    let [sent, arrived, lost, damaged] = membership.datagrams;
    assert!(lost > 50 && damaged > 50 && sent >= arrived, "{:?}", membership.datagrams);
}

/// Relays, servers and the list service fail at the same time, and two relays fail a second time. While the
/// relays return, the link between two of them is cut. No rule may be broken, including those about drains
/// that were announced before the failure.
#[test]
fn fleet_recovers_from_power_loss_during_link_cut() {
    let faults = r#"
[[trouble]]
kind = "drain"
at_s = 2
length_s = 20
share = 0.25
[[trouble]]
kind = "crash"
at_s = 8
length_s = 4
share = 1
[[trouble]]
kind = "list-down"
at_s = 8
length_s = 14
[[trouble]]
kind = "relay-killed"
at_s = 8
length_s = 3
share = 1
[[trouble]]
kind = "relay-killed"
at_s = 14
length_s = 2
relays = [0, 2]
[[trouble]]
kind = "link-cut"
at_s = 11
length_s = 6
from = [0]
to = [1]
"#;
    let relays = "count = 4\nstate = true\nknown = \"first\"\nretry_after_ms = 1500";
    let (o, code) = rehearse("power", relays, 32, faults);
    let membership = o.membership.as_ref().expect("the outcome has membership");
    assert_eq!((&membership.findings, &o.breaches, code), (&vec![], &vec![], Some(0)), "{:?}", o.log);
    assert_eq!((o.stale_dials, o.overloads), (0, 0), "{:?}", o.log);
    assert_eq!(o.relays.iter().map(|r| r.starts).sum::<u32>(), 10);
    assert_eq!(final_states(&o), ["whole"; 4], "{:?}", membership.lanes);
    let last = o.samples.last().expect("the outcome has samples");
    assert!(last.open > 20, "clients are not served again: {last:?}");
}

#[test]
fn invalid_faults_between_relays_are_reported_with_key() {
    let cut = "[[trouble]]\nkind = \"link-cut\"\nat_s = 2\nlength_s = 3\n";
    let cases = [
        ("", cut.to_string(), "relays.fleet is not true"),
        ("fleet = true", cut.replace("length_s = 3", ""), "trouble[0].length_s: wanted more than 0"),
        ("fleet = true", format!("{cut}from = [9]"), "trouble[0].from: names a relay that does not exist"),
        ("fleet = true", format!("{cut}one_way = true"), "trouble[0].one_way: requires `from`"),
        (
            "fleet = true",
            format!("{cut}groups = [[0]]"),
            "trouble[0].groups: applies only to kind = \"link-split\"",
        ),
        ("fleet = true", format!("{cut}every_s = 0.01"), "trouble[0].every_s: wanted at least 0.1 s"),
        (
            "fleet = true",
            format!("{cut}delay_ms = [1, 2]"),
            "trouble[0].delay_ms: does not apply to this kind",
        ),
        ("fleet = true", cut.replace("link-cut", "link-delay"), "trouble[0].delay_ms: wanted two times"),
        (
            "fleet = true",
            cut.replace("link-cut", "link-loss"),
            "trouble[0].strength: wanted a fraction of datagrams over 0",
        ),
        (
            "fleet = true",
            cut.replace("link-cut", "link-split") + "groups = [[0, 1], [1]]",
            "trouble[0].groups: names a relay twice",
        ),
        ("fleet = true\nseeds = 0", String::new(), "relays.seeds: wanted at least 1"),
    ];
    let folder = std::env::temp_dir().join(format!("hallrelay-lab-{}-ways", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the test directory");
    let check_fails = |text: &str, expected: &str| {
        let path = folder.join("day.toml");
        std::fs::write(&path, text).expect("write the scenario");
        let output = Command::new(LAB).arg("check").arg(&path).output().expect("run the laboratory");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{expected}: {stderr}");
        assert!(stderr.contains("day.toml:") && stderr.contains(expected), "{expected}: {stderr}");
        stderr
    };
    for (relays, fault, expected) in cases {
        check_fails(&(BASE.replace("count = 2", &format!("count = 2\n{relays}")) + &fault), expected);
    }
    // The table had this name in earlier versions.
    let stderr = check_fails(&BASE.replace("[servers]", "[fleet]"), "fleet: is now called servers");
    let line = BASE.split("[servers]").next().expect("find [servers]").matches('\n').count() + 1;
    assert!(stderr.contains(&format!("day.toml:{line}: ")), "{stderr}");
    let path: PathBuf = folder;
    _ = std::fs::remove_dir_all(path);
}
