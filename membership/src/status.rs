//! What a relay believes, as operators read it.
use crate::member::State;
use crate::membership::Membership;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub fleet: String,
    pub name: String,
    pub addr: String,
    pub start: u64,
    pub incarnation: u32,
    /// Relays that there are by the settings, and those that this one hears itself, it among them.
    pub configured: usize,
    pub hears: usize,
    /// `whole`, `parts missing`, `cut off`; `silent` where another process speaks for this relay.
    pub believes: String,
    /// How much it doubts itself, from 0 to 8.
    pub doubt: u32,
    /// How far the relay is on its way back: `dark`, `remembering`, `asking`, `trickle`, `open`. Its own word
    /// on its servers, which membership knows nothing of.
    #[serde(default)]
    pub returning: String,
    /// Another relay of this one's name, and whether that one holds the name.
    pub twin: Option<Twin>,
    pub dropped: BTreeMap<String, u64>,
    /// This relay first, then the others by name.
    pub members: Vec<MemberStatus>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Twin {
    pub addr: String,
    pub start: u64,
    pub holds: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub addr: String,
    /// `alive`, `suspect`, `gone`, `left`.
    pub state: String,
    /// How long it has been so, and how long ago it was heard itself, in milliseconds; none where it never
    /// was.
    pub since_ms: u64,
    pub heard_ms: Option<u64>,
    /// Who told of it last where that was not itself, and who accuses it.
    pub told_by: Option<String>,
    pub accused_by: Vec<String>,
    pub start: u64,
    pub incarnation: u32,
    pub version: String,
    /// Of its settings, eight hexadecimal digits.
    pub digest: String,
    pub duty: String,
    pub sessions: u32,
    pub load: Vec<u32>,
}

impl Status {
    /// Whether all relays are there and this one hears them.
    pub fn is_whole(&self) -> bool {
        self.believes == "whole"
    }
}

impl Membership {
    /// As of a time.
    pub fn status(&self, now: Micros) -> Status {
        let own = self.own();
        let of = |claim: &crate::Claim| MemberStatus {
            name: claim.name.to_string(),
            addr: claim.addr.to_string(),
            state: claim.state.word().to_string(),
            start: claim.rank.start,
            incarnation: claim.rank.incarnation,
            version: claim.about.version.to_string(),
            digest: format!("{:08x}", claim.about.digest),
            duty: claim.about.duty.word().to_string(),
            sessions: claim.about.sessions,
            load: claim.about.load.clone(),
            ..MemberStatus::default()
        };
        let mut members = vec![MemberStatus { heard_ms: Some(0), ..of(&self.own_claim()) }];
        members.extend(self.members().map(|m| MemberStatus {
            since_ms: now.saturating_sub(m.since) / 1000,
            heard_ms: m.heard.map(|at| now.saturating_sub(at) / 1000),
            told_by: m.told_by.as_ref().map(ToString::to_string),
            accused_by: self.accusers(&m.claim.name).map(ToString::to_string).collect(),
            ..of(&m.claim)
        }));
        let alive = 1 + self.members().filter(|m| m.claim.state == State::Alive).count();
        let missing = self.members().any(|m| matches!(m.claim.state, State::Suspect | State::Gone));
        let believes = match () {
            () if !self.speaks() => "silent",
            () if self.cut_off() => "cut off",
            () if missing || alive < own.configured => "parts missing",
            () => "whole",
        };
        let own_rank = (self.rank().start, own.addr);
        Status {
            fleet: own.fleet.to_string(),
            name: own.name.to_string(),
            addr: own.addr.to_string(),
            start: self.rank().start,
            incarnation: self.rank().incarnation,
            configured: own.configured,
            hears: self.hears(),
            believes: believes.to_string(),
            doubt: self.health(),
            returning: String::new(),
            twin: self.twin().map(|(addr, start)| Twin {
                addr: addr.to_string(),
                start,
                holds: (start, addr) > own_rank,
            }),
            dropped: self.counts.dropped.iter().map(|(f, n)| (f.word().to_string(), *n)).collect(),
            members,
        }
    }
}
