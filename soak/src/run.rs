//! Plays a plan: starts everything, lets troubles begin and end, and judges what was seen.
use crate::backend::{Backend, Behaviour};
use crate::client::{self, Leave};
use crate::discovery::{Discovery, Mode};
use crate::faults::{Control, Fault};
use crate::ledger::{Book, Change, Ledger};
use crate::link::Way;
use crate::locked;
use crate::oracle::{self, Terms, Violation};
use crate::plan::Plan;
use crate::process::Relay;
use crate::trouble::{word, Kind, Trouble};
use oorandom::Rand64;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const TICK: Duration = Duration::from_millis(5);
/// The front goes on sending for so long after a relay was told to stop.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
const RELOAD_EACH: Duration = Duration::from_millis(300);
const PAUSE_EACH: Duration = Duration::from_millis(600);
const LONGEST_WAIT: Duration = Duration::from_millis(1_900);
/// After the last client: sessions end, and their ends are seen.
const TAIL: Duration = Duration::from_secs(6);
const STORM: u64 = 60;
/// By then a new process has taken the place of the one before, or has ended.
const TAKES_PLACE: Duration = Duration::from_secs(3);

/// What a backend may hold, and what the settings say of slow start.
pub const TERMS: Terms = Terms {
    drain_grace: Duration::from_millis(250),
    window: Duration::from_millis(1_000),
    cold: Duration::from_secs(8),
    cold_from: 0.2,
    fall: Duration::from_secs(1),
    fall_multiple: 3.0,
    capacity: 40.0,
};

/// How a run went.
pub struct Report {
    pub book: Book,
    pub violations: Vec<Violation>,
    /// System calls that failed, in all processes.
    pub injected: i64,
}

impl Report {
    /// Sessions by the first word that came back.
    pub fn answers(&self) -> BTreeMap<String, usize> {
        let mut answers = BTreeMap::new();
        for session in self.book.sessions.values() {
            let word = session.answer.as_ref().and_then(|(_, line)| line.split(' ').next()).unwrap_or("none");
            *answers.entry(word.to_string()).or_insert(0) += 1;
        }
        answers
    }

    /// Which troubles met which paths of sessions, and how often.
    pub fn coverage(&self, troubles: &[Trouble]) -> BTreeMap<(String, &'static str), usize> {
        let mut met = BTreeMap::new();
        for trouble in troubles {
            let mut count = |path, at: Duration| {
                if at >= trouble.from && at <= trouble.till {
                    *met.entry((word(&trouble.kind), path)).or_insert(0) += 1;
                }
            };
            for session in self.book.sessions.values() {
                count("request", session.asked);
                for (number, attempt) in session.attempts.iter().enumerate() {
                    count(if number == 0 { "dial" } else { "repeat" }, attempt.begun);
                }
                if let Some((at, line)) = &session.answer {
                    count(if line.starts_with("UP") { "up" } else { "refusal or failure" }, *at);
                }
                if let Some((at, _)) = session.ended {
                    count(if session.moved { "move" } else { "end" }, at);
                }
                session.left.into_iter().for_each(|at| count("client leaves", at));
            }
            self.book.told.iter().for_each(|told| count("list change", told.at));
            self.book.lives.iter().for_each(|life| {
                count("start", life.started);
                life.told_to_stop.into_iter().for_each(|at| count("stop", at));
            });
        }
        met
    }
}

/// Everything that runs.
struct Stage {
    plan: Plan,
    ledger: Ledger,
    discovery: Discovery,
    backends: Vec<Backend>,
    relays: Vec<Arc<Mutex<Relay>>>,
    listen: Vec<SocketAddr>,
    controls: Vec<Arc<Control>>,
    /// Relays that are to start again as soon as they have ended.
    restarting: Vec<usize>,
    /// Which relays the front sends clients to.
    in_front: Vec<Arc<AtomicBool>>,
    threads: Vec<JoinHandle<()>>,
    /// How many troubles of these kinds are in force.
    leaving: u32,
    slow_writers: u32,
    chance: Rand64,
    last_id: u64,
}

fn listener(name: &str, utility: f64, effect: &str) -> Value {
    json!({"Name": name, "Utility": utility, "Effect": effect, "Group": "all",
        "Window": TERMS.window.as_millis() as u64, "HandshakeTarget": 300,
        "DialTimeout": LONGEST_WAIT.as_millis() as u64})
}

const LISTENERS: [&str; 3] = ["low", "once", "referenced"];

fn configuration(plan: &Plan, known: Value) -> Value {
    let text = include_str!("../../deploy/example/relay.json");
    let mut text: Value = serde_json::from_str(text).expect("the example is JSON");
    text["known"] = known;
    let settings = &mut text["settings"];
    settings["Listeners"] = json!([
        listener("low", 1.0, "retryable"),
        listener("once", 5.0, "fragile"),
        listener("referenced", 5.0, "dedup")
    ]);
    settings["Instances"] = json!(plan.relays);
    settings["FamilyInfo"]["MessageAim"] = json!([60, 60, 60]);
    let rules = &mut settings["Rules"];
    rules["Cold"] = json!(TERMS.cold.as_millis() as u64);
    rules["ColdFrom"] = json!(TERMS.cold_from);
    rules["Fall"] = json!(TERMS.fall.as_millis() as u64);
    rules["FallMultiple"] = json!(TERMS.fall_multiple);
    rules["DrainGrace"] = json!(TERMS.drain_grace.as_millis() as u64);
    text
}

fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

/// Plays a plan and judges it. Relays whose processes do not start at all end the run with a panic.
pub fn play(plan: &Plan) -> Report {
    _ = std::fs::remove_dir_all(&plan.folder);
    std::fs::create_dir_all(&plan.folder).expect("a folder for the run");
    let mut stage = Stage::set(plan);
    let mut waiting: Vec<Trouble> = plan.troubles.clone();
    let mut ending: Vec<Trouble> = Vec::new();
    let begun = stage.ledger.now();
    let mut next_client = Duration::ZERO;
    loop {
        let now = stage.ledger.now() - begun;
        if now >= plan.length {
            break;
        }
        while let Some(at) = waiting.iter().position(|trouble| trouble.from <= now) {
            let trouble = waiting.remove(at);
            stage.begin(&trouble);
            ending.push(trouble);
        }
        while let Some(at) = ending.iter().position(|trouble| trouble.till <= now) {
            let trouble = ending.remove(at);
            stage.end(&trouble);
        }
        while next_client <= now {
            stage.client(false);
            let gap = -(1.0 - stage.chance.rand_float()).ln() / plan.per_second;
            next_client += Duration::from_secs_f64(gap);
        }
        stage.relays.iter().for_each(|relay| _ = relay.try_lock().map(|mut relay| relay.runs()));
        stage.restart();
        thread::sleep(TICK);
    }
    ending.iter().for_each(|trouble| stage.end(trouble));
    stage.finish(begun)
}

impl Stage {
    fn set(plan: &Plan) -> Stage {
        let ledger = Ledger::default();
        let discovery = Discovery::start(plan.relays, &ledger);
        let backends: Vec<Backend> =
            (0..plan.backends).map(|number| Backend::start(number, ledger.clone())).collect();
        for (number, backend) in backends.iter().enumerate() {
            discovery.list(number, backend.address, false, 0);
        }
        let text = configuration(plan, discovery.whole());
        let relays: Vec<_> = (0..plan.relays)
            .map(|number| {
                let mut relay = Relay::new(number, &plan.program, &plan.folder, text.clone(), ledger.clone());
                relay.text["discovery"] = json!(discovery.addresses[number].to_string());
                relay.text["operator"] = json!(crate::free().to_string());
                relay.text["seed"] = json!(format!("{:016x}", plan.seed * 1_000 + number as u64));
                if plan.keeps_state {
                    let state = plan.folder.join(format!("state-{number}"));
                    std::fs::create_dir_all(&state).expect("a folder for a store");
                    relay.text["state"] = json!(state.display().to_string());
                }
                relay.start();
                relay
            })
            .collect();
        let listen = relays.iter().map(|relay| relay.listen).collect();
        let controls = relays.iter().map(|relay| relay.control.clone()).collect();
        let relays = relays.into_iter().map(|mut relay| {
            assert!(relay.until_ready(), "relay {} is not ready: {}", relay.number, relay.log().display());
            Arc::new(Mutex::new(relay))
        });
        Stage {
            relays: relays.collect(),
            listen,
            controls,
            restarting: Vec::new(),
            in_front: (0..plan.relays).map(|_| Arc::new(AtomicBool::new(true))).collect(),
            plan: plan.clone(),
            ledger,
            discovery,
            backends,
            threads: Vec::new(),
            leaving: 0,
            slow_writers: 0,
            chance: Rand64::new(u128::from(plan.seed)),
            last_id: 0,
        }
    }

    fn draw(&mut self, end: u64) -> u64 {
        self.chance.rand_range(0..end)
    }

    /// Begins one client, at a relay that the front knows.
    fn client(&mut self, returned: bool) {
        let known: Vec<usize> =
            (0..self.relays.len()).filter(|at| self.in_front[*at].load(Ordering::Relaxed)).collect();
        if known.is_empty() {
            return;
        }
        let relay = self.draw(known.len() as u64) as usize;
        let relay = known[relay];
        self.last_id += 1;
        let after = Duration::from_millis(self.draw(400));
        let leave = match self.draw(4) {
            0 if self.leaving > 0 => Leave::Close(after),
            1 if self.leaving > 0 => Leave::Reset(after),
            _ => Leave::Never,
        };
        let listener = LISTENERS[self.draw(3) as usize];
        let life = Duration::from_millis(500 + self.draw(3_000));
        let plan = client::Plan {
            id: self.plan.seed << 32 | self.last_id,
            relay,
            address: self.listen[relay],
            listener,
            wait: LONGEST_WAIT,
            returned,
            piece: (self.slow_writers > 0).then_some(12),
            leave,
            life,
        };
        let ledger = self.ledger.clone();
        self.threads.push(thread::spawn(move || client::run(&plan, &ledger)));
    }

    fn change(&self, backend: usize, draining: bool, starts: bool) {
        let at = self.ledger.now();
        self.ledger.write(|book| book.changes.push(Change { backend, draining, starts, at }));
        let started = if starts { unix_ms() } else { 0 };
        self.discovery.list(backend, self.backends[backend].address, draining, started);
    }

    fn begin(&mut self, trouble: &Trouble) {
        let ledger = self.ledger.clone();
        let length = trouble.till.saturating_sub(trouble.from);
        match trouble.kind {
            Kind::Calls { relay, fault, value } => {
                let now = ledger.now();
                const ALL: i64 = 1_000;
                if fault == Fault::Accept && value == ALL {
                    ledger.write(|book| book.unaccepting.push((relay, now, now + length)));
                }
                if fault == Fault::BrokenClient {
                    ledger.write(|book| book.clients_broken.push((relay, now, now + length)));
                }
                self.controls[relay].set(fault, value);
            }
            Kind::Stop { relay } => self.stop(relay, true),
            Kind::StopBehindReload { relay } => {
                _ = self.relays[relay].try_lock().map(|relay| relay.reload());
                self.stop(relay, true);
            }
            Kind::Replace { relay } => self.replace(relay),
            Kind::ClientsStopHalfWay => {
                for (relay, &address) in self.listen.iter().enumerate() {
                    let ledger = ledger.clone();
                    self.threads.push(thread::spawn(move || client::stop_half_way(relay, address, &ledger)));
                }
            }
            Kind::StopUnderClients { relay } => self.stop(relay, false),
            Kind::Kill { relay } => {
                let relay = self.relays[relay].clone();
                self.threads.push(thread::spawn(move || locked(&relay).kill()));
            }
            Kind::Pause { relay, each } => {
                self.every(relay, length, PAUSE_EACH.max(each * 2), move |relay| {
                    let from = ledger.now();
                    relay.signal(libc::SIGSTOP);
                    thread::sleep(each);
                    relay.signal(libc::SIGCONT);
                    let till = ledger.now();
                    ledger.write(|book| book.paused.push((relay.number, from, till)));
                })
            }
            Kind::Reload { relay } => self.every(relay, length, RELOAD_EACH, |relay| relay.reload()),
            Kind::Backend { backend, behaviour } => self.backends[backend].behave(behaviour),
            Kind::ResetAll { backend } => self.backends[backend].reset_all(),
            Kind::Link { backend, way } => {
                if way == Way::Stalls {
                    let now = ledger.now();
                    ledger.write(|book| book.stalled.push((backend, now, now + length)));
                }
                self.backends[backend].link.set(way);
            }
            Kind::NoWay { backend } => {
                let port = i64::from(self.backends[backend].address.port());
                self.controls.iter().for_each(|control| control.set(Fault::Unreachable, port));
            }
            Kind::Drain { backend } => self.change(backend, true, false),
            Kind::Join => {
                let number = self.backends.len();
                self.backends.push(Backend::start(number, ledger));
                self.change(number, false, true);
            }
            Kind::Discovery { mode } => {
                let now = ledger.now();
                if mode != Mode::Silences {
                    ledger.write(|book| book.dark.push((now, now + length + Duration::from_secs(1))));
                }
                self.discovery.set_mode(mode);
            }
            Kind::ClientsLeave => self.leaving += 1,
            Kind::ClientsWriteSlowly => self.slow_writers += 1,
            Kind::Storm => (0..STORM).for_each(|_| self.client(true)),
        }
    }

    fn end(&mut self, trouble: &Trouble) {
        match trouble.kind {
            Kind::Calls { relay, fault, .. } => self.controls[relay].set(fault, 0),
            Kind::Stop { relay }
            | Kind::StopUnderClients { relay }
            | Kind::StopBehindReload { relay }
            | Kind::Kill { relay } => {
                self.restarting.push(relay);
            }
            Kind::Backend { backend, .. } => self.backends[backend].behave(Behaviour::Serves),
            Kind::Drain { backend } => self.change(backend, false, false),
            Kind::Discovery { .. } => self.discovery.set_mode(Mode::Serves),
            Kind::Link { backend, .. } => self.backends[backend].link.set(Way::Sound),
            Kind::NoWay { .. } => {
                self.controls.iter().for_each(|control| control.set(Fault::Unreachable, 0));
            }
            Kind::ClientsLeave => self.leaving -= 1,
            Kind::ClientsWriteSlowly => self.slow_writers -= 1,
            Kind::Pause { .. }
            | Kind::Reload { .. }
            | Kind::Replace { .. }
            | Kind::ResetAll { .. }
            | Kind::ClientsStopHalfWay
            | Kind::Join
            | Kind::Storm => {}
        }
    }

    /// Does something to a relay again and again for a time.
    fn every(
        &mut self,
        relay: usize,
        length: Duration,
        each: Duration,
        act: impl Fn(&Relay) + Send + 'static,
    ) {
        let (relay, ledger) = (self.relays[relay].clone(), self.ledger.clone());
        let till = ledger.now() + length;
        self.threads.push(thread::spawn(move || {
            while ledger.now() < till {
                act(&locked(&relay));
                thread::sleep(each);
            }
        }));
    }

    fn stop(&mut self, relay: usize, front_notices: bool) {
        let (relay, in_front) = (self.relays[relay].clone(), self.in_front[relay].clone());
        self.threads.push(thread::spawn(move || {
            locked(&relay).begin_stop();
            thread::sleep(FRONT_NOTICES);
            if front_notices {
                in_front.store(false, Ordering::Relaxed);
            }
            locked(&relay).finish_stop(LONGEST_WAIT.saturating_sub(FRONT_NOTICES));
        }));
    }

    /// Another process takes a relay's place; the one before is told to stop as that is done.
    fn replace(&mut self, relay: usize) {
        let relay = self.relays[relay].clone();
        let before = match relay.try_lock() {
            Ok(mut relay) => relay.runs().then(|| relay.start_successor()).flatten(),
            Err(_) => None,
        };
        let Some(before) = before else { return };
        self.threads.push(thread::spawn(move || {
            thread::sleep(TAKES_PLACE);
            let mut relay = locked(&relay);
            if relay.runs() && relay.until_ready() {
                drop(relay);
                before.stop(LONGEST_WAIT);
            } else {
                relay.keep(before);
            }
        }));
    }

    /// Starts those relays again whose processes have ended.
    fn restart(&mut self) {
        let (relays, in_front, threads) = (&self.relays, &self.in_front, &mut self.threads);
        self.restarting.retain(|&number| {
            let Ok(mut relay) = relays[number].try_lock() else { return true };
            if relay.runs() {
                return true;
            }
            relay.start();
            let (relay, in_front) = (relays[number].clone(), in_front[number].clone());
            threads.push(thread::spawn(move || {
                locked(&relay).until_ready();
                in_front.store(true, Ordering::Relaxed);
            }));
            false
        });
    }

    fn finish(mut self, begun: Duration) -> Report {
        self.threads.drain(..).for_each(|thread| _ = thread.join());
        thread::sleep(TAIL.saturating_sub(Duration::from_secs(5)));
        let injected = self.relays.iter().map(|relay| locked(relay).control.injected()).sum();
        self.relays.iter().for_each(|relay| _ = locked(relay).runs());
        let book = self.ledger.book();
        let violations = oracle::judge(&book, &TERMS);
        let violations =
            violations.into_iter().map(|one| Violation { at: one.at.saturating_sub(begun), ..one }).collect();
        Report { book, violations, injected }
    }
}
