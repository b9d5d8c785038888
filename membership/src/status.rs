//! A relay's view of its fleet for operators: the JSON response of `GET /v1/fleet`. The keys and state words
//! of the response are fixed; a field with a different name here carries its key as `rename`.
use crate::members::Member;
use crate::membership::Membership;
use crate::update::{MemberState, Update};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The response to `GET /v1/fleet`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the responding relay.
    pub name: String,
    /// Address of the responding relay.
    pub addr: String,
    /// Start time of the incarnation of the responding relay.
    pub start: u64,
    /// Counter of the incarnation of the responding relay.
    pub incarnation: u32,
    /// Configured number of relays, including this one.
    #[serde(rename = "configured")]
    pub configured_relays: usize,
    /// Number of relays from which this one received something recently, including itself.
    #[serde(rename = "hears")]
    pub reachable_relays: usize,
    /// `whole`: all known and configured relays are alive; `parts missing`: some are not; `cut off`: less
    /// than half are reachable; `silent`: another process represents this relay.
    #[serde(rename = "believes")]
    pub view: String,
    /// Lifeguard's local health score, from 0 (healthy) to 8.
    #[serde(rename = "doubt")]
    pub local_health: u32,
    /// Stage of the relay's recovery after a start: `dark`, `remembering`, `asking`, `trickle`, `open`. The
    /// relay fills it in; earlier versions omit it.
    #[serde(default, rename = "returning")]
    pub recovery_stage: String,
    /// Another process that uses this relay's name.
    #[serde(rename = "twin")]
    pub name_conflict: Option<NameConflictStatus>,
    /// Number of dropped packets and updates by reason.
    pub dropped: BTreeMap<String, u64>,
    /// This relay first, then the other members in the order of their names.
    pub members: Vec<MemberStatus>,
}

/// Another process that uses this relay's name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NameConflictStatus {
    /// Address of the other process.
    pub addr: String,
    /// Start time of the other process.
    pub start: u64,
    /// Whether the other members attribute the name to the other process.
    #[serde(rename = "holds")]
    pub holds_name: bool,
}

/// One member of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// Address of the member.
    pub addr: String,
    /// `alive`, `suspect`, `gone` (dead) or `left`.
    pub state: String,
    /// Time since the member entered this state, in milliseconds.
    pub since_ms: u64,
    /// Time since this relay last received something from the member, in milliseconds; `None` if it never
    /// did.
    #[serde(rename = "heard_ms")]
    pub last_received_ms: Option<u64>,
    /// Name of the other member that sent the last update about this member; `None` if this member sent it
    /// itself.
    #[serde(rename = "told_by")]
    pub source: Option<String>,
    /// Names of the members that suspect this one.
    #[serde(rename = "accused_by")]
    pub suspected_by: Vec<String>,
    /// Start time of the member's incarnation.
    pub start: u64,
    /// Counter of the member's incarnation.
    pub incarnation: u32,
    /// Version of the member's program.
    pub version: String,
    /// Checksum of the member's settings, as eight hexadecimal digits.
    #[serde(rename = "digest")]
    pub settings_digest: String,
    /// `starting`, `serving`, `draining` or `stopping`.
    #[serde(rename = "duty")]
    pub lifecycle: String,
    /// Number of open sessions.
    pub sessions: u32,
    /// Number of open sessions per listener.
    #[serde(rename = "load")]
    pub listener_sessions: Vec<u32>,
}

impl Status {
    /// Whether all configured relays are alive and reachable from this one.
    pub fn is_whole(&self) -> bool {
        self.view == "whole"
    }
}

impl MemberStatus {
    /// Fills in the fields that an update contains; the others keep their defaults.
    fn of(update: &Update) -> MemberStatus {
        let metadata = &update.metadata;
        MemberStatus {
            name: update.name.to_string(),
            addr: update.addr.to_string(),
            state: update.state.as_str().to_string(),
            start: update.incarnation.start,
            incarnation: update.incarnation.counter,
            version: metadata.version.to_string(),
            settings_digest: format!("{:08x}", metadata.settings_digest),
            lifecycle: metadata.lifecycle.as_str().to_string(),
            sessions: metadata.sessions,
            listener_sessions: metadata.listener_sessions.clone(),
            ..MemberStatus::default()
        }
    }
}

impl Membership {
    /// The relay's view at the time `now`.
    pub fn status(&self, now: Micros) -> Status {
        let local = self.local();
        let mut members = vec![self.local_status()];
        members.extend(self.members().map(|member| self.member_status(member, now)));
        let dropped = &self.counters.dropped;
        let name_conflict = self.name_conflict().map(|conflict| NameConflictStatus {
            addr: conflict.addr.to_string(),
            start: conflict.start,
            holds_name: self.is_overridden_by(&conflict),
        });
        Status {
            fleet: local.fleet.to_string(),
            name: local.name.to_string(),
            addr: local.addr.to_string(),
            start: self.incarnation().start,
            incarnation: self.incarnation().counter,
            configured_relays: local.configured_relays,
            reachable_relays: self.reachable_count(),
            view: self.view().to_string(),
            local_health: self.local_health(),
            recovery_stage: String::new(),
            name_conflict,
            dropped: dropped.iter().map(|(reason, count)| (reason.as_str().to_string(), *count)).collect(),
            members,
        }
    }

    fn local_status(&self) -> MemberStatus {
        MemberStatus { last_received_ms: Some(0), ..MemberStatus::of(&self.own_update()) }
    }

    fn member_status(&self, member: &Member, now: Micros) -> MemberStatus {
        MemberStatus {
            since_ms: now.saturating_sub(member.since) / 1000,
            last_received_ms: member.last_received.map(|at| now.saturating_sub(at) / 1000),
            source: member.source.as_ref().map(ToString::to_string),
            suspected_by: self.reporters(member.name()).map(ToString::to_string).collect(),
            ..MemberStatus::of(&member.update)
        }
    }

    /// The state word for the fleet as this relay sees it.
    fn view(&self) -> &'static str {
        let count = |state: MemberState| self.members().filter(|member| member.state() == state).count();
        let alive = 1 + count(MemberState::Alive);
        let missing = count(MemberState::Suspect) + count(MemberState::Dead);
        if !self.is_active() {
            "silent"
        } else if self.is_partitioned() {
            "cut off"
        } else if missing > 0 || alive < self.local().configured_relays {
            "parts missing"
        } else {
            "whole"
        }
    }
}
