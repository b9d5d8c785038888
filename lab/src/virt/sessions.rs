//! What clients, relays and servers say to each other of sessions, as sockets would carry it.
use super::*;

impl Virtual<'_> {
    pub(super) fn does(&mut self, does: ClientAction) {
        let way = self.client_way();
        match does {
            ClientAction::Open(ask) => {
                self.asks.insert(ask.mark, ask.clone());
                self.later(way, Ev::Line(Box::new(ask)));
            }
            ClientAction::Leave { mark } => {
                self.day.audit.client_left(self.now, mark);
                let Some(ask) = self.asks.remove(&mark) else { return };
                let r = &self.relays[ask.relay];
                if let Some(&sess) = r.marks.get(&mark) {
                    let (relay, life) = (ask.relay, r.life);
                    self.later(way, Ev::Gone { relay, life, sess });
                }
            }
        }
    }

    /// A client's line comes to its relay.
    pub(super) fn line(&mut self, ask: ClientRequest) {
        let relay = ask.relay;
        if !self.asks.contains_key(&ask.mark) {
            return; // left on the way
        }
        if self.relays[relay].mind.is_none() {
            return self.client(ask.mark, ClientEvent::Unreachable, 0);
        }
        let sent = self.now - self.client_way();
        self.day.audit.session_requested(
            sent,
            &RequestSent {
                mark: ask.mark,
                relay,
                listener: ask.listener,
                wait: ask.dial_timeout,
                is_pre_existing: ask.pre_existing_at.is_some(),
            },
        );
        let r = &mut self.relays[relay];
        r.last = r.last.wrapping_add(1);
        let sess = r.last;
        let mark = ask.mark;
        r.marks.insert(mark, sess);
        let line = Line { mark, dials: 0, conn: None, open: false, doubted: false, over: false };
        r.lines.insert(sess, line);
        let margin = r.limits.answer_margin;
        let open = SessionRequest {
            id: mark,
            listener: self.day.scenario.listeners[ask.listener].name.clone(),
            key: ask.key,
            group: ask.group,
            returned: ask.returned,
            wait_ms: ask.dial_timeout / 1000,
            at: ask.pre_existing_at.map(|server| self.day.servers.endpoints.identities[server].id.clone()),
            ..SessionRequest::default()
        };
        let left = ask.dial_timeout.saturating_sub(margin + self.client_way());
        self.step(relay, Event::ClientConnected { connection_id: sess });
        self.step(relay, Event::SessionRequested { session_id: sess, open, time_remaining: left });
    }

    /// A client hears its last word, or `UP`.
    pub(super) fn client(&mut self, mark: u64, heard: ClientEvent, receipt: u64) {
        let answer = match heard {
            ClientEvent::Established => Some(Answer::Up(receipt)),
            ClientEvent::Rejected(_) => Some(Answer::Busy),
            ClientEvent::Failed => Some(Answer::Failed),
            ClientEvent::Closed => Some(Answer::Closed),
            ClientEvent::Migrated | ClientEvent::Ended | ClientEvent::Unreachable => None,
        };
        let open = heard != ClientEvent::Established && self.is_open(mark);
        if let Some(answer) = answer.filter(|_| !open) {
            self.day.audit.client_answered(self.now, mark, &answer);
        }
        if !self.day.clients.is_present(mark) {
            return;
        }
        self.day.clients.handle(self.now, mark, heard);
        if heard != ClientEvent::Established {
            self.day.audit.client_left(self.now, mark);
            if let Some(ask) = self.asks.remove(&mark) {
                let r = &self.relays[ask.relay];
                if let Some(&sess) = r.marks.get(&mark) {
                    let (relay, life) = (ask.relay, r.life);
                    let way = self.client_way();
                    self.later(way, Ev::Gone { relay, life, sess });
                }
            }
        }
    }

    /// Whether a client has had its `UP`.
    pub(super) fn is_open(&self, mark: u64) -> bool {
        self.day.audit.is_established(mark)
    }

    /// A client's connection is over at its relay.
    pub(super) fn gone(&mut self, relay: usize, sess: SessId) {
        let way = self.way();
        let Some(line) = self.relays[relay].lines.remove(&sess) else { return };
        self.relays[relay].marks.remove(&line.mark);
        self.relays[relay].past.insert(sess, line.mark);
        if let Some(conn) = line.conn {
            self.later(way, Ev::Closed { conn });
        }
        self.step(relay, Event::ClientDisconnected { session_id: sess });
    }

    pub(super) fn close_now(&mut self, conn: ConnectionId, todo: &mut DriverActions) {
        let Some(dial) = self.dials.remove(&conn) else { return };
        if dial.there {
            self.day.servers.connection_closed(self.now, conn, &mut todo.server_events);
            self.day.audit.dial_ended(self.now, dial.mark, dial.server, DialOutcome::MayHaveRan);
        }
    }

    /// A session's last word from its relay; a dial that is out for it is given up.
    pub(super) fn last(&mut self, relay: usize, sess: SessId, heard: ClientEvent) {
        let (way, client_way) = (self.way(), self.client_way());
        let Some(line) = self.relays[relay].lines.get_mut(&sess) else { return };
        line.over = true;
        let (mark, conn) = (line.mark, line.conn.take());
        if let Some(conn) = conn {
            self.later(way, Ev::Closed { conn });
        }
        self.later(client_way, Ev::Client { mark, heard, receipt: 0 });
    }

    pub(super) fn dial(&mut self, relay: usize, sess: SessId, dial: u32, addr: SocketAddr, wait: Micros) {
        let way = self.way();
        let (life, server) = (self.relays[relay].life, server_at(addr));
        let (connect, reach) =
            (self.relays[relay].limits.connect, self.day.servers.reachability(server, relay));
        let fault = if reach == Reachability::Open { self.day.servers.draw_wire_fault(server) } else { None };
        let r = &mut self.relays[relay];
        let mark = r.lines.get(&sess).map(|l| l.mark).or(r.past.get(&sess).copied());
        let Some(mark) = mark else { return };
        let never = Event::DialEnded { session_id: sess, dial, end: DialEnd::Unconnected, report: None };
        if let Some(line) = r.lines.get_mut(&sess) {
            line.dials = dial + 1;
        }
        match (reach, fault) {
            (Reachability::Refused, _) | (_, Some(Fault::Refused)) => {
                return self.tell(relay, 2 * way, never)
            }
            (Reachability::Unresponsive, _) | (_, Some(Fault::NeverUp)) => {
                return self.tell(relay, wait.min(connect), never);
            }
            (Reachability::Open, _) => {}
        }
        self.next_conn += 1;
        let conn = self.next_conn;
        if let Some(line) = self.relays[relay].lines.get_mut(&sess) {
            line.conn = Some(conn);
        }
        let mut asked = DialRequest { server, relay, ..DialRequest::default() };
        if let Some(ask) = self.asks.get(&mark) {
            (asked.listener, asked.key, asked.group) = (ask.listener, ask.key, ask.group);
            (asked.is_pre_existing, asked.lifetime) = (ask.pre_existing_at.is_some(), ask.ended_after);
        }
        let d = Dial { relay, life, sess, dial, mark, server, ask: asked, there: false, up: false, fault };
        self.dials.insert(conn, d);
        // There and back to connect, and there with the line.
        self.later(3 * way, Ev::Dialled { conn });
        self.later(wait, Ev::TimesOut { relay, life, sess, dial });
    }

    pub(super) fn dialled(&mut self, conn: ConnectionId, todo: &mut DriverActions) {
        let way = self.way();
        let Some(d) = self.dials.get_mut(&conn) else { return };
        let (relay, server, mark) = (d.relay, d.server, d.mark);
        let open = self.day.servers.reachability(server, relay) == Reachability::Open;
        if !open || matches!(d.fault, Some(Fault::ResetBefore | Fault::ResetAfter)) {
            if open && d.fault == Some(Fault::ResetAfter) {
                self.day.audit.dial_received(
                    self.now,
                    &DialReceived { mark, relay, backend: server, first_byte_at: self.now },
                );
                self.day.audit.dial_ended(self.now, mark, server, DialOutcome::MayHaveRan);
            }
            return self.dial_ends(conn, way, DialEnd::Reset);
        }
        d.there = true;
        let (ask, fault) = (d.ask.clone(), d.fault);
        self.day
            .audit
            .dial_received(self.now, &DialReceived { mark, relay, backend: server, first_byte_at: self.now });
        if !matches!(fault, Some(Fault::Silence | Fault::HalfLine)) {
            self.day.servers.dial_received(self.now, conn, &ask, &mut todo.server_events);
        }
    }

    /// A dial ends before it is up.
    pub(super) fn dial_ends(&mut self, conn: ConnectionId, after: Micros, end: DialEnd) {
        let Some(d) = self.dials.remove(&conn) else { return };
        let r = &mut self.relays[d.relay];
        let Some(line) = r.lines.get_mut(&d.sess) else { return };
        if r.life == d.life && line.conn == Some(conn) {
            line.conn = None;
            let (sess, dial) = (d.sess, d.dial);
            self.tell(d.relay, after, Event::DialEnded { session_id: sess, dial, end, report: None });
        }
    }

    pub(super) fn told(&mut self, told: ServerEvent, todo: &mut DriverActions) {
        let way = self.way();
        match told {
            ServerEvent::Line { connection: conn, line: word } => self.word(conn, word),
            ServerEvent::Reset { connection: conn } => {
                let Some(d) = self.dials.get(&conn) else { return };
                let (mark, server, up) = (d.mark, d.server, d.up);
                self.day.audit.dial_ended(self.now, mark, server, DialOutcome::MayHaveRan);
                if up {
                    self.open_ends(conn, way, DialEnd::Reset);
                } else {
                    self.dial_ends(conn, way, DialEnd::Reset);
                }
            }
            ServerEvent::ReachabilityChanged { server } => {
                for relay in 0..self.relays.len() {
                    if self.day.servers.reachability(server, relay) != Reachability::Unresponsive {
                        continue;
                    }
                    let there = |conn: Option<ConnectionId>| {
                        conn.and_then(|c| self.dials.get(&c)).is_some_and(|d| d.server == server)
                    };
                    let lines = self.relays[relay].lines.iter();
                    let open: Vec<SessId> =
                        lines.filter(|(_, l)| l.open && there(l.conn)).map(|(s, _)| *s).collect();
                    open.into_iter().for_each(|sess| self.may_be_silent(relay, sess));
                }
            }
            other => todo.server_events.push(other),
        }
    }

    /// A server's word comes to the relay.
    pub(super) fn word(&mut self, conn: ConnectionId, word: ServerLine) {
        let way = self.way();
        let Some(d) = self.dials.get(&conn) else { return };
        let (relay, life, sess, dial, mark, server, up) =
            (d.relay, d.life, d.sess, d.dial, d.mark, d.server, d.up);
        let heard = self.day.servers.can_send(server, relay);
        let alive = self.relays[relay].life == life;
        let mine = alive && self.relays[relay].lines.get(&sess).is_some_and(|l| l.conn == Some(conn));
        let over = match word {
            ServerLine::Busy => Some(DialOutcome::NeverRan),
            ServerLine::Err | ServerLine::Bye | ServerLine::Move => Some(DialOutcome::MayHaveRan),
            ServerLine::Up | ServerLine::Load(_) => None,
        };
        if let Some(over) = over {
            self.day.audit.dial_ended(self.now, mark, server, over);
        }
        if word == ServerLine::Up {
            self.day.audit.session_established(self.now, mark, server, conn);
        }
        if !mine || !heard {
            return;
        }
        match word {
            ServerLine::Up => self.tell(relay, way, Event::SessionEstablished { session_id: sess, dial }),
            // Nine of ten lines: told at once, as a way of their own would change nothing but the time it
            // takes.
            ServerLine::Load(load) if up => self.step(relay, Event::LoadReported { session_id: sess, load }),
            ServerLine::Load(load) => self.tell(relay, way, Event::LoadReported { session_id: sess, load }),
            ServerLine::Busy => self.dial_ends(conn, way, DialEnd::Full),
            ServerLine::Err => self.dial_ends(conn, way, DialEnd::Error),
            ServerLine::Bye if up => self.open_ends(conn, way, DialEnd::Ok),
            ServerLine::Move if up => self.open_ends(conn, way, DialEnd::Cancelled),
            ServerLine::Move => self.dial_ends(conn, way, DialEnd::Cancelled),
            ServerLine::Bye => {
                self.dial_ends(conn, way, DialEnd::Ok);
                let client_way = self.client_way();
                self.later(way + client_way, Ev::Client { mark, heard: ClientEvent::Ended, receipt: 0 });
            }
        }
    }

    /// An open session ends at its server's side; its client hears why.
    pub(super) fn open_ends(&mut self, conn: ConnectionId, after: Micros, end: DialEnd) {
        let Some(d) = self.dials.remove(&conn) else { return };
        let client_way = self.client_way();
        let r = &mut self.relays[d.relay];
        let Some(line) = r.lines.get_mut(&d.sess) else { return };
        if r.life != d.life || line.conn != Some(conn) {
            return;
        }
        line.over = true;
        self.tell(d.relay, after, Event::SessionEnded { session_id: d.sess, end, report: None });
        let heard = if end == DialEnd::Ok { ClientEvent::Ended } else { ClientEvent::Migrated };
        self.later(after + client_way, Ev::Client { mark: d.mark, heard, receipt: 0 });
    }

    /// When an open session on a silent server will find out: a message of its own waits too long.
    pub(super) fn may_be_silent(&mut self, relay: usize, sess: SessId) {
        let Some(line) = self.relays[relay].lines.get(&sess).filter(|l| l.open) else { return };
        let Some(conn) = line.conn else { return };
        let Some(d) = self.dials.get(&conn) else { return };
        if self.day.servers.can_send(d.server, relay) {
            return;
        }
        let limits = &self.relays[relay].limits;
        let patience = if line.doubted { limits.probe } else { limits.silence };
        let period = self.day.scenario.clients.message_s.us();
        // Clients speak each period, at a moment of their own.
        let phase = mix(line.mark) % period;
        let next = self.now + (phase + period - self.now % period) % period;
        let life = self.relays[relay].life;
        // One that is doubted may have a message that waits already.
        let waits = if line.doubted { next.saturating_sub(period).max(self.now) } else { next };
        self.queue.schedule(waits + patience, Ev::Silent { relay, life, sess, conn });
    }

    pub(super) fn silent(&mut self, relay: usize, sess: SessId, conn: ConnectionId) {
        let Some(line) = self.relays[relay].lines.get(&sess) else { return };
        let Some(server) = self.dials.get(&conn).map(|d| d.server) else { return };
        if !line.open || line.conn != Some(conn) || self.day.servers.can_send(server, relay) {
            return;
        }
        let (way, client_way, mark) = (self.way(), self.client_way(), line.mark);
        self.later(way, Ev::Closed { conn });
        if let Some(line) = self.relays[relay].lines.get_mut(&sess) {
            (line.open, line.over, line.conn) = (false, true, None);
        }
        self.step(relay, Event::SessionEnded { session_id: sess, end: DialEnd::Reset, report: None });
        self.later(client_way, Ev::Client { mark, heard: ClientEvent::Migrated, receipt: 0 });
    }
}
