//! Tests the `hallrelay-lab` program with real relay processes on loopback: short days of a few seconds, and
//! errors that prevent a day from being played.
use hallrelay_emulator::service::Outcome;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_hallrelay-lab");
const BASE: &str = include_str!("troubles/base.toml");

/// Writes a scenario to a new directory: `base.toml` with some texts replaced and others appended.
fn scenario(name: &str, replacements: &[(&str, &str)], appended: &str) -> (PathBuf, PathBuf) {
    let folder = std::env::temp_dir().join(format!("hallrelay-lab-{}-{name}", std::process::id()));
    _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("create the test directory");
    let mut text = BASE.to_string();
    for (from, to) in replacements {
        assert!(text.contains(from), "base.toml does not contain {from}");
        text = text.replace(from, to);
    }
    let path = folder.join("day.toml");
    std::fs::write(&path, text + appended).expect("write the scenario");
    (folder, path)
}

fn rehearse(folder: &Path, path: &Path) -> Command {
    let mut command = Command::new(LAB);
    command.arg("rehearse").arg(path).arg("--out").arg(folder.join("out")).arg("--json");
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn outcome(output: &Output) -> Outcome {
    let stderr = String::from_utf8_lossy(&output.stderr);
    serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {stderr}"))
}

/// Command lines of running processes that contain the path of a directory.
fn processes_using(folder: &Path) -> Vec<String> {
    let folder = folder.display().to_string();
    let entries = std::fs::read_dir("/proc").expect("list the processes").flatten();
    let lines = entries.filter_map(|e| std::fs::read(e.path().join("cmdline")).ok());
    let lines = lines.map(|line| String::from_utf8_lossy(&line).replace('\0', " "));
    lines.filter(|line| line.contains(&folder)).collect()
}

const SHORT: &[(&str, &str)] = &[("length_s = 24", "length_s = 6")];

#[test]
fn no_rule_is_broken_under_several_faults() {
    let faults = r#"
[[trouble]]
kind = "relay-killed"
at_s = 2
length_s = 1
share = 0.5
[[trouble]]
kind = "crash"
at_s = 1.5
length_s = 2
share = 0.2
[[trouble]]
kind = "wire"
at_s = 1
length_s = 4
share = 0.3
strength = 0.5
fault = "reset-after"
[[trouble]]
kind = "vanish"
at_s = 3
length_s = 2
share = 0.1
"#;
    let (folder, path) = scenario("killed", SHORT, faults);
    let output = rehearse(&folder, &path).output().expect("run the laboratory");
    let o = outcome(&output);
    assert_eq!((o.breaches.clone(), output.status.code()), (vec![], Some(0)), "{:?}", o.log);
    assert_eq!(o.relays.iter().map(|r| r.starts).sum::<u32>(), 3, "two relays, and a start after the kill");
    assert!(
        o.relays.iter().all(|r| !r.crashed) && o.partial.is_none(),
        "relays {:?}, partial {:?}",
        o.relays,
        o.partial
    );
    assert!(o.breaks > 20, "too few sessions were broken by the kill: {}", o.breaks);
    assert!(o.sessions_seen > 150, "{} sessions", o.sessions_seen);
    let page = std::fs::read_to_string(folder.join("out/trouble-5/page.html")).expect("read the page");
    for part in ["<svg", "relay killed", "all four rules kept"] {
        assert!(page.contains(part), "the page does not contain '{part}'");
    }
    assert_eq!(processes_using(&folder), Vec::<String>::new(), "processes still run after the day");
    _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn malformed_clients_are_all_answered() {
    let bad_clients = r#"
[bad]
rate = 40
sorts = ["noise", "endless", "huge", "no-listener", "odd-time", "no-mark", "open-mark", "half", "crowd",
    "again", "mute"]
"#;
    let (folder, path) = scenario("bad", &[("length_s = 24", "length_s = 10")], bad_clients);
    let output = rehearse(&folder, &path).output().expect("run the laboratory");
    let o = outcome(&output);
    assert_eq!((o.breaches.clone(), output.status.code()), (vec![], Some(0)), "{:?}", o.log);
    assert!(o.malformed_clients.connected > 60, "{:?}", o.malformed_clients);
    assert_eq!(o.malformed_clients.unanswered, 0, "{:?}", o.malformed_clients);
    _ = std::fs::remove_dir_all(&folder);
}

/// After Ctrl-C, no relay process may keep running, and the result must be marked as partial.
#[test]
fn interrupt_ends_relays_and_marks_result_as_partial() {
    let (folder, path) = scenario("interrupt", &[], "");
    let child: Child = rehearse(&folder, &path).spawn().expect("run the laboratory");
    let started = Instant::now();
    while processes_using(&folder).len() < 3 {
        assert!(started.elapsed() < Duration::from_secs(20), "two relays did not start within 20 s");
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_millis(2500));
    let killed = Command::new("kill").args(["-INT", &child.id().to_string()]).status().expect("run kill");
    assert!(killed.success(), "kill -INT of the laboratory failed: {killed}");
    let output = child.wait_with_output().expect("wait for the laboratory");
    assert_eq!(output.status.code(), Some(130), "exit code after an interrupt");
    let o = outcome(&output);
    assert_eq!(o.partial.as_deref(), Some("interrupted"));
    assert!(o.length_s < 20.0 && o.length_s > 0.5, "the interrupted day lasted {} s", o.length_s);
    assert_eq!(processes_using(&folder), Vec::<String>::new(), "processes still run after the interrupt");
    _ = std::fs::remove_dir_all(&folder);
}

/// Runs a command that must fail with exit code 2, and returns its error message.
fn error_of(folder: &Path, command: &mut Command) -> String {
    let output = command.output().expect("run the laboratory");
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert_eq!(processes_using(folder), Vec::<String>::new(), "processes still run after the error");
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn port_in_use_is_reported_before_the_start() {
    let other_socket = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let addr = other_socket.local_addr().expect("read the bound address");
    let line = format!("count = 2\nfirst_port = {}", addr.port());
    let (folder, path) = scenario("port", &[("count = 2", &line)], "");
    let error = error_of(&folder, &mut rehearse(&folder, &path));
    assert!(error.contains("relays.first_port") && error.contains(&addr.to_string()), "{error}");
    let log = folder.join("out/trouble-5/relay-0.log");
    assert!(!log.exists(), "a relay was started: it wrote {}", log.display());
    _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn low_descriptor_limit_is_reported() {
    let (folder, path) = scenario("limit", &[("standing = 100", "standing = 18000")], "");
    let mut command = Command::new("sh");
    let line = format!("ulimit -n 300; exec {LAB} rehearse {} --out {}", path.display(), folder.display());
    command.arg("-c").arg(line);
    let error = error_of(&folder, &mut command);
    assert!(error.contains("RLIMIT_NOFILE) is 300"), "{error}");
    assert!(error.contains("18000 concurrent sessions"), "{error}");
    _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn failed_start_of_a_relay_is_reported() {
    let (folder, path) = scenario("false", &[], "");
    let error = error_of(&folder, rehearse(&folder, &path).args(["--relay", "/bin/false"]));
    assert!(error.contains("relay 0 ended during its start (exit 1)"), "{error}");
    let error = error_of(&folder, rehearse(&folder, &path).args(["--relay", "/no/such/program"]));
    assert!(error.contains("cannot start the relay process"), "{error}");
    _ = std::fs::remove_dir_all(&folder);
}

/// Each invalid scenario must be reported before any relay is started.
#[test]
fn invalid_scenario_is_reported_with_line_and_key() {
    let cases = [
        ("standing = 100", "standign = 100", "day.toml:LINE: load.standign: unknown field `standign`"),
        ("rate = 8", "rate = \"fast\"", "day.toml:LINE: load.rate: invalid type: string \"fast\""),
        ("rate = 8", "rate = -8", "day.toml:LINE: load.rate: wanted a number of 0 or more, not -8"),
        ("bye = 0.3", "bye = 1.3", "day.toml:LINE: clients.bye: wanted a fraction from 0 to 1, not 1.3"),
        ("cores = 2", "cores = 0", "day.toml:LINE: servers.kind[0].cores: wanted at least 1"),
        (
            "dial_timeout_ms = 3000",
            "dial_timeout_ms = 30",
            "day.toml:LINE: listener[1].dial_timeout_ms: is shorter",
        ),
        (
            "notice_s = [0.5, 1.0]",
            "notice_s = [1.5, 1.0]",
            "day.toml:LINE: list.notice_s: the first time is longer",
        ),
        ("rate = 8", "rate = 8 8", "day.toml:LINE:"),
        ("length_s = 24", "length_s = 24e9", "day.toml:LINE: length_s: wanted a time of at most one week"),
    ];
    for (from, to, expected) in cases {
        let (folder, path) = scenario("faulty", &[(from, to)], "");
        let error = error_of(&folder, &mut rehearse(&folder, &path));
        let text = std::fs::read_to_string(&path).expect("read the scenario");
        let line = text.split(to).next().expect("find the line").matches('\n').count() + 1;
        let expected = expected.replace("LINE", &line.to_string());
        assert!(error.contains(&expected), "{to}: {error}");
    }
    let appended = [
        ("[[trouble]]\nkind = \"slow\"\nat_s = 2\nlength_s = 3\n", "trouble[0].strength: wanted 1 or more"),
        ("[[trouble]]\nkind = \"crash\"\nat_s = 90\n", "trouble[0].at_s: is after the day's end"),
        ("[[trouble]]\nkind = \"storm\"\nat_s = 9\n", "trouble[0].kind: unknown variant `storm`"),
        (
            "[[trouble]]\nkind = \"wire\"\nat_s = 9\nlength_s = 3\n",
            "trouble[0].fault: kind = \"wire\" requires a fault",
        ),
        (
            "[[trouble]]\nkind = \"zone-cut\"\nat_s = 9\nlength_s = 3\nzone = \"north\"\n",
            "is not among servers.zones",
        ),
    ];
    for (text, expected) in appended {
        let (folder, path) = scenario("faulty", &[], &format!("\n{text}"));
        let error = error_of(&folder, &mut rehearse(&folder, &path));
        assert!(error.contains(expected), "{text}: {error}");
        _ = std::fs::remove_dir_all(&folder);
    }
}

/// Runs the laboratory and returns its exit code and standard output.
fn run(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(LAB).args(args).output().expect("run the laboratory");
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

/// The days are in virtual time, so that the figures are the same in each run.
#[test]
fn compare_sweep_and_report_give_expected_figures() {
    let (folder, path) = scenario("commands", &[("length_s = 24", "length_s = 5")], "");
    let (path, out) = (path.display().to_string(), folder.join("out").display().to_string());
    let options = ["--virtual", "--json", "--out", &out];
    let (code, text) = run(&[&["compare", &path, &path, "--rounds", "3"], &options[..]].concat());
    let rows: serde_json::Value = serde_json::from_str(&text).expect("parse the comparison");
    assert_eq!(code, Some(0), "{rows}");
    let rows = rows.as_array().expect("the comparison is an array");
    let whole = rows.iter().find(|r| r["measure"] == "whole").expect("find the measure");
    assert_eq!(whole["ratio"], serde_json::json!([1.0, 1.0, 1.0]), "both sides are the same scenario");

    let sweep = ["sweep", &path, "--key", "load.rate", "--values", "2, 40"];
    let (code, text) = run(&[&sweep[..], &options[..]].concat());
    let rows: serde_json::Value = serde_json::from_str(&text).expect("parse the sweep");
    assert_eq!((code, rows.as_array().map(Vec::len)), (Some(0), Some(2)), "{rows}");
    assert!(rows[0]["most_open"].as_u64() < rows[1]["most_open"].as_u64(), "{rows}");
    let sweep = ["sweep", &path, "--key", "load.rate", "--values", "2, \"many\""];
    let result = run(&[&sweep[..], &options[..]].concat());
    assert_eq!(result, (Some(2), String::new()), "all values are checked before the first day");

    let (_, first) = run(&["rehearse", &path, "--virtual", "--out", &out]);
    let (result, page) = (folder.join("out/trouble-5/result.json"), folder.join("again.html"));
    let args = ["report", &result.display().to_string(), "--html", &page.display().to_string()];
    let (code, again) = run(&args);
    assert_eq!(code, Some(0), "{again}");
    assert!(again.contains("all four kept") && first.starts_with(&again), "{again}");
    let first_page = std::fs::read(folder.join("out/trouble-5/page.html")).expect("read the first page");
    assert_eq!(std::fs::read(page).expect("read the new page"), first_page);
    _ = std::fs::remove_dir_all(&folder);
}
