//! Plays text scenarios: those of `tests/scenarios/` against the module alone, of `tests/relay/` against the
//! reducer without sockets, of `tests/fleet/` against membership alone, of `tests/loopback/` against the
//! program over loopback. A scenario is some lines:
//!   `site NAME=VALUE ..`        facts that differ from the default site (first line, optional)
//!   `MS INPUT ..`               an input at that time; alarms that are due are played before it
//!   `=> EFFECT`                 what this must have led to: all effects on sessions, in order, or `none`
//! `#` starts a comment. Probes and alarms are checked only where a line `=> probe SERVER` asks for them.
//! `tests/helpers/` tells what inputs the reducer and the loopback know.
mod helpers;

use hallrelay_balancer::types::*;
use hallrelay_balancer::Balancer;
use helpers::{Loopback, MembershipSubject, Program};
use std::collections::BTreeMap;

pub type Fault = String;
const LISTENERS: [&str; 5] = ["low", "high", "once", "ref", "ref-cell"];

fn site() -> SiteConfig {
    let listener = |priority_weight, idempotency| Listener {
        priority_weight,
        idempotency,
        handshake_target: 300_000,
        message_target: 60_000,
    };
    let keyed = |scope| Idempotency::Keyed { scope, window: 1_000_000 };
    SiteConfig {
        listeners: vec![
            listener(1.0, Idempotency::Idempotent),
            listener(5.0, Idempotency::Idempotent),
            listener(5.0, Idempotency::NonIdempotent),
            listener(5.0, keyed(KeyScope::All)),
            listener(5.0, keyed(KeyScope::Cell)),
        ],
        relay_count: 1,
        may_probe: true,
        groups_enabled: true,
        max_dials: 4,
        max_sessions: 1000,
        warm_up: 10_000_000,
        initial_capacity: 0.2,
        overload_multiple: 3.0,
        overload_window: 2_000_000,
        ..SiteConfig::default()
    }
}

pub fn num<T: std::str::FromStr>(word: &str) -> Result<T, Fault> {
    word.parse().map_err(|_| format!("'{word}' is not a number"))
}

pub fn option<'a>(words: &'a [&str], key: &str) -> Option<&'a str> {
    words.iter().find_map(|w| w.strip_prefix(key)?.strip_prefix('='))
}

pub fn millis(word: &str) -> Result<Micros, Fault> {
    Ok((num::<f64>(word)? * 1000.0) as Micros)
}

fn set_site(site: &mut SiteConfig, words: &[&str]) -> Result<(), Fault> {
    for word in words {
        let (key, value) = word.split_once('=').ok_or(format!("'{word}' is not NAME=VALUE"))?;
        match key {
            "relays" => site.relay_count = num(value)?,
            "dials" => site.max_dials = num(value)?,
            "slot" => site.relay_index = num(value)?,
            "zone" => site.zone = num(value)?,
            "max_open" => site.max_sessions = num(value)?,
            "retry_after" => site.max_retry_after = Some(millis(value)?),
            "watch" => site.must_watch = num(value)?,
            "price_probe" => site.probe_cost = num(value)?,
            "price_crossing" => site.cross_zone_cost = num(value)?,
            _ => return Err(format!("unknown site fact '{key}'")),
        }
    }
    Ok(())
}

fn endpoint(word: &str) -> Result<Endpoint, Fault> {
    let mut parts = word.split(':');
    let mut e =
        Endpoint { server: num(parts.next().unwrap_or(""))?, phase: Phase::Ready, ..Endpoint::default() };
    for part in parts {
        match part.split_once('=').unwrap_or((part, "")) {
            ("draining", _) => e.phase = Phase::Draining,
            ("gone", _) => e.phase = Phase::Gone,
            ("up", at) => e.started_at = millis(at)?,
            ("zone", zone) => e.zone = num(zone)?,
            ("cell", cell) => e.cell = num(cell)?,
            _ => return Err(format!("unknown mark '{part}'")),
        }
    }
    Ok(e)
}

fn request(words: &[&str], listener: &str) -> Result<AdmissionRequest, Fault> {
    let place = LISTENERS.iter().position(|l| *l == listener);
    Ok(AdmissionRequest {
        listener: place.ok_or(format!("unknown listener '{listener}'"))?,
        group: option(words, "group").map_or(Ok(0), num)?,
        returned: words.contains(&"returned"),
        time_remaining: option(words, "left").map_or(Ok(2_000_000), millis)?,
        ..AdmissionRequest::default()
    })
}

pub fn dial_end(word: &str) -> Result<DialEnd, Fault> {
    use DialEnd::*;
    let words = ["ok", "error", "full", "timeout", "unconnected", "reset", "recalled", "moot"];
    let ends = [Ok, Error, Full, Timeout, Unconnected, Reset, Cancelled, NotSent];
    let place = words.iter().position(|w| *w == word).ok_or(format!("unknown outcome '{word}'"))?;
    Result::Ok(ends[place])
}

/// How a probe ended: a word for it, or the figures of its answer.
pub fn probe_end(words: &[&str], how: &str) -> Result<(DialEnd, Option<LoadReport>), Fault> {
    let value = |key| option(words, key).map(num).transpose();
    let report = LoadReport { load: value("load")?, queue_delay: value("piled")?, sessions: value("held")? };
    let end = if how.contains('=') { DialEnd::Ok } else { dial_end(how)? };
    Ok((end, Some(report)))
}

/// `7` or `7..9`, both ends included.
pub fn range(word: &str) -> Result<std::ops::RangeInclusive<u32>, Fault> {
    let (from, to) = word.split_once("..").unwrap_or((word, word));
    Ok(num(from)?..=num(to)?)
}

/// The inputs of one line; none for `run`, which only lets time pass.
fn inputs(words: &[&str]) -> Result<Vec<Input>, Fault> {
    let at = |i: usize| words.get(i).copied().ok_or(format!("'{}' is too short", words.join(" ")));
    let list = |update| -> Result<Vec<Input>, Fault> {
        let endpoints = words[2..].iter().map(|w| endpoint(w)).collect::<Result<_, _>>()?;
        Ok(vec![Input::EndpointList { update, endpoints }])
    };
    let each = |make: &dyn Fn(u32) -> Result<Input, Fault>| range(at(1)?)?.map(make).collect();
    match at(0)? {
        "run" => Ok(vec![]),
        "list" if at(1)? == "full" => list(ListUpdate::Snapshot),
        "list" if at(1)? == "changes" => list(ListUpdate::Delta),
        "list" if at(1)? == "broken" => list(ListUpdate::WatchFailed),
        "ask" => {
            let request = request(words, at(2)?)?;
            each(&|sess| Ok(Input::SessionRequested { session: sess, request }))
        }
        "open" => {
            let (request, server) = (request(words, at(2)?)?, num(at(3)?)?);
            each(&|sess| Ok(Input::SessionAdopted { session: sess, server, request }))
        }
        "stands" => each(&|sess| Ok(Input::SessionEstablished { session: sess, dial: num(at(2)?)? })),
        "left" => each(&|sess| Ok(Input::SessionEnded { session: sess })),
        "delay" => each(&|sess| Ok(Input::MessageDelay { session: sess, delay: num(at(2)?)? })),
        "end" => each(&|sess| {
            let (dial, settled) = (num(at(2)?)?, words.contains(&"settled"));
            Ok(Input::DialEnded { session: sess, dial, end: dial_end(at(3)?)?, settled, report: None })
        }),
        "unbegun" => each(&|sess| Ok(Input::DialNotStarted { session: sess, dial: num(at(2)?)? })),
        "remember" => {
            let figure = |key| option(words, key).map(num::<f64>).transpose();
            let ago = |key| option(words, key).map_or(Ok(0), millis);
            let load = figure("load")?;
            let report = LoadReport { load, queue_delay: Some(0.0), sessions: Some(0.0) };
            let known = ServerSnapshot {
                server: num(at(1)?)?,
                report: load.map(|_| Ok::<_, Fault>(PastReport { age: ago("age")?, report })).transpose()?,
                recent_sessions: figure("placed")?.unwrap_or(0.0),
                slot: SlotSnapshot { age: ago("turn")?, interval_fraction: 1.0 },
                ..ServerSnapshot::default()
            };
            let session_load = figure("step")?.unwrap_or(0.02);
            Ok(vec![Input::Restore(Snapshot { session_load, servers: vec![known] })])
        }
        "alarm" => Ok(vec![Input::TimerExpired { label: num(at(1)?)? }]),
        "probe" => {
            let (end, report) = probe_end(words, at(2)?)?;
            each(&|server| Ok(Input::ProbeEnded { server, end, report }))
        }
        other => Err(format!("unknown input '{other}'")),
    }
}

fn shown(effect: &Effect) -> String {
    match effect {
        Effect::Dial { session: sess, server, send_within: None, .. } => format!("dial {sess} at {server}"),
        Effect::Dial { session: sess, server, send_within: Some(left), .. } => {
            format!("dial {sess} at {server} within {}", left / 1000)
        }
        Effect::Reject { session: sess, retry_after: 0 } => format!("refuse {sess}"),
        Effect::Reject { session: sess, .. } => format!("refuse {sess} with retry-after"),
        Effect::TearDown { session: sess } => format!("tear down {sess}"),
        Effect::Migrate { session: sess } => format!("move {sess}"),
        Effect::Probe { server } => format!("probe {server}"),
        Effect::WatchEndpoints => "watch".to_string(),
        Effect::SetTimer { .. } => "alarm".to_string(),
    }
}

/// What scenarios are played against.
pub trait Subject {
    fn site(&mut self, words: &[&str]) -> Result<(), Fault>;
    fn input(&mut self, now: Micros, words: &[&str]) -> Result<(), Fault>;
    /// The effects since the last line that was an input.
    fn effects(&mut self) -> Vec<String>;
}

#[derive(Default)]
struct Module {
    site: Option<SiteConfig>,
    relay: Option<Balancer>,
    alarms: BTreeMap<(Micros, usize), u32>,
    effects: Vec<Effect>,
}

impl Module {
    fn step(&mut self, now: Micros, input: Input) {
        let mut out = Vec::new();
        let facts = self.site.get_or_insert_with(site);
        self.relay.get_or_insert_with(|| Balancer::new(facts.clone(), 7)).step(now, input, &mut out);
        for effect in &out {
            if let Effect::SetTimer { after, label } = *effect {
                self.alarms.insert((now + after, self.alarms.len()), label);
            }
        }
        self.effects.append(&mut out);
    }
}

impl Subject for Module {
    fn site(&mut self, words: &[&str]) -> Result<(), Fault> {
        set_site(self.site.get_or_insert_with(site), words)
    }

    fn input(&mut self, now: Micros, words: &[&str]) -> Result<(), Fault> {
        self.effects.clear();
        while let Some((&key, &label)) = self.alarms.first_key_value().filter(|(k, _)| k.0 < now) {
            self.alarms.remove(&key);
            self.step(key.0, Input::TimerExpired { label });
        }
        inputs(words)?.into_iter().for_each(|input| self.step(now, input));
        Ok(())
    }

    fn effects(&mut self) -> Vec<String> {
        self.effects.iter().map(shown).collect()
    }
}

/// Checks effects against the lines that ask for them; probes, alarms and the like only where asked for.
fn check(told: &[String], wanted: &[&str]) -> Result<(), Fault> {
    const ASIDE: [&str; 10] =
        ["keep", "probe", "alarm", "ask", "watch", "unwatch", "forget", "ping", "visit", "gossip"];
    let aside = |l: &str| ASIDE.contains(&l.split(' ').next().unwrap_or(""));
    let told: Vec<&str> =
        told.iter().map(String::as_str).filter(|l| wanted.contains(l) || !aside(l)).collect();
    let wanted: Vec<&str> = wanted.iter().copied().filter(|l| *l != "none").collect();
    (told == wanted).then_some(()).ok_or(format!("wanted {wanted:?}, got {told:?}"))
}

fn play(text: &str, subject: &mut dyn Subject) -> Result<(), (usize, Fault)> {
    let lines = text.lines().enumerate().map(|(i, l)| (i + 1, l.split('#').next().unwrap_or("").trim()));
    let lines: Vec<(usize, &str)> = lines.filter(|(_, l)| !l.is_empty()).collect();
    let (mut checks, mut begun) = (0, false);
    for (i, &(number, line)) in lines.iter().enumerate() {
        let fault = |what: Fault| (number, what);
        let words: Vec<&str> = line.split_whitespace().collect();
        if words[0] == "site" && !begun {
            subject.site(&words[1..]).map_err(fault)?;
        } else if words[0] != "=>" {
            begun = true;
            subject.input(millis(words[0]).map_err(fault)?, &words[1..]).map_err(fault)?;
            let follow = lines[i + 1..].iter().map_while(|(_, l)| l.strip_prefix("=>"));
            let wanted: Vec<&str> = follow.map(str::trim).collect();
            if !wanted.is_empty() {
                checks += 1;
                check(&subject.effects(), &wanted).map_err(fault)?;
            }
        } else if !begun {
            return Err(fault("an effect before any input".to_string()));
        }
    }
    (checks > 0).then_some(()).ok_or((lines.len(), "checks nothing".to_string()))
}

fn play_all<S: Subject + Default>(folder: &str) {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let files =
        std::fs::read_dir(&folder).expect("the scenarios' folder").map(|f| f.expect("an entry").path());
    let mut files: Vec<_> = files.filter(|f| f.extension().is_some_and(|e| e == "txt")).collect();
    files.sort();
    assert!(!files.is_empty(), "no scenario in {}", folder.display());
    let faults = files.iter().filter_map(|file| {
        let text = std::fs::read_to_string(file).expect("a readable scenario");
        let (line, what) = play(&text, &mut S::default()).err()?;
        Some(format!("{}:{line}: {what}", file.display()))
    });
    let faults: Vec<String> = faults.collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn the_module() {
    play_all::<Module>("scenarios");
}

#[test]
fn the_reducer() {
    play_all::<Program>("relay");
}

#[test]
fn membership() {
    play_all::<MembershipSubject>("fleet");
}

#[test]
fn over_loopback() {
    play_all::<Loopback>("loopback");
}

#[test]
fn the_runner_names_what_is_wrong() {
    let line = |text| play(text, &mut Module::default()).map_err(|(line, _)| line);
    assert_eq!(line("0 list full 1\n0 asq 7 low"), Err(2));
    assert_eq!(line("0 list full 1\n1 ask 7 low"), Err(2), "checks nothing");
    assert_eq!(line("0 list full 1\n5 ask 7 low\n=> refuse 7"), Err(2), "an effect that does not come");
    assert_eq!(line("site colour=red"), Err(1));
}
