//! What troubles do to servers: deaths, starts, drains, faults.
use super::*;

impl Servers {
    pub(super) fn act(&mut self, act: Act, out: &mut Vec<ServerEvent>) {
        let now = self.now;
        match act {
            Act::Dies { server, silent, until } => self.dies(server, silent, until, out),
            Act::Starts { server } => self.starts(server, out),
            Act::Slows { server, trouble, times } => {
                self.advance(server, out);
                let n = &mut self.nodes[server];
                n.slows.insert(trouble, times);
                let all: f64 = n.slows.values().product();
                n.server.slower = (all * CORE as f64) as u64;
            }
            Act::Stands { server, stands } => {
                self.advance(server, out);
                self.nodes[server].server.stands = stands.then_some(now);
            }
            Act::Fails { server, part } => self.nodes[server].fails = part,
            Act::ReportsLate { server, by } => self.nodes[server].late = by,
            Act::Lies { server, times } => self.nodes[server].lies = times,
            Act::Wire { server, fault, part } => {
                self.nodes[server].wire = fault.map(|fault| (fault, part));
                out.push(ServerEvent::ReachabilityChanged { server });
            }
            Act::Drains { server } => {
                let n = &mut self.nodes[server];
                if n.server.life != Life::Up || n.server.draining {
                    return;
                }
                n.server.draining = true;
                let (length, count) = (self.s.servers.drain_s.us(), n.conns.len().max(1) as u64);
                // Clients are sent away once the list may have told of it.
                let from = now + self.s.list.notice_s[1].us();
                for (i, conn) in n.conns.iter().enumerate() {
                    let after = match self.s.servers.drains {
                        Drains::BitByBit => length * i as u64 / count,
                        Drains::AtOnce => 0,
                    };
                    self.due.schedule(from + after, Due::SentAway(*conn));
                }
                self.notice_later(server, self.s.list.notice_s.map(|t| t.us()));
            }
            Act::Cut { zone, cut } => {
                self.cut[zone] = cut;
                (0..self.nodes.len())
                    .for_each(|server| out.push(ServerEvent::ReachabilityChanged { server }));
            }
            Act::StoreSlows { times } => self.store_times = times,
            Act::Overrun { server, cores } => {
                self.advance(server, out);
                let n = &mut self.nodes[server];
                let asked = (cores * CORE as f64) as Cores;
                // Nobody who was told of its start sends this.
                n.server.ask(asked, std::mem::replace(&mut n.overrun, asked), false);
            }
            Act::ListLate { by } => self.list_late = by,
            Act::ListDown { down } => out.push(ServerEvent::DiscoveryDown { down }),
            Act::Mark { text } => out.push(ServerEvent::Log(text)),
            Act::CutServer { relay, server, cut } => {
                match cut {
                    true => self.cut_pairs.insert((server, relay)),
                    false => self.cut_pairs.remove(&(server, relay)),
                };
                out.push(ServerEvent::ReachabilityChanged { server });
            }
            act @ (Act::Rate { .. }
            | Act::Reconnect { .. }
            | Act::Relay { .. }
            | Act::Links { .. }
            | Act::CutList { .. }) => out.push(ServerEvent::Action(act)),
        }
    }

    pub(super) fn dies(&mut self, server: usize, silent: bool, until: Micros, out: &mut Vec<ServerEvent>) {
        self.advance(server, out);
        let n = &mut self.nodes[server];
        n.down_until = n.down_until.max(if until == 0 { Micros::MAX } else { until });
        if n.server.life != Life::Up {
            return;
        }
        n.server.life = if silent { Life::Silent } else { Life::Down };
        let id = &self.endpoints.identities[server].id;
        out.push(ServerEvent::Log(format!("{id} {}", if silent { "vanishes" } else { "dies" })));
        if !silent {
            self.lose(server, out);
        }
        out.push(ServerEvent::ReachabilityChanged { server });
        let within = if silent { self.s.list.silent_notice_s } else { self.s.list.notice_s };
        self.notice_later(server, within.map(|t| t.us()));
    }

    pub(super) fn starts(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        let n = &mut self.nodes[server];
        // Two troubles may meet one server: it is back when the later one is over. Who fell over stays down.
        if self.now < n.down_until || matches!(n.server.life, Life::Up | Life::Fallen) {
            return;
        }
        n.server.advance(self.now);
        self.lose(server, out);
        let n = &mut self.nodes[server];
        // A whole millisecond, as the list tells it.
        let now = self.now;
        n.server.start(now);
        n.server.came_up = now / 1000 * 1000;
        n.knows.fill(false);
        n.asks.fill(0);
        n.groups.clear();
        n.reports = VecDeque::from([(now, Figures::default())]);
        if n.overrun > 0 {
            let asked = n.overrun;
            n.server.ask(asked, 0, false);
        }
        self.due.schedule(now, Due::Cold(server));
        out.push(ServerEvent::Log(format!("{} starts cold", self.endpoints.identities[server].id)));
        out.push(ServerEvent::ReachabilityChanged { server });
        self.notice_later(server, self.s.list.add_s.map(|t| t.us()));
    }
}
