//! Real processes that know each other, and the rig between them: ways cut and split, a process that stands
//! still, one that is killed, one in a loop, one replaced. Verdicts by counts and order, never by tight
//! times.
use hallrelay_emulator::service::Outcome;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const LAB: &str = env!("CARGO_BIN_EXE_hallrelay-lab");
const BASE: &str = include_str!("troubles/base.toml");

fn rehearse(name: &str, relays: &str, length: u32, more: &str) -> (Outcome, Option<i32>) {
    let folder = std::env::temp_dir().join(format!("hallrelay-lab-{}-{name}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let text = BASE.replace("count = 2", &format!("{relays}\nfleet = true"));
    let text = text.replace("length_s = 24", &format!("length_s = {length}"));
    let path = folder.join("day.toml");
    std::fs::write(&path, text + more).expect("a scenario");
    let mut command = Command::new(LAB);
    command.arg("rehearse").arg(&path).arg("--out").arg(folder.join("o")).arg("--json");
    let output = command.stdin(Stdio::null()).output().expect("it runs");
    let said = String::from_utf8_lossy(&output.stderr);
    let o = serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {said}"));
    _ = std::fs::remove_dir_all(&folder);
    (o, output.status.code())
}

/// Whether one relay was held to be in a state by at least so many others.
fn held(o: &Outcome, subject: &str, state: &str) -> usize {
    let changes = &o.membership.as_ref().expect("they know each other").view_changes;
    let by: std::collections::BTreeSet<usize> =
        changes.iter().filter(|b| b.subject == subject && b.state == state).map(|b| b.observer).collect();
    by.len()
}

fn last_words(o: &Outcome) -> Vec<&str> {
    let lanes = &o.membership.as_ref().expect("they know each other").lanes;
    lanes.iter().map(|lane| lane.last().map_or("", |word| word.word.as_str())).collect()
}

#[test]
fn cuts_stalls_kills_and_restarts_between_five_processes() {
    let more = r#"
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
    let (o, code) = rehearse("cuts", "count = 5", 30, more);
    let membership = o.membership.as_ref().expect("they know each other");
    assert_eq!((&membership.findings, &o.breaches, code), (&vec![], &vec![], Some(0)), "{:?}", o.log);
    // Who stood still, who died, who left: told apart, and known to those who could.
    assert!(
        held(&o, "relay-2", "gone") >= 3 && held(&o, "relay-3", "gone") >= 3,
        "{:?}",
        membership.view_changes
    );
    assert!(
        held(&o, "relay-1", "left") >= 3 && held(&o, "relay-1", "gone") == 0,
        "{:?}",
        membership.view_changes
    );
    assert_eq!(
        (held(&o, "relay-4", "gone"), held(&o, "relay-0", "gone")),
        (0, 0),
        "{:?}",
        membership.view_changes
    );
    assert!(membership.deaths.count >= 3 && membership.returns.count >= 3);
    assert_eq!(o.relays.iter().map(|r| r.starts).sum::<u32>(), 7, "a kill and a replacement");
    assert!(o.relays.iter().all(|r| !r.crashed));
}

#[test]
fn halves_of_six_processes_split_and_heal_with_loss_and_one_in_a_loop() {
    let more = r#"
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
    let (o, code) = rehearse("halves", "count = 6", 36, more);
    let membership = o.membership.as_ref().expect("they know each other");
    assert_eq!((&membership.findings, &o.breaches, code), (&vec![], &vec![], Some(0)), "{:?}", o.log);
    assert!(
        held(&o, "relay-0", "gone") >= 2 && held(&o, "relay-3", "gone") >= 2,
        "{:?}",
        membership.view_changes
    );
    assert_eq!(last_words(&o), ["whole"; 6], "{:?}", membership.lanes);
    let [sent, arrived, lost, damaged] = membership.datagrams;
    assert!(lost > 50 && damaged > 50 && sent >= arrived, "{:?}", membership.datagrams);
}

/// Relays, servers and list service go dark at once, twice for the relays; as they return two relays are cut
/// off from each other. Verdicts by the rules, those about drains told before the cut among them.
#[test]
fn power_is_lost_and_returns_while_links_are_cut() {
    let more = r#"
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
    let (o, code) = rehearse("power", relays, 32, more);
    let membership = o.membership.as_ref().expect("they know each other");
    assert_eq!((&membership.findings, &o.breaches, code), (&vec![], &vec![], Some(0)), "{:?}", o.log);
    assert_eq!((o.stale_dials, o.overloads), (0, 0), "{:?}", o.log);
    assert_eq!(o.relays.iter().map(|r| r.starts).sum::<u32>(), 10);
    assert_eq!(last_words(&o), ["whole"; 4], "{:?}", membership.lanes);
    let last = o.samples.last().expect("some");
    assert!(last.open > 20, "clients are served again: {last:?}");
}

/// What is wrong is named with file, line and key, and nothing starts.
#[test]
fn faulty_troubles_between_relays() {
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
    std::fs::create_dir_all(&folder).expect("a folder");
    let refused = |text: &str, wanted: &str| {
        let path = folder.join("day.toml");
        std::fs::write(&path, text).expect("a scenario");
        let output = Command::new(LAB).arg("check").arg(&path).output().expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{wanted}");
        assert!(said.contains("day.toml:") && said.contains(wanted), "{wanted}: {said}");
        said
    };
    for (relays, trouble, wanted) in cases {
        refused(&(BASE.replace("count = 2", &format!("count = 2\n{relays}")) + &trouble), wanted);
    }
    // The old name of a table.
    let said = refused(&BASE.replace("[servers]", "[fleet]"), "fleet: is now called servers");
    let line = BASE.split("[servers]").next().expect("the text before").matches('\n').count() + 1;
    assert!(said.contains(&format!("day.toml:{line}: ")), "{said}");
    let path: PathBuf = folder;
    _ = std::fs::remove_dir_all(path);
}
