//! What the relays believe of each other, beside what was so: judged from outside, by what the rig itself did
//! and by what each process says of itself. No I/O.
use crate::node::{name, number};
use hallrelay_balancer::types::Micros;
use hallrelay_membership::status::Status;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a relay's process is, by the rig's own doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Is {
    Down,
    Up,
    Stalled,
    /// Told to stop, and not yet ended.
    Stopping,
}

/// What is wrong with what is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Wrong {
    /// Called gone, though it was neither stopped nor cut off.
    FalselyGone,
    /// Dead, or back, and somebody who could have known did not learn of it.
    NeverLearnt,
    /// A name, a start, or a leaving that there never was.
    NeverTrue,
    /// Says that it is cut off, though it was not, and most were there.
    NotCutOff,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// Seconds since the day began.
    pub at: f64,
    pub wrong: Wrong,
    pub observer: usize,
    pub subject: String,
    pub what: String,
}

/// What one relay believed of another from a moment on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Belief {
    pub at: f64,
    pub observer: usize,
    pub subject: String,
    pub state: String,
}

/// What a relay said of itself from a moment on; `down` and `stalled` are the rig's words.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Word {
    pub at: f64,
    pub word: String,
}

/// Seconds from an event till others knew: median, 95 in 100, the last one; how many did.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Knew {
    pub count: usize,
    pub median: f64,
    pub p95: f64,
    pub last: f64,
}

impl Knew {
    pub fn of(times: &[Micros]) -> Knew {
        let mut all = times.to_vec();
        all.sort_unstable();
        let at = |part: f64| {
            let i = ((all.len().max(1) - 1) as f64 * part).round() as usize;
            all.get(i).map_or(0.0, |t| *t as f64 / 1e6)
        };
        Knew { count: all.len(), median: at(0.5), p95: at(0.95), last: at(1.0) }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetOutcome {
    pub deaths: Knew,
    pub returns: Knew,
    pub findings: Vec<Finding>,
    pub findings_in_all: u64,
    /// By relay, in the order of time.
    pub lanes: Vec<Vec<Word>>,
    pub beliefs: Vec<Belief>,
    /// Datagrams sent, arrived, lost, damaged, by the rig's count.
    pub datagrams: [u64; 4],
}

/// Kept at most, of findings and of beliefs; further ones are counted.
const FINDINGS: usize = 100;
const BELIEFS: usize = 20_000;

/// A stop or a cut explains what is believed for so long after it: a fleet knows of either end of it by then.
const AFTER: Micros = 20_000_000;
/// Whoever could know of a death or a return does by then, or never will.
const LEARN: Micros = 20_000_000;

/// A process takes as long to read its clock after the rig has started it, at the most.
const STARTED: Micros = 5_000_000;

struct Relay {
    is: Is,
    /// When the rig started its process last.
    started: Micros,
    /// When its process was last not up, and when a way of its own was last cut.
    troubled: Micros,
    cut: Micros,
    /// It was told to stop, at some time.
    leaves: bool,
    starts: BTreeSet<u64>,
    word: String,
}

/// A death or a return, and who knows of it.
struct News {
    subject: usize,
    at: Micros,
    dead: bool,
    /// It left on purpose, and said so before: no measure of how soon a death is known.
    told: bool,
    /// Starts that there were before a return.
    old: BTreeSet<u64>,
    waits: BTreeSet<usize>,
}

pub struct Beliefs {
    begin: Micros,
    now: Micros,
    relays: Vec<Relay>,
    held: BTreeMap<(usize, String), (String, u64)>,
    news: Vec<News>,
    deaths: Vec<Micros>,
    returns: Vec<Micros>,
    out: FleetOutcome,
}

impl Beliefs {
    pub fn new(count: usize, begin: Micros) -> Beliefs {
        let relay = || Relay {
            is: Is::Down,
            started: begin,
            troubled: begin,
            cut: 0,
            leaves: false,
            starts: BTreeSet::new(),
            word: String::new(),
        };
        Beliefs {
            begin,
            now: begin,
            relays: (0..count).map(|_| relay()).collect(),
            held: BTreeMap::new(),
            news: Vec::new(),
            deaths: Vec::new(),
            returns: Vec::new(),
            out: FleetOutcome { lanes: vec![Vec::new(); count], ..FleetOutcome::default() },
        }
    }

    fn at(&self) -> f64 {
        self.now.saturating_sub(self.begin) as f64 / 1e6
    }

    fn finds(&mut self, wrong: Wrong, observer: usize, subject: &str, what: String) {
        self.out.findings_in_all += 1;
        if self.out.findings.len() < FINDINGS {
            let (at, subject) = (self.at(), subject.to_string());
            self.out.findings.push(Finding { at, wrong, observer, subject, what });
        }
    }

    fn says(&mut self, relay: usize, word: &str) {
        if self.relays[relay].word != word {
            self.relays[relay].word = word.to_string();
            let at = self.at();
            self.out.lanes[relay].push(Word { at, word: word.to_string() });
        }
    }

    /// The rig did something to a relay's process.
    pub fn is(&mut self, now: Micros, relay: usize, is: Is) {
        self.now = self.now.max(now);
        let r = &mut self.relays[relay];
        let before = std::mem::replace(&mut r.is, is);
        if before == is {
            return;
        }
        r.troubled = now;
        r.leaves |= is == Is::Stopping;
        if (before, is) == (Is::Down, Is::Up) {
            r.started = now;
        }
        match is {
            Is::Down => self.says(relay, "down"),
            Is::Stalled => self.says(relay, "stalled"),
            Is::Up | Is::Stopping => {}
        }
        let (dead, back) = (is == Is::Down, before == Is::Down && is == Is::Up);
        if !dead && !back {
            return;
        }
        // What was to be known of it before is overtaken.
        self.news.retain(|news| news.subject != relay);
        for news in &mut self.news {
            news.waits.remove(&relay);
        }
        if dead {
            self.held.retain(|(observer, _), _| *observer != relay);
        }
        let old = self.relays[relay].starts.clone();
        // At the day's start there is nobody who could have known it before.
        if !(back && old.is_empty()) {
            let there = |other: &usize| *other != relay && self.relays[*other].is == Is::Up;
            let waits = (0..self.relays.len()).filter(there).collect();
            let told = before == Is::Stopping;
            self.news.push(News { subject: relay, at: now, dead, told, old, waits });
        }
    }

    /// Ways of these relays are cut just now.
    pub fn cut(&mut self, now: Micros, cut: impl Fn(usize) -> bool) {
        for (relay, r) in self.relays.iter_mut().enumerate() {
            if cut(relay) {
                r.cut = now;
            }
        }
    }

    /// Whether what is believed of a relay, or by it, may come of what was done to it.
    fn excused(&self, relay: usize, by_its_own_stop: bool) -> bool {
        let r = &self.relays[relay];
        let stopped = r.is != Is::Up || self.now < r.troubled + AFTER;
        self.now < r.cut + AFTER || (by_its_own_stop && stopped)
    }

    /// What a relay says of itself and of the others.
    pub fn told(&mut self, now: Micros, observer: usize, status: &Status) {
        self.now = self.now.max(now);
        if status.believes == "silent" || !matches!(self.relays[observer].is, Is::Up | Is::Stopping) {
            return;
        }
        self.relays[observer].starts.insert(status.start);
        self.says(observer, &status.believes);
        let most = self.relays.iter().filter(|r| r.is == Is::Up).count() * 2 > self.relays.len();
        if status.believes == "cut off" && most && !self.excused(observer, true) && !self.any_excused() {
            let what = format!("hears {} of {}", status.hears, status.configured);
            self.finds(Wrong::NotCutOff, observer, &name(observer), what);
        }
        for m in &status.members {
            if m.name == status.name {
                continue;
            }
            let key = (observer, m.name.clone());
            let held = (m.state.clone(), m.start);
            if self.held.get(&key) == Some(&held) {
                continue;
            }
            let before = self.held.insert(key, held);
            self.believes(observer, &m.name, &m.state, m.start, before.map(|b| b.0));
        }
    }

    /// Others are most of what a relay hears: where much was stopped, few are heard.
    fn any_excused(&self) -> bool {
        (0..self.relays.len()).any(|relay| self.excused(relay, true))
    }

    fn believes(&mut self, observer: usize, subject: &str, state: &str, start: u64, before: Option<String>) {
        if before.as_deref() != Some(state) && self.out.beliefs.len() < BELIEFS {
            let (at, subject, state) = (self.at(), subject.to_string(), state.to_string());
            self.out.beliefs.push(Belief { at, observer, subject, state });
        }
        let Some(relay) = number(subject).filter(|relay| *relay < self.relays.len()) else {
            let what = "there is no relay of this name".to_string();
            return self.finds(Wrong::NeverTrue, observer, subject, what);
        };
        // A start number is the time of the start, or one more than that of an earlier process.
        if start > self.relays[relay].started + STARTED {
            let what = format!("never had the start number {start}");
            self.finds(Wrong::NeverTrue, observer, subject, what);
        }
        if state == "left" && !self.relays[relay].leaves {
            let what = "was never told to stop".to_string();
            self.finds(Wrong::NeverTrue, observer, subject, what);
        }
        if state == "gone" && !self.excused(relay, true) && !self.excused(observer, false) {
            let what = "was neither stopped nor cut off".to_string();
            self.finds(Wrong::FalselyGone, observer, subject, what);
        }
        let now = self.now;
        for news in self.news.iter_mut().filter(|news| news.subject == relay) {
            let knows = match news.dead {
                true => matches!(state, "gone" | "left"),
                false => matches!(state, "alive") && !news.old.contains(&start),
            };
            if knows && news.waits.remove(&observer) && !news.told {
                let times = if news.dead { &mut self.deaths } else { &mut self.returns };
                times.push(now.saturating_sub(news.at));
            }
        }
    }

    /// Looks after what should be known by now.
    pub fn look(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let late: Vec<News> = self.news.extract_if(.., |news| now >= news.at + LEARN).collect();
        for news in late {
            for &observer in &news.waits {
                // Who was away itself, or cut off, could not know; nor could anyone of whom is cut off still.
                if self.excused(observer, true) || self.relays[news.subject].cut + AFTER > now {
                    continue;
                }
                let what = if news.dead { "has been dead for 20 s" } else { "has been back for 20 s" };
                self.finds(Wrong::NeverLearnt, observer, &name(news.subject), what.to_string());
            }
        }
    }

    pub fn outcome(&self) -> FleetOutcome {
        let mut out = self.out.clone();
        (out.deaths, out.returns) = (Knew::of(&self.deaths), Knew::of(&self.returns));
        out
    }
}
