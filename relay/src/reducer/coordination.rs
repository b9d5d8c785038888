//! A relay's state in the coordination of disruptions: the replicated state and its Raft voter, the leader,
//! pending requests of operators, reports of other relays, and the excluded backends. Times in microseconds.
use super::drain_requests::PendingRequest;
use super::outcome_counts::OutcomeCounts;
use super::servers::server_id;
use super::voter::RaftVoter;
use crate::control_message::RemainingSessions;
use hallrelay_balancer::types::Micros;
use hallrelay_config::coordination::CoordinationConfig;
use hallrelay_disruption::{FailureDomain, LeaseState, State, Target};
use hallrelay_raft::{Id, Index};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The last report of a relay.
pub(super) struct PeerReport {
    pub received_at: Micros,
    pub domain: FailureDomain,
    pub serving: bool,
    pub remaining_sessions: Vec<RemainingSessions>,
}

/// A granted lease, and when this process first saw it. A lease permits taking one target, a relay or a
/// backend, out of service.
#[derive(Clone, Copy)]
pub(super) struct LeaseSeen {
    pub lease_id: u64,
    pub since: Micros,
}

/// The backends that are out of service according to the log up to an index.
#[derive(Default)]
pub(super) struct ExcludedBackends {
    pub index: Index,
    pub ids: BTreeSet<String>,
}

/// This relay's state in the coordination of disruptions.
pub(super) struct Coordination {
    pub own_name: Rc<str>,
    pub config: CoordinationConfig,
    pub voter_names: BTreeMap<Id, Rc<str>>,
    pub voter: RaftVoter,
    pub state: State,
    pub applied_index: Index,
    /// The leader that this relay learned of last; `None` if no leader is known.
    pub leader: Option<Rc<str>>,
    /// Number of proposals made while no leader was known. Each goes to the next voter.
    next_voter: usize,
    /// Pending requests of operators, by the number of their call.
    pub requests: BTreeMap<u32, PendingRequest>,
    last_request_id: u64,
    pub excluded: ExcludedBackends,
    /// Number of sessions that all relays together migrate off excluded backends per second.
    pub moves_per_s: u32,
    /// The part of this relay's share that it has not migrated yet, in thousandths of a session.
    pub pending_moves_milli: u64,
    pub reports: BTreeMap<Rc<str>, PeerReport>,
    pub outcome_counts: OutcomeCounts,
    pub leases_seen: BTreeMap<Target, LeaseSeen>,
}

impl Coordination {
    pub fn new(own_name: &str, config: &CoordinationConfig, seed: u64, now: Micros) -> Coordination {
        let voter_name = |name: &String| (server_id(name), Rc::from(name.as_str()));
        Coordination {
            own_name: own_name.into(),
            config: config.clone(),
            voter_names: config.voters.iter().map(voter_name).collect(),
            voter: RaftVoter::new(seed, now),
            state: State::default(),
            applied_index: 0,
            leader: None,
            next_voter: 0,
            requests: BTreeMap::new(),
            // The time is above all request ids of earlier processes of this relay.
            last_request_id: now,
            excluded: ExcludedBackends::default(),
            moves_per_s: config.moves_per_s,
            pending_moves_milli: 0,
            reports: BTreeMap::new(),
            outcome_counts: OutcomeCounts::default(),
            leases_seen: BTreeMap::new(),
        }
    }

    /// Whether this relay is a voter by the configuration.
    pub fn is_voter(&self) -> bool {
        self.is_voter_name(&self.own_name)
    }

    pub fn is_voter_name(&self, name: &Rc<str>) -> bool {
        self.voter_names.values().any(|voter| voter == name)
    }

    pub fn is_leader(&self) -> bool {
        self.voter.is_leader()
    }

    pub fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// The recipient of a proposal: the leader, or if that is unknown, one voter after another until one
    /// names the leader.
    pub fn proposal_recipient(&mut self) -> Option<Rc<str>> {
        if self.is_leader() {
            return Some(self.own_name.clone());
        }
        if let Some(leader) = self.other_leader() {
            return Some(leader);
        }
        self.next_voter += 1;
        let others: Vec<&Rc<str>> =
            self.voter_names.values().filter(|name| **name != self.own_name).collect();
        others.get(self.next_voter % others.len().max(1)).map(|name| Rc::clone(name))
    }

    /// The known leader, if that is another relay.
    pub fn other_leader(&self) -> Option<Rc<str>> {
        self.leader.clone().filter(|leader| *leader != self.own_name)
    }

    /// Records when newly granted leases were first seen, and drops leases that have ended.
    pub fn track_leases(&mut self, now: Micros) {
        // Id 0 stands for a target without a granted lease.
        let granted: BTreeMap<Target, u64> = self
            .state
            .leases()
            .filter(|(_, lease)| lease.lease_id != 0)
            .map(|(target, lease)| (target.clone(), lease.lease_id))
            .collect();
        self.leases_seen.retain(|target, seen| granted.get(target) == Some(&seen.lease_id));
        for (target, lease_id) in granted {
            self.leases_seen.entry(target).or_insert(LeaseSeen { lease_id, since: now });
        }
    }

    /// When this process first saw the current lease of a target; `now` if it has seen none.
    pub fn granted_since(&self, target: &Target, now: Micros) -> Micros {
        self.leases_seen.get(target).map_or(now, |seen| seen.since)
    }

    /// The backends that are out of service according to this voter's own state.
    pub fn backends_out(&self) -> BTreeSet<String> {
        let out = self.state.leases().filter(|(_, lease)| lease.state == LeaseState::Out);
        let backends = out.filter_map(|(target, _)| match target {
            Target::Backend(id) => Some(id.clone()),
            Target::Relay(_) => None,
        });
        backends.collect()
    }

    /// Number of sessions of all relays that remain at an excluded backend, by their last reports.
    pub fn remaining_sessions(&self, backend: &str) -> u32 {
        let reported = self.reports.values().flat_map(|report| &report.remaining_sessions);
        reported.filter(|remaining| remaining.backend == backend).map(|remaining| remaining.sessions).sum()
    }
}
