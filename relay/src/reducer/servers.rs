//! The backends of the endpoint list: what the list and health checks report of them, and when they are
//! forgotten.
use super::{log, Effect, LatencyReport, Reducer, Server, SessionStage};
use hallrelay_balancer::types::{DialEnd, Endpoint, Input, ListUpdate, LoadReport, Micros, Phase, ServerId};
use hallrelay_config::list::{Instance, List};
use hallrelay_disruption::SessionCounts;
use std::collections::BTreeMap;

/// Health checks in a row without an answer after which a backend is suspect; one may be lost to a busy
/// moment.
const SUSPECT_AFTER_MISSES: u32 = 2;

/// How late discovery may notice and report a start: some ten seconds, and more where it is slow.
const MAX_START_REPORT_DELAY: Micros = 60_000_000;

impl Reducer {
    /// A health check ended. Where several in a row get no answer, the open sessions there are notified
    /// that their backend is suspect: otherwise each would find out by a message of its own.
    pub(super) fn health_check_ended(
        &mut self,
        server: ServerId,
        end: DialEnd,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        self.observe_contact(Some(server), end, out);
        self.count_miss(server, end, out);
        self.step_balancer(Input::ProbeEnded { server, end, report }, out);
    }

    /// Counts health checks in a row without an answer, and announces where that makes a backend suspect or
    /// clears it.
    fn count_miss(&mut self, server: ServerId, end: DialEnd, out: &mut Vec<Effect>) {
        let Some(entry) = self.servers.get_mut(&server) else { return };
        entry.health_check_pending = false;
        let missed = matches!(end, DialEnd::Timeout | DialEnd::Unconnected);
        let before = entry.consecutive_misses;
        entry.consecutive_misses = if missed { before + 1 } else { 0 };
        let suspect = entry.consecutive_misses >= SUSPECT_AFTER_MISSES;
        if suspect != (before >= SUSPECT_AFTER_MISSES) {
            let affected = self.sessions.iter().filter(|(_, session)| {
                session.server == Some(server) && session.stage == SessionStage::Proxying
            });
            out.extend(affected.map(|(&session_id, _)| Effect::SetSuspect { session_id, suspect }));
        }
    }

    /// Applies a list or changes of one: the tasks first, then the balancer.
    pub(super) fn apply_list(&mut self, list: List, out: &mut Vec<Effect>) {
        if list.is_complete {
            self.servers.values_mut().for_each(|server| server.instance.phase = Phase::Gone);
        }
        let update = if list.is_complete { ListUpdate::Snapshot } else { ListUpdate::Delta };
        let mut instances = list.instances;
        if !list.unreadable.is_empty() {
            log(format!("{} entries of the list can't be read", list.unreadable.len()), out);
            // Such an entry may say that the server drains, so nothing new goes there. A complete list has
            // that effect anyway.
            let unreadable =
                list.unreadable.iter().flatten().filter_map(|id| self.servers.get(self.ids.get(id)?));
            let ready = unreadable.map(|server| &server.instance).filter(|known| known.phase == Phase::Ready);
            instances.extend(ready.map(|known| Instance { phase: Phase::Draining, ..known.clone() }));
        }
        let endpoints: Vec<Endpoint> = instances.into_iter().map(|one| self.endpoint(one, update)).collect();
        self.announce_draining(update, &endpoints, out);
        self.step_balancer(Input::EndpointList { update, endpoints }, out);
        self.forget_removed_servers(out);
        self.answer_pings(out);
    }

    /// Notifies the tasks which servers drain from now on, before anything is decided by the list.
    fn announce_draining(&mut self, update: ListUpdate, endpoints: &[Endpoint], out: &mut Vec<Effect>) {
        let mut named: BTreeMap<ServerId, bool> = BTreeMap::new();
        if update == ListUpdate::Snapshot {
            // Servers that a complete list does not name are removed.
            named
                .extend(self.servers.iter().map(|(&id, server)| (id, server.instance.phase != Phase::Ready)));
        }
        named.extend(endpoints.iter().map(|endpoint| (endpoint.server, !endpoint.ready())));
        for (server, draining) in named {
            let changed = if draining { self.draining.insert(server) } else { self.draining.remove(&server) };
            out.extend(changed.then_some(Effect::SetDraining { server, draining }));
        }
    }

    /// Takes one entry of a list over, and returns it as the balancer gets it.
    pub(super) fn endpoint(&mut self, one: Instance, update: ListUpdate) -> Endpoint {
        let server = match self.ids.get(&one.id) {
            Some(&server) => server,
            None => {
                let mut server = server_id(&one.id);
                while self.servers.contains_key(&server) {
                    server = server.wrapping_add(1);
                }
                self.ids.insert(one.id.clone(), server);
                server
            }
        };
        let started = self.local_start(server, one.started_at, update);
        let fresh = || Server {
            instance: one.clone(),
            started_at: started,
            health_check_pending: false,
            consecutive_misses: 0,
            consecutive_connect_failures: 0,
            latency_report: LatencyReport::default(),
            session_counts: SessionCounts::default(),
        };
        let entry = self.servers.entry(server).or_insert_with(fresh);
        (entry.instance, entry.started_at) = (one.clone(), started);
        let zone = self.node.site.zones.iter().position(|name| *name == one.zone);
        let zone = zone.and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX);
        let phase = self.phase(&one);
        Endpoint { server, phase, started_at: started, zone, cell: one.cell }
    }

    /// When a server started, by this process' clock; 0 is long ago.
    ///
    /// The list has times of another machine's wall clock, and either clock may have been set. A server
    /// counts as started now, since it may be warming up, where the list's time lies ahead of this clock, or
    /// where a change of the list names the server first and its start lies long before the list that did not
    /// name it.
    fn local_start(&self, server: ServerId, listed_start: Micros, update: ListUpdate) -> Micros {
        if listed_start == 0 {
            return 0;
        }
        let known = self.servers.get(&server);
        let is_same_start =
            |known: &&Server| known.instance.started_at == listed_start && known.started_at > 0;
        if let Some(known) = known.filter(is_same_start) {
            return known.started_at;
        }
        let is_ahead = listed_start > self.now;
        let before = self.previous_discovery_answer_at.filter(|_| update == ListUpdate::Delta);
        let is_long_before_last_list =
            before.is_some_and(|then| listed_start.saturating_add(MAX_START_REPORT_DELAY) < then);
        if is_ahead || is_long_before_last_list {
            self.now
        } else {
            listed_start
        }
    }

    /// Forgets removed servers that no session is on, so that a long-lived process does not collect all there
    /// ever were.
    pub(super) fn forget_removed_servers(&mut self, out: &mut Vec<Effect>) {
        let removed: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, server)| server.instance.phase == Phase::Gone && !server.health_check_pending)
            .map(|(id, _)| *id)
            .collect();
        for server in removed {
            if self.sessions.values().any(|session| session.server == Some(server)) {
                continue;
            }
            if let Some(entry) = self.servers.remove(&server) {
                self.ids.remove(&entry.instance.id);
                if self.draining.remove(&server) {
                    out.push(Effect::SetDraining { server, draining: false });
                }
                out.push(Effect::ForgetServer { server });
            }
        }
    }
}

/// A server's number: the FNV-1a hash of its name, the same at every relay, so that all rank servers alike.
pub(super) fn server_id(name: &str) -> ServerId {
    name.bytes().fold(0x811c_9dc5, |hash, b| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193))
}
