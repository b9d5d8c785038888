//! Plays each file in `troubles/`, appended to `base.toml`, in virtual time. No rule may be broken, the same
//! seed must give the same day to the byte, and the expectations in the file must be met. Its lines can be:
//! `# set KEY = VALUE`                          sets a key of the scenario   `# expect MEASURE < NUMBER [from
//! A to B]`    or `>`; the range of seconds applies to service only   `# expect log TEXT`
//! a line of the log must contain the text Measures: service, refused, failed, moves, breaks, dials, open
//! (maximum), cold_falls (overloads of servers that are warming up), starts (of relays), stale (dials to
//! servers whose drain a relay knew of before it restarted). Measures of the membership: findings (of the
//! membership audit), gone (times that a relay declared another dead), deaths (detections by one other relay
//! each), last_known (longest time to a detection, in seconds), damaged (datagrams), whole_at_end (relays
//! that consider the fleet complete at the end).
use hallrelay_config::scenario;
use hallrelay_emulator::membership_audit::MembershipOutcome;
use hallrelay_emulator::service::{ListenerFigures, Outcome};
use hallrelay_lab::{scenario_keys, virt};
use std::path::Path;

fn measure(o: &Outcome, name: &str, range: Option<(f64, f64)>) -> Result<f64, String> {
    let sum = |f: fn(&ListenerFigures) -> u64| o.listeners.iter().map(f).sum::<u64>();
    Ok(match name {
        "service" => {
            let (from, to) = range.unwrap_or((0.0, f64::MAX));
            let values = o.samples.iter().filter(|s| s.at > from && s.at <= to).map(|s| s.service);
            let values: Vec<f64> = values.collect();
            if values.is_empty() {
                return Err(format!("no sample from {from} to {to} s"));
            }
            values.iter().sum::<f64>() / values.len() as f64
        }
        "refused" => sum(|l| l.rejected) as f64,
        "failed" => sum(|l| l.failed + l.closed) as f64,
        "moves" => o.moves as f64,
        "breaks" => o.breaks as f64,
        "dials" => o.dials as f64,
        "open" => f64::from(o.max_open),
        "cold_falls" => f64::from(o.overloads),
        "stale" => o.stale_dials as f64,
        "findings" => membership(o)?.finding_count as f64,
        "gone" => membership(o)?.view_changes.iter().filter(|b| b.state == "gone").count() as f64,
        "deaths" => membership(o)?.deaths.count as f64,
        "last_known" => membership(o)?.deaths.last,
        "damaged" => membership(o)?.datagrams[3] as f64,
        "whole_at_end" => {
            let last = membership(o)?.lanes.iter().filter_map(|lane| lane.last());
            last.filter(|word| word.word == "whole").count() as f64
        }
        "starts" => o.relays.iter().map(|r| f64::from(r.starts)).sum(),
        other => return Err(format!("unknown measure '{other}'")),
    })
}

fn membership(o: &Outcome) -> Result<&MembershipOutcome, String> {
    o.membership.as_ref().ok_or("the scenario has no membership (relays.fleet)".to_string())
}

fn expect(o: &Outcome, line: &str) -> Result<(), String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    if let ["log", text @ ..] = &words[..] {
        let text = text.join(" ");
        let found = o.log.iter().any(|m| m.text.contains(&text));
        return if found { Ok(()) } else { Err(format!("no line of the log contains '{text}'")) };
    }
    let number = |word: &str| word.parse::<f64>().map_err(|_| format!("'{word}' is not a number"));
    let (name, operator, bound, range) = match words[..] {
        [name, operator, bound] => (name, operator, number(bound)?, None),
        [name, operator, bound, "from", a, "to", b] => {
            (name, operator, number(bound)?, Some((number(a)?, number(b)?)))
        }
        _ => return Err("expected MEASURE < NUMBER [from A to B] or log TEXT".to_string()),
    };
    let value = measure(o, name, range)?;
    let is_met = match operator {
        "<" => value < bound,
        ">" => value > bound,
        other => return Err(format!("unknown operator '{other}'")),
    };
    if is_met {
        Ok(())
    } else {
        Err(format!("{name} is {value}"))
    }
}

fn play(base: &str, path: &Path) -> Result<(), String> {
    let file = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let mut text = format!("{base}\n{file}");
    for line in file.lines().filter_map(|l| l.strip_prefix("# set ")) {
        let (key, value) = line.split_once(" = ").ok_or("expected # set KEY = VALUE")?;
        let values = scenario_keys::values(value).map_err(|e| e.to_string())?;
        text = scenario_keys::set(&text, key, &values[0]).map_err(|e| e.to_string())?;
    }
    let s = scenario::parse(&path.display().to_string(), &text).map_err(|e| e.to_string())?;
    let day = || virt::run(&s, s.seed, virt::reducers(), &mut |_| true).map_err(|e| e.to_string());
    let o = day()?;
    let bytes = |o: &Outcome| serde_json::to_string(o).map_err(|e| e.to_string());
    if bytes(&o)? != bytes(&day()?)? {
        return Err("two runs with the same seed differ".to_string());
    }
    if let Some(b) = o.breaches.first() {
        let count = o.breach_count;
        return Err(format!("{count} breaches, first rule {}: {} {:?}", b.rule, b.details, b.trace));
    }
    let mut expected = 0;
    for line in file.lines().filter_map(|l| l.strip_prefix("# expect ")) {
        expected += 1;
        expect(&o, line).map_err(|why| format!("'{line}': {why}"))?;
    }
    if expected == 0 {
        return Err("the file has no # expect line".to_string());
    }
    Ok(())
}

/// This file has a separate test, so that its failure does not hide failures of other files.
const ONLY_RELAY: &str = "only-relay-restarts.toml";

#[test]
fn the_only_relay_restarts() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/troubles");
    let base = std::fs::read_to_string(folder.join("base.toml")).expect("read base.toml");
    if let Err(why) = play(&base, &folder.join(ONLY_RELAY)) {
        panic!("{ONLY_RELAY}: {why}");
    }
}

#[test]
fn fault_scenarios_meet_their_expectations() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/troubles");
    let base = std::fs::read_to_string(folder.join("base.toml")).expect("read base.toml");
    let entries = std::fs::read_dir(&folder).expect("list the scenario files");
    let files = entries.map(|entry| entry.expect("read a directory entry").path());
    let mut files: Vec<_> = files.filter(|p| !p.ends_with("base.toml") && !p.ends_with(ONLY_RELAY)).collect();
    files.sort();
    assert!(files.len() > 25, "only {} scenario files in {}", files.len(), folder.display());
    let failures: Vec<String> = files
        .iter()
        .filter_map(|path| play(&base, path).err().map(|why| format!("{}: {why}", path.display())))
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
