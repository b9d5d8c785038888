//! What `.ci/known-red` excuses: just the failures that KNOWN-RED.txt lists.
use std::path::PathBuf;
use std::process::Command;

/// Two tests that passed and one that failed, as cargo prints them.
const ONE_FAILED: &str =
    "running 3 tests\ntest sound ... ok\ntest other::sound ... ok\ntest broken ... FAILED\n\n\
                          test result: FAILED. 2 passed; 1 failed\n";
const ALL_PASSED: &str = "test sound ... ok\ntest broken ... ok\n\ntest result: ok. 2 passed; 0 failed\n";

/// The exit status of the check, and all that it printed.
fn judge(case: &str, list: Option<&str>, output: &str) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("known-red-{}-{case}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let place = |name: &str| -> PathBuf { folder.join(name) };
    if let Some(text) = list {
        std::fs::write(place("KNOWN-RED.txt"), text).expect("the list is written");
    }
    std::fs::write(place("output"), output).expect("the output is written");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../.ci/known-red");
    let ended = Command::new("bash").arg(script).arg(place("KNOWN-RED.txt")).arg(place("output")).output();
    let ended = ended.expect("bash runs it");
    std::fs::remove_dir_all(&folder).expect("the folder goes");
    (ended.status.success(), String::from_utf8_lossy(&ended.stdout).into_owned())
}

#[test]
fn a_listed_failure_passes_and_is_printed() {
    let line = "broken, the cold budget is overrun, 42";
    assert_eq!(judge("listed", Some(line), ONE_FAILED), (true, format!("known-red: {line}\n")));
}

#[test]
fn without_a_list_every_failure_counts() {
    assert!(judge("absent-well", None, ALL_PASSED).0);
    let (passed, said) = judge("absent", None, ONE_FAILED);
    assert!(!passed && said.contains("broken failed and is not listed"), "{said}");
}

#[test]
fn a_failure_that_is_not_listed_fails() {
    let two = ONE_FAILED.replace("test sound ... ok", "test sound ... FAILED");
    let (passed, said) = judge("unlisted", Some("broken, a cause, 42\n"), &two);
    assert!(!passed && said.contains("sound failed and is not listed"), "{said}");
}

#[test]
fn a_listed_test_that_passes_fails() {
    let (passed, said) = judge("passes", Some("broken, a cause, 42\n"), ALL_PASSED);
    assert!(!passed && said.contains("broken is listed in") && said.contains("and passed"), "{said}");
}

#[test]
fn a_listed_test_that_does_not_exist_fails() {
    let list = "broken, a cause, 42\ngone, a cause, 42\n";
    let (passed, said) = judge("gone", Some(list), ONE_FAILED);
    assert!(!passed && said.contains("gone is listed in") && said.contains("was not run"), "{said}");
}

#[test]
fn more_than_three_fail() {
    let names = ["a", "b", "c", "d"];
    let list: String = names.iter().map(|name| format!("{name}, a cause, 42\n")).collect();
    let failures: String = names.iter().map(|name| format!("test {name} ... FAILED\n")).collect();
    let output = format!("{failures}test result: FAILED. 0 passed; 4 failed\n");
    let (passed, said) = judge("four", Some(&list), &output);
    assert!(!passed && said.contains("4 tests are listed; 3 at most"), "{said}");
}

#[test]
fn a_line_without_cause_or_issue_fails() {
    let (passed, said) = judge("bare", Some("broken\n"), ONE_FAILED);
    assert!(!passed && said.contains("is not 'test, cause, issue'"), "{said}");
}

#[test]
fn a_run_without_tests_fails() {
    let (passed, said) =
        judge("none", Some("broken, a cause, 42\n"), "error: could not compile `hallrelay`\n");
    assert!(!passed && said.contains("no test was run") && said.contains("compiled"), "{said}");
}
