//! The auditor: sees both sides of each session and the list, and proves or disproves the four rules. It
//! shares nothing with relay and module, and knows them only by what passes.
use hallrelay_balancer::types::{Idempotency, KeyScope, Micros, Phase};
use hallrelay_config::scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// What a client was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// With the receipt that a server gave.
    Up(u64),
    /// A refusal: trying again is harmless.
    Busy,
    Failed,
    /// The end without a word.
    Closed,
}

/// How a dial ended, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialOver {
    /// Turned away: it never ran.
    Never,
    /// It ran, or may have.
    Ran,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: u8,
    /// Microseconds since the day began.
    pub at: Micros,
    pub session: String,
    pub what: String,
    /// What passed, with times.
    pub lines: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Line {
    Asked { relay: usize },
    Dialled { server: usize },
    Over { server: usize, over: DialOver },
    UpSaid { server: usize },
    Answered(&'static str),
    Left,
}

struct Sess {
    listener: usize,
    relay: usize,
    due: Micros,
    /// Answered, and when.
    answered: Option<Micros>,
    /// Its time was up while its relay stood still: no answer is owed any more, and none may come.
    excused: bool,
    up: bool,
    left: Option<Micros>,
    dials: u32,
    /// The server at which a dial is out.
    out: Option<usize>,
    /// The first dial that may have run: its time, and where.
    ran: Option<(Micros, usize)>,
    receipt: Option<u64>,
    /// The servers it tried, in order.
    lines: Vec<(Micros, Line)>,
    standing: bool,
}

/// What a relay knows of a server by the list.
#[derive(Clone, Copy, Default)]
struct Known {
    /// Since when it was told that nothing new may go there.
    shut: Option<Micros>,
}

pub struct Audit {
    begin: Micros,
    slack: Micros,
    /// What was on its way as a relay ended a session, or its client did, may still come this long.
    on_its_way: Micros,
    grace: Micros,
    ask_within: Micros,
    most_dials: u32,
    repeats: Vec<Idempotency>,
    listeners: Vec<String>,
    /// Zones and cells of the servers.
    places: Vec<(usize, u16)>,
    names: Vec<String>,
    sessions: BTreeMap<u64, Sess>,
    /// Dues by time, to find what was never answered.
    dues: BTreeMap<(Micros, u64), ()>,
    known: Vec<Vec<Known>>,
    /// What each relay was told in an earlier life of its process and nothing since: since when a server is
    /// shut.
    before: Vec<Vec<Option<Micros>>>,
    /// Whether relays keep what they must know, so that being told outlives a process.
    keeps: bool,
    /// Dials of a relay that was told to leave that server, in an earlier life or this one.
    pub stale_dials: u64,
    /// Since when each server is shut by the list service's own knowledge.
    shut: Vec<Option<Micros>>,
    /// Relays: up or not, since when, and how many times the usual interval holds for what counts as told.
    up: Vec<bool>,
    started: Vec<Micros>,
    patience: Vec<Micros>,
    /// Relays that stand still, not of their own doing.
    stalled: Vec<bool>,
    /// When each relay's process ended last.
    ended: Vec<Micros>,
    pub breaches: Vec<Breach>,
    /// Breaches beyond those that are kept whole.
    pub more: u64,
    pub sessions_seen: u64,
    pub dials_seen: u64,
    /// Cold servers that fell over, whoever is to blame.
    pub falls: u32,
}

impl Audit {
    /// Breaches that are kept with all their lines.
    const KEPT: usize = 50;
    /// Lines that are kept of one session.
    const LINES: usize = 64;

    pub fn new(s: &Scenario, places: Vec<(usize, u16)>, names: Vec<String>, begin: Micros) -> Audit {
        let (relays, servers) = (s.relays.count, names.len());
        Audit {
            begin,
            slack: s.rules.slack_ms.us(),
            on_its_way: s.rules.slack_ms.us() + s.net.client_ms.us() + 3 * s.net.server_ms.us(),
            grace: s.rules.drain_grace_ms.us(),
            ask_within: s.rules.ask_within_s.us(),
            most_dials: s.relays.most_dials,
            repeats: s.listeners.iter().map(|l| l.repeats()).collect(),
            listeners: s.listeners.iter().map(|l| l.name.clone()).collect(),
            places,
            names,
            sessions: BTreeMap::new(),
            dues: BTreeMap::new(),
            known: vec![vec![Known::default(); servers]; relays],
            before: vec![vec![None; servers]; relays],
            keeps: s.relays.state,
            stale_dials: 0,
            shut: vec![None; servers],
            up: vec![true; relays],
            started: vec![begin; relays],
            patience: vec![1; relays],
            stalled: vec![false; relays],
            ended: vec![begin; relays],
            breaches: Vec::new(),
            more: 0,
            sessions_seen: 0,
            dials_seen: 0,
            falls: 0,
        }
    }

    fn breach(&mut self, rule: u8, now: Micros, mark: u64, what: String) {
        if self.breaches.len() >= Audit::KEPT {
            self.more += 1;
            return;
        }
        let mut lines = Vec::new();
        let mut session = "none".to_string();
        if let Some(s) = self.sessions.get(&mark) {
            session = format!("{mark:016x} ({}, relay {})", self.listeners[s.listener], s.relay);
            for (at, line) in &s.lines {
                let name = |server: &usize| &self.names[*server];
                let mut text = format!("{:10.3} ms  ", (*at - self.begin.min(*at)) as f64 / 1e3);
                _ = match line {
                    Line::Asked { relay } => write!(text, "client asks relay {relay}"),
                    Line::Dialled { server } => write!(text, "line comes to {}", name(server)),
                    Line::Over { server, over } => {
                        let how = if *over == DialOver::Never { "never ran" } else { "ran or may have" };
                        write!(text, "dial at {} is over: {how}", name(server))
                    }
                    Line::UpSaid { server } => write!(text, "{} says UP", name(server)),
                    Line::Answered(what) => write!(text, "client hears {what}"),
                    Line::Left => write!(text, "client leaves"),
                };
                lines.push(text);
            }
        }
        let at = now - self.begin.min(now);
        self.breaches.push(Breach { rule, at, session, what, lines });
    }

    fn line(&mut self, now: Micros, mark: u64, line: Line) {
        if let Some(s) = self.sessions.get_mut(&mark).filter(|s| s.lines.len() < Audit::LINES) {
            s.lines.push((now, line));
        }
    }

    /// A client's whole first line is on its way to a relay that took the connection.
    pub fn asked(
        &mut self,
        now: Micros,
        mark: u64,
        relay: usize,
        listener: usize,
        wait: Micros,
        standing: bool,
    ) {
        self.sessions_seen += 1;
        let due = now + wait;
        let s = Sess {
            listener,
            relay,
            due,
            answered: None,
            excused: false,
            up: false,
            left: None,
            dials: 0,
            out: None,
            ran: None,
            receipt: None,
            lines: Vec::with_capacity(4),
            standing,
        };
        self.sessions.insert(mark, s);
        self.dues.insert((due + self.slack, mark), ());
        self.line(now, mark, Line::Asked { relay });
    }

    /// Rule 1, and the part of rule 2 that holds for refusals.
    pub fn answered(&mut self, now: Micros, mark: u64, answer: &Answer) {
        let name = match answer {
            Answer::Up(_) => "UP",
            Answer::Busy => "BUSY",
            Answer::Failed => "an error",
            Answer::Closed => "the end without an answer",
        };
        self.line(now, mark, Line::Answered(name));
        let Some(s) = self.sessions.get_mut(&mark) else { return };
        if s.answered.is_some() {
            return self.breach(1, now, mark, format!("{name} comes after the final answer"));
        }
        if s.left.is_some() {
            return; // on its way as the client left
        }
        let (due, relay) = (s.due, s.relay);
        s.answered = Some(now);
        self.dues.remove(&(due + self.slack, mark));
        let excused = s.excused && *answer == Answer::Closed;
        if now > due + self.slack && !excused {
            let late = (now - due) as f64 / 1e3;
            self.breach(1, now, mark, format!("{name} comes {late:.1} ms after the dial timeout"));
        }
        let s = &self.sessions[&mark];
        match *answer {
            Answer::Up(receipt) if s.receipt != Some(receipt) => {
                self.breach(1, now, mark, "UP with a receipt that no server gave".to_string());
            }
            Answer::Up(_) => self.sessions.get_mut(&mark).expect("just read").up = true,
            Answer::Busy => {
                let harmless = match self.repeats[s.listener] {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. } => true,
                    _ => s.ran.is_none() && s.out.is_none(),
                };
                if !harmless {
                    self.breach(2, now, mark, "refused, though it may have run".to_string());
                }
            }
            Answer::Closed if self.up[relay] && !s.excused => {
                self.breach(1, now, mark, "the connection ends without an answer".to_string());
            }
            Answer::Failed | Answer::Closed => {}
        }
    }

    /// The client is gone, by itself.
    pub fn left(&mut self, now: Micros, mark: u64) {
        self.line(now, mark, Line::Left);
        let Some(s) = self.sessions.get_mut(&mark) else { return };
        s.left = s.left.or(Some(now));
        let (due, answered, relay) = (s.due, s.answered, s.relay);
        if self.dues.remove(&(due + self.slack, mark)).is_some()
            && answered.is_none()
            && now > due + self.slack
            && !self.stalled[relay]
        {
            self.breach(1, now, mark, "no answer within the dial timeout".to_string());
        }
    }

    /// A session's line has come to a server; its first byte came at `first`.
    pub fn dialled(&mut self, now: Micros, first: Micros, mark: u64, server: usize, relay: usize) {
        self.dials_seen += 1;
        self.line(now, mark, Line::Dialled { server });
        let Some(s) = self.sessions.get_mut(&mark) else {
            return self.breach(
                1,
                now,
                mark,
                format!("{} gets a line that no client sent", self.names[server]),
            );
        };
        s.dials += 1;
        let (dials, standing, late) = (s.dials, s.standing, self.on_its_way);
        let over = s.answered.filter(|_| !s.up).or(s.left).is_some_and(|then| first > then + late);
        let before = s.out.replace(server);
        let (ran, repeat) = (s.ran, self.repeats[s.listener]);
        if over || (s.up && s.answered.is_some()) {
            self.breach(1, now, mark, format!("dialled at {} after it was over", self.names[server]));
        }
        if let Some(other) = before {
            let what =
                format!("dialled at {} while a dial is out at {}", self.names[server], self.names[other]);
            self.breach(2, now, mark, what);
        }
        if dials > self.most_dials && !standing {
            self.breach(2, now, mark, format!("dialled {dials} times, {} at most", self.most_dials));
        }
        if let Some((then, at)) = ran {
            let legal = match repeat {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::Keyed { scope, window } => {
                    let (here, there) = (self.places[server], self.places[at]);
                    let near = match scope {
                        KeyScope::All => true,
                        KeyScope::Zone => here.0 == there.0,
                        KeyScope::Cell => here.1 == there.1,
                    };
                    near && first <= then + window + self.slack
                }
            };
            if !legal {
                let what = format!("dialled at {}, though it may have run before", self.names[server]);
                self.breach(2, now, mark, what);
            }
        }
        self.drains(now, first, mark, server, relay, standing);
    }

    /// A server gets a line that is not what a client sent, or whose client has left.
    pub fn odd_line(&mut self, now: Micros, first: Micros, mark: u64, server: usize, line: &str) {
        let left = self.sessions.get(&mark).map(|s| s.left.or(s.answered));
        let late = self.on_its_way;
        // It was on its way as its client left.
        if left.flatten().is_some_and(|then| first <= then + late) {
            return;
        }
        let name = &self.names[server];
        let what = match left {
            None => format!("{name} gets a line that no client sent: {line:.80}"),
            Some(_) => format!("dialled at {name} after it was over"),
        };
        self.breach(1, now, mark, what);
    }

    /// A client's open connection ended without `MOVE` though its server still answers.
    pub fn cut_off(&mut self, now: Micros, mark: u64) {
        if self.sessions.get(&mark).is_some_and(|s| self.up[s.relay]) {
            self.breach(1, now, mark, "cut off without MOVE while its server answers".to_string());
        }
    }

    /// Rule 3: told by the list, or held to be told when it has not asked for too long.
    fn drains(&mut self, now: Micros, first: Micros, mark: u64, server: usize, relay: usize, standing: bool) {
        let deemed =
            self.shut[server].map(|t| t.max(self.started[relay]) + self.ask_within * self.patience[relay]);
        let before = self.before[relay][server];
        if before.is_some_and(|told| first > told + self.grace + self.slack) && !standing {
            self.stale_dials += 1;
        }
        let told = [self.known[relay][server].shut, deemed, before.filter(|_| self.keeps)];
        let told = told.into_iter().flatten().min();
        let Some(told) = told.filter(|_| !standing) else { return };
        if first > told + self.grace + self.slack {
            let after = (first - told) as f64 / 1e3;
            let what =
                format!("{} is dialled {after:.1} ms after it was told to be shut", self.names[server]);
            self.breach(3, now, mark, what);
        }
    }

    /// A server says `UP`, with a receipt.
    pub fn up_said(&mut self, now: Micros, mark: u64, server: usize, receipt: u64) {
        self.line(now, mark, Line::UpSaid { server });
        if let Some(s) = self.sessions.get_mut(&mark) {
            s.receipt = Some(receipt);
            s.ran = s.ran.or(Some((now, server)));
        }
    }

    /// A dial is over, or the open session that came of it.
    pub fn dial_over(&mut self, now: Micros, mark: u64, server: usize, over: DialOver) {
        self.line(now, mark, Line::Over { server, over });
        let Some(s) = self.sessions.get_mut(&mark) else { return };
        if s.out == Some(server) {
            s.out = None;
        }
        if over == DialOver::Ran {
            s.ran = s.ran.or(Some((now, server)));
        }
    }

    /// Whether a session's client has had its `UP`.
    pub fn is_up(&self, mark: u64) -> bool {
        self.sessions.get(&mark).is_some_and(|s| s.up)
    }

    /// The list has told a relay of servers.
    pub fn told(&mut self, now: Micros, relay: usize, server: usize, phase: Phase) {
        if phase == Phase::Ready {
            self.before[relay][server] = None;
        }
        let known = &mut self.known[relay][server];
        known.shut = if phase == Phase::Ready { None } else { known.shut.or(Some(now)) };
        self.patience[relay] = 1;
    }

    /// What the list service itself knows of a server from now on.
    pub fn listed(&mut self, now: Micros, server: usize, phase: Phase) {
        let shut = &mut self.shut[server];
        *shut = if phase == Phase::Ready { None } else { shut.or(Some(now)) };
    }

    /// A relay's call to the list service failed: it has four times as long.
    pub fn call_failed(&mut self, relay: usize) {
        self.patience[relay] = 4;
    }

    /// A relay ends: what it held is its clients' to ask again.
    pub fn relay_ends(&mut self, now: Micros, relay: usize) {
        self.up[relay] = false;
        self.ended[relay] = now;
        let gone: Vec<(Micros, u64)> =
            self.dues.keys().copied().filter(|(_, m)| self.is_at(*m, relay)).collect();
        gone.into_iter().for_each(|key| _ = self.dues.remove(&key));
        let held: Vec<u64> =
            self.sessions.iter().filter(|(_, s)| s.relay == relay).map(|(m, _)| *m).collect();
        held.into_iter().for_each(|mark| _ = self.sessions.remove(&mark));
    }

    fn is_at(&self, mark: u64, relay: usize) -> bool {
        self.sessions.get(&mark).is_some_and(|s| s.relay == relay)
    }

    pub fn relay_starts(&mut self, now: Micros, relay: usize) {
        (self.up[relay], self.started[relay], self.patience[relay]) = (true, now, 1);
        // What a process was told within moments of its death may not have come to its store.
        const WRITTEN: Micros = 1_000_000;
        for (known, before) in self.known[relay].iter_mut().zip(&mut self.before[relay]) {
            let told = std::mem::take(known).shut.filter(|told| told + WRITTEN < self.ended[relay]);
            *before = told.or(*before);
        }
        self.stalled[relay] = false;
    }

    /// A relay's process stands still, by what was done to it: it can answer nobody meanwhile.
    pub fn relay_stalls(&mut self, relay: usize) {
        self.stalled[relay] = true;
    }

    /// It goes on; what it was told meanwhile it learns now.
    pub fn relay_wakes(&mut self, now: Micros, relay: usize) {
        self.look(now);
        self.stalled[relay] = false;
        self.started[relay] = now;
        for known in &mut self.known[relay] {
            known.shut = known.shut.map(|_| now);
        }
    }

    /// Rule 4.
    pub fn fell(&mut self, now: Micros, server: usize, blamed: bool) {
        self.falls += 1;
        if blamed {
            let what = format!("{} fell over by what relays sent that knew it was cold", self.names[server]);
            self.breach(4, now, 0, what);
        }
    }

    /// Finds what was due and never answered, and forgets what is long over.
    pub fn look(&mut self, now: Micros) {
        while let Some(&(due, mark)) = self.dues.keys().next().filter(|(due, _)| *due < now) {
            self.dues.remove(&(due, mark));
            let Some(s) = self.sessions.get_mut(&mark) else { continue };
            if self.stalled[s.relay] {
                s.excused = true;
                continue;
            }
            if s.answered.is_none() && s.left.is_none() && self.up[s.relay] {
                s.answered = Some(now);
                self.breach(1, now, mark, "no answer within the dial timeout".to_string());
            }
        }
    }

    /// Long after its end nothing can come for a session any more.
    pub fn forget(&mut self, now: Micros) {
        const LONG: Micros = 60_000_000;
        self.sessions.retain(|_, s| {
            let over = s.left.or(s.answered.filter(|_| !s.up));
            s.out.is_some() || over.is_none_or(|then| now < then + LONG)
        });
    }

    pub fn breached(&self) -> u64 {
        self.breaches.len() as u64 + self.more
    }
}
