//! The watch on the list: asked for, renewed, moved by a new configuration.
use super::{log, Effect, Reducer, Timer};
use hallrelay_balancer::types::{Input, ListUpdate};
use hallrelay_config::list::List;
use hallrelay_config::node::Node;
use hallrelay_membership::Event as MembershipEvent;
use std::net::SocketAddr;

impl Reducer {
    pub(super) fn watch_endpoints(&mut self, out: &mut Vec<Effect>) {
        if !self.watch.is_open {
            (self.watch.latest, self.watch.is_open) = (self.watch.latest + 1, true);
            let watch = self.watch.latest;
            out.push(Effect::WatchEndpoints { watch, addr: self.node.discovery, since: self.list_version });
        }
    }

    /// A watch tells something. Until one that was asked for later does so, what an earlier one tells holds.
    pub(super) fn list_received(&mut self, watch: u32, list: List, out: &mut Vec<Effect>) {
        let w = &mut self.watch;
        if watch == w.latest {
            // Guards what was heard against a change that was told out of order: it is older than what holds.
            if !list.whole && self.list_version.is_some_and(|held| list.generation < held) {
                return log(format!("a change of version {} came too late", list.generation), out);
            }
            self.list_version = Some(list.generation);
            let before = w.previous.replace(watch).filter(|before| *before != watch);
            out.extend(before.map(|watch| Effect::StopWatch { watch }));
        } else if w.previous != Some(watch) {
            return;
        }
        self.discovery_contacted_before = self.discovery_contacted.replace(self.now);
        self.remember_removed_servers(&list);
        self.persist_list(&list, out);
        self.send_list_to_successor(&list, out);
        self.apply_list(list, out);
    }

    pub(super) fn watch_failed(&mut self, watch: u32, out: &mut Vec<Effect>) {
        out.push(Effect::StopWatch { watch });
        self.watch.previous = self.watch.previous.filter(|before| *before != watch);
        if watch != self.watch.latest || !std::mem::take(&mut self.watch.is_open) {
            return;
        }
        match self.node.limits.discovery_again {
            // Guards a relay that is told of changes whether or not a watch is open.
            Some(after) => out.push(Effect::StartTimer { after, alarm: Timer::RequestEndpointList }),
            None => self.step_balancer(
                Input::EndpointList { update: ListUpdate::WatchFailed, endpoints: Vec::new() },
                out,
            ),
        }
    }

    /// A new configuration, whole and checked. What can't change while the program runs is named.
    pub(super) fn configuration_reloaded(&mut self, node: Node, out: &mut Vec<Effect>) {
        out.extend(self.node.fixed(&node).into_iter().map(|key| Effect::KeyUnchanged { key }));
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

    /// Takes over new settings. Who is here keeps the rules that it came under: its row of the module's
    /// listeners is its own, and its dial timeout is in its due time.
    fn apply_settings(&mut self, node: &Node, out: &mut Vec<Effect>) {
        let zones = node.site.zones != self.node.site.zones;
        let before = self.node.limits;
        if node.site == self.node.site || self.node.tune(node.site.clone()).is_err() {
            return;
        }
        // Guards a stop that is under way: whoever will end this process counts from what held as it was told
        // to stop.
        if self.is_stopping() {
            self.node.limits.stop_no_later(&before);
        }
        self.node.digest = node.digest;
        let (site, limits) = (&self.node.site, Box::new(self.node.limits));
        let (config, order) = (Box::new(site.facts.clone()), site.report);
        self.metrics.name(&site.listeners);
        self.step_balancer(Input::Configure(config), out);
        out.push(Effect::ApplyTuning { limits, order });
        if zones {
            // The same servers, at other places of the zones' list.
            let instances = self.servers.values().map(|v| v.instance.clone()).collect();
            self.apply_list(List { whole: true, instances, ..List::default() }, out);
        }
    }

    /// Guards a relay whose discovery moves: the new place is asked for the whole list at once, since the old
    /// one's versions may mean nothing there, and the old watch goes on telling till the new one speaks.
    fn move_discovery(&mut self, discovery: SocketAddr, out: &mut Vec<Effect>) {
        if std::mem::replace(&mut self.node.discovery, discovery) == discovery {
            return;
        }
        let w = &mut self.watch;
        if std::mem::take(&mut w.is_open) {
            match w.previous {
                Some(before) if before != w.latest => out.push(Effect::StopWatch { watch: w.latest }),
                _ => w.previous = Some(w.latest),
            }
        }
        self.list_version = None;
        self.watch_endpoints(out);
    }

    /// Guards discovery against a process that leaves: once nobody here waits for a place, nothing is asked.
    pub(super) fn stop_watching(&mut self, out: &mut Vec<Effect>) {
        if !self.sessions.values().any(|s| s.stage.awaits_answer()) && std::mem::take(&mut self.watch.is_open)
        {
            let watches = [Some(self.watch.latest), self.watch.previous.take()];
            out.extend(watches.into_iter().flatten().map(|watch| Effect::StopWatch { watch }));
        }
    }
}
