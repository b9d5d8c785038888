//! Tests `hallrelay-lab losses` with small logs: each kind of end is counted once, all counts add up, and
//! logs that are truncated, contain several processes or have no events are recognized.
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const LAB: &str = env!("CARGO_BIN_EXE_hallrelay-lab");
const ENDS: &str = include_str!("losses/ends.log");
const STAYS: &str = include_str!("losses/stays.log");
const RESTART: &str = include_str!("losses/restart.log");
const CUT: &str = include_str!("losses/cut.log");
const GROUPS_WEST: &str = include_str!("losses/groups-west.log");
const GROUPS_EAST: &str = include_str!("losses/groups-east.log");
const LISTS: &str = include_str!("losses/lists.log");
const CLIENT_WEST: &str = include_str!("losses/client-west.log");
const CLIENT_EAST: &str = include_str!("losses/client-east.log");

/// A directory with logs, which is removed when this value is dropped.
struct LogFolder(PathBuf);

impl LogFolder {
    fn new(name: &str, logs: &[(&str, &str)]) -> LogFolder {
        let path = std::env::temp_dir().join(format!("hallrelay-losses-{}-{name}", std::process::id()));
        _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("create the log directory");
        for (file, text) in logs {
            std::fs::write(path.join(file), text).expect("write a log");
        }
        LogFolder(path)
    }
}

impl Drop for LogFolder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Standard output, standard error and exit code of the program.
struct Run {
    out: String,
    err: String,
    code: Option<i32>,
}

fn run(folder: &Path, options: &[&str]) -> Run {
    let mut command = Command::new(LAB);
    command.arg("losses").arg(folder).args(options).stdin(Stdio::null());
    let output = command.output().expect("run the laboratory");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Run { out: text(&output.stdout), err: text(&output.stderr), code: output.status.code() }
}

/// Evaluates logs; returns the result as JSON, after checking that it adds up, and the exit code.
fn evaluate(name: &str, logs: &[(&str, &str)]) -> (Value, Option<i32>) {
    let folder = LogFolder::new(name, logs);
    let ran = run(&folder.0, &["--json"]);
    let value = serde_json::from_str(&ran.out).unwrap_or_else(|e| panic!("{e}: {}{}", ran.out, ran.err));
    assert_adds_up(&value);
    (value, ran.code)
}

fn total(counts: &Value) -> u64 {
    let counts = counts.as_object().expect("the counts are an object");
    counts.values().map(|count| count.as_u64().expect("the count is an integer")).sum()
}

fn number(value: &Value, path: &str) -> u64 {
    value.pointer(path).and_then(Value::as_u64).unwrap_or_else(|| panic!("{path} in {value}"))
}

/// Checks for each second and the sum that each attempt has exactly one outcome, and that the number of open
/// sessions is the number of sessions started minus that of sessions ended.
fn assert_adds_up(losses: &Value) {
    let mut open = 0;
    let mut opened = 0;
    let seconds = losses["seconds"].as_array().expect("the seconds are an array");
    for second in seconds {
        opened += assert_outcomes_add_up(second);
        open += total(&second["sessions"]);
        open -= total(&second["ends"]);
        assert_eq!(number(second, "/fleet/open"), open, "{second}");
    }
    assert_eq!(assert_outcomes_add_up(&losses["sum"]), opened);
    let (started, ended) = (total(&losses["sum"]["sessions"]), total(&losses["sum"]["ends"]));
    assert_eq!(number(losses, "/sum/fleet/open"), started - ended);
}

/// Returns the number of attempts opened.
fn assert_outcomes_add_up(second: &Value) -> u64 {
    let attempts = &second["attempts"];
    let opened = number(attempts, "/opened");
    assert_eq!(total(&attempts["fates"]) + total(&attempts["after_dials"]), opened, "{second}");
    opened
}

#[test]
fn each_outcome_and_end_is_counted_once() {
    let (losses, code) = evaluate("ends", &[("west.log", ENDS), ("east.log", STAYS)]);
    assert_eq!(code, Some(0));
    let sum = &losses["sum"];
    assert_eq!(
        sum["attempts"]["fates"],
        json!({"placed": 9, "served_at_once": 1, "refused_undialled": 1, "failed_undialled": 1,
            "not_protocol": 1, "client_left": 2, "too_late": 1, "relay_ended": 1, "still_waiting": 1,
            "unaccounted": 0})
    );
    assert_eq!(
        sum["attempts"]["after_dials"],
        json!({"ok": 0, "error": 1, "full": 1, "timeout": 1, "unconnected": 1, "reset": 1, "recalled": 1,
            "moot": 1, "out": 1})
    );
    assert_eq!(
        sum["ends"],
        json!({"client": 1, "done": 2, "sent_away": 1, "reset": 1, "otherwise": 1, "moved": 1,
            "relay_stop": 1, "passed_on": 1, "relay_died": 0, "unaccounted": 0})
    );
    assert_eq!(sum["sessions"], json!({"came_up": 9, "taken_over": 1}));
    assert_eq!((number(sum, "/attempts/opened"), number(sum, "/attempts/returned")), (26, 1));
    assert_eq!(number(sum, "/fleet/open"), 1);
    assert_eq!(losses["unaccounted"], json!({}));
}

#[test]
fn dials_are_counted_by_end() {
    let (losses, _) = evaluate("dials", &[("west.log", ENDS)]);
    let attempts = &losses["sum"]["attempts"];
    // One of the eight established sessions was dialled twice.
    assert_eq!(number(attempts, "/dials"), 22);
    assert_eq!(
        attempts["dial_ends"],
        json!({"ok": 1, "error": 3, "full": 1, "timeout": 1, "unconnected": 1, "reset": 1, "recalled": 1,
            "moot": 1})
    );
}

#[test]
fn waiting_time_is_reported_per_second_and_in_sum() {
    let (losses, _) = evaluate("wait", &[("west.log", ENDS)]);
    let wait = |at: &str| losses.pointer(at).cloned().expect("find the waiting time");
    assert_eq!(wait("/seconds/0/wait"), json!({"median_ms": 20, "worst_ms": 20}));
    assert_eq!(wait("/seconds/1/wait"), json!({"median_ms": null, "worst_ms": null}));
    assert_eq!(wait("/seconds/5/wait"), json!({"median_ms": 20, "worst_ms": 450}));
    assert_eq!(wait("/sum/wait"), json!({"median_ms": 20, "worst_ms": 450}));
}

/// Pending attempts end with their process, and the next process reuses session numbers. Its start is
/// recognized by the log line `serving` or, without it, by a connection number that is not higher.
#[test]
fn sessions_of_restarted_relay_are_kept_apart() {
    let (losses, code) = evaluate("restart", &[("west.log", RESTART)]);
    assert_eq!((code, number(&losses, "/read/processes")), (Some(0), 3));
    let outcomes = &losses["sum"]["attempts"]["fates"];
    assert_eq!((number(outcomes, "/placed"), number(outcomes, "/refused_undialled")), (2, 2));
    assert_eq!(number(outcomes, "/relay_ended"), 1);
    assert_eq!(number(&losses, "/sum/ends/relay_died"), 2);
    // The open sessions ended with the last line of their process.
    assert_eq!(number(&losses, "/seconds/0/ends/relay_died"), 1);
    assert_eq!(number(&losses, "/seconds/2/ends/relay_died"), 1);
    assert_eq!(losses["unaccounted"], json!({}));
}

#[test]
fn configuration_in_the_log_starts_a_process() {
    let second = "[0.80] {\"name\":\"west\"} 0.900 Mar 04 12:00:00.900 INFO serving\n";
    let again =
        STAYS.lines().skip(1).take(2).collect::<Vec<_>>().join("\n").replace("conn: 1 }", "conn: 9 }");
    let open = STAYS.lines().take(7).collect::<Vec<_>>().join("\n") + "\n";
    let text = open + second + &again;
    let (losses, _) = evaluate("configured", &[("west.log", &text)]);
    assert_eq!(number(&losses, "/read/processes"), 2, "{text}");
    assert_eq!(number(&losses, "/sum/ends/relay_died"), 1);
}

/// The truncated line is the opening of an attempt, whose other entries then count as never opened.
#[test]
fn cut_and_unknown_lines_are_skipped_and_counted() {
    let folder = LogFolder::new("cut", &[("west.log", CUT)]);
    let ran = run(&folder.0, &["--json"]);
    let losses: Value =
        serde_json::from_str(&ran.out).expect("parse the result, which is printed before the error");
    assert_adds_up(&losses);
    assert_eq!((number(&losses, "/read/cut"), number(&losses, "/read/unknown")), (2, 3));
    assert_eq!(losses["unaccounted"], json!({"never_opened": 1}));
    assert_eq!(number(&losses, "/sum/attempts/opened"), 1);
    assert_eq!(ran.code, Some(2), "{}", ran.err);
    assert!(ran.err.contains("50.0% of the attempts are unaccounted for"), "{}", ran.err);
}

#[test]
fn overlong_and_non_utf8_lines_are_skipped() {
    let folder = LogFolder::new("long", &[("east.log", STAYS)]);
    let mut bytes = vec![b'x'; 9 << 20];
    bytes.extend(b"\n\xff\xfe\n");
    bytes.extend(STAYS.as_bytes());
    std::fs::write(folder.0.join("west.log"), bytes).expect("write a log");
    let ran = run(&folder.0, &["--json"]);
    let losses: Value = serde_json::from_str(&ran.out).expect("parse the result");
    assert_eq!((number(&losses, "/read/unknown"), number(&losses, "/sum/attempts/opened")), (2, 4));
}

/// Up to 5% may be unaccounted for. The last line of the output states the number and the reason.
#[test]
fn few_unaccounted_attempts_are_reported_and_accepted() {
    let rejected = |n: usize| {
        let at = format!("9.{n:03} Mar 04 12:00:09.{n:03} TRCE");
        let open = "id: 1, listener: \"chat\", key: 0, group: 0, returned: false, wait_ms: 9, \
                    wait_at: 6..7, at: None";
        format!(
            "{at} event, what: Came {{ conn: {n} }}\n\
             {at} event, what: Opened {{ sess: {n}, open: Open {{ {open} }}, left: 9 }}\n\
             {at} effect, what: Refuse {{ sess: {n}, retry_after: 0 }}\n"
        )
    };
    let with = |count: usize| (1..=count).map(rejected).collect::<String>();
    let early = STAYS.lines().take(6).collect::<Vec<_>>().join("\n");
    for (count, code) in [(19, Some(0)), (18, Some(2))] {
        let folder = LogFolder::new("few", &[("west.log", &early), ("east.log", &with(count))]);
        let ran = run(&folder.0, &[]);
        assert_eq!(ran.code, code, "{}", ran.out);
        let last = ran.out.lines().last().expect("the output has lines");
        assert!(last.contains("1 attempts") && last.contains("(the log ends before the day: 1)"), "{last}");
    }
}

#[test]
fn session_whose_number_is_reused_is_unaccounted_for() {
    let again = STAYS.replace("sess: 2", "sess: 1").replace("Due(2)", "Due(1)");
    let folder = LogFolder::new("again", &[("west.log", &again)]);
    let ran = run(&folder.0, &["--json"]);
    let losses: Value = serde_json::from_str(&ran.out).expect("parse the result");
    assert_adds_up(&losses);
    assert_eq!(losses["unaccounted"], json!({"number_reused": 1}));
    assert_eq!((ran.code, number(&losses, "/sum/ends/unaccounted")), (Some(2), 1));
}

/// A pair of group and backend is counted once for all relays, until its last session has ended. Sessions
/// without a group form no pair.
#[test]
fn pairs_of_group_and_backend_are_counted_across_relays() {
    let (losses, _) = evaluate("groups", &[("west.log", GROUPS_WEST), ("east.log", GROUPS_EAST)]);
    let seconds = losses["seconds"].as_array().expect("the seconds are an array");
    let of = |second: usize| {
        let fleet = &seconds[second]["fleet"];
        let per_group = fleet["pairs_per_group"].as_f64().expect("the mean is a number");
        (number(fleet, "/open"), number(fleet, "/groups"), number(fleet, "/pairs"), per_group)
    };
    assert_eq!(of(0), (6, 2, 3, 1.5));
    assert_eq!(of(1), (5, 2, 3, 1.5), "another session of the pair is open");
    assert_eq!(of(2), (3, 2, 2, 1.0), "the other relay has the second group at the same backend");
    assert_eq!(of(3), (2, 1, 1, 1.0), "the first group has ended at both of its backends");
}

#[test]
fn backend_counts_follow_the_endpoint_lists() {
    let (losses, _) = evaluate("lists", &[("west.log", LISTS)]);
    let fleet = |second: usize| {
        let fleet = &losses["seconds"][second]["fleet"];
        ["/ready", "/draining", "/started", "/open", "/open_on_started"].map(|of| number(fleet, of))
    };
    assert_eq!(fleet(0), [3, 0, 0, 0, 0], "two in the configuration, and one that is checked");
    assert_eq!(fleet(1), [2, 1, 0, 0, 0]);
    assert_eq!(fleet(2), [3, 0, 1, 2, 1], "one is gone, and one has started");
    assert_eq!(fleet(3), [2, 0, 1, 2, 1], "one is missing in a complete list");
    assert_eq!(fleet(4), [1, 0, 0, 2, 1], "the started one is gone, but still has its session");
}

/// The order in which the logs are read must not matter.
#[test]
fn list_is_valid_once_the_first_relay_receives_it() {
    let change = LISTS.lines().find(|line| line.contains("generation: 2")).expect("find the second list");
    let early = change.replace("1.100 Mar 04 12:00:01.100", "0.900 Mar 04 12:00:00.900");
    for (one, other) in [("a.log", "b.log"), ("b.log", "a.log")] {
        let (losses, _) = evaluate("heard", &[(one, LISTS), (other, &early)]);
        assert_eq!(number(&losses, "/seconds/0/fleet/draining"), 1, "{other} receives it first");
    }
}

/// If the backend answers a dial with `BYE`, a pre-existing connection is dialled again, whereas any other
/// attempt is served with that.
#[test]
fn pre_existing_connection_is_dialled_again_after_bye() {
    let again = "0.550 Mar 04 12:00:00.550 TRCE event, what: \
                 DialEnded { sess: 1, dial: 0, end: Ok, report: None }\n\
                 0.560 Mar 04 12:00:00.560 TRCE effect, what: \
                 Dial { sess: 1, dial: 1, addr: 127.0.1.1:8000, wait: 3990000, begin: 200000 }\n";
    let with = |at: &str| {
        let lines = STAYS.replacen("at: None", at, 1);
        let (before, after) = lines.split_once("0.600 ").expect("find the lines at 0.6 s");
        format!("{before}{again}0.600 {after}")
    };
    for (at, placed) in [("at: Some(\"oak\")", 1), ("at: None", 0)] {
        let (losses, _) = evaluate("standing", &[("west.log", &with(at))]);
        let outcomes = &losses["sum"]["attempts"]["fates"];
        assert_eq!(
            (number(outcomes, "/placed"), number(outcomes, "/served_at_once")),
            (placed, 1 - placed),
            "{at}"
        );
    }
}

#[test]
fn load_reports_of_health_checks_are_summarized() {
    let (losses, _) = evaluate("probes", &[("west.log", LISTS)]);
    assert_eq!(
        losses["seconds"][0]["probes"],
        json!({"answered": 10, "failed": 1, "load_median": 0.5, "load_p90": 0.9, "piled_part": 0.2})
    );
    let none = json!({"answered": 0, "failed": 0, "load_median": null, "load_p90": null, "piled_part": null});
    assert_eq!(losses["seconds"][1]["probes"], none);
}

/// A relay itself logs no seconds of the day. Its clock is used instead, relative to the earliest line of all
/// logs.
#[test]
fn lines_without_prefix_are_dated_by_the_clock() {
    let bare = |text: &str| {
        let lines = text
            .lines()
            .map(|line| line.split_once(' ').expect("split off the seconds").1.to_string() + "\n");
        lines.collect::<String>()
    };
    // Time 0 is the earliest line of all logs.
    let first = "0.000 Mar 04 12:00:00.000 INFO it starts\n".to_string();
    let (west, east) = (first + ENDS, STAYS);
    let (with, _) = evaluate("with", &[("west.log", &west), ("east.log", east)]);
    let (without, _) = evaluate("without", &[("west.log", &bare(&west)), ("east.log", &bare(east))]);
    assert_eq!(with, without);
    // Midnight is between two lines.
    let late = bare(STAYS).replace("Mar 04 12:00:00", "Feb 28 23:59:59");
    let late = late.replace("Mar 04 12:00:06", "Mar 01 00:00:05");
    let (late, _) = evaluate("late", &[("west.log", &late)]);
    assert_eq!(late["seconds"].as_array().map(Vec::len), Some(6 + 1));
}

#[test]
fn dropped_lines_are_counted() {
    let dropped =
        "6.500 Mar 04 12:00:06.500 ERRO slog-async: logger dropped messages due to channel overflow, \
         count: 12\n";
    let (losses, _) = evaluate("dropped", &[("west.log", &(STAYS.to_string() + dropped))]);
    assert_eq!(number(&losses, "/read/dropped"), 12);
}

#[test]
fn client_is_followed_through_all_relays() {
    let folder = LogFolder::new("client", &[("west.log", CLIENT_WEST), ("east.log", CLIENT_EAST)]);
    let ran = run(&folder.0, &["--session", "703"]);
    let expected = "   0.100 s  west id 701 key 77 group 7\n   \
                  0.100 s    dial 127.0.1.1:8000: error\n   \
                  0.200 s    dial 127.0.1.2:8000\n   \
                  0.250 s    placed\n   \
                  1.000 s    reset by the backend\n   \
                  1.200 s  east id 703 key 77 group 7, returned\n   \
                  1.200 s    refused\n";
    assert_eq!((ran.out.as_str(), ran.code), (expected, Some(0)));
    let ran = run(&folder.0, &["--session", "703", "--json"]);
    let attempts: Value = serde_json::from_str(&ran.out).expect("parse the attempts");
    let ends: Vec<_> =
        attempts.as_array().expect("the attempts are an array").iter().map(|one| &one["end"]).collect();
    assert_eq!(ends, ["reset by the backend", "refused"]);
    // No other attempt has the key of this client.
    let ran = run(&folder.0, &["--session", "704", "--json"]);
    let attempts: Value = serde_json::from_str(&ran.out).expect("parse the attempts");
    assert_eq!(attempts.as_array().map(Vec::len), Some(1));
}

#[test]
fn logs_without_events_and_unknown_sessions_are_errors() {
    let without_events =
        "Mar 04 12:00:00.001 INFO serving, name: west\nMar 04 12:00:01.000 INFO stopping, well: true\n";
    let cases =
        [("empty", &[][..]), ("quiet", &[("west.log", without_events)]), ("text", &[("a.txt", ENDS)])];
    for (name, logs) in cases {
        let folder = LogFolder::new(name, logs);
        for options in [&[][..], &["--session", "1"]] {
            let ran = run(&folder.0, options);
            assert_eq!((ran.code, ran.out.as_str()), (Some(2), ""), "{name}");
            assert!(ran.err.contains("no events in") && ran.err.contains("-vv"), "{name}: {}", ran.err);
        }
    }
    let folder = LogFolder::new("unknown", &[("west.log", STAYS)]);
    let ran = run(&folder.0, &["--session", "999"]);
    assert_eq!(ran.code, Some(2));
    assert!(ran.err.contains("no relay logged an OPEN with the id 999"), "{}", ran.err);
    let ran = run(&folder.0.join("nowhere"), &[]);
    assert_eq!(ran.code, Some(2));
    assert!(ran.err.contains("nowhere: "), "{}", ran.err);
}
