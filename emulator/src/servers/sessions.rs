//! What comes of dials, sessions and probes at a server.
use super::*;

impl Servers {
    /// The last byte of a first line has come.
    pub fn dial_received(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        d: &DialRequest,
        out: &mut Vec<ServerEvent>,
    ) {
        self.now = self.now.max(now);
        let (now, server) = (self.now, d.server);
        self.advance(server, out);
        self.counts.dials += 1;
        // Sessions that stood before cost nothing again.
        let setup = self.s.servers.setup_ms.us() * CORE * u64::from(!d.is_pre_existing);
        let n = &mut self.nodes[server];
        if n.server.life != Life::Up {
            return;
        }
        self.counts.setup += setup;
        let told = n.knows[d.relay];
        let cap = self.s.servers.cap_per_core as usize * n.server.machine.cores as usize;
        // What waits at the store longer than this is turned away: its queue is bounded.
        const STORE: Micros = 2_000_000;
        let store_full = self.store_at > now + STORE;
        let full = n.conns.len() >= cap || ((n.server.draining || store_full) && !d.is_pre_existing);
        // Turning away is work as well, if little.
        let work = if full { setup / 10 } else { setup };
        let done = n.server.done(now, work);
        let fell = n.server.burst(now, work, told);
        let fails = self.rng.fraction() < n.fails;
        if full || fails {
            self.counts.wasted += work;
            out.push(ServerEvent::Line {
                connection: conn,
                line: if full { ServerLine::Busy } else { ServerLine::Err },
            });
        } else {
            let l = &self.s.listeners[d.listener];
            // The same client weighs the same wherever it goes.
            let usual = l.load.0 * Random::new(d.key, 3).log_normal(l.load_sigma.0);
            let c = Conn {
                server,
                relay: d.relay,
                listener: d.listener,
                group: d.group,
                open: false,
                load: 0,
                usual,
                setup,
            };
            n.conns.insert(conn);
            self.conns.insert(conn, c);
            let stored = if d.is_pre_existing { now } else { self.stored() };
            self.due.schedule(done.max(stored), Due::Ready(conn));
            if let Some(life) = d.lifetime {
                self.due.schedule(now + life, Due::Ends(conn));
            }
        }
        if fell {
            self.fell(server, out);
        }
    }

    /// When the shared store has taken one more session in.
    pub(super) fn stored(&mut self) -> Micros {
        if self.s.servers.store_per_s.0 <= 0.0 {
            return self.now;
        }
        let each = (1e6 / self.s.servers.store_per_s.0 * self.store_times) as Micros;
        self.store_at = self.store_at.max(self.now) + each;
        self.store_at
    }

    pub(super) fn ready(&mut self, conn: ConnectionId, out: &mut Vec<ServerEvent>) {
        let now = self.now;
        let Some(c) = self.conns.get(&conn) else { return };
        let (server, relay) = (c.server, c.relay);
        match self.nodes[server].server.life {
            Life::Up => {}
            _ => return,
        }
        if self.nodes[server].server.stands.is_some() {
            // Looked at again soon: how long it stands is not known here.
            return self.due.schedule(now + 10_000, Due::Ready(conn));
        }
        self.advance(server, out);
        let unit = unit(&self.s);
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let l = &self.s.listeners[c.listener];
        let load = (c.usual * self.rng.log_normal(l.swing_sigma.0) * unit as f64) as Cores;
        (c.open, c.load) = (true, load);
        let n = &mut self.nodes[server];
        n.open[c.listener] += 1;
        let mut more = load;
        if c.group != 0 {
            let members = n.groups.entry(c.group).or_insert(0);
            *members += 1;
            more += if *members == 1 { group_cost(&self.s) } else { 0 };
        }
        n.asks[relay] += more;
        let told = n.knows[relay];
        n.server.ask(more, 0, told);
        let change = self.rng.exponential(l.change_s.us() as f64) as Micros;
        out.push(ServerEvent::Line { connection: conn, line: ServerLine::Up });
        if self.s.servers.tells_load {
            out.push(ServerEvent::Line { connection: conn, line: ServerLine::Load(load as f64) });
        }
        if l.change_s.us() > 0 {
            self.due.schedule(now + change.max(50_000), Due::Changes(conn));
        }
    }

    pub(super) fn changes(&mut self, conn: ConnectionId, out: &mut Vec<ServerEvent>) {
        let Some(c) = self.conns.get(&conn) else { return };
        let (server, relay) = (c.server, c.relay);
        self.advance(server, out);
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let l = &self.s.listeners[c.listener];
        let load = (c.usual * self.rng.log_normal(l.swing_sigma.0) * unit(&self.s) as f64) as Cores;
        let before = std::mem::replace(&mut c.load, load);
        let n = &mut self.nodes[server];
        n.asks[relay] = (n.asks[relay] + load).saturating_sub(before);
        let told = n.knows[relay];
        n.server.ask(load, before, told);
        let change = self.rng.exponential(l.change_s.us() as f64) as Micros;
        self.due.schedule(self.now + change.max(50_000), Due::Changes(conn));
        if self.s.servers.tells_load && self.can_send(server, relay) {
            out.push(ServerEvent::Line { connection: conn, line: ServerLine::Load(load as f64) });
        }
    }

    /// A late server says so once a second, on one connection of each relay.
    pub(super) fn tell_delay(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        let keenest = self.s.listeners.iter().map(|l| l.message_target_ms.us()).min().unwrap_or(0);
        let n = &self.nodes[server];
        let delay = n.server.delay(self.now);
        if !self.s.servers.tells_delay || n.server.life != Life::Up || delay <= keenest / 3 {
            return;
        }
        let mut told = vec![false; n.asks.len()];
        for conn in &n.conns {
            let c = &self.conns[conn];
            if c.open && !std::mem::replace(&mut told[c.relay], true) && self.can_send(server, c.relay) {
                out.push(ServerEvent::Line {
                    connection: *conn,
                    line: ServerLine::Load((delay as f64 / 1e3).round()),
                });
            }
            if told.iter().all(|t| *t) {
                break;
            }
        }
    }

    /// The relay has ended a connection, or its sending on it.
    pub fn connection_closed(&mut self, now: Micros, conn: ConnectionId, out: &mut Vec<ServerEvent>) {
        self.now = self.now.max(now);
        let Some(server) = self.conns.get(&conn).map(|c| c.server) else { return };
        self.advance(server, out);
        self.drop_conn(conn);
    }

    /// A probe has come: when it is answered, and with what.
    pub fn answer_probe(
        &mut self,
        now: Micros,
        server: usize,
        relay: usize,
        out: &mut Vec<ServerEvent>,
    ) -> (Micros, Figures) {
        self.now = self.now.max(now);
        let now = self.now;
        self.advance(server, out);
        self.counts.probes += 1;
        let work = self.s.servers.probe_ms.us() * CORE;
        let n = &mut self.nodes[server];
        let told = n.knows[relay];
        let done = n.server.done(now, work);
        let fell = n.server.burst(now, work, told);
        while n.reports.len() > 1 && n.reports[1].0 <= now {
            n.reports.pop_front();
        }
        let figures = n.reports.front().map(|r| r.1).unwrap_or_default();
        if fell {
            self.fell(server, out);
        }
        (done, figures)
    }
}
