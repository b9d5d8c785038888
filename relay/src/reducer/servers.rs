//! The backends of the endpoint list: applies lists and the results of health checks, and drops backends that
//! were removed.
use super::{log, Effect, LatencyReport, Reducer, Server, SessionStage};
use hallrelay_balancer::types::{DialEnd, Endpoint, Input, ListUpdate, LoadReport, Micros, Phase, ServerId};
use hallrelay_config::list::{Instance, List};
use hallrelay_disruption::SessionCounts;
use std::collections::BTreeMap;

/// Number of consecutive health checks without an answer after which a backend is suspect. A single one may
/// be missed because of a short overload.
const SUSPECT_AFTER_MISSES: u32 = 2;

/// Upper bound of the delay with which discovery reports a start. The usual delay is some ten seconds, and it
/// is longer if discovery is slow.
const MAX_START_REPORT_DELAY: Micros = 60_000_000;

impl Reducer {
    /// Handles the end of a health check. If several consecutive checks got no answer, the backend's open
    /// sessions are notified that it is suspect. Otherwise each session would detect the failure only after
    /// the long wait for the answer to a message of its own.
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

    /// Counts consecutive health checks without an answer, and notifies the backend's sessions if it becomes
    /// suspect or no longer is.
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

    /// The entries of the known list.
    pub(super) fn listed_instances(&self) -> impl Iterator<Item = &Instance> {
        self.servers.values().map(|server| &server.instance).filter(|instance| instance.phase != Phase::Gone)
    }

    /// Replaces the entries of a list that cannot be parsed by drains of their servers: such an entry may
    /// mean that the server drains, so it gets no new sessions. With a complete list that happens anyway,
    /// since the entry is missing.
    pub(super) fn drain_unreadable_entries(&self, mut list: List, out: &mut Vec<Effect>) -> List {
        let unreadable = std::mem::take(&mut list.unreadable);
        if unreadable.is_empty() {
            return list;
        }
        log(format!("{} entries of the endpoint list can't be parsed", unreadable.len()), out);
        if !list.is_complete {
            let known = unreadable.iter().flatten().filter_map(|id| self.known_instance(id));
            let ready = known.filter(|known| known.phase == Phase::Ready);
            list.instances.extend(ready.map(|known| Instance { phase: Phase::Draining, ..known.clone() }));
        }
        list
    }

    /// Applies a list or changes to it. The tasks are notified before the balancer decides anything.
    pub(super) fn apply_list(&mut self, list: List, out: &mut Vec<Effect>) {
        if list.is_complete {
            self.servers.values_mut().for_each(|server| server.instance.phase = Phase::Gone);
        }
        let update = if list.is_complete { ListUpdate::Snapshot } else { ListUpdate::Delta };
        let endpoints: Vec<Endpoint> =
            list.instances.into_iter().map(|instance| self.endpoint(instance, update)).collect();
        self.announce_draining(update, &endpoints, out);
        self.step_balancer(Input::EndpointList { update, endpoints }, out);
        self.drop_removed_servers(out);
        self.answer_pings(out);
    }

    /// Notifies the tasks which servers drain from now on, before the balancer uses the list.
    fn announce_draining(&mut self, update: ListUpdate, endpoints: &[Endpoint], out: &mut Vec<Effect>) {
        let mut named: BTreeMap<ServerId, bool> = BTreeMap::new();
        if update == ListUpdate::Snapshot {
            // A complete list removes the servers that it does not name.
            named
                .extend(self.servers.iter().map(|(&id, server)| (id, server.instance.phase != Phase::Ready)));
        }
        named.extend(endpoints.iter().map(|endpoint| (endpoint.server, !endpoint.ready())));
        for (server, draining) in named {
            let changed = if draining { self.draining.insert(server) } else { self.draining.remove(&server) };
            out.extend(changed.then_some(Effect::SetDraining { server, draining }));
        }
    }

    /// Stores one entry of a list and converts it for the balancer.
    pub(super) fn endpoint(&mut self, instance: Instance, update: ListUpdate) -> Endpoint {
        let server = match self.ids.get(&instance.id) {
            Some(&server) => server,
            None => {
                let mut server = server_id(&instance.id);
                // Another server's name may have the same hash. The next free number is used then.
                while self.servers.contains_key(&server) {
                    server = server.wrapping_add(1);
                }
                self.ids.insert(instance.id.clone(), server);
                server
            }
        };
        let started = self.local_start(server, instance.started_at, update);
        let new_server = || Server {
            instance: instance.clone(),
            started_at: started,
            health_check_pending: false,
            consecutive_misses: 0,
            consecutive_connect_failures: 0,
            latency_report: LatencyReport::default(),
            session_counts: SessionCounts::default(),
        };
        let entry = self.servers.entry(server).or_insert_with(new_server);
        (entry.instance, entry.started_at) = (instance.clone(), started);
        // `u8::MAX` stands for a zone that the configuration does not name.
        let zone = self.node.site.zones.iter().position(|name| *name == instance.zone);
        let zone = zone.and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX);
        let phase = self.phase(&instance);
        Endpoint { server, phase, started_at: started, zone, cell: instance.cell }
    }

    /// When a server started, by this process's clock; 0 for long ago.
    ///
    /// The times in the list are from another machine's wall clock, and either clock may have been adjusted.
    /// The listed time is taken as wrong in two cases: it is ahead of this process's clock, or it first
    /// appears in a change to the list, but is long before the previous list, which did not have it. The
    /// server then counts as started now, since it may be warming up.
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
            before.is_some_and(|previous| listed_start.saturating_add(MAX_START_REPORT_DELAY) < previous);
        if is_ahead || is_long_before_last_list {
            self.now
        } else {
            listed_start
        }
    }

    /// Drops removed servers without sessions, so that they do not accumulate in a long-lived process.
    pub(super) fn drop_removed_servers(&mut self, out: &mut Vec<Effect>) {
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

/// A server's number: the FNV-1a hash of its name. It is the same at every relay, so that all relays rank the
/// servers in the same order.
pub(super) fn server_id(name: &str) -> ServerId {
    name.bytes().fold(0x811c_9dc5, |hash, b| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193))
}
