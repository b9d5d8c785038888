//! Runs the test scripts: those of `tests/scenarios/` against the balancer, of `tests/relay/` against
//! the reducer without sockets, of `tests/fleet/` against membership, and of `tests/loopback/` against
//! the relay on loopback sockets. A script consists of these lines:
//!   `site KEY=VALUE ..`   settings that differ from the default ones (first line, optional)
//!   `MS INPUT ..`         an input and its time in milliseconds; earlier timers expire before it
//!   `=> EFFECT`           an expected effect of the input above: one line for each, in order, or `none`
//! `#` starts a comment. MS is a number of milliseconds; DELAY and `queue_delay` are in seconds, and `load`
//! is a fraction of one server. A cold server (`started=MS`) warms up after its start; a slot is one dial
//! that this relay may make to it. An input has the name of its `Input` or `Event` variant, and an effect
//! that of its `Effect` variant, in kebab case or shortened. The effects in `CHECKED_ON_REQUEST`, such as
//! probes and timers, are compared only if a line expects them.
//!
//! Inputs of the balancer:
//!   `endpoint-list snapshot|delta|watch-failed SERVER[:draining|:removed][:started=MS] ..`, which also
//!   takes `:zone=N` and `:cell=N` after a server,
//!   `session-requested SESSIONS LISTENER [group=N] [time_remaining=MS] [returned]`,
//!   `session-adopted SESSIONS LISTENER SERVER`, `session-established SESSIONS DIAL`,
//!   `session-ended SESSIONS`, `message-delay SESSIONS DELAY`, `dial-ended SESSIONS DIAL END [settled]`,
//!   `dial-not-started SESSIONS DIAL`, `probe-ended SERVERS END|load=X [queue_delay=X] [sessions=X]`,
//!   `timer-expired LABEL`,
//!   `restore SERVER [load=X age=MS] [recent_sessions=X] [slot_age=MS] [session_load=X]`, `advance`,
//!   which only lets time pass.
//! SESSIONS and SERVERS are a number or a range such as `7..9`. `tests/helpers/` lists the inputs of the
//! other subjects.
mod helpers;

use hallrelay_balancer::types::*;
use hallrelay_balancer::Balancer;
use helpers::{LoopbackSubject, MembershipSubject, ReducerSubject};
use std::collections::BTreeMap;

pub type Fault = String;
const LISTENERS: [&str; 5] = ["low", "high", "once", "ref", "ref-cell"];

fn default_site() -> SiteConfig {
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

pub fn parse_number<T: std::str::FromStr>(word: &str) -> Result<T, Fault> {
    word.parse().map_err(|_| format!("'{word}' is not a number"))
}

/// The value of `key` in the first word of the form `KEY=VALUE` with that key, if there is one.
pub fn option<'a>(words: &'a [&str], key: &str) -> Option<&'a str> {
    words.iter().find_map(|w| w.strip_prefix(key)?.strip_prefix('='))
}

/// Parses milliseconds into microseconds.
pub fn parse_millis(word: &str) -> Result<Micros, Fault> {
    Ok((parse_number::<f64>(word)? * 1000.0) as Micros)
}

fn set_site(site: &mut SiteConfig, words: &[&str]) -> Result<(), Fault> {
    for word in words {
        let (key, value) = word.split_once('=').ok_or(format!("'{word}' is not KEY=VALUE"))?;
        match key {
            "relay_count" => site.relay_count = parse_number(value)?,
            "max_dials" => site.max_dials = parse_number(value)?,
            "relay_index" => site.relay_index = parse_number(value)?,
            "zone" => site.zone = parse_number(value)?,
            "max_sessions" => site.max_sessions = parse_number(value)?,
            "max_retry_after" => site.max_retry_after = Some(parse_millis(value)?),
            "must_watch" => site.must_watch = parse_number(value)?,
            "probe_cost" => site.probe_cost = parse_number(value)?,
            "cross_zone_cost" => site.cross_zone_cost = parse_number(value)?,
            _ => return Err(format!("unknown site key '{key}'")),
        }
    }
    Ok(())
}

fn parse_endpoint(word: &str) -> Result<Endpoint, Fault> {
    let mut parts = word.split(':');
    let mut e = Endpoint {
        server: parse_number(parts.next().unwrap_or(""))?,
        phase: Phase::Ready,
        ..Endpoint::default()
    };
    for part in parts {
        match part.split_once('=').unwrap_or((part, "")) {
            ("draining", _) => e.phase = Phase::Draining,
            ("removed", _) => e.phase = Phase::Gone,
            ("started", at) => e.started_at = parse_millis(at)?,
            ("zone", zone) => e.zone = parse_number(zone)?,
            ("cell", cell) => e.cell = parse_number(cell)?,
            _ => return Err(format!("unknown endpoint attribute '{part}'")),
        }
    }
    Ok(e)
}

fn parse_request(words: &[&str], listener: &str) -> Result<AdmissionRequest, Fault> {
    let index = LISTENERS.iter().position(|l| *l == listener);
    Ok(AdmissionRequest {
        listener: index.ok_or(format!("unknown listener '{listener}'"))?,
        group: option(words, "group").map_or(Ok(0), parse_number)?,
        returned: words.contains(&"returned"),
        time_remaining: option(words, "time_remaining").map_or(Ok(2_000_000), parse_millis)?,
        ..AdmissionRequest::default()
    })
}

pub fn parse_dial_end(word: &str) -> Result<DialEnd, Fault> {
    use DialEnd::*;
    let words = ["ok", "error", "full", "timeout", "unconnected", "reset", "cancelled", "not-sent"];
    let ends = [Ok, Error, Full, Timeout, Unconnected, Reset, Cancelled, NotSent];
    let index = words.iter().position(|w| *w == word).ok_or(format!("unknown dial end '{word}'"))?;
    Result::Ok(ends[index])
}

/// Parses how a probe ended: `end` is the word of a `DialEnd` or a value of the load report, and `words`
/// contain all values of the report.
pub fn parse_probe_end(words: &[&str], end: &str) -> Result<(DialEnd, Option<LoadReport>), Fault> {
    let value = |key| option(words, key).map(parse_number).transpose();
    let report =
        LoadReport { load: value("load")?, queue_delay: value("queue_delay")?, sessions: value("sessions")? };
    let end = if end.contains('=') { DialEnd::Ok } else { parse_dial_end(end)? };
    Ok((end, Some(report)))
}

/// Parses `7` or `7..9`; both ends are included.
pub fn parse_range(word: &str) -> Result<std::ops::RangeInclusive<u32>, Fault> {
    let (from, to) = word.split_once("..").unwrap_or((word, word));
    Ok(parse_number(from)?..=parse_number(to)?)
}

/// Parses the inputs of one line. The line `advance` has no input, because it only lets time pass.
fn parse_inputs(words: &[&str]) -> Result<Vec<Input>, Fault> {
    let word = |i: usize| words.get(i).copied().ok_or(format!("'{}' has no word {i}", words.join(" ")));
    let list = |update| -> Result<Vec<Input>, Fault> {
        let endpoints = words[2..].iter().map(|w| parse_endpoint(w)).collect::<Result<_, _>>()?;
        Ok(vec![Input::EndpointList { update, endpoints }])
    };
    let each = |make: &dyn Fn(u32) -> Result<Input, Fault>| parse_range(word(1)?)?.map(make).collect();
    match word(0)? {
        "advance" => Ok(vec![]),
        "endpoint-list" if word(1)? == "snapshot" => list(ListUpdate::Snapshot),
        "endpoint-list" if word(1)? == "delta" => list(ListUpdate::Delta),
        "endpoint-list" if word(1)? == "watch-failed" => list(ListUpdate::WatchFailed),
        "session-requested" => {
            let request = parse_request(words, word(2)?)?;
            each(&|session| Ok(Input::SessionRequested { session, request }))
        }
        "session-adopted" => {
            let (request, server) = (parse_request(words, word(2)?)?, parse_number(word(3)?)?);
            each(&|session| Ok(Input::SessionAdopted { session, server, request }))
        }
        "session-established" => {
            each(&|session| Ok(Input::SessionEstablished { session, dial: parse_number(word(2)?)? }))
        }
        "session-ended" => each(&|session| Ok(Input::SessionEnded { session })),
        "message-delay" => {
            each(&|session| Ok(Input::MessageDelay { session, delay: parse_number(word(2)?)? }))
        }
        "dial-ended" => each(&|session| {
            let (dial, settled) = (parse_number(word(2)?)?, words.contains(&"settled"));
            Ok(Input::DialEnded { session, dial, end: parse_dial_end(word(3)?)?, settled, report: None })
        }),
        "dial-not-started" => {
            each(&|session| Ok(Input::DialNotStarted { session, dial: parse_number(word(2)?)? }))
        }
        "restore" => {
            let value = |key| option(words, key).map(parse_number::<f64>).transpose();
            let age = |key| option(words, key).map_or(Ok(0), parse_millis);
            let load = value("load")?;
            let report = LoadReport { load, queue_delay: Some(0.0), sessions: Some(0.0) };
            let server = ServerSnapshot {
                server: parse_number(word(1)?)?,
                report: load.map(|_| Ok::<_, Fault>(PastReport { age: age("age")?, report })).transpose()?,
                recent_sessions: value("recent_sessions")?.unwrap_or(0.0),
                slot: SlotSnapshot { age: age("slot_age")?, interval_fraction: 1.0 },
                ..ServerSnapshot::default()
            };
            let session_load = value("session_load")?.unwrap_or(0.02);
            Ok(vec![Input::Restore(Snapshot { session_load, servers: vec![server] })])
        }
        "timer-expired" => Ok(vec![Input::TimerExpired { label: parse_number(word(1)?)? }]),
        "probe-ended" => {
            let (end, report) = parse_probe_end(words, word(2)?)?;
            each(&|server| Ok(Input::ProbeEnded { server, end, report }))
        }
        other => Err(format!("unknown input '{other}'")),
    }
}

fn effect_text(effect: &Effect) -> String {
    match effect {
        Effect::Dial { session, server, send_within: None, .. } => format!("dial {session} at {server}"),
        Effect::Dial { session, server, send_within: Some(span), .. } => {
            format!("dial {session} at {server} within {}", span / 1000)
        }
        Effect::Reject { session, retry_after: 0 } => format!("reject {session}"),
        Effect::Reject { session, .. } => format!("reject {session} with retry-after"),
        Effect::TearDown { session } => format!("tear-down {session}"),
        Effect::Migrate { session } => format!("migrate {session}"),
        Effect::Probe { server } => format!("probe {server}"),
        Effect::WatchEndpoints => "watch".to_string(),
        Effect::SetTimer { .. } => "timer".to_string(),
    }
}

/// The system that a script tests.
pub trait Subject {
    fn set_site(&mut self, words: &[&str]) -> Result<(), Fault>;
    fn input(&mut self, now: Micros, words: &[&str]) -> Result<(), Fault>;
    /// The effects of the last input, and of the timers that expired before it.
    fn effects(&mut self) -> Vec<String>;
}

#[derive(Default)]
struct BalancerSubject {
    site: Option<SiteConfig>,
    balancer: Option<Balancer>,
    timers: BTreeMap<(Micros, usize), u32>,
    effects: Vec<Effect>,
}

impl BalancerSubject {
    fn step(&mut self, now: Micros, input: Input) {
        let mut out = Vec::new();
        let site = self.site.get_or_insert_with(default_site);
        self.balancer.get_or_insert_with(|| Balancer::new(site.clone(), 7)).step(now, input, &mut out);
        for effect in &out {
            if let Effect::SetTimer { after, label } = *effect {
                self.timers.insert((now + after, self.timers.len()), label);
            }
        }
        self.effects.append(&mut out);
    }
}

impl Subject for BalancerSubject {
    fn set_site(&mut self, words: &[&str]) -> Result<(), Fault> {
        set_site(self.site.get_or_insert_with(default_site), words)
    }

    fn input(&mut self, now: Micros, words: &[&str]) -> Result<(), Fault> {
        self.effects.clear();
        while let Some((&key, &label)) = self.timers.first_key_value().filter(|(k, _)| k.0 < now) {
            self.timers.remove(&key);
            self.step(key.0, Input::TimerExpired { label });
        }
        parse_inputs(words)?.into_iter().for_each(|input| self.step(now, input));
        Ok(())
    }

    fn effects(&mut self) -> Vec<String> {
        self.effects.iter().map(effect_text).collect()
    }
}

/// Compares the effects with the expected effects. An effect of `CHECKED_ON_REQUEST` is compared only if a
/// line of the script expects it.
fn check(actual: &[String], expected: &[&str]) -> Result<(), Fault> {
    const CHECKED_ON_REQUEST: [&str; 11] = [
        "persist",
        "probe",
        "timer",
        "unchecked",
        "watch",
        "fetch-and-watch",
        "stop-watch",
        "forget-server",
        "ping",
        "push-pull-request",
        "gossip",
    ];
    let on_request = |l: &str| CHECKED_ON_REQUEST.contains(&l.split(' ').next().unwrap_or(""));
    let actual: Vec<&str> =
        actual.iter().map(String::as_str).filter(|l| expected.contains(l) || !on_request(l)).collect();
    let expected: Vec<&str> = expected.iter().copied().filter(|l| *l != "none").collect();
    (actual == expected).then_some(()).ok_or(format!("expected {expected:?}, got {actual:?}"))
}

/// Runs one script. An error contains the number of the line at which the script failed.
fn run_script(text: &str, subject: &mut dyn Subject) -> Result<(), (usize, Fault)> {
    let lines = text.lines().enumerate().map(|(i, l)| (i + 1, l.split('#').next().unwrap_or("").trim()));
    let lines: Vec<(usize, &str)> = lines.filter(|(_, l)| !l.is_empty()).collect();
    let (mut checks, mut started) = (0, false);
    for (i, &(number, line)) in lines.iter().enumerate() {
        let fault = |what: Fault| (number, what);
        let words: Vec<&str> = line.split_whitespace().collect();
        if words[0] == "site" && !started {
            subject.set_site(&words[1..]).map_err(fault)?;
        } else if words[0] != "=>" {
            started = true;
            subject.input(parse_millis(words[0]).map_err(fault)?, &words[1..]).map_err(fault)?;
            let following = lines[i + 1..].iter().map_while(|(_, l)| l.strip_prefix("=>"));
            let expected: Vec<&str> = following.map(str::trim).collect();
            if !expected.is_empty() {
                checks += 1;
                check(&subject.effects(), &expected).map_err(fault)?;
            }
        } else if !started {
            return Err(fault(format!("the expected effect '{line}' is before the first input")));
        }
    }
    (checks > 0).then_some(()).ok_or((lines.len(), "the script expects no effect".to_string()))
}

fn run_scripts<S: Subject + Default>(folder: &str) {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let entries = std::fs::read_dir(&folder);
    let entries = entries.unwrap_or_else(|error| panic!("read the folder {}: {error}", folder.display()));
    let files = entries.map(|entry| entry.expect("read an entry of the scripts' folder").path());
    let mut files: Vec<_> = files.filter(|f| f.extension().is_some_and(|e| e == "txt")).collect();
    files.sort();
    assert!(!files.is_empty(), "the folder {} contains no script (*.txt)", folder.display());
    let faults = files.iter().filter_map(|file| {
        let text = std::fs::read_to_string(file);
        let text = text.unwrap_or_else(|error| panic!("read the script {}: {error}", file.display()));
        let (line, what) = run_script(&text, &mut S::default()).err()?;
        Some(format!("{}:{line}: {what}", file.display()))
    });
    let faults: Vec<String> = faults.collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn balancer_scripts() {
    run_scripts::<BalancerSubject>("scenarios");
}

#[test]
fn reducer_scripts() {
    run_scripts::<ReducerSubject>("relay");
}

#[test]
fn membership_scripts() {
    run_scripts::<MembershipSubject>("fleet");
}

#[test]
fn loopback_scripts() {
    run_scripts::<LoopbackSubject>("loopback");
}

#[test]
fn runner_reports_line_of_failed_script() {
    let run = |text| run_script(text, &mut BalancerSubject::default()).map_err(|(line, _)| line);
    assert_eq!(run("0 endpoint-list snapshot 1\n0 session-requestd 7 low"), Err(2));
    assert_eq!(run("0 endpoint-list snapshot 1\n1 session-requested 7 low"), Err(2), "no expected effect");
    assert_eq!(
        run("0 endpoint-list snapshot 1\n5 session-requested 7 low\n=> reject 7"),
        Err(2),
        "an expected effect is missing"
    );
    assert_eq!(run("site colour=red"), Err(1));
}
