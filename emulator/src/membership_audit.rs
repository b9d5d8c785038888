//! Audits the relays' views of each other against the facts: what the fault injector did to their processes
//! and links, and what each process reported of itself. No I/O. Times of findings are in seconds since the
//! start.
use crate::node::{name, number};
use hallrelay_balancer::types::Micros;
use hallrelay_membership::status::Status;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a relay's process is, by what the fault injector did to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It does not run.
    Down,
    /// It runs.
    Up,
    /// It is stopped by a signal, and will go on.
    Stalled,
    /// It was requested to stop, and has not ended yet.
    Stopping,
}

/// What is wrong with a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Violation {
    /// A relay was held to be dead that was neither stopped nor cut off.
    #[serde(rename = "FalselyGone")]
    FalselyDead,
    /// A death or a return was not detected by a relay that could have detected it.
    #[serde(rename = "NeverLearnt")]
    NeverDetected,
    /// A name, a start or a departure that there never was.
    NeverTrue,
    /// A relay reported that it is partitioned, though it was not and most relays were up.
    #[serde(rename = "NotCutOff")]
    NotPartitioned,
}

impl Violation {
    /// The word of reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Violation::FalselyDead => "FalselyGone",
            Violation::NeverDetected => "NeverLearnt",
            Violation::NeverTrue => "NeverTrue",
            Violation::NotPartitioned => "NotCutOff",
        }
    }
}

/// One wrong view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// When it was found, in seconds since the day began.
    pub at: f64,
    /// What is wrong.
    #[serde(rename = "wrong")]
    pub violation: Violation,
    /// Number of the relay whose view it is.
    pub observer: usize,
    /// Name of the relay that the view is of.
    pub subject: String,
    /// Details.
    #[serde(rename = "what")]
    pub details: String,
}

/// The state that one relay held another to be in, from a moment on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewChange {
    /// From when on, in seconds since the day began.
    pub at: f64,
    /// Number of the relay whose view it is.
    pub observer: usize,
    /// Name of the relay that the view is of.
    pub subject: String,
    /// Word of the state.
    pub state: String,
}

/// What a relay reported of its whole view from a moment on; `down` and `stalled` are the fault injector's.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LaneEntry {
    /// From when on, in seconds since the day began.
    pub at: f64,
    /// The word.
    pub word: String,
}

/// Seconds from an event until other relays detected it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DetectionTimes {
    /// How many detections there were.
    pub count: usize,
    /// Median.
    pub median: f64,
    /// 95th percentile.
    pub p95: f64,
    /// The last one.
    pub last: f64,
}

impl DetectionTimes {
    /// Summary of times in microseconds; zeros where there are none.
    pub fn of(times: &[Micros]) -> DetectionTimes {
        let mut sorted = times.to_vec();
        sorted.sort_unstable();
        let quantile = |fraction: f64| {
            let index = ((sorted.len().max(1) - 1) as f64 * fraction).round() as usize;
            sorted.get(index).map_or(0.0, |time| *time as f64 / 1e6)
        };
        DetectionTimes {
            count: sorted.len(),
            median: quantile(0.5),
            p95: quantile(0.95),
            last: quantile(1.0),
        }
    }
}

/// What was found in a day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipOutcome {
    /// Detections of deaths.
    pub deaths: DetectionTimes,
    /// Detections of returns.
    pub returns: DetectionTimes,
    /// The first findings.
    pub findings: Vec<Finding>,
    /// Number of all findings.
    #[serde(rename = "findings_in_all")]
    pub finding_count: u64,
    /// By relay, what it reported, in order of time.
    pub lanes: Vec<Vec<LaneEntry>>,
    /// The first changes of views, in order of time.
    #[serde(rename = "beliefs")]
    pub view_changes: Vec<ViewChange>,
    /// Datagrams sent, arrived, lost, corrupted, as the emulated links counted them.
    pub datagrams: [u64; 4],
}

/// Findings that are recorded; further ones are counted.
const MAX_FINDINGS: usize = 100;
/// Changes of views that are recorded.
const MAX_VIEW_CHANGES: usize = 20_000;
/// A stop or a cut excuses a wrong view for so long after it has ended.
const EXCUSED_FOR: Micros = 20_000_000;
/// Whoever can detect a death or a return does so within this.
const DETECTION_LIMIT: Micros = 20_000_000;
/// A process reads its clock at most this long after the fault injector has started it.
const MAX_START_DELAY: Micros = 5_000_000;

/// The facts of one relay.
struct AuditedMember {
    process: ProcessState,
    /// When its process was started last.
    started_at: Micros,
    /// When its process last went up or down, stalled or woke.
    process_changed_at: Micros,
    /// When a link of it was last cut.
    last_cut: Micros,
    /// Whether it was ever requested to stop.
    was_stop_requested: bool,
    /// Starts that it reported itself.
    starts: BTreeSet<u64>,
    /// Last word of its lane.
    word: String,
}

impl AuditedMember {
    fn down(begin: Micros) -> AuditedMember {
        AuditedMember {
            process: ProcessState::Down,
            started_at: begin,
            process_changed_at: begin,
            last_cut: 0,
            was_stop_requested: false,
            starts: BTreeSet::new(),
            word: String::new(),
        }
    }
}

/// A death or a return, and the relays that have not detected it yet.
struct PendingDetection {
    subject: usize,
    at: Micros,
    is_death: bool,
    /// The relay announced that it leaves, so it does not measure the failure detector.
    was_announced: bool,
    /// Starts reported before a return.
    earlier_starts: BTreeSet<u64>,
    observers: BTreeSet<usize>,
}

/// Whose view, and of whom.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ViewKey {
    observer: usize,
    /// Name of the member.
    subject: String,
}

/// What an observer held of a member last.
#[derive(Clone, PartialEq)]
struct View {
    state: String,
    start: u64,
}

/// The auditor of one day.
pub struct MembershipAudit {
    begin: Micros,
    now: Micros,
    relays: Vec<AuditedMember>,
    views: BTreeMap<ViewKey, View>,
    pending: Vec<PendingDetection>,
    death_times: Vec<Micros>,
    return_times: Vec<Micros>,
    outcome: MembershipOutcome,
}

impl MembershipAudit {
    /// An auditor of so many relays, all of them down.
    pub fn new(count: usize, begin: Micros) -> MembershipAudit {
        MembershipAudit {
            begin,
            now: begin,
            relays: (0..count).map(|_| AuditedMember::down(begin)).collect(),
            views: BTreeMap::new(),
            pending: Vec::new(),
            death_times: Vec::new(),
            return_times: Vec::new(),
            outcome: MembershipOutcome { lanes: vec![Vec::new(); count], ..MembershipOutcome::default() },
        }
    }

    fn seconds(&self) -> f64 {
        self.now.saturating_sub(self.begin) as f64 / 1e6
    }

    fn record_finding(&mut self, violation: Violation, observer: usize, subject: &str, details: String) {
        self.outcome.finding_count += 1;
        if self.outcome.findings.len() < MAX_FINDINGS {
            let at = self.seconds();
            let subject = subject.to_string();
            self.outcome.findings.push(Finding { at, violation, observer, subject, details });
        }
    }

    fn record_word(&mut self, relay: usize, word: &str) {
        if self.relays[relay].word != word {
            self.relays[relay].word = word.to_string();
            let at = self.seconds();
            self.outcome.lanes[relay].push(LaneEntry { at, word: word.to_string() });
        }
    }

    /// The fault injector changed the state of a relay's process.
    pub fn process_changed(&mut self, now: Micros, index: usize, process: ProcessState) {
        self.now = self.now.max(now);
        let relay = &mut self.relays[index];
        let previous = std::mem::replace(&mut relay.process, process);
        if previous == process {
            return;
        }
        let died = process == ProcessState::Down;
        let returned = previous == ProcessState::Down && process == ProcessState::Up;
        relay.process_changed_at = now;
        relay.was_stop_requested |= process == ProcessState::Stopping;
        if returned {
            relay.started_at = now;
        }
        match process {
            ProcessState::Down => self.record_word(index, "down"),
            ProcessState::Stalled => self.record_word(index, "stalled"),
            ProcessState::Up | ProcessState::Stopping => {}
        }
        if died || returned {
            self.expect_detection(index, died, previous == ProcessState::Stopping);
        }
    }

    /// A death or a return is to be detected by all relays that are up. It replaces what was to be detected
    /// of this relay before, and ends what this relay was to detect.
    fn expect_detection(&mut self, subject: usize, is_death: bool, was_announced: bool) {
        self.pending.retain(|pending| pending.subject != subject);
        for pending in &mut self.pending {
            pending.observers.remove(&subject);
        }
        if is_death {
            self.views.retain(|key, _| key.observer != subject);
        }
        let earlier_starts = self.relays[subject].starts.clone();
        let is_first_start = !is_death && earlier_starts.is_empty();
        if is_first_start {
            return;
        }
        let is_observer =
            |other: &usize| *other != subject && self.relays[*other].process == ProcessState::Up;
        let observers = (0..self.relays.len()).filter(is_observer).collect();
        let at = self.now;
        self.pending.push(PendingDetection {
            subject,
            at,
            is_death,
            was_announced,
            earlier_starts,
            observers,
        });
    }

    /// Links of these relays are cut just now.
    pub fn links_cut(&mut self, now: Micros, is_cut: impl Fn(usize) -> bool) {
        for (index, relay) in self.relays.iter_mut().enumerate() {
            if is_cut(index) {
                relay.last_cut = now;
            }
        }
    }

    /// Whether a cut of the relay's links excuses a wrong view of it, or by it.
    fn is_excused_by_cut(&self, index: usize) -> bool {
        self.now < self.relays[index].last_cut + EXCUSED_FOR
    }

    /// The same, or a stop of its process.
    fn is_excused(&self, index: usize) -> bool {
        let relay = &self.relays[index];
        let was_stopped =
            relay.process != ProcessState::Up || self.now < relay.process_changed_at + EXCUSED_FOR;
        self.is_excused_by_cut(index) || was_stopped
    }

    /// Most of what a relay receives comes from others: where any was stopped, few may be reachable.
    fn is_any_excused(&self) -> bool {
        (0..self.relays.len()).any(|index| self.is_excused(index))
    }

    /// A relay reported its view.
    pub fn status_reported(&mut self, now: Micros, observer: usize, status: &Status) {
        self.now = self.now.max(now);
        let can_report = matches!(self.relays[observer].process, ProcessState::Up | ProcessState::Stopping);
        if status.view == "silent" || !can_report {
            return;
        }
        self.relays[observer].starts.insert(status.start);
        self.record_word(observer, &status.view);
        self.check_partition(observer, status);
        for member in &status.members {
            if member.name == status.name {
                continue;
            }
            let key = ViewKey { observer, subject: member.name.clone() };
            let view = View { state: member.state.clone(), start: member.start };
            if self.views.get(&key) == Some(&view) {
                continue;
            }
            let previous = self.views.insert(key, view.clone());
            if previous.is_none_or(|previous| previous.state != view.state) {
                self.record_view_change(observer, &member.name, &view.state);
            }
            self.check_view(observer, &member.name, &view);
        }
    }

    fn check_partition(&mut self, observer: usize, status: &Status) {
        let up_count = self.relays.iter().filter(|relay| relay.process == ProcessState::Up).count();
        let most_are_up = up_count * 2 > self.relays.len();
        if status.view == "cut off" && most_are_up && !self.is_any_excused() {
            let details = format!("hears {} of {}", status.reachable_relays, status.configured_relays);
            self.record_finding(Violation::NotPartitioned, observer, &name(observer), details);
        }
    }

    fn record_view_change(&mut self, observer: usize, subject: &str, state: &str) {
        if self.outcome.view_changes.len() < MAX_VIEW_CHANGES {
            let at = self.seconds();
            let subject = subject.to_string();
            let state = state.to_string();
            self.outcome.view_changes.push(ViewChange { at, observer, subject, state });
        }
    }

    fn check_view(&mut self, observer: usize, subject: &str, view: &View) {
        let Some(index) = number(subject).filter(|index| *index < self.relays.len()) else {
            let details = "there is no relay of this name".to_string();
            return self.record_finding(Violation::NeverTrue, observer, subject, details);
        };
        // A start is the time of the start, or one more than that of an earlier process.
        if view.start > self.relays[index].started_at + MAX_START_DELAY {
            let details = format!("never had the start number {}", view.start);
            self.record_finding(Violation::NeverTrue, observer, subject, details);
        }
        if view.state == "left" && !self.relays[index].was_stop_requested {
            let details = "was never told to stop".to_string();
            self.record_finding(Violation::NeverTrue, observer, subject, details);
        }
        if view.state == "gone" && !self.is_excused(index) && !self.is_excused_by_cut(observer) {
            let details = "was neither stopped nor cut off".to_string();
            self.record_finding(Violation::FalselyDead, observer, subject, details);
        }
        self.record_detections(observer, index, view);
    }

    fn record_detections(&mut self, observer: usize, subject: usize, view: &View) {
        for pending in self.pending.iter_mut().filter(|pending| pending.subject == subject) {
            let is_detected = if pending.is_death {
                matches!(view.state.as_str(), "gone" | "left")
            } else {
                view.state == "alive" && !pending.earlier_starts.contains(&view.start)
            };
            if is_detected && pending.observers.remove(&observer) && !pending.was_announced {
                let times = if pending.is_death { &mut self.death_times } else { &mut self.return_times };
                times.push(self.now.saturating_sub(pending.at));
            }
        }
    }

    /// Finds the deaths and returns that should have been detected by now. An observer that was stopped or
    /// cut off could not detect them, and nobody could while the subject was cut off.
    pub fn check_pending(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let is_late = |pending: &mut PendingDetection| now >= pending.at + DETECTION_LIMIT;
        let late: Vec<PendingDetection> = self.pending.extract_if(.., is_late).collect();
        for pending in late {
            for &observer in &pending.observers {
                let subject_cut = self.relays[pending.subject].last_cut + EXCUSED_FOR > now;
                if subject_cut || self.is_excused(observer) {
                    continue;
                }
                let details =
                    if pending.is_death { "has been dead for 20 s" } else { "has been back for 20 s" };
                let subject = name(pending.subject);
                self.record_finding(Violation::NeverDetected, observer, &subject, details.to_string());
            }
        }
    }

    /// What was found up to now.
    pub fn outcome(&self) -> MembershipOutcome {
        MembershipOutcome {
            deaths: DetectionTimes::of(&self.death_times),
            returns: DetectionTimes::of(&self.return_times),
            ..self.outcome.clone()
        }
    }
}
