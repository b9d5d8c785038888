//! Actions of the script on servers: crashes, starts, drains, faults.
use super::*;
use hallrelay_config::scenario::DrainPace;

impl Servers {
    pub(super) fn perform(&mut self, action: Action, out: &mut Vec<ServerEvent>) {
        match action {
            Action::Crash { server, is_silent, until } => self.crash(server, is_silent, until, out),
            Action::Start { server } => self.start(server, out),
            Action::SetSlowdown { server, fault_id, factor } => {
                self.set_slowdown(server, fault_id, factor, out);
            }
            Action::SetStalled { server, is_stalled } => {
                self.advance(server, out);
                self.nodes[server].server.stalled_since = is_stalled.then_some(self.now);
            }
            Action::SetFailing { server, fraction } => self.nodes[server].failure_fraction = fraction,
            Action::SetReportDelay { server, delay } => self.nodes[server].report_delay = delay,
            Action::SetReportFactor { server, factor } => self.nodes[server].report_factor = factor,
            Action::SetWireFault { server, fault } => {
                self.nodes[server].wire_fault = fault;
                out.push(ServerEvent::ReachabilityChanged { server });
            }
            Action::Drain { server } => self.drain(server),
            Action::SetZoneCut { zone, is_cut } => {
                self.cut_zones[zone] = is_cut;
                out.extend((0..self.len()).map(|server| ServerEvent::ReachabilityChanged { server }));
            }
            Action::SetServerCut { relay, server, is_cut } => {
                let path = CutPath { server, relay };
                if is_cut {
                    self.cut_paths.insert(path);
                } else {
                    self.cut_paths.remove(&path);
                }
                out.push(ServerEvent::ReachabilityChanged { server });
            }
            Action::SetStoreSlowdown { factor } => self.store_slowdown = factor,
            Action::SetBypassLoad { server, cores } => self.set_bypass_load(server, cores, out),
            Action::SetDiscoveryDelay { delay } => self.discovery_delay = delay,
            Action::SetDiscoveryDown { is_down } => out.push(ServerEvent::DiscoveryDown { down: is_down }),
            Action::Log { text } => out.push(ServerEvent::Log(text)),
            other @ (Action::SetArrivalRate { .. }
            | Action::Reconnect { .. }
            | Action::Relay(_)
            | Action::StartLinkFault { .. }
            | Action::EndLinkFault { .. }
            | Action::SetDiscoveryCut { .. }) => out.push(ServerEvent::Action(other)),
        }
    }

    fn set_slowdown(&mut self, server: usize, fault_id: usize, factor: f64, out: &mut Vec<ServerEvent>) {
        self.advance(server, out);
        let node = &mut self.nodes[server];
        node.slowdowns.insert(fault_id, factor);
        let product: f64 = node.slowdowns.values().product();
        node.server.slowdown = (product * CORE as f64) as u64;
    }

    fn set_bypass_load(&mut self, server: usize, cores: f64, out: &mut Vec<ServerEvent>) {
        self.advance(server, out);
        let node = &mut self.nodes[server];
        let demand = (cores * CORE as f64) as Cores;
        let previous = std::mem::replace(&mut node.bypass_load, demand);
        // This load bypasses relays, so it never counts as notified.
        node.server.change_demand(demand, previous, false);
    }

    /// Starts to drain a server. The server ends its first session when the longest notice time of discovery
    /// has passed, so that discovery has usually reported the drain by then.
    fn drain(&mut self, server: usize) {
        let node = &mut self.nodes[server];
        if node.server.state != ServerState::Up || node.server.is_draining {
            return;
        }
        node.server.is_draining = true;
        let notice = self.scenario.list.notice_s.map(|s| s.us());
        let length = self.scenario.servers.drain_s.us();
        let count = node.connections.len().max(1) as u64;
        let first_at = self.now + notice[1];
        for (index, &connection) in node.connections.iter().enumerate() {
            let after = match self.scenario.servers.drains {
                DrainPace::BitByBit => length * index as u64 / count,
                DrainPace::AtOnce => 0,
            };
            self.events.schedule(first_at + after, Event::DrainSession(connection));
        }
        self.schedule_discovery_update(server, notice);
    }

    fn crash(&mut self, server: usize, is_silent: bool, until: Option<Micros>, out: &mut Vec<ServerEvent>) {
        self.advance(server, out);
        let node = &mut self.nodes[server];
        node.down_until = node.down_until.max(until.unwrap_or(Micros::MAX));
        if node.server.state != ServerState::Up {
            return;
        }
        node.server.state = if is_silent { ServerState::Silent } else { ServerState::Down };
        let id = &self.endpoints.identities[server].id;
        let event = if is_silent { "stops responding" } else { "crashes" };
        out.push(ServerEvent::Log(format!("{id} {event}")));
        if !is_silent {
            self.reset_connections(server, out);
        }
        out.push(ServerEvent::ReachabilityChanged { server });
        let list = &self.scenario.list;
        let notice = if is_silent { list.silent_notice_s } else { list.notice_s };
        self.schedule_discovery_update(server, notice.map(|s| s.us()));
    }

    fn start(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        let node = &mut self.nodes[server];
        // If several faults affect one server, it starts when the last of them ends. A server that was
        // overloaded stays down.
        let stays = matches!(node.server.state, ServerState::Up | ServerState::Overloaded);
        if self.now < node.down_until || stays {
            return;
        }
        node.server.advance(self.now);
        self.reset_connections(server, out);
        let now = self.now;
        let node = &mut self.nodes[server];
        node.server.restart(now);
        // Discovery reports start times in whole milliseconds.
        node.server.started_at = now / 1000 * 1000;
        node.notified_of_start.fill(false);
        node.demand_by_relay.fill(0);
        node.groups.clear();
        node.reports = VecDeque::from([PublishedReport { visible_at: now, figures: LoadFigures::default() }]);
        if node.bypass_load > 0 {
            node.server.change_demand(node.bypass_load, 0, false);
        }
        self.events.schedule(now, Event::WarmUpStep(server));
        out.push(ServerEvent::Log(format!("{} starts and warms up", self.endpoints.identities[server].id)));
        out.push(ServerEvent::ReachabilityChanged { server });
        self.schedule_discovery_update(server, self.scenario.list.add_s.map(|s| s.us()));
    }
}
