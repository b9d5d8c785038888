//! The watch on the endpoint list: opens it, reopens it after failures, and moves it to a new discovery
//! address. The list from the old address, with its drains, is kept until the new one has answered.
use super::{log, Effect, Reducer, Timer, WatchFailure};
use hallrelay_balancer::types::{Input, ListUpdate};
use hallrelay_config::list::List;
use hallrelay_config::node::Node;
use hallrelay_membership::Event as MembershipEvent;
use std::net::SocketAddr;

/// A version of the endpoint list, and the discovery service that gave it. Versions of different services
/// cannot be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListVersion {
    pub source: SocketAddr,
    pub generation: u64,
}

impl ListVersion {
    /// The version as it is known at this discovery service; `None` if another one gave it.
    pub fn at(&self, source: SocketAddr) -> Option<u64> {
        (self.source == source).then_some(self.generation)
    }
}

/// A watch whose lists are applied, and the discovery service that it is open at.
#[derive(Clone, Copy)]
pub(super) struct DeliveringWatch {
    pub watch: u32,
    pub source: SocketAddr,
}

/// The watches on the endpoint list: the latest one, and an earlier one that may still deliver lists.
#[derive(Default)]
pub(super) struct EndpointWatch {
    /// The number of the latest watch.
    pub latest: u32,
    /// Whether the latest watch is open.
    pub is_open: bool,
    /// Whether the watch has to begin with the complete list, since discovery has moved.
    pub needs_complete_list: bool,
    /// The watch whose lists are applied: the latest one once it has delivered a list, an earlier one until
    /// then.
    pub delivering: Option<DeliveringWatch>,
}

impl EndpointWatch {
    fn is_delivering(&self, watch: u32) -> bool {
        self.delivering.is_some_and(|delivering| delivering.watch == watch)
    }
}

impl Reducer {
    /// Opens a watch, unless one is open.
    pub(super) fn watch_endpoints(&mut self, out: &mut Vec<Effect>) {
        if !self.watch.is_open {
            (self.watch.latest, self.watch.is_open) = (self.watch.latest + 1, true);
            let (watch, addr) = (self.watch.latest, self.node.discovery);
            let since = self.list_version.at(addr).filter(|_| !self.watch.needs_complete_list);
            out.push(Effect::WatchEndpoints { watch, addr, since });
        }
    }

    /// Handles a list or changes from a watch. The lists of an earlier watch are applied until a later watch
    /// delivers its first one.
    pub(super) fn list_received(&mut self, watch: u32, list: List, out: &mut Vec<Effect>) {
        let state = &mut self.watch;
        let source = match state.delivering {
            _ if watch == state.latest => self.node.discovery,
            Some(delivering) if delivering.watch == watch => delivering.source,
            _ => return,
        };
        // Changes may arrive out of order. A change that is older than the current list is dropped.
        if !list.is_complete && self.list_version.at(source).is_some_and(|known| list.generation < known) {
            let version = list.generation;
            return log(format!("dropped a list change of version {version}, older than the list"), out);
        }
        if watch == state.latest {
            state.needs_complete_list = false;
            let before = state.delivering.replace(DeliveringWatch { watch, source });
            let before = before.filter(|before| before.watch != watch);
            out.extend(before.map(|before| Effect::StopWatch { watch: before.watch }));
        }
        self.list_version = ListVersion { source, generation: list.generation };
        self.previous_discovery_answer_at = self.last_discovery_answer_at.replace(self.now);
        let list = self.drain_unreadable_entries(list, out);
        self.record_removed_servers(&list);
        self.persist_list(&list, out);
        self.send_list_to_processes(&list, out);
        self.apply_list(list, out);
        self.end_wait_for_list(out);
    }

    /// Handles a watch that has nothing to deliver: the known list is discovery's.
    pub(super) fn list_unchanged(&mut self, watch: u32, out: &mut Vec<Effect>) {
        if watch == self.watch.latest {
            self.end_wait_for_list(out);
        }
    }

    pub(super) fn watch_failed(&mut self, watch: u32, failure: WatchFailure, out: &mut Vec<Effect>) {
        out.push(Effect::StopWatch { watch });
        if self.watch.is_delivering(watch) {
            self.watch.delivering = None;
        }
        if watch != self.watch.latest || !std::mem::take(&mut self.watch.is_open) {
            return;
        }
        if failure == WatchFailure::Refused {
            // Discovery is down, so it has no changes that this relay would have to know.
            self.end_wait_for_list(out);
        }
        match self.node.limits.discovery_retry_delay {
            // There is a retry delay if lists are pushed. This relay must then obey changes within the drain
            // grace even while no watch is open, so it reopens the watch itself, without the balancer.
            Some(after) => out.push(Effect::StartTimer { after, timer: Timer::RequestEndpointList }),
            None => self.step_balancer(
                Input::EndpointList { update: ListUpdate::WatchFailed, endpoints: Vec::new() },
                out,
            ),
        }
    }

    /// Applies a new, valid configuration. Changed keys that take effect only at the next start are logged.
    pub(super) fn configuration_reloaded(&mut self, node: Node, out: &mut Vec<Effect>) {
        self.metrics.reloads += 1;
        out.extend(
            self.node.changed_fixed_keys(&node).into_iter().map(|key| Effect::RestartRequired { key }),
        );
        self.apply_settings(&node, out);
        if let (Some(own), Some(new)) = (&mut self.node.fleet, &node.fleet) {
            if own.peers != new.peers {
                own.peers.clone_from(&new.peers);
                self.step_membership(MembershipEvent::PeersChanged { peers: new.peers.clone() }, out);
            }
        }
        self.refresh_metadata(out);
        self.move_discovery(node.discovery, out);
    }

    /// Applies new settings. The rules of existing sessions stay the same: the balancer keeps their
    /// listener's rules with them, and their deadline is already set.
    fn apply_settings(&mut self, node: &Node, out: &mut Vec<Effect>) {
        let zones = node.site.zones != self.node.site.zones;
        let before = self.node.limits;
        if node.site == self.node.site || self.node.apply_settings(node.site.clone()).is_err() {
            return;
        }
        // A stop in progress gets no later deadlines: the supervisor that may kill this process counts from
        // the request to stop.
        if self.is_stopping() {
            self.node.limits.stop_no_later(&before);
        }
        self.node.digest = node.digest;
        let (site, limits) = (&self.node.site, Box::new(self.node.limits));
        let (config, order) = (Box::new(site.facts.clone()), site.report);
        self.metrics.add_listeners(&site.listeners);
        self.step_balancer(Input::Configure(config), out);
        out.push(Effect::ApplyTuning { limits, order });
        if zones {
            // The zone numbers of known servers may have changed.
            let instances = self.servers.values().map(|server| server.instance.clone()).collect();
            self.apply_list(List { is_complete: true, instances, ..List::default() }, out);
        }
    }

    /// Moves the watch to another discovery address. The complete list is requested, since the versions of
    /// the old one may have no meaning there. The old watch stays open until the new one delivers.
    fn move_discovery(&mut self, discovery: SocketAddr, out: &mut Vec<Effect>) {
        let source = std::mem::replace(&mut self.node.discovery, discovery);
        if source == discovery {
            return;
        }
        let state = &mut self.watch;
        if std::mem::take(&mut state.is_open) {
            match state.delivering {
                Some(before) if before.watch != state.latest => {
                    out.push(Effect::StopWatch { watch: state.latest });
                }
                _ => state.delivering = Some(DeliveringWatch { watch: state.latest, source }),
            }
        }
        state.needs_complete_list = true;
        self.watch_endpoints(out);
    }

    /// Stops the watches of a process that was replaced, once no session waits for its final answer.
    pub(super) fn stop_watching(&mut self, out: &mut Vec<Effect>) {
        if !self.sessions.values().any(|session| session.stage.awaits_answer())
            && std::mem::take(&mut self.watch.is_open)
        {
            let delivering = self.watch.delivering.take().map(|delivering| delivering.watch);
            let watches = [Some(self.watch.latest), delivering];
            out.extend(watches.into_iter().flatten().map(|watch| Effect::StopWatch { watch }));
        }
    }
}
