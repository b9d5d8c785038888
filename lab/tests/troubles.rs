//! Plays each file of `troubles/` in virtual time, behind `base.toml`: all rules must hold, the same seed
//! must give the same day to the byte, and what the file expects must come of it. Lines of the notation:
//!   `# set KEY = VALUE`                          changes a key of the scenario
//!   `# expect MEASURE < NUMBER [from A to B]`    or `>`; service can be that of some seconds
//!   `# expect log TEXT`                          a line of the log holds this
//! Measures: service, refused, failed, moves, breaks, dials, open, cold_falls, starts (of relays), stale
//! (dials to servers that a relay had been told to leave before it restarted); of relays
//! that know each other: findings (beliefs that were wrong), gone (times that one called another so), deaths
//! (known to one other each), last_known (seconds till the last one knew), damaged (datagrams),
//! whole_at_end (relays that then call the fleet whole).
use hallrelay_config::scenario;
use hallrelay_emulator::membership_audit::MembershipOutcome;
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::{scenario_keys, virt};
use std::path::Path;

fn measure(o: &Outcome, name: &str, within: Option<(f64, f64)>) -> Result<f64, String> {
    let sum =
        |f: fn(&hallrelay_emulator::service::ListenerFigures) -> u64| o.listeners.iter().map(f).sum::<u64>();
    Ok(match name {
        "service" => {
            let (from, to) = within.unwrap_or((0.0, f64::MAX));
            let some = o.samples.iter().filter(|s| s.at > from && s.at <= to).map(|s| s.service);
            let some: Vec<f64> = some.collect();
            if some.is_empty() {
                return Err("no sample is in that time".to_string());
            }
            some.iter().sum::<f64>() / some.len() as f64
        }
        "refused" => sum(|l| l.refused) as f64,
        "failed" => sum(|l| l.failed + l.closed) as f64,
        "moves" => o.moves as f64,
        "breaks" => o.breaks as f64,
        "dials" => o.dials as f64,
        "open" => f64::from(o.most_open),
        "cold_falls" => f64::from(o.cold_falls),
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
    o.membership.as_ref().ok_or("the relays know nothing of each other".to_string())
}

fn expect(o: &Outcome, line: &str) -> Result<(), String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    if let ["log", text @ ..] = &words[..] {
        let text = text.join(" ");
        let found = o.log.iter().any(|m| m.text.contains(&text));
        return if found { Ok(()) } else { Err(format!("nothing in the log holds '{text}'")) };
    }
    let num = |word: &str| word.parse::<f64>().map_err(|_| format!("'{word}' is not a number"));
    let (name, sign, wanted, within) = match words[..] {
        [name, sign, wanted] => (name, sign, num(wanted)?, None),
        [name, sign, wanted, "from", a, "to", b] => (name, sign, num(wanted)?, Some((num(a)?, num(b)?))),
        _ => return Err("not of the notation".to_string()),
    };
    let is = measure(o, name, within)?;
    let holds = match sign {
        "<" => is < wanted,
        ">" => is > wanted,
        other => return Err(format!("unknown sign '{other}'")),
    };
    if holds {
        Ok(())
    } else {
        Err(format!("{name} is {is}"))
    }
}

fn play(base: &str, path: &Path) -> Result<(), String> {
    let own = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let mut text = format!("{base}\n{own}");
    for line in own.lines().filter_map(|l| l.strip_prefix("# set ")) {
        let (key, value) = line.split_once(" = ").ok_or("a set line says KEY = VALUE")?;
        let values = scenario_keys::values(value).map_err(|e| e.to_string())?;
        text = scenario_keys::set(&text, key, &values[0]).map_err(|e| e.to_string())?;
    }
    let s = scenario::parse(&path.display().to_string(), &text).map_err(|e| e.to_string())?;
    let day = || virt::run(&s, s.seed, virt::reducers(), &mut |_| true).map_err(|e| e.to_string());
    let o = day()?;
    let bytes = |o: &Outcome| serde_json::to_string(o).map_err(|e| e.to_string());
    if bytes(&o)? != bytes(&day()?)? {
        return Err("the same seed gave another day".to_string());
    }
    if let Some(b) = o.breaches.first() {
        let count = o.breaches_in_all;
        return Err(format!("{count} breaches, first rule {}: {} {:?}", b.rule, b.details, b.trace));
    }
    let mut expected = 0;
    for line in own.lines().filter_map(|l| l.strip_prefix("# expect ")) {
        expected += 1;
        expect(&o, line).map_err(|why| format!("'{line}': {why}"))?;
    }
    if expected == 0 {
        return Err("it expects nothing".to_string());
    }
    Ok(())
}

/// A day with a test of its own, so that its failure hides no other's.
const ONLY_RELAY: &str = "only-relay-restarts.toml";

#[test]
fn the_only_relay_restarts() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/troubles");
    let base = std::fs::read_to_string(folder.join("base.toml")).expect("the base is there");
    if let Err(why) = play(&base, &folder.join(ONLY_RELAY)) {
        panic!("{ONLY_RELAY}: {why}");
    }
}

#[test]
fn each_trouble_alone_and_some_together() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/troubles");
    let base = std::fs::read_to_string(folder.join("base.toml")).expect("the base is there");
    let files = std::fs::read_dir(&folder).expect("the folder is there").map(|f| f.expect("an entry").path());
    let mut files: Vec<_> = files.filter(|p| !p.ends_with("base.toml") && !p.ends_with(ONLY_RELAY)).collect();
    files.sort();
    assert!(files.len() > 25, "only {} files", files.len());
    let faults: Vec<String> = files
        .iter()
        .filter_map(|path| play(&base, path).err().map(|why| format!("{}: {why}", path.display())))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
