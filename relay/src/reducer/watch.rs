//! The watch on the list: asked for, renewed, moved by a new configuration.
use super::{note, Effect, Reducer, Timer};
use hallrelay_balancer::types::{Input, ListUpdate};
use hallrelay_config::list::List;
use hallrelay_config::node::Node;
use hallrelay_membership::Event as MembershipEvent;
use std::net::SocketAddr;

impl Reducer {
    pub(super) fn ask_list(&mut self, out: &mut Vec<Effect>) {
        if !self.watch.out {
            (self.watch.last, self.watch.out) = (self.watch.last + 1, true);
            let watch = self.watch.last;
            out.push(Effect::WatchEndpoints { watch, addr: self.node.discovery, since: self.generation });
        }
    }

    /// A watch tells something. Until one that was asked for later does so, what an earlier one tells holds.
    pub(super) fn heard(&mut self, watch: u32, list: List, out: &mut Vec<Effect>) {
        let w = &mut self.watch;
        if watch == w.last {
            // Guards what was heard against a change that was told out of order: it is older than what holds.
            if !list.whole && self.generation.is_some_and(|held| list.generation < held) {
                return note(format!("a change of version {} came too late", list.generation), out);
            }
            self.generation = Some(list.generation);
            let before = w.before.replace(watch).filter(|before| *before != watch);
            out.extend(before.map(|watch| Effect::StopWatch { watch }));
        } else if w.before != Some(watch) {
            return;
        }
        self.discovery_contacted_before = self.discovery_contacted.replace(self.now);
        self.remember_removed_servers(&list);
        self.persist_list(&list, out);
        self.send_list_to_successor(&list, out);
        self.list(list, out);
    }

    pub(super) fn list_broken(&mut self, watch: u32, out: &mut Vec<Effect>) {
        out.push(Effect::StopWatch { watch });
        self.watch.before = self.watch.before.filter(|before| *before != watch);
        if watch != self.watch.last || !std::mem::take(&mut self.watch.out) {
            return;
        }
        match self.node.limits.discovery_again {
            // Guards a relay that is told of changes whether or not a watch is open.
            Some(after) => out.push(Effect::StartTimer { after, alarm: Timer::RequestEndpointList }),
            None => {
                self.tell(Input::EndpointList { update: ListUpdate::WatchFailed, endpoints: Vec::new() }, out)
            }
        }
    }

    /// A new configuration, whole and checked. What can't change while the program runs is named.
    pub(super) fn reload(&mut self, node: Node, out: &mut Vec<Effect>) {
        out.extend(self.node.fixed(&node).into_iter().map(|key| Effect::KeyUnchanged { key }));
        self.tune(&node, out);
        if let (Some(own), Some(new)) = (&mut self.node.fleet, &node.fleet) {
            if own.peers != new.peers {
                own.peers.clone_from(&new.peers);
                self.step_membership(MembershipEvent::PeersChanged { peers: new.peers.clone() }, out);
            }
        }
        self.refresh_metadata(out);
        self.ask_at(node.discovery, out);
    }

    /// Takes over new settings. Who is here keeps the rules that it came under: its row of the module's
    /// listeners is its own, and its dial timeout is in its due time.
    fn tune(&mut self, node: &Node, out: &mut Vec<Effect>) {
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
        self.figures.name(&site.listeners);
        self.tell(Input::Configure(config), out);
        out.push(Effect::ApplyTuning { limits, order });
        if zones {
            // The same servers, at other places of the zones' list.
            let instances = self.servers.values().map(|v| v.told.clone()).collect();
            self.list(List { whole: true, instances, ..List::default() }, out);
        }
    }

    /// Guards a relay whose discovery moves: the new place is asked for the whole list at once, since the old
    /// one's versions may mean nothing there, and the old watch goes on telling till the new one speaks.
    fn ask_at(&mut self, discovery: SocketAddr, out: &mut Vec<Effect>) {
        if std::mem::replace(&mut self.node.discovery, discovery) == discovery {
            return;
        }
        let w = &mut self.watch;
        if std::mem::take(&mut w.out) {
            match w.before {
                Some(before) if before != w.last => out.push(Effect::StopWatch { watch: w.last }),
                _ => w.before = Some(w.last),
            }
        }
        self.generation = None;
        self.ask_list(out);
    }

    /// Guards discovery against a process that leaves: once nobody here waits for a place, nothing is asked.
    pub(super) fn unwatch(&mut self, out: &mut Vec<Effect>) {
        if !self.sessions.values().any(|s| s.stage.waits()) && std::mem::take(&mut self.watch.out) {
            let watches = [Some(self.watch.last), self.watch.before.take()];
            out.extend(watches.into_iter().flatten().map(|watch| Effect::StopWatch { watch }));
        }
    }
}
