//! `hallrelay-lab losses` on small logs: each kind of end is counted once, all of it adds up, and logs that
//! were cut, are of several processes or bear no events are told as what they are.
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

/// A folder of logs, removed in the end.
struct Folder(PathBuf);

impl Folder {
    fn of(name: &str, logs: &[(&str, &str)]) -> Folder {
        let path = std::env::temp_dir().join(format!("hallrelay-losses-{}-{name}", std::process::id()));
        _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        for (file, text) in logs {
            std::fs::write(path.join(file), text).expect("a log");
        }
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What the program printed and said, and its exit code.
struct Ran {
    out: String,
    err: String,
    code: Option<i32>,
}

fn run(folder: &Path, more: &[&str]) -> Ran {
    let mut command = Command::new(LAB);
    command.arg("losses").arg(folder).args(more).stdin(Stdio::null());
    let output = command.output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Ran { out: text(&output.stdout), err: text(&output.stderr), code: output.status.code() }
}

/// The result as JSON, and the exit code.
fn account(name: &str, logs: &[(&str, &str)]) -> (Value, Option<i32>) {
    let folder = Folder::of(name, logs);
    let ran = run(&folder.0, &["--json"]);
    let value = serde_json::from_str(&ran.out).unwrap_or_else(|e| panic!("{e}: {}{}", ran.out, ran.err));
    adds_up(&value);
    (value, ran.code)
}

fn total(counts: &Value) -> u64 {
    counts.as_object().expect("counts").values().map(|count| count.as_u64().expect("a count")).sum()
}

fn number(value: &Value, path: &str) -> u64 {
    value.pointer(path).and_then(Value::as_u64).unwrap_or_else(|| panic!("{path} in {value}"))
}

/// Each attempt has one fate, and what is open is what came less what went, in each second and in sum.
fn adds_up(losses: &Value) {
    let mut open = 0;
    let mut opened = 0;
    let seconds = losses["seconds"].as_array().expect("seconds");
    for second in seconds {
        opened += fates_add_up(second);
        open += total(&second["sessions"]);
        open -= total(&second["ends"]);
        assert_eq!(number(second, "/fleet/open"), open, "{second}");
    }
    assert_eq!(fates_add_up(&losses["sum"]), opened);
    let (begun, ended) = (total(&losses["sum"]["sessions"]), total(&losses["sum"]["ends"]));
    assert_eq!(number(losses, "/sum/fleet/open"), begun - ended);
}

fn fates_add_up(second: &Value) -> u64 {
    let attempts = &second["attempts"];
    let opened = number(attempts, "/opened");
    assert_eq!(total(&attempts["fates"]) + total(&attempts["after_dials"]), opened, "{second}");
    opened
}

#[test]
fn each_kind_of_end_is_counted_once() {
    let (losses, code) = account("ends", &[("west.log", ENDS), ("east.log", STAYS)]);
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
fn dials_are_counted_by_their_ends() {
    let (losses, _) = account("dials", &[("west.log", ENDS)]);
    let attempts = &losses["sum"]["attempts"];
    // Of eight that came up one was dialled twice.
    assert_eq!(number(attempts, "/dials"), 22);
    assert_eq!(
        attempts["dial_ends"],
        json!({"ok": 1, "error": 3, "full": 1, "timeout": 1, "unconnected": 1, "reset": 1, "recalled": 1,
            "moot": 1})
    );
}

#[test]
fn the_time_to_come_up_is_told_for_its_second_and_in_all() {
    let (losses, _) = account("wait", &[("west.log", ENDS)]);
    let wait = |at: &str| losses.pointer(at).cloned().expect("a time");
    assert_eq!(wait("/seconds/0/wait"), json!({"median_ms": 20, "worst_ms": 20}));
    assert_eq!(wait("/seconds/1/wait"), json!({"median_ms": null, "worst_ms": null}));
    assert_eq!(wait("/seconds/5/wait"), json!({"median_ms": 20, "worst_ms": 450}));
    assert_eq!(wait("/sum/wait"), json!({"median_ms": 20, "worst_ms": 450}));
}

/// What the first process left undecided ended with it; numbers of sessions begin anew in the next one,
/// whether the log says that it serves or only the numbers tell.
#[test]
fn a_relay_that_starts_again_mixes_up_no_sessions() {
    let (losses, code) = account("restart", &[("west.log", RESTART)]);
    assert_eq!((code, number(&losses, "/read/processes")), (Some(0), 3));
    let fates = &losses["sum"]["attempts"]["fates"];
    assert_eq!((number(fates, "/placed"), number(fates, "/refused_undialled")), (2, 2));
    assert_eq!(number(fates, "/relay_ended"), 1);
    assert_eq!(number(&losses, "/sum/ends/relay_died"), 2);
    // Each ended with the last line of its process.
    assert_eq!(number(&losses, "/seconds/0/ends/relay_died"), 1);
    assert_eq!(number(&losses, "/seconds/2/ends/relay_died"), 1);
    assert_eq!(losses["unaccounted"], json!({}));
}

#[test]
fn a_configuration_in_the_log_begins_a_process() {
    let second = "[0.80] {\"name\":\"west\"} 0.900 Mar 04 12:00:00.900 INFO serving\n";
    let again =
        STAYS.lines().skip(1).take(2).collect::<Vec<_>>().join("\n").replace("conn: 1 }", "conn: 9 }");
    let open = STAYS.lines().take(7).collect::<Vec<_>>().join("\n") + "\n";
    let text = open + second + &again;
    let (losses, _) = account("configured", &[("west.log", &text)]);
    assert_eq!(number(&losses, "/read/processes"), 2, "{text}");
    assert_eq!(number(&losses, "/sum/ends/relay_died"), 1);
}

/// The opening is cut: it is counted as a cut line, and what follows of it as one that was never opened.
#[test]
fn cut_and_unknown_lines_are_skipped_and_counted() {
    let folder = Folder::of("cut", &[("west.log", CUT)]);
    let ran = run(&folder.0, &["--json"]);
    let losses: Value = serde_json::from_str(&ran.out).expect("the result is printed all the same");
    adds_up(&losses);
    assert_eq!((number(&losses, "/read/cut"), number(&losses, "/read/unknown")), (2, 3));
    assert_eq!(losses["unaccounted"], json!({"never_opened": 1}));
    assert_eq!(number(&losses, "/sum/attempts/opened"), 1);
    assert_eq!(ran.code, Some(2), "{}", ran.err);
    assert!(ran.err.contains("50.0% of the attempts are unaccounted for"), "{}", ran.err);
}

#[test]
fn a_line_of_any_length_or_bytes_is_skipped() {
    let folder = Folder::of("long", &[("east.log", STAYS)]);
    let mut bytes = vec![b'x'; 9 << 20];
    bytes.extend(b"\n\xff\xfe\n");
    bytes.extend(STAYS.as_bytes());
    std::fs::write(folder.0.join("west.log"), bytes).expect("a log");
    let ran = run(&folder.0, &["--json"]);
    let losses: Value = serde_json::from_str(&ran.out).expect("a result");
    assert_eq!((number(&losses, "/read/unknown"), number(&losses, "/sum/attempts/opened")), (2, 4));
}

/// Up to one in twenty may be unaccounted for; the last line says how many, and why.
#[test]
fn few_that_are_unaccounted_for_are_told_and_do_no_harm() {
    let refused = |n: usize| {
        let at = format!("9.{n:03} Mar 04 12:00:09.{n:03} TRCE");
        let open = "id: 1, listener: \"chat\", key: 0, group: 0, returned: false, wait_ms: 9, \
                    wait_at: 6..7, at: None";
        format!(
            "{at} event, what: Came {{ conn: {n} }}\n\
             {at} event, what: Opened {{ sess: {n}, open: Open {{ {open} }}, left: 9 }}\n\
             {at} effect, what: Refuse {{ sess: {n}, retry_after: 0 }}\n"
        )
    };
    let with = |count: usize| (1..=count).map(refused).collect::<String>();
    let early = STAYS.lines().take(6).collect::<Vec<_>>().join("\n");
    for (count, code) in [(19, Some(0)), (18, Some(2))] {
        let folder = Folder::of("few", &[("west.log", &early), ("east.log", &with(count))]);
        let ran = run(&folder.0, &[]);
        assert_eq!(ran.code, code, "{}", ran.out);
        let last = ran.out.lines().last().expect("a line");
        assert!(last.contains("1 attempts") && last.contains("(the log ends before the day: 1)"), "{last}");
    }
}

#[test]
fn a_number_that_is_used_again_without_an_end_is_unaccounted_for() {
    let again = STAYS.replace("sess: 2", "sess: 1").replace("Due(2)", "Due(1)");
    let folder = Folder::of("again", &[("west.log", &again)]);
    let ran = run(&folder.0, &["--json"]);
    let losses: Value = serde_json::from_str(&ran.out).expect("a result");
    adds_up(&losses);
    assert_eq!(losses["unaccounted"], json!({"number_reused": 1}));
    assert_eq!((ran.code, number(&losses, "/sum/ends/unaccounted")), (Some(2), 1));
}

/// Groups over backends, of all relays together; a pair counts until its last session is over, and sessions
/// without a group make no pair.
#[test]
fn pairs_of_group_and_backend_are_counted_across_relays() {
    let (losses, _) = account("groups", &[("west.log", GROUPS_WEST), ("east.log", GROUPS_EAST)]);
    let fleets = losses["seconds"].as_array().expect("seconds");
    let of = |second: usize| {
        let fleet = &fleets[second]["fleet"];
        let per_group = fleet["pairs_per_group"].as_f64().expect("a mean");
        (number(fleet, "/open"), number(fleet, "/groups"), number(fleet, "/pairs"), per_group)
    };
    assert_eq!(of(0), (6, 2, 3, 1.5));
    assert_eq!(of(1), (5, 2, 3, 1.5), "another session of the pair is open");
    assert_eq!(of(2), (3, 2, 2, 1.0), "the other relay holds the second group at the same backend");
    assert_eq!(of(3), (2, 1, 1, 1.0), "the first group is over, at both of its backends");
}

#[test]
fn the_state_of_the_fleet_follows_the_lists() {
    let (losses, _) = account("lists", &[("west.log", LISTS)]);
    let fleet = |second: usize| {
        let fleet = &losses["seconds"][second]["fleet"];
        ["/ready", "/draining", "/started", "/open", "/open_on_started"].map(|of| number(fleet, of))
    };
    assert_eq!(fleet(0), [3, 0, 0, 0, 0], "two of the configuration, and one that is probed");
    assert_eq!(fleet(1), [2, 1, 0, 0, 0]);
    assert_eq!(fleet(2), [3, 0, 1, 2, 1], "one is gone, and one has started");
    assert_eq!(fleet(3), [2, 0, 1, 2, 1], "a whole list leaves one out");
    assert_eq!(fleet(4), [1, 0, 0, 2, 1], "what had started is gone, and still holds its session");
}

/// A version of the list counts from when the first relay hears it, in whichever order logs are read.
#[test]
fn a_list_is_known_as_soon_as_one_relay_hears_it() {
    let change = LISTS.lines().find(|line| line.contains("generation: 2")).expect("a list");
    let early = change.replace("1.100 Mar 04 12:00:01.100", "0.900 Mar 04 12:00:00.900");
    for (one, other) in [("a.log", "b.log"), ("b.log", "a.log")] {
        let (losses, _) = account("heard", &[(one, LISTS), (other, &early)]);
        assert_eq!(number(&losses, "/seconds/0/fleet/draining"), 1, "{other} hears it first");
    }
}

/// A standing connection whose backend ends the dial well is dialled again; any other is served with that.
#[test]
fn a_standing_connection_is_not_served_by_a_dial_that_ends() {
    let again = "0.550 Mar 04 12:00:00.550 TRCE event, what: \
                 DialEnded { sess: 1, dial: 0, end: Ok, report: None }\n\
                 0.560 Mar 04 12:00:00.560 TRCE effect, what: \
                 Dial { sess: 1, dial: 1, addr: 127.0.1.1:8000, wait: 3990000, begin: 200000 }\n";
    let with = |at: &str| {
        let lines = STAYS.replacen("at: None", at, 1);
        let (before, after) = lines.split_once("0.600 ").expect("it comes up");
        format!("{before}{again}0.600 {after}")
    };
    for (at, placed) in [("at: Some(\"oak\")", 1), ("at: None", 0)] {
        let (losses, _) = account("standing", &[("west.log", &with(at))]);
        let fates = &losses["sum"]["attempts"]["fates"];
        assert_eq!(
            (number(fates, "/placed"), number(fates, "/served_at_once")),
            (placed, 1 - placed),
            "{at}"
        );
    }
}

#[test]
fn probes_tell_load_and_work_piled_up() {
    let (losses, _) = account("probes", &[("west.log", LISTS)]);
    assert_eq!(
        losses["seconds"][0]["probes"],
        json!({"answered": 10, "failed": 1, "load_median": 0.5, "load_p90": 0.9, "piled_part": 0.2})
    );
    let none = json!({"answered": 0, "failed": 0, "load_median": null, "load_p90": null, "piled_part": null});
    assert_eq!(losses["seconds"][1]["probes"], none);
}

/// A relay's own log bears no seconds of the day: its clock tells, from the first line of all logs on.
#[test]
fn lines_without_seconds_go_by_the_clock() {
    let bare = |text: &str| {
        let lines = text.lines().map(|line| line.split_once(' ').expect("seconds").1.to_string() + "\n");
        lines.collect::<String>()
    };
    // The clock counts from the first line of all.
    let first = "0.000 Mar 04 12:00:00.000 INFO it starts\n".to_string();
    let (west, east) = (first + ENDS, STAYS);
    let (with, _) = account("with", &[("west.log", &west), ("east.log", east)]);
    let (without, _) = account("without", &[("west.log", &bare(&west)), ("east.log", &bare(east))]);
    assert_eq!(with, without);
    // Midnight passes between two lines.
    let late = bare(STAYS).replace("Mar 04 12:00:00", "Feb 28 23:59:59");
    let late = late.replace("Mar 04 12:00:06", "Mar 01 00:00:05");
    let (late, _) = account("late", &[("west.log", &late)]);
    assert_eq!(late["seconds"].as_array().map(Vec::len), Some(6 + 1));
}

#[test]
fn dropped_lines_are_told() {
    let told = "6.500 Mar 04 12:00:06.500 ERRO slog-async: logger dropped messages due to channel overflow, \
                count: 12\n";
    let (losses, _) = account("dropped", &[("west.log", &(STAYS.to_string() + told))]);
    assert_eq!(number(&losses, "/read/dropped"), 12);
}

#[test]
fn one_client_is_followed_through_all_relays() {
    let folder = Folder::of("client", &[("west.log", CLIENT_WEST), ("east.log", CLIENT_EAST)]);
    let ran = run(&folder.0, &["--session", "703"]);
    let wanted = "   0.100 s  west id 701 key 77 group 7\n   \
                  0.100 s    dial 127.0.1.1:8000: error\n   \
                  0.200 s    dial 127.0.1.2:8000\n   \
                  0.250 s    placed\n   \
                  1.000 s    reset by the backend\n   \
                  1.200 s  east id 703 key 77 group 7, back\n   \
                  1.200 s    refused\n";
    assert_eq!((ran.out.as_str(), ran.code), (wanted, Some(0)));
    let ran = run(&folder.0, &["--session", "703", "--json"]);
    let attempts: Value = serde_json::from_str(&ran.out).expect("JSON");
    let ends: Vec<_> = attempts.as_array().expect("attempts").iter().map(|one| &one["end"]).collect();
    assert_eq!(ends, ["reset by the backend", "refused"]);
    // A client without a mark of its own is known by this attempt alone.
    let ran = run(&folder.0, &["--session", "704", "--json"]);
    let attempts: Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!(attempts.as_array().map(Vec::len), Some(1));
}

#[test]
fn what_cannot_be_read_is_an_error() {
    let quiet =
        "Mar 04 12:00:00.001 INFO serving, name: west\nMar 04 12:00:01.000 INFO stopping, well: true\n";
    for (name, logs) in [("empty", &[][..]), ("quiet", &[("west.log", quiet)]), ("text", &[("a.txt", ENDS)])]
    {
        let folder = Folder::of(name, logs);
        for more in [&[][..], &["--session", "1"]] {
            let ran = run(&folder.0, more);
            assert_eq!((ran.code, ran.out.as_str()), (Some(2), ""), "{name}");
            assert!(ran.err.contains("no events in") && ran.err.contains("-vv"), "{name}: {}", ran.err);
        }
    }
    let folder = Folder::of("unknown", &[("west.log", STAYS)]);
    let ran = run(&folder.0, &["--session", "999"]);
    assert_eq!(ran.code, Some(2));
    assert!(ran.err.contains("no relay logged an OPEN with the id 999"), "{}", ran.err);
    let ran = run(&folder.0.join("nowhere"), &[]);
    assert_eq!(ran.code, Some(2));
    assert!(ran.err.contains("nowhere: "), "{}", ran.err);
}
