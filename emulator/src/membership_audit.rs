//! Audits the relays' views of each other against the facts: what the fault injector did to their processes
//! and links, and what each process reported about itself. A view is what one relay (the observer) reports
//! about another one (the subject). A relay whose links are cut, or which was stopped or stalled, may hold
//! incorrect views for a time: these are excused. No I/O.
use crate::node::{name, number};
use hallrelay_balancer::types::Micros;
use hallrelay_membership::status::Status;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// State of a relay's process as set by the fault injector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Not running.
    Down,
    /// Running.
    Up,
    /// Stopped by a signal; it will resume.
    Stalled,
    /// Was requested to stop, and has not exited yet.
    Stopping,
}

/// Error in a relay's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Violation {
    /// A relay was considered dead though it was neither stopped nor cut off.
    #[serde(rename = "FalselyGone")]
    FalselyDead,
    /// A relay did not detect a failure or a return in time, though it was up and not cut off.
    #[serde(rename = "NeverLearnt")]
    NeverDetected,
    /// A view contains a relay's name, a start of a process or an announced departure that never existed.
    NeverTrue,
    /// A relay reported that it is partitioned, though it was not and most relays were up.
    #[serde(rename = "NotCutOff")]
    NotPartitioned,
}

impl Violation {
    /// Name of the violation in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Violation::FalselyDead => "FalselyGone",
            Violation::NeverDetected => "NeverLearnt",
            Violation::NeverTrue => "NeverTrue",
            Violation::NotPartitioned => "NotCutOff",
        }
    }
}

/// One incorrect view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// Time of the finding, in seconds since the start of the day.
    pub at: f64,
    /// Kind of the violation.
    #[serde(rename = "wrong")]
    pub violation: Violation,
    /// Number of the relay that holds the view.
    pub observer: usize,
    /// Name of the relay that the view is about.
    pub subject: String,
    /// Description of what was found.
    #[serde(rename = "what")]
    pub details: String,
}

/// State that one relay considered another to be in, from a point in time on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewChange {
    /// Start of the state, in seconds since the start of the day.
    pub at: f64,
    /// Number of the relay that holds the view.
    pub observer: usize,
    /// Name of the relay that the view is about.
    pub subject: String,
    /// Name of the state.
    pub state: String,
}

/// View that a relay reported about the cluster from a point in time on. The views of one relay form its lane
/// in the report. `down` and `stalled` are not reported by the relay, but set by the fault injector.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LaneEntry {
    /// Start of this entry, in seconds since the start of the day.
    pub at: f64,
    /// Name of the reported view, such as `cut off`.
    pub word: String,
}

/// Seconds from an event until other relays detected it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DetectionTimes {
    /// Number of detections; each relay that detects an event counts once.
    pub count: usize,
    /// Median of the times.
    pub median: f64,
    /// 95th percentile of the times.
    pub p95: f64,
    /// Time of the last detection, which is the maximum.
    pub last: f64,
}

impl DetectionTimes {
    /// Summarizes times in microseconds; all zero if there are none.
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

/// Result of the audit of one day.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipOutcome {
    /// Detection times of failures.
    pub deaths: DetectionTimes,
    /// Detection times of returns.
    pub returns: DetectionTimes,
    /// The first `MAX_FINDINGS` findings.
    pub findings: Vec<Finding>,
    /// Total number of findings.
    #[serde(rename = "findings_in_all")]
    pub finding_count: u64,
    /// By relay: the views that it reported, in chronological order.
    pub lanes: Vec<Vec<LaneEntry>>,
    /// The first `MAX_VIEW_CHANGES` changes of views, in chronological order.
    #[serde(rename = "beliefs")]
    pub view_changes: Vec<ViewChange>,
    /// Number of datagrams sent, arrived, lost and corrupted, in this order, as counted by the emulated
    /// links.
    pub datagrams: [u64; 4],
}

/// Maximum number of findings recorded; further ones are only counted.
const MAX_FINDINGS: usize = 100;
/// Maximum number of view changes recorded.
const MAX_VIEW_CHANGES: usize = 20_000;
/// Time after the end of a stop or a cut during which an incorrect view is still excused.
const EXCUSED_FOR: Micros = 20_000_000;
/// Every relay that can detect a failure or a return must do so within this time.
const DETECTION_LIMIT: Micros = 20_000_000;
/// Maximum time from the start of a process by the fault injector until the process reads its clock, whose
/// time becomes its start number.
const MAX_START_DELAY: Micros = 5_000_000;

/// The facts about one relay.
struct AuditedMember {
    process: ProcessState,
    /// When its process was last started.
    started_at: Micros,
    /// When its process last went up or down, stalled or resumed.
    process_changed_at: Micros,
    /// When one of its links was last cut.
    last_cut: Micros,
    /// Whether it was ever requested to stop.
    was_stop_requested: bool,
    /// Start numbers of its processes, as it reported them itself. A start number identifies a process.
    starts: BTreeSet<u64>,
    /// View of its last lane entry, so that only changes are recorded.
    reported_view: String,
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
            reported_view: String::new(),
        }
    }
}

/// A failure or a return, and the relays that have not detected it yet.
struct PendingDetection {
    subject: usize,
    at: Micros,
    /// Whether this is a failure rather than a return.
    is_death: bool,
    /// Whether the subject was requested to stop and announced its departure. The time of such a detection is
    /// not counted, as it does not measure the failure detector.
    was_announced: bool,
    /// Start numbers that the subject reported before its return; a view with one of them is outdated.
    earlier_starts: BTreeSet<u64>,
    /// Relays that have not detected the event yet.
    observers: BTreeSet<usize>,
}

/// Identifies a view: who holds it, and about which member.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ViewKey {
    observer: usize,
    /// Name of the member.
    subject: String,
}

/// Last view that an observer reported about a member.
#[derive(Clone, PartialEq)]
struct View {
    state: String,
    start: u64,
}

/// Auditor of one day.
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
    /// Creates an auditor of `count` relays, all of them down.
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

    fn record_lane_entry(&mut self, relay: usize, word: &str) {
        if self.relays[relay].reported_view != word {
            self.relays[relay].reported_view = word.to_string();
            let at = self.seconds();
            self.outcome.lanes[relay].push(LaneEntry { at, word: word.to_string() });
        }
    }

    /// The fault injector has changed the state of a relay's process.
    pub fn process_changed(&mut self, now: Micros, index: usize, process: ProcessState) {
        self.now = self.now.max(now);
        let relay = &mut self.relays[index];
        let previous = std::mem::replace(&mut relay.process, process);
        if previous == process {
            return;
        }
        let went_down = process == ProcessState::Down;
        let returned = previous == ProcessState::Down && process == ProcessState::Up;
        relay.process_changed_at = now;
        relay.was_stop_requested |= process == ProcessState::Stopping;
        if returned {
            relay.started_at = now;
        }
        match process {
            ProcessState::Down => self.record_lane_entry(index, "down"),
            ProcessState::Stalled => self.record_lane_entry(index, "stalled"),
            ProcessState::Up | ProcessState::Stopping => {}
        }
        if went_down || returned {
            self.expect_detection(index, went_down, previous == ProcessState::Stopping);
        }
    }

    /// Expects all relays that are up to detect a failure or a return of the subject. This replaces a pending
    /// detection of the same subject. The subject itself is no longer expected to detect earlier events.
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

    /// Records that the links of these relays are cut now.
    pub fn links_cut(&mut self, now: Micros, is_cut: impl Fn(usize) -> bool) {
        for (index, relay) in self.relays.iter_mut().enumerate() {
            if is_cut(index) {
                relay.last_cut = now;
            }
        }
    }

    /// Whether a cut of this relay's links excuses incorrect views that it holds or that others hold about
    /// it.
    fn is_excused_by_cut(&self, index: usize) -> bool {
        self.now < self.relays[index].last_cut + EXCUSED_FOR
    }

    /// Whether a cut of this relay's links, or a stop, a stall or a start of its process, excuses such views.
    fn is_excused(&self, index: usize) -> bool {
        let relay = &self.relays[index];
        let was_stopped =
            relay.process != ProcessState::Up || self.now < relay.process_changed_at + EXCUSED_FOR;
        self.is_excused_by_cut(index) || was_stopped
    }

    /// Whether any relay is excused. A relay learns most about the cluster through others, so that one
    /// stopped relay may leave few members reachable for another one.
    fn is_any_excused(&self) -> bool {
        (0..self.relays.len()).any(|index| self.is_excused(index))
    }

    /// A relay has reported its view.
    pub fn status_reported(&mut self, now: Micros, observer: usize, status: &Status) {
        self.now = self.now.max(now);
        let can_report = matches!(self.relays[observer].process, ProcessState::Up | ProcessState::Stopping);
        if status.view == "silent" || !can_report {
            return;
        }
        self.relays[observer].starts.insert(status.start);
        self.record_lane_entry(observer, &status.view);
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
            let (reachable, configured) = (status.reachable_relays, status.configured_relays);
            let details = format!("reports only {reachable} of {configured} relays as reachable");
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
            let details = "no relay has this name".to_string();
            return self.record_finding(Violation::NeverTrue, observer, subject, details);
        };
        // A start number is the time of the start, or one more than the number of an earlier process. It may
        // thus be lower than the limit by any amount, but not higher.
        if view.start > self.relays[index].started_at + MAX_START_DELAY {
            let limit = self.relays[index].started_at + MAX_START_DELAY;
            let details = format!("never had the start number {} (at most {limit})", view.start);
            self.record_finding(Violation::NeverTrue, observer, subject, details);
        }
        if view.state == "left" && !self.relays[index].was_stop_requested {
            let details = "considered departed, but was never requested to stop".to_string();
            self.record_finding(Violation::NeverTrue, observer, subject, details);
        }
        if view.state == "gone" && !self.is_excused(index) && !self.is_excused_by_cut(observer) {
            let details = "considered dead, but was neither stopped nor cut off".to_string();
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

    /// Records a finding for each failure or return that should have been detected by now. An observer is
    /// excused if it was stopped or cut off, and all observers are if the subject was cut off.
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
                let event = if pending.is_death { "failure" } else { "return" };
                let details = format!("{event} not detected within {} s", DETECTION_LIMIT / 1_000_000);
                let subject = name(pending.subject);
                self.record_finding(Violation::NeverDetected, observer, &subject, details);
            }
        }
    }

    /// Findings and detection times up to now.
    pub fn outcome(&self) -> MembershipOutcome {
        MembershipOutcome {
            deaths: DetectionTimes::of(&self.death_times),
            returns: DetectionTimes::of(&self.return_times),
            ..self.outcome.clone()
        }
    }
}
